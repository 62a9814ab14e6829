package balancer

import (
	"container/heap"
	"fmt"
	"slices"
)

// What waits for a decision, is held, falls due or is to be told: kept here, decided in balance.go.

func (n *Balancer) want(op *Request) {
	if !op.queued && op.stage != ended {
		op.queued = true
		n.waiting = append(n.waiting, op)
	}
}

func (n *Balancer) at(d due) {
	n.seq++
	d.seq = n.seq
	heap.Push(&n.due, d)
}

// line is the ops of one key that are not over, in the order in which the node took them, and until when the key rests.
type line struct {
	key  uint64
	ops  []*Request
	rest float64
}

// queue puts an op behind the others of its key.
func (n *Balancer) queue(op *Request) {
	l := n.lines[op.Key]
	if l == nil {
		l = &line{key: op.Key}
		n.lines[op.Key] = l
	}
	l.ops, op.line = append(l.ops, op), l
}

// unqueue takes an op that is over, with nothing out, from its key's line; the next one's turn may have come.
func (n *Balancer) unqueue(op *Request) {
	l := op.line
	if l == nil || !op.IsDone() {
		return
	}
	first := l.ops[0] == op
	l.ops, op.line = slices.DeleteFunc(l.ops, func(o *Request) bool { return o == op }), nil
	switch {
	case first && l.rest > n.now:
		n.at(due{at: l.rest, line: l})
	case first:
		n.turn(l)
	}
}

// turn calls up a key's first op, and lets go of a key that has none and rests no more: the table holds no more keys than
// ops are open and rests run.
func (n *Balancer) turn(l *line) {
	switch {
	case len(l.ops) > 0:
		n.want(l.ops[0])
	case l.rest <= n.now && n.lines[l.key] == l:
		delete(n.lines, l.key)
	}
}

func (n *Balancer) log(format string, args ...any) {
	n.out = append(n.out, Decision{Kind: DoLog, Text: fmt.Sprintf(format, args...)})
}

func (n *Balancer) unhold(op *Request) {
	n.held = slices.DeleteFunc(n.held, func(o *Request) bool { return o == op })
}
