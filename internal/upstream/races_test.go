package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// failingWriteConn is a connection on which each write calls beforeWrite and then fails with nothing written.
type failingWriteConn struct {
	net.Conn
	beforeWrite func()
}

func (c *failingWriteConn) Write([]byte) (int, error) {
	c.beforeWrite()
	return 0, net.ErrClosed
}

// A request gets its final answer, or its client disconnects, just as the write of its attempt fails on a connection that
// the backend has closed. The attempt must not be sent again on a new connection. It once was, because PreventStart had
// no effect on a call that had started.
func TestFinishedRequestIsNotResent(t *testing.T) {
	for name, finish := range map[string]func(*Call){"answered, or client gone": (*Call).PreventStart, "canceled": (*Call).Cancel} {
		stub := newStubBackend(t, okHead+"\r\nhi", okHead+"\r\nhi")
		backend, _ := newTestBackend(t, stub.Addr().String())
		require.Equal(t, balancer.OutcomeAnswered, (<-send(backend, 10*time.Second)).Outcome, name)
		<-stub.requests
		ageIdleConns(backend)
		var call atomic.Pointer[Call]
		backend.mailbox.Put(func() { backend.idle[0].Conn = &failingWriteConn{backend.idle[0].Conn, func() { finish(call.Load()) }} })
		result := <-send(backend, 10*time.Second, func(c *Call) { call.Store(c) })
		assert.Equal(t, balancer.OutcomeNotSent, result.Outcome, name)
		assert.Empty(t, stub.requests, name)
		assert.Len(t, stub.conns, 1, "%s: no connection is dialed", name)
	}
}

// A call is canceled in the middle of its write on a new connection. That must not count against the backend. It once counted
// as a failed connection, for which a backend is ejected.
func TestCancelDuringWriteNotCountedAgainstBackend(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	backend, _ := newTestBackend(t, "127.0.0.1:1")
	call := NewCall(NewMessage("GET", "/", "s", nil, nil, nil), time.Now().Add(10*time.Second), nil)
	result, _ := backend.exchange(call, newConn(&failingWriteConn{near, func() { call.Cancel() }}, dialTarget{address: "127.0.0.1:1"}))
	assert.Equal(t, balancer.OutcomeNotSent, result.Outcome)
}

// The endpoint list gives a backend another address while a connection to the old one is being established. Nothing may be
// sent there, since another process may listen at the old address by then.
func TestAddressChangesDuringDial(t *testing.T) {
	oldStub, newStub := newStubBackend(t, okHead+"\r\nhi"), newStubBackend(t, okHead+"\r\nhi")
	backend, sharedConfig := newTestBackend(t, oldStub.Addr().String())
	results := make(chan Result, 1)
	call := NewCall(NewMessage("GET", "/", "s", nil, nil, nil), time.Now().Add(10*time.Second), func(r Result) { results <- r })
	netConn, err := net.Dial("tcp", oldStub.Addr().String())
	require.NoError(t, err)
	require.True(t, sharedConfig.Budget.TryAcquireBackend())
	backend.Update(newStub.Addr().String(), true)
	backend.mailbox.Put(func() {
		backend.activeCalls++
		backend.dialFinished(call, dialTarget{address: oldStub.Addr().String()}, netConn, nil)
	})
	assert.Equal(t, balancer.OutcomeNotSent, (<-results).Outcome)
	assert.Empty(t, oldStub.requests)
	assert.Equal(t, balancer.OutcomeAnswered, (<-send(backend, 10*time.Second)).Outcome)
	assert.Len(t, newStub.requests, 1)
}

// lastChunkConn is a connection that calls beforeLastChunk before the last chunk of a streamed body is written.
type lastChunkConn struct {
	net.Conn
	beforeLastChunk func()
}

func (c *lastChunkConn) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		c.beforeLastChunk()
	}
	return c.Conn.Write(b)
}

// A streamed request is canceled while the write of its last bytes blocks on a backend that has stopped reading. Cancel must
// not wait for the write: the node's actor calls it, and every request of the node once waited for it.
func TestCancelDoesNotWaitForAWrite(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	backend, _ := newTestBackend(t, "127.0.0.1:1")
	message := NewMessage("POST", "/", "s", http.Header{}, []byte("a"), &StreamedBody{Size: -1, Deadline: deadlineAfter(10 * time.Second), Reader: strings.NewReader("b")})
	call := NewCall(message, time.Now().Add(10*time.Second), nil)
	results := make(chan Result, 1)
	go func() {
		result, _ := backend.exchange(call, newConn(&lastChunkConn{near, call.Cancel}, dialTarget{address: "127.0.0.1:1"}))
		results <- result
	}()
	select {
	case result := <-results:
		assert.Equal(t, balancer.OutcomeNotSent, result.Outcome)
	case <-time.After(5 * time.Second):
		t.Fatal("Cancel and the write wait for each other")
	}
}
