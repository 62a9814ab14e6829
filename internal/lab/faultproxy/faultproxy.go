// Package faultproxy is a TCP proxy for one directed link between two processes, with faults that can be changed at any time. What
// is sent while a link is stalled is queued in the proxy and arrives when the fault is over, as TCP sends again what a network has
// dropped; if one of the ends hangs up before, it is lost.
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Fault is what is wrong with a link. The zero value is a link without a fault.
type Fault struct {
	Stalled           bool          // nothing is forwarded, and no new connection comes up
	Direction         Direction     // in which nothing is forwarded while Stalled; new connections don't come up for any value
	RefuseConnections bool          // new connections are reset at once
	Delay             time.Duration // of each chunk, in each direction
	Jitter            time.Duration // at most, on top of the delay
	DelayedShare      float64       // share of the chunks that are delayed, picked at random; 0 is all
	BytesPerSecond    int           // in each direction of a connection; 0 is no limit
	ResetAfterBytes   int           // a connection is reset after so many bytes in one direction; 0 is never
}

// stalls reports whether nothing may be forwarded in a direction.
func (f *Fault) stalls(direction Direction) bool {
	return f.Stalled && (direction == BothDirections || f.Direction == BothDirections || f.Direction == direction)
}

// Direction is a direction in which a proxy forwards.
type Direction int

// The directions.
const (
	BothDirections Direction = iota
	ToTarget
	FromTarget
)

// dialTimeout is how long the target may take to accept a connection.
const dialTimeout = time.Second

// Proxy is the proxy of one link. Its methods may be called concurrently.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu             sync.Mutex
	fault          Fault
	faultChanged   chan struct{}     // closed at the next change of the fault
	connections    map[net.Conn]bool // both ends of each connection that is up
	closed         bool
	bytesForwarded int64
}

// Open starts a proxy that listens on 127.0.0.1 and forwards to a target. It must be closed.
func Open(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, faultChanged: make(chan struct{}), connections: map[net.Conn]bool{}}
	p.wg.Add(1)
	go p.acceptConnections()
	return p, nil
}

// Address returns the address to connect to in place of the target's.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the link's fault, also for connections that are up.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setFault(fault)
}

// setFault is SetFault for callers that hold the lock.
func (p *Proxy) setFault(fault Fault) {
	p.fault = fault
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// currentFault returns the fault, and a channel that is closed when it changes.
func (p *Proxy) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

// ResetConnections resets all connections that are up. New ones may come up at once.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// BytesForwarded returns how many bytes the proxy has forwarded, in both directions together.
func (p *Proxy) BytesForwarded() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytesForwarded
}

// Close ends the proxy and all its connections, and waits until its goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for conn := range p.connections {
		_ = conn.Close()
	}
	p.setFault(Fault{}) // wakes the connections that wait for the end of a stall
	p.mu.Unlock()
	_ = p.listener.Close()
	p.wg.Wait()
}

// reset closes a connection with a RST in place of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// register has an end of a connection closed together with the proxy. It reports whether the proxy is still open.
func (p *Proxy) register(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.connections[conn] = true
	}
	return !p.closed
}

func (p *Proxy) unregister(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, conn)
}

func (p *Proxy) acceptConnections() {
	defer p.wg.Done()
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if fault, _ := p.currentFault(); fault.RefuseConnections || !p.register(conn) {
			reset(conn)
			continue
		}
		p.wg.Add(1)
		go p.serveConnection(conn)
	}
}

// serveConnection connects to the target, once no fault stalls the link, and forwards until either end hangs up.
func (p *Proxy) serveConnection(client net.Conn) {
	defer p.wg.Done()
	defer p.unregister(client)
	c := &connection{proxy: p, ended: make(chan struct{})}
	if _, ok := c.waitUntilPassable(BothDirections); !ok {
		return
	}
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	if !p.register(target) {
		reset(target)
		reset(client)
		return
	}
	defer p.unregister(target)
	c.forwardBetween(client, target)
}

func (p *Proxy) countForwarded(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesForwarded += int64(bytes)
}
