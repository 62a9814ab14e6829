package node

import (
	"net/http"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
	"pearknot/internal/upstream"
)

// TakeOver takes a request over from a node that is lost. A request that must not be sent again is ended at
// once. Otherwise the balancer decides on it as on any other, with the time and attempts that it has left.
func (n *Node) TakeOver(entry requestlog.Entry) {
	n.mailbox.Put(func() {
		action, reason := entry.TakeoverAction(n.now)
		request := n.requestFromLog(&entry)
		if request == nil && action == requestlog.ContinueRequest {
			action, reason = requestlog.FailRequest, "its class or message is unknown here"
			if entry.CanReject() {
				action = requestlog.RejectRequest
			}
		}
		n.log.Info("request taken over", "key", entry.Key, "class", entry.Request.Class, "attempts", len(entry.Attempts),
			"takeovers", entry.Takeovers, "action", action.String(), "reason", reason)
		if action != requestlog.ContinueRequest {
			n.endTakenOver(entry.Key, action)
			return
		}
		n.addRequest(request)
		n.decider.RequestArrived(n.now, &request.Request)
		request.discardAnswer() // no client waits here: one that asks with the key gets the logged answer
	})
}

// endTakenOver records the final answer of a request that has been taken over and is not sent again.
func (n *Node) endTakenOver(key string, action requestlog.TakeoverAction) {
	final := requestlog.FinalAnswer{Status: requestlog.Failed, HTTPStatus: http.StatusBadGateway}
	if action == requestlog.RejectRequest {
		final = requestlog.FinalAnswer{Status: requestlog.Rejected}
	}
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: final}
	n.requestLog.Append(record, n.now+2*requestlog.PeerTimeoutMs, func(requestlog.Reply) {})
}

// requestFromLog makes a request from its log entry. It returns nil if this node does not know the request's class or
// can't read its message.
func (n *Node) requestFromLog(entry *requestlog.Entry) *Request {
	logged := &entry.Request
	message := upstream.DecodeMessage(logged.EncodedMessage)
	class := slices.Index(n.deployment.Classes, logged.Class)
	if message == nil || class < 0 {
		return nil
	}
	request := NewRequest(message)
	request.Logged = &LoggedRequest{
		IdempotencyKey: entry.Key,
		Fingerprint:    logged.Fingerprint,
		MaxAnswerBytes: upstream.MaxBufferedBody,
		takenOver:      true,
		hasRecord:      true,
	}
	request.Config = n.deployment.BalancerConfig
	request.Class = class
	request.Tenant = max(n.deployment.TenantIndex(logged.Tenant), 0)
	request.CostHint, request.HasCostHint = logged.CostHint, logged.HasCostHint
	request.IsClientRetry = logged.IsClientRetry
	request.Key = logged.Key
	request.Deadline = logged.Deadline
	for _, attempt := range entry.Attempts {
		n.addLoggedAttempt(request, attempt)
	}
	return request
}

// addLoggedAttempt adds an attempt of the node that was lost. An attempt without a recorded end counts as timed out,
// since it may have run.
func (n *Node) addLoggedAttempt(request *Request, attempt requestlog.Attempt) {
	tried := &balancer.Backend{ID: backendID(attempt.Backend), Zone: attempt.Zone, Cell: attempt.Cell}
	if known := n.backends[attempt.Backend]; known != nil {
		tried = known.Backend
	}
	outcome := balancer.OutcomeTimedOut
	if attempt.Ended {
		outcome = attempt.Outcome
	}
	request.AddEarlierAttempt(tried, attempt.StartedAt, outcome)
	ended := upstream.NewCall(request.Message, n.clock.Time(0), func(upstream.Result) {})
	request.calls = append(request.calls, ended) // a placeholder: calls are indexed by the attempt's number
}
