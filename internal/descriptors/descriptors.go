// Package descriptors is the owner of a node's descriptors: every socket is counted here, once when it is taken and
// once when it is given back.
package descriptors

import "sync"

// reserve are descriptors that are no client's and no backend's: standard streams, poller, listener, the call for
// the list and the one that follows it, and what the runtime opens for a moment.
const reserve = 24

// Budget shares the descriptors between clients and backends.
type Budget struct {
	mu       sync.Mutex
	room     *sync.Cond
	most     int // for both
	clients  int
	peers    int
	waiting  bool // a client, for a socket
	refused  bool // a backend, a socket, since Spare last told
	closed   bool
	pressure func()
}

// New takes the limit on descriptors; pressure is called where a socket is wanted and none is left, and must not
// block.
func New(limit int, pressure func()) *Budget {
	b := &Budget{most: max(limit-reserve, 8), pressure: pressure}
	b.room = sync.NewCond(&b.mu)
	return b
}

// Limit moves the limit on descriptors; what is over it is given back as it closes.
func (b *Budget) Limit(limit int) {
	b.mu.Lock()
	b.most = max(limit-reserve, 8)
	over := b.clients+b.peers > b.most
	b.mu.Unlock()
	if over {
		b.pressure()
	}
	b.room.Broadcast()
}

// Used is how many descriptors there may be besides those that any limit allows.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients + b.peers + reserve
}

// mostClients leaves a quarter to the backends: each client's op needs one there, but few at the same moment.
func (b *Budget) mostClients() int { return b.most * 3 / 4 }

// Client waits for a client's socket; false tells that the budget was closed. What waits does so in the
// listener's queue and is taken as soon as another client's connection closes.
func (b *Budget) Client() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.clients >= b.mostClients() || b.clients+b.peers >= b.most) {
		b.waiting = true
		b.pressure()
		b.room.Wait()
	}
	b.waiting = false
	if !b.closed {
		b.clients++
	}
	return !b.closed
}

// Waiting tells whether a client waits for a socket.
func (b *Budget) Waiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

// Spare tells whether backends' idle sockets are to be given back. Where clients wait that have all of their share, none of
// these would come to them, and each op would have to connect anew.
func (b *Budget) Spare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.clients + b.peers
	spare := b.refused || all > b.most || b.waiting && all == b.most && b.clients < b.mostClients()
	b.refused = false
	return spare
}

// Peer takes a backend's socket, if one is left.
func (b *Budget) Peer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clients+b.peers >= b.most {
		b.refused = true
		b.pressure()
		return false
	}
	b.peers++
	return true
}

// ClientBack gives a client's socket back.
func (b *Budget) ClientBack() { b.back(&b.clients) }

// PeerBack gives a backend's socket back.
func (b *Budget) PeerBack() { b.back(&b.peers) }

func (b *Budget) back(n *int) {
	b.mu.Lock()
	*n--
	b.mu.Unlock()
	b.room.Signal()
}

// Crowded tells whether clients are to be asked to close their connections.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients > b.mostClients()*3/4
}

// Close ends all waiting for a client's socket.
func (b *Budget) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.room.Broadcast()
}

// ForClients is how many sockets clients may have.
func (b *Budget) ForClients() int { return b.mostClients() }

// Clients is how many sockets clients have.
func (b *Budget) Clients() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients
}
