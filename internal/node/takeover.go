package node

import (
	"net/http"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
	"pearknot/internal/upstream"
)

// TakeOver takes over a request from a lost node. A request that must not be sent again is finished at once. Otherwise the
// balancer handles it like any other request, with the remaining time and attempts.
func (n *Node) TakeOver(entry requestlog.Entry) {
	n.mailbox.Put(func() {
		action, reason := entry.TakeoverAction(n.now)
		request := n.requestFromLog(&entry)
		if request == nil && action == requestlog.ContinueRequest {
			action, reason = requestlog.FailRequest, "unknown class or undecodable message"
			if entry.CanReject() {
				action = requestlog.RejectRequest
			}
		}
		n.log.Info("request taken over", "key", entry.Key, "class", entry.Request.Class, "attempts", len(entry.Attempts),
			"takeovers", entry.Takeovers, "action", action.String(), "reason", reason)
		if action != requestlog.ContinueRequest {
			n.finishTakenOver(entry.Key, action)
			return
		}
		n.addRequest(request)
		n.decider.RequestArrived(n.now, &request.Request)
		request.discardAnswer() // no client waits here: a client that sends the key gets the logged answer
	})
}

// finishTakenOver records the final answer of a request that was taken over and is not sent again.
func (n *Node) finishTakenOver(key string, action requestlog.TakeoverAction) {
	final := requestlog.FinalAnswer{Status: requestlog.Failed, HTTPStatus: http.StatusBadGateway}
	if action == requestlog.RejectRequest {
		final = requestlog.FinalAnswer{Status: requestlog.Rejected}
	}
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: final}
	n.requestLog.Append(record, n.now+2*requestlog.PeerTimeoutMs, func(requestlog.Reply) {})
}

// requestFromLog creates a request from its log entry. It returns nil if this node does not know the request's class or
// can't decode its message.
func (n *Node) requestFromLog(entry *requestlog.Entry) *Request {
	logged := &entry.Request
	message := upstream.DecodeMessage(logged.EncodedMessage)
	class := slices.Index(n.deployment.Classes, logged.Class)
	if message == nil || class < 0 {
		return nil
	}
	request := NewRequest(message)
	request.Logged = &LoggedRequest{
		ClassName:      logged.Class,
		TenantName:     logged.Tenant,
		IdempotencyKey: entry.Key,
		Fingerprint:    logged.Fingerprint,
		MaxAnswerBytes: upstream.MaxBufferedBody,
		takenOver:      true,
		hasRecord:      true,
	}
	request.Config = configOfLogged(n.deployment.BalancerConfig, class, logged)
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

// configOfLogged returns a configuration whose class has the properties that the class of a logged request had when that arrived at its
// node: they decide whether it may be sent again, and where.
func configOfLogged(config *balancer.Config, class int, logged *requestlog.Request) *balancer.Config {
	recorded := config.Classes[class]
	recorded.Idempotency, recorded.DedupScope, recorded.DedupWindow = logged.Idempotency, logged.DedupScope, logged.DedupWindow
	if recorded == config.Classes[class] {
		return config
	}
	changed := *config
	changed.Classes = slices.Clone(config.Classes)
	changed.Classes[class] = recorded
	return &changed
}

// addLoggedAttempt adds an attempt of the lost node. An attempt without a recorded end counts as timed out, since it may
// have run.
func (n *Node) addLoggedAttempt(request *Request, attempt requestlog.Attempt) {
	attemptBackend := &balancer.Backend{ID: backendID(attempt.Backend), Zone: attempt.Zone, Cell: attempt.Cell}
	if known := n.backends[attempt.Backend]; known != nil {
		attemptBackend = known.Backend
	}
	outcome := balancer.OutcomeTimedOut
	if attempt.Ended {
		outcome = attempt.Outcome
	}
	request.AddEarlierAttempt(attemptBackend, attempt.StartedAt, outcome)
	placeholder := upstream.NewCall(request.Message, n.clock.Time(0), func(upstream.Result) {})
	request.calls = append(request.calls, placeholder) // because calls are indexed by the attempt's number
}
