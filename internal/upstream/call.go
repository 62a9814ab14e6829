package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"pearknot/balance"
)

// Outcome is how a call ended.
type Outcome struct {
	Ending balance.Ending
	Reply  *Reply         // where the backend answered at all
	Report balance.Report // that came with the reply; without one it is not to be read
}

// Call is one push on its way. The node may call it off or shorten its time from outside; whether its first byte
// may still go out is decided in one place, begin.
type Call struct {
	Message *Message
	Done    func(Outcome) // called once; must not block

	mu     sync.Mutex
	until  time.Time
	off    bool
	conn   net.Conn           // while it is out there
	cancel context.CancelFunc // of what it waits for beside its connection

	afresh bool // on a fresh connection after a write that failed; the peer's
}

// NewCall makes a call that ends at until.
func NewCall(m *Message, until time.Time, done func(Outcome)) *Call {
	return &Call{Message: m, Done: done, until: until}
}

// Withhold keeps it from beginning; what is out already goes on. An op's final answer comes after this.
func (c *Call) Withhold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		c.callOff()
	}
}

// Revoke calls it off: what has not begun never does, what is out is no longer waited for.
func (c *Call) Revoke() {
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
func (c *Call) Shorten(until time.Time) {
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
	return ctx, cancel, !c.off
}

// begin is passed right before the first byte: the op must live and have time. It tells how much.
func (c *Call) begin(conn net.Conn) (ctx context.Context, left time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left = time.Until(c.until)
	if c.off || left <= 0 {
		return nil, 0, false
	}
	ctx, c.cancel = context.WithDeadline(context.Background(), c.until)
	c.conn = conn
	_ = conn.SetDeadline(c.until)
	return ctx, left, true
}

// end lets go of the connection and tells whether the call had been called off.
func (c *Call) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	c.cancel()
	return c.off
}
