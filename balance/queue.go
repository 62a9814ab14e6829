package balance

import (
	"container/heap"
	"fmt"
	"slices"
)

// What waits for a decision, is held, falls due or is to be told: kept here, decided in balance.go.

func (n *Node) want(op *Op) {
	if !op.queued && op.stage != ended {
		op.queued = true
		n.waiting = append(n.waiting, op)
	}
}

func (n *Node) at(d due) {
	n.seq++
	d.seq = n.seq
	heap.Push(&n.due, d)
}

func (n *Node) log(format string, args ...any) {
	n.out = append(n.out, Decision{Kind: DoLog, Text: fmt.Sprintf(format, args...)})
}

func (n *Node) unhold(op *Op) {
	n.held = slices.DeleteFunc(n.held, func(o *Op) bool { return o == op })
}
