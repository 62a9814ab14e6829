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
	"sync/atomic"
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
	"pearknot/internal/testlog"
)

// cluster is several real processes that log each other's requests. Each directed link between two of them goes through a
// fault-injecting proxy. Backends count what runs, and an auditor checks the outcomes that clients get.
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
	logs         []*testlog.Buffer // of all incarnations
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
	log     *testlog.Buffer
}

const clusterSettings = `{"az":0,"balancers":3,"benefitBy":"request","bounds":{"cancel":true,"connIdle":15000,"connectTimeout":250,
"mostHeld":20000,"mostPushes":3,"retryAfter":true,"maxRetryAfter":2000,"secondCopies":true},"categories":[
{"benefit":1,"idempotency":"pure","name":"check","overdueBenefit":0.2,"targetLatency":2500,"ttl":9000},
{"benefit":8,"idempotency":"side_effect","name":"pay","overdueBenefit":0.2,"targetLatency":1500,"ttl":9000}],
"kinds":["m"],"loadReport":{"fields":["mean_ms"],"via":"inline"},"registryMode":"subscribe","rules":{"askWithin":10000,
"coldFrom":0.3,"drainGrace":500,"fallMultiple":4,"overloadFor":2000,"warmWithin":9000},"tenants":[],"zones":["a"]}`

// freeAddress returns an address for a member, on a loopback address that only this test process uses. On 127.0.0.1, a process
// of another test once took the port before the member listened there, and answered in its place.
func freeAddress(t testing.TB) string {
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
		targets = append(targets, strings.Replace(endpointEntry(b.Listener.Addr().String(), "up"), "s-1", fmt.Sprintf("s-%d", k), 1))
	}
	c.list = strings.Join(targets, ",")
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(discovery.Close)
	c.discovery = discovery.Listener.Addr().String()
	require.NoError(t, os.WriteFile(filepath.Join(c.dir, "peers.key"), []byte(strings.Repeat("5a", 32)+"\n"), 0o600))
	for range size {
		c.ports = append(c.ports, freeAddress(t))
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
	c.waitUntilComplete()
	return c
}

// start starts a process of node k, or the next incarnation of it.
func (c *cluster) start(k int) {
	var peers strings.Builder
	fmt.Fprintf(&peers, "fleet = %q\nkey_file = \"peers.key\"\ncopies = %d\n", "cluster "+c.ports[0], c.replicas)
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
	n := &clusterNode{control: filepath.Join(c.dir, fmt.Sprintf("n%d-%d.sock", k, c.incarnations)), log: &testlog.Buffer{}, ended: make(chan struct{})}
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

// waitUntilComplete waits until each running process says that all logs have their replicas.
func (c *cluster) waitUntilComplete() {
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
		require.True(c.t, time.Now().Before(end), "not complete:\n%s", last)
	}
}

func (c *cluster) serve(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	key := request.Header.Get("Idempotency-Key")
	c.mu.Lock()
	c.ran[key]++
	n := c.ran[key]
	effect := balancer.AtMostOnce
	if request.Header.Get("X-Qos") == "check" {
		effect = balancer.Idempotent
	}
	c.keys.EffectRan(nowMs(), key, effect)
	c.keys.RequestStored(nowMs(), key, effect, nowMs()+9000)
	begun, unblock := c.started[key], c.blocked[key]
	c.mu.Unlock()
	if begun != nil && n == 1 {
		close(begun)
	}
	if unblock != nil && n == 1 { // only the first is unblock
		select {
		case <-unblock:
		case <-request.Context().Done():
		}
	}
	if c.maxDelay > 0 {
		select {
		case <-time.After(rand.N(c.maxDelay)):
		case <-request.Context().Done():
		}
	}
	if strings.HasPrefix(key, "long") {
		_, _ = w.Write(bytes.Repeat([]byte("y"), 1<<20))
		return
	}
	fmt.Fprintf(w, "run %d of %s %s", n, key, body)
}

// blockFirstAttempt makes backends block the first attempt of a key until the channel held is closed. begun is closed once the
// attempt is there.
func (c *cluster) blockFirstAttempt(key string) (begun, unblock chan struct{}) {
	begun, unblock = make(chan struct{}), make(chan struct{})
	c.mu.Lock()
	c.started[key], c.blocked[key] = begun, unblock
	c.mu.Unlock()
	return begun, unblock
}

func (c *cluster) attemptsOf(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[key]
}

// send sends a request to a node and reports the outcome that its client got, served or failed, to the auditor.
func (c *cluster) send(k int, class, key, ttl, body string) (int, string) {
	request, err := http.NewRequest("POST", "http://"+c.node(k).address+"/pay", strings.NewReader(body))
	require.NoError(c.t, err)
	for name, value := range map[string]string{"X-Trace-Id": fmt.Sprintf("%s-%d", key, time.Now().UnixNano()), "X-Qos": class,
		"X-Expires-In-Ms": ttl, "Idempotency-Key": key} {
		request.Header.Set(name, value)
	}
	answer, err := newClient().Do(request)
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
		c.keys.OutcomeReported(nowMs(), key, fmt.Sprintf("%d %s", answer.StatusCode, text))
		if answer.StatusCode == 200 {
			c.served++
		} else {
			c.failed++
		}
		c.mu.Unlock()
	}
	return answer.StatusCode, string(text)
}

// checkOutcomes fails the test if the auditor has found a violation.
func (c *cluster) checkOutcomes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := c.keys.Violations(nowMs(), 5000)
	assert.Empty(c.t, broken, "the auditor")
}

// logLinesWith returns the lines of all incarnations' logs that contain one of some texts, sorted.
func (c *cluster) logLinesWith(words ...string) string {
	var lines []string
	for k, log := range c.logs {
		for line := range strings.Lines(log.String()) {
			if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
				lines = append(lines, strings.TrimSpace(line)+fmt.Sprintf(" incarnation=%d", k))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// nowMs returns the time of the auditor's clock, in ms.
func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

func (c *cluster) kill(k int) {
	require.NoError(c.t, c.nodes[k].cmd.Process.Kill())
	select {
	case <-c.nodes[k].ended:
	case <-time.After(5 * time.Second):
		c.t.Fatal("killed and not ended")
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

// waitUntilLeadsOwnLog waits until a node leads its own request log. waitUntilComplete does not say so: a log is complete
// under any leader, and after a start or a partition another node leads it for a while.
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

func (c *cluster) node(k int) *clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[k]
}

// sendUntilAnswered sends requests with a key, to nodes at random, until one is served or failed. It reports false if none is
// in time.
func (c *cluster) sendUntilAnswered(key, class, ttl string, rng *rand.Rand, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		status, _ := c.send(rng.IntN(len(c.ports)), class, key, ttl, "x")
		if status == 200 || status == 502 {
			return true
		}
		time.Sleep(time.Duration(20+rng.IntN(80)) * time.Millisecond)
	}
	return false
}

// startLoad starts clients that send at-most-once requests, each again until its key has an outcome. stop ends them and
// returns how many keys were sent, and how many have an outcome.
func (c *cluster) startLoad(clientCount int, ttl string, seed uint64) (stop func() (asked, settled int64)) {
	over := make(chan struct{})
	var clients sync.WaitGroup
	var asked, settled atomic.Int64
	for client := range clientCount {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				default:
				}
				asked.Add(1)
				if c.sendUntilAnswered(fmt.Sprintf("pay-%d-%d", client, n), "pay", ttl, rng, 8*time.Second) {
					settled.Add(1)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(over)
		clients.Wait()
		return asked.Load(), settled.Load()
	}
}

// stop sends SIGTERM to a process and waits until it has ended.
func (c *cluster) stop(n *clusterNode) {
	require.NoError(c.t, n.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-n.ended:
	case <-time.After(8 * time.Second):
		c.t.Fatal("did not end after SIGTERM")
	}
}

// requireNothingTakenOver requires that each key has an outcome and that no request had to be taken over: a process that is
// stopped by SIGTERM finishes its own.
func (c *cluster) requireNothingTakenOver(asked, settled int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d keys, %d settled, %d failed", asked, settled, c.failed)
	require.Equal(c.t, asked, settled)
	require.Empty(c.t, c.logLinesWith("request taken over"))
}
