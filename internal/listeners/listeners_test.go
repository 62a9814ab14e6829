package listeners

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failingListener fails Accept with each error in turn before it accepts connections.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// An accept that fails for a moment, in any way that the system documents, does not end an HTTP server; the listener's close does.
func TestHTTPServerSurvivesFailedAccepts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{listener, []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}}
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Retry(failing)) }()
	response, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	require.NoError(t, listener.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
