package invariants

import (
	"container/heap"

	"pearknot/balancer"
)

// The rule NoRequestLost: each request that a node accepts has exactly one final answer, by its deadline. A served one has
// a response that a backend made. Attempts start only while the request is open. A node sends a rejection or failure of its
// own as soon as it is due, and does not withhold it until the deadline is near.

// A rejection or failure counts as withheld if it comes in the last tenth of the request's time, and more than a tenth of
// that time after the last attempt ended. Last attempts start at three quarters of the time at the latest, so a request that
// correctly waits for one is answered earlier.
const (
	withheldAfterShare = 0.9
	withheldIdleShare  = 0.1
)

// request holds the state of a request until its deadline.
type request struct {
	id         uint64
	node       int
	class      int
	accepted   float64
	deadline   float64
	closed     bool // no answer is required: it has one, or its client or node is gone
	answered   bool
	answeredAt float64
	clientGone bool
	runs       int     // how often a backend began its work
	idleSince  float64 // when the latest attempt ended or the request was accepted
	attempts   []attempt
	events     []Event
	queue      *keyQueue // nil if its class is not ordered or it is over
}

// attempt holds the state of an attempt.
type attempt struct {
	number   int
	backend  int
	started  float64
	inFlight bool
	outcome  balancer.Outcome // valid once it is no longer in flight
}

func (t attempt) mayHaveRun() bool { return t.inFlight || !t.outcome.NeverRan() }

func (r *request) addEvent(e Event) {
	if len(r.events) < maxEvidence {
		r.events = append(r.events, e)
	}
}

// firstUncertainAttempt returns the first attempt that is not proven never to have run, or nil.
func (r *request) firstUncertainAttempt() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun() {
			return &r.attempts[i]
		}
	}
	return nil
}

func (r *request) hasAttemptInFlight() bool {
	for _, t := range r.attempts {
		if t.inFlight {
			return true
		}
	}
	return false
}

// hasResponse reports whether a backend answered the attempt with that number, or any attempt if it is AnyAttempt.
func (r *request) hasResponse(number int) bool {
	for _, t := range r.attempts {
		isSelected := number == AnyAttempt || number == t.number
		if isSelected && !t.inFlight && t.outcome == balancer.OutcomeAnswered {
			return true
		}
	}
	return false
}

func (a *Auditor) requestAccepted(e Event) {
	if earlier := a.requests[e.Request]; earlier != nil {
		a.addViolation(NoRequestLost, append(earlier.events, e), "op %d taken twice", e.Request)
		return
	}
	if e.Class < 0 || e.Class >= len(a.config.Classes) {
		a.addViolation(NoRequestLost, []Event{e}, "op %d of category %d, which the terms don't name", e.Request, e.Class)
		return
	}
	a.requestCount++
	if a.requestCount%sweepInterval == 0 {
		a.sweepKeyQueues()
	}
	r := &request{id: e.Request, node: e.Node, class: e.Class, accepted: e.At, idleSince: e.At, deadline: e.Deadline}
	r.addEvent(e)
	a.requests[e.Request] = r
	if a.config.Classes[e.Class].Ordered && e.Key != 0 {
		a.joinKeyQueue(r, e)
	}
	heap.Push(&a.deadlines, r)
}

func (a *Auditor) requestAnswered(e Event) {
	r := a.requests[e.Request]
	if r == nil {
		a.addViolation(NoRequestLost, []Event{e}, "op %d %s, though it is not open: answered before, never taken, or past its TTL", e.Request, e.Answer)
		return
	}
	r.addEvent(e)
	if r.answered {
		a.addViolation(NoRequestLost, r.events, "op %d has a second final answer", e.Request)
		return
	}
	if r.clientGone { // answered while the client disconnected or the node was killed
		return
	}
	r.closed, r.answered, r.answeredAt = true, true, e.At
	defer r.leaveQueueIfOver()
	if e.At > r.deadline+a.config.Tolerance {
		a.addViolation(NoRequestLost, r.events, "op %d %s %.1f ms after its TTL's end", e.Request, e.Answer, e.At-r.deadline)
	}
	if e.Answer == Served {
		if !r.hasResponse(e.Attempt) {
			a.addViolation(NoRequestLost, r.events, "op %d acked with an answer that no backend made", e.Request)
		}
		return
	}
	a.checkWithheld(r, e)
	if e.Answer == Rejected {
		a.checkRejectable(r)
	}
}

// checkWithheld checks for a rejection or failure that comes late although no attempt was in flight.
func (a *Auditor) checkWithheld(r *request, e Event) {
	if r.hasAttemptInFlight() {
		return
	}
	total, waited := r.deadline-r.accepted, e.At-r.idleSince
	isLate := e.At-r.accepted > withheldAfterShare*total
	if isLate && waited > withheldIdleShare*total+a.config.Tolerance {
		a.addViolation(NoRequestLost, r.events, "op %d %s %.1f ms after its last push ended: sat on until its TTL was near", e.Request,
			e.Answer, waited)
	}
}

func (a *Auditor) clientGone(e Event) {
	r := a.requests[e.Request]
	if r == nil || r.closed {
		return
	}
	r.addEvent(e)
	r.closed, r.clientGone = true, true
	r.leaveQueueIfOver()
}

func (a *Auditor) attemptStarted(e Event) {
	a.checkDrain(e)
	a.checkSlowStart(e)
	r := a.requests[e.Request]
	if r == nil {
		a.addViolation(NoRequestLost, []Event{e}, "op %d pushed to backend %d, though it is not open: past its TTL, or never taken", e.Request, e.Backend)
		return
	}
	r.addEvent(e)
	// An attempt that was sent just before the answer may be observed just after it if another machine reports it.
	if r.answered && e.At-r.answeredAt >= a.config.Tolerance {
		a.addViolation(NoRequestLost, r.events, "op %d pushed to backend %d after its final answer", e.Request, e.Backend)
	}
	if e.At > r.deadline+a.config.Tolerance {
		a.addViolation(NoRequestLost, r.events, "op %d pushed to backend %d after its TTL's end", e.Request, e.Backend)
	}
	a.checkAttemptCount(r)
	a.checkRetry(r, e)
	a.checkKeyOrder(r, e)
	r.attempts = append(r.attempts, attempt{number: e.Attempt, backend: e.Backend, started: e.At, inFlight: true})
	if len(r.attempts) > maxEvidence {
		r.attempts = r.attempts[1:]
	}
}

func (a *Auditor) attemptEnded(e Event) {
	r := a.requests[e.Request]
	if r == nil { // an attempt may end after its request's deadline
		return
	}
	r.addEvent(e)
	for i := range r.attempts {
		t := &r.attempts[i]
		if t.number != e.Attempt || !t.inFlight {
			continue
		}
		t.inFlight, t.outcome = false, e.Outcome
		r.idleSince = e.At
		a.beginKeyCooldown(r, e)
		r.leaveQueueIfOver()
		return
	}
}

// expire ends a request at its deadline, by which it must have an answer, and discards it.
func (a *Auditor) expire(r *request) {
	if !r.closed {
		a.addViolation(NoRequestLost, r.events, "op %d has no final answer by its TTL's end at %.1f", r.id, r.deadline)
	}
	r.leaveQueue() // attempts that are still in flight can't be followed any more
	if a.requests[r.id] == r {
		delete(a.requests, r.id)
	}
}

// deadlineQueue is a heap of requests ordered by deadline.
type deadlineQueue []*request

// Len implements heap.Interface.
func (q deadlineQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q deadlineQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }

// Swap implements heap.Interface.
func (q deadlineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(*request)) }

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
