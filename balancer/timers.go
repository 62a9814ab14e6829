package balancer

import (
	"container/heap"
	"math"
)

// Timers are set for late sends, overdue attempts, cooldowns of keys and the assumed end of abandoned work. They are kept in
// a heap by time. The host has a single timer, which DoSetTimer moves to the earliest of them. Timers of the same time are
// handled in the order in which they were set, so that a replay makes the same decisions.

// clockResolutionMs is how much earlier than asked for the host's timer may fire, since hosts round their clocks.
const clockResolutionMs = 1e-3

// timer is one entry of the heap. At most one of request, attempt, keyQueue and isWorkAbandoned is set, and determines the
// purpose of the timer.
type timer struct {
	at              float64   // time in ms
	seq             uint64    // order in which timers were set
	request         *Request  // its late send if it is queued; the end of its wait for its turn in its key queue if it is new
	attempt         *Attempt  // it becomes overdue
	keyQueue        *keyQueue // its cooldown ends
	isWorkAbandoned bool      // an attempt that timed out or was canceled is assumed to have stopped running
}

type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// timerState holds all timers, and the state of the host's timer.
type timerState struct {
	entries  timerHeap
	seq      uint64  // of the timer that was set last
	armedFor float64 // time for which the host's timer is set; infinite if it is not set
}

// setTimer adds a timer.
func (lb *Balancer) setTimer(t timer) {
	lb.timers.seq++
	t.seq = lb.timers.seq
	heap.Push(&lb.timers.entries, t)
}

// TimerFired records that the host's timer fired.
func (lb *Balancer) TimerFired(now float64) {
	lb.now = now
	// The host may round its clock to just before the time asked for. If that did not count as fired, the balancer would
	// wait for a timer that has already fired, and never set another one.
	if now >= lb.timers.armedFor-clockResolutionMs {
		lb.timers.armedFor = math.Inf(1)
	}
}

// nextWakeUp returns the earliest time at which there is something to do without a further input; infinite for never.
func (lb *Balancer) nextWakeUp() float64 {
	at := math.Inf(1)
	if lb.review.isPending {
		at = lb.review.at
	}
	if len(lb.timers.entries) > 0 {
		at = math.Min(at, lb.timers.entries[0].at)
	}
	if !lb.endpoints.isWatched {
		at = math.Min(at, lb.endpoints.pollAt)
	}
	return at
}

// handleTimer carries out the action of a timer, unless it is no longer needed.
func (lb *Balancer) handleTimer(t timer) {
	switch {
	case t.keyQueue != nil:
		lb.wakeKeyQueue(t.keyQueue)
	case t.request != nil && t.request.stage == stageNew: // its turn in its key queue has not come in time
		lb.rejectOrFail(t.request)
	case t.request != nil && t.request.stage == stageQueued:
		lb.sendLate(t.request)
	case t.attempt != nil && t.attempt.inFlight:
		lb.handleOverdue(t.attempt)
	case t.isWorkAbandoned:
		lb.concurrency.inFlight--
		lb.queue.hasFreedCapacity = true
	}
}
