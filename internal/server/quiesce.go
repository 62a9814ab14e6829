package server

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The steps of a quiesce happen at these times after the call. The contract, in docs/operations.md ("quiesce"), is that
	// clients are gone within four seconds: from then on no connection is idle or has had a request in the last two
	// seconds.

	// quiesceNoticed is the time by which the load balancer in front of the nodes has certainly noticed: it checks their
	// health ten times a second, and sends no more clients 0.2 s after a failed check. Until then only the health check
	// changes, because clients whose connections were closed sooner would reconnect to this node.
	quiesceNoticed = 500 * time.Millisecond

	// quiesceCloseAll is the time from which all connections are closed as soon as they are idle. Until then connections in
	// use are only asked to close with their next response, at no cost to their clients.
	quiesceCloseAll = 1600 * time.Millisecond

	// quiesceReject is the time from which new requests are rejected at once: they might not be answered, and their
	// connections not closed, within the four seconds.
	quiesceReject = 1900 * time.Millisecond

	// quiesceIdle is how long a connection must be idle to be closed before quiesceCloseAll.
	quiesceIdle = 300 * time.Millisecond

	// quiesceTick is the interval at which idle connections are closed.
	quiesceTick = 50 * time.Millisecond
)

// quiesce holds the quiesced state, in which the server closes clients' connections while the process goes on running.
type quiesce struct {
	closing   atomic.Bool // responses ask clients to close their connections
	rejecting atomic.Bool // new requests are rejected at once

	mu    sync.Mutex
	since time.Time
	stop  chan struct{} // ends the state; nil while the server is not quiesced
}

func (q *quiesce) isOn() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stop != nil
}

// advance performs the steps that are due after the elapsed time, unless the state identified by stop has ended meanwhile.
func (q *quiesce) advance(stop <-chan struct{}, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stop == stop {
		q.closing.Store(elapsed >= quiesceNoticed)
		q.rejecting.Store(elapsed >= quiesceReject)
	}
}

// QuiescedFor returns how long the server has been quiesced, and whether it is.
func (s *Server) QuiescedFor() (elapsed time.Duration, on bool) {
	s.quiesce.mu.Lock()
	defer s.quiesce.mu.Unlock()
	return time.Since(s.quiesce.since), s.quiesce.stop != nil
}

// SetQuiesced starts (on) or ends the quiesced state, in which the health check fails and, once that has been noticed, clients'
// connections are closed. The state may be ended at any point. It reports whether the state changed.
func (s *Server) SetQuiesced(on bool) bool { return s.SetQuiescedSince(on, time.Now()) }

// SetQuiescedSince is like SetQuiesced for a state that began earlier, in another process of the node.
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
		go s.closeQuiescedConns(q.stop, since)
		return true
	}
	close(q.stop)
	q.stop = nil
	q.closing.Store(false)
	q.rejecting.Store(false)
	return true
}

// closeQuiescedConns closes idle connections until stop is closed or the server ends. A request in flight keeps its connection
// until its response is sent.
func (s *Server) closeQuiescedConns(stop <-chan struct{}, since time.Time) {
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
			s.closeIdle(quiesceTick, keepPartial)
		case elapsed >= quiesceNoticed:
			s.closeIdle(quiesceIdle, keepPartial)
		}
	}
}
