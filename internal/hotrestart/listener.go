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
	"time"
)

// helloTimeout bounds the wait for a successor's hello, and separately the time to collect the state for it.
const helloTimeout = time.Second

// SocketPath returns the path of the socket for the node of a given name.
func SocketPath(dir, name string) string { return filepath.Join(dir, "pearknot-"+name+".sock") }

// Predecessor holds the name, callbacks and logger of the running process for a Listener. The functions are called from any
// goroutine.
type Predecessor struct {
	Name            string                                    // of the node
	CollectState    func(ctx context.Context) (*State, error) // called when a successor connects
	OnSuccessorGone func()                                    // called when a successor has ended and this process continues
	HandleCall      CallHandler                               // executes calls that a successor forwards
	Log             *slog.Logger
}

// Listener accepts successors at a socket, one at a time.
type Listener struct {
	predecessor Predecessor
	socket      *net.UnixListener
	goroutines  sync.WaitGroup

	mu        sync.Mutex
	successor *Link // nil if there is none
	closed    bool
}

// Listen listens for successors at path. A socket that was left there by a killed process is replaced.
func Listen(path string, predecessor Predecessor) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	// By the time this process closes its socket, its successor may listen at the same path, and the successor's socket must
	// not be removed.
	socket.SetUnlinkOnClose(false)
	l := &Listener{predecessor: predecessor, socket: socket}
	l.goroutines.Add(1)
	go l.run()
	return l, nil
}

// Successor returns the link to the successor, or nil.
func (l *Listener) Successor() *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// Close stops listening and closes the link to the successor, which continues alone.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.socket.Close()
	if link := l.Successor(); link != nil {
		link.Close()
	}
	l.goroutines.Wait()
}

func (l *Listener) run() {
	defer l.goroutines.Done()
	for {
		conn, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example a lack of descriptors, which may be temporary
			time.Sleep(retryInterval)
			continue
		}
		l.goroutines.Add(1)
		go func() {
			defer l.goroutines.Done()
			defer conn.Close()
			if err := l.serve(&frameConn{Conn: conn}); err != nil {
				l.predecessor.Log.Debug("hot restart link ended", "error", err)
			}
		}()
	}
}

// serve handles one connection, from the hello to its end.
func (l *Listener) serve(conn *frameConn) error {
	hello, err := l.readHello(conn)
	if err != nil {
		return err
	}
	link := newLink(conn, l.predecessor.HandleCall, nil)
	link.peerTakesResponses = hello.TakesResponses
	if !l.setSuccessor(link) {
		return conn.send(message{Kind: kindBusy})
	}
	defer l.removeSuccessor()
	if err := l.sendState(conn); err != nil {
		link.end()
		return err
	}
	link.open()
	return link.run()
}

// readHello reads the first message, which must come from a process of the same node and version.
func (l *Listener) readHello(conn *frameConn) (message, error) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := conn.receive()
	if err != nil {
		return hello, err
	}
	if hello.Kind != kindHello || hello.Version != Version || hello.Name != l.predecessor.Name {
		_ = conn.send(message{Kind: kindMismatch, Version: Version})
		return hello, fmt.Errorf("unexpected %s message of version %d for node %q", hello.Kind, hello.Version, hello.Name)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return hello, nil
}

// setSuccessor registers a successor's link. It returns false if there already is a successor.
func (l *Listener) setSuccessor(link *Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != nil {
		return false
	}
	l.successor = link
	return true
}

// removeSuccessor unregisters a successor that has ended. It calls OnSuccessorGone unless this process has closed the
// listener itself, because then this process is shutting down.
func (l *Listener) removeSuccessor() {
	l.mu.Lock()
	l.successor = nil
	closed := l.closed
	l.mu.Unlock()
	if !closed {
		l.predecessor.OnSuccessorGone()
	}
}

func (l *Listener) sendState(conn *frameConn) error {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	state, err := l.predecessor.CollectState(ctx)
	cancel()
	if err != nil {
		return fmt.Errorf("collect state: %w", err)
	}
	return conn.send(message{Kind: kindState, Version: Version, State: state})
}
