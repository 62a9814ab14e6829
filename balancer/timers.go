package balancer

import (
	"container/heap"
	"math"
)

// Timers are what the balancer wants to be woken for: late sends, overdue attempts, cooldowns of keys. They lie in a
// heap ordered by time in ms; the host keeps one timer, which DoSetTimer moves to the earliest of them. Equal times
// keep the order in which they were set, so that a replay decides alike.

// clockResolution in ms is how much earlier than asked for a timer may fire: hosts round their clocks.
const clockResolutionMs = 1e-3

// timer is one entry; what it is for shows by the field that is set.
type timer struct {
	at              float64
	seq             uint64
	request         *Request  // queued: its late send; waiting for its key: its last chance
	attempt         *Attempt  // it is overdue
	keyQueue        *keyQueue // its cooldown is over
	isWorkAbandoned bool      // the work of an attempt that timed out or was canceled is believed done
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

// timerState is all timers, and for when the host's timer is set.
type timerState struct {
	entries  timerHeap
	seq      uint64  // of the timer set last
	armedFor float64 // infinite where the host's timer is not set
}

func (lb *Balancer) setTimer(t timer) {
	lb.timers.seq++
	t.seq = lb.timers.seq
	heap.Push(&lb.timers.entries, t)
}

// TimerFired records that the host's timer fired.
func (lb *Balancer) TimerFired(now float64) {
	lb.now = now
	// A clock rounded to just before the time asked for counts: else no timer would ever be set again.
	if now >= lb.timers.armedFor-clockResolutionMs {
		lb.timers.armedFor = math.Inf(1)
	}
}

// nextWakeUp is the earliest time at which there is something to do without an input; infinite for never.
func (lb *Balancer) nextWakeUp() float64 {
	at := math.Inf(1)
	if lb.review.hasNews {
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

// handleTimer does what a timer was set for, unless that is over by now.
func (lb *Balancer) handleTimer(t timer) {
	switch {
	case t.keyQueue != nil:
		lb.wakeKeyQueue(t.keyQueue)
	case t.request != nil && t.request.stage == stageNew: // its turn among those of its key has not come in time
		lb.rejectOrFail(t.request)
	case t.request != nil && t.request.stage == stageQueued:
		lb.sendLate(t.request)
	case t.attempt != nil && t.attempt.inFlight:
		lb.handleOverdue(t.attempt)
	case t.isWorkAbandoned:
		lb.concurrency.inFlight, lb.queue.hasFreedCapacity = lb.concurrency.inFlight-1, true
	}
}
