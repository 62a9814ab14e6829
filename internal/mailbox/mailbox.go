// Package mailbox implements the message queue of an actor: a goroutine that has exclusive access to its fields and
// receives all other information as messages.
//
// Putting a message never blocks, so no two actors can wait for each other. A mailbox has no capacity limit: its length is
// bounded by what its senders have in flight, such as requests on open connections, their attempts and one poll of the
// endpoint list.
package mailbox

import (
	"slices"
	"sync"
)

// Box is an unbounded queue of the messages that were put and not yet taken. It is safe for concurrent use.
type Box[T any] struct {
	mu       sync.Mutex
	messages []T
	ready    chan struct{} // holds one token while there may be messages
}

// New returns an empty mailbox.
func New[T any]() *Box[T] { return &Box[T]{ready: make(chan struct{}, 1)} }

// Put adds a message at the end of the queue.
func (b *Box[T]) Put(message T) {
	b.mu.Lock()
	b.messages = append(b.messages, message)
	b.mu.Unlock()
	b.signal()
}

// PutFirst adds a message at the front of the queue. It is meant for calls of operators, who wait for the answer.
func (b *Box[T]) PutFirst(message T) {
	b.mu.Lock()
	b.messages = slices.Insert(b.messages, 0, message)
	b.mu.Unlock()
	b.signal()
}

func (b *Box[T]) signal() {
	select {
	case b.ready <- struct{}{}:
	default: // signalled already
	}
}

// Ready returns a channel that can be received from when there may be messages. The receiver must then call TakeAll, as
// one signal may stand for many messages.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// TakeAll empties the mailbox and returns its messages. The slice spare, whose messages have been processed, is cleared and
// becomes the mailbox's next buffer.
func (b *Box[T]) TakeAll(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.messages
	b.messages = spare[:0]
	return messages
}

// Len returns the number of messages.
func (b *Box[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.messages)
}
