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
	Drop   bool          // nothing goes through
	Way    Way           // that Drop is about; new connections don't come up whichever it is
	Refuse bool          // new connections are closed at once
	Delay  time.Duration // each piece, one way
	Jitter time.Duration // on top, at most
	Odd    float64       // share of the pieces that are delayed; 0 is all
	Rate   int           // bytes a second; 0 is any
	After  int           // a connection is reset after so many bytes; 0 is never
}

// Way is a direction of what goes through.
type Way int

// Directions that a fault hits.
const (
	BothWays Way = iota
	ToTarget
	FromTarget
)

// piece is how much is passed on at a time, and mostHeld how many of them a direction holds before it reads no further: thousands of
// connections through one process have a queue each.
const (
	piece    = 4 << 10
	mostHeld = 512
)

// Wire is one relay.
type Wire struct {
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
func Open(target string) (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	w.wg.Add(1)
	go w.run()
	return w, nil
}

// Address is where to connect in the target's place.
func (w *Wire) Address() string { return w.listener.Addr().String() }

// Set puts a fault in place of the one before.
func (w *Wire) Set(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
	close(w.changed)
	w.changed = make(chan struct{})
}

// Reset breaks all connections that are up.
func (w *Wire) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
}

// Bytes is how much has been passed on.
func (w *Wire) Bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Close ends the relay.
func (w *Wire) Close() {
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
func (w *Wire) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.conns[c] = true
	}
	return !w.closed
}

func (w *Wire) run() {
	defer w.wg.Done()
	for {
		from, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		if f, _ := w.now(); f.Refuse || !w.keep(from) {
			reset(from)
			continue
		}
		w.wg.Add(1)
		go w.carry(from)
	}
}

func (w *Wire) now() (Fault, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault, w.changed
}

// pass waits until nothing is dropped on a way; false tells that the connection ended meanwhile.
func (w *Wire) pass(way Way, gone <-chan struct{}) (Fault, bool) {
	for {
		f, changed := w.now()
		if !f.Drop || way != BothWays && f.Way != BothWays && f.Way != way {
			return f, true
		}
		select {
		case <-changed:
		case <-gone:
			return f, false
		}
	}
}

func (w *Wire) carry(from net.Conn) {
	defer w.wg.Done()
	gone := make(chan struct{})
	once := sync.OnceFunc(func() { close(gone) })
	defer once()
	if _, ok := w.pass(BothWays, gone); !ok {
		return
	}
	to, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil || !w.keep(to) {
		reset(from)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	for way, ends := range map[Way][2]net.Conn{ToTarget: {from, to}, FromTarget: {to, from}} {
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

func (w *Wire) copy(way Way, to, from net.Conn, gone <-chan struct{}) {
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
			for slice := max(f.Rate/10, 1); f.Rate > 0 && len(p.data) > slice; { // as it would come, not all at its end
				if !hold(time.Duration(slice)*time.Second/time.Duration(f.Rate), gone) {
					return
				}
				if f.After > 0 && sent+slice >= f.After {
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
			if f.Rate > 0 && !hold(time.Duration(len(p.data))*time.Second/time.Duration(f.Rate), gone) {
				return
			}
			cut := f.After > 0 && sent+len(p.data) >= f.After
			if cut {
				p.data = p.data[:max(f.After-sent, 0)]
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
			if f.Odd == 0 || rand.Float64() < f.Odd {
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
