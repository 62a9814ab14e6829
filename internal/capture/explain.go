package capture

import (
	"fmt"
	"io"

	"pearknot/balancer"
)

// Explainer tells why one op went where it went: as the module itself looks at its backends, by its own reasons. It is a
// replay that listens.
type Explainer struct {
	Replayer
	Op  uint64 // its number in the capture
	Out io.Writer

	told     float64            // when the list was last told
	reported map[uint64]float64 // when a backend last reported, by its number
	looked   []string           // what the module has looked at since its latest decision
	seen     bool
}

// Feed takes the next record.
func (e *Explainer) Feed(x Record) error {
	if e.reported == nil {
		e.reported = map[uint64]float64{}
	}
	switch x.Kind {
	case EndpointsChanged:
		if x.Flags&flagCached == 0 {
			e.told = x.Now
		}
	case LoadReported:
		e.reported[x.Backend] = x.Now
	}
	mine := x.Request == e.Op && x.Kind != Snapshot
	if mine && x.Kind != Decided {
		fmt.Fprintln(e.Out, x)
	}
	e.looked = e.looked[:0]
	if err := e.Replayer.Feed(x); err != nil {
		return err
	}
	if n, ok := e.node.(*balancer.Balancer); ok && n.OnConsidered == nil {
		n.OnConsidered = func(op *balancer.Request, b *balancer.Backend, r balancer.Reason) { e.asked(n, op, b, r) }
	}
	// What the module looked at in this step belongs to the decisions that follow, of this op or of others.
	for _, line := range e.looked {
		fmt.Fprintln(e.Out, line)
	}
	if mine && x.Kind == Decided {
		e.seen = true
		fmt.Fprintf(e.Out, "%.3f decided: %s\n", x.Now, decision(x))
	}
	return nil
}

// asked is told by the module of one backend that it looked at.
func (e *Explainer) asked(n *balancer.Balancer, op *balancer.Request, b *balancer.Backend, r balancer.Reason) {
	if e.numbers[op] != e.Op {
		return
	}
	if b == nil {
		text := "    waits: no backend may have it now"
		if r == balancer.ReasonPoisonRequest {
			text = "    not looked for: " + r.String()
		}
		e.looked = append(e.looked, text)
		return
	}
	x, number := n.Belief(op, b), e.refs[b]
	line := fmt.Sprintf("    backend %d (%x): %s; answer in %.1f ms foreseen (%.1f alone), %d of %.1f pushes out, distrust %.2f, warmth %.2f, turn in %.2f",
		number, b.ID, r, x.AnswerTime, x.Alone, x.InFlight, x.MaxInFlight, x.Suspicion, x.SlowStartFactor, x.RotationPass)
	if !x.IsNear {
		line += ", another zone"
	}
	if x.AnsweredAgo >= 0 {
		line += fmt.Sprintf(", answered what was sent %.0f ms ago", x.AnsweredAgo)
	} else {
		line += ", never heard of"
	}
	if at, ok := e.reported[number]; ok {
		line += fmt.Sprintf(", reported %.0f ms ago", e.now()-at)
	}
	if e.told > 0 {
		line += fmt.Sprintf(", list told %.0f ms ago", e.now()-e.told)
	}
	e.looked = append(e.looked, line)
}

func (e *Explainer) now() float64 { return e.Claim.To }

// Found tells whether the op was among what was played.
func (e *Explainer) Found() bool { return e.seen }

// Notes marks, in a capture's order, what came late: a list older than the one held, an answer that later ones had
// overtaken, an ending after the op's final answer.
type Notes struct {
	started map[uint64]float64    // of backends, by the newest list
	over    map[uint64]bool       // ops with their final answer and something out
	out     map[uint64]int        // pushes out, of an op
	sent    map[[2]uint64]float64 // pushes: when, and to which backend
	target  map[[2]uint64]uint64
	heard   map[uint64]float64 // of backends: when the latest answered push was sent
}

// Note gives what is to be said of a record, or nothing.
func (n *Notes) Note(x Record) string {
	if n.started == nil || x.Kind == Begin {
		*n = Notes{map[uint64]float64{}, map[uint64]bool{}, map[uint64]int{}, map[[2]uint64]float64{}, map[[2]uint64]uint64{},
			map[uint64]float64{}}
	}
	push := [2]uint64{x.Request, uint64(x.Attempt)}
	switch x.Kind {
	case EndpointsChanged:
		for _, l := range x.Endpoints {
			if l.Started < n.started[l.Backend] {
				return fmt.Sprintf("older than what is held of backend %d", l.Backend)
			}
			n.started[l.Backend] = l.Started
		}
	case Decided:
		switch x.Decision {
		case balancer.DoAttempt:
			n.sent[push], n.target[push] = x.Now, x.Backend
			n.out[x.Request]++
		case balancer.DoReject, balancer.DoFail:
			n.close(x.Request)
		}
	case AttemptEnded:
		at, b := n.sent[push], n.target[push]
		delete(n.sent, push)
		delete(n.target, push)
		defer n.end(x.Request)
		late := n.heard[b] > at
		if x.Outcome == balancer.OutcomeAnswered {
			n.heard[b] = max(n.heard[b], at)
		}
		switch {
		case n.over[x.Request]:
			return "after the op's final answer"
		case late && x.Outcome == balancer.OutcomeAnswered:
			return "overtaken: an answer to what was sent later came before"
		}
		if x.Flags&flagFinished != 0 {
			n.over[x.Request] = true
		}
	}
	return ""
}

// close and end keep account only of ops of which something more will come.
func (n *Notes) close(op uint64) {
	if n.out[op] > 0 {
		n.over[op] = true
	}
}

func (n *Notes) end(op uint64) {
	if n.out[op]--; n.out[op] <= 0 {
		delete(n.out, op)
		delete(n.over, op)
	}
}
