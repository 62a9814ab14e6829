package virtual

import (
	"math"

	"pearknot/balancer"
	"pearknot/internal/invariants"
)

const (
	// idleTimeoutShare is the share of the backends' idle timeout after which a pooled connection is no longer used,
	// as in the node on sockets: a connection that is about to be closed would lose the request.
	idleTimeoutShare = 0.8
	// localDelayMs is the time between a decision and an outcome that the node itself determines, in ms: the decider
	// gets no outcome of a decision while those after it are still being carried out.
	localDelayMs = 0.01
)

// attempt is one sending of a request to a backend.
type attempt struct {
	id                uint64 // unique in the simulation
	request           *request
	decided           *balancer.Attempt
	target            *backend
	targetIncarnation int  // of the target, when the connection was established
	newConnection     bool // not a pooled one
	sent              bool // its first byte is on the way
	ended             bool
}

// startAttempt carries out the decision to send a request to a backend, over a pooled connection if there is one.
func (s *simulation) startAttempt(n *node, decision balancer.Decision) {
	r := n.requests[decision.Request.ID]
	target := s.backends[decision.Attempt.Backend.ID]
	n.lastAttempt++
	a := &attempt{
		id:      uint64(n.number)<<40 | uint64(n.incarnation)<<32 | n.lastAttempt,
		request: r,
		decided: decision.Attempt,
		target:  target,
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	if n.listed[target.number] == balancer.BackendRemoved {
		s.endAttemptSoon(a, balancer.OutcomeNotSent)
		return
	}
	timeoutAt := r.Deadline
	if decision.Wait > 0 {
		timeoutAt = math.Min(timeoutAt, s.now+decision.Wait)
	}
	s.schedule(timeoutAt, func() { s.attemptTimesOut(a) })
	if s.reuseConnection(n, a) {
		s.sendAttempt(a)
		return
	}
	s.connect(n, a)
}

// reuseConnection takes the connection used latest from the pool, dropping those that are too old or lead to an
// earlier incarnation of the backend, and reports whether there was one.
func (s *simulation) reuseConnection(n *node, a *attempt) bool {
	target := a.target
	pool := n.idle[target.number]
	for len(pool) > 0 {
		latest := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		n.idle[target.number] = pool
		if s.isUsable(latest, target) {
			a.targetIncarnation = latest.incarnation
			return true
		}
	}
	return false
}

// isUsable reports whether an idle connection leads to the backend's current process and is young enough.
func (s *simulation) isUsable(connection idleConnection, b *backend) bool {
	return s.now-connection.since < idleTimeoutShare*s.experiment.Fleet.IdleTimeoutMs && connection.incarnation == b.incarnation
}

// connect establishes a new connection for an attempt, and sends the request when it is up.
func (s *simulation) connect(n *node, a *attempt) {
	target := a.target
	a.newConnection = true
	roundTrip := 2 * s.oneWayDelay(n.zone, target.zone)
	switch {
	case s.isUnreachable(n, target):
		s.schedule(s.now+s.experiment.Fleet.ConnectTimeoutMs, func() { s.endAttempt(a, balancer.OutcomeConnectFailed) })
	case !target.Up():
		s.schedule(s.now+roundTrip, func() { s.endAttempt(a, balancer.OutcomeConnectFailed) })
	default:
		incarnation := target.incarnation
		s.schedule(s.now+roundTrip, func() { s.connectionEstablished(a, incarnation) })
	}
}

// connectionEstablished sends an attempt over its new connection to the given incarnation of the backend, or fails it
// if that process is gone or takes no more connections.
func (s *simulation) connectionEstablished(a *attempt, incarnation int) {
	target := a.target
	if a.ended {
		return
	}
	if target.incarnation != incarnation || !target.Up() {
		s.endAttempt(a, balancer.OutcomeConnectFailed)
		return
	}
	if maxConnections := s.faults.MaxConnections(target.number); maxConnections > 0 && s.countConnections(target) >= maxConnections {
		s.endAttempt(a, balancer.OutcomeConnectFailed)
		return
	}
	a.targetIncarnation = incarnation
	s.sendAttempt(a)
}

// countConnections returns the number of a backend's connections, in use or idle.
func (s *simulation) countConnections(b *backend) int {
	count := len(b.inFlight)
	for _, n := range s.nodes {
		for _, connection := range n.idle[b.number] {
			if s.isUsable(connection, b) {
				count++
			}
		}
	}
	return count
}

// sendAttempt is the single gate before a request's first byte, as in the node on sockets. While the connection was
// being established the request may have been answered by a hedge, or the backend may have been listed as draining:
// sending then would break the rules, so the attempt ends unsent.
func (s *simulation) sendAttempt(a *attempt) {
	n, target := a.request.node, a.target
	if a.request.answered || n.listed[target.number] != balancer.BackendReady {
		s.endAttemptSoon(a, balancer.OutcomeNotSent)
		return
	}
	a.sent = true
	s.recorder.AttemptStarted(s.now, target.number, n.zone != target.zone)
	s.recordEvent(invariants.Event{Kind: invariants.AttemptStarted, Node: n.number, Request: a.request.ID, Attempt: a.decided.Number,
		Backend: target.number, Work: a.request.try.request.Work})
	if s.isUnreachable(n, target) {
		return // an open connection to a lost machine shows no error, only a timeout
	}
	s.schedule(s.now+s.oneWayDelay(n.zone, target.zone), func() { s.attemptReachesBackend(a) })
}

// attemptTimesOut ends an attempt at its timeout, if it is still in flight.
func (s *simulation) attemptTimesOut(a *attempt) {
	if a.ended || !a.request.node.alive {
		return
	}
	s.closeAttemptConnection(a)
	if a.sent {
		s.endAttempt(a, balancer.OutcomeTimedOut)
	} else {
		s.endAttempt(a, balancer.OutcomeConnectFailed)
	}
}

// endAttemptSoon ends an attempt with an outcome that the node itself determines. A canceled attempt that was never
// sent counts as not sent, which makes it safe to retry.
func (s *simulation) endAttemptSoon(a *attempt, outcome balancer.Outcome) {
	incarnation := a.request.node.incarnation
	s.schedule(s.now+localDelayMs, func() {
		if a.ended || a.request.node.incarnation != incarnation {
			return
		}
		if outcome == balancer.OutcomeCanceled {
			s.closeAttemptConnection(a)
			if !a.sent {
				outcome = balancer.OutcomeNotSent
			}
		}
		s.endAttempt(a, outcome)
	})
}

// closeAttemptConnection closes an attempt's connection from the node's side. The backend notices one network delay
// later, and drops the work if it hasn't finished.
func (s *simulation) closeAttemptConnection(a *attempt) {
	n, target := a.request.node, a.target
	if !a.sent || s.isUnreachable(n, target) {
		return
	}
	s.schedule(s.now+s.oneWayDelay(n.zone, target.zone), func() {
		if target.inFlight[a.id] == a {
			target.Cancel(s.now, a.id)
			delete(target.inFlight, a.id)
			s.advanceBackend(target)
		}
	})
}

// endAttempt notifies the decider of an attempt's outcome. The first response serves the request; later ones, of
// hedges, change nothing.
func (s *simulation) endAttempt(a *attempt, outcome balancer.Outcome) {
	r := a.request
	n := r.node
	if a.ended || !n.alive || n.requests[r.ID] != r {
		return
	}
	a.ended = true
	r.attemptsInFlight--
	if a.sent {
		s.recordEvent(invariants.Event{Kind: invariants.AttemptEnded, Request: r.ID, Attempt: a.decided.Number, Outcome: outcome})
		switch outcome {
		case balancer.OutcomeAnswered, balancer.OutcomeFailed, balancer.OutcomeRejected:
			number := a.target.number
			n.idle[number] = append(n.idle[number], idleConnection{s.now, a.targetIncarnation})
		}
	}
	if outcome == balancer.OutcomeAnswered {
		s.answerRequest(r, invariants.Served, 0)
	}
	n.decider.AttemptEnded(s.now, a.decided, outcome, s.now-a.decided.SentAt, r.answered)
	s.removeFinished(r)
	s.carryOutDecisions(n)
}
