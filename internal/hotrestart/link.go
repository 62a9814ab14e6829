package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// ErrNoPeer means that there is no other process, or that it has ended.
var ErrNoPeer = errors.New("no other process")

// maxDescriptors bounds the number of descriptors that a predecessor may report, so that any value that is received fits an
// int.
const maxDescriptors = 1 << 20

// CallHandler carries out a call that the other process has passed on. The context ends after sendTimeout. It may be called
// from several goroutines at once.
type CallHandler func(ctx context.Context, c Call) (text string, err error)

// Link connects a process to the other one while both run. Its methods may be called from any goroutine.
type Link struct {
	conn              *frameConn
	handleCall        CallHandler
	onDescriptorLimit func(descriptors int) // nil at the predecessor

	peerReady     chan struct{} // closed when the other process, a successor, serves
	peerReadyOnce sync.Once
	done          chan struct{}

	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan message // calls that wait for their results, by number
}

func newLink(conn *frameConn, handleCall CallHandler, onDescriptorLimit func(int)) *Link {
	return &Link{
		conn:              conn,
		handleCall:        handleCall,
		onDescriptorLimit: onDescriptorLimit,
		peerReady:         make(chan struct{}),
		done:              make(chan struct{}),
		pending:           map[uint64]chan message{},
	}
}

// Done is closed when the other process, or the link to it, has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// PeerReady is closed once the other process, a successor, serves clients.
func (l *Link) PeerReady() <-chan struct{} { return l.peerReady }

// SendReady tells the predecessor that this process serves clients.
func (l *Link) SendReady() error { return l.conn.send(message{Kind: kindReady}) }

// SendDescriptorLimit tells the successor how many descriptors this process may still have open. If the link has ended,
// Done says so.
func (l *Link) SendDescriptorLimit(descriptors int) {
	_ = l.conn.send(message{Kind: kindUsing, N: uint64(max(descriptors, 0))})
}

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() }

// Call has the other process carry out a call and returns its text or error. If the link ends meanwhile, it returns
// ErrNoPeer, which callers need not treat as a failure: no other process is left that would have to know of the call.
func (l *Link) Call(ctx context.Context, c Call) (text string, err error) {
	result := make(chan message, 1)
	number := l.addPending(result)
	defer l.removePending(number)
	if err := l.conn.send(message{Kind: kindCall, N: number, Call: &c}); err != nil {
		l.Close()
		return "", ErrNoPeer
	}
	select {
	case m := <-result:
		if m.Fault != "" {
			return "", errors.New(m.Fault)
		}
		return m.Text, nil
	case <-l.done:
		return "", ErrNoPeer
	case <-ctx.Done():
		return "", fmt.Errorf("the node's other process does not answer: %w", ctx.Err())
	}
}

// addPending registers a call and returns its number.
func (l *Link) addPending(result chan message) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	l.pending[l.lastCall] = result
	return l.lastCall
}

// removePending returns the channel of a call that waits for its result, nil if it no longer waits.
func (l *Link) removePending(number uint64) chan message {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.pending[number]
	delete(l.pending, number)
	return result
}

// run receives messages until the link ends, and returns why it ended.
func (l *Link) run() error {
	defer close(l.done)
	defer l.Close()
	for {
		m, err := l.conn.receive()
		if err != nil {
			return err
		}
		switch m.Kind {
		case kindReady:
			l.peerReadyOnce.Do(func() { close(l.peerReady) })
		case kindUsing:
			if l.onDescriptorLimit != nil {
				l.onDescriptorLimit(int(min(m.N, maxDescriptors)))
			}
		case kindDone:
			if result := l.removePending(m.N); result != nil {
				result <- m
			}
		case kindCall:
			if m.Call == nil {
				return errors.New("call message without a call")
			}
			go l.serveCall(m.N, *m.Call)
		}
	}
}

// serveCall carries out a call and sends its result.
func (l *Link) serveCall(number uint64, c Call) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result := message{Kind: kindDone, N: number}
	text, err := l.handleCall(ctx, c)
	result.Text = text
	if err != nil {
		result.Fault = err.Error()
	}
	_ = l.conn.send(result) // if the link has ended, nobody waits for it
}
