package server

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/memory"
)

// What the server holds for its clients is reserved in a memory.Budget before it is allocated:
//   - the listener reserves a connection's bytes before it accepts it, with those of a request that has a small head and body;
//     without them the connection waits in its queue;
//   - the connection reserves what the head of a request takes beyond smallHeadBytes, as it arrives;
//   - the request reserves what its body takes beyond smallBodyBytes, as it arrives.
//
// If there is no room, the incomplete body whose client has kept the server waiting for longest is evicted. A request for which
// there still is no room is rejected, which is harmless because nothing of it has been sent.
const (
	// plainConnBytes and tlsConnBytes are the memory of a connection: net/http's buffers, the stacks of its goroutines, an open
	// request, its attempts and its response. TLS has buffers for a record in each direction.
	plainConnBytes = 34 << 10
	tlsConnBytes   = 72 << 10

	// smallHeadBytes is the size up to which a head is part of a connection's bytes.
	smallHeadBytes = 2 << 10

	// headCopies is how often a head's bytes are held: as read, as parsed, and as the message to the backend. fieldBytes is
	// the memory of a field beyond its bytes.
	headCopies = 3
	fieldBytes = 160

	// maxHeadFields is the maximum number of lines of a request's head.
	maxHeadFields = 256

	// smallBodyBytes is the size up to which a body is part of a connection's bytes.
	smallBodyBytes = 4 << 10

	// minEvictionWait is how long a body must have kept the server waiting before it may be evicted, and evictionInterval the
	// minimum time between two evictions: the memory of the first is free only after a moment.
	minEvictionWait  = 200 * time.Millisecond
	evictionInterval = 2 * time.Millisecond

	// refusalLinger is how long the rest of a refused request is read, so that closing the connection does not discard the
	// response before the client has read it.
	refusalLinger = 500 * time.Millisecond
)

// errOutOfMemory means that there is no memory for a request. The client gets the answer of a rejected request.
var errOutOfMemory = &requestError{http.StatusServiceUnavailable, "no memory for the request"}

var errTooManyFields = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("more than %d header fields", maxHeadFields-1)}

// releaseExcessMemory closes idle connections and evicts slow bodies while more memory is reserved than the limits allow, after
// these were lowered.
func (s *Server) releaseExcessMemory() {
	excess := s.memory.Excess()
	if excess.Connections > 0 {
		s.closeLongestIdle(int(excess.Connections/plainConnBytes)+1, listenerQuietPeriod)
	}
	if excess.Buffers > 0 {
		s.incompleteBodies.evictSlowest()
	}
}

// connReservation is the memory that a connection has reserved.
type connReservation struct {
	budget     *memory.Budget
	connection int64 // bytes of the connection
	evict      func()

	mu     sync.Mutex
	head   int64 // bytes of the head of its latest request
	closed bool
}

// growHead reserves the memory of a head of which that much has arrived. It returns why the request is refused, or nil.
func (c *connReservation) growHead(size headSize) *requestError {
	if size.fields > maxHeadFields {
		return errTooManyFields
	}
	needed := int64(size.bytes*headCopies + size.fields*fieldBytes)
	if size.bytes <= smallHeadBytes {
		return nil
	}
	c.mu.Lock()
	missing := needed - c.head
	c.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	if !c.budget.Wait(missing, c.evict) {
		return errOutOfMemory
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.budget.Release(missing)
		return nil
	}
	c.head += missing
	return nil
}

// releaseHead returns the memory of the latest request's head.
func (c *connReservation) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Release(c.head)
	c.head = 0
}

// releaseConnection returns all of the memory when the connection has been closed.
func (c *connReservation) releaseConnection() {
	c.releaseHead()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.budget.ReleaseConnection(c.connection)
}

// ConnectionBytes returns the memory that is reserved for a connection.
func ConnectionBytes(isTLS bool) int64 {
	if isTLS {
		return tlsConnBytes
	}
	return plainConnBytes
}

func (l *listener) connectionBytes() int64 { return ConnectionBytes(l.isTLS) }

// refuseHead answers a request whose head can't be accepted, and reads on for a while. net/http gets the connection's end
// afterwards.
func (c *clientConn) refuseHead(refusal *requestError) {
	c.onRefuse(refusal.reason)
	retryAfter := ""
	if refusal == errOutOfMemory {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", defaultRetryAfterMs/1e3)
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalLinger))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		refusal.status, http.StatusText(refusal.status), retryAfter, len(refusal.reason)+1, refusal.reason)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalLinger))
	buffer := make([]byte, trailingBufferBytes)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// requestReservation is the memory that a request's body has reserved. It belongs to the request's handler.
type requestReservation struct {
	budget *memory.Budget
	evict  func()
	held   int64
	body   *bodyReader // nil if the request has none
}

func (s *Server) newRequestReservation() *requestReservation {
	return &requestReservation{budget: s.memory, evict: s.incompleteBodies.evictSlowest}
}

// grow reserves more bytes. It reports false if there is no room.
func (r *requestReservation) grow(bytes int64) bool {
	if !r.budget.Wait(bytes, r.evict) {
		return false
	}
	r.held += bytes
	return true
}

// shrink returns bytes.
func (r *requestReservation) shrink(bytes int64) {
	r.budget.Release(bytes)
	r.held -= bytes
}

// release returns the memory. The request's body is not read any more.
func (r *requestReservation) release() {
	if r.body != nil {
		r.body.registry.remove(r.body)
	}
	r.budget.Release(r.held)
	r.held = 0
}

// incompleteBodies are the bodies that are being read from clients.
type incompleteBodies struct {
	mu          sync.Mutex
	readers     map[*bodyReader]struct{}
	lastEvicted time.Time
}

func (b *incompleteBodies) add(reader *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readers == nil {
		b.readers = map[*bodyReader]struct{}{}
	}
	b.readers[reader] = struct{}{}
}

func (b *incompleteBodies) remove(reader *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, reader)
}

// evictSlowest ends the reading of the body whose client has kept the server waiting for longest.
func (b *incompleteBodies) evictSlowest() {
	if victim := b.slowest(time.Now()); victim != nil {
		victim.evict()
	}
}

// slowest removes and returns that body; nil if there is none, or if one was evicted just now.
func (b *incompleteBodies) slowest(now time.Time) (slowest *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastEvicted) < evictionInterval {
		return nil
	}
	longest := minEvictionWait
	for reader := range b.readers {
		if wait := reader.waitedForClient(now); wait >= longest {
			slowest, longest = reader, wait
		}
	}
	if slowest != nil {
		delete(b.readers, slowest)
		b.lastEvicted = now
	}
	return slowest
}

// clientWait is how long the reader of a body has waited for its client.
type clientWait struct {
	total atomic.Int64     // ns, of complete reads
	since clock.AtomicTime // start of the read in progress, if there is one
}

func (w *clientWait) begin(now time.Time) { w.since.Store(now) }

func (w *clientWait) end(now time.Time) {
	w.total.Add(int64(w.inProgress(now)))
	w.since.Clear()
}

func (w *clientWait) at(now time.Time) time.Duration {
	return time.Duration(w.total.Load()) + w.inProgress(now)
}

// inProgress returns how long the read in progress has taken.
func (w *clientWait) inProgress(now time.Time) time.Duration {
	since, isReading := w.since.Load()
	if !isReading {
		return 0
	}
	return now.Sub(since)
}
