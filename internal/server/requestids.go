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

// An id belongs to one request: clients give each request a new one, also a retry. Two open requests with one id would run as
// two, and so would a request whose id comes again after its client has left, or after it was answered as failed, while its attempt
// may still run. The ids of such at-most-once requests are therefore remembered until their time to live is over, and during a
// hot restart the node's other process is asked for the ids that it knows.
const (
	// maxUncertainIDs is the number of ids that are remembered. Beyond it the oldest is forgotten.
	maxUncertainIDs = 8192

	// otherProcessTimeout bounds the time to ask the node's other process.
	otherProcessTimeout = 250 * time.Millisecond
)

// IDLookup asks the node's other process whether it knows an id. It reports false if there is no other process.
type IDLookup func(ctx context.Context, id string) (isKnown bool, err error)

// requestIDs are the ids of open requests, and of ended ones that may still run.
type requestIDs struct {
	mu        sync.Mutex
	open      map[string]struct{}
	uncertain map[uint64]time.Time // by hash, with the time until which it is remembered
	oldest    []uint64             // the hashes in the order in which they were added, as a ring
	next      int                  // place of the next one in the ring
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]struct{}{}, uncertain: map[uint64]time.Time{}}
}

// reserve reserves a request's id until release. It reports false if the id is known.
func (ids *requestIDs) reserve(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if ids.isKnown(id) {
		return false
	}
	ids.open[id] = struct{}{}
	return true
}

func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
}

// contains reports whether the id is that of an open request, or of an ended one that may still run.
func (ids *requestIDs) contains(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return ids.isKnown(id)
}

// isKnown must be called with the lock held.
func (ids *requestIDs) isKnown(id string) bool {
	if _, isOpen := ids.open[id]; isOpen {
		return true
	}
	until, isUncertain := ids.uncertain[xxhash.Sum64String(id)]
	return isUncertain && time.Now().Before(until)
}

// remember remembers the id of a request that may still run.
func (ids *requestIDs) remember(id string, until time.Time) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	hash := xxhash.Sum64String(id)
	ids.uncertain[hash] = until
	if len(ids.oldest) < maxUncertainIDs {
		ids.oldest = append(ids.oldest, hash)
		return
	}
	delete(ids.uncertain, ids.oldest[ids.next])
	ids.oldest[ids.next] = hash
	ids.next = (ids.next + 1) % maxUncertainIDs
}

// LookUpIDs sets how the node's other process is asked for an id. It is called before Serve.
func (s *Server) LookUpIDs(lookup IDLookup) { s.lookUpID = lookup }

// KnowsID reports whether this process has, or had, a request with the id that may still run.
func (s *Server) KnowsID(id string) bool { return s.ids.contains(id) }

// errKnownID means that the id belongs to another request. The text is part of the protocol; an op is a request.
var errKnownID = &requestError{409, "the id of an open op"}

// claimID reserves the id of a request. It returns why the request is refused, or nil. An at-most-once request whose id can't be looked
// up at the node's other process is rejected, which is harmless.
func (s *Server) claimID(ctx context.Context, id string, request *node.Request) *requestError {
	if !s.ids.reserve(id) {
		return errKnownID
	}
	if s.lookUpID == nil || !s.isAtMostOnce(request) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, otherProcessTimeout)
	defer cancel()
	isKnown, err := s.lookUpID(ctx, id)
	switch {
	case isKnown:
		s.ids.release(id)
		return errKnownID
	case errors.Is(err, context.DeadlineExceeded):
		s.ids.release(id)
		return errNotLookedUp
	}
	return nil
}

// errNotLookedUp means that the node's other process did not answer. The client gets the answer of a rejected request.
var errNotLookedUp = &requestError{503, "the node's other process does not answer"}

// isAtMostOnce reports whether the request must not run twice and nothing but its id tells a repetition.
func (s *Server) isAtMostOnce(request *node.Request) bool {
	class := request.Config.Classes[request.Class]
	return class.Idempotency == balancer.AtMostOnce && request.Logged == nil
}

// rememberIfUncertain remembers the id of an at-most-once request that has ended without an outcome.
func (s *Server) rememberIfUncertain(id string, request *node.Request, deadline float64) {
	if s.isAtMostOnce(request) {
		s.ids.remember(id, s.clock.Time(deadline))
	}
}
