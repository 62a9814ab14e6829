package simcluster

import "container/heap"

// event is something to be done at a time.
type event struct {
	at       float64
	sequence int // orders events at the same time as they were scheduled
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules a function for a time from now.
func (c *Cluster) after(delay float64, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.sequence, do: do})
}

// processNextEvent moves the clock on to the earliest event and does it. The queue must not be empty.
func (c *Cluster) processNextEvent() {
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.do()
}

// Advance processes all events of the next so many ms, and moves the clock to their end.
func (c *Cluster) Advance(duration float64) {
	end := c.now + duration
	for len(c.events) > 0 && c.events[0].at <= end {
		c.processNextEvent()
	}
	c.now = end
}
