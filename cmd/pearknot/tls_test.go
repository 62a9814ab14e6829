package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
)

// Two nodes share a certificate store. One of them orders certificates, the other answers the authority's challenge, and both
// serve what is issued. When the first is killed, the second orders in its place.
func TestNodesOverTLS(t *testing.T) {
	rig := newTLSRig(t)
	any := func(string) bool { return true }
	one, first, socket1 := rig.startNode("n1", 256)
	old := rig.waitForSerial(first, any)
	two, second, socket2 := rig.startNode("n2", 256)
	assert.Equal(t, old, rig.waitForSerial(second, any))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: rig.clients}}
	defer client.CloseIdleConnections()
	ask := func(address, id string) {
		request, err := http.NewRequest("POST", "https://"+address+"/api", strings.NewReader("paid"))
		require.NoError(t, err)
		request.Header = http.Header{"X-Trace-Id": {id}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"2000"}}
		answer, err := client.Do(request)
		require.NoError(t, err)
		defer answer.Body.Close()
		assert.Equal(t, 200, answer.StatusCode)
	}
	ask(first, "1")
	ask(second, "2")

	status, text := runProgram("certs", "status", socket1)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "ordered by this instance")
	status, text = runProgram("certs", "status", socket2)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, fmt.Sprintf("ordered by process %d", one.process.Process.Pid))
	status, text = runProgram("certs", "status", filepath.Join(rig.dir, "n2.toml"))
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "fine")
	status, text = runProgram("certs", "check", filepath.Join(rig.dir, "n1.toml"), "--address", first)
	assert.Equal(t, 0, status, text)
	assert.Contains(t, text, "two.example: serial "+old)
	status, text = runProgram("certs", "renew", socket2, "a")
	assert.Equal(t, 3, status, text)
	assert.Contains(t, text, "orders the certificates")
	status, text = runProgram("certs", "renew", socket1, "b")
	assert.Equal(t, 3, status, text)
	assert.Contains(t, text, "no certificate b")

	rig.alpn.Store(&second) // the authority meets the one that does not order
	status, text = runProgram("certs", "renew", socket1, "a")
	require.Equal(t, 0, status, text)
	fresh := rig.waitForSerial(first, func(s string) bool { return s != old })
	assert.Equal(t, fresh, rig.waitForSerial(second, func(s string) bool { return s != old }))
	ask(first, "3") // on the connection from before

	require.NoError(t, one.process.Process.Kill())
	require.Error(t, <-one.ended, "killed")
	require.Eventually(t, func() bool { status, text = runProgram("certs", "revoke", socket2, "a"); return status == 0 }, 15*time.Second, 50*time.Millisecond, text)
	last := rig.waitForSerial(second, func(s string) bool { return s != fresh })
	assert.NotEqual(t, old, last)
	status, text = runProgram("certs", "account-key", socket2)
	assert.Equal(t, 0, status, text)
	status, text = runProgram("certs", "renew", socket2, "a")
	assert.Equal(t, 0, status, text)
	rig.waitForSerial(second, func(s string) bool { return s != last })
	var s controlsocket.Status
	require.NoError(t, controlsocket.NewClient(socket2, time.Second).Call(t.Context(), "GET", controlsocket.StatusPath, nil, &s))
	assert.True(t, s.TLS.Orders)
	assert.Positive(t, s.TLS.Handshakes.Done)
	for _, file := range []string{"store/state.json", "store/account-0.key", "store/names/a/served.pem", "store/tickets"} {
		info, err := os.Stat(filepath.Join(rig.dir, file))
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), file)
	}
	require.NoError(t, two.process.Process.Signal(os.Interrupt))
	require.NoError(t, <-two.ended)
}

// Each error in a TLS file is reported in one line with its place.
func TestTLSFile(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short"), []byte("YWJj\n"), 0o600))
	good := "listen = ':1'\ndir = 'x'\n[[authority]]\ndirectory = 'https://a/d'\n[[certificate]]\nname = 'a'\nnames = ['a.example']\n"
	for _, c := range []struct{ from, to, want string }{
		{"", "", ""},
		{"listen = ':1'", "listen = '1'", ":1:1: listen: address 1: missing port"},
		{"dir = 'x'", "", ":1:1: dir: none given"},
		{"dir = 'x'", "dirr = 'x'", ":2:1: unknown key dirr"},
		{"dir = 'x'", "dir = 'x'\nchallenge_tls = false", ":3:1: challenge_tls: no challenge type"},
		{"dir = 'x'", "dir = 'x'\nchallenge_listen = 'x'", ":3:1: challenge_listen: address x"},
		{"https://a/d", "http://a/d", ":4:1: authority.0.directory: \"http://a/d\" is not an https URL"},
		{"https://a/d", "http://127.0.0.1:9/d", ""},
		{"'https://a/d'", "'https://a/d'\nkey_id = 'x'", ":5:1: authority.0.key_id: key_id and key_file must be set together"},
		{"'https://a/d'", "'https://a/d'\nkey_id = 'x'\nkey_file = 'short'", ":6:1: authority.0.key_file: short: key is too short"},
		{"'https://a/d'", "'https://a/d'\nroots_file = 'short'", ":5:1: authority.0.roots_file: short: contains no certificate"},
		{"'a.example'", "'*.example'", ":7:1: certificate.0.names: \"*.example\" is not a lower-case host name"},
		{"'a.example'", "'a.example', 'a.example'", ":7:1: certificate.0.names: a.example is already in certificate a"},
		{"'a.example'", "", ":7:1: certificate.0.names: 0 names"},
		{"name = 'a'", "name = '../a'", ":6:1: certificate.0.name: "},
		{"[[authority]]", "[limits]\norders_per_hour = 1000\n[[authority]]", ":4:1: limits.orders_per_hour: 1000 is out of range 1 to 100"},
	} {
		file := filepath.Join(dir, "tls.toml")
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(good, c.from, c.to, 1)), 0o600))
		status, text := runProgram("certs", "check", file)
		if c.want == "" {
			assert.Equal(t, 0, status, text)
			continue
		}
		assert.Equal(t, 2, status, c.to)
		assert.Contains(t, text, "tls.toml"+c.want)
		assert.Equal(t, 1, strings.Count(text, "\n"), text)
	}
	status, text := runProgram("certs", "check", "../../deploy/tls.toml")
	assert.Equal(t, 0, status, text)
	status, _ = runProgram("certs", "status", filepath.Join(dir, "nowhere"))
	assert.Equal(t, 2, status)
}

// Many connections send one request after the other while the certificate is replaced three times. Each request has one
// answer, no connection breaks, no handshake fails, and a connection keeps the certificate that it began with.
// PEARKNOT_CONNECTIONS sets their number, 2000 in docs/tls.md, 4.
func TestCertificateSwapUnderLoad(t *testing.T) {
	count := 200
	if text := os.Getenv("PEARKNOT_CONNECTIONS"); text != "" {
		var err error
		count, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	rig := newTLSRig(t)
	node, address, socket := rig.startNode("n1", 2*count+200)
	serial := rig.waitForSerial(address, func(string) bool { return true })
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	answers, broken, met := map[int]int{}, []error{}, map[string]int{}
	var begun atomic.Int64
	starting := make(chan struct{}, 64)
	for k := range count {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: rig.clients}}
			defer client.CloseIdleConnections()
			starting <- struct{}{} // one machine plays them all: its own queue is no client's silence
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				request, err := http.NewRequest("POST", "https://"+address+"/api", strings.NewReader("paid"))
				if err != nil {
					panic(err) // plain values
				}
				request.Header = http.Header{"X-Trace-Id": {fmt.Sprint(k, "-", n)}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"4000"}}
				answer, err := client.Do(request)
				mu.Lock()
				if err != nil {
					broken = append(broken, err)
				} else {
					answers[answer.StatusCode]++
					met[answer.TLS.PeerCertificates[0].SerialNumber.String()]++
				}
				mu.Unlock()
				if n == 0 {
					<-starting
					begun.Add(1)
				}
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
				if answer.StatusCode != 200 { // as told: come back later
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
		status, text := runProgram("certs", "renew", socket, "a")
		require.Equal(t, 0, status, text)
		last := serial
		serial = rig.waitForSerial(address, func(s string) bool { return s != last })
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
	node.mu.Lock()
	defer node.mu.Unlock()
	attempts := map[string]int{}
	for _, id := range node.attempts {
		attempts[id]++
		assert.Equal(t, 1, attempts[id], "at-most-once")
	}
	t.Logf("%d connections, answers %v, certificates met %v, most memory %.0f MB", count, answers, met, s.MemoryMB)
}

// Two instances of an agent share a certificate store. One of them orders for both, and the agent shows when the certificate
// that each serves expires.
func TestAgentShowsCertificateExpiry(t *testing.T) {
	rig := newTLSRig(t)
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		return l.Addr().String()
	}
	put := func(name, text string, args ...any) string {
		file := filepath.Join(rig.dir, name)
		require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, text, args...), 0o600))
		return file
	}
	first, second := free(), free()
	rig.alpn.Store(&first)
	put("tls.toml", "listen = '127.0.0.1:1'\ndir = %q\n[limits]\nbackoff_s = 1\n[[authority]]\ndirectory = %q\nroots_file = 'roots.pem'\n[[certificate]]\nname = 'a'\nnames = ['one.example']\n",
		filepath.Join(rig.dir, "store"), rig.directory)
	put("node.json", `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":128},
"known":{"rev":41,"all":true,"targets":[%s]},"settings":%s}`, endpointEntry("127.0.0.1:1", "up"), settings)
	fleetFile := put("fleet.toml", "[[instance]]\nname = 'i1'\nconfig = 'node.json'\nlisten = %q\ntls = 'tls.toml'\ntls_listen = %q\n[[instance]]\nname = 'i2'\nconfig = 'node.json'\nlisten = %q\ntls = 'tls.toml'\ntls_listen = %q\n",
		free(), first, free(), second)
	agent := exec.Command(nodeProgram, "agent", "--config", put("agent.toml", "dir = 's'\nbinary = [%q]\n", nodeProgram))
	require.NoError(t, agent.Start())
	socket := filepath.Join(rig.dir, "s", "agent.sock")
	t.Cleanup(func() {
		_, _ = runProgram("fleet", "--socket", socket, "stop", "--reason", "over", "--wait", "--at-once", "2")
		_ = agent.Process.Signal(os.Interrupt)
		_ = agent.Wait()
	})
	require.Eventually(t, func() bool { return isSocket(socket) }, 5*time.Second, 5*time.Millisecond)
	status, text := runProgram("fleet", "--socket", socket, "apply", fleetFile, "--reason", "two desks", "--wait")
	require.Equal(t, 0, status, text)
	assert.Equal(t, rig.waitForSerial(first, func(string) bool { return true }), rig.waitForSerial(second, func(string) bool { return true }))
	require.Eventually(t, func() bool {
		_, text = runProgram("fleet", "--socket", socket, "status")
		return strings.Count(text, "fine, 90.0 d") == 2
	}, 10*time.Second,
		50*time.Millisecond, text)
	assert.Equal(t, 1, rig.authority.OrderCount())
	put("fleet.toml", "[[instance]]\nname = 'i1'\nconfig = 'node.json'\ntls_listen = 'x'\n")
	status, text = runProgram("fleet", "--socket", socket, "apply", fleetFile, "--reason", "odd")
	assert.Equal(t, 2, status, text)
	assert.Contains(t, text, "fleet.toml:4:1: instance.0.tls_listen: goes with tls")
}
