package simcontrolplane

import "container/heap"

// event is work at a moment of virtual time.
type event struct {
	at       float64
	sequence int // orders events of the same moment as they were scheduled
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules work some ms from now.
func (c *Cluster) after(ms float64, do func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + ms, c.sequence, do})
}
