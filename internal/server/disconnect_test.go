package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/balancer"
	"pearknot/internal/admission"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/node"
	"pearknot/internal/upstream"
)

// slowBackend is a backend that responds to a request only once release delivers a value or is closed.
type slowBackend struct {
	net.Listener
	release chan struct{}

	mu          sync.Mutex
	ids         []string          // of the completely received requests
	expiresOfID map[string]string // the time left that each was told
}

func startSlowBackend(t *testing.T) *slowBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &slowBackend{Listener: listener, release: make(chan struct{}), expiresOfID: map[string]string{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *slowBackend) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.ids = append(b.ids, request.Header.Get(idHeader))
		b.expiresOfID[request.Header.Get(idHeader)] = request.Header.Get(upstream.ExpiresHeader)
		b.mu.Unlock()
		<-b.release
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
			return
		}
	}
}

// expires returns the time left that a request was told, in ms.
func (b *slowBackend) expires(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expiresOfID[id]
}

// requestIDs returns the sorted ids of the completely received requests.
func (b *slowBackend) requestIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := slices.Clone(b.ids)
	slices.Sort(ids)
	return ids
}

// startServerWithBackend starts a server whose node has one backend, at address.
func startServerWithBackend(t *testing.T, address string, limit int) (*Server, *descriptors.Budget) {
	t.Helper()
	srv, budget, _ := startServer(t, limit, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3, OverloadMultiple: 3,
		OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1}}},
		node.NewBalancer, &discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: address, State: balancer.BackendReady, Weight: 1}}})
	return srv, budget
}

// connectAndSend connects to srv and sends text.
func connectAndSend(t *testing.T, srv *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", srv.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// occupyBackend sends as many requests as the node has in flight at a backend that is new to it; further ones are queued. It
// returns their connections.
func occupyBackend(t *testing.T, srv *Server, backend *slowBackend) (conns []net.Conn) {
	t.Helper()
	for i := range 4 {
		conns = append(conns, connectAndSend(t, srv, requestText(fmt.Sprintf("first %d", i), 0)))
	}
	require.Eventually(t, func() bool { return len(backend.requestIDs()) == 4 }, 10*time.Second, time.Millisecond)
	return conns
}

// requireServed reads a response, which has to be 200 and keep the connection.
func requireServed(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.False(t, response.Close)
}

// requestText returns a request's header, for a body of size bytes.
func requestText(id string, size int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: check\r\nX-Expires-In-Ms: 50000\r\nX-Size-Hint: 100\r\nContent-Length: %d\r\n\r\n", id, size)
}

// Clients disconnect in every way while their requests are queued. None of the requests may be sent afterwards. Disconnects of
// clients with bytes after their request, or with an unread body, were formerly missed, since net/http does not watch for them.
func TestRequestWhoseClientHasGoneIsNotSent(t *testing.T) {
	const clientsEach = 24
	disconnects := map[string]struct {
		body, trailing int // bytes
		trailingText   string
		overTLS        bool
		leave          func(conn net.Conn)
	}{
		"close":                    {leave: closeConn},
		"reset":                    {leave: closeWithReset},
		"trailing request":         {trailingText: "GET / HTTP/1.1\r\n\r\n", leave: closeConn},
		"trailing line break":      {trailingText: "\r\n", leave: closeConn},
		"reset after line breaks":  {trailingText: "\r\n\r\n", leave: closeWithReset},
		"many trailing bytes":      {trailing: 400_000, leave: closeConn},
		"a long body":              {body: 70_000, leave: closeConn}, // its unread part fits into the socket's buffer, so that the FIN arrives
		"a long body, reset":       {body: 70_000, leave: closeWithReset},
		"over TLS":                 {overTLS: true, leave: closeConn},
		"over TLS, trailing byte":  {overTLS: true, trailingText: "x", leave: closeConn},
		"over TLS, TCP close only": {overTLS: true, trailingText: "x", leave: func(c net.Conn) { _ = c.(*tls.Conn).NetConn().Close() }},
	}
	backend := startSlowBackend(t)
	srv, budget := startServerWithBackend(t, backend.Addr().String(), 1500)
	first := occupyBackend(t, srv, backend)
	var conns []net.Conn
	var leave []func(net.Conn)
	for name, disconnect := range disconnects {
		for i := range clientsEach {
			text := requestText(fmt.Sprintf("left %s %d", name, i), disconnect.body) + strings.Repeat("x", disconnect.body)
			var conn net.Conn
			if disconnect.overTLS {
				var err error
				conn, err = dialTLS(srv, &tls.Config{})
				require.NoError(t, err)
				_, err = io.WriteString(conn, text)
				require.NoError(t, err)
			} else {
				conn = connectAndSend(t, srv, text)
			}
			conns, leave = append(conns, conn), append(leave, disconnect.leave)
			require.Eventually(t, func() bool { return srv.openRequests.Load() == int64(4+len(conns)) }, 10*time.Second, time.Millisecond, name)
			if trailing := disconnect.trailingText + strings.Repeat("x", disconnect.trailing); trailing != "" {
				go func() { _, _ = io.WriteString(conn, trailing) }()
			}
		}
	}
	var leaving sync.WaitGroup
	for i, conn := range conns {
		leaving.Go(func() { leave[i](conn) })
	}
	leaving.Wait()
	require.Eventually(t, func() bool { return srv.openRequests.Load() == 4 }, 10*time.Second, time.Millisecond, "each disconnect is noticed")
	close(backend.release)
	for _, conn := range append(first, connectAndSend(t, srv, requestText("last", 0))) { // queued requests would be sent before it
		requireServed(t, bufio.NewReader(conn))
		_ = conn.Close()
	}
	assert.Equal(t, []string{"first 0", "first 1", "first 2", "first 3", "last"}, backend.requestIDs())
	require.Eventually(t, func() bool { return budget.Clients() == 2 }, 10*time.Second, time.Millisecond, "each descriptor is returned")
	assert.LessOrEqual(t, disconnectCheckInterval, 50*time.Millisecond, "no attempt may begin 0.1 s after a disconnect: half of that is for noticing it")
}

// A client sends a long body and disconnects. Unread bytes, here and at the client, keep its FIN from arriving, so the disconnect
// is noticed only while the body is streamed. The backend must not get the body's end, so that it runs nothing.
func TestLongBodyWhoseClientHasGoneIsNotCompleted(t *testing.T) {
	for _, form := range []string{"Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000),
		"Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("x", 300_000) + "\r\n0\r\n\r\n"} {
		backend := startSlowBackend(t)
		srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
		first := occupyBackend(t, srv, backend)
		head, _, _ := strings.Cut(requestText("left", 0), "Content-Length")
		conn := connectAndSend(t, srv, head+form)
		require.Eventually(t, func() bool { return srv.openRequests.Load() == 5 }, 10*time.Second, time.Millisecond)
		require.NoError(t, conn.Close())
		close(backend.release)
		for _, conn := range first {
			requireServed(t, bufio.NewReader(conn))
		}
		require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
		assert.Equal(t, []string{"first 0", "first 1", "first 2", "first 3"}, backend.requestIDs())
	}
}

func closeConn(conn net.Conn) { _ = conn.Close() }

func closeWithReset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Clients disconnect while the connection to the backend is still being opened. When it finally opens, nothing may be written to
// it.
func TestRequestWhoseClientDisconnectsDuringDialIsNotSent(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address) // occupies the only place in the listener's queue
	require.NoError(t, err)
	defer filler.Close()
	srv, _ := startServerWithBackend(t, address, 256)
	for _, leave := range []func(net.Conn){closeConn, closeWithReset} {
		conn := connectAndSend(t, srv, requestText("a", 0))
		require.Eventually(t, func() bool { return srv.openRequests.Load() == 1 }, 10*time.Second, time.Millisecond)
		leave(conn)
		require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
	}
	accepted, _, err := unix.Accept(fd) // the filler, which makes room for others
	require.NoError(t, err)
	_ = unix.Close(accepted)
	require.NoError(t, unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 1, Usec: 500_000}))
	for {
		late, _, err := unix.Accept(fd)
		if err != nil {
			break
		}
		var one [1]byte
		n, _ := unix.Read(late, one[:])
		assert.LessOrEqual(t, n, 0, "no byte of a request")
		_ = unix.Close(late)
	}
}

// A connection waits in the listener's queue for a descriptor for longer than its client waits. Its request must not be sent;
// formerly it was sent as soon as it was read.
func TestRequestWhoseClientDisconnectsInListenerQueueIsNotSent(t *testing.T) {
	backend := startSlowBackend(t)
	close(backend.release)
	srv, budget := startServerWithBackend(t, backend.Addr().String(), 256)
	require.Eventually(t, func() bool { return budget.Clients() == 2 }, 10*time.Second, time.Millisecond, "both listeners wait")
	acquired := 0
	for budget.Clients() < budget.MaxClients() {
		requireClientDescriptor(t, budget)
		acquired++
	}
	first := connectAndSend(t, srv, "") // gets the descriptor that the listener has acquired already
	require.Eventually(t, budget.HasWaitingClient, 10*time.Second, time.Millisecond)
	require.NoError(t, connectAndSend(t, srv, requestText("left", 0)).Close())
	for range acquired {
		budget.ReleaseClient()
	}
	health, err := checkHealth(first)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", health)
	requireServed(t, bufio.NewReader(connectAndSend(t, srv, requestText("last", 0))))
	require.Eventually(t, func() bool { return budget.Clients() == 4 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, []string{"last"}, backend.requestIDs())
}

// Neither a line break after a request, which some clients send after a body, nor a long body may cause the connection to close. The
// disconnectWatch of a long body's client ends with the response while net/http reads on; formerly net/http treated that as a
// disconnect, and each further request of the connection failed.
func TestDisconnectWatchKeepsConnection(t *testing.T) {
	backend := startSlowBackend(t)
	srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
	conn := connectAndSend(t, srv, "")
	reader := bufio.NewReader(conn)
	for i, request := range []struct {
		size     int
		trailing string
	}{{3, "\r\n"}, {3, "\r\n"}, {150_000, ""}, {0, ""}, {150_000, "\r\n"}, {3, ""}} {
		_, err := io.WriteString(conn, requestText(fmt.Sprint(i), request.size)+strings.Repeat("x", request.size))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(backend.requestIDs()) == i+1 }, 10*time.Second, time.Millisecond)
		_, err = io.WriteString(conn, request.trailing)
		require.NoError(t, err)
		backend.release <- struct{}{}
		requireServed(t, reader)
	}
}

// A connection is evicted between a request's last byte and the moment it is accepted. No response may be sent. net/http writes a
// 200 for a handler that returns, and formerly that was sent over TLS, or before the admitter closed the connection.
func TestRequestNotTakenIsNotAnswered(t *testing.T) {
	conn, _ := connPair(t)
	srv := &Server{log: slog.New(slog.DiscardHandler), clock: clock.New(), budget: conn.budget, ids: newRequestIDs(),
		admitter: &connectionAdmitter{controller: admission.New(admission.DefaultLimits(16))}}
	srv.deployment.Store(&config.Deployment{Classes: []string{"check"}, BalancerConfig: &balancer.Config{Classes: make([]balancer.Class, 1)}})
	for name, evict := range map[string]func(){
		"evicted": func() { conn.admissionID, conn.admitter = 7, srv.admitter }, // which does not have the connection any more
		"closed":  func() { conn.admissionID, conn.closed = 0, true },
	} {
		evict()
		r := httptest.NewRequest("GET", "/api", nil)
		r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
		recorder := httptest.NewRecorder()
		assert.PanicsWithValue(t, http.ErrAbortHandler, func() { srv.ServeHTTP(recorder, r.WithContext(withConn(r.Context(), conn))) }, name)
		assert.Empty(t, srv.ids.open, name)
	}
}

// Unread data on an idle connection may be a request: the connection must not be closed.
func TestCloseIdleKeepsUnreadData(t *testing.T) {
	conn, client := connPair(t)
	srv := &Server{idleConns: map[net.Conn]time.Time{conn: {}}}
	_, err := io.WriteString(client, "G")
	require.NoError(t, err)
	require.Eventually(t, conn.hasUnreadData, 10*time.Second, time.Millisecond)
	srv.closeIdle(0, closePartial)
	assert.Len(t, srv.idleConns, 1)
	_, err = conn.Read(make([]byte, 9))
	require.NoError(t, err)
	srv.closeIdle(0, keepPartial)
	assert.Len(t, srv.idleConns, 1, "within a request")
	srv.closeIdle(0, closePartial)
	assert.Empty(t, srv.idleConns)
}

// deadlineCounter counts the read deadlines that a handler sets.
type deadlineCounter struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (d *deadlineCounter) SetReadDeadline(time.Time) error {
	d.deadlines++
	return nil
}

// A node that was paused for seconds must not treat its own read deadline as a client's disconnect if the request has no body.
func TestNoReadDeadlineWithoutBody(t *testing.T) {
	srv := &Server{clock: clock.New()}
	srv.deployment.Store(&config.Deployment{Classes: []string{"check"}})
	conn, _ := connPair(t)
	r := httptest.NewRequest("GET", "/api", http.NoBody)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
	recorder := &deadlineCounter{ResponseRecorder: httptest.NewRecorder()}
	_, malformed := srv.decode(recorder, r, conn, srv.newRequestReservation())
	assert.Nil(t, malformed)
	assert.Zero(t, recorder.deadlines)
}
