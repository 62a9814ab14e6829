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

// listener gives out connections as the budget of sockets allows; the others wait in its queue.
type listener struct {
	*net.TCPListener
	budget   *descriptors.Budget
	door     *door // nil lets all in
	draining atomic.Bool
}

// Accept ends with net.ErrClosed also when drain finds the queue empty.
func (l *listener) Accept() (net.Conn, error) {
	if !l.budget.AcquireClient() {
		return nil, net.ErrClosed
	}
	for {
		if l.draining.Load() {
			_ = l.SetDeadline(time.Now().Add(quiet))
		}
		tcp, err := l.AcceptTCP()
		if err != nil {
			l.budget.ReleaseClient()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, net.ErrClosed
			}
			return nil, err
		}
		c := plain(tcp, l.budget)
		c.door = l.door
		if l.door == nil || l.door.enter(c) {
			return c, nil
		}
		refuse(tcp)
	}
}

// drain lets Accept go on until nothing has come for a while.
func (l *listener) drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now().Add(quiet))
}

// client is a client's connection; its descriptor is given back when it closes, once. An op in hand and the end of
// its connection exclude each other: net/http closes idle connections on a look that may be out of date by then, a
// client whose connection ends without an answer sends the op again, and an op already taken would run twice.
type client struct {
	net.Conn // the TCP connection, or the TLS one on it
	tcp      *net.TCPConn
	budget   *descriptors.Budget
	door     *door
	id       uint64 // that the door knows it by; 0 is none

	mu      sync.Mutex
	inHand  bool
	closed  bool
	framing framing
	cut     bool // whatever is there is not to be read now
	crossed bool // bytes came behind an op that was not answered yet
	leaving
}

func plain(c *net.TCPConn, b *descriptors.Budget) *client { return &client{Conn: c, tcp: c, budget: b} }

// CloseWrite is net/http's, which ends a connection so where the client may still be sending.
func (c *client) CloseWrite() error {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return t.CloseWrite()
	}
	return c.tcp.CloseWrite()
}

// longPast tells a limit that only ends a read, as net/http sets one, from one whose time is over.
const longPast = -24 * time.Hour

// SetReadDeadline notes what it is for.
func (c *client) SetReadDeadline(limit time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = !limit.IsZero() && time.Until(limit) < longPast
	return c.Conn.SetReadDeadline(limit)
}

// lateWithin is for reading what there is after a standstill.
const lateWithin = 200 * time.Millisecond

// late tells whether the time for an op ran out while its first bytes lay there: the process stood still, not the client, which
// may have sent an op whole, and is owed its answer.
func (c *client) late() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut || c.closed || c.framing.stage != between || c.Conn != net.Conn(c.tcp) {
		return false
	}
	n, _ := c.peek()
	return n > 0 && c.tcp.SetReadDeadline(time.Now().Add(lateWithin)) == nil
}

// Read follows what net/http reads, which is one byte alone where it looks for a client that leaves.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.late() {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.see(b[:n]) {
		c.crossed = true
	}
	if c.byItself = len(b) == 1 && n == 1; c.byItself && c.inHand {
		c.watch(true)
	}
	return n, err
}

// within tells whether a part of an op has come: net/http says so only once its head is whole, which may take seconds.
func (c *client) within() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.stage != between
}

// unclear tells why what was read can't be taken for one op with nothing around it.
func (c *client) unclear() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.framing.ambiguous:
		return "both a length and an encoding"
	case c.crossed:
		return "a further op before the answer"
	}
	return ""
}

// answering is called before the first byte of an answer goes out. It tells whether the connection has to end with
// it: what is left of an op, or came behind it, must not be taken for the next one.
func (c *client) answering() (last bool) {
	c.unwatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	last = c.crossed || c.framing.last || c.framing.stage == body
	c.framing.ended = false
	return last
}

// claim takes an op in hand, unless the connection was closed before; streamed tells that its body is not read whole.
func (c *client) claim(streamed bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inHand = true
	c.leaving = leaving{gone: make(chan struct{}), byItself: c.byItself}
	if streamed || c.byItself {
		c.watch(!streamed)
	}
	return true
}

// release is called when the op's answer has been handed to net/http, which then writes it out and closes.
func (c *client) release() {
	c.unwatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHand = false
}

// Close does nothing while an op is in hand: the server closes again after it, being told to end.
func (c *client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHand || c.closed {
		return nil
	}
	c.closed = true
	if c.id != 0 {
		c.door.closed(c)
	}
	if c.Conn == net.Conn(c.tcp) {
		defer c.budget.ReleaseClient()
		return c.tcp.Close()
	}
	go func() { // the last record may wait for a client that reads nothing; whoever closes does not
		defer c.budget.ReleaseClient()
		_ = c.Conn.Close()
	}()
	return nil
}

type clientKey struct{}

// withClient lets a handler find its connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// onTheWay is allowed for the way from the client's machine where nothing is known of it, in ms.
const onTheWay = 2.0

// wayHere is how long ago the client sent what was just read whole, in ms: the time that its last bytes waited on
// this machine and half a round trip. A busy node reads late, and the TTL counts from the sending.
func (c *client) wayHere() float64 {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return onTheWay
	}
	way := onTheWay
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			way = float64(info.Last_data_recv) + max(float64(info.Rtt)/2e3, onTheWay)
		}
	})
	return way
}
