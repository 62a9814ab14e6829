package server

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/descriptors"
	"pearknot/internal/listeners"
	"pearknot/internal/memory"
	"pearknot/internal/tcpinfo"
)

const (
	// interruptDeadlineAge distinguishes a read deadline by which net/http interrupts a read, which lies years in the past,
	// from one that has expired.
	interruptDeadlineAge = 24 * time.Hour

	// lateReadTimeout is the timeout for reading bytes that had already arrived when a read deadline expired.
	lateReadTimeout = 200 * time.Millisecond

	// defaultTransitMs is the assumed time from the client to this machine if no measurement is available, in ms.
	defaultTransitMs = 2.0
)

// listener accepts connections while the budgets of descriptors and memory have room; the others wait in the kernel's queue. A request
// that has waited there for too long is rejected.
type listener struct {
	*net.TCPListener
	accept   func() (*net.TCPConn, error) // of TCPListener
	budget   *descriptors.Budget
	memory   *memory.Budget
	admitter *connectionAdmitter // nil admits every connection
	onRefuse func(reason string) // called when a request is refused within its head

	onAcceptError func(err error) // called when accepting a connection has failed for a moment
	evict         func()          // makes room in memory
	isTLS         bool
	draining      atomic.Bool

	// Only Accept uses these.
	isBacklogged bool   // a connection had waited in the queue for maxShortage, and the queue has not been empty since
	peekBuffer   []byte // for the requests of waiting connections
}

// Accept returns the next admitted connection. It returns net.ErrClosed also when the queue is empty after drain.
func (l *listener) Accept() (net.Conn, error) {
	waiting, ok := l.acquire()
	if !ok {
		return nil, net.ErrClosed
	}
	for {
		tcp, err := l.nextConn(waiting)
		waiting = nil
		if err != nil {
			l.budget.ReleaseClient()
			l.memory.ReleaseConnection(l.connectionBytes())
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, net.ErrClosed
			}
			return nil, err
		}
		l.isBacklogged = requestAge(tcp) > maxShortage || l.isBacklogged && tcpinfo.QueueLength(l.TCPListener) > 0
		conn := l.newConn(tcp)
		if l.admitter == nil || l.admitter.admit(conn) {
			return conn, nil
		}
		resetConn(tcp)
	}
}

// newConn returns the connection of a client, for which descriptor and memory have been taken.
func (l *listener) newConn(tcp *net.TCPConn) *clientConn {
	conn := newClientConn(tcp, l.budget)
	conn.admitter = l.admitter
	conn.reservation = connReservation{budget: l.memory, connection: l.connectionBytes(), evict: l.evict}
	conn.onRefuse = l.onRefuse
	return conn
}

// nextConn returns the connection that has waited for room, if that is not nil, or else accepts one.
func (l *listener) nextConn(waiting *net.TCPConn) (*net.TCPConn, error) {
	if waiting != nil {
		return waiting, nil
	}
	for {
		deadline := time.Time{}
		if l.draining.Load() {
			deadline = time.Now().Add(listenerQuietPeriod)
		}
		_ = l.SetDeadline(deadline)
		if l.draining.Load() && deadline.IsZero() { // drain has begun just now
			continue
		}
		tcp, err := l.accept()
		if err == nil || listeners.IsFinal(err) {
			return tcp, err
		}
		l.onAcceptError(err)
		time.Sleep(listeners.RetryDelay)
	}
}

// drain makes Accept end once no connection has arrived for listenerQuietPeriod.
func (l *listener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now().Add(listenerQuietPeriod))
}

// resetConn resets a refused connection. After an orderly close the kernel would keep its state for a while.
func resetConn(tcp *net.TCPConn) {
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// clientConn is a client's connection. Closing it returns its descriptor to the budget, once.
//
// A connection is never closed while it has a request. net/http closes idle connections based on a state that may be out of
// date, and a client whose connection closes without a response sends its request again: a request that had already been
// accepted would run twice. Close therefore does nothing while the connection has a request.
type clientConn struct {
	net.Conn    // the TCP connection, or the TLS one on it
	tcp         *net.TCPConn
	budget      *descriptors.Budget
	admitter    *connectionAdmitter
	admissionID uint64                    // id of the connection at the admitter; 0 is none
	bodyClock   atomic.Pointer[bodyClock] // of the body that is streamed; nil if none is
	reservation connReservation           // of memory
	onRefuse    func(reason string)
	written     atomic.Int64 // bytes that the connection has taken
	unread      []byte       // read by another process, and not yet by this one

	// Only the handler of the connection's request uses these.
	keepsAlive bool // the client may send another request after it
	isHijacked bool // net/http does not use the connection any more

	mu              sync.Mutex
	hasRequest      bool
	closed          bool
	framing         framing
	readInterrupted bool // net/http has interrupted its read, so nothing may be read now
	pipelined       bool // bytes arrived after a request and before its response
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

// CloseWrite closes the sending side. net/http calls it before Close if the client may still be sending.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(*tls.Conn); ok {
		return conn.CloseWrite()
	}
	return c.tcp.CloseWrite()
}

// SetReadDeadline sets the deadline, and records whether it is one by which net/http interrupts a read.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInterrupted = !deadline.IsZero() && time.Until(deadline) < -interruptDeadlineAge
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the connection, and tracks the framing of the requests.
func (c *clientConn) Read(buffer []byte) (int, error) {
	isDisconnectCheck := len(buffer) == 1 // net/http reads a single byte to notice a disconnect, after the request's body
	if isDisconnectCheck {
		c.bodyClock.Store(nil)
	}
	n, err := c.readPlaintext(buffer)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendLateRead() {
		n, err = c.readPlaintext(buffer)
	}
	if head, isWithin := c.observe(buffer[:n], isDisconnectCheck); isWithin {
		if refusal := c.reservation.growHead(head); refusal != nil {
			c.refuseHead(refusal)
			return 0, io.EOF
		}
	}
	return n, err
}

// Write writes to the connection, and counts the bytes.
func (c *clientConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// observe tracks the framing of bytes that were read. It returns the size of the request's head while that is being read.
func (c *clientConn) observe(data []byte, isDisconnectCheck bool) (head headSize, isWithin bool) {
	n := len(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.observe(data) {
		c.pipelined = true
	}
	c.httpStoppedWatching = isDisconnectCheck && n == 1 // net/http stops watching once the byte has arrived
	if c.httpStoppedWatching && c.hasRequest {
		const readsTrailing = true
		c.startWatch(readsTrailing)
	}
	return c.framing.head, n > 0 && !c.hasRequest
}

// readPlaintext reads what the client sent, decrypted if the connection is a TLS one.
func (c *clientConn) readPlaintext(buffer []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(buffer, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if c.isTLS() {
		return c.Conn.Read(buffer)
	}
	return c.readTCP(buffer)
}

// isTLS reports whether the connection is a TLS one.
func (c *clientConn) isTLS() bool { return c.Conn != net.Conn(c.tcp) }

// extendLateRead extends a read deadline that expired although the first bytes of a request had arrived. Then this process
// was paused, not the client, which may have sent the whole request and must get a response.
func (c *clientConn) extendLateRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readInterrupted || c.closed || c.framing.stage != stageIdle || c.isTLS() {
		return false
	}
	n, _ := c.peek()
	return n > 0 && c.tcp.SetReadDeadline(time.Now().Add(lateReadTimeout)) == nil
}

// isWithinRequest reports whether a part of a request has arrived. net/http's state shows that only once the header is
// complete, which may take seconds.
func (c *clientConn) isWithinRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.stage != stageIdle
}

// framingError returns why the bytes read are not exactly one request, or "" if they are. The text is the body of a
// 400 and must not change: "a length and an encoding" are Content-Length and Transfer-Encoding, and "a further op before the
// answer" is a pipelined request.
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
// response: the unread rest of a request, or bytes after it, must not be parsed as the next one.
func (c *clientConn) beginResponse() (isLast bool) {
	c.stopWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast = c.pipelined || c.framing.mustBeLast || c.framing.stage == stageBody
	c.framing.requestEnded = false
	return isLast
}

// beginRequest marks the connection as having a request. It reports false if the connection has been closed or evicted.
func (c *clientConn) beginRequest(isStreamed bool) bool {
	if c.admissionID != 0 && !c.admitter.requestBegan(c) {
		return false
	}
	return c.claimForRequest(isStreamed)
}

// claimForRequest prevents the connection from being closed until releaseFromRequest. It starts a disconnectWatch if
// net/http does not notice a disconnect: the body is streamed, or a byte has arrived after the request.
func (c *clientConn) claimForRequest(isStreamed bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.hasRequest = true
	c.disconnectWatch = disconnectWatch{gone: make(chan struct{}), httpStoppedWatching: c.httpStoppedWatching}
	if isStreamed || c.httpStoppedWatching {
		readsTrailing := !isStreamed // of a streamed body the bytes are read elsewhere
		c.startWatch(readsTrailing)
	}
	return true
}

// releaseFromRequest is called when the response has been handed to net/http, which then writes it out and closes.
func (c *clientConn) releaseFromRequest() {
	c.stopWatch()
	c.bodyClock.Store(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest = false
}

// closeIfHijacked closes a connection that net/http does not close.
func (c *clientConn) closeIfHijacked() {
	if c.isHijacked {
		_ = c.Close()
	}
}

// Close closes the connection. It does nothing while the connection has a request: net/http closes it again after that when
// it shuts down.
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
	if !c.isTLS() {
		defer c.releaseResources()
		return c.tcp.Close()
	}
	go func() { // writing TLS's close_notify may block on a client that does not read
		defer c.releaseResources()
		_ = c.Conn.Close()
	}()
	return nil
}

// releaseResources returns the descriptor and the memory of a connection that has been closed.
func (c *clientConn) releaseResources() {
	c.budget.ReleaseClient()
	c.reservation.releaseConnection()
}

// transitTimeMs returns how long ago the client sent the request that was just read, in ms: the time that its last bytes
// waited on this machine, and half a round trip. A busy node reads late, but a request's time to live counts from when the
// client sent it.
func (c *clientConn) transitTimeMs() float64 {
	info, ok := tcpinfo.Get(c.tcp)
	if !ok {
		return defaultTransitMs
	}
	halfRoundTripMs := float64(info.Rtt) / 2e3 // Rtt is in microseconds
	return float64(info.Last_data_recv) + max(halfRoundTripMs, defaultTransitMs)
}
