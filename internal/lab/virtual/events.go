package virtual

import (
	"container/heap"
	"math"
)

// event is a function to be called at a time of the simulation.
type event struct {
	at       float64 // ms
	sequence uint64  // order of scheduling, which decides among events of the same time
	handle   func()
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last].handle = nil // so that the array behind the queue doesn't keep the closure alive
	*q = (*q)[:last]
	return popped
}

// schedule has a function called at a time in ms. A time in the past means now, after what is due already.
func (s *simulation) schedule(at float64, handle func()) {
	s.lastSequence++
	heap.Push(&s.events, event{math.Max(at, s.now), s.lastSequence, handle})
}

// processEvents calls the handlers in order until the queue is empty, or the experiment is over and no request is
// open.
func (s *simulation) processEvents() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at > s.experiment.LengthMs() && s.recorder.OpenRequests() == 0 {
			return
		}
		s.now = next.at
		s.eventsProcessed++
		next.handle()
	}
}
