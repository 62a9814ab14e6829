package server

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pearknot/internal/tcpinfo"
)

// net/http notices a client that disconnects because it goes on reading while a request is in flight. It does not do so
// while the request's body is unread, and it stops once a byte has arrived after the request. No attempt may begin for a
// client that has disconnected, so in these two cases disconnectWatch checks for the end of the connection.
//
// The operators' contract requires this, see "A client that disconnects" in docs/design.md: from 0.1 s after a client has
// closed its connection, no attempt begins for its request.
const (
	// disconnectCheckInterval is a quarter of the contract's 0.1 s.
	disconnectCheckInterval = 25 * time.Millisecond

	// maxTrailingBytes bounds the bytes after a request that are read between two checks. The end of the connection can be
	// seen only after them: those that the systems of both sides can hold, some 10 MB, must be read within the contract's
	// 0.1 s, but a client that floods the connection must not cost much.
	maxTrailingBytes = 4 << 20

	// maxTrailingTotal is the number of bytes after a request from which on the client counts as disconnected. It is more than
	// the systems of both sides can hold, so the client sends without end.
	maxTrailingTotal = 32 << 20

	// trailingBufferBytes is the size of the buffer for one such read.
	trailingBufferBytes = 8 << 10
)

// disconnectWatch holds the state of the watch for a client's disconnect. The connection's lock protects its fields.
type disconnectWatch struct {
	gone                chan struct{} // closed when the client has disconnected while its request is in flight
	stop                chan struct{} // ends the watch; nil while there is none
	done                chan struct{} // closed when the watch has ended
	readsTrailing       bool          // the watch reads the bytes after the request
	httpStoppedWatching bool          // a byte has arrived after the request, so net/http no longer notices a disconnect
	responseBegun       bool          // no watch is needed: writes fail if the client has disconnected
}

// startWatch begins to watch for the client's disconnect. readsTrailing says whether the watch reads the bytes after the
// request. The connection's lock must be held.
func (c *clientConn) startWatch(readsTrailing bool) {
	if c.stop == nil && !c.responseBegun {
		c.stop, c.done, c.readsTrailing = make(chan struct{}), make(chan struct{}), readsTrailing
		go c.watchForDisconnect(c.gone, c.stop, c.done, readsTrailing)
	}
}

func (c *clientConn) watchForDisconnect(gone chan<- struct{}, stop <-chan struct{}, done chan<- struct{}, readsTrailing bool) {
	defer close(done)
	tick := time.NewTicker(disconnectCheckInterval)
	defer tick.Stop()
	buffer := make([]byte, trailingBufferBytes)
	for total := 0; ; {
		if readsTrailing {
			count, isStopped, err := c.readTrailing(buffer, stop)
			if isStopped {
				return
			}
			total += count
			if err != nil || total > maxTrailingTotal {
				close(gone)
				return
			}
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if c.hasDisconnected() {
			close(gone)
			return
		}
	}
}

// readTrailing reads up to maxTrailingBytes of the bytes after the request, until stop is closed or the connection ends, and returns
// their number.
func (c *clientConn) readTrailing(buffer []byte, stop <-chan struct{}) (total int, isStopped bool, err error) {
	for total < maxTrailingBytes {
		n, err := c.Conn.Read(buffer)
		total += n
		c.mu.Lock()
		if c.framing.observe(buffer[:n]) {
			c.pipelined = true // the connection closes after the response, so the bytes read here are not needed
		}
		c.mu.Unlock()
		select {
		case <-stop:
			return total, true, nil
		default:
		}
		if err != nil {
			return total, false, err
		}
	}
	return total, false, nil
}

// stopWatch ends the watch, if there is one, and prevents another from starting until the next request.
func (c *clientConn) stopWatch() {
	c.mu.Lock()
	c.responseBegun = true
	stop, done, readsTrailing := c.stop, c.done, c.readsTrailing
	c.stop = nil
	c.mu.Unlock()
	if stop == nil {
		return
	}
	close(stop)
	if !readsTrailing {
		// net/http may be reading. A deadline would interrupt that read, which net/http treats as a disconnect of the client
		// for all further requests of the connection.
		<-done
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// hasUnreadData reports whether the connection is readable: bytes have arrived, or its end.
func (c *clientConn) hasUnreadData() bool {
	n, err := c.peek()
	return n > 0 || !errors.Is(err, unix.EAGAIN)
}

// hasDisconnected reports whether the client has closed its connection, even if there are unread bytes before the end.
func (c *clientConn) hasDisconnected() bool {
	n, err := c.peek()
	if n <= 0 {
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}
	info, ok := tcpinfo.Get(c.tcp)
	return ok && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}

// peek looks at what comes next on the TCP connection: bytes, its end (0 and no error), or nothing yet (EAGAIN).
func (c *clientConn) peek() (n int, err error) {
	var buffer [1]byte
	return peekBytes(c.tcp, buffer[:])
}

// peekTCP returns how many bytes that have arrived it has copied to the buffer without reading them; 0 or less if there are none.
func peekTCP(tcp *net.TCPConn, buffer []byte) int {
	n, _ := peekBytes(tcp, buffer)
	return n
}

func peekBytes(tcp *net.TCPConn, buffer []byte) (n int, err error) {
	socket, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := socket.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, os.ErrClosed
	}
	return n, err
}
