package server

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// What deals out clients looks ten times a second and sends none from 0.2 s after it was told; until then nothing
	// but the health check changes, since clients that are asked to go would come back here.
	awayHeard = 500 * time.Millisecond
	// Four seconds after the call no connection may be idle or have an op of the last two. Until awayLast those that
	// are in use are asked to close with their next answer, which costs their clients nothing; then all are closed.
	awayLast  = 1600 * time.Millisecond
	awayEmpty = 1900 * time.Millisecond
	awayIdle  = 300 * time.Millisecond // a connection not in use, until awayLast
	awayTick  = 50 * time.Millisecond
)

// away is the state in which clients are sent away while the node runs on.
type away struct {
	closing atomic.Bool // answers ask to close
	empty   atomic.Bool // what still comes is turned away at once: it could not be answered and gone in time

	mu    sync.Mutex
	since time.Time
	stop  chan struct{} // ends the sending away; nil while clients are taken
}

// AwayFor is for how long clients have been sent away, if they are.
func (f *Server) ClientsAwayFor() (passed time.Duration, out bool) {
	f.away.mu.Lock()
	defer f.away.mu.Unlock()
	return time.Since(f.away.since), f.away.stop != nil
}

func (a *away) now() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop != nil
}

// SendAway has the health check say no and, once that has been heard, clients go; or takes them again, at any point of
// that. What is so already stays so. It tells whether anything changed.
func (f *Server) SendClientsAway(out bool) bool { return f.SendClientsAwaySince(out, time.Now()) }

// SendAwaySince is SendAway where clients have been sent away before, by another process of the node.
func (f *Server) SendClientsAwaySince(out bool, since time.Time) bool {
	a := &f.away
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case out == (a.stop != nil):
		return false
	case out:
		a.stop = make(chan struct{})
		a.since = since
		go f.sendAway(a.stop, since)
	default:
		close(a.stop)
		a.stop = nil
		a.closing.Store(false)
		a.empty.Store(false)
	}
	return true
}

// sendAway closes what is idle, again and again: an op in hand keeps its connection until its answer is out.
func (f *Server) sendAway(stop <-chan struct{}, since time.Time) {
	tick := time.NewTicker(awayTick)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-f.served:
			return
		case <-tick.C:
		}
		f.away.step(stop, time.Since(since))
		switch passed := time.Since(since); {
		case passed >= awayLast:
			f.shed(awayTick, false)
		case passed >= awayHeard:
			f.shed(awayIdle, false)
		}
	}
}

// step moves on unless clients are taken again meanwhile.
func (a *away) step(stop <-chan struct{}, passed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == stop {
		a.closing.Store(passed >= awayHeard)
		a.empty.Store(passed >= awayEmpty)
	}
}
