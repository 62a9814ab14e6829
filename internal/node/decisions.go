package node

import (
	"fmt"

	"pearknot/balancer"
	"pearknot/internal/clock"
)

// executeDecisions executes the balancer's decisions until it has none left.
func (n *Node) executeDecisions() {
	for {
		decision, more := n.decider.Next()
		if !more {
			return
		}
		switch decision.Kind {
		case balancer.DoAttempt:
			n.startAttempt(decision)
		case balancer.DoReject:
			n.finishUnserved(decision.Request, Answer{Status: Rejected, RetryAfter: decision.Wait})
		case balancer.DoFail:
			n.finishUnserved(decision.Request, Answer{Status: Failed})
		case balancer.DoCancel:
			if request := n.requests[decision.Request.ID]; request != nil {
				request.calls[decision.Attempt.Number].Cancel()
			}
		case balancer.DoPoll:
			n.pollEndpoints()
		case balancer.DoSetTimer:
			n.timer.Reset(clock.Duration(decision.Wait))
		case balancer.DoLog:
			n.logEvent(decision.Event)
		}
	}
}

// logEvent logs an event of the balancer.
func (n *Node) logEvent(event balancer.Event) {
	switch event.Kind {
	case balancer.EventBackendEjected:
		n.log.Info("backend ejected", "id", fmt.Sprintf("%x", event.Backend), "in_flight", event.Count)
	case balancer.EventPollFailed:
		n.log.Info("endpoint list poll backing off", "consecutive_failures", event.Count)
	}
}

// finishUnserved finishes a request that the balancer has rejected or failed.
func (n *Node) finishUnserved(balancerRequest *balancer.Request, answer Answer) {
	if request := n.requests[balancerRequest.ID]; request != nil {
		n.logUnserved(request, answer)
		n.finish(request, answer)
		n.forgetIfComplete(request)
	}
}

// forgetIfComplete removes a request that is answered and has no attempt in flight. The balancer's timers may refer to the
// request until its deadline, so the message is released separately: bodies need not stay in memory that long.
func (n *Node) forgetIfComplete(request *Request) {
	if request.answered && request.attemptsInFlight == 0 {
		delete(n.requests, request.ID)
		request.Message, request.calls = nil, nil
	}
}
