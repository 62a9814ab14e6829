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

// Outcome is how a call ended.
type Result struct {
	Outcome        balancer.Outcome
	SinceFirstByte time.Duration       // how long before its end the answer's first byte came, where there is one
	Reply          *Reply              // where the backend answered at all
	Report         balancer.LoadReport // that came with the reply; without one it is not to be read
}

// Call is one push on its way. The node may call it off or shorten its time from outside; whether its first byte
// may still go out is decided in one place, begin.
type Call struct {
	Message     *Message
	OnDone      func(Result)    // called once; must not block
	StartBefore time.Time       // it begins no later than this; zero is no bound. Set before it is sent
	OnBodySent  func(time.Time) // takes when a streamed op's time is over, once its last byte has come; must not block
	ClientGone  *atomic.Bool    // whether its op's client has; known here at once, however long the node's actor takes. nil is never

	mu             sync.Mutex
	deadline       time.Time
	canceled       bool
	started        bool
	startPrevented bool               // what it has begun is all that it ever begins
	conn           net.Conn           // while it is out there
	cancelDial     context.CancelFunc // of the connection that is to come up

	retriedOnFresh bool // on a fresh connection after a write that failed; the peer's
}

// NewCall makes a call that ends at until.
func NewCall(m *Message, until time.Time, done func(Result)) *Call {
	return &Call{Message: m, OnDone: done, deadline: until}
}

// Withhold keeps it from beginning, also once more after a write that is breaking just now; what is out already goes on.
// An op's final answer comes after this.
func (c *Call) PreventStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPrevented = true
	if c.conn == nil {
		c.cancelLocked()
	}
}

// Forestall calls it off unless it has begun, and tells which.
func (c *Call) CancelIfNotStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.cancelLocked()
	}
	return !c.started
}

// Revoke calls it off: what has not begun never does, what is out is no longer waited for.
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
		_ = c.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Shorten ends its time sooner.
func (c *Call) ShortenDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.Before(c.deadline) {
		c.deadline = until
		if c.conn != nil && !c.canceled {
			_ = c.conn.SetDeadline(until)
		}
	}
}

// dialling tells within which time a connection must come up, if one is still wanted.
func (c *Call) dialContext(most time.Duration) (context.Context, context.CancelFunc, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(most)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	c.cancelDial = cancel
	return ctx, cancel, !c.canceled && !c.startPrevented
}

// begin is passed right before the first byte: the op must live and have time. It tells how much.
func (c *Call) start(conn net.Conn) (left time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left = time.Until(c.deadline)
	if c.canceled || c.startPrevented || left <= 0 || c.ClientGone != nil && c.ClientGone.Load() || !c.StartBefore.IsZero() && !time.Now().Before(c.StartBefore) {
		return 0, false
	}
	c.conn, c.started = conn, true
	_ = conn.SetDeadline(c.deadline)
	if c.Message.stream != nil {
		left = c.Message.stream.Timeout
	}
	return left, true
}

// pass sends what still comes of the op's body, and has its time begin with the last byte. Which side broke it is told
// apart: read is the client's fault, or the end of its patience.
func (c *Call) sendBody(on net.Conn) (read, write error) {
	rest, buffer := c.Message.stream, make([]byte, streamBufferSize)
	for {
		n, err := rest.Reader.Read(buffer)
		if n > 0 {
			part := net.Buffers{buffer[:n]}
			if rest.Size < 0 {
				part = chunkBuffers(buffer[:n])
			}
			c.mu.Lock()
			off := c.canceled
			if !off {
				_ = on.SetWriteDeadline(time.Now().Add(stallTimeout))
			}
			c.mu.Unlock()
			if off {
				return nil, net.ErrClosed
			}
			if _, err := part.WriteTo(on); err != nil {
				return nil, err
			}
		}
		switch err {
		case nil:
			continue
		case io.EOF:
		default:
			return err, nil
		}
		break
	}
	c.mu.Lock()
	if c.canceled {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	if now := time.Now(); now.Add(rest.Timeout).Before(c.deadline) {
		c.deadline = now.Add(rest.Timeout)
	}
	if c.OnBodySent != nil { // told before the last byte can have an answer
		c.OnBodySent(c.deadline)
	}
	_ = on.SetDeadline(c.deadline)
	c.mu.Unlock() // whoever calls it off, the node's actor, must not wait for a backend that takes no more
	if rest.Size < 0 {
		_, write = io.WriteString(on, "0\r\n\r\n")
	}
	return nil, write
}

// end lets go of the connection and tells whether the call had been called off.
func (c *Call) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.canceled
}
