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
)

// busy is a backend that answers nothing until it is let.
type busy struct {
	net.Listener
	let chan struct{}

	mu  sync.Mutex
	ids []string // of the ops that came whole
}

func newBusy(t *testing.T) *busy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &busy{Listener: l, let: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *busy) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		m, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, m.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.ids = append(b.ids, m.Header.Get(idHeader))
		b.mu.Unlock()
		<-b.let
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
			return
		}
	}
}

func (b *busy) got() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := slices.Clone(b.ids)
	slices.Sort(ids)
	return ids
}

// before is a front, plain and with TLS, of a node whose one backend is at address. Ops wait for it as long as need be.
func before(t *testing.T, address string, limit int) (*Server, *descriptors.Budget) {
	f, budget, _ := fronted(t, limit, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3, OverloadMultiple: 3,
		OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1}}},
		node.NewBalancer, &discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: address, State: balancer.BackendReady, Weight: 1}}})
	return f, budget
}

// connected is a client's connection that has said something.
func connected(t *testing.T, f *Server, said string) net.Conn {
	c, err := net.Dial("tcp", f.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, said)
	require.NoError(t, err)
	return c
}

// occupied has a backend hold as many ops as a node of its own has out where nothing is known of it: what comes next waits.
func occupied(t *testing.T, f *Server, b *busy) (first []net.Conn) {
	for k := range 4 {
		first = append(first, connected(t, f, opOf(fmt.Sprintf("first %d", k), 0)))
	}
	require.Eventually(t, func() bool { return len(b.got()) == 4 }, 10*time.Second, time.Millisecond)
	return first
}

// served reads an answer that has to be 200.
func served(t *testing.T, r *bufio.Reader) {
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, answer.Body)
	assert.Equal(t, http.StatusOK, answer.StatusCode)
	assert.False(t, answer.Close)
}

func opOf(id string, size int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: check\r\nX-Expires-In-Ms: 50000\r\nX-Size-Hint: 100\r\nContent-Length: %d\r\n\r\n", id, size)
}

// Clients leave in every way while their ops wait: not one of these goes out afterwards. Those with bytes behind their op, or a
// body not read yet, were not seen to leave, since net/http no longer looks or does not look yet.
func TestAnOpWhoseClientHasLeftIsNotSentOn(t *testing.T) {
	const each = 24
	ways := map[string]struct {
		body, behind int // bytes
		says         string
		secure       bool
		leave        func(c net.Conn)
	}{
		"plainly":                       {leave: end},
		"by a reset":                    {leave: reset},
		"with an op behind":             {says: "GET / HTTP/1.1\r\n\r\n", leave: end},
		"with a line behind":            {says: "\r\n", leave: end},
		"with a reset behind a line":    {says: "\r\n\r\n", leave: reset},
		"with much behind":              {behind: 400_000, leave: end},
		"with a long body":              {body: 70_000, leave: end}, // what is unread of it has room here, so that its end comes
		"with a long body, by a reset":  {body: 70_000, leave: reset},
		"over TLS":                      {secure: true, leave: end},
		"over TLS, with a byte behind":  {secure: true, says: "x", leave: end},
		"over TLS, without its own end": {secure: true, says: "x", leave: func(c net.Conn) { _ = c.(*tls.Conn).NetConn().Close() }},
	}
	b := newBusy(t)
	f, budget := before(t, b.Addr().String(), 1500)
	first := occupied(t, f, b)
	var all []net.Conn
	var leave []func(net.Conn)
	for name, w := range ways {
		for k := range each {
			said := opOf(fmt.Sprintf("left %s %d", name, k), w.body) + strings.Repeat("x", w.body)
			var c net.Conn
			if w.secure {
				var err error
				c, err = dial(f, &tls.Config{})
				require.NoError(t, err)
				_, err = io.WriteString(c, said)
				require.NoError(t, err)
			} else {
				c = connected(t, f, said)
			}
			all, leave = append(all, c), append(leave, w.leave)
			require.Eventually(t, func() bool { return f.openRequests.Load() == int64(4+len(all)) }, 10*time.Second, time.Millisecond, name)
			if says := w.says + strings.Repeat("x", w.behind); says != "" {
				go func() { _, _ = io.WriteString(c, says) }()
			}
		}
	}
	var gone sync.WaitGroup
	for k, c := range all {
		gone.Go(func() { leave[k](c) })
	}
	gone.Wait()
	require.Eventually(t, func() bool { return f.openRequests.Load() == 4 }, 10*time.Second, time.Millisecond, "each is seen")
	close(b.let)
	for _, c := range append(first, connected(t, f, opOf("last", 0))) { // what waits would go before it
		served(t, bufio.NewReader(c))
		_ = c.Close()
	}
	assert.Equal(t, []string{"first 0", "first 1", "first 2", "first 3", "last"}, b.got())
	require.Eventually(t, func() bool { return budget.Clients() == 2 }, 10*time.Second, time.Millisecond, "each descriptor is given back")
	assert.LessOrEqual(t, disconnectCheckInterval, 50*time.Millisecond, "nothing may begin 0.1 s after an end: half of that is for looking")
}

// A client sends a long body and leaves, and what lies unread of it, here and with the client, keeps the end of its connection from
// coming: it is known to have left only once the body is passed on. The last of it is not, so that the backend begins nothing.
func TestALongBodyWhoseClientHasLeftIsNotPassedOnWhole(t *testing.T) {
	for _, form := range []string{"Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000),
		"Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("x", 300_000) + "\r\n0\r\n\r\n"} {
		b := newBusy(t)
		f, _ := before(t, b.Addr().String(), 256)
		first := occupied(t, f, b)
		head, _, _ := strings.Cut(opOf("left", 0), "Content-Length")
		c := connected(t, f, head+form)
		require.Eventually(t, func() bool { return f.openRequests.Load() == 5 }, 10*time.Second, time.Millisecond)
		require.NoError(t, c.Close())
		close(b.let)
		for _, c := range first {
			served(t, bufio.NewReader(c))
		}
		require.Eventually(t, func() bool { return f.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
		assert.Equal(t, []string{"first 0", "first 1", "first 2", "first 3"}, b.got())
	}
}

func end(c net.Conn) { _ = c.Close() }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// The same while the connection to the backend does not come up: when it does at last, nothing is written to it.
func TestAnOpWhoseClientLeavesDuringADialIsNotSent(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	full, err := net.Dial("tcp", address) // the only place in its queue
	require.NoError(t, err)
	defer full.Close()
	f, _ := before(t, address, 256)
	for _, leave := range []func(net.Conn){end, reset} {
		c := connected(t, f, opOf("a", 0))
		require.Eventually(t, func() bool { return f.openRequests.Load() == 1 }, 10*time.Second, time.Millisecond)
		leave(c)
		require.Eventually(t, func() bool { return f.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
	}
	taken, _, err := unix.Accept(fd) // there is room for others now
	require.NoError(t, err)
	_ = unix.Close(taken)
	require.NoError(t, unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 1, Usec: 500_000}))
	for {
		late, _, err := unix.Accept(fd)
		if err != nil {
			break
		}
		var one [1]byte
		n, _ := unix.Read(late, one[:])
		assert.LessOrEqual(t, n, 0, "no byte of an op")
		_ = unix.Close(late)
	}
}

// An op lies in the listener's queue, for want of a descriptor, for longer than its client waits: it is not sent at all. It
// once was, at the moment at which it was read.
func TestAnOpWhoseClientLeftInTheQueueIsNotSent(t *testing.T) {
	b := newBusy(t)
	close(b.let)
	f, budget := before(t, b.Addr().String(), 256)
	require.Eventually(t, func() bool { return budget.Clients() == 2 }, 10*time.Second, time.Millisecond, "both listeners wait")
	held := 0
	for budget.Clients() < budget.MaxClients() {
		require.True(t, budget.AcquireClient())
		held++
	}
	first := connected(t, f, "") // has the place that the listener holds already
	require.Eventually(t, budget.HasWaitingClient, 10*time.Second, time.Millisecond)
	require.NoError(t, connected(t, f, opOf("left", 0)).Close())
	for range held {
		budget.ReleaseClient()
	}
	answer, err := health(first)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 200", answer)
	served(t, bufio.NewReader(connected(t, f, opOf("last", 0))))
	require.Eventually(t, func() bool { return budget.Clients() == 4 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, []string{"last"}, b.got())
}

// A line behind an op, as some clients end a body, costs nobody the connection; nor does a long body, the watch for whose client
// ends with the answer while net/http reads on: it took that end for the client's, and dead-lettered each further op.
func TestWatchedClientsKeepTheirConnections(t *testing.T) {
	b := newBusy(t)
	f, _ := before(t, b.Addr().String(), 256)
	c := connected(t, f, "")
	r := bufio.NewReader(c)
	for k, op := range []struct {
		size   int
		behind string
	}{{3, "\r\n"}, {3, "\r\n"}, {150_000, ""}, {0, ""}, {150_000, "\r\n"}, {3, ""}} {
		_, err := io.WriteString(c, opOf(fmt.Sprint(k), op.size)+strings.Repeat("x", op.size))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(b.got()) == k+1 }, 10*time.Second, time.Millisecond)
		_, err = io.WriteString(c, op.behind)
		require.NoError(t, err)
		b.let <- struct{}{}
		served(t, r)
	}
}

// A connection is let go between an op's last byte and the moment it is taken. No answer may go out, and net/http would make
// one of its own, 200, for a handler that returns: over TLS, or before the door closes the connection, it got out.
func TestAnOpNotTakenIsNotAnswered(t *testing.T) {
	c, _ := pair(t)
	f := &Server{log: slog.New(slog.DiscardHandler), clock: clock.New(), budget: c.budget, openIDs: map[string]struct{}{},
		admitter: &connectionAdmitter{core: admission.New(admission.Defaults(16))}}
	f.deployment.Store(&config.Deployment{Classes: []string{"check"}})
	for name, let := range map[string]func(){
		"let go by the door":   func() { c.admissionID, c.admitter = 7, f.admitter }, // which does not know it any more
		"closed in the moment": func() { c.admissionID, c.closed = 0, true },
	} {
		let()
		r := httptest.NewRequest("GET", "/api", nil)
		r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
		w := httptest.NewRecorder()
		assert.PanicsWithValue(t, http.ErrAbortHandler, func() { f.ServeHTTP(w, r.WithContext(withConn(r.Context(), c))) }, name)
		assert.Empty(t, f.openIDs, name)
	}
}

// What lies unread on a connection may be an op: it is not closed as idle.
func TestShedLeavesWhatIsUnread(t *testing.T) {
	c, far := pair(t)
	f := &Server{idleConns: map[net.Conn]time.Time{c: {}}}
	_, err := io.WriteString(far, "G")
	require.NoError(t, err)
	require.Eventually(t, c.hasUnreadData, 10*time.Second, time.Millisecond)
	f.closeIdle(0, true)
	assert.Len(t, f.idleConns, 1)
	_, err = c.Read(make([]byte, 9))
	require.NoError(t, err)
	f.closeIdle(0, false)
	assert.Len(t, f.idleConns, 1, "within an op")
	f.closeIdle(0, true)
	assert.Empty(t, f.idleConns)
}

type timed struct {
	*httptest.ResponseRecorder
	limits int
}

func (t *timed) SetReadDeadline(time.Time) error {
	t.limits++
	return nil
}

// A node that stood still for seconds between two lines must not take its own limit on bodies for a client that left, where
// there is no body.
func TestNoLimitWithoutABody(t *testing.T) {
	f := &Server{clock: clock.New()}
	f.deployment.Store(&config.Deployment{Classes: []string{"check"}})
	c, _ := pair(t)
	r := httptest.NewRequest("GET", "/api", http.NoBody)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
	w := &timed{ResponseRecorder: httptest.NewRecorder()}
	_, bad := f.decode(w, r, c)
	assert.Nil(t, bad)
	assert.Zero(t, w.limits)
}
