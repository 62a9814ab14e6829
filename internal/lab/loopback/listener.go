package loopback

import (
	"net"
	"sync"
)

// listener accepts the connections of one zone's nodes to a backend.
type listener struct {
	backend *backend
	zone    int // of the nodes
	wg      sync.WaitGroup

	// isPartitioned is true while the nodes' zone and the backend's can't reach each other. Only the goroutine of runFaultSchedule
	// writes it, under the lock; open reads it under the lock.
	isPartitioned bool

	mu        sync.Mutex
	address   string       // assigned when first opened, and reused after that
	socket    net.Listener // nil while the listener is shut down
	blackhole *blackhole   // replaces the socket while the machine is off the network or the zones are partitioned
	conns     map[*net.TCPConn]connState
}

// connState tells whether a connection delivers packets.
type connState bool

const (
	connDelivering connState = false
	connSilent     connState = true // packets are dropped; the connection is reset when packets are delivered again
)

func newListener(b *backend, zone int) *listener {
	return &listener{backend: b, zone: zone, address: b.monitor.ip + ":0", conns: map[*net.TCPConn]connState{}}
}

// reset closes a connection with a RST in place of a FIN.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// open listens, on the same address as before if it was open already, and resets the silent connections. It does nothing if the
// listener is open or partitioned.
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

// serveIfOpen serves a connection, unless the listener was shut down right after it was accepted.
func (l *listener) serveIfOpen(socket net.Listener, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != socket {
		reset(conn)
		return
	}
	l.conns[conn] = connDelivering
	l.wg.Add(1)
	go l.serve(conn)
}

// shutDown closes the socket, so that new connections are refused, and resets the existing ones. If silent, packets are dropped instead:
// new connections time out, and existing ones deliver nothing.
func (l *listener) shutDown(silent bool) {
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
		l.shutDown(true)
		return nil
	}
	switch {
	case l.backend.status().isUp:
		return l.open()
	case !l.backend.isSilent():
		l.shutDown(false)
	}
	return nil
}

// isSilent reports whether packets on a connection are dropped.
func (l *listener) isSilent(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[conn] == connSilent
}

func (l *listener) removeConnection(conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
