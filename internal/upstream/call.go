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
	Outcome balancer.Outcome
	First   time.Duration       // how long before its end the answer's first byte came, where there is one
	Reply   *Reply              // where the backend answered at all
	Report  balancer.LoadReport // that came with the reply; without one it is not to be read
}

// Call is one push on its way. The node may call it off or shorten its time from outside; whether its first byte
// may still go out is decided in one place, begin.
type Call struct {
	Message *Message
	Done    func(Result)    // called once; must not block
	Before  time.Time       // it begins no later than this; zero is no bound. Set before it is sent
	Sent    func(time.Time) // takes when a streamed op's time is over, once its last byte has come; must not block
	Left    *atomic.Bool    // whether its op's client has; known here at once, however long the node's actor takes. nil is never

	mu     sync.Mutex
	until  time.Time
	off    bool
	begun  bool
	last   bool               // what it has begun is all that it ever begins
	conn   net.Conn           // while it is out there
	cancel context.CancelFunc // of the connection that is to come up

	afresh bool // on a fresh connection after a write that failed; the peer's
}

// NewCall makes a call that ends at until.
func NewCall(m *Message, until time.Time, done func(Result)) *Call {
	return &Call{Message: m, Done: done, until: until}
}

// Withhold keeps it from beginning, also once more after a write that is breaking just now; what is out already goes on.
// An op's final answer comes after this.
func (c *Call) Withhold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	if c.conn == nil {
		c.callOff()
	}
}

// Forestall calls it off unless it has begun, and tells which.
func (c *Call) ClaimStart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.callOff()
	}
	return !c.begun
}

// Revoke calls it off: what has not begun never does, what is out is no longer waited for.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callOff()
}

func (c *Call) callOff() {
	c.off = true
	if c.cancel != nil {
		c.cancel()
	}
	if c.conn != nil {
		_ = c.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Shorten ends its time sooner.
func (c *Call) ShortenDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.Before(c.until) {
		c.until = until
		if c.conn != nil && !c.off {
			_ = c.conn.SetDeadline(until)
		}
	}
}

// dialling tells within which time a connection must come up, if one is still wanted.
func (c *Call) dialling(most time.Duration) (context.Context, context.CancelFunc, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(most)
	if c.until.Before(until) {
		until = c.until
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	c.cancel = cancel
	return ctx, cancel, !c.off && !c.last
}

// begin is passed right before the first byte: the op must live and have time. It tells how much.
func (c *Call) begin(conn net.Conn) (left time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left = time.Until(c.until)
	if c.off || c.last || left <= 0 || c.Left != nil && c.Left.Load() || !c.Before.IsZero() && !time.Now().Before(c.Before) {
		return 0, false
	}
	c.conn, c.begun = conn, true
	_ = conn.SetDeadline(c.until)
	if c.Message.rest != nil {
		left = c.Message.rest.TTL
	}
	return left, true
}

// pass sends what still comes of the op's body, and has its time begin with the last byte. Which side broke it is told
// apart: read is the client's fault, or the end of its patience.
func (c *Call) pass(on net.Conn) (read, write error) {
	rest, buffer := c.Message.rest, make([]byte, piece)
	for {
		n, err := rest.From.Read(buffer)
		if n > 0 {
			part := net.Buffers{buffer[:n]}
			if rest.Size < 0 {
				part = chunk(buffer[:n])
			}
			c.mu.Lock()
			off := c.off
			if !off {
				_ = on.SetWriteDeadline(time.Now().Add(stall))
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
	if c.off {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	if now := time.Now(); now.Add(rest.TTL).Before(c.until) {
		c.until = now.Add(rest.TTL)
	}
	if c.Sent != nil { // told before the last byte can have an answer
		c.Sent(c.until)
	}
	_ = on.SetDeadline(c.until)
	c.mu.Unlock() // whoever calls it off, the node's actor, must not wait for a backend that takes no more
	if rest.Size < 0 {
		_, write = io.WriteString(on, "0\r\n\r\n")
	}
	return nil, write
}

// end lets go of the connection and tells whether the call had been called off.
func (c *Call) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.off
}
