package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoPeer indicates that there is no other process, or that it has ended.
var ErrNoPeer = errors.New("no other process")

// maxReportedDescriptors bounds the number of descriptors that a predecessor may report, so that any received value fits in
// an int.
const maxReportedDescriptors = 1 << 20

// CallHandler executes a call that the other process has forwarded. The context ends after sendTimeout. It may be called
// concurrently.
type CallHandler func(ctx context.Context, c Call) (text string, err error)

// Link is the connection between the two processes of a node while both run. Its methods may be called from any goroutine.
type Link struct {
	conn              *frameConn
	handleCall        CallHandler
	onDescriptorLimit func(descriptors int) // nil in the predecessor
	onResponse        ResponseHandler       // nil in the predecessor

	peerTakesResponses bool // the other process is a successor that takes responses over

	opened        chan struct{} // closed when the other process may get calls: a successor, when it has got the state
	peerReady     chan struct{} // closed when the other process, a successor, serves clients
	peerReadyOnce sync.Once
	done          chan struct{}

	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan message // result channels of pending calls, by call number
}

func newLink(conn *frameConn, handleCall CallHandler, onDescriptorLimit func(int)) *Link {
	return &Link{
		conn:              conn,
		handleCall:        handleCall,
		onDescriptorLimit: onDescriptorLimit,
		opened:            make(chan struct{}),
		peerReady:         make(chan struct{}),
		done:              make(chan struct{}),
		pending:           map[uint64]chan message{},
	}
}

// Done returns a channel that is closed when the other process, or the link to it, has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// PeerReady returns a channel that is closed once the other process, a successor, serves clients.
func (l *Link) PeerReady() <-chan struct{} { return l.peerReady }

// SendReady tells the predecessor that this process serves clients.
func (l *Link) SendReady() error { return l.conn.send(message{Kind: kindReady}) }

// SendDescriptorLimit tells the successor the highest number of descriptors that this process will have open from now on. It
// returns no error: Done reports the end of the link.
func (l *Link) SendDescriptorLimit(descriptors int) {
	_ = l.conn.send(message{Kind: kindDescriptorLimit, Number: uint64(max(descriptors, 0))})
}

// PeerPID returns the process ID of the other process; ok is false if the system does not tell.
func (l *Link) PeerPID() (pid int, ok bool) {
	socket, ok := l.conn.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var credentials *unix.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		credentials, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if controlErr != nil || err != nil {
		return 0, false
	}
	return int(credentials.Pid), true
}

// Close closes the link.
func (l *Link) Close() { _ = l.conn.Close() }

// open lets calls be sent.
func (l *Link) open() { close(l.opened) }

// awaitOpen waits until calls may be sent. It returns ErrNoPeer if the link ends before.
func (l *Link) awaitOpen(ctx context.Context) error {
	select {
	case <-l.opened:
		return nil
	case <-l.done:
		return ErrNoPeer
	case <-ctx.Done():
		return fmt.Errorf("the node's other process is not connected yet: %w", ctx.Err())
	}
}

// Call executes a call in the other process and returns its text or error. If the link ends meanwhile, it returns ErrNoPeer.
// Callers need not treat that as a failure: no other process is left in which the call would have to be executed.
func (l *Link) Call(ctx context.Context, c Call) (text string, err error) {
	if err := l.awaitOpen(ctx); err != nil {
		return "", err
	}
	result := make(chan message, 1)
	number := l.addPending(result)
	defer l.removePending(number)
	if err := l.conn.send(message{Kind: kindCall, Number: number, Call: &c}); err != nil {
		l.Close()
		return "", ErrNoPeer
	}
	select {
	case m := <-result:
		if m.Error != "" {
			return "", errors.New(m.Error)
		}
		return m.Text, nil
	case <-l.done:
		return "", ErrNoPeer
	case <-ctx.Done():
		return "", fmt.Errorf("the node's other process does not answer: %w", ctx.Err())
	}
}

// Notify executes a call in the other process without waiting for its result.
func (l *Link) Notify(c Call) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if l.awaitOpen(ctx) != nil {
		return
	}
	if err := l.conn.send(message{Kind: kindCall, Call: &c}); err != nil {
		l.Close()
	}
}

// addPending registers the result channel of a call and returns the call's number.
func (l *Link) addPending(result chan message) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	l.pending[l.lastCall] = result
	return l.lastCall
}

// removePending unregisters a call and returns its result channel, or nil if the call is no longer pending.
func (l *Link) removePending(number uint64) chan message {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.pending[number]
	delete(l.pending, number)
	return result
}

// run receives messages until the link ends, and returns the error that ended it.
func (l *Link) run() error {
	defer l.end()
	for {
		m, err := l.conn.receive()
		files := l.conn.takeFiles()
		if err != nil {
			closeFiles(files)
			return err
		}
		if m.Kind == kindResponse {
			go l.takeResponse(m, files)
			continue
		}
		closeFiles(files)
		switch m.Kind {
		case kindReady:
			l.peerReadyOnce.Do(func() { close(l.peerReady) })
		case kindDescriptorLimit:
			if l.onDescriptorLimit != nil {
				l.onDescriptorLimit(int(min(m.Number, maxReportedDescriptors)))
			}
		case kindResult:
			if result := l.removePending(m.Number); result != nil {
				result <- m
			}
		case kindCall:
			if m.Call == nil {
				return errors.New("call message without a call")
			}
			go l.serveCall(m.Number, *m.Call)
		}
	}
}

// end closes the link for good.
func (l *Link) end() {
	l.Close()
	close(l.done)
}

// serveCall executes a call and sends its result.
func (l *Link) serveCall(number uint64, c Call) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result := message{Kind: kindResult, Number: number}
	text, err := l.handleCall(ctx, c)
	result.Text = text
	if err != nil {
		result.Error = err.Error()
	}
	_ = l.conn.send(result) // if the link has ended, the result is not needed
}
