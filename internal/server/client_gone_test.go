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

// A client that closes its connection or cancels has gone, and 0.1 s later no attempt may begin for it: no first attempt, retry or
// hedge. A busy machine may take longer than that to notice the close at all. The tests therefore stop whatever would send at the
// moment in question, let the client leave, wait until the server has noticed, and go on. From then on not one attempt may begin.
// How soon the server notices is bounded by disconnectCheckInterval where net/http does not look.
//
// A cancel is the end of a connection here, since a connection carries one request at a time and TLS offers no protocol but
// HTTP/1.1. It may be an HTTP client's own cancel, the end of its sending alone, or TLS's end with the TCP connection left open.

// attemptRecorder runs backends and records the attempts that begin there: the first byte of each counts.
type attemptRecorder struct {
	t         *testing.T
	began     chan bool
	responses chan string // to one attempt
	reading   sync.WaitGroup

	mu      sync.Mutex
	count   int
	conns   int
	ignored bool // the attempts came at another moment than the test is about: nothing is asserted
}

func (a *attemptRecorder) hasAny() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count > 0
}

// newAttemptRecorder makes a recorder that expects want attempts. It asserts last, once the node has stopped: all that was written
// to a backend has been read by then.
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
			assert.Equal(t, want, a.count, "attempts in all")
			assert.Equal(t, want, a.conns, "nor is a connection opened for another")
		}
	})
	return a
}

// startBackend starts a backend. It reads each connection, which carries one attempt, to its end.
func (a *attemptRecorder) startBackend() (address string) {
	a.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(a.t, err)
	lastClient := net.IPv4(127, 0, 0, 2) // whose connection comes behind all others
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
// being opened, and awaitArrival waits for it and what is written to it.
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
	filler, err := net.Dial("tcp", address) // has the only place in the listener's queue
	require.NoError(a.t, err)
	var accepted []int
	accept := func() bool {
		conn, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK)
		if err == nil {
			accepted = append(accepted, conn)
		}
		return err == nil
	}
	a.t.Cleanup(func() { // the node has stopped: all that it wrote has arrived
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

// pausingDecider is a balancer that stops before it gives out one attempt and again behind it, as one with very many backends and
// decisions to make may. The node's actor hears of nothing meanwhile.
type pausingDecider struct {
	balancer.Decider
	number     int // of the attempt at which it stops; -1 is none
	decided    chan bool
	release    chan bool // gives the attempt out
	resume     chan bool // goes on behind the attempt
	stage      pauseStage
	isExpected func() bool // whether the attempt comes at the moment that the test is about; nil is always
	missed     bool        // it did not: nothing was stopped
}

// pauseStage is how far a pausingDecider is.
type pauseStage int

const (
	beforeAttempt pauseStage = iota
	behindAttempt
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
	if p.stage == behindAttempt {
		p.stage = resumed
		<-p.resume
	}
	decision, more := p.Decider.Next()
	if more && p.stage == beforeAttempt && decision.Kind == balancer.DoAttempt && decision.Attempt.Number == p.number {
		p.missed = p.isExpected != nil && !p.isExpected()
		close(p.decided)
		p.stage = resumed
		if !p.missed {
			p.stage = behindAttempt
			<-p.release
		}
	}
	return decision, more
}

// departure is a way in which a client leaves. begin connects and sends a request, leave leaves.
type departure struct {
	name  string
	begin func(t *testing.T, srv *Server, text string) (leave func())
}

// plainDeparture is one of a client over plain HTTP.
func plainDeparture(leave func(net.Conn)) func(*testing.T, *Server, string) func() {
	return func(t *testing.T, srv *Server, text string) func() {
		conn := connectAndSend(t, srv, text)
		return func() { leave(conn) }
	}
}

var departures = []departure{
	{"FIN", plainDeparture(closeConn)},
	{"RST", plainDeparture(closeWithReset)},
	{"end of its sending", plainDeparture(func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() })},
	{"TLS's own end alone", func(t *testing.T, srv *Server, text string) func() {
		conn, err := dialTLS(srv, &tls.Config{})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return func() { _ = conn.CloseWrite() }
	}},
	{"an HTTP client's cancel", func(t *testing.T, srv *Server, text string) func() {
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

// withLongBody is a departure with a body that is streamed, so that net/http does not look for the client's end.
func withLongBody(how departure) departure {
	begin := how.begin
	how.begin = func(t *testing.T, srv *Server, text string) func() {
		return begin(t, srv, strings.Replace(text, "Content-Length: 0\r\n\r\n", "Content-Length: 70000\r\n\r\n"+strings.Repeat("x", 70_000), 1))
	}
	how.name += " behind a long body"
	return how
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
		play func(*testing.T, int, departure)
	}
	const queued, dialing = "queued", "dialing"
	for _, when := range []moment{{queued, goneWhileQueued}, {"in the actor's mailbox", goneWhileInMailbox},
		{dialing, goneDuringDial}, {"dialing, the end in the mailbox", goneDuringDialUnnoticed}} {
		for kind, name := range []string{"first", "retry", "hedge"} {
			ways := departures
			if kind == firstAttempt {
				ways = append(ways[:len(ways):len(ways)], withLongBody(departures[0]), withLongBody(departures[1]))
			}
			for _, how := range ways {
				if kind == firstAttempt && (when.name == queued || when.name == dialing) && (how.name == "FIN" || how.name == "RST" || strings.Contains(how.name, "long")) {
					continue // TestRequestWhoseClientHasGoneIsNotSent, TestRequestWhoseClientLeavesDuringDialIsNotSent
				}
				t.Run(fmt.Sprintf("%s %s, %s", name, when.name, how.name), func(t *testing.T) {
					t.Parallel()
					when.play(t, kind, how)
				})
			}
		}
	}
}

// startServerWithBackends starts a server of a node with the backends at addresses and a class that may be retried and hedged.
func startServerWithBackends(t *testing.T, pausing *pausingDecider, addresses ...string) *Server {
	t.Helper()
	endpoints := &discovery.List{Complete: true}
	for i, address := range addresses {
		endpoints.Endpoints = append(endpoints.Endpoints, testEndpoint(i, address))
	}
	srv, _, _ := startServer(t, 256, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3,
		OverloadMultiple: 3, OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 50e3, PriorityWeight: 1, LateWeight: 1}}}, pausing.decide, endpoints)
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

// waitUntilClientsGone waits until the server has noticed all clients' departure.
func waitUntilClientsGone(t *testing.T, srv *Server) {
	t.Helper()
	require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// requestWithCostHint is a request whose hedge is due about 4 * ms after its first attempt.
func requestWithCostHint(id string, ms int) string {
	return strings.Replace(requestText(id, 0), "X-Size-Hint: 100", fmt.Sprintf("X-Size-Hint: %d000", ms), 1)
}

// goneWhileQueued: the client leaves before the balancer has decided on the attempt. A first attempt waits for capacity, a retry for
// the attempt before it, a hedge for its time.
func goneWhileQueued(t *testing.T, kind int, how departure) {
	t.Helper()
	attempts := map[int]int{firstAttempt: 4, retryAttempt: 1, hedgeAttempt: 1}[kind]
	backends := newAttemptRecorder(t, attempts)
	pausing := newPausingDecider(-1)
	if kind == firstAttempt { // a node has four requests in flight at a backend of which it knows nothing
		srv := startServerWithBackends(t, pausing, backends.startBackend())
		var inFlight []net.Conn
		for i := range attempts {
			inFlight = append(inFlight, connectAndSend(t, srv, requestWithCostHint(fmt.Sprint("fill ", i), 1000)))
			<-backends.began
		}
		leave := how.begin(t, srv, requestWithCostHint("a", 1000))
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
	srv := startServerWithBackends(t, pausing, backends.startBackend(), backends.startBackend(), backends.startBackend())
	leave := how.begin(t, srv, requestWithCostHint("a", 2000))
	<-backends.began
	leave()
	waitUntilClientsGone(t, srv)
	if kind == retryAttempt {
		backends.responses <- serverErrorResponse
	}
	waitForOpenRequests(t, srv, 0)
}

// goneWhileInMailbox: the balancer has decided on the attempt, which has not begun, and the client's departure is in the mailbox of
// an actor that has stopped.
func goneWhileInMailbox(t *testing.T, kind int, how departure) {
	t.Helper()
	backends := newAttemptRecorder(t, map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	pausing := newPausingDecider(map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	srv := startServerWithBackends(t, pausing, backends.startBackend(), backends.startBackend(), backends.startBackend())
	leave := how.begin(t, srv, requestWithCostHint("a", map[int]int{firstAttempt: 1, retryAttempt: 2000, hedgeAttempt: 1}[kind]))
	if kind != firstAttempt {
		<-backends.began
	}
	if kind == retryAttempt {
		backends.responses <- serverErrorResponse
	}
	<-pausing.decided
	leave()
	waitUntilClientsGone(t, srv)
	close(pausing.release)
	select { // an attempt would begin at once; that none does has no event to wait for
	case <-backends.began:
	case <-time.After(100 * time.Millisecond):
	}
	close(pausing.resume)
	waitForOpenRequests(t, srv, 0)
}

// goneDuringDial: the attempt's connection does not open until the client has gone and the node's actor has heard of that.
func goneDuringDial(t *testing.T, kind int, how departure) {
	goneDuringDialOf(t, kind, how, newPausingDecider(-1))
}

// goneDuringDialUnnoticed: the same, and the node's actor has not heard of it.
func goneDuringDialUnnoticed(t *testing.T, kind int, how departure) {
	goneDuringDialOf(t, kind, how, newPausingDecider(map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind]))
}

func goneDuringDialOf(t *testing.T, kind int, how departure, pausing *pausingDecider) {
	t.Helper()
	backends := newAttemptRecorder(t, map[int]int{firstAttempt: 0, retryAttempt: 1, hedgeAttempt: 1}[kind])
	address, isConnecting, allowConnection, awaitArrival := backends.startUnreachableBackend()
	close(pausing.release)
	var srv *Server
	var leave func()
	if kind == firstAttempt {
		srv = startServerWithBackends(t, pausing, address)
		leave = how.begin(t, srv, requestWithCostHint("a", 1))
	} else {
		srv = startServerWithBackends(t, pausing, backends.startBackend())
		leave = how.begin(t, srv, requestWithCostHint("a", map[int]int{retryAttempt: 2000, hedgeAttempt: 100}[kind]))
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
	if pausing.number >= 0 {
		awaitArrival()
		close(pausing.resume)
	}
	waitForOpenRequests(t, srv, 0)
}
