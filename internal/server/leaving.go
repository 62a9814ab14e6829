package server

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// net/http reads on while an op is in hand and so sees its client leave, but not while the op's body is still unread, and no
// more once a byte has come behind the op. An op whose client has left is not to be sent on, so from then on it is seen here.
const (
	// lookEvery is well within the 0.1 s after which nothing may go out for a client that has left.
	lookEvery = 25 * time.Millisecond
	// mostBehind is how much is read behind an op between two looks: its connection's end comes after all of that, which must
	// cost next to nothing where it is a flood.
	mostBehind = 16 << 10
)

// leaving is the watch for a client that leaves; its fields are under its client's lock.
type leaving struct {
	gone     chan struct{} // closed when the client has left while its op waits
	stop     chan struct{} // ends the watch; nil while net/http alone watches
	done     chan struct{} // closed when the watch has ended
	reads    bool          // the watch may be reading
	byItself bool          // net/http has had a byte behind the op, and sees nothing more
	over     bool          // the answer begins: whether the client is there shows by itself
}

// watch begins to look for the client's end; reads tells whether what comes behind its op may be read. The lock is held.
func (c *client) watch(reads bool) {
	if c.stop == nil && !c.over {
		c.stop, c.done, c.reads = make(chan struct{}), make(chan struct{}), reads
		go c.look(c.gone, c.stop, c.done, reads)
	}
}

func (c *client) look(gone chan<- struct{}, stop <-chan struct{}, done chan<- struct{}, reads bool) {
	defer close(done)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for b := make([]byte, 4<<10); ; {
		for got := 0; reads && got < mostBehind; {
			n, err := c.Conn.Read(b)
			got += n
			c.mu.Lock()
			if c.framing.see(b[:n]) {
				c.crossed = true // so that the connection ends with the answer, and what was read here is no loss
			}
			c.mu.Unlock()
			select {
			case <-stop:
				return
			default:
			}
			if err != nil {
				close(gone)
				return
			}
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if c.left() {
			close(gone)
			return
		}
	}
}

// unwatch ends the watch, if there is one, and lets none begin until the next op.
func (c *client) unwatch() {
	c.mu.Lock()
	c.over = true
	stop, done, reads := c.stop, c.done, c.reads
	c.stop = nil
	c.mu.Unlock()
	switch {
	case stop == nil:
	case reads:
		close(stop)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	default: // net/http may be reading: a time-out would be a client that left, for all ops of the connection from then on
		close(stop)
		<-done
	}
}

// waits tells whether something lies on the connection that was not read yet, be it its end.
func (c *client) waits() bool {
	n, err := c.peek()
	return n > 0 || !errors.Is(err, unix.EAGAIN)
}

// left tells whether the client has closed its connection, also where it sent more before that was not read yet.
func (c *client) left() bool {
	n, err := c.peek()
	if n <= 0 {
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}
	left := false
	if raw, err := c.tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			left = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
		})
	}
	return left
}

// peek looks at what comes next on the TCP connection: bytes, its end (0 and no error), or nothing yet (EAGAIN).
func (c *client) peek() (n int, err error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	if fault := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); fault != nil {
		return 0, os.ErrClosed
	}
	return n, err
}
