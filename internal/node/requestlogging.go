package node

import (
	"bufio"
	"bytes"
	"math"
	"net/http"
	"net/textproto"

	"pearknot/balancer"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
	"pearknot/internal/upstream"
)

const (
	// attemptRecordTimeoutMs is how long an attempt waits for its record to be committed. After that the request is
	// treated as one whose log has no quorum. The server's lookupTimeoutMs is the same, for the same reason.
	attemptRecordTimeoutMs = requestlog.MaxElectionMs

	// answerRecordGraceMs is how long past its deadline a request waits for its answer to be committed. With
	// answerRecordMs, by which the server brings the deadline forward, it leaves the response 10 ms to be written.
	answerRecordGraceMs = 30.0
)

// truncatedAnswerHeader marks a served answer whose header and body are not in the request log, because they were too
// long for it. Clients read the header and its value, so neither changes.
const (
	truncatedAnswerHeader = "Pearknot-Answer"
	truncatedAnswerValue  = "not kept"
)

// LoggedRequest is the part of a request that the request log needs beside the request itself.
type LoggedRequest struct {
	IdempotencyKey       string // by which the log knows it, the tenant included; balancer.Request.Key is another key
	Fingerprint          uint64 // of method, path and body
	ProceedWithoutQuorum bool   // without a quorum the request goes on unlogged; otherwise it is rejected
	MaxAnswerBytes       int    // bounds an answer's header and body in the log

	// The node's actor alone uses the following fields.
	takenOver bool // from another node
	hasRecord bool // the log has a record of it
}

// LogRequests sets the request log, in which requests with a LoggedRequest are recorded. It is called before Start.
//
// In this package record... means a record of the replicated request log, and log... a line of the process's own log
// (slog).
func (n *Node) LogRequests(log *peers.Peers) { n.requestLog = log }

// recordAttemptStart appends the attempt's record to the request log. The attempt is sent only once the record is
// committed, so that a successor knows of every attempt that may have run.
func (n *Node) recordAttemptStart(request *Request, attempt *balancer.Attempt, call *upstream.Call) {
	record := requestlog.Record{
		Kind: requestlog.AttemptStarted,
		Key:  request.Logged.IdempotencyKey,
		Attempt: requestlog.Attempt{
			Number:    attempt.Number,
			Backend:   n.backendOf[attempt.Backend].endpoint.Name,
			Zone:      attempt.Backend.Zone,
			Cell:      attempt.Backend.Cell,
			StartedAt: n.now,
		},
	}
	if attempt.Number == 0 {
		record.Request = n.loggedForm(request)
	}
	decider := n.decider
	n.requestLog.Append(record, min(request.Deadline, n.now+attemptRecordTimeoutMs), func(reply requestlog.Reply) {
		n.mailbox.Put(func() {
			if n.decider == decider {
				n.attemptStartRecorded(request, attempt, call, reply)
			} else {
				call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
			}
		})
	})
}

// loggedForm returns what a successor needs to continue the request.
func (n *Node) loggedForm(request *Request) requestlog.Request {
	class := request.Config.Classes[request.Class]
	form := requestlog.Request{
		Fingerprint:    request.Logged.Fingerprint,
		Class:          n.deployment.Classes[request.Class],
		Idempotency:    class.Idempotency,
		DedupScope:     class.DedupScope,
		DedupWindow:    class.DedupWindow,
		CostHint:       request.CostHint,
		HasCostHint:    request.HasCostHint,
		IsClientRetry:  request.IsClientRetry,
		Key:            request.Key,
		Deadline:       request.Deadline,
		EncodedMessage: request.Message.Encode(),
	}
	if request.Tenant < len(n.deployment.Tenants) {
		form.Tenant = n.deployment.Tenants[request.Tenant]
	}
	return form
}

// attemptStartRecorded takes the log's reply to an attempt's record, and sends the attempt if the record is committed.
//
// A node that was paused or cut off may get the reply when a successor has the request already. That successor knows
// of the attempt, since the record is committed. The attempt must still begin within the lease, counted from when the
// record was sent, so that it does not begin long after the successor has ended the request. The comment on takeover
// in package requestlog has the whole argument.
func (n *Node) attemptStartRecorded(request *Request, attempt *balancer.Attempt, call *upstream.Call, reply requestlog.Reply) {
	logged := request.Logged
	isFirst := attempt.Number == 0
	switch reply.Result {
	case requestlog.Committed:
		logged.hasRecord = true
		if request.answered {
			call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
			return
		}
		call.StartBefore = n.clock.Time(n.latestStart(request, reply))
		n.sendAttempt(attempt, call)
		return
	case requestlog.KeyInFlight, requestlog.KeyAnswered, requestlog.KeyMismatch:
		if isFirst {
			n.withdraw(request, call, Answer{Status: KeyTaken})
			return
		}
	case requestlog.NoQuorum, requestlog.LogFull:
		if !isFirst || logged.takenOver {
			break
		}
		if logged.ProceedWithoutQuorum {
			request.Logged = nil
			n.sendAttempt(attempt, call)
			return
		}
		rejection := Answer{Status: Rejected}
		if request.Config.SendRetryAfter { // without a maximum, 0, no time is stated here: the server then puts one in
			rejection.RetryAfter = min(request.Config.MaxRetryAfter, 2*requestlog.PeerTimeoutMs)
		}
		n.withdraw(request, call, rejection)
		return
	}
	// Another node has the request, or there is no quorum: this node must not state an outcome.
	n.withdraw(request, call, Answer{Status: RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
}

// latestStart returns the time, in ms of the node's clock, before which the attempt must begin: the end of the lease,
// and of the time for which a backend recognizes a repeated idempotency key. An attempt that has not been sent by then
// ends as one that never ran.
func (n *Node) latestStart(request *Request, reply requestlog.Reply) float64 {
	latest := reply.SentAt + requestlog.LeaseMs
	if class := request.Config.Classes[request.Class]; class.Idempotency == balancer.IdempotentWithKey {
		// The window counts from the earliest attempt that may have run, which may be this one.
		latest = min(latest, request.UncertainAttempt().SentAt+class.DedupWindow)
	}
	return latest
}

// withdraw ends a request, because an attempt of it may not be sent. The client is still there and gets the answer.
func (n *Node) withdraw(request *Request, call *upstream.Call, answer Answer) {
	if !request.answered {
		request.finish(answer)
		n.decider.RequestAbandoned(n.now, &request.Request)
	}
	call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
}

// recordAttemptEnd records that an attempt never ran, so that a successor may send the request again. Other outcomes are
// not recorded: to a successor, an attempt without a recorded end may have run.
//
// Nobody waits for this record. If it is lost with the link to the log's leader, it is sent again only after requestlog's
// callRetryMs, and the next attempt's record may be committed before it. If this node dies in between, its successor takes
// both attempts for uncertain; Entry.TakeoverAction fails the request where no backend would recognize both.
func (n *Node) recordAttemptEnd(request *Request, attempt *balancer.Attempt, outcome balancer.Outcome) {
	if request.Logged == nil || !request.Logged.hasRecord || !outcome.NeverRan() {
		return
	}
	record := requestlog.Record{
		Kind:    requestlog.AttemptEnded,
		Key:     request.Logged.IdempotencyKey,
		Attempt: requestlog.Attempt{Number: attempt.Number, Outcome: outcome},
	}
	n.requestLog.Append(record, request.Deadline, func(requestlog.Reply) {})
}

// continuesWithoutClient reports whether a request goes on after its client has gone: it is logged, and one of its
// attempts has begun. Attempts that have not begun are canceled.
func (n *Node) continuesWithoutClient(request *Request) bool {
	if request.Logged == nil {
		return false
	}
	hasBegun := false
	for _, call := range request.calls {
		if !call.CancelIfNotStarted() {
			hasBegun = true
		}
	}
	return hasBegun
}

// abandonRequest ends a request whose client is gone and that does not continue. If it is logged, no attempt of it has
// begun, and its key becomes unused again.
func (n *Node) abandonRequest(request *Request) {
	request.markAnswered()
	if request.Logged != nil && len(request.Attempts) > 0 {
		n.recordAnswer(request, Answer{Status: Rejected}, requestlog.FinalAnswer{Status: requestlog.Rejected})
	}
}

// finish gives a request its final answer. For a logged request the answer is committed first, so that all who ask with
// its key get the same one. A rejection of a logged request that must not be repeated becomes a failure here.
func (n *Node) finish(request *Request, answer Answer) {
	if request.Logged == nil || request.answered || len(request.Attempts) == 0 { // without attempts the log has no record
		request.finish(answer)
		return
	}
	request.markAnswered()
	final := requestlog.FinalAnswer{Status: requestlog.Failed, HTTPStatus: http.StatusBadGateway}
	switch {
	case answer.Status == Served:
		final = answerForLog(answer.Reply, request.Logged.MaxAnswerBytes)
	case answer.Status == Rejected && canRejectLogged(request):
		final = requestlog.FinalAnswer{Status: requestlog.Rejected}
	case answer.Status == Rejected:
		answer = Answer{Status: Failed}
	}
	n.recordAnswer(request, answer, final)
}

// canRejectLogged reports whether a logged request may be rejected, which frees its key: no attempt has run, or the
// request is idempotent. A request with an idempotency key that may have run must fail instead, because the backends may
// have forgotten the key when the client comes back.
//
// This is stricter than the rule for all other requests, balancer's rejectOrFail. It is the owner's side of
// requestlog.Entry.CanReject, by which a successor decides; change the two together.
func canRejectLogged(request *Request) bool {
	return request.UncertainAttempt() == nil ||
		request.Config.Classes[request.Class].Idempotency == balancer.Idempotent
}

// recordAnswer appends the final answer to the request log and delivers it once it is committed. If the log has another
// answer already, that one is delivered. If neither is known by the deadline, the answer is RetryLater.
func (n *Node) recordAnswer(request *Request, answer Answer, final requestlog.FinalAnswer) {
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: request.Logged.IdempotencyKey, Answer: final}
	deadline := math.Max(request.Deadline, n.now) + answerRecordGraceMs
	n.requestLog.Append(record, deadline, func(reply requestlog.Reply) {
		switch reply.Result {
		case requestlog.Committed:
			request.deliver(answer)
			return
		case requestlog.KeyAnswered:
			request.deliver(AnswerFromLog(reply.Answer))
		default:
			request.deliver(Answer{Status: RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
		}
		answer.Reply.Release()
	})
}

// answerForLog returns a response as the log stores it. Of a response that is longer than maxBytes the log stores only
// that there was one.
func answerForLog(reply *upstream.Reply, maxBytes int) requestlog.FinalAnswer {
	final := requestlog.FinalAnswer{Status: requestlog.Served, HTTPStatus: http.StatusOK}
	header := reply.Header.Clone()
	upstream.RemoveHopByHop(header)
	var encodedHeader bytes.Buffer
	_ = header.Write(&encodedHeader)
	final.Truncated = reply.Stream != nil || len(reply.Body)+encodedHeader.Len() > maxBytes
	if !final.Truncated {
		final.Header, final.Body = encodedHeader.Bytes(), reply.Body
	}
	return final
}

// AnswerFromLog returns a logged answer as a client gets it.
func AnswerFromLog(final requestlog.FinalAnswer) Answer {
	switch final.Status {
	case requestlog.Served:
		reply := &upstream.Reply{Status: final.HTTPStatus, Header: http.Header{}, Body: final.Body}
		lines := bufio.NewReader(bytes.NewReader(append(final.Header, "\r\n"...)))
		if header, err := textproto.NewReader(lines).ReadMIMEHeader(); err == nil {
			reply.Header = http.Header(header)
		}
		if final.Truncated {
			reply.Header.Set(truncatedAnswerHeader, truncatedAnswerValue)
		}
		return Answer{Status: Served, Reply: reply}
	case requestlog.Rejected:
		return Answer{Status: Rejected}
	}
	return Answer{Status: Failed}
}
