// Package listeners tells the errors that end a listener from those that pass.
package listeners

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// RetryDelay is the wait after an Accept that has failed with an error that passes.
const RetryDelay = 5 * time.Millisecond

// IsFinal reports whether Accept can't succeed after an error: the listener is closed, its deadline has passed, or it is none. Any other
// error concerns one connection, or the system has run out of something for a moment.
func IsFinal(err error) bool {
	for _, final := range []error{net.ErrClosed, os.ErrDeadlineExceeded, unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EOPNOTSUPP} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

// Retry returns the listener with an Accept that goes on after errors that pass. net/http's Serve goes on after some of them alone.
func Retry(listener net.Listener) net.Listener { return retryingListener{listener} }

type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || IsFinal(err) {
			return conn, err
		}
		time.Sleep(RetryDelay)
	}
}
