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
	reader     *Reader
	address    string // dialled
	reused     bool
	idleSince  time.Time     // idle since
	idleBefore time.Duration // idle before its latest message
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, reader: NewReader(c), address: address}
}

// rest is how long a connection is left alone after an answer. A backend that closes behind an answer, or says more
// than belongs to it, does so at once, but that comes a way between machines later: on a connection used again before,
// an op is lost to the end, or answered with what was never meant for it.
const minIdle = 10 * time.Millisecond

// sound looks whether an idle connection is still open with nothing to read: the backend may have closed it, and
// what is written after that ends as a reset that may have run.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
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
type connState uint8

const (
	connClosed connState = iota
	connReusable
	connWriteFailed // broke before the last byte: the message may go once more
	connStreaming   // the rest of an answer is read from it
)

// exchange writes a call's message and reads the reply. It alone uses the connection meanwhile, and closes nothing.
func (p *Backend) exchange(c *Call, on *conn) (Result, connState) {
	if !p.acceptsAttempts.Load() { // the list said so while the connection came up
		return Result{Outcome: balancer.OutcomeNotSent}, connReusable
	}
	left, ok := c.start(on)
	if !ok {
		return Result{Outcome: balancer.OutcomeNotSent}, connReusable
	}
	if out, fate := p.writeMessage(c, on, left); fate != connReusable {
		return out, fate
	}
	first := on.reader.waitFirstByte()
	reply, more, keep, err := ReadReply(on.reader, c.Message.isHead, MaxBody, MaxBufferedBody)
	off := c.release()
	if err != nil {
		switch {
		case off:
			return Result{Outcome: balancer.OutcomeCanceled}, connClosed
		case errors.Is(err, os.ErrDeadlineExceeded):
			return Result{Outcome: balancer.OutcomeTimedOut}, connClosed
		}
		p.config.Log.Debug("reply broke", "backend", p.name, "error", err, "reused", on.reused,
			"idle_ms", on.idleBefore.Milliseconds())
		return Result{Outcome: balancer.OutcomeConnectionReset}, connClosed
	}
	report, odd := reply.parseLoadReport(p.config.SetReportValue)
	if odd != "" {
		p.invalidReportLog.Do(func() { p.config.Log.Warn("odd load report skipped", "backend", p.name, "report", odd) })
	}
	reply.Header.Del(loadReportHeader) // it is for this node
	fate := connClosed
	switch {
	case reply.Stream != nil:
		s := reply.Stream
		s.body, s.conn, s.reusable, s.remaining = more, on, keep, MaxBody-int64(len(reply.Body))
		s.giveBack = func(keep bool) { p.mailbox.Put(func() { p.takeBackConn(on, keep) }) }
		_ = on.SetDeadline(time.Time{}) // the op's time ends with its first bytes
		fate = connStreaming
	case keep:
		fate = connReusable
	}
	return Result{Outcome: reply.outcome(), SinceFirstByte: time.Since(first), Reply: reply, Report: report}, fate
}

// write sends the message; kept is that it is out whole.
func (p *Backend) writeMessage(c *Call, on *conn, left time.Duration) (Result, connState) {
	message := c.Message.buffers(float64(left.Microseconds()) / 1e3)
	n, err := message.WriteTo(on.Conn)
	if err == nil && c.Message.stream != nil {
		var read error
		if read, err = c.sendBody(on); read != nil { // the client's doing: it never was whole, and the backend is well
			c.release()
			p.config.Log.Debug("body broke", "backend", p.name, "error", read)
			return Result{Outcome: balancer.OutcomeNotSent}, connClosed
		}
	}
	if err == nil {
		return Result{}, connReusable
	}
	// An error is told only where bytes are left.
	off := c.release()
	p.config.Log.Debug("write broke", "backend", p.name, "written", n, "error", err)
	switch {
	case off: // this node's own doing: it tells nothing of the backend
		return Result{Outcome: balancer.OutcomeNotSent}, connClosed
	case c.Message.stream == nil:
		return Result{Outcome: balancer.OutcomeConnectFailed}, connWriteFailed
	}
	return Result{Outcome: balancer.OutcomeConnectFailed}, connClosed // what has gone of the body is not held any more
}
