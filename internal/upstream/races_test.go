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

// breaking is a connection on which writing fails with nothing written, right after something else has happened.
type failingWriteConn struct {
	net.Conn
	first func()
}

func (b *failingWriteConn) Write([]byte) (int, error) {
	b.first()
	return 0, net.ErrClosed
}

// An op gets its final answer, or its client leaves, just as the write of its push breaks on a connection that the backend
// has closed: the push is not sent on a fresh connection then. It once was, since Withhold left alone what had begun.
func TestNoRetryForAFinishedRequest(t *testing.T) {
	for name, f := range map[string]func(*Call){"answered, or left": (*Call).PreventStart, "called off": (*Call).Cancel} {
		b := newStubBackend(t, okHead+"\r\nhi", okHead+"\r\nhi")
		p, _ := newTestBackend(t, b.Addr().String())
		require.Equal(t, balancer.OutcomeAnswered, (<-send(p, 10*time.Second)).Outcome, name)
		<-b.got
		ageIdleConns(p)
		var call atomic.Pointer[Call]
		p.mailbox.Put(func() { p.idle[0].Conn = &failingWriteConn{p.idle[0].Conn, func() { f(call.Load()) }} })
		out := <-send(p, 10*time.Second, func(c *Call) { call.Store(c) })
		assert.Equal(t, balancer.OutcomeNotSent, out.Outcome, name)
		assert.Empty(t, b.got, name)
		assert.Len(t, b.conns, 1, "%s: nor is one dialled", name)
	}
}

// A push called off in the middle of its write on a connection of its own tells nothing of the backend. It counted as a
// backend that takes no connections, which is shunned for it.
func TestCancelDuringWriteIsNotTheBackendsFault(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p, _ := newTestBackend(t, "127.0.0.1:1")
	var c *Call
	c = NewCall(NewMessage("GET", "/", "s", nil, nil, nil), time.Now().Add(10*time.Second), nil)
	out, _ := p.exchange(c, newConn(&failingWriteConn{near, func() { c.Cancel() }}, "127.0.0.1:1"))
	assert.Equal(t, balancer.OutcomeNotSent, out.Outcome)
}

// The list gives a backend another address while a connection to the old one comes up: nothing is sent there. Whoever listens
// at the old one by then is another process.
func TestAddressChangesDuringDial(t *testing.T) {
	b, other := newStubBackend(t, okHead+"\r\nhi"), newStubBackend(t, okHead+"\r\nhi")
	p, told := newTestBackend(t, b.Addr().String())
	ended := make(chan Result, 1)
	c := NewCall(NewMessage("GET", "/", "s", nil, nil, nil), time.Now().Add(10*time.Second), func(o Result) { ended <- o })
	to, err := net.Dial("tcp", b.Addr().String())
	require.NoError(t, err)
	require.True(t, told.Budget.TryAcquireBackend())
	p.Update(other.Addr().String(), true)
	p.mailbox.Put(func() {
		p.activeCalls++
		p.dialFinished(c, b.Addr().String(), to, nil)
	})
	assert.Equal(t, balancer.OutcomeNotSent, (<-ended).Outcome)
	assert.Empty(t, b.got)
	assert.Equal(t, balancer.OutcomeAnswered, (<-send(p, 10*time.Second)).Outcome)
	assert.Len(t, other.got, 1)
}

// ending is a connection whose peer takes no more just as a streamed op's last bytes go out, until its call is called off.
type lastChunkConn struct {
	net.Conn
	last func()
}

func (e *lastChunkConn) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		e.last()
	}
	return e.Conn.Write(b)
}

// A streamed op is called off while its last bytes wait for a backend that takes no more. Whoever called it off, the node's
// actor, waited for them too, and all ops of the node with it.
func TestCancelDoesNotWaitForAWrite(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	p, _ := newTestBackend(t, "127.0.0.1:1")
	m := NewMessage("POST", "/", "s", http.Header{}, []byte("a"), &StreamedBody{Size: -1, Timeout: 10 * time.Second, Reader: strings.NewReader("b")})
	c := NewCall(m, time.Now().Add(10*time.Second), nil)
	ended := make(chan Result, 1)
	go func() {
		out, _ := p.exchange(c, newConn(&lastChunkConn{near, c.Cancel}, "127.0.0.1:1"))
		ended <- out
	}()
	select {
	case out := <-ended:
		assert.Equal(t, balancer.OutcomeNotSent, out.Outcome)
	case <-time.After(5 * time.Second):
		t.Fatal("the one waits for the other")
	}
}
