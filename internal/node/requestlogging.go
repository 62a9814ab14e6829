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
	// attemptRecordTimeoutMs is how long an attempt waits until a majority has its record: an election's time.
	// After that the request goes by its class's rule for a log that does not answer.
	attemptRecordTimeoutMs = 1500.0

	// answerRecordGraceMs is how long past its deadline a request waits until a majority has its answer.
	answerRecordGraceMs = 30.0
)

// truncatedAnswerHeader marks a served answer of which the request log has no header and body: they were too long.
const (
	truncatedAnswerHeader = "Pearknot-Answer"
	truncatedAnswerValue  = "not kept"
)

// LoggedRequest is what the request log knows a request by.
type LoggedRequest struct {
	Key                  string
	Fingerprint          uint64 // of method, path and body
	ProceedWithoutQuorum bool   // the request goes on unlogged where no majority answers
	MaxAnswerBytes       int    // of an answer's header and body in the log

	// The node's actor alone uses the following fields.
	takenOver bool // from another node
	hasRecord bool // the log has a record of it
}

// LogRequests has requests that carry a LoggedRequest logged by peers. It is called before Start.
func (n *Node) LogRequests(log *peers.Peers) { n.requestLog = log }

// logAttemptStart appends the attempt's record to the request log. The attempt is sent once a majority has the
// record, so that a successor knows of every attempt that may have run.
func (n *Node) logAttemptStart(request *Request, attempt *balancer.Attempt, call *upstream.Call) {
	record := requestlog.Record{
		Kind: requestlog.AttemptStarted,
		Key:  request.Logged.Key,
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
				n.attemptStartLogged(request, attempt, call, reply)
			} else {
				call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
			}
		})
	})
}

// loggedForm is what a successor needs of a request.
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

// attemptStartLogged takes the log's reply to an attempt's record, and sends the attempt if it is committed.
//
// A node that stood still or was cut off may get the reply when a successor has the request already. The
// attempt therefore has to begin within the lease, counted from when the record was sent; until its end no
// other node takes the request over.
func (n *Node) attemptStartLogged(request *Request, attempt *balancer.Attempt, call *upstream.Call, reply requestlog.Reply) {
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
		if request.Config.SendRetryAfter {
			rejection.RetryAfter = min(request.Config.MaxRetryAfter, 2*requestlog.PeerTimeoutMs)
		}
		n.withdraw(request, call, rejection)
		return
	}
	// Another node has the request, or nobody answers: this node must not state an outcome.
	n.withdraw(request, call, Answer{Status: RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
}

// latestStart is until when the attempt may begin: within the lease, and within the time for which a backend
// recognizes a repeated idempotency key. An attempt that is not sent by then ends as one that never ran.
func (n *Node) latestStart(request *Request, reply requestlog.Reply) float64 {
	latest := reply.SentAt + requestlog.LeaseMs
	if class := request.Config.Classes[request.Class]; class.Idempotency == balancer.IdempotentWithKey {
		// The earliest attempt that may have run began that time; it may be this one.
		latest = min(latest, request.UncertainAttempt().SentAt+class.DedupWindow)
	}
	return latest
}

// withdraw ends a request whose attempt is not sent.
func (n *Node) withdraw(request *Request, call *upstream.Call, answer Answer) {
	if !request.answered {
		request.finish(answer)
		n.decider.ClientGone(n.now, &request.Request)
	}
	call.OnDone(upstream.Result{Outcome: balancer.OutcomeNotSent})
}

// logAttemptEnd records an attempt that never ran: a successor may then send the request again.
func (n *Node) logAttemptEnd(request *Request, attempt *balancer.Attempt, outcome balancer.Outcome) {
	if request.Logged == nil || !request.Logged.hasRecord || !outcome.NeverRan() {
		return
	}
	record := requestlog.Record{
		Kind:    requestlog.AttemptEnded,
		Key:     request.Logged.Key,
		Attempt: requestlog.Attempt{Number: attempt.Number, Outcome: outcome},
	}
	n.requestLog.Append(record, request.Deadline, func(requestlog.Reply) {})
}

// continuesWithoutClient reports whether a request whose client is gone goes on: it is logged and one of its
// attempts has begun. The attempts that have not begun never do.
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

// abandonRequest ends a request that nobody is owed an answer of, and frees its key if the log has that.
func (n *Node) abandonRequest(request *Request) {
	request.markAnswered()
	if request.Logged != nil && len(request.Attempts) > 0 {
		n.logAnswer(request, Answer{Status: Rejected}, requestlog.FinalAnswer{Status: requestlog.Rejected})
	}
}

// finish gives a request its final answer. A logged request gets it once a majority has it, so that all who ask
// with its key get the same one.
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
	n.logAnswer(request, answer, final)
}

// canRejectLogged reports whether a logged request's key may be free again. A request with an idempotency key
// that may have run must fail instead: the backend may have forgotten the key when the client comes back.
func canRejectLogged(request *Request) bool {
	return request.UncertainAttempt() == nil ||
		request.Config.Classes[request.Class].Idempotency == balancer.Idempotent
}

// logAnswer records the final answer, and delivers it once that is committed. Where another node has recorded an
// answer before, that one counts.
func (n *Node) logAnswer(request *Request, answer Answer, final requestlog.FinalAnswer) {
	record := requestlog.Record{Kind: requestlog.RequestAnswered, Key: request.Logged.Key, Answer: final}
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

// answerForLog is a response as the log keeps it. Of one that is longer than maxBytes it keeps only that there
// was one.
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

// AnswerFromLog is a logged answer as a client gets it.
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
