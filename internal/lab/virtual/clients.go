package virtual

import (
	"pearknot/internal/invariants"
	"pearknot/internal/lab/workload"
)

// deadlineMarginMs is the part of a client's timeout, in ms, that a node reserves for the way of the response.
const deadlineMarginMs = 2.0

// clientTry is one sending of a client's request. A client may retry: each try is a request of its own to the nodes.
type clientTry struct {
	request *workload.Request
	number  int // of the try, from 0
	node    *node
	closed  bool // the client has its response, timed out or disconnected
	handled *request
}

// requestArrives takes the next request from the workload, and schedules the one after it.
func (s *simulation) requestArrives() {
	if request := s.source.Arrive(); request != nil && request.ArrivesAt < s.experiment.LengthMs() {
		s.recorder.RequestArrived(request)
		s.sendRequest(request, 0)
	}
	if next := s.source.NextArrival(); next < s.experiment.LengthMs() {
		s.schedule(next, s.requestArrives)
	}
}

// pickNode returns the next node of a zone by round robin among those believed alive, or nil if there is none. A dead
// node is believed alive until the clients' health checks notice.
func (s *simulation) pickNode(zone int) *node {
	candidates := s.nodesByZone[zone]
	for range candidates {
		n := candidates[s.nextNode[zone]%len(candidates)]
		s.nextNode[zone]++
		if n.alive || s.now < n.diedAt+s.experiment.Clients.DeadNodeMs {
			return n
		}
	}
	return nil
}

// sendRequest has a client send its request, number counting its tries from 0.
func (s *simulation) sendRequest(request *workload.Request, number int) {
	s.recorder.RequestSent()
	try := &clientTry{request: request, number: number, node: s.pickNode(request.Zone)}
	nearMs := s.experiment.Fleet.LocalDelayMs
	if try.node == nil {
		s.schedule(s.now+nearMs, func() { s.finishTry(try, workload.OutcomeUnreachable, 0) })
		return
	}
	behavior := s.source.Behavior(request, number)
	sentAt := s.now
	s.schedule(s.now+nearMs, func() { s.receiveRequest(try, sentAt, behavior.Timeout) })
	if behavior.DisconnectAfter > 0 {
		s.schedule(s.now+behavior.DisconnectAfter, func() { s.clientDisconnects(try) })
	}
	s.schedule(s.now+behavior.Timeout, func() { s.clientTimesOut(try) })
}

// clientDisconnects ends a try whose client goes away for good.
func (s *simulation) clientDisconnects(try *clientTry) {
	if try.closed {
		return
	}
	try.closed = true
	s.recorder.RequestEnded(try.request)
	s.recordEvent(invariants.Event{Kind: invariants.ClientGone, Request: workload.TryID(try.request.ID, try.number)})
	s.closeClientConnection(try)
}

// clientTimesOut ends a try whose client no longer waits; the client may retry.
func (s *simulation) clientTimesOut(try *clientTry) {
	if try.closed {
		return
	}
	s.recorder.ClientTimedOut()
	s.closeClientConnection(try)
	s.finishTry(try, workload.OutcomeLost, 0)
}

// closeClientConnection lets the node notice, one network delay later, that its client is gone.
func (s *simulation) closeClientConnection(try *clientTry) {
	s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() {
		request := try.handled
		if request == nil || request.answered || request.node.requests[request.ID] != request {
			return
		}
		request.answered = true
		request.node.decider.RequestAbandoned(s.now, &request.Request)
		s.removeFinished(request)
		s.carryOutDecisions(request.node)
	})
}

// finishTry gives a client the outcome of its try; retryAfter in ms is what a rejection advised, 0 if nothing. The
// client either retries or is done.
func (s *simulation) finishTry(try *clientTry, outcome workload.Outcome, retryAfter float64) {
	if try.closed {
		return
	}
	try.closed = true
	switch outcome {
	case workload.OutcomeServed:
		s.recorder.RequestServed(try.request, s.now)
		return
	case workload.OutcomeUnreachable:
		s.recorder.NodeUnreachable()
	}
	if wait, again := s.source.Retry(try.request, try.number, outcome, retryAfter); again {
		s.schedule(s.now+wait, func() { s.sendRequest(try.request, try.number+1) })
		return
	}
	s.recorder.RequestEnded(try.request)
}

// receiveRequest has a node accept a request that was sent at sentAt by a client with a timeout of patience ms.
func (s *simulation) receiveRequest(try *clientTry, sentAt, patience float64) {
	n := try.node
	if try.closed {
		return
	}
	if !n.alive {
		s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() { s.finishTry(try, workload.OutcomeUnreachable, 0) })
		return
	}
	sent := try.request
	received := &request{node: n, try: try}
	received.ID = workload.TryID(sent.ID, try.number)
	received.Class = sent.Class
	received.CostHint, received.HasCostHint = sent.CostHint, sent.HasCostHint
	received.IsClientRetry = try.number > 0
	received.Deadline = sentAt + patience - deadlineMarginMs
	received.Key = sent.Key
	try.handled = received
	n.requests[received.ID] = received
	s.recordEvent(invariants.Event{Kind: invariants.RequestAccepted, Node: n.number, Request: received.ID, Class: sent.Class, Key: sent.Key,
		Deadline: sentAt + patience})
	n.decider.RequestArrived(s.now, &received.Request)
	s.carryOutDecisions(n)
}
