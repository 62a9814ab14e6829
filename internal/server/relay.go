package server

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/upstream"
	"pearknot/internal/writestall"
)

// While a process hands off to its successor, clients may still read long responses from it, for longer than it may live. It passes such
// a response on, also while the client or the backend pauses: the successor gets both connections, and relays the rest. A
// response over TLS, whose state belongs to the process, and one of unknown length are not passed on.

const (
	// relayInterval is the wait between two attempts to pass a response on, and the longest time until a relay notices a successor. The
	// successor may have no descriptor for the response yet.
	relayInterval = 20 * time.Millisecond

	// connPassTimeout is the longest time for which a process tries to pass a connection on whose response is complete.
	connPassTimeout = time.Second

	// backendStallTimeout is the longest time for which a backend may send nothing of a response that is relayed.
	backendStallTimeout = upstream.StallTimeout
)

// ErrResponseNotTaken indicates that a successor has not taken a response, which this process goes on sending.
var ErrResponseNotTaken = errors.New("response not taken over")

// PassedResponse is the rest of a response whose head has been sent, and whose body has a known length. If nothing is left of it, the
// connection alone is passed on.
type PassedResponse struct {
	Client     *net.TCPConn
	Backend    *net.TCPConn
	Pending    []byte // bytes that the backend has sent and the client has not got
	Remaining  int64  // bytes that the backend has still to send
	KeepsAlive bool   // the client may send another request on its connection afterwards

	ClientBytes []byte // that the client has sent of its next request, and that have been read

	ClientReadTime time.Duration // that the client may take for what its system has got, see package writestall
}

// ResponseSuccessor is the process that replaces this one.
type ResponseSuccessor interface {
	// PassResponse passes a response on. After ErrResponseNotTaken this process still has it; in all other cases, with an error or
	// without, it must only close its copies of the connections.
	PassResponse(response PassedResponse) error
}

// PassResponses makes the server pass responses on to a successor from now on.
func (s *Server) PassResponses(successor ResponseSuccessor) {
	s.responseSuccessor.Store(&successor)
	s.passableResponses.interruptAll()
}

// PassedResponses returns the number of responses that have been passed on.
func (s *Server) PassedResponses() int64 { return s.passedResponses.Load() }

// TakeOverResponse relays the rest of a response that this process's predecessor has passed on, and then serves the client's
// connection. It returns an error if there is no room; the connections then still belong to the caller.
func (s *Server) TakeOverResponse(response PassedResponse) error {
	if s.draining.Load() {
		return errors.New("shutting down")
	}
	if !s.budget.TryAcquirePair() {
		return errors.New("no descriptors")
	}
	if !s.memory.TryAcquireConnection(s.listener.connectionBytes()) {
		s.budget.ReleaseClient()
		s.budget.ReleaseBackend()
		return errors.New("no memory")
	}
	conn := s.listener.newConn(response.Client)
	conn.unread = response.ClientBytes
	s.openRequests.Add(1)
	go s.finishPassedResponse(conn, response)
	return nil
}

func (s *Server) finishPassedResponse(conn *clientConn, response PassedResponse) {
	defer s.openRequests.Add(-1)
	end := s.relay(response)
	_ = response.Backend.Close()
	s.budget.ReleaseBackend()
	switch {
	case end == relayComplete && response.KeepsAlive:
		s.passedConns.add(conn)
	case end == relayComplete:
		closeAfterResponse(conn.tcp)
		_ = conn.Close()
	default:
		_ = conn.Close()
	}
}

// closeAfterResponse ends a connection whose client may still be sending. Closing it at once would reset it, and the client might not
// get the end of the response.
func closeAfterResponse(tcp *net.TCPConn) {
	_ = tcp.CloseWrite()
	_ = tcp.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.Copy(io.Discard, io.LimitReader(tcp, maxTrailingBytes))
}

// relayEnd is how a relay has ended.
type relayEnd uint8

const (
	relayComplete relayEnd = iota // the client has got the whole response
	relayPassed                   // another process goes on, or may do so
	relayFailed                   // the client or the backend has ended the connection, or has stopped
)

// relay copies the rest of a response from the backend's connection to the client's, as a responseStream does, or passes it on.
func (s *Server) relay(response PassedResponse) relayEnd {
	r := &responseRelay{server: s, PassedResponse: response, readingSince: time.Now()}
	_ = response.Client.SetDeadline(time.Time{})
	r.monitor = writestall.Start(writestall.OfConn(response.Client), writeTimeout, func() { r.isStalled.Store(true) })
	defer r.monitor.Stop()
	r.monitor.AddReadTime(response.ClientReadTime)
	size, release := s.memory.AcquireBuffer(streamBufferBytes, minStreamBufferBytes)
	defer release()
	r.buffer = make([]byte, size)
	for len(r.Pending) > 0 || r.Remaining > 0 {
		if r.tryPass() {
			return relayPassed
		}
		if err := r.advance(); err != nil {
			s.log.Debug("relaying a response failed", "error", err)
			return relayFailed
		}
	}
	if r.KeepsAlive && r.passConnection() {
		return relayPassed
	}
	return relayComplete
}

// responseRelay is the state of a relay.
type responseRelay struct {
	PassedResponse
	server       *Server
	buffer       []byte
	monitor      *writestall.Monitor
	isStalled    atomic.Bool // the client has stopped reading
	isWriting    bool        // a part has been written incompletely
	readingSince time.Time   // since when the backend has sent nothing
	nextPass     time.Time
}

// advance writes what is pending, or reads a part. It returns after relayInterval also if neither is possible.
func (r *responseRelay) advance() error {
	if len(r.Pending) > 0 {
		return r.write()
	}
	return r.read()
}

func (r *responseRelay) write() error {
	if !r.isWriting {
		r.isWriting = true
		r.monitor.BeginWrite()
	}
	_ = r.Client.SetWriteDeadline(time.Now().Add(relayInterval))
	n, err := r.Client.Write(r.Pending)
	r.Pending = r.Pending[n:]
	if len(r.Pending) == 0 {
		r.isWriting = false
		r.monitor.EndWrite()
		r.readingSince = time.Now()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.isStalled.Load() {
		return nil
	}
	return err
}

func (r *responseRelay) read() error {
	_ = r.Backend.SetReadDeadline(time.Now().Add(relayInterval))
	n, err := r.Backend.Read(r.buffer[:min(int64(len(r.buffer)), r.Remaining)])
	r.Pending = r.buffer[:n]
	r.Remaining -= int64(n)
	if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) && time.Since(r.readingSince) < backendStallTimeout {
		return nil
	}
	return err
}

// passConnection passes the client's connection on once the client has got the whole response: it may send its next request at any
// time, and this process does not serve the connection any more. It reports whether that has succeeded.
func (r *responseRelay) passConnection() bool {
	for start := time.Now(); r.server.responseSuccessor.Load() != nil && time.Since(start) < connPassTimeout; {
		if r.tryPass() {
			return true
		}
		time.Sleep(relayInterval)
	}
	return false
}

// tryPass passes the response on to the successor, if there is one that takes it. It reports whether this process must not go on.
func (r *responseRelay) tryPass() bool {
	successor := r.server.responseSuccessor.Load()
	if successor == nil || time.Now().Before(r.nextPass) {
		return false
	}
	r.nextPass = time.Now().Add(relayInterval)
	r.ClientReadTime = r.monitor.ReadTime()
	err := (*successor).PassResponse(r.PassedResponse)
	if errors.Is(err, ErrResponseNotTaken) {
		return false
	}
	if err != nil {
		r.server.log.Warn("passing a response on failed, its client's connection is closed", "error", err)
		return true
	}
	r.server.passedResponses.Add(1)
	return true
}

// passedConns is the listener of clients' connections whose responses have been relayed, and that may have further requests. net/http closes it
// when it shuts down, after the listeners of new connections.
type passedConns struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	address   net.Addr
}

func newPassedConns(address net.Addr) *passedConns {
	return &passedConns{conns: make(chan net.Conn), closed: make(chan struct{}), address: address}
}

// add hands the connection to Accept, or closes it if the listener is closed or does not admit it.
func (p *passedConns) add(conn *clientConn) {
	if conn.admitter != nil && !conn.admitter.admit(conn) {
		_ = conn.Close()
		return
	}
	select {
	case p.conns <- conn:
	case <-p.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (p *passedConns) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *passedConns) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *passedConns) Addr() net.Addr { return p.address }
