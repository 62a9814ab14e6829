package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/memory"
	"pearknot/internal/writestall"
)

// Result holds the outcome of a call and its response.
type Result struct {
	Outcome        balancer.Outcome
	SinceFirstByte time.Duration       // from the response's first byte until the call's end; 0 if there was no response
	Reply          *Reply              // the response, nil if the backend sent none
	Report         balancer.LoadReport // the load report of Reply; undefined if Reply is nil
}

// Call is the transport's state of one attempt: the message to one backend, its connection and deadline. The balancer's state
// of the same attempt is balancer.Attempt. Call is unrelated to requestlog.Call, which is an RPC between members.
//
// Its methods may be called from any goroutine while the backend works on it: they cancel it, shorten its deadline, or
// prevent it from starting. Whether its first byte may still be sent is decided in one place, start, under the call's lock.
//
// The exported fields must be set before Backend.Send.
type Call struct {
	Message     *Message
	OnDone      func(Result)    // called once; must not block
	StartBefore time.Time       // the call must start before this time; zero means no limit
	OnBodySent  func(time.Time) // called with the deadline when a streamed body is complete; must not block
	ClientGone  *atomic.Bool    // set as soon as the request's client has disconnected; nil if that can't happen

	mu             sync.Mutex
	deadline       time.Time
	canceled       bool
	started        bool
	startPrevented bool               // the call must not start, nor start again on another connection
	conn           net.Conn           // the connection that carries it; nil before and after
	cancelDial     context.CancelFunc // cancels the dialing of its connection

	resentOnNewConn bool // the message was sent again on a new connection after a failed write; used only by the backend's actor
}

// NewCall returns a call that times out at the deadline.
func NewCall(m *Message, deadline time.Time, onDone func(Result)) *Call {
	return &Call{Message: m, OnDone: onDone, deadline: deadline}
}

// PreventStart prevents the call from starting, or from starting again after a write that is just failing. A call that has
// started continues. It is called before the request's final answer is given, so that nothing is sent after the answer.
func (c *Call) PreventStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPrevented = true
	if c.conn == nil {
		c.cancelLocked()
	}
}

// CancelIfNotStarted cancels the call unless it has started, and reports whether it canceled it.
func (c *Call) CancelIfNotStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.cancelLocked()
	}
	return !c.started
}

// Cancel cancels the call: it no longer starts, and no longer waits for a response.
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

// ShortenDeadline moves the deadline forward. A later deadline has no effect.
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
// whether the call still needs a connection. The caller must call cancel in either case.
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

// start is called right before the first byte is written. ok reports whether the call may be sent. timeout is the remaining
// time, which is sent to the backend.
func (c *Call) start(conn net.Conn) (timeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout = time.Until(c.deadline)
	if c.Message.IsStreamed() {
		timeout = min(timeout, time.Until(c.Message.stream.Deadline()))
	}
	if timeout <= 0 || !c.mayStart() {
		return 0, false
	}
	c.conn, c.started = conn, true
	_ = conn.SetDeadline(c.deadline)
	return timeout, true
}

// mayStart reports whether the call may start. The lock must be held.
func (c *Call) mayStart() bool {
	clientGone := c.ClientGone != nil && c.ClientGone.Load()
	tooLate := !c.StartBefore.IsZero() && !time.Now().Before(c.StartBefore)
	return !c.canceled && !c.startPrevented && !clientGone && !tooLate
}

// sendBody copies the rest of a streamed body from the client to the backend. It returns the errors of the two sides
// separately: readErr means that the client failed or took too long.
func (c *Call) sendBody(conn net.Conn, monitor *writestall.Monitor, budget *memory.Budget) (readErr, writeErr error) {
	body := c.Message.stream.Reader
	size, release := budget.AcquireBuffer(streamBufferSize, minStreamBufferSize)
	defer release()
	buffer := make([]byte, size)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			monitor.BeginWrite()
			writeErr := c.sendBodyPart(conn, buffer[:n])
			monitor.EndWrite()
			if writeErr != nil {
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

// sendBodyPart writes a part of a streamed body. The call's deadline binds the write: the client may have sent the whole body
// long ago.
func (c *Call) sendBodyPart(conn net.Conn, part []byte) error {
	buffers := net.Buffers{part}
	if c.Message.stream.isChunked() {
		buffers = chunkBuffers(part)
	}
	_, err := buffers.WriteTo(conn)
	return err
}

// finishBody ends a streamed body: it starts the request's timeout, and writes the last chunk of a chunked body.
func (c *Call) finishBody(conn net.Conn) error {
	if !c.beginResponseTimeout(conn) {
		return net.ErrClosed
	}
	// The lock must not be held here. A backend that has stopped reading blocks this write, and the node's actor would wait
	// for the lock when it cancels the call.
	if !c.Message.stream.isChunked() {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// beginResponseTimeout sets the deadline for the response of a request whose body is complete. It reports false if the call
// has been canceled.
func (c *Call) beginResponseTimeout(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	deadline := c.Message.stream.Deadline()
	if deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	if c.OnBodySent != nil { // before the last byte, and so before there can be a response
		c.OnBodySent(c.deadline)
	}
	_ = conn.SetDeadline(c.deadline)
	return true
}

// release detaches the call from its connection and reports whether it was canceled.
func (c *Call) release() (wasCanceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.canceled
}
