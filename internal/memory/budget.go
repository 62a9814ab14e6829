// Package memory keeps a node within its memory limit. A Plan divides the limit between the Go runtime and what the runtime does
// not count, and a Budget bounds what clients can make the node hold: each holder reserves bytes before it allocates them, and
// returns them when it no longer needs them.
package memory

import (
	"math"
	"sync"
	"time"
)

const (
	// waitTimeout is how long Wait waits for bytes at most.
	waitTimeout = 250 * time.Millisecond

	// waitInterval is the time between two attempts of Wait.
	waitInterval = 5 * time.Millisecond
)

// Budget counts the bytes that are reserved for clients, in two parts: what each connection takes in any case, and the buffers that
// some requests need in addition. Large requests thereby never take the place of small ones. Its methods may be called from any
// goroutine. A nil Budget has no limit.
type Budget struct {
	onShortage func()

	mu                sync.Mutex
	limits            Limits
	used              Limits
	connectionWaiting bool // a connection waits for its bytes
	backends          int  // that the process knows
}

// Limits are numbers of bytes in the two parts of a Budget.
type Limits struct {
	Connections int64
	Buffers     int64
}

// NewBudget returns a budget without a limit. onShortage is called whenever a connection has to wait; it must not block and must
// not call the budget.
func NewBudget(onShortage func()) *Budget {
	return &Budget{onShortage: onShortage, limits: Limits{Connections: math.MaxInt64, Buffers: math.MaxInt64}}
}

// SetLimits changes the limits. What is reserved beyond them is not taken back, but onShortage is called.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	b.limits = limits
	isExceeded := b.used.Connections > limits.Connections || b.used.Buffers > limits.Buffers
	b.mu.Unlock()
	if isExceeded {
		b.onShortage()
	}
}

// TryAcquireConnection reserves a connection's bytes if they are available. If not, a connection counts as waiting until the next call.
// The first connection gets its bytes whatever the limit is, so that a node with too little memory still serves.
func (b *Budget) TryAcquireConnection(bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoomForConnection(bytes) {
		if !b.connectionWaiting {
			b.connectionWaiting = true
			b.onShortage()
		}
		return false
	}
	b.connectionWaiting = false
	b.used.Connections += bytes
	return true
}

func (b *Budget) hasRoomForConnection(bytes int64) bool {
	return b.used.Connections == 0 || b.used.Connections+bytes <= b.limits.Connections
}

// ReleaseConnection returns a connection's bytes.
func (b *Budget) ReleaseConnection(bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used.Connections -= bytes
}

// TryAcquire reserves the bytes of a buffer if they are available.
func (b *Budget) TryAcquire(bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used.Buffers+bytes > b.limits.Buffers {
		return false
	}
	b.used.Buffers += bytes
	return true
}

// AcquireBuffer reserves the bytes of a buffer of the wanted size, or if these are not available returns the smaller size min,
// for which nothing is reserved. release must be called when the buffer is no longer used.
func (b *Budget) AcquireBuffer(wanted, min int) (size int, release func()) {
	if b.TryAcquire(int64(wanted)) {
		return wanted, func() { b.Release(int64(wanted)) }
	}
	return min, func() {}
}

// Wait reserves the bytes of a buffer as soon as they are available. It calls makeRoom before each attempt but the first, and returns false if
// there was no room in a short time.
func (b *Budget) Wait(bytes int64, makeRoom func()) bool {
	if b.TryAcquire(bytes) {
		return true
	}
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); {
		makeRoom()
		time.Sleep(waitInterval)
		if b.TryAcquire(bytes) {
			return true
		}
	}
	return false
}

// Release returns the bytes of a buffer.
func (b *Budget) Release(bytes int64) {
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used.Buffers -= bytes
}

// AddBackends counts backends that the process has learned of, or forgotten if count is negative. Their memory is no client's: a Plan allows
// for it.
func (b *Budget) AddBackends(count int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends += count
}

// Backends returns the number of backends that the process knows.
func (b *Budget) Backends() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backends
}

// HasWaitingConnection reports whether a connection waits for its bytes.
func (b *Budget) HasWaitingConnection() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connectionWaiting
}

// ShouldCloseConnections reports whether clients should be asked to close their connections, because these use more than three
// quarters of what connections may use.
func (b *Budget) ShouldCloseConnections() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used.Connections > b.limits.Connections/4*3
}

// Excess returns the bytes that are reserved beyond the limits, after these were lowered.
func (b *Budget) Excess() Limits {
	if b == nil {
		return Limits{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Limits{
		Connections: max(b.used.Connections-b.limits.Connections, 0),
		Buffers:     max(b.used.Buffers-b.limits.Buffers, 0),
	}
}

// Usage returns the bytes that are reserved, and the limits.
func (b *Budget) Usage() (used, limits Limits) {
	if b == nil {
		return Limits{}, Limits{Connections: math.MaxInt64, Buffers: math.MaxInt64}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limits
}
