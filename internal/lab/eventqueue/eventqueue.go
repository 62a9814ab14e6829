// Package eventqueue orders what a simulation does in virtual time.
package eventqueue

import "container/heap"

// Event is a function to be called at a time of a simulation.
type Event struct {
	At     float64 // ms
	Handle func()

	sequence uint64 // order of scheduling, which decides among events of the same time
}

// Queue holds events. Those of the same time are taken in the order in which they were scheduled, so that a run with the same
// inputs gives the same history. The zero value is empty.
type Queue struct {
	events       eventHeap
	lastSequence uint64
}

// Schedule adds an event.
func (q *Queue) Schedule(at float64, handle func()) {
	q.lastSequence++
	heap.Push(&q.events, Event{At: at, Handle: handle, sequence: q.lastSequence})
}

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.events) }

// NextAt returns the time of the earliest event. The queue must not be empty.
func (q *Queue) NextAt() float64 { return q.events[0].At }

// Take removes the earliest event and returns it. The queue must not be empty.
func (q *Queue) Take() Event { return heap.Pop(&q.events).(Event) }

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = Event{} // so that the array behind the heap doesn't keep the closure alive
	*h = (*h)[:last]
	return popped
}
