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
	// handled as if the request log had no quorum. The server's lookupTimeoutMs is the same, for the same reason.
	attemptRecordTimeoutMs = requestlog.MaxElectionMs

	// answerRecordGraceMs is how long after its deadline a request waits for its answer to be committed. Together with
	// answerRecordMs, by which the server shortens the deadline, it leaves 10 ms to write the response.
	answerRecordGraceMs = 30.0
)

// truncatedAnswerHeader marks a served answer whose header and body are not in the request log because they were too
// long. Clients read this header and its value, so neither may change.
const (
	truncatedAnswerHeader = "Pearknot-Answer"
	truncatedAnswerValue  = "not kept"
)

// LoggedRequest holds the fields of a request that only the request log uses.
type LoggedRequest struct {
	ClassName            string // by name, since the node's configuration may change; see balancer.Request.Class
	TenantName           string // empty if the deployment has no tenants
	IdempotencyKey       string // identifies the request in the log, includes the tenant; balancer.Request.Key is another key
	Fingerprint          uint64 // of method, path and body
	ProceedWithoutQuorum bool   // without a quorum the request proceeds unlogged; otherwise it is rejected
	MaxAnswerBytes       int    // limit for an answer's header and body in the log

	// Only the node's actor uses the following fields.
	takenOver bool // taken over from another node
	hasRecord bool // the log contains a record of the request
}

// SetRequestLog sets the request log, in which requests with a LoggedRequest are recorded. It is called before Start.
//
// In this package, functions named record... append records to the replicated request log, and functions named log...
// write lines to the process's own log (slog).
func (n *Node) SetRequestLog(log *peers.Peers) { n.requestLog = log }

// recordAttemptStart appends the attempt's record to the request log. The attempt is sent only after the record is
// committed, so that a successor knows every attempt that may have run.
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
		record.Request = requestForLog(request)
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

// requestForLog returns the request as the log stores it, with all that a successor needs to continue it.
func requestForLog(request *Request) requestlog.Request {
	class := request.Config.Classes[request.Class]
	return requestlog.Request{
		Fingerprint:    request.Logged.Fingerprint,
		Class:          request.Logged.ClassName,
		Tenant:         request.Logged.TenantName,
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
}

// attemptStartRecorded handles the log's reply to an attempt's record, and sends the attempt if the record is committed.
//
// A node that was paused or partitioned may get the reply when a successor already has the request. The successor knows
// the attempt, since the record is committed. The attempt must still start within the lease, counted from when the record
// was sent, so that it does not start long after the successor has finished the request. The comment on takeover in
// package requestlog contains the full argument.
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
			n.abortRequest(request, call, Answer{Status: KeyTaken})
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
		if request.Config.SendRetryAfter { // 0 if there is no maximum: the server then sets a time
			rejection.RetryAfter = min(request.Config.MaxRetryAfter, 2*requestlog.PeerTimeoutMs)
		}
		n.abortRequest(request, call, rejection)
		return
	}
	// Another node has the request, or there is no quorum: this node must not report an outcome.
	n.abortRequest(request, call, Answer{Status: RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
}

// latestStart returns the time, in ms of the node's clock, before which the attempt must start: the end of the lease or
// of the time for which a backend recognizes a repeated idempotency key, whichever is earlier. An attempt that has not
// been sent by then ends as one that never ran.
func (n *Node) latestStart(request *Request, reply requestlog.Reply) float64 {
	latest := reply.SentAt + requestlog.LeaseMs
	if class := request.Config.Classes[request.Class]; class.Idempotency == balancer.IdempotentWithKey {
		// The window counts from the earliest attempt that may have run, which may be this one.
		latest = min(latest, request.UncertainAttempt().SentAt+class.DedupWindow)
	}
	return latest
}

// abortRequest ends a request because one of its attempts must not be sent. The client is still connected and gets the
// answer.
func (n *Node) abortRequest(request *Request, call *upstream.Call, answer Answer) {
	if !request.answered {
		request.finish(answer)
		n.decider.RequestAbandoned(n.now, &request.Request)
	}
	call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
}

// recordAttemptEnd records that an attempt never ran, so that a successor may send the request again. Other outcomes are
// not recorded: a successor assumes that an attempt without a recorded end may have run.
//
// Nothing waits for this record. If it is lost when the link to the log's leader fails, it is sent again only after
// requestlog's callRetryMs, and the next attempt's record may be committed before it. If this node crashes in between, its
// successor treats both attempts as uncertain; Entry.TakeoverAction fails the request if no backend would recognize both.
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

// continuesWithoutClient reports whether a request continues after its client has disconnected: it is logged, and one of
// its attempts has started. Attempts that have not started are canceled.
func (n *Node) continuesWithoutClient(request *Request) bool {
	if request.Logged == nil {
		return false
	}
	hasStarted := false
	for _, call := range request.calls {
		if !call.CancelIfNotStarted() {
			hasStarted = true
		}
	}
	return hasStarted
}

// abandonRequest ends a request whose client has disconnected and that does not continue. If it is logged, none of its
// attempts has started, and its key becomes unused again.
func (n *Node) abandonRequest(request *Request) {
	request.markAnswered()
	if request.Logged != nil && len(request.Attempts) > 0 {
		n.recordAnswer(request, Answer{Status: Rejected}, requestlog.FinalAnswer{Status: requestlog.Rejected})
	}
}

// finish ends a request with its final answer. For a logged request the answer is committed first, so that all clients
// that send its key get the same one. A rejection of a logged request that must not be repeated is changed to a failure.
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

// canRejectLogged reports whether a logged request may be rejected, which releases its key: no attempt has run, or the
// request is idempotent. A request with an idempotency key that may have run must fail instead, because the backends may
// no longer recognize the key when the client retries.
//
// This is stricter than the rule for all other requests, rejectOrFail in package balancer. It is the owner's counterpart
// of requestlog.Entry.CanReject, which a successor uses; change the two together.
func canRejectLogged(request *Request) bool {
	return request.UncertainAttempt() == nil ||
		request.Config.Classes[request.Class].Idempotency == balancer.Idempotent
}

// recordAnswer appends the final answer to the request log and delivers it once it is committed. If the log already
// contains another answer, that one is delivered. If neither is known by the deadline, the answer is RetryLater.
//
// A record whose reply is late is sent again and may be committed twice: the log then contains this answer already. It may have kept
// only a part of it. Nobody else can have given the same one, since the log refuses a former owner's record as NotOwner.
func (n *Node) recordAnswer(request *Request, answer Answer, final requestlog.FinalAnswer) {
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: request.Logged.IdempotencyKey, Answer: final}
	deadline := math.Max(request.Deadline, n.now) + answerRecordGraceMs
	n.requestLog.Append(record, deadline, func(reply requestlog.Reply) {
		isInLog := reply.Result == requestlog.Committed || reply.Result == requestlog.KeyAnswered && reply.Answer.Equal(&final)
		if isInLog {
			request.deliver(answer)
			return
		}
		switch reply.Result {
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

// AnswerFromLog returns the answer to a client for a logged answer.
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
