package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/controlsocket"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/faultproxy"
	"pearknot/internal/requestlog"
)

// cluster is several real processes that keep each other's requests, every directed link of two of them through a relay, with
// backends that count what runs and clients whose outcomes are judged from outside.
type cluster struct {
	t         *testing.T
	replicas  int
	dir       string
	discovery string
	list      string
	ports     []string
	proxies   [][]*faultproxy.Proxy // from, to
	nodes     []*clusterNode

	mu           sync.Mutex
	ran          map[string]int // effects by key
	started      map[string]chan struct{}
	blocked      map[string]chan struct{} // backends answer once it is closed
	keys         *invariants.KeyAuditor
	logs         []*lockedBuffer // of all incarnations
	incarnations int
	served       int
	failed       int
	maxDelay     time.Duration // that backends take at most
	listen       string        // of node 0, where another process of it may come beside it
}

type clusterNode struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	address string
	control string
	log     *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const clusterSettings = `{"az":0,"balancers":3,"benefitBy":"request","bounds":{"cancel":true,"connIdle":15000,"connectTimeout":250,
"mostHeld":20000,"mostPushes":3,"retryAfter":true,"maxRetryAfter":2000,"secondCopies":true},"categories":[
{"benefit":1,"idempotency":"pure","name":"check","overdueBenefit":0.2,"targetLatency":2500,"ttl":9000},
{"benefit":8,"idempotency":"side_effect","name":"pay","overdueBenefit":0.2,"targetLatency":1500,"ttl":9000}],
"kinds":["m"],"loadReport":{"fields":["mean_ms"],"via":"inline"},"registryMode":"subscribe","rules":{"askWithin":10000,
"coldFrom":0.3,"drainGrace":500,"fallMultiple":4,"overloadFor":2000,"warmWithin":9000},"tenants":[],"zones":["a"]}`

// freePort is an address for a member, on a loopback address of this test process alone: between its choice and the member's
// listening a fleet of another test once took it, and answered in its place.
func freePort(t testing.TB) string {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x3f, pid>>8&0xff, 2+pid&0x7f))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func newCluster(t *testing.T, size, copies int) *cluster { return newClusterAt(t, size, copies, "") }

func newClusterAt(t *testing.T, size, copies int, listen string) *cluster {
	c := &cluster{listen: listen, t: t, replicas: copies, dir: t.TempDir(), ran: map[string]int{}, started: map[string]chan struct{}{}, blocked: map[string]chan struct{}{},
		keys: invariants.NewKeyAuditor()}
	var targets []string
	for k := range 3 {
		b := httptest.NewServer(http.HandlerFunc(c.serve))
		t.Cleanup(b.Close)
		targets = append(targets, strings.Replace(entry(b.Listener.Addr().String(), "up"), "s-1", fmt.Sprintf("s-%d", k), 1))
	}
	c.list = strings.Join(targets, ",")
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(discovery.Close)
	c.discovery = discovery.Listener.Addr().String()
	require.NoError(t, os.WriteFile(filepath.Join(c.dir, "peers.key"), []byte(strings.Repeat("5a", 32)+"\n"), 0o600))
	for range size {
		c.ports = append(c.ports, freePort(t))
	}
	for from := range size {
		c.proxies = append(c.proxies, make([]*faultproxy.Proxy, size))
		for to := range size {
			if to != from {
				w, err := faultproxy.Open(c.ports[to])
				require.NoError(t, err)
				t.Cleanup(w.Close)
				c.proxies[from][to] = w
			}
		}
	}
	c.nodes = make([]*clusterNode, size)
	for k := range size {
		c.start(k)
	}
	c.whole()
	return c
}

// start starts a process, or its next life.
func (c *cluster) start(k int) {
	var peers strings.Builder
	fmt.Fprintf(&peers, "fleet = %q\nkey_file = \"peers.key\"\ncopies = %d\n", "crew "+c.ports[0], c.replicas)
	for m, port := range c.ports {
		if m != k {
			port = c.proxies[k][m].Address()
		}
		fmt.Fprintf(&peers, "[[member]]\nname = \"n%d\"\naddress = %q\n", m, port)
	}
	peers.WriteString("[[category]]\nname = \"pay\"\nsurvive = \"finish\"\n[[category]]\nname = \"check\"\nsurvive = \"finish\"\nalone = \"go-on\"\n")
	file, config := filepath.Join(c.dir, fmt.Sprintf("peers-%d.toml", k)), filepath.Join(c.dir, fmt.Sprintf("n%d.json", k))
	require.NoError(c.t, os.WriteFile(file, []byte(peers.String()), 0o600))
	listen := "127.0.0.1:0"
	if k == 0 && c.listen != "" {
		listen = c.listen + `","control":"127.0.0.1:0`
	}
	require.NoError(c.t, os.WriteFile(config, fmt.Appendf(nil, `{"name":"n%d","listen":"%s","discovery":%q,"seed":"8c1%d",
"limits":{"cores":1,"memory_mb":192,"sockets":512},"known":{"rev":41,"all":true,"targets":[%s]},"settings":%s}`, k, listen, c.discovery, k, c.list, clusterSettings), 0o600))
	c.incarnations++
	n := &clusterNode{control: filepath.Join(c.dir, fmt.Sprintf("n%d-%d.sock", k, c.incarnations)), log: &lockedBuffer{}, ended: make(chan struct{})}
	process, address, stderr := launchProgram(c.t, nextProgram(), "serve", "-config", config, "--peers", file, "--control", n.control)
	n.cmd, n.address = process, address
	go func() {
		_, _ = io.Copy(n.log, stderr)
		_ = process.Wait()
		close(n.ended)
	}()
	c.mu.Lock()
	c.nodes[k] = n
	c.logs = append(c.logs, n.log)
	c.mu.Unlock()
}

// whole waits until every log is whole, by the word of each process that runs.
func (c *cluster) whole() {
	var last []byte
	for end := time.Now().Add(20 * time.Second); ; {
		good := true
		for _, n := range c.nodes {
			select {
			case <-n.ended:
				continue
			default:
			}
			out, err := exec.Command(nodeProgram, "peers", n.control).Output()
			if err != nil {
				good, last = false, out
			}
		}
		if good {
			return
		}
		require.True(c.t, time.Now().Before(end), "not whole:\n%s", last)
	}
}

func (c *cluster) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	c.mu.Lock()
	c.ran[key]++
	n := c.ran[key]
	effect := balancer.AtMostOnce
	if r.Header.Get("X-Qos") == "check" {
		effect = balancer.Idempotent
	}
	c.keys.EffectRan(ms(), key, effect)
	c.keys.RequestStored(ms(), key, effect, ms()+9000)
	begun, held := c.started[key], c.blocked[key]
	c.mu.Unlock()
	if begun != nil && n == 1 {
		close(begun)
	}
	if held != nil && n == 1 { // only the first is held
		select {
		case <-held:
		case <-r.Context().Done():
		}
	}
	if c.maxDelay > 0 {
		select {
		case <-time.After(rand.N(c.maxDelay)):
		case <-r.Context().Done():
		}
	}
	if strings.HasPrefix(key, "long") {
		_, _ = w.Write(bytes.Repeat([]byte("y"), 1<<20))
		return
	}
	fmt.Fprintf(w, "run %d of %s %s", n, key, body)
}

// hold has the first attempt of a key held at its backend; begun is closed once it is there.
func (c *cluster) hold(key string) (begun, held chan struct{}) {
	begun, held = make(chan struct{}), make(chan struct{})
	c.mu.Lock()
	c.started[key], c.blocked[key] = begun, held
	c.mu.Unlock()
	return begun, held
}

func (c *cluster) times(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[key]
}

// ask sends a request at a node and notes what outcome its client was given: an ack or a failure.
func (c *cluster) ask(k int, category, key, ttl, body string) (int, string) {
	r, err := http.NewRequest("POST", "http://"+c.node(k).address+"/pay", strings.NewReader(body))
	require.NoError(c.t, err)
	for name, value := range map[string]string{"X-Trace-Id": fmt.Sprintf("%s-%d", key, time.Now().UnixNano()), "X-Qos": category,
		"X-Expires-In-Ms": ttl, "Idempotency-Key": key} {
		r.Header.Set(name, value)
	}
	answer, err := fresh().Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	if answer.StatusCode == 200 || answer.StatusCode == 502 {
		c.mu.Lock()
		c.keys.OutcomeReported(ms(), key, fmt.Sprintf("%d %s", answer.StatusCode, text))
		if answer.StatusCode == 200 {
			c.served++
		} else {
			c.failed++
		}
		c.mu.Unlock()
	}
	return answer.StatusCode, string(text)
}

// judge looks for broken promises over all that was seen.
func (c *cluster) judge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := c.keys.Violations(ms(), 5000)
	assert.Empty(c.t, broken, "the auditor")
}

// said gives the lines of all incarnations' logs that have one of some words, in their order.
func (c *cluster) said(words ...string) string {
	var lines []string
	for k, log := range c.logs {
		for line := range strings.Lines(log.String()) {
			if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
				lines = append(lines, strings.TrimSpace(line)+fmt.Sprintf(" life=%d", k))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// ms is the auditor's clock.
func ms() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

func (c *cluster) kill(k int) {
	require.NoError(c.t, c.nodes[k].cmd.Process.Kill())
	select {
	case <-c.nodes[k].ended:
	case <-time.After(5 * time.Second):
		c.t.Fatal("killed and not ended")
	}
}

// Whatever becomes of the process that took a request, whoever comes with its key hears of one outcome, and it ran once.
func TestAnOpSurvivesItsNode(t *testing.T) {
	c := newCluster(t, 3, 3)
	defer c.judge()
	status, text := c.ask(0, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, text)
	require.Equal(t, "run 1 of pay-calm x", text)
	status, text = c.ask(1, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, "the recorded answer, at another node")
	require.Equal(t, "run 1 of pay-calm x", text)
	status, _ = c.ask(2, "pay", "pay-calm", "4000", "another body")
	require.Equal(t, 422, status)

	// Two nodes at once, and a third while it is in hand.
	begun, held := c.hold("pay-twice")
	var both sync.WaitGroup
	for k := range 3 {
		both.Add(1)
		go func() {
			defer both.Done()
			status, text := c.ask(k, "pay", "pay-twice", "6000", "y")
			assert.Equal(t, 200, status, text)
		}()
	}
	<-begun
	close(held)
	both.Wait()

	// Killed with one attempt out that may have run, and one request that may run again.
	begun, held = c.hold("pay-lost")
	defer close(held)
	begun2, held2 := c.hold("check-lost")
	defer close(held2)
	for key, category := range map[string]string{"pay-lost": "pay", "check-lost": "check"} {
		go c.ask(0, category, key, "8000", "z")
	}
	<-begun
	<-begun2
	killed := time.Now()
	c.kill(0)
	status, text = c.ask(1, "check", "check-lost", "6000", "z")
	require.Equal(t, 200, status, text)
	require.Equal(t, "run 2 of check-lost z", text, "its heir has pushed it again")
	status, text = c.ask(2, "pay", "pay-lost", "6000", "z")
	require.Equal(t, 502, status, "nobody can tell whether it ran: %s", text)
	require.Less(t, time.Since(killed), 4*time.Second)
	require.Equal(t, 1, c.times("pay-lost"))

	// Its next life is another: it joins, and knows what the others know.
	c.start(0)
	c.whole()
	status, _ = c.ask(0, "pay", "pay-lost", "4000", "z")
	require.Equal(t, 502, status)
	status, text = c.ask(0, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, text)
}

// Frozen with an attempt out and resumed after the takeover: the deposed one gives no outcome of its own that differs.
func TestAFrozenNodeIsDeposed(t *testing.T) {
	c := newCluster(t, 3, 3)
	defer c.judge()
	begun, held := c.hold("pay-frozen")
	answers := make(chan int, 1)
	go func() {
		status, _ := c.ask(0, "pay", "pay-frozen", "8000", "x")
		answers <- status
	}()
	<-begun
	require.NoError(t, c.nodes[0].cmd.Process.Signal(syscall.SIGSTOP))
	status, text := c.ask(1, "pay", "pay-frozen", "6000", "x")
	require.Equal(t, 502, status, text)
	close(held) // its answer lies in the frozen one's socket
	require.NoError(t, c.nodes[0].cmd.Process.Signal(syscall.SIGCONT))
	status = <-answers
	require.Contains(t, []int{409, 502}, status, "asked to come again, or given what the successor has written")
	c.whole()
	status, _ = c.ask(0, "pay", "pay-frozen", "4000", "x")
	require.Equal(t, 502, status)
}

// Cut off from all its peers but not from clients and backends: what may not go alone is rejected at once, the rest goes on,
// and what it had is the others'. Healed, all is whole again.
func TestACutOffNodeGoesByWhatItsCategoriesSay(t *testing.T) {
	c := newCluster(t, 3, 3)
	defer c.judge()
	begun, held := c.hold("pay-cut")
	answers := make(chan int, 1)
	go func() {
		status, _ := c.ask(0, "pay", "pay-cut", "5000", "x")
		answers <- status
	}()
	<-begun
	for k := 1; k < 3; k++ {
		c.proxies[0][k].SetFault(faultproxy.Fault{Stalled: true})
		c.proxies[k][0].SetFault(faultproxy.Fault{Stalled: true})
	}
	status, text := c.ask(1, "pay", "pay-cut", "4500", "x")
	require.Equal(t, 502, status, text)
	close(held)
	require.Contains(t, []int{409, 502}, <-answers, "it has an answer, and nobody to write it down")
	require.Eventually(t, func() bool { // it has noticed, within a second or so
		out, err := exec.Command(nodeProgram, "peers", c.nodes[0].control, "--json").Output()
		return err != nil && strings.Count(string(out), `"linked":false`) == 2
	}, 10*time.Second, 10*time.Millisecond)
	begunAt := time.Now()
	status, _ = c.ask(0, "pay", "pay-alone", "8000", "x")
	require.Equal(t, 503, status)
	require.Less(t, time.Since(begunAt), 2*time.Second, "answered at once, not held")
	require.Zero(t, c.times("pay-alone"))
	require.Eventually(t, func() bool { // once the module no longer takes the held request's time for a crowd
		status, _ := c.ask(0, "check", "check-alone", "4000", "x")
		return status == 200
	}, 10*time.Second, 50*time.Millisecond)
	for k := 1; k < 3; k++ {
		c.proxies[0][k].SetFault(faultproxy.Fault{})
		c.proxies[k][0].SetFault(faultproxy.Fault{})
	}
	c.whole()
	require.Eventually(t, func() bool {
		status, _ := c.ask(0, "pay", "pay-alone", "3000", "x")
		return status == 200
	}, 10*time.Second, 50*time.Millisecond)
}

// An answer too long to be kept is given to whoever has the request, and nobody else hears more than that there was one.
func TestLongAnswersAreNotKept(t *testing.T) {
	c := newCluster(t, 3, 3)
	for k, want := range []int{1 << 20, 0} {
		r, err := http.NewRequest("POST", "http://"+c.nodes[k].address+"/pay", strings.NewReader("x"))
		require.NoError(t, err)
		for name, value := range map[string]string{"X-Trace-Id": fmt.Sprint("l", k), "X-Qos": "pay", "X-Expires-In-Ms": "4000", "Idempotency-Key": "long"} {
			r.Header.Set(name, value)
		}
		answer, err := fresh().Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		_ = answer.Body.Close()
		require.Equal(t, 200, answer.StatusCode)
		require.Len(t, body, want)
		require.Equal(t, map[bool]string{false: "not kept"}[want > 0], answer.Header.Get("Pearknot-Answer"))
	}
	require.Equal(t, 1, c.times("long"))
}

// A client leaves while the record of its request's attempt is on its way, because the links between the processes are slow, or
// are cut at that moment. Its request must never run. Its key is free afterwards, unless a successor has taken the request over
// meanwhile, which can't know that it never ran.
func TestClientLeavesBeforeItsAttemptIsRecorded(t *testing.T) {
	c := newCluster(t, 3, 3)
	defer c.judge()
	closeConn := func(conn net.Conn) { _ = conn.Close() }
	resetConn := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for name, way := range map[string]struct {
		leave func(net.Conn)
		cut   bool
	}{
		"end":            {closeConn, false},
		"reset":          {resetConn, false},
		"end in a cut":   {closeConn, true},
		"reset in a cut": {resetConn, true},
	} {
		c.waitUntilLeadsOwnLog(0)
		slow := faultproxy.Fault{Delay: 200 * time.Millisecond}
		c.setLinksOfNode0(slow)
		keys := c.sendUntilTaken(name, func(conns []net.Conn) {
			c.setLinksOfNode0(faultproxy.Fault{Delay: slow.Delay, Stalled: way.cut})
			for _, conn := range conns {
				way.leave(conn)
			}
		})
		require.Eventually(t, func() bool { return c.openRequests(0) == 0 }, 10*time.Second, 10*time.Millisecond)
		c.setLinksOfNode0(faultproxy.Fault{})
		c.whole()
		for _, key := range keys {
			require.Zero(t, c.times(key), key)
			require.Eventually(t, func() bool {
				status, text := c.ask(1, "pay", key, "3000", "x")
				return status == 200 && text == "run 1 of "+key+" x" || status == 502 && way.cut
			}, 10*time.Second, 50*time.Millisecond, key)
		}
	}
}

// setLinksOfNode0 sets a fault on all links from and to node 0.
func (c *cluster) setLinksOfNode0(fault faultproxy.Fault) {
	for k := 1; k < len(c.nodes); k++ {
		c.proxies[0][k].SetFault(fault)
		c.proxies[k][0].SetFault(fault)
	}
}

// openRequests returns the number of requests that a node has in flight, or -1 if it does not say.
func (c *cluster) openRequests(k int) int64 {
	var status controlsocket.Status
	client := controlsocket.NewClient(c.nodes[k].control, 5*time.Second)
	if err := client.Call(c.t.Context(), "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return -1
	}
	return status.OpenRequests
}

// waitUntilLeadsOwnLog waits until a node leads its own request log. c.whole does not say so: a log is complete under any
// leader, and after a start or a cut another node leads it for a while.
func (c *cluster) waitUntilLeadsOwnLog(k int) {
	c.t.Helper()
	name := fmt.Sprintf("n%d", k)
	require.Eventually(c.t, func() bool {
		var status requestlog.Status
		client := controlsocket.NewClient(c.nodes[k].control, 5*time.Second)
		if err := client.Call(c.t.Context(), "GET", controlsocket.PeersPath, nil, &status); err != nil {
			return false
		}
		return slices.ContainsFunc(status.Logs, func(log requestlog.LogState) bool {
			return log.Member == name && log.Leader == name && log.Complete
		})
	}, 20*time.Second, 10*time.Millisecond)
}

// sendUntilTaken has clients send requests to node 0 whose links are slow, and calls leave with their connections once one of
// the requests is in flight. It returns the keys of all requests that it sent.
//
// Node 0 takes the requests whose log it leads itself. The round trip to another leader is longer than a call waits for its
// reply, so the others are rejected after a while. On a crowded machine node 0 may lose the leadership meanwhile; then all are
// rejected, and clients are sent anew.
func (c *cluster) sendUntilTaken(name string, leave func([]net.Conn)) []string {
	c.t.Helper()
	const (
		clients   = 8
		rounds    = 5
		roundTime = 4 * time.Second
	)
	var keys []string
	for round := range rounds {
		var conns []net.Conn
		for k := range clients {
			key := fmt.Sprintf("%s-%d-%d", name, round, k)
			keys = append(keys, key)
			conns = append(conns, c.sendPay(0, key))
		}
		for end := time.Now().Add(roundTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if c.openRequests(0) > 0 {
				leave(conns)
				return keys
			}
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	c.t.Fatal("no request was taken")
	return nil
}

// sendPay sends a request of class pay to a node on a connection of its own.
func (c *cluster) sendPay(k int, key string) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.nodes[k].address)
	require.NoError(c.t, err)
	_, err = fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: pay\r\nX-Expires-In-Ms: 8000\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nx",
		key, key)
	require.NoError(c.t, err)
	return conn
}
