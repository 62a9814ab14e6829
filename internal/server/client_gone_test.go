package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/balancer"
	"pearknot/internal/discovery"
)

// From 0.1 s after a client has closed its connection or canceled, no attempt may begin for it: no first attempt, retry or hedge.
// A busy machine may take longer than that to notice the close. The tests therefore pause the sender of the attempt at the moment
// in question, let the client disconnect, wait until the server has noticed, and resume. From then on no attempt may begin.
// The time until the server notices is bounded by disconnectCheckInterval if net/http does not watch.
//
// A cancel is the end of a connection here, since a connection carries one request at a time and TLS offers no protocol but
// HTTP/1.1. It may be an HTTP client's own cancel, a half close, or TLS's close_notify with the TCP connection left open.

// attemptRecorder runs backends and records the attempts that begin there: the first byte of each counts.
type attemptRecorder struct {
	t         *testing.T
	began     chan bool
	responses chan string // to one attempt
	reading   sync.WaitGroup

	mu      sync.Mutex
	count   int
	conns   int
	ignored bool // the attempts began at another moment than the test is about: nothing is asserted
}

func (a *attemptRecorder) hasAny() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count > 0
}

// newAttemptRecorder returns a recorder that expects want attempts. It asserts that during cleanup, after the node has stopped and
// all bytes written to a backend have been read.
func newAttemptRecorder(t *testing.T, want int) *attemptRecorder {
	t.Helper()
	a := &attemptRecorder{t: t, began: make(chan bool, 64), responses: make(chan string, 1)}
	t.Cleanup(func() {
		read := make(chan bool)
		go func() {
			a.reading.Wait()
			close(read)
		}()
		select {
		case <-read:
		case <-time.After(10 * time.Second):
			t.Error("an attempt is still in flight")
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.ignored {
			assert.Equal(t, want, a.count, "total attempts")
			assert.Equal(t, want, a.conns, "no connection is opened for another attempt")
		}
	})
	return a
}

// startBackend starts a backend. It reads each connection, which carries one attempt, to its end.
func (a *attemptRecorder) startBackend() (address string) {
	a.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(a.t, err)
	lastClient := net.IPv4(127, 0, 0, 2) // whose connection is the last one
	a.reading.Go(func() {
		defer listener.Close()
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			if conn.RemoteAddr().(*net.TCPAddr).IP.Equal(lastClient) {
				_ = conn.Close()
				return
			}
			a.mu.Lock()
			a.conns++
			a.mu.Unlock()
			a.reading.Go(func() { a.serveConn(conn) })
		}
	})
	a.t.Cleanup(func() {
		conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: lastClient}}).Dial("tcp", listener.Addr().String())
		if assert.NoError(a.t, err) {
			_ = conn.Close()
		}
	})
	return listener.Addr().String()
}

func (a *attemptRecorder) serveConn(conn net.Conn) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return
	}
	a.mu.Lock()
	a.count++
	a.mu.Unlock()
	a.began <- true
	ended := make(chan bool)
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case response := <-a.responses:
		_, _ = io.WriteString(conn, response)
		<-ended
	case <-ended:
	}
}

// startUnreachableBackend starts a backend to which no connection opens until allowConnection. isConnecting reports whether one is
// being opened, and awaitArrival waits for it and the bytes written to it.
func (a *attemptRecorder) startUnreachableBackend() (address string, isConnecting func() bool, allowConnection, awaitArrival func()) {
	a.t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	require.NoError(a.t, err)
	require.NoError(a.t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(a.t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(a.t, err)
	port := name.(*unix.SockaddrInet4).Port
	address = fmt.Sprintf("127.0.0.1:%d", port)
	filler, err := net.Dial("tcp", address) // occupies the only place in the listener's queue
	require.NoError(a.t, err)
	var accepted []int
	accept := func() bool {
		conn, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK)
		if err == nil {
			accepted = append(accepted, conn)
		}
		return err == nil
	}
	a.t.Cleanup(func() { // the node has stopped, so all that it wrote has arrived
		for accept() {
		}
		for _, conn := range accepted {
			if n, _ := unix.Read(conn, make([]byte, 1)); n > 0 {
				a.count++
			}
			_ = unix.Close(conn)
		}
		_ = filler.Close()
		_ = unix.Close(fd)
	})
	isConnecting = func() bool {
		table, err := os.ReadFile("/proc/self/net/tcp")
		require.NoError(a.t, err)
		return strings.Contains(string(table), fmt.Sprintf(" 0100007F:%04X 02 ", port)) // SYN_SENT
	}
	allowConnection = func() { require.Eventually(a.t, accept, 10*time.Second, time.Millisecond) }
	awaitArrival = func() {
		require.Eventually(a.t, accept, 20*time.Second, time.Millisecond)
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(accepted[1]), Events: unix.POLLIN}}, 100)
	}
	return address, isConnecting, allowConnection, awaitArrival
}

// pausingDecider is a balancer that pauses before it returns one attempt and again after it, as one with very many backends and
// decisions to make may. The node's actor processes no events meanwhile.
type pausingDecider struct {
	balancer.Decider
	number     int // of the attempt at which it pauses; -1 is none
	decided    chan bool
	release    chan bool // returns the attempt
	resume     chan bool // continues after the attempt
	stage      pauseStage
	isExpected func() bool // whether the attempt begins at the moment that the test is about; nil is always
	missed     bool        // it did not, so nothing was paused
}

// pauseStage is the progress of a pausingDecider.
type pauseStage int

const (
	beforeAttempt pauseStage = iota
	afterAttempt
	resumed
)

func newPausingDecider(number int) *pausingDecider {
	return &pausingDecider{number: number, decided: make(chan bool), release: make(chan bool), resume: make(chan bool)}
}

func (p *pausingDecider) decide(options *balancer.Config, now float64) balancer.Decider {
	p.Decider = balancer.New(options, now)
	return p
}

func (p *pausingDecider) Next() (balancer.Decision, bool) {
	if p.stage == afterAttempt {
		p.stage = resumed
		<-p.resume
	}
	decision, more := p.Decider.Next()
	if more && p.stage == beforeAttempt && decision.Kind == balancer.DoAttempt && decision.Attempt.Number == p.number {
		p.missed = p.isExpected != nil && !p.isExpected()
		close(p.decided)
		p.stage = resumed
		if !p.missed {
			p.stage = afterAttempt
			<-p.release
		}
	}
	return decision, more
}

// disconnectMethod is a way in which a client disconnects. begin connects and sends a request, leave disconnects.
type disconnectMethod struct {
	name  string
	begin func(t *testing.T, srv *Server, text string) (leave func())
}

// plainHTTP returns the begin function of a client that uses plain HTTP and disconnects by leave.
func plainHTTP(leave func(net.Conn)) func(*testing.T, *Server, string) func() {
	return func(t *testing.T, srv *Server, text string) func() {
		conn := connectAndSend(t, srv, text)
		return func() { leave(conn) }
	}
}

var disconnectMethods = []disconnectMethod{
	{"FIN", plainHTTP(closeConn)},
	{"RST", plainHTTP(closeWithReset)},
	{"half close", plainHTTP(func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() })},
	{"TLS close_notify only", func(t *testing.T, srv *Server, text string) func() {
		conn, err := dialTLS(srv, &tls.Config{})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return func() { _ = conn.CloseWrite() }
	}},
	{"HTTP client cancel", func(t *testing.T, srv *Server, text string) func() {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		require.NoError(t, err)
		request.RequestURI, request.URL.Scheme, request.URL.Host = "", "http", srv.Address()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			_, err := (&http.Transport{}).RoundTrip(request.WithContext(ctx))
			ended <- err
		}()
		return func() {
			cancel()
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	}},
}

// withLongBody adds a body that is streamed, so that net/http does not watch for a disconnect.
func withLongBody(method disconnectMethod) disconnectMethod {
	begin := method.begin
	method.begin = func(t *testing.T, srv *Server, text string) func() {
		return begin(t, srv, strings.Replace(text, "Content-Length: 0\r\n\r\n", "Content-Length: 70000\r\n\r\n"+strings.Repeat("x", 70_000), 1))
	}
	method.name += " after a long body"
	return method
}

const (
	firstAttempt = iota
	retryAttempt
	hedgeAttempt
)

const serverErrorResponse = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func TestNoAttemptBeginsForClientThatHasGone(t *testing.T) {
	type moment struct {
		name string
		run  func(*testing.T, int, disconnectMethod)
	}
	const queued, dialing = "queued", "dialing"
	for _, when := range []moment{{queued, goneWhileQueued}, {"in the actor's mailbox", goneWhileInMailbox},
		{dialing, goneDuringDial}, {"dialing, the disconnect in the mailbox", goneDuringDialUnnoticed}} {
		for kind, name := range []string{"first", "retry", "hedge"} {
			methods := disconnectMethods
			if kind == firstAttempt {
				methods = append(methods[:len(methods):len(methods)], withLongBody(disconnectMethods[0]), withLongBody(disconnectMethods[1]))
			}
			for _, method := range methods {
				if kind == firstAttempt && (when.name == queued || when.name == dialing) && (method.name == "FIN" || method.name == "RST" || strings.Contains(method.name, "long")) {
					continue // TestRequestWhoseClientHasGoneIsNotSent, TestRequestWhoseClientDisconnectsDuringDialIsNotSent
				}
				t.Run(fmt.Sprintf("%s %s, %s", name, when.name, method.name), func(t *testing.T) {
					t.Parallel()
					when.run(t, kind, method)
				})
			}
		}
	}
}

// startServerWithBackends starts a server whose node has the backends at addresses and a class that may be retried and hedged.
func startServerWithBackends(t *testing.T, decider *pausingDecider, addresses ...string) *Server {
	t.Helper()
	endpoints := &discovery.List{Complete: true}
	for i, address := range addresses {
		endpoints.Endpoints = append(endpoints.Endpoints, testEndpoint(i, address))
	}
	srv, _, _ := startServer(t, 256, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3,
		OverloadMultiple: 3, OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 50e3, PriorityWeight: 1, LateWeight: 1}}}, decider.decide, endpoints)
	return srv
}

func testEndpoint(number int, address string) discovery.Endpoint {
	return discovery.Endpoint{Name: fmt.Sprint("s", number), Address: address, State: balancer.BackendReady, Weight: 1}
}

// waitForOpenRequests waits until the server and the node have want open requests.
func waitForOpenRequests(t *testing.T, srv *Server, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, err := srv.node.Status(t.Context())
		return srv.openRequests.Load() == int64(want) && err == nil && status.OpenRequests == want
	}, 10*time.Second, time.Millisecond)
}

// waitUntilClientsGone waits until the server has noticed that all clients have disconnected.
func waitUntilClientsGone(t *testing.T, srv *Server) {
	t.Helper()
	require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// requestWithCostHint returns a request whose hedge is due about 4 * ms after its first attempt.
func requestWithCostHint(id string, ms int) string {
	return strings.Replace(requestText(id, 0), "X-Size-Hint: 100", fmt.Sprintf("X-Size-Hint: %d000", ms), 1)
}

// goneWhileQueued tests a client that disconnects before the balancer has decided on the attempt. A first attempt waits for
// capacity, a retry for the attempt before it, a hedge for its time.
func goneWhileQueued(t *testing.T, kind int, method disconnectMethod) {
	t.Helper()
	attempts := map[int]int{firstAttempt: 4, retryAttempt: 1, hedgeAttempt: 1}[kind]
	backends := newAttemptRecorder(t, attempts)
	decider := newPausingDecider(-1)
	if kind == firstAttempt { // a node has four requests in flight at a backend that is new to it
		srv := startServerWithBackends(t, decider, backends.startBackend())
		var inFlight []net.Conn
		for i := range attempts {
			inFlight = append(inFlight, connectAndSend(t, srv, requestWithCostHint(fmt.Sprint("fill ", i), 1000)))
			<-backends.began
		}
		leave := method.begin(t, srv, requestWithCostHint("a", 1000))
		require.Eventually(t, func() bool { return srv.openRequests.Load() == int64(attempts+1) }, 10*time.Second, time.Millisecond)
		leave()
		waitForOpenRequests(t, srv, attempts)
		backends.responses <- serverErrorResponse // frees capacity
		waitForOpenRequests(t, srv, attempts-1)
		for _, conn := range inFlight {
			closeConn(conn)
		}
		waitForOpenRequests(t, srv, 0)
		return
	}
	srv := startServerWithBackends(t, decider, backends.startBackend(), backends.startBackend(), backends.startBackend())
	leave := method.begin(t, srv, requestWithCostHint("a", 2000))
	<-backends.began
	leave()
	waitUntilClientsGone(t, srv)
	if kind == retryAttempt {
		backends.responses <- serverErrorResponse
	}
	waitForOpenRequests(t, srv, 0)
}

// goneWhileInMailbox tests a client that disconnects after the balancer has decided on the attempt, which has not begun. The
// disconnect is in the mailbox of the node's actor, which is paused.
func goneWhileInMailbox(t *testing.T, kind int, method disconnectMethod) {
	t.Helper()
	backends := newAttemptRecorder(t, map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	decider := newPausingDecider(map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	srv := startServerWithBackends(t, decider, backends.startBackend(), backends.startBackend(), backends.startBackend())
	leave := method.begin(t, srv, requestWithCostHint("a", map[int]int{firstAttempt: 1, retryAttempt: 2000, hedgeAttempt: 1}[kind]))
	if kind != firstAttempt {
		<-backends.began
	}
	if kind == retryAttempt {
		backends.responses <- serverErrorResponse
	}
	<-decider.decided
	leave()
	waitUntilClientsGone(t, srv)
	close(decider.release)
	select { // an attempt would begin at once; no event shows that none does
	case <-backends.began:
	case <-time.After(100 * time.Millisecond):
	}
	close(decider.resume)
	waitForOpenRequests(t, srv, 0)
}

// goneDuringDial tests an attempt whose connection does not open until the client has disconnected and the node's actor has
// processed that.
func goneDuringDial(t *testing.T, kind int, method disconnectMethod) {
	goneDuringDialWith(t, kind, method, newPausingDecider(-1))
}

// goneDuringDialUnnoticed is like goneDuringDial, but the node's actor has not processed the disconnect.
func goneDuringDialUnnoticed(t *testing.T, kind int, method disconnectMethod) {
	goneDuringDialWith(t, kind, method, newPausingDecider(map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind]))
}

func goneDuringDialWith(t *testing.T, kind int, method disconnectMethod, decider *pausingDecider) {
	t.Helper()
	backends := newAttemptRecorder(t, map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	address, isConnecting, allowConnection, awaitArrival := backends.startUnreachableBackend()
	close(decider.release)
	var srv *Server
	var leave func()
	if kind == firstAttempt {
		srv = startServerWithBackends(t, decider, address)
		leave = method.begin(t, srv, requestWithCostHint("a", 1))
	} else {
		srv = startServerWithBackends(t, decider, backends.startBackend())
		leave = method.begin(t, srv, requestWithCostHint("a", map[int]int{retryAttempt: 2000, hedgeAttempt: 100}[kind]))
		<-backends.began
		srv.node.EndpointsChanged(&discovery.List{Version: 1, Endpoints: []discovery.Endpoint{testEndpoint(9, address)}})
		if kind == retryAttempt {
			_, err := srv.node.Status(t.Context()) // the endpoint list is applied
			require.NoError(t, err)
			backends.responses <- serverErrorResponse
		}
	}
	require.Eventually(t, isConnecting, 20*time.Second, time.Millisecond)
	leave()
	waitUntilClientsGone(t, srv)
	allowConnection()
	if decider.number >= 0 {
		awaitArrival()
		close(decider.resume)
	}
	waitForOpenRequests(t, srv, 0)
}
