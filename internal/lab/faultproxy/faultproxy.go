// Package faultproxy stands between two processes: a relay for one directed link, with faults that can be set at any time. What
// is dropped is held, as a network that carries nothing leaves it to TCP to send again: it comes when the fault is over,
// unless one of the ends has hung up by then.
package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what is wrong with a wire; zero is nothing.
type Fault struct {
	Stalled           bool          // nothing goes through
	Direction         Direction     // that Stalled is about; new connections don't come up whichever it is
	RefuseConnections bool          // new connections are closed at once
	Delay             time.Duration // each piece, one way
	Jitter            time.Duration // on top, at most
	DelayedShare      float64       // share of the pieces that are delayed; 0 is all
	BytesPerSecond    int           // bytes a second; 0 is any
	ResetAfterBytes   int           // a connection is reset after so many bytes; 0 is never
}

// Direction is a direction of what goes through.
type Direction int

// Directions that a fault hits.
const (
	BothDirections Direction = iota
	ToTarget
	FromTarget
)

// piece is how much is passed on at a time, and mostHeld how many of them a direction holds before it reads no further: thousands of
// connections through one process have a queue each.
const (
	piece    = 4 << 10
	mostHeld = 512
)

// Proxy is one relay.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed at each change
	conns   map[net.Conn]bool
	closed  bool
	bytes   int64
}

// Open listens on an address of this machine and passes on to a target.
func Open(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	w.wg.Add(1)
	go w.run()
	return w, nil
}

// Address is where to connect in the target's place.
func (w *Proxy) Address() string { return w.listener.Addr().String() }

// SetFault puts a fault in place of the one before.
func (w *Proxy) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
	close(w.changed)
	w.changed = make(chan struct{})
}

// ResetConnections breaks all connections that are up.
func (w *Proxy) ResetConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
}

// BytesForwarded is how much has been passed on.
func (w *Proxy) BytesForwarded() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Close ends the relay.
func (w *Proxy) Close() {
	w.mu.Lock()
	w.closed = true
	for c := range w.conns {
		_ = c.Close()
	}
	w.fault = Fault{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = w.listener.Close()
	w.wg.Wait()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// keep has a connection ended with the relay; false tells that this is so already.
func (w *Proxy) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.conns[c] = true
	}
	return !w.closed
}

func (w *Proxy) run() {
	defer w.wg.Done()
	for {
		from, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		if f, _ := w.now(); f.RefuseConnections || !w.keep(from) {
			reset(from)
			continue
		}
		w.wg.Add(1)
		go w.carry(from)
	}
}

func (w *Proxy) now() (Fault, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault, w.changed
}

// pass waits until nothing is dropped on a way; false tells that the connection ended meanwhile.
func (w *Proxy) pass(way Direction, gone <-chan struct{}) (Fault, bool) {
	for {
		f, changed := w.now()
		if !f.Stalled || way != BothDirections && f.Direction != BothDirections && f.Direction != way {
			return f, true
		}
		select {
		case <-changed:
		case <-gone:
			return f, false
		}
	}
}

func (w *Proxy) carry(from net.Conn) {
	defer w.wg.Done()
	gone := make(chan struct{})
	once := sync.OnceFunc(func() { close(gone) })
	defer once()
	if _, ok := w.pass(BothDirections, gone); !ok {
		return
	}
	to, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil || !w.keep(to) {
		reset(from)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	for way, ends := range map[Direction][2]net.Conn{ToTarget: {from, to}, FromTarget: {to, from}} {
		go func() {
			defer both.Done()
			w.copy(way, ends[1], ends[0], gone)
			once()
			_ = from.Close() // ends are passed on at once, whatever else is held
			_ = to.Close()
		}()
	}
	both.Wait()
	w.mu.Lock()
	delete(w.conns, from)
	delete(w.conns, to)
	w.mu.Unlock()
}

// hold waits; false tells that the connection ended meanwhile.
func hold(d time.Duration, gone <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-gone:
		return false
	}
}

func (w *Proxy) copy(way Direction, to, from net.Conn, gone <-chan struct{}) {
	type part struct {
		data []byte
		at   time.Time
	}
	parts := make(chan part, mostHeld)
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent := 0
		for p := range parts {
			f, ok := w.pass(way, gone)
			if !ok {
				return
			}
			if !hold(time.Until(p.at), gone) {
				return
			}
			for slice := max(f.BytesPerSecond/10, 1); f.BytesPerSecond > 0 && len(p.data) > slice; { // as it would come, not all at its end
				if !hold(time.Duration(slice)*time.Second/time.Duration(f.BytesPerSecond), gone) {
					return
				}
				if f.ResetAfterBytes > 0 && sent+slice >= f.ResetAfterBytes {
					break
				}
				if _, err := to.Write(p.data[:slice]); err != nil {
					return
				}
				p.data = p.data[slice:]
				sent += slice
				w.mu.Lock()
				w.bytes += int64(slice)
				w.mu.Unlock()
			}
			if f.BytesPerSecond > 0 && !hold(time.Duration(len(p.data))*time.Second/time.Duration(f.BytesPerSecond), gone) {
				return
			}
			cut := f.ResetAfterBytes > 0 && sent+len(p.data) >= f.ResetAfterBytes
			if cut {
				p.data = p.data[:max(f.ResetAfterBytes-sent, 0)]
			}
			if _, err := to.Write(p.data); err != nil {
				return
			}
			sent += len(p.data)
			w.mu.Lock()
			w.bytes += int64(len(p.data))
			w.mu.Unlock()
			if cut {
				reset(to)
				reset(from)
				return
			}
		}
	}()
	for {
		b := make([]byte, piece)
		n, err := from.Read(b)
		if n > 0 {
			f, _ := w.now()
			at := time.Now()
			if f.DelayedShare == 0 || rand.Float64() < f.DelayedShare {
				at = at.Add(f.Delay)
				if f.Jitter > 0 {
					at = at.Add(rand.N(f.Jitter))
				}
			}
			select {
			case parts <- part{b[:n], at}:
			case <-done:
				return
			}
		}
		if err != nil {
			close(parts)
			<-done
			return
		}
	}
}
