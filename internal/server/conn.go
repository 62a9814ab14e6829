package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pearknot/internal/descriptors"
)

const (
	// interruptDeadlineAge tells a read deadline that net/http sets to interrupt a read, which lies years back, from
	// one that has run out.
	interruptDeadlineAge = 24 * time.Hour

	// lateReadTimeout is for reading what has come already when a read deadline runs out.
	lateReadTimeout = 200 * time.Millisecond

	// defaultTransitMs is allowed for the way from the client's machine where nothing is known of it, in ms.
	defaultTransitMs = 2.0
)

// listener accepts connections as the descriptor budget allows; the others wait in its queue.
type listener struct {
	*net.TCPListener
	budget   *descriptors.Budget
	admitter *connectionAdmitter // nil admits every connection
	draining atomic.Bool
}

// Accept returns net.ErrClosed also when the queue is empty after drain.
func (l *listener) Accept() (net.Conn, error) {
	if !l.budget.AcquireClient() {
		return nil, net.ErrClosed
	}
	for {
		if l.draining.Load() {
			_ = l.SetDeadline(time.Now().Add(listenerQuiet))
		}
		tcp, err := l.AcceptTCP()
		if err != nil {
			l.budget.ReleaseClient()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, net.ErrClosed
			}
			return nil, err
		}
		conn := newClientConn(tcp, l.budget)
		conn.admitter = l.admitter
		if l.admitter == nil || l.admitter.admit(conn) {
			return conn, nil
		}
		resetConn(tcp)
	}
}

// drain lets Accept go on until nothing has come for a while.
func (l *listener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now().Add(listenerQuiet))
}

// resetConn ends a connection that was refused, at once and without the state that an orderly close leaves here.
func resetConn(tcp *net.TCPConn) {
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// clientConn is a client's connection. Closing it returns its descriptor to the budget, once.
//
// A request and the close of its connection exclude each other. net/http closes idle connections by a state that may
// be out of date by then, and a client whose connection closes without a response sends its request again: a request
// that was taken already would run twice. Close therefore does nothing while the connection has a request.
type clientConn struct {
	net.Conn    // the TCP connection, or the TLS one on it
	tcp         *net.TCPConn
	budget      *descriptors.Budget
	admitter    *connectionAdmitter
	admissionID uint64 // the admitter's name of it; 0 is none

	mu              sync.Mutex
	hasRequest      bool
	closed          bool
	framing         framing
	readInterrupted bool // net/http has interrupted its read: nothing is to be read now
	pipelined       bool // bytes came behind a request before its response
	disconnectWatch
}

func newClientConn(tcp *net.TCPConn, budget *descriptors.Budget) *clientConn {
	return &clientConn{Conn: tcp, tcp: tcp, budget: budget}
}

// connContextKey is the key of a request's clientConn in its context.
type connContextKey struct{}

// withConn is net/http's hook for a connection's context.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// CloseWrite ends the sending. net/http calls it before Close where the client may still be sending.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(*tls.Conn); ok {
		return conn.CloseWrite()
	}
	return c.tcp.CloseWrite()
}

// SetReadDeadline sets the deadline, and notes whether it interrupts a read.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInterrupted = !deadline.IsZero() && time.Until(deadline) < -interruptDeadlineAge
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads, and follows the requests' framing.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendLateRead() {
		n, err = c.Conn.Read(buffer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.observe(buffer[:n]) {
		c.pipelined = true
	}
	// net/http reads a single byte where it looks for a client that disconnects, and looks no more once that has come.
	c.httpStoppedWatching = len(buffer) == 1 && n == 1
	if c.httpStoppedWatching && c.hasRequest {
		c.startWatch(true)
	}
	return n, err
}

// extendLateRead extends a read deadline that ran out while the first bytes of a request lay there. Then this process
// stood still and not the client, which may have sent the whole request and is owed a response.
func (c *clientConn) extendLateRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readInterrupted || c.closed || c.framing.stage != stageBetween || c.Conn != net.Conn(c.tcp) {
		return false
	}
	n, _ := c.peek()
	return n > 0 && c.tcp.SetReadDeadline(time.Now().Add(lateReadTimeout)) == nil
}

// isWithinRequest reports whether a part of a request has come. net/http says so only once its header is complete,
// which may take seconds.
func (c *clientConn) isWithinRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.stage != stageBetween
}

// framingError says why what was read can't be taken for a single request with nothing around it; "" is no reason.
// Clients see the text.
func (c *clientConn) framingError() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.framing.ambiguous:
		return "both a length and an encoding"
	case c.pipelined:
		return "a further op before the answer"
	}
	return ""
}

// beginResponse is called before a response's first byte. It reports whether the connection has to close after the
// response: what is left of a request, or came behind it, must not be taken for the next one.
func (c *clientConn) beginResponse() (isLast bool) {
	c.stopWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast = c.pipelined || c.framing.mustBeLast || c.framing.stage == stageBody
	c.framing.requestEnded = false
	return isLast
}

// takeRequest takes a request over. It reports false where the connection was closed or evicted before.
func (c *clientConn) takeRequest(isStreamed bool) bool {
	if c.admissionID != 0 && !c.admitter.requestBegan(c) {
		return false
	}
	return c.claimForRequest(isStreamed)
}

// claimForRequest keeps the connection from being closed until releaseFromRequest, and watches for a disconnect where
// net/http does not: the body is streamed, or a byte has come behind the request.
func (c *clientConn) claimForRequest(isStreamed bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.hasRequest = true
	c.disconnectWatch = disconnectWatch{gone: make(chan struct{}), httpStoppedWatching: c.httpStoppedWatching}
	if isStreamed || c.httpStoppedWatching {
		c.startWatch(!isStreamed)
	}
	return true
}

// releaseFromRequest is called when the response has been handed to net/http, which then writes it out and closes.
func (c *clientConn) releaseFromRequest() {
	c.stopWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest = false
}

// Close does nothing while the connection has a request: net/http closes it again after that when it shuts down.
func (c *clientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRequest || c.closed {
		return nil
	}
	c.closed = true
	if c.admissionID != 0 {
		c.admitter.connClosed(c)
	}
	if c.Conn == net.Conn(c.tcp) {
		defer c.budget.ReleaseClient()
		return c.tcp.Close()
	}
	go func() { // TLS's last record may wait for a client that does not read
		defer c.budget.ReleaseClient()
		_ = c.Conn.Close()
	}()
	return nil
}

// transitTimeMs is how long ago the client sent what was just read completely, in ms: the time that its last bytes
// waited on this machine and half a round trip. A busy node reads late, and a request's time counts from its sending.
func (c *clientConn) transitTimeMs() float64 {
	socket, err := c.tcp.SyscallConn()
	if err != nil {
		return defaultTransitMs
	}
	transit := defaultTransitMs
	_ = socket.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			halfRoundTripMs := float64(info.Rtt) / 2e3 // Rtt is in microseconds
			transit = float64(info.Last_data_recv) + max(halfRoundTripMs, defaultTransitMs)
		}
	})
	return transit
}
