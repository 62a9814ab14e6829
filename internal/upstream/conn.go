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

	idleRecorded bool // what it has shown since idleSince was recorded
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
	connSurplus                      // it must be closed: bytes that nobody has asked for have come with the response
)

// idleState is what an idle connection shows.
type idleState uint8

const (
	idleQuiet   idleState = iota // it is open, and nothing has arrived
	idleSurplus                  // bytes have arrived that nobody has asked for
	idleEnded                    // the backend has closed it, and a request written now would end with a reset, which doesn't tell whether it ran
)

// idleState returns what the connection, which is idle, shows.
func (c *conn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return idleSurplus
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return idleQuiet
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idleQuiet
		case err == nil && n > 0:
			state = idleSurplus
		}
	})
	if err != nil {
		return idleEnded
	}
	return state
}
