package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"pearknot/internal/writestall"
)

// conn is a connection to a backend. It carries one request at a time and belongs to the backend's actor, or to the
// goroutine of the exchange or the stream that uses it.
type conn struct {
	net.Conn
	reader     *Reader
	target     dialTarget
	reused     bool // it has carried a request before
	idleSince  time.Time
	idleBefore time.Duration // idle time before its latest request
}

func newConn(netConn net.Conn, target dialTarget) *conn {
	return &conn{Conn: netConn, reader: NewReader(netConn), target: target}
}

// ackedBytes returns the connection's count of acknowledged bytes.
func (c *conn) ackedBytes() writestall.AckedBytes {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return writestall.OfConn(socket)
	}
	return writestall.Unknown
}

// connState tells how a connection may be used after an exchange.
type connState uint8

const (
	connClosed      connState = iota // it must be closed
	connReusable                     // it can carry another request
	connWriteFailed                  // it must be closed; the request was not written completely and may be sent once more
	connStreaming                    // the rest of a response is still to be read from it
)

// isUsable reports whether an idle connection is still open with nothing to read. The backend may have closed it, and a
// request written after that ends with a reset, which doesn't tell whether it ran.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = errors.Is(err, syscall.EAGAIN) // neither data nor end of file
	})
	return err == nil && isOpen
}
