package main

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/controlsocket"
	"pearknot/internal/lab/acmestub"
)

// call runs the program within the test, and gives its exit status and all that it said.
func call(args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	status := run(args, &stdout, &stderr)
	return status, stdout.String() + stderr.String()
}

// secureRig is a directory with a store, an authority, and files of nodes that share them.
type secureRig struct {
	t         testing.TB
	dir       string
	a         *acmestub.Authority
	directory string
	alpn      atomic.Pointer[string] // where the authority looks
	clients   *tls.Config
}

func newSecureRig(t testing.TB) *secureRig {
	dir, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	r := &secureRig{t: t, dir: dir}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	r.a, err = acmestub.New(acmestub.Options{RenewalWindowStart: 0.7, TLSChallengeAddress: func(string) string { return *r.alpn.Load() }})
	require.NoError(t, err)
	s := httptest.NewServer(r.a)
	t.Cleanup(s.Close)
	r.directory = s.URL + "/directory"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "roots.pem"), r.a.RootPEM(), 0o600))
	r.clients = &tls.Config{RootCAs: r.a.Roots(), ServerName: "one.example", MinVersion: tls.VersionTLS12}
	return r
}

// node starts one that serves TLS.
func (r *secureRig) node(name string, sockets int) (w *world, address, socket string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	address = l.Addr().String()
	require.NoError(r.t, l.Close())
	file := filepath.Join(r.dir, name+".toml")
	require.NoError(r.t, os.WriteFile(file, fmt.Appendf(nil, "listen = %q\ndir = %q\n[limits]\norders_per_hour = 50\nbackoff_s = 1\n[[authority]]\ndirectory = %q\nroots_file = \"roots.pem\"\n"+
		"[[certificate]]\nname = \"a\"\nnames = [\"one.example\", \"two.example\"]\n", address, filepath.Join(r.dir, "store"), r.directory), 0o600))
	if r.alpn.Load() == nil {
		r.alpn.Store(&address)
	}
	socket = filepath.Join(r.dir, name)
	return start(r.t, sockets, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }, "--tls", file, "--control", socket), address, socket
}

// serial is that of the certificate which is served; empty where none is.
func (r *secureRig) serial(address string) string {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", address, r.clients)
	if err != nil {
		return ""
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func (r *secureRig) becomes(address string, ok func(serial string) bool) (serial string) {
	require.Eventually(r.t, func() bool { serial = r.serial(address); return serial != "" && ok(serial) }, 15*time.Second, 20*time.Millisecond)
	return serial
}

// Two nodes on one store: one orders, with the other answering the challenge; what is issued is served by both. When the
// one is killed, the other orders in its place.
func TestNodesOverTLS(t *testing.T) {
	r := newSecureRig(t)
	any := func(string) bool { return true }
	one, first, socket1 := r.node("n1", 256)
	old := r.becomes(first, any)
	two, second, socket2 := r.node("n2", 256)
	assert.Equal(t, old, r.becomes(second, any))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: r.clients}}
	defer client.CloseIdleConnections()
	ask := func(address, id string) {
		q, err := http.NewRequest("POST", "https://"+address+"/api", strings.NewReader("paid"))
		require.NoError(t, err)
		q.Header = http.Header{"X-Trace-Id": {id}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"2000"}}
		a, err := client.Do(q)
		require.NoError(t, err)
		defer a.Body.Close()
		assert.Equal(t, 200, a.StatusCode)
	}
	ask(first, "1")
	ask(second, "2")

	status, text := call("certs", "status", socket1)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "ordered by this instance")
	status, text = call("certs", "status", socket2)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, fmt.Sprintf("ordered by process %d", one.process.Process.Pid))
	status, text = call("certs", "status", filepath.Join(r.dir, "n2.toml"))
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "fine")
	status, text = call("certs", "check", filepath.Join(r.dir, "n1.toml"), "--address", first)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "two.example: serial "+old)
	status, text = call("certs", "renew", socket2, "a")
	assert.Equal(t, 3, status, text)
	assert.Contains(t, text, "orders the certificates")
	status, text = call("certs", "renew", socket1, "b")
	assert.Equal(t, 3, status, text)
	assert.Contains(t, text, "no certificate b")

	r.alpn.Store(&second) // the authority meets the one that does not order
	status, text = call("certs", "renew", socket1, "a")
	require.Equal(t, 0, status, text)
	fresh := r.becomes(first, func(s string) bool { return s != old })
	assert.Equal(t, fresh, r.becomes(second, func(s string) bool { return s != old }))
	ask(first, "3") // on the connection from before

	require.NoError(t, one.process.Process.Kill())
	require.Error(t, <-one.ended, "killed")
	require.Eventually(t, func() bool { status, text = call("certs", "revoke", socket2, "a"); return status == 0 }, 15*time.Second, 50*time.Millisecond, text)
	last := r.becomes(second, func(s string) bool { return s != fresh })
	assert.NotEqual(t, old, last)
	status, text = call("certs", "account-key", socket2)
	assert.Equal(t, 0, status, text)
	status, text = call("certs", "renew", socket2, "a")
	assert.Equal(t, 0, status, text)
	r.becomes(second, func(s string) bool { return s != last })
	var s controlsocket.Status
	require.NoError(t, controlsocket.NewClient(socket2, time.Second).Call(t.Context(), "GET", controlsocket.StatusPath, nil, &s))
	assert.True(t, s.TLS.Orders)
	assert.Positive(t, s.TLS.Handshakes.Done)
	for _, file := range []string{"store/state.json", "store/account-0.key", "store/names/a/served.pem", "store/tickets"} {
		info, err := os.Stat(filepath.Join(r.dir, file))
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), file)
	}
	require.NoError(t, two.process.Process.Signal(os.Interrupt))
	require.NoError(t, <-two.ended)
}

// Each fault of a tls.toml is told in one line, with its place.
func TestTLSFile(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short"), []byte("YWJj\n"), 0o600))
	good := "listen = ':1'\ndir = 'x'\n[[authority]]\ndirectory = 'https://a/d'\n[[certificate]]\nname = 'a'\nnames = ['a.example']\n"
	for _, c := range []struct{ from, to, says string }{
		{"", "", ""},
		{"listen = ':1'", "listen = '1'", ":1:1: listen: address 1: missing port"},
		{"dir = 'x'", "", ":1:1: dir: none given"},
		{"dir = 'x'", "dirr = 'x'", ":2:1: unknown key dirr"},
		{"dir = 'x'", "dir = 'x'\nchallenge_tls = false", ":3:1: challenge_tls: no kind"},
		{"dir = 'x'", "dir = 'x'\nchallenge_listen = 'x'", ":3:1: challenge_listen: address x"},
		{"https://a/d", "http://a/d", ":4:1: authority.0.directory: \"http://a/d\" is no https address"},
		{"https://a/d", "http://127.0.0.1:9/d", ""},
		{"'https://a/d'", "'https://a/d'\nkey_id = 'x'", ":5:1: authority.0.key_id: key_id and key_file go together"},
		{"'https://a/d'", "'https://a/d'\nkey_id = 'x'\nkey_file = 'short'", ":6:1: authority.0.key_file: short: too short"},
		{"'https://a/d'", "'https://a/d'\nroots_file = 'short'", ":5:1: authority.0.roots_file: short: no certificate"},
		{"'a.example'", "'*.example'", ":7:1: certificate.0.names: \"*.example\" is no host's name"},
		{"'a.example'", "'a.example', 'a.example'", ":7:1: certificate.0.names: a.example is in a already"},
		{"'a.example'", "", ":7:1: certificate.0.names: 0 names"},
		{"name = 'a'", "name = '../a'", ":6:1: certificate.0.name: "},
		{"[[authority]]", "[limits]\norders_per_hour = 1000\n[[authority]]", ":4:1: limits.orders_per_hour: 1000 is not 1 to 100"},
	} {
		file := filepath.Join(dir, "tls.toml")
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(good, c.from, c.to, 1)), 0o600))
		status, text := call("certs", "check", file)
		if c.says == "" {
			assert.Equal(t, 0, status, text)
			continue
		}
		assert.Equal(t, 2, status, c.to)
		assert.Contains(t, text, "tls.toml"+c.says)
		assert.Equal(t, 1, strings.Count(text, "\n"), text)
	}
	status, text := call("certs", "check", "../../deploy/tls.toml")
	assert.Equal(t, 0, status, text)
	status, _ = call("certs", "status", filepath.Join(dir, "nowhere"))
	assert.Equal(t, 2, status)
}

// Connections with a request in hand each, without a pause between two, over three swaps: each request has its one answer, no
// connection breaks, no handshake fails, and old certificates end with the connections that began by them. Two thousand of
// them where PEARKNOT_CONNECTIONS says so: see docs/tls.md, 4.
func TestSwapUnderConnections(t *testing.T) {
	count := 200
	if text := os.Getenv("PEARKNOT_CONNECTIONS"); text != "" {
		var err error
		count, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	r := newSecureRig(t)
	w, address, socket := r.node("n1", 2*count+200)
	serial := r.becomes(address, func(string) bool { return true })
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	answers, broken, met := map[int]int{}, []error{}, map[string]int{}
	var begun atomic.Int64
	starting := make(chan struct{}, 64)
	for k := range count {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: r.clients}}
			defer client.CloseIdleConnections()
			starting <- struct{}{} // one machine plays them all: its own queue is no client's silence
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q, err := http.NewRequest("POST", "https://"+address+"/api", strings.NewReader("paid"))
				if err != nil {
					panic(err) // plain values
				}
				q.Header = http.Header{"X-Trace-Id": {fmt.Sprint(k, "-", n)}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"4000"}}
				a, err := client.Do(q)
				mu.Lock()
				if err != nil {
					broken = append(broken, err)
				} else {
					answers[a.StatusCode]++
					met[a.TLS.PeerCertificates[0].SerialNumber.String()]++
				}
				mu.Unlock()
				if n == 0 {
					<-starting
					begun.Add(1)
				}
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if a.StatusCode != 200 { // as told: come back later
					select {
					case <-stop:
					case <-time.After(500 * time.Millisecond):
					}
				}
			}
		})
	}
	require.Eventually(t, func() bool { return begun.Load() == int64(count) }, 20*time.Second, 5*time.Millisecond, "each has had an answer")
	for range 3 {
		status, text := call("certs", "renew", socket, "a")
		require.Equal(t, 0, status, text)
		last := serial
		serial = r.becomes(address, func(s string) bool { return s != last })
	}
	close(stop)
	all.Wait()
	assert.Empty(t, broken, "%d of %d", len(broken), count)
	assert.Positive(t, answers[200])
	for status := range answers {
		assert.Contains(t, []int{200, 502, 503}, status)
	}
	var s controlsocket.Status
	require.NoError(t, controlsocket.NewClient(socket, time.Second).Call(t.Context(), "GET", controlsocket.StatusPath, nil, &s))
	assert.Zero(t, s.TLS.Handshakes.Evicted)
	w.mu.Lock()
	defer w.mu.Unlock()
	pushed := map[string]int{}
	for _, id := range w.attempts {
		pushed[id]++
		assert.Equal(t, 1, pushed[id], "at-most-once")
	}
	t.Logf("%d connections, answers %v, certificates met %v, most memory %.0f MB", count, answers, met, s.MemoryMB)
}

// An agent's instances share a store: one of them orders for both, and the agent tells when what each serves ends.
func TestAgentKnowsExpiry(t *testing.T) {
	r := newSecureRig(t)
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		return l.Addr().String()
	}
	put := func(name, text string, args ...any) string {
		file := filepath.Join(r.dir, name)
		require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, text, args...), 0o600))
		return file
	}
	first, second := free(), free()
	r.alpn.Store(&first)
	put("tls.toml", "listen = '127.0.0.1:1'\ndir = %q\n[limits]\nbackoff_s = 1\n[[authority]]\ndirectory = %q\nroots_file = 'roots.pem'\n[[certificate]]\nname = 'a'\nnames = ['one.example']\n",
		filepath.Join(r.dir, "store"), r.directory)
	put("node.json", `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":128},
"known":{"rev":41,"all":true,"targets":[%s]},"settings":%s}`, entry("127.0.0.1:1", "up"), settings)
	fleetFile := put("fleet.toml", "[[instance]]\nname = 'i1'\nconfig = 'node.json'\nlisten = %q\ntls = 'tls.toml'\ntls_listen = %q\n[[instance]]\nname = 'i2'\nconfig = 'node.json'\nlisten = %q\ntls = 'tls.toml'\ntls_listen = %q\n",
		free(), first, free(), second)
	agent := exec.Command(nodeProgram, "agent", "--config", put("agent.toml", "dir = 's'\nbinary = [%q]\n", nodeProgram))
	require.NoError(t, agent.Start())
	socket := filepath.Join(r.dir, "s", "agent.sock")
	t.Cleanup(func() {
		_, _ = call("fleet", "--socket", socket, "stop", "--reason", "over", "--wait", "--at-once", "2")
		_ = agent.Process.Signal(os.Interrupt)
		_ = agent.Wait()
	})
	require.Eventually(t, func() bool { return isSocket(socket) }, 5*time.Second, 5*time.Millisecond)
	status, text := call("fleet", "--socket", socket, "apply", fleetFile, "--reason", "two desks", "--wait")
	require.Equal(t, 0, status, text)
	assert.Equal(t, r.becomes(first, func(string) bool { return true }), r.becomes(second, func(string) bool { return true }))
	require.Eventually(t, func() bool {
		_, text = call("fleet", "--socket", socket, "status")
		return strings.Count(text, "fine, 90.0 d") == 2
	}, 10*time.Second,
		50*time.Millisecond, text)
	assert.Equal(t, 1, r.a.OrderCount())
	put("fleet.toml", "[[instance]]\nname = 'i1'\nconfig = 'node.json'\ntls_listen = 'x'\n")
	status, text = call("fleet", "--socket", socket, "apply", fleetFile, "--reason", "odd")
	assert.Equal(t, 2, status, text)
	assert.Contains(t, text, "fleet.toml:4:1: instance.0.tls_listen: goes with tls")
}

// cpu is what a process has used.
func cpu(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(b, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(b, err)
	return time.Duration(user+system) * 10 * time.Millisecond // of the system's ticks, a hundred a second
}

// BenchmarkConnections tells what a connection with one look at the health costs a real node's CPU, and how many come a
// second by 8 clients: plain, with a whole handshake, with a resumed one.
func BenchmarkConnections(b *testing.B) {
	r := newSecureRig(b)
	w, address, _ := r.node("n1", 1024)
	r.becomes(address, func(string) bool { return true })
	for _, kind := range []string{"plain", "full", "resumed"} {
		b.Run(kind, func(b *testing.B) {
			config := r.clients.Clone()
			if kind == "resumed" {
				config.ClientSessionCache = tls.NewLRUClientSessionCache(64)
			}
			begun := cpu(b, w.process.Process.Pid)
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					var c net.Conn
					var err error
					if kind == "plain" {
						c, err = net.Dial("tcp", w.address)
					} else {
						c, err = tls.Dial("tcp", address, config)
					}
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = c.Write([]byte("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
					_, _ = io.ReadAll(c)
					_ = c.Close()
				}
			})
			b.ReportMetric(float64((cpu(b, w.process.Process.Pid)-begun).Microseconds())/float64(b.N), "node-us/op")
		})
	}
}

// BenchmarkMemory tells what an open connection between requests costs a real node.
func BenchmarkMemory(b *testing.B) {
	const count = 500
	for _, kind := range []string{"plain", "tls"} {
		b.Run(kind, func(b *testing.B) {
			r := newSecureRig(b)
			w, address, _ := r.node("n1", 2048)
			r.becomes(address, func(string) bool { return true })
			resident := func() float64 {
				data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", w.process.Process.Pid))
				require.NoError(b, err)
				pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
				require.NoError(b, err)
				return pages * float64(os.Getpagesize())
			}
			before := resident()
			for range count {
				var c net.Conn
				var err error
				if kind == "plain" {
					c, err = net.Dial("tcp", w.address)
				} else {
					c, err = tls.Dial("tcp", address, r.clients)
				}
				require.NoError(b, err)
				defer c.Close()
				_, err = c.Write([]byte("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))
				require.NoError(b, err)
				_, err = c.Read(make([]byte, 1024))
				require.NoError(b, err)
			}
			each := (resident() - before) / count / 1024
			for b.Loop() {
			}
			b.ReportMetric(each, "KB/connection")
		})
	}
}
