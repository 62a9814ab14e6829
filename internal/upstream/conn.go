package upstream

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"pearknot/balancer"
)

// conn is a connection to a backend; it carries one message at a time and is the peer's.
type conn struct {
	net.Conn
	r       *Reader
	address string // dialled
	used    bool
	since   time.Time     // idle since
	rested  time.Duration // idle before its latest message
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, r: NewReader(c), address: address}
}

// rest is how long a connection is left alone after an answer. A backend that closes behind an answer, or says more
// than belongs to it, does so at once, but that comes a way between machines later: on a connection used again before,
// an op is lost to the end, or answered with what was never meant for it.
const rest = 10 * time.Millisecond

// sound looks whether an idle connection is still open with nothing to read: the backend may have closed it, and
// what is written after that ends as a reset that may have run.
func (c *conn) sound() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		sound = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && sound
}

// fate is what becomes of a connection after a message.
type fate uint8

const (
	dropped fate = iota
	kept
	unwritten // broke before the last byte: the message may go once more
	lent      // the rest of an answer is read from it
)

// exchange writes a call's message and reads the reply. It alone uses the connection meanwhile, and closes nothing.
func (p *Backend) exchange(c *Call, on *conn) (Result, fate) {
	if !p.open.Load() { // the list said so while the connection came up
		return Result{Outcome: balancer.OutcomeNotSent}, kept
	}
	left, ok := c.begin(on)
	if !ok {
		return Result{Outcome: balancer.OutcomeNotSent}, kept
	}
	if out, fate := p.write(c, on, left); fate != kept {
		return out, fate
	}
	first := on.r.begins()
	reply, more, keep, err := ReadReply(on.r, c.Message.bare, MaxBody, MaxBufferedBody)
	off := c.end()
	if err != nil {
		switch {
		case off:
			return Result{Outcome: balancer.OutcomeCanceled}, dropped
		case errors.Is(err, os.ErrDeadlineExceeded):
			return Result{Outcome: balancer.OutcomeTimedOut}, dropped
		}
		p.terms.Log.Debug("reply broke", "backend", p.name, "error", err, "reused", on.used,
			"idle_ms", on.rested.Milliseconds())
		return Result{Outcome: balancer.OutcomeConnectionReset}, dropped
	}
	report, odd := reply.load(p.terms.SetReportValue)
	if odd != "" {
		p.odd.Do(func() { p.terms.Log.Warn("odd load report skipped", "backend", p.name, "report", odd) })
	}
	reply.Header.Del(loadReport) // it is for this node
	fate := dropped
	switch {
	case reply.More != nil:
		s := reply.More
		s.body, s.on, s.keep, s.most = more, on, keep, MaxBody-int64(len(reply.Body))
		s.back = func(keep bool) { p.box.Put(func() { p.returned(on, keep) }) }
		_ = on.SetDeadline(time.Time{}) // the op's time ends with its first bytes
		fate = lent
	case keep:
		fate = kept
	}
	return Result{Outcome: reply.ending(), First: time.Since(first), Reply: reply, Report: report}, fate
}

// write sends the message; kept is that it is out whole.
func (p *Backend) write(c *Call, on *conn, left time.Duration) (Result, fate) {
	message := c.Message.encode(float64(left.Microseconds()) / 1e3)
	n, err := message.WriteTo(on.Conn)
	if err == nil && c.Message.rest != nil {
		var read error
		if read, err = c.pass(on); read != nil { // the client's doing: it never was whole, and the backend is well
			c.end()
			p.terms.Log.Debug("body broke", "backend", p.name, "error", read)
			return Result{Outcome: balancer.OutcomeNotSent}, dropped
		}
	}
	if err == nil {
		return Result{}, kept
	}
	// An error is told only where bytes are left.
	off := c.end()
	p.terms.Log.Debug("write broke", "backend", p.name, "written", n, "error", err)
	switch {
	case off: // this node's own doing: it tells nothing of the backend
		return Result{Outcome: balancer.OutcomeNotSent}, dropped
	case c.Message.rest == nil:
		return Result{Outcome: balancer.OutcomeConnectFailed}, unwritten
	}
	return Result{Outcome: balancer.OutcomeConnectFailed}, dropped // what has gone of the body is not held any more
}
