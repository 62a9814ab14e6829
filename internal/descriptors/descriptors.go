// Package descriptors keeps a node within its limit of file descriptors by counting each socket when it is opened and when
// it is closed.
package descriptors

import "sync"

const (
	// reservedDescriptors is the number of descriptors kept for purposes other than clients and backends: standard streams,
	// the poller, the listener, the connection to the discovery service and the one that replaces it, and those that the
	// runtime opens briefly.
	reservedDescriptors = 24

	// minConnectionLimit is the smallest number of descriptors for clients and backends, so that a node with a very low limit
	// still works.
	minConnectionLimit = 8
)

// Budget shares descriptors between clients and backends. Its methods may be called from any goroutine.
type Budget struct {
	onShortage func()

	mu             sync.Mutex
	limit          int // for clients and backends together
	clients        int
	backends       int
	clientWaiting  bool // a client waits for a descriptor
	backendRefused bool // a backend was refused one since the last ShouldCloseIdleBackends
	closed         bool
}

// New returns the budget of a process that may open limit descriptors. onShortage is called whenever a descriptor is needed
// and none is available; it must not block and must not call the budget.
func New(limit int, onShortage func()) *Budget {
	return &Budget{limit: connectionLimit(limit), onShortage: onShortage}
}

// connectionLimit returns the number of the process's descriptors that clients and backends may use.
func connectionLimit(limit int) int { return max(limit-reservedDescriptors, minConnectionLimit) }

// SetLimit changes the number of descriptors that the process may open. Descriptors in use beyond it are released as their
// connections close.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	b.limit = connectionLimit(limit)
	isExceeded := b.inUse() > b.limit
	b.mu.Unlock()
	if isExceeded {
		b.onShortage()
	}
}

// inUse must be called with the lock held.
func (b *Budget) inUse() int { return b.clients + b.backends }

// maxClients returns the number of descriptors that clients may use. It leaves a quarter to the backends: each client's
// request needs a backend connection, but few need one at the same time. It must be called with the lock held.
func (b *Budget) maxClients() int { return b.limit * 3 / 4 }

// Used returns the number of descriptors that the process may have open, including the reserved ones.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse() + reservedDescriptors
}

// MaxClients returns the number of descriptors that clients may use.
func (b *Budget) MaxClients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxClients()
}

// Clients returns the number of descriptors that clients use.
func (b *Budget) Clients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients
}

// Backends returns the number of descriptors that connections to backends use.
func (b *Budget) Backends() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backends
}

// TryAcquireClient takes a descriptor for a client if one is available. If not, it counts as a waiting client until the next call.
func (b *Budget) TryAcquireClient() (acquired, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.clients >= b.maxClients() || b.inUse() >= b.limit {
		if !b.clientWaiting {
			b.clientWaiting = true
			b.onShortage()
		}
		return false, b.closed
	}
	b.clientWaiting = false
	b.clients++
	return true, false
}

// ReleaseClient releases a client's descriptor.
func (b *Budget) ReleaseClient() { b.release(&b.clients) }

// TryAcquireBackend takes a descriptor for a connection to a backend. It returns false if none is available.
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

// TryAcquirePair takes a descriptor for a client and one for a connection to a backend, if both are available. Nobody waits for them if
// not.
func (b *Budget) TryAcquirePair() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.clients >= b.maxClients() || b.inUse()+2 > b.limit {
		return false
	}
	b.clients++
	b.backends++
	return true
}

// ReleaseBackend releases a backend's descriptor.
func (b *Budget) ReleaseBackend() { b.release(&b.backends) }

func (b *Budget) release(count *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*count--
}

// HasWaitingClient reports whether a client waits for a descriptor.
func (b *Budget) HasWaitingClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clientWaiting
}

// ShouldCloseIdleBackends reports whether idle connections to backends should be closed, because a backend was refused a
// descriptor, the limit was lowered, or a client waits. If clients already use their whole share, closing would not help the
// waiting client, and each request would need a new connection.
func (b *Budget) ShouldCloseIdleBackends() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isExceeded := b.inUse() > b.limit
	wouldHelpClient := b.clientWaiting && b.inUse() == b.limit && b.clients < b.maxClients()
	shouldClose := b.backendRefused || isExceeded || wouldHelpClient
	b.backendRefused = false
	return shouldClose
}

// ShouldCloseClients reports whether clients should be asked to close their connections, because they use more than three
// quarters of their share.
func (b *Budget) ShouldCloseClients() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients > b.maxClients()*3/4
}

// Close ends the waiting for descriptors: from now on TryAcquireClient reports that the budget is closed.
func (b *Budget) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
