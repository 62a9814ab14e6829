// Package mailbox is how actors are told things: putting never blocks, so that no two of them can wait for
// each other. What lies in a box is bounded by what its senders hold: ops on open connections, their pushes,
// one call for the list.
package mailbox

import (
	"slices"
	"sync"
)

// Box holds what was put and not yet taken, in order.
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	some  chan struct{}
}

func New[T any]() *Box[T] { return &Box[T]{some: make(chan struct{}, 1)} }

func (b *Box[T]) Put(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	b.tell()
}

// PutFirst puts in front of what lies there: for what an operator asks, who waits for the answer.
func (b *Box[T]) PutFirst(item T) {
	b.mu.Lock()
	b.items = slices.Insert(b.items, 0, item)
	b.mu.Unlock()
	b.tell()
}

func (b *Box[T]) tell() {
	select {
	case b.some <- struct{}{}:
	default:
	}
}

// Some is readable when there may be something to take.
func (b *Box[T]) Some() <-chan struct{} { return b.some }

// Take empties the box; spare, used up before, becomes its next store.
func (b *Box[T]) Take(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}

// Len is how much lies there.
func (b *Box[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items)
}
