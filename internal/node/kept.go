package node

import (
	"bufio"
	"bytes"
	"math"
	"net/http"
	"net/textproto"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
	"pearknot/internal/upstream"
)

const (
	recordWithin = 1500.0 // ms that a push waits for its record, an election long, before the op goes by what its category says of that
	finishWithin = 30.0   // ms past an op's time, if need be, that its outcome may take to be written
)

// Kept is what an op that other processes keep is known by.
type Kept struct {
	Key   string
	Print uint64 // of method, path and body
	GoOn  bool   // where no majority answers: unprotected
	Most  int    // bytes of an answer that are kept
	heir  bool   // taken over
	begun bool   // it has a record
}

// Keep has ops that carry Kept kept by peers; it is called before Start.
func (n *Node) Keep(p *peers.Peers) { n.keeper = p }

// keepBegin has the record of a push written, and the push sent once a majority holds it.
func (n *Node) keepBegin(op *Op, p *balancer.Push, call *upstream.Call) {
	b := n.behind[p.Backend]
	is := requestlog.Push{Number: p.Number, Backend: b.member.Name, Zone: p.Backend.Zone, Cell: p.Backend.Cell, At: n.now}
	r := requestlog.Record{Kind: requestlog.Begin, Key: op.Kept.Key, Push: is}
	if p.Number == 0 {
		r.Op = n.describe(op)
	}
	module := n.module
	n.keeper.Write(r, min(op.GiveUp, n.now+recordWithin), func(reply requestlog.Reply) {
		n.box.Put(func() {
			if n.module == module {
				n.keptBegun(op, p, call, reply)
			} else {
				call.Done(upstream.Outcome{Ending: balancer.NotSent})
			}
		})
	})
}

// describe is what an heir needs of an op.
func (n *Node) describe(op *Op) requestlog.Op {
	c := op.Under.Categories[op.Category]
	d := requestlog.Op{Print: op.Kept.Print, Category: n.told.Categories[op.Category], Effect: c.Effect, Group: c.Group, Remembered: c.Remembered,
		Hint: op.Hint, HasHint: op.HasHint, Repeat: op.Repeat, About: op.Key, GiveUp: op.GiveUp, Message: op.Message.Pack()}
	if op.Tenant < len(n.told.Tenants) {
		d.Tenant = n.told.Tenants[op.Tenant]
	}
	return d
}

// keptBegun takes what became of a push's record. The push begins only by a word that is not old, so that one who has stood
// still or was cut off begins none of an op that may have an heir.
func (n *Node) keptBegun(op *Op, p *balancer.Push, call *upstream.Call, reply requestlog.Reply) {
	k := op.Kept
	refuse := func(a Answer) {
		if !op.answered {
			op.finish(a)
			n.module.Left(n.now, &op.Op)
		}
		call.Done(upstream.Outcome{Ending: balancer.NotSent})
	}
	switch {
	case reply.Code == requestlog.Done && op.answered:
		k.begun = true
		call.Done(upstream.Outcome{Ending: balancer.NotSent})
	case reply.Code == requestlog.Done:
		k.begun = true
		// What is out of time by then, or by the module's word, is not sent; its ending says that it never ran.
		until := reply.Asked + requestlog.FreshFor
		if c := op.Under.Categories[op.Category]; c.Effect == balancer.Deduplicated {
			until = min(until, op.MayHaveRun().SentAt+c.Remembered) // this one, if no other
		}
		call.Before = n.clock.At(until)
		n.send(p, call)
	case p.Number == 0 && (reply.Code == requestlog.InHand || reply.Code == requestlog.Over || reply.Code == requestlog.Unlike):
		refuse(Answer{Final: Elsewhere})
	case (reply.Code == requestlog.Alone || reply.Code == requestlog.Full) && p.Number == 0 && !k.heir:
		if k.GoOn {
			op.Kept = nil
			n.send(p, call)
			return
		}
		a := Answer{Final: Nacked}
		if op.Under.ComeBack {
			a.ComeBack = min(op.Under.MaxComeBack, 2*requestlog.SilentFor)
		}
		refuse(a)
	default: // another has it, or nobody answers: no word of this process's own
		refuse(Answer{Final: AskAgain, ComeBack: requestlog.SilentFor})
	}
}

// keepEnd tells of a push that never ran: an heir may then send the op on.
func (n *Node) keepEnd(op *Op, p *balancer.Push, how balancer.Ending) {
	if op.Kept != nil && op.Kept.begun && how.NeverRan() {
		r := requestlog.Record{Kind: requestlog.End, Key: op.Kept.Key, Push: requestlog.Push{Number: p.Number, Ending: how}}
		n.keeper.Write(r, op.GiveUp, func(requestlog.Reply) {})
	}
}

// goesOn tells whether an op goes on without its client, having begun for those who keep it. What of it has not begun never does.
func (n *Node) goesOn(op *Op) bool {
	begun := false
	if op.Kept != nil {
		for _, c := range op.calls {
			begun = !c.Forestall() || begun
		}
	}
	return begun
}

// letGo ends an op of which nothing is owed to anybody; the key of one that others have heard of is free again.
func (n *Node) letGo(op *Op) {
	op.leave()
	if op.Kept != nil && len(op.Pushes) > 0 {
		n.conclude(op, op.Kept.Key, Answer{Final: Nacked}, requestlog.Outcome{Final: requestlog.Nacked})
	}
}

// finish gives an op's final answer; one that is kept gets it once it is written down.
func (n *Node) finish(op *Op, a Answer) {
	if op.Kept == nil || op.answered || len(op.Pushes) == 0 { // of the last nobody else has heard
		op.finish(a)
		return
	}
	op.leave()
	o := requestlog.Outcome{Final: requestlog.DeadLettered, Status: http.StatusBadGateway}
	switch {
	case a.Final == Acked:
		o = pack(a.Reply, op.Kept.Most)
	case a.Final == Nacked && (op.MayHaveRun() == nil || op.Under.Categories[op.Category].Effect == balancer.Redeliverable):
		o = requestlog.Outcome{Final: requestlog.Nacked}
	case a.Final == Nacked: // its key would be free again, and the mark forgotten before it comes back
		a = Answer{Final: DeadLettered}
	}
	n.conclude(op, op.Kept.Key, a, o)
}

func (n *Node) conclude(op *Op, key string, a Answer, o requestlog.Outcome) {
	n.keeper.Write(requestlog.Record{Kind: requestlog.Finish, Key: key, Outcome: o}, math.Max(op.GiveUp, n.now)+finishWithin, func(reply requestlog.Reply) {
		switch reply.Code {
		case requestlog.Done:
			op.deliver(a)
			return
		case requestlog.Over:
			op.deliver(Recorded(reply.Outcome))
		default:
			op.deliver(Answer{Final: AskAgain, ComeBack: requestlog.SilentFor})
		}
		a.Reply.Release()
	})
}

// pack is an answer as it is kept; of one that is too long to be kept only that there was one.
func pack(r *upstream.Reply, most int) requestlog.Outcome {
	o := requestlog.Outcome{Final: requestlog.Acked, Status: http.StatusOK}
	var head bytes.Buffer
	h := r.Header.Clone()
	upstream.EndToEnd(h)
	_ = h.Write(&head)
	if o.NotKept = r.More != nil || len(r.Body)+head.Len() > most; !o.NotKept {
		o.Header, o.Body = head.Bytes(), r.Body
	}
	return o
}

// Recorded is a kept outcome as an answer.
func Recorded(o requestlog.Outcome) Answer {
	switch o.Final {
	case requestlog.Acked:
		r := &upstream.Reply{Status: o.Status, Header: http.Header{}, Body: o.Body}
		if h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(o.Header, "\r\n"...)))).ReadMIMEHeader(); err == nil {
			r.Header = http.Header(h)
		}
		if o.NotKept {
			r.Header.Set("Pearknot-Answer", "not kept")
		}
		return Answer{Final: Acked, Reply: r}
	case requestlog.Nacked:
		return Answer{Final: Nacked}
	}
	return Answer{Final: DeadLettered}
}

// Inherit takes an op over from a process that is lost. What may not be sent again is ended at once; the rest the module
// decides on as on any op, with what time and pushes it has.
func (n *Node) Inherit(e requestlog.Entry) {
	n.box.Put(func() {
		duty, why := e.Succeed(n.now)
		op := n.revive(&e)
		if op == nil && duty == requestlog.GoOn {
			duty, why = requestlog.DeadLetter, "its category or message is unknown here"
			if e.Nackable() {
				duty = requestlog.NackIt
			}
		}
		n.log.Info("op taken over", "key", e.Key, "from", e.Op.Category, "pushes", len(e.Pushes), "heirs", e.Heirs, "does", duty.String(), "why", why)
		switch duty {
		case requestlog.GoOn:
			n.seq++
			op.Ref = n.seq
			n.ops[op.Ref] = op
			n.module.Arrived(n.now, &op.Op)
			op.discard() // nobody waits here: whoever comes with the key finds the record
		default:
			o := requestlog.Outcome{Final: requestlog.DeadLettered, Status: http.StatusBadGateway}
			if duty == requestlog.NackIt {
				o = requestlog.Outcome{Final: requestlog.Nacked}
			}
			n.keeper.Write(requestlog.Record{Kind: requestlog.Finish, Key: e.Key, Outcome: o}, n.now+2*requestlog.SilentFor, func(requestlog.Reply) {})
		}
	})
}

// revive makes an op of an entry.
func (n *Node) revive(e *requestlog.Entry) *Op {
	m := upstream.Unpack(e.Op.Message)
	category := slices.Index(n.told.Categories, e.Op.Category)
	if m == nil || category < 0 {
		return nil
	}
	op := NewOp(m)
	op.Kept = &Kept{Key: e.Key, Print: e.Op.Print, heir: true, begun: true, Most: upstream.MostHeld}
	op.Under, op.Category, op.Hint, op.HasHint, op.Repeat, op.Op.Key = n.told.Terms, category, e.Op.Hint, e.Op.HasHint, e.Op.Repeat, e.Op.About
	op.Tenant, op.GiveUp = max(n.told.Tenant(e.Op.Tenant), 0), e.Op.GiveUp
	for _, p := range e.Pushes {
		b := &balancer.Backend{Ref: ref(p.Backend), Zone: p.Zone, Cell: p.Cell}
		if known := n.backends[p.Backend]; known != nil {
			b = known.Backend
		}
		how := balancer.TimedOut // as far as anybody knows
		if p.Over {
			how = p.Ending
		}
		op.Before(b, p.At, how)
		op.calls = append(op.calls, upstream.NewCall(m, n.clock.At(0), func(upstream.Outcome) {}))
	}
	return op
}
