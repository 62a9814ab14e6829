package loopback

import (
	"net"
	"sync"
)

// listener is where the nodes of one zone connect to a backend.
type listener struct {
	backend *backend
	zone    int // of the nodes
	wg      sync.WaitGroup

	// isPartitioned is true while the zone and the backend's can't reach each other. It belongs to the goroutine that plays faults;
	// open reads it under the lock.
	isPartitioned bool

	mu        sync.Mutex
	address   string       // of its first opening, and from then on of all
	socket    net.Listener // nil while it is shut
	blackhole *blackhole   // in place of the socket while the machine is gone or the zones are partitioned
	conns     map[*net.TCPConn]connState
}

// connState tells whether packets pass on a connection.
type connState bool

const (
	connPasses connState = false
	connSilent connState = true // nothing arrives any more; it is reset when packets pass again
)

func newListener(b *backend, zone int) *listener {
	return &listener{backend: b, zone: zone, address: b.monitor.ip + ":0", conns: map[*net.TCPConn]connState{}}
}

// reset closes a connection with a RST in place of a FIN.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// open listens, on the address that it had before if it was open, and resets the connections that have fallen silent. It does nothing
// if it is open or partitioned.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil || l.isPartitioned {
		return nil
	}
	l.closeBlackhole()
	for conn, state := range l.conns {
		if state == connSilent {
			reset(conn)
		}
	}
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.socket, l.address = socket, socket.Addr().String()
	l.wg.Add(1)
	go l.acceptConnections(socket)
	return nil
}

func (l *listener) acceptConnections(socket net.Listener) {
	defer l.wg.Done()
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		l.serveIfOpen(socket, conn.(*net.TCPConn))
	}
}

// serveIfOpen serves a connection, unless its socket was shut right after it came up.
func (l *listener) serveIfOpen(socket net.Listener, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != socket {
		reset(conn)
		return
	}
	l.conns[conn] = connPasses
	l.wg.Add(1)
	go l.serve(conn)
}

// shut has new connections refused and resets those that are up. If silent, packets get lost instead: new connections don't come up,
// and nothing arrives on those that are up.
func (l *listener) shut(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil {
		_ = l.socket.Close()
		l.socket = nil
	}
	if !silent {
		l.closeBlackhole()
	}
	for conn := range l.conns {
		if silent {
			l.conns[conn] = connSilent
		} else {
			reset(conn)
		}
	}
	if silent && l.blackhole == nil {
		l.blackhole = openBlackhole(l.address)
	}
}

func (l *listener) closeBlackhole() {
	l.blackhole.close()
	l.blackhole = nil
}

// setPartitioned begins or ends a partition between the nodes' zone and the backend's.
func (l *listener) setPartitioned(partitioned bool) error {
	l.mu.Lock()
	l.isPartitioned = partitioned
	l.mu.Unlock()
	if partitioned {
		l.shut(true)
		return nil
	}
	switch {
	case l.backend.status().isUp:
		return l.open()
	case !l.backend.isSilent():
		l.shut(false)
	}
	return nil
}

// isSilent reports whether nothing arrives on a connection.
func (l *listener) isSilent(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[conn] == connSilent
}

func (l *listener) forget(conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
