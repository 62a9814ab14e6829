package balancer

import (
	"container/heap"
	"fmt"
	"slices"
)

// What waits for a decision, is held, falls due or is to be told: kept here, decided in balance.go.

func (n *Balancer) schedule(op *Request) {
	if !op.isPending && op.stage != stageEnded {
		op.isPending = true
		n.pending = append(n.pending, op)
	}
}

func (n *Balancer) setTimer(d timer) {
	n.seq++
	d.seq = n.seq
	heap.Push(&n.timerEntries, d)
}

// line is the ops of one key that are not over, in the order in which the node took them, and until when the key rests.
type keyQueue struct {
	key  uint64
	requests  []*Request
	cooldownUntil float64
}

// queue puts an op behind the others of its key.
func (n *Balancer) queue(op *Request) {
	l := n.keyQueues[op.Key]
	if l == nil {
		l = &keyQueue{key: op.Key}
		n.keyQueues[op.Key] = l
	}
	l.requests, op.keyQueue = append(l.requests, op), l
}

// unqueue takes an op that is over, with nothing out, from its key's line; the next one's turn may have come.
func (n *Balancer) unqueue(op *Request) {
	l := op.keyQueue
	if l == nil || !op.IsDone() {
		return
	}
	first := l.requests[0] == op
	l.requests, op.keyQueue = slices.DeleteFunc(l.requests, func(o *Request) bool { return o == op }), nil
	switch {
	case first && l.cooldownUntil > n.now:
		n.setTimer(timer{at: l.cooldownUntil, keyQueue: l})
	case first:
		n.wakeKeyQueue(l)
	}
}

// turn calls up a key's first op, and lets go of a key that has none and rests no more: the table holds no more keys than
// ops are open and rests run.
func (n *Balancer) wakeKeyQueue(l *keyQueue) {
	switch {
	case len(l.requests) > 0:
		n.schedule(l.requests[0])
	case l.cooldownUntil <= n.now && n.keyQueues[l.key] == l:
		delete(n.keyQueues, l.key)
	}
}

func (n *Balancer) log(format string, args ...any) {
	n.decisions = append(n.decisions, Decision{Kind: DoLog, Text: fmt.Sprintf(format, args...)})
}

func (n *Balancer) unhold(op *Request) {
	n.queuedRequests = slices.DeleteFunc(n.queuedRequests, func(o *Request) bool { return o == op })
}
