// Package descriptors keeps a node within its limit of file descriptors: each socket is counted here when it is opened and
// when it is closed.
package descriptors

import "sync"

const (
	// reservedDescriptors are neither clients' nor backends': standard streams, the poller, the listener, the connection to
	// the discovery service and the one that replaces it, and what the runtime opens for a moment.
	reservedDescriptors = 24

	// minLimit is the least number of descriptors for clients and backends, so that a node with a tiny limit still works.
	minLimit = 8
)

// Budget shares descriptors between clients and backends. Its methods may be called from any goroutine.
type Budget struct {
	onShortage func()

	mu             sync.Mutex
	available      *sync.Cond // signalled when a descriptor is given back
	limit          int        // for clients and backends together
	clients        int
	backends       int
	clientWaiting  bool // a client waits for a descriptor
	backendRefused bool // a backend was refused one since the last ShouldCloseIdleBackends
	closed         bool
}

// New returns the budget of a process that may have limit descriptors. onShortage is called whenever a descriptor is wanted
// and none is left; it must not block and must not call the budget.
func New(limit int, onShortage func()) *Budget {
	b := &Budget{limit: forSockets(limit), onShortage: onShortage}
	b.available = sync.NewCond(&b.mu)
	return b
}

// forSockets returns how many of the process's descriptors are for clients and backends.
func forSockets(limit int) int { return max(limit-reservedDescriptors, minLimit) }

// SetLimit changes the number of descriptors that the process may have. Descriptors beyond it are given back as their
// connections close.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	b.limit = forSockets(limit)
	isExceeded := b.inUse() > b.limit
	b.mu.Unlock()
	if isExceeded {
		b.onShortage()
	}
	b.available.Broadcast()
}

// inUse must be called with the lock held.
func (b *Budget) inUse() int { return b.clients + b.backends }

// maxClients leaves a quarter to the backends: each client's request needs a connection there, but few do at the same
// moment. It must be called with the lock held.
func (b *Budget) maxClients() int { return b.limit * 3 / 4 }

// Used returns how many descriptors the process may have open, with the reserved ones.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse() + reservedDescriptors
}

// MaxClients returns how many descriptors clients may have.
func (b *Budget) MaxClients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxClients()
}

// Clients returns how many descriptors clients have.
func (b *Budget) Clients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients
}

// AcquireClient waits for a client's descriptor. It returns false if the budget was closed. Meanwhile the client waits in
// the listener's queue, and is accepted as soon as another client's connection closes.
func (b *Budget) AcquireClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.clients >= b.maxClients() || b.inUse() >= b.limit) {
		b.clientWaiting = true
		b.onShortage()
		b.available.Wait()
	}
	b.clientWaiting = false
	if b.closed {
		return false
	}
	b.clients++
	return true
}

// ReleaseClient gives a client's descriptor back.
func (b *Budget) ReleaseClient() { b.release(&b.clients) }

// TryAcquireBackend takes a descriptor for a connection to a backend. It returns false if none is left.
func (b *Budget) TryAcquireBackend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inUse() >= b.limit {
		b.backendRefused = true
		b.onShortage()
		return false
	}
	b.backends++
	return true
}

// ReleaseBackend gives a backend's descriptor back.
func (b *Budget) ReleaseBackend() { b.release(&b.backends) }

func (b *Budget) release(count *int) {
	b.mu.Lock()
	*count--
	b.mu.Unlock()
	b.available.Signal()
}

// HasWaitingClient reports whether a client waits for a descriptor.
func (b *Budget) HasWaitingClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clientWaiting
}

// ShouldCloseIdleBackends reports whether idle connections to backends are to be closed, for a backend that was refused a
// descriptor, for a lower limit, or for a waiting client. If clients have all of their share, closing would not help the one
// that waits, and each request would have to connect anew.
func (b *Budget) ShouldCloseIdleBackends() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isExceeded := b.inUse() > b.limit
	wouldHelpClient := b.clientWaiting && b.inUse() == b.limit && b.clients < b.maxClients()
	shouldClose := b.backendRefused || isExceeded || wouldHelpClient
	b.backendRefused = false
	return shouldClose
}

// ShouldCloseClients reports whether clients are to be asked to close their connections: they have more than three
// quarters of their share.
func (b *Budget) ShouldCloseClients() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients > b.maxClients()*3/4
}

// Close ends all waiting for a client's descriptor.
func (b *Budget) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.available.Broadcast()
}
