package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearknot/balancer"
	"pearknot/internal/node"
)

// An id belongs to one request: clients give each request a new one, also a retry. A request whose id comes again would run as two. The ids of
// requests that must not run twice are therefore remembered, unless they were rejected before any attempt. During a hot restart each
// process of the node claims such an id at the other one before it runs the request, so that either knows it whichever ends first.
const (
	// maxRememberedIDs is the number of ids of ended requests, and of requests of the node's other process, that are
	// remembered. Beyond it the oldest is forgotten.
	maxRememberedIDs = 8192

	// otherProcessTimeout bounds the time to ask the node's other process.
	otherProcessTimeout = 250 * time.Millisecond
)

// OtherProcess shares ids with the node's other process, if there is one.
type OtherProcess interface {
	// ClaimID asks the other process to remember an id. It reports whether that knows it already.
	ClaimID(ctx context.Context, id string) (isKnown bool, err error)

	// ReleaseID tells the other process that the request with the id has not run.
	ReleaseID(id string)
}

// requestIDs are the ids of open requests, and of others that may have run.
type requestIDs struct {
	mu         sync.Mutex
	open       map[string]bool // whether the request must not run twice
	remembered map[uint64]bool // by hash; whether the request was this process's own
	oldest     []uint64        // the remembered hashes in the order in which they were added, as a ring; some may be forgotten
	next       int             // place of the next one in the ring
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]bool{}, remembered: map[uint64]bool{}}
}

// reserve reserves a request's id until release. It reports false if the id is known.
func (ids *requestIDs) reserve(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if ids.isKnown(id) {
		return false
	}
	ids.open[id] = false
	return true
}

// setRunsOnce marks a reserved id as that of a request that must not run twice.
func (ids *requestIDs) setRunsOnce(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.open[id] = true
}

// release ends the reservation of an id. If the request must not run again, its id is remembered.
func (ids *requestIDs) release(id string, mustRemember bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
	if mustRemember {
		ids.remember(xxhash.Sum64String(id), true)
	}
}

// claim remembers an id of the node's other process. It reports whether it is that of a request of this process. The other process may have
// told of the id already, with the state that it handed over.
func (ids *requestIDs) claim(id string) (isKnown bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	hash := xxhash.Sum64String(id)
	if _, isOpen := ids.open[id]; isOpen || ids.remembered[hash] {
		return true
	}
	ids.remember(hash, false)
	return false
}

// forget forgets a remembered id of the node's other process.
func (ids *requestIDs) forget(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	hash := xxhash.Sum64String(id)
	if isOwn := ids.remembered[hash]; !isOwn {
		delete(ids.remembered, hash)
	}
}

// isKnown must be called with the lock held.
func (ids *requestIDs) isKnown(id string) bool {
	if _, isOpen := ids.open[id]; isOpen {
		return true
	}
	_, isRemembered := ids.remembered[xxhash.Sum64String(id)]
	return isRemembered
}

// remember must be called with the lock held.
func (ids *requestIDs) remember(hash uint64, isOwn bool) {
	wasOwn, isRemembered := ids.remembered[hash]
	ids.remembered[hash] = isOwn || wasOwn
	if isRemembered {
		return
	}
	if len(ids.oldest) < maxRememberedIDs {
		ids.oldest = append(ids.oldest, hash)
		return
	}
	delete(ids.remembered, ids.oldest[ids.next])
	ids.oldest[ids.next] = hash
	ids.next = (ids.next + 1) % maxRememberedIDs
}

// hashes returns the hashes of the remembered ids, the oldest first, and of the open requests that must not run twice.
func (ids *requestIDs) hashes() (hashes []uint64) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for k := range ids.oldest {
		hash := ids.oldest[(ids.next+k)%len(ids.oldest)]
		if _, isRemembered := ids.remembered[hash]; isRemembered {
			hashes = append(hashes, hash)
		}
	}
	for id, runsOnce := range ids.open {
		if runsOnce {
			hashes = append(hashes, xxhash.Sum64String(id))
		}
	}
	return hashes
}

// ShareIDs sets the node's other process. It is called before Serve.
func (s *Server) ShareIDs(other OtherProcess) { s.otherProcess = other }

// ClaimID remembers an id of the node's other process. It reports whether this process has, or had, a request with it.
func (s *Server) ClaimID(id string) (isKnown bool) { return s.ids.claim(id) }

// ReleaseID forgets an id of the node's other process, whose request has not run.
func (s *Server) ReleaseID(id string) { s.ids.forget(id) }

// IDHashes returns the hashes of the ids that a successor process has to know.
func (s *Server) IDHashes() []uint64 { return s.ids.hashes() }

// RememberIDHashes remembers the ids of the predecessor process.
func (s *Server) RememberIDHashes(hashes []uint64) {
	s.ids.mu.Lock()
	defer s.ids.mu.Unlock()
	for _, hash := range hashes {
		s.ids.remember(hash, false)
	}
}

// errKnownID means that the id belongs to another request. The text is part of the protocol; an op is a request.
var errKnownID = &requestError{409, "the id of an open op"}

// errNotClaimed means that the node's other process did not answer. The client gets the answer of a rejected request.
var errNotClaimed = &requestError{503, "the node's other process does not answer"}

// idClaim is a request's hold on its id.
type idClaim struct {
	server     *Server
	id         string
	runsOnce   bool
	mayHaveRun bool // an attempt may have run, or may still run
}

// claimID reserves the id of a request until its claim is released. It returns why the request is refused, or nil.
func (s *Server) claimID(ctx context.Context, id string, request *node.Request) (*idClaim, *requestError) {
	if !s.ids.reserve(id) {
		return nil, errKnownID
	}
	claim := &idClaim{server: s, id: id}
	if refusal := claim.share(ctx, request); refusal != nil {
		claim.release()
		return nil, refusal
	}
	return claim, nil
}

// share claims the id at the node's other process, if the request must not run twice. It returns why the request is refused, or nil. If the
// other process does not answer, the request is rejected, which is harmless.
func (c *idClaim) share(ctx context.Context, request *node.Request) *requestError {
	if !c.server.runsOnce(request) {
		return nil
	}
	c.runsOnce = true
	c.server.ids.setRunsOnce(c.id)
	if c.server.otherProcess == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, otherProcessTimeout)
	defer cancel()
	isKnown, err := c.server.otherProcess.ClaimID(ctx, c.id)
	switch {
	case isKnown:
		c.runsOnce = false // the other process keeps the id
		return errKnownID
	case errors.Is(err, context.DeadlineExceeded):
		return errNotClaimed
	}
	return nil
}

// release gives the id up.
func (c *idClaim) release() {
	c.server.ids.release(c.id, c.runsOnce && c.mayHaveRun)
	if c.runsOnce && !c.mayHaveRun && c.server.otherProcess != nil {
		c.server.otherProcess.ReleaseID(c.id)
	}
}

// runsOnce reports whether the request must not run twice and nothing but its id tells a repetition.
func (s *Server) runsOnce(request *node.Request) bool {
	class := &request.Config.Classes[request.Class] // no copy: the balancer updates the class's estimates
	return class.Idempotency != balancer.Idempotent && request.Logged == nil
}
