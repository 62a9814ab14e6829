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
type Logged struct {
	Key         string
	Fingerprint uint64 // of method, path and body
	GoOn        bool   // where no majority answers: unprotected
	Most        int    // bytes of an answer that are kept
	heir        bool   // taken over
	begun       bool   // it has a record
}

// Keep has ops that carry Kept kept by peers; it is called before Start.
func (n *Node) Keep(p *peers.Peers) { n.keeper = p }

// keepBegin has the record of a push written, and the push sent once a majority holds it.
func (n *Node) keepBegin(op *Request, p *balancer.Attempt, call *upstream.Call) {
	b := n.behind[p.Backend]
	is := requestlog.Attempt{Number: p.Number, Backend: b.member.Name, Zone: p.Backend.Zone, Cell: p.Backend.Cell, StartedAt: n.now}
	r := requestlog.Record{Kind: requestlog.AttemptStarted, Key: op.Logged.Key, Attempt: is}
	if p.Number == 0 {
		r.Request = n.describe(op)
	}
	module := n.module
	n.keeper.Append(r, min(op.Deadline, n.now+recordWithin), func(reply requestlog.Reply) {
		n.box.Put(func() {
			if n.module == module {
				n.keptBegun(op, p, call, reply)
			} else {
				call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
			}
		})
	})
}

// describe is what an heir needs of an op.
func (n *Node) describe(op *Request) requestlog.Request {
	c := op.Config.Classes[op.Class]
	d := requestlog.Request{Fingerprint: op.Logged.Fingerprint, Class: n.told.Classes[op.Class], Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow,
		CostHint: op.CostHint, HasCostHint: op.HasCostHint, IsClientRetry: op.IsClientRetry, Key: op.Key, Deadline: op.Deadline, EncodedMessage: op.Message.Encode()}
	if op.Tenant < len(n.told.Tenants) {
		d.Tenant = n.told.Tenants[op.Tenant]
	}
	return d
}

// keptBegun takes what became of a push's record. The push begins only by a word that is not old, so that one who has stood
// still or was cut off begins none of an op that may have an heir.
func (n *Node) keptBegun(op *Request, p *balancer.Attempt, call *upstream.Call, reply requestlog.Reply) {
	k := op.Logged
	refuse := func(a Answer) {
		if !op.answered {
			op.finish(a)
			n.module.ClientGone(n.now, &op.Request)
		}
		call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
	}
	switch {
	case reply.Result == requestlog.Committed && op.answered:
		k.begun = true
		call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
	case reply.Result == requestlog.Committed:
		k.begun = true
		// What is out of time by then, or by the module's word, is not sent; its ending says that it never ran.
		until := reply.SentAt + requestlog.LeaseMs
		if c := op.Config.Classes[op.Class]; c.Idempotency == balancer.IdempotentWithKey {
			until = min(until, op.UncertainAttempt().SentAt+c.DedupWindow) // this one, if no other
		}
		call.StartBefore = n.clock.At(until)
		n.send(p, call)
	case p.Number == 0 && (reply.Result == requestlog.KeyInFlight || reply.Result == requestlog.KeyAnswered || reply.Result == requestlog.KeyMismatch):
		refuse(Answer{Status: Elsewhere})
	case (reply.Result == requestlog.NoQuorum || reply.Result == requestlog.LogFull) && p.Number == 0 && !k.heir:
		if k.GoOn {
			op.Logged = nil
			n.send(p, call)
			return
		}
		a := Answer{Status: Rejected}
		if op.Config.SendRetryAfter {
			a.RetryAfter = min(op.Config.MaxRetryAfter, 2*requestlog.PeerTimeoutMs)
		}
		refuse(a)
	default: // another has it, or nobody answers: no word of this process's own
		refuse(Answer{Status: AskAgain, RetryAfter: requestlog.PeerTimeoutMs})
	}
}

// keepEnd tells of a push that never ran: an heir may then send the op on.
func (n *Node) keepEnd(op *Request, p *balancer.Attempt, how balancer.Outcome) {
	if op.Logged != nil && op.Logged.begun && how.NeverRan() {
		r := requestlog.Record{Kind: requestlog.AttemptEnded, Key: op.Logged.Key, Attempt: requestlog.Attempt{Number: p.Number, Outcome: how}}
		n.keeper.Append(r, op.Deadline, func(requestlog.Reply) {})
	}
}

// goesOn tells whether an op goes on without its client, having begun for those who keep it. What of it has not begun never does.
func (n *Node) goesOn(op *Request) bool {
	begun := false
	if op.Logged != nil {
		for _, c := range op.calls {
			begun = !c.CancelIfNotStarted() || begun
		}
	}
	return begun
}

// letGo ends an op of which nothing is owed to anybody; the key of one that others have heard of is free again.
func (n *Node) letGo(op *Request) {
	op.leave()
	if op.Logged != nil && len(op.Attempts) > 0 {
		n.conclude(op, op.Logged.Key, Answer{Status: Rejected}, requestlog.FinalAnswer{Status: requestlog.Rejected})
	}
}

// finish gives an op's final answer; one that is kept gets it once it is written down.
func (n *Node) finish(op *Request, a Answer) {
	if op.Logged == nil || op.answered || len(op.Attempts) == 0 { // of the last nobody else has heard
		op.finish(a)
		return
	}
	op.leave()
	o := requestlog.FinalAnswer{Status: requestlog.Failed, HTTPStatus: http.StatusBadGateway}
	switch {
	case a.Status == Served:
		o = pack(a.Reply, op.Logged.Most)
	case a.Status == Rejected && (op.UncertainAttempt() == nil || op.Config.Classes[op.Class].Idempotency == balancer.Idempotent):
		o = requestlog.FinalAnswer{Status: requestlog.Rejected}
	case a.Status == Rejected: // its key would be free again, and the mark forgotten before it comes back
		a = Answer{Status: Failed}
	}
	n.conclude(op, op.Logged.Key, a, o)
}

func (n *Node) conclude(op *Request, key string, a Answer, o requestlog.FinalAnswer) {
	n.keeper.Append(requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: o}, math.Max(op.Deadline, n.now)+finishWithin, func(reply requestlog.Reply) {
		switch reply.Result {
		case requestlog.Committed:
			op.deliver(a)
			return
		case requestlog.KeyAnswered:
			op.deliver(Recorded(reply.Answer))
		default:
			op.deliver(Answer{Status: AskAgain, RetryAfter: requestlog.PeerTimeoutMs})
		}
		a.Reply.Release()
	})
}

// pack is an answer as it is kept; of one that is too long to be kept only that there was one.
func pack(r *upstream.Reply, most int) requestlog.FinalAnswer {
	o := requestlog.FinalAnswer{Status: requestlog.Served, HTTPStatus: http.StatusOK}
	var head bytes.Buffer
	h := r.Header.Clone()
	upstream.RemoveHopByHop(h)
	_ = h.Write(&head)
	if o.Truncated = r.Stream != nil || len(r.Body)+head.Len() > most; !o.Truncated {
		o.Header, o.Body = head.Bytes(), r.Body
	}
	return o
}

// Recorded is a kept outcome as an answer.
func Recorded(o requestlog.FinalAnswer) Answer {
	switch o.Status {
	case requestlog.Served:
		r := &upstream.Reply{Status: o.HTTPStatus, Header: http.Header{}, Body: o.Body}
		if h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(o.Header, "\r\n"...)))).ReadMIMEHeader(); err == nil {
			r.Header = http.Header(h)
		}
		if o.Truncated {
			r.Header.Set("Pearknot-Answer", "not kept")
		}
		return Answer{Status: Served, Reply: r}
	case requestlog.Rejected:
		return Answer{Status: Rejected}
	}
	return Answer{Status: Failed}
}

// Inherit takes an op over from a process that is lost. What may not be sent again is ended at once; the rest the module
// decides on as on any op, with what time and pushes it has.
func (n *Node) TakeOver(e requestlog.Entry) {
	n.box.Put(func() {
		duty, why := e.TakeoverAction(n.now)
		op := n.revive(&e)
		if op == nil && duty == requestlog.ContinueRequest {
			duty, why = requestlog.FailRequest, "its category or message is unknown here"
			if e.CanReject() {
				duty = requestlog.RejectRequest
			}
		}
		n.log.Info("op taken over", "key", e.Key, "from", e.Request.Class, "pushes", len(e.Attempts), "heirs", e.Takeovers, "does", duty.String(), "why", why)
		switch duty {
		case requestlog.ContinueRequest:
			n.seq++
			op.ID = n.seq
			n.ops[op.ID] = op
			n.module.RequestArrived(n.now, &op.Request)
			op.discard() // nobody waits here: whoever comes with the key finds the record
		default:
			o := requestlog.FinalAnswer{Status: requestlog.Failed, HTTPStatus: http.StatusBadGateway}
			if duty == requestlog.RejectRequest {
				o = requestlog.FinalAnswer{Status: requestlog.Rejected}
			}
			n.keeper.Append(requestlog.Record{Kind: requestlog.RequestAnswered, Key: e.Key, Answer: o}, n.now+2*requestlog.PeerTimeoutMs, func(requestlog.Reply) {})
		}
	})
}

// revive makes an op of an entry.
func (n *Node) revive(e *requestlog.Entry) *Request {
	m := upstream.DecodeMessage(e.Request.EncodedMessage)
	category := slices.Index(n.told.Classes, e.Request.Class)
	if m == nil || category < 0 {
		return nil
	}
	op := NewRequest(m)
	op.Logged = &Logged{Key: e.Key, Fingerprint: e.Request.Fingerprint, heir: true, begun: true, Most: upstream.MaxBufferedBody}
	op.Config, op.Class, op.CostHint, op.HasCostHint, op.IsClientRetry, op.Request.Key = n.told.Balancer, category, e.Request.CostHint, e.Request.HasCostHint, e.Request.IsClientRetry, e.Request.Key
	op.Tenant, op.Deadline = max(n.told.Tenant(e.Request.Tenant), 0), e.Request.Deadline
	for _, p := range e.Attempts {
		b := &balancer.Backend{ID: ref(p.Backend), Zone: p.Zone, Cell: p.Cell}
		if known := n.backends[p.Backend]; known != nil {
			b = known.Backend
		}
		how := balancer.OutcomeTimedOut // as far as anybody knows
		if p.Ended {
			how = p.Outcome
		}
		op.AddEarlierAttempt(b, p.StartedAt, how)
		op.calls = append(op.calls, upstream.NewCall(m, n.clock.At(0), func(upstream.Result) {}))
	}
	return op
}
