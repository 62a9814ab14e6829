package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/balancer"
)

// Result says how a call ended.
type Result struct {
	Outcome        balancer.Outcome
	SinceFirstByte time.Duration       // from the response's first byte until the call's end; 0 if there was no response
	Reply          *Reply              // the response, nil if the backend sent none
	Report         balancer.LoadReport // the load report that came with Reply; meaningless without one
}

// Call is one attempt on its way to a backend. Its methods may be called from any goroutine while the backend works on it:
// they cancel it, shorten its deadline, or keep it from starting. Whether its first byte may still be sent is decided in
// one place, start, under the call's lock.
//
// The exported fields must be set before Backend.Send.
type Call struct {
	Message     *Message
	OnDone      func(Result)    // called once; must not block
	StartBefore time.Time       // it does not start at or after this time; zero means no limit
	OnBodySent  func(time.Time) // called with the deadline once a streamed body is complete; must not block
	ClientGone  *atomic.Bool    // set as soon as the request's client has disconnected; nil if that can't happen

	mu             sync.Mutex
	deadline       time.Time
	canceled       bool
	started        bool
	startPrevented bool               // it must not start, also not once more on another connection
	conn           net.Conn           // that carries it, nil before and after
	cancelDial     context.CancelFunc // of the connection that is being dialed

	retriedOnFresh bool // it was sent again on a fresh connection after a failed write; the backend's actor's own
}

// NewCall returns a call that times out at the deadline.
func NewCall(m *Message, deadline time.Time, onDone func(Result)) *Call {
	return &Call{Message: m, OnDone: onDone, deadline: deadline}
}

// PreventStart keeps the call from starting, also from starting again after a write that is failing just now. A call that
// has started goes on. It is called before the request's final answer is given, so that nothing is sent after that.
func (c *Call) PreventStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPrevented = true
	if c.conn == nil {
		c.cancelLocked()
	}
}

// CancelIfNotStarted cancels the call unless it has started, and reports whether it did.
func (c *Call) CancelIfNotStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.cancelLocked()
	}
	return !c.started
}

// Cancel ends the call: it does not start any more, and a response is no longer waited for.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelLocked()
}

func (c *Call) cancelLocked() {
	c.canceled = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if c.conn != nil {
		_ = c.conn.SetDeadline(time.Unix(1, 0)) // pending reads and writes fail at once
	}
}

// ShortenDeadline brings the deadline forward. A later deadline has no effect.
func (c *Call) ShortenDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !deadline.Before(c.deadline) {
		return
	}
	c.deadline = deadline
	if c.conn != nil && !c.canceled {
		_ = c.conn.SetDeadline(deadline)
	}
}

// dialContext returns the context for dialing a connection, which ends after the timeout or at the call's deadline, and
// whether a connection is wanted at all. The caller must call cancel in either case.
func (c *Call) dialContext(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(timeout)
	if c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	ctx, cancel = context.WithDeadline(context.Background(), deadline)
	c.cancelDial = cancel
	return ctx, cancel, !c.canceled && !c.startPrevented
}

// start is called right before the first byte is written. ok reports whether the call may be sent, and timeout the time
// that the backend is told it has; for a streamed body that begins with its last byte.
func (c *Call) start(conn net.Conn) (timeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout = time.Until(c.deadline)
	if timeout <= 0 || !c.mayStart() {
		return 0, false
	}
	c.conn, c.started = conn, true
	_ = conn.SetDeadline(c.deadline)
	if c.Message.IsStreamed() {
		timeout = c.Message.stream.Timeout
	}
	return timeout, true
}

// mayStart must be called with the lock held.
func (c *Call) mayStart() bool {
	clientGone := c.ClientGone != nil && c.ClientGone.Load()
	tooLate := !c.StartBefore.IsZero() && !time.Now().Before(c.StartBefore)
	return !c.canceled && !c.startPrevented && !clientGone && !tooLate
}

// sendBody copies the rest of a streamed body from the client to the backend. The two sides' errors are told apart: an
// error of reading is the client's fault, or means that it took too long.
func (c *Call) sendBody(conn net.Conn) (readErr, writeErr error) {
	body := c.Message.stream.Reader
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if writeErr := c.sendBodyPart(conn, buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if err == io.EOF {
			return nil, c.finishBody(conn)
		}
		if err != nil {
			return err, nil
		}
	}
}

// sendBodyPart writes a part of a streamed body. The backend has stallTimeout to read it.
func (c *Call) sendBodyPart(conn net.Conn, part []byte) error {
	buffers := net.Buffers{part}
	if c.Message.stream.isChunked() {
		buffers = chunkBuffers(part)
	}
	c.mu.Lock()
	if c.canceled {
		c.mu.Unlock()
		return net.ErrClosed
	}
	_ = conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	c.mu.Unlock()
	_, err := buffers.WriteTo(conn)
	return err
}

// finishBody ends a streamed body: the request's timeout begins, and a chunked body gets its last chunk.
func (c *Call) finishBody(conn net.Conn) error {
	if !c.beginResponseTimeout(conn) {
		return net.ErrClosed
	}
	// The lock is not held here: a backend that reads no more lets this write wait, and whoever cancels the call, the
	// node's actor, must not wait for it.
	if !c.Message.stream.isChunked() {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// beginResponseTimeout sets the deadline for the response of a request whose body is complete. It reports false if the call
// has been cancelled.
func (c *Call) beginResponseTimeout(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	deadline := time.Now().Add(c.Message.stream.Timeout)
	if deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	if c.OnBodySent != nil { // before the last byte, and so before there can be a response
		c.OnBodySent(c.deadline)
	}
	_ = conn.SetDeadline(c.deadline)
	return true
}

// release detaches the call from its connection and reports whether it was cancelled.
func (c *Call) release() (wasCanceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.canceled
}
