// Package descriptors is the owner of a node's descriptors: every socket is counted here, once when it is taken and
// once when it is given back.
package descriptors

import "sync"

// reserve are descriptors that are no client's and no backend's: standard streams, poller, listener, the call for
// the list and the one that follows it, and what the runtime opens for a moment.
const reservedDescriptors = 24

// Budget shares the descriptors between clients and backends.
type Budget struct {
	mu             sync.Mutex
	available      *sync.Cond
	limit          int // for both
	clients        int
	backends       int
	clientWaiting  bool // a client, for a socket
	backendRefused bool // a backend, a socket, since Spare last told
	closed         bool
	onShortage     func()
}

// New takes the limit on descriptors; pressure is called where a socket is wanted and none is left, and must not
// block.
func New(limit int, pressure func()) *Budget {
	b := &Budget{limit: max(limit-reservedDescriptors, 8), onShortage: pressure}
	b.available = sync.NewCond(&b.mu)
	return b
}

// Limit moves the limit on descriptors; what is over it is given back as it closes.
func (b *Budget) SetLimit(limit int) {
	b.mu.Lock()
	b.limit = max(limit-reservedDescriptors, 8)
	over := b.clients+b.backends > b.limit
	b.mu.Unlock()
	if over {
		b.onShortage()
	}
	b.available.Broadcast()
}

// Used is how many descriptors there may be besides those that any limit allows.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients + b.backends + reservedDescriptors
}

// mostClients leaves a quarter to the backends: each client's op needs one there, but few at the same moment.
func (b *Budget) maxClients() int { return b.limit * 3 / 4 }

// Client waits for a client's socket; false tells that the budget was closed. What waits does so in the
// listener's queue and is taken as soon as another client's connection closes.
func (b *Budget) AcquireClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.clients >= b.maxClients() || b.clients+b.backends >= b.limit) {
		b.clientWaiting = true
		b.onShortage()
		b.available.Wait()
	}
	b.clientWaiting = false
	if !b.closed {
		b.clients++
	}
	return !b.closed
}

// Waiting tells whether a client waits for a socket.
func (b *Budget) HasWaitingClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clientWaiting
}

// Spare tells whether backends' idle sockets are to be given back. Where clients wait that have all of their share, none of
// these would come to them, and each op would have to connect anew.
func (b *Budget) ShouldCloseIdleBackends() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.clients + b.backends
	spare := b.backendRefused || all > b.limit || b.clientWaiting && all == b.limit && b.clients < b.maxClients()
	b.backendRefused = false
	return spare
}

// Peer takes a backend's socket, if one is left.
func (b *Budget) TryAcquireBackend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clients+b.backends >= b.limit {
		b.backendRefused = true
		b.onShortage()
		return false
	}
	b.backends++
	return true
}

// ClientBack gives a client's socket back.
func (b *Budget) ReleaseClient() { b.release(&b.clients) }

// PeerBack gives a backend's socket back.
func (b *Budget) ReleaseBackend() { b.release(&b.backends) }

func (b *Budget) release(n *int) {
	b.mu.Lock()
	*n--
	b.mu.Unlock()
	b.available.Signal()
}

// Crowded tells whether clients are to be asked to close their connections.
func (b *Budget) ShouldCloseClients() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients > b.maxClients()*3/4
}

// Close ends all waiting for a client's socket.
func (b *Budget) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.available.Broadcast()
}

// ForClients is how many sockets clients may have.
func (b *Budget) MaxClients() int { return b.maxClients() }

// Clients is how many sockets clients have.
func (b *Budget) Clients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients
}
