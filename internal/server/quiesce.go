package server

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The load balancer in front of the nodes checks their health ten times a second, and sends no client from 0.2 s
	// after it was told. Until quiesceHeard nothing but the health check changes: clients that were asked to leave
	// sooner would come back here.
	quiesceHeard = 500 * time.Millisecond

	// Four seconds after the call no connection may be idle or have had a request in the last two. Until
	// quiesceCloseAll connections in use are asked to close with their next response, which costs their clients
	// nothing; then all are closed as soon as they are idle.
	quiesceCloseAll = 1600 * time.Millisecond

	// quiesceReject is from when new requests are rejected at once: they could not be answered and gone in time.
	quiesceReject = 1900 * time.Millisecond

	// quiesceIdle is how long a connection must be idle to be closed before quiesceCloseAll.
	quiesceIdle = 300 * time.Millisecond

	// quiesceTick is the time between two looks at what is idle.
	quiesceTick = 50 * time.Millisecond
)

// quiesce is the state in which clients are sent away while the node runs on.
type quiesce struct {
	closing   atomic.Bool // responses ask clients to close their connections
	rejecting atomic.Bool // new requests are rejected at once

	mu    sync.Mutex
	since time.Time
	stop  chan struct{} // ends the state; nil while clients are taken
}

func (q *quiesce) isOn() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stop != nil
}

// advance sets what the elapsed time calls for, unless that state has ended meanwhile.
func (q *quiesce) advance(stop <-chan struct{}, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stop == stop {
		q.closing.Store(elapsed >= quiesceHeard)
		q.rejecting.Store(elapsed >= quiesceReject)
	}
}

// QuiescedFor is for how long clients have been sent away, if they are.
func (s *Server) QuiescedFor() (elapsed time.Duration, on bool) {
	s.quiesce.mu.Lock()
	defer s.quiesce.mu.Unlock()
	return time.Since(s.quiesce.since), s.quiesce.stop != nil
}

// SetQuiesced has the health check fail and, once that has been noticed, sends clients away; or takes clients again, at
// any point of that. It reports whether anything changed.
func (s *Server) SetQuiesced(on bool) bool { return s.SetQuiescedSince(on, time.Now()) }

// SetQuiescedSince is SetQuiesced for a state that began earlier, in another process of the node.
func (s *Server) SetQuiescedSince(on bool, since time.Time) bool {
	q := &s.quiesce
	q.mu.Lock()
	defer q.mu.Unlock()
	isOn := q.stop != nil
	if on == isOn {
		return false
	}
	if on {
		q.stop = make(chan struct{})
		q.since = since
		go s.sendClientsAway(q.stop, since)
		return true
	}
	close(q.stop)
	q.stop = nil
	q.closing.Store(false)
	q.rejecting.Store(false)
	return true
}

// sendClientsAway closes idle connections until stop is closed. A request in flight keeps its connection until its
// response is out.
func (s *Server) sendClientsAway(stop <-chan struct{}, since time.Time) {
	tick := time.NewTicker(quiesceTick)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-s.serveDone:
			return
		case <-tick.C:
		}
		s.quiesce.advance(stop, time.Since(since))
		switch elapsed := time.Since(since); {
		case elapsed >= quiesceCloseAll:
			s.closeIdle(quiesceTick, false)
		case elapsed >= quiesceHeard:
			s.closeIdle(quiesceIdle, false)
		}
	}
}
