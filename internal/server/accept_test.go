package server

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/descriptors"
)

// failingListener fails Accept with each error in turn before it accepts a connection.
type failingListener struct {
	*net.TCPListener
	errors []error
}

func (l *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.AcceptTCP()
}

// An accept that fails for a moment, in any way that the system documents, ends neither the listener nor the node.
func TestAcceptSurvivesErrorsOfTheSystem(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	failing := &failingListener{TCPListener: tcp, errors: []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}}
	budget := descriptors.New(64, func() {})
	l := &listener{TCPListener: tcp, accept: failing.AcceptTCP, budget: budget, onAcceptError: func(error) {}}
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.Close()
		}
		accepted <- err
	}()
	client, err := net.Dial("tcp", tcp.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	select {
	case err := <-accepted:
		assert.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("no connection was accepted")
	}
	assert.Equal(t, 0, budget.Clients())
	require.NoError(t, tcp.Close())
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, 0, budget.Clients())
}
