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

// helloTimeout bounds the wait for a successor's first message, and the collection of the state for it.
const helloTimeout = time.Second

// SocketPath returns the path of the socket of a node of that name.
func SocketPath(dir, name string) string { return filepath.Join(dir, "pearknot-"+name+".sock") }

// Predecessor is what a Listener needs of the running process. Its functions are called from any goroutine.
type Predecessor struct {
	Name            string                                    // of the node
	CollectState    func(ctx context.Context) (*State, error) // called when a successor connects
	OnSuccessorGone func()                                    // called when a successor has ended and this process goes on
	HandleCall      CallHandler                               // carries out calls that a successor passes on
	Log             *slog.Logger
}

// Listener waits at a socket for a successor. It has one successor at a time.
type Listener struct {
	predecessor Predecessor
	socket      *net.UnixListener
	goroutines  sync.WaitGroup

	mu        sync.Mutex
	successor *Link // nil if there is none
	closed    bool
}

// Listen starts to wait for a successor at path. A socket that a killed process has left there is replaced.
func Listen(path string, predecessor Predecessor) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	// By the time this process closes its socket, its successor may listen at the same path: its socket must not be removed.
	socket.SetUnlinkOnClose(false)
	l := &Listener{predecessor: predecessor, socket: socket}
	l.goroutines.Add(1)
	go l.run()
	return l, nil
}

// Successor returns the link to the process that takes over, or nil.
func (l *Listener) Successor() *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// Close stops listening and ends the link to the successor, which goes on alone.
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
		if err != nil { // a lack of descriptors, which may end
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
	if err := l.readHello(conn); err != nil {
		return err
	}
	link := newLink(conn, l.predecessor.HandleCall, nil)
	if !l.setSuccessor(link) {
		return conn.send(message{Kind: kindBusy})
	}
	defer l.successorGone()
	if err := l.sendState(conn); err != nil {
		return err
	}
	return link.run()
}

// readHello reads the first message, which must come from a process of the same node and version.
func (l *Listener) readHello(conn *frameConn) error {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := conn.receive()
	if err != nil {
		return err
	}
	if hello.Kind != kindHello || hello.Version != Version || hello.Name != l.predecessor.Name {
		_ = conn.send(message{Kind: kindOther, Version: Version})
		return fmt.Errorf("unexpected %s message of version %d for node %q", hello.Kind, hello.Version, hello.Name)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return nil
}

// setSuccessor makes a link the successor's. It reports false if there is a successor already.
func (l *Listener) setSuccessor(link *Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != nil {
		return false
	}
	l.successor = link
	return true
}

// successorGone removes a successor that has ended. OnSuccessorGone is called unless this process has closed the listener
// itself, since it is ending then.
func (l *Listener) successorGone() {
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
