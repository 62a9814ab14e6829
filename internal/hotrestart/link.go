package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	helloWithin = time.Second
	followFor   = 4500 * time.Millisecond // a new process has six seconds to be ready
	againAfter  = 50 * time.Millisecond
)

// Path is where a node's process offers itself to the next.
func SocketPath(dir, name string) string { return filepath.Join(dir, "pearknot-"+name+".sock") }

// Do carries out a call made at the other process.
type CallHandler func(ctx context.Context, c Call) (text string, err error)

// Link is what a process has of the other while both run.
type Link struct {
	wire  *wire
	do    CallHandler
	using func(descriptors int)

	mu    sync.Mutex
	last  uint64
	calls map[uint64]chan message // that wait for their end
	ready chan struct{}           // the other, a new one, serves
	once  sync.Once
	ended chan struct{}
}

func newLink(w *wire, do CallHandler, using func(int)) *Link {
	return &Link{wire: w, do: do, using: using, calls: map[uint64]chan message{}, ready: make(chan struct{}), ended: make(chan struct{})}
}

// Ended is closed when the other process has gone, or the link to it.
func (l *Link) Done() <-chan struct{} { return l.ended }

// Succeeded is closed once the other, which follows, serves.
func (l *Link) PeerReady() <-chan struct{} { return l.ready }

// Ready tells the other that this process serves.
func (l *Link) SendReady() error { return l.wire.say(message{Kind: "ready"}) }

// Using tells the other how many descriptors this process may still have.
func (l *Link) SendDescriptorLimit(descriptors int) {
	_ = l.wire.say(message{Kind: "using", N: uint64(max(descriptors, 0))}) // a link that broke is told by its end
}

// Close ends the link.
func (l *Link) Close() { _ = l.wire.Close() }

// Call has the other carry a call out as well. Where it ends meanwhile there is no other to carry it out.
func (l *Link) Call(ctx context.Context, c Call) (text string, err error) {
	answer := make(chan message, 1)
	l.mu.Lock()
	l.last++
	n := l.last
	l.calls[n] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, n)
	}()
	if err := l.wire.say(message{Kind: "call", N: n, Call: &c}); err != nil {
		l.Close()
		return "", ErrNoPeer
	}
	select {
	case m := <-answer:
		if m.Fault != "" {
			return "", errors.New(m.Fault)
		}
		return m.Text, nil
	case <-l.ended:
		return "", ErrNoPeer
	case <-ctx.Done():
		return "", fmt.Errorf("the node's other process does not answer: %w", ctx.Err())
	}
}

// ErrAlone is that there is no other process.
var ErrNoPeer = errors.New("no other process")

// run hears the other until it ends.
func (l *Link) run() error {
	defer close(l.ended)
	defer l.Close()
	for {
		m, err := l.wire.hear()
		if err != nil {
			return err
		}
		switch m.Kind {
		case "ready":
			l.once.Do(func() { close(l.ready) })
		case "using":
			if l.using != nil {
				l.using(int(min(m.N, 1<<20)))
			}
		case "done":
			l.mu.Lock()
			answer := l.calls[m.N]
			delete(l.calls, m.N)
			l.mu.Unlock()
			if answer != nil {
				answer <- m
			}
		case "call":
			if m.Call == nil {
				return errors.New("call of nothing")
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), sayWithin)
				defer cancel()
				back := message{Kind: "done", N: m.N}
				text, err := l.do(ctx, *m.Call)
				if back.Text = text; err != nil {
					back.Fault = err.Error()
				}
				_ = l.wire.say(back)
			}()
		}
	}
}

// Follow asks the process that runs, if one does, for its state. Both nil is that there is none: this one starts fresh.
// What can't be understood is an error, and a fresh start as well.
func Connect(ctx context.Context, path, name string, do CallHandler, using func(descriptors int)) (*Link, *State, error) {
	ctx, cancel := context.WithTimeout(ctx, followFor)
	defer cancel()
	for {
		l, s, err := follow(ctx, path, name, do, using)
		if !errors.Is(err, errBusy) {
			if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // nobody, or one that was killed
				err = nil
			}
			return l, s, err
		}
		select { // one that ends has the node still, or another starts as well
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(againAfter):
		}
	}
}

var errBusy = errors.New("the node's process has another that follows it")

func follow(ctx context.Context, path, name string, do CallHandler, using func(int)) (*Link, *State, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, nil, err
	}
	w := &wire{Conn: c}
	until, _ := ctx.Deadline()
	_ = c.SetReadDeadline(until)
	m := message{Kind: "hello", Version: Version, Name: name}
	if err = w.say(m); err == nil {
		m, err = w.hear()
	}
	switch {
	case err != nil:
	case m.Kind == "busy":
		err = errBusy
	case m.Kind != "state" || m.State == nil || m.Version != Version:
		err = fmt.Errorf("the node's process speaks version %d, this one %d", m.Version, Version)
	}
	if err != nil {
		_ = c.Close()
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	l := newLink(w, do, using)
	go func() { _ = l.run() }()
	return l, m.State, nil
}

// Owner is the process that offers itself.
type Owner struct {
	Name            string
	State           func(ctx context.Context) (*State, error) // gives back first, then tells
	OnSuccessorGone func()                                    // the next process has ended, and this one goes on
	HandleCall      CallHandler
	Log             *slog.Logger
}

// Offer stands at the path for the next process.
type Listener struct {
	o        Owner
	listener *net.UnixListener

	mu     sync.Mutex
	next   *Link
	closed bool
	left   sync.WaitGroup
}

// Open offers a process; what a killed one left at the path is replaced.
func Listen(path string, o Owner) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the next process may have its own there by then
	f := &Listener{o: o, listener: l}
	f.left.Add(1)
	go f.run()
	return f, nil
}

// Next is the process that follows, or nil.
func (f *Listener) Successor() *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Close ends the offer, and the link to the next process, which goes on alone.
func (f *Listener) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
	if l := f.Successor(); l != nil {
		l.Close()
	}
	f.left.Wait()
}

func (f *Listener) run() {
	defer f.left.Done()
	for {
		c, err := f.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(againAfter)
			continue
		}
		f.left.Add(1)
		go func() {
			defer f.left.Done()
			defer c.Close()
			if err := f.serve(&wire{Conn: c}); err != nil {
				f.o.Log.Debug("link to the next process ended", "error", err)
			}
		}()
	}
}

// serve is one process's that follows, from its hello to its end.
func (f *Listener) serve(w *wire) error {
	_ = w.SetReadDeadline(time.Now().Add(helloWithin))
	m, err := w.hear()
	switch {
	case err != nil:
		return err
	case m.Kind != "hello" || m.Version != Version || m.Name != f.o.Name:
		_ = w.say(message{Kind: "other", Version: Version})
		return fmt.Errorf("%s of version %d for node %q", m.Kind, m.Version, m.Name)
	}
	_ = w.SetReadDeadline(time.Time{})
	l := newLink(w, f.o.HandleCall, nil)
	f.mu.Lock()
	if f.next != nil {
		f.mu.Unlock()
		return w.say(message{Kind: "busy"})
	}
	f.next = l
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.next = nil
		closed := f.closed
		f.mu.Unlock()
		if !closed {
			f.o.OnSuccessorGone()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), helloWithin)
	s, err := f.o.State(ctx)
	cancel()
	if err == nil {
		err = w.say(message{Kind: "state", Version: Version, State: s})
	}
	if err != nil {
		return err
	}
	return l.run()
}
