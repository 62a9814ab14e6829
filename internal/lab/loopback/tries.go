package loopback

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/workload"
)

// The headers of the protocol that clients send.
const (
	headerTraceID     = "X-Trace-Id"
	headerClass       = "X-Qos"
	headerTimeout     = "X-Expires-In-Ms"
	headerCostHint    = "X-Size-Hint"
	headerClientRetry = "X-Second-Try"
)

const (
	// slackMs is how much later than its deadline an answer may come for what sockets and processes take.
	slackMs = 50.0
	// maxAnswerBytes is how much of an answer is read.
	maxAnswerBytes = 1 << 20
	// answerOfNobody stands for the attempt of a served request whose answer no backend made. The auditor takes it for a violation.
	answerOfNobody = invariants.AnyAttempt - 1
)

// try is one sending of a client's request.
type try struct {
	id       uint64
	request  *workload.Request
	number   int // from 0
	behavior workload.Behavior
	node     *node
	sentAt   float64
	accepted atomic.Bool // the node's connection has taken all of it
}

// tryResult is how a try ended for its client.
type tryResult struct {
	outcome    workload.Outcome
	retryAfter float64 // ms that a rejection asked the client to wait
	clientGone bool    // the client has disconnected, and does not retry
}

// nodeAnswer is a node's answer, read to its end.
type nodeAnswer struct {
	status int
	header http.Header
	body   []byte
	isLate bool
}

// send sends a request once, and waits for the answer.
func (c *clients) send(ctx context.Context, request *workload.Request, number int) tryResult {
	m := c.monitor
	m.mu.Lock()
	m.recorder.RequestSent()
	behavior := c.source.Behavior(request, number)
	m.mu.Unlock()
	node := c.pickNode(request.Zone)
	if node == nil {
		return tryResult{outcome: workload.OutcomeUnreachable}
	}
	t := &try{id: workload.TryID(request.ID, number), request: request, number: number, behavior: behavior, node: node, sentAt: m.now()}
	patience := behavior.Timeout + slackMs
	if behavior.DisconnectAfter > 0 {
		patience = behavior.DisconnectAfter
	}
	tryCtx, cancel := context.WithDeadline(ctx, m.wallTime(t.sentAt+patience))
	defer cancel()
	answer, err := c.roundTrip(tryCtx, t)
	if err == nil {
		return c.judgeAnswer(t, answer)
	}
	switch {
	case ctx.Err() != nil: // the run has ended, and no answer is owed
		c.recordClientGone(t.id)
		return tryResult{outcome: workload.OutcomeLost, clientGone: true}
	case behavior.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded):
		c.recordClientGone(t.id)
		return tryResult{outcome: workload.OutcomeLost, clientGone: true}
	case tryCtx.Err() != nil: // the auditor finds out whether an answer was owed
		m.mu.Lock()
		m.recorder.ClientTimedOut()
		m.mu.Unlock()
		return tryResult{outcome: workload.OutcomeLost}
	case !t.accepted.Load():
		return tryResult{outcome: workload.OutcomeUnreachable}
	}
	return tryResult{outcome: workload.OutcomeLost} // the connection ended without an answer
}

// roundTrip sends a try to its node and reads the answer.
func (c *clients) roundTrip(ctx context.Context, t *try) (nodeAnswer, error) {
	m := c.monitor
	deadline := t.sentAt + t.behavior.Timeout
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			t.accepted.Store(true)
			m.requestAccepted(t.id, t.node.number, t.request, deadline)
		}
	}})
	device := c.devices[t.request.ID%uint64(len(c.devices))]
	response, err := device.Do(c.httpRequest(ctx, t))
	if err != nil {
		return nodeAnswer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)) // to the end, so that the connection can be used again
	_ = response.Body.Close()
	return nodeAnswer{status: response.StatusCode, header: response.Header, body: body, isLate: m.now() > deadline}, err
}

// httpRequest returns a try as it goes to the node.
func (c *clients) httpRequest(ctx context.Context, t *try) *http.Request {
	class := c.monitor.experiment.Classes[t.request.Class]
	method, body := http.MethodGet, []byte(nil)
	if class.Idempotency != "redeliverable" {
		method, body = http.MethodPost, []byte("lab")
	}
	url := "http://" + t.node.address + "/api"
	if c.useTLS {
		url = "https://" + t.node.tlsAddress + "/api"
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the URL are always valid
	}
	r.Header.Set(headerTraceID, fmt.Sprintf("%016x", t.id))
	r.Header.Set(headerClass, class.Name)
	r.Header.Set(headerTimeout, strconv.Itoa(int(t.behavior.Timeout)))
	if t.request.HasCostHint {
		r.Header.Set(headerCostHint, strconv.FormatFloat(t.request.CostHint*1e3, 'f', 0, 64))
	}
	if t.number > 0 {
		r.Header.Set(headerClientRetry, "1")
	}
	return r
}

// judgeAnswer records a node's answer, and returns what it is to the client.
func (c *clients) judgeAnswer(t *try, answer nodeAnswer) tryResult {
	m := c.monitor
	kind := answerKind(answer.status)
	event := invariants.Event{
		Kind:    invariants.RequestAnswered,
		Node:    t.node.number,
		Request: t.id,
		Answer:  kind,
		Attempt: invariants.AnyAttempt,
	}
	if kind == invariants.Served && string(answer.body) != responseBody(t.id) {
		event.Attempt = answerOfNobody
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordEventLocked(event)
	m.recorder.NodeAnswered(m.now(), kind)
	switch kind {
	case invariants.Rejected:
		m.progress.Rejected++
		seconds, _ := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
		return tryResult{outcome: workload.OutcomeRejected, retryAfter: seconds * 1e3}
	case invariants.Failed:
		m.progress.Failed++
		return tryResult{outcome: workload.OutcomeLost}
	}
	if answer.isLate {
		return tryResult{outcome: workload.OutcomeLost}
	}
	return tryResult{outcome: workload.OutcomeServed}
}

// answerKind returns what a node's answer says, by its status.
func answerKind(status int) invariants.Answer {
	switch status {
	case http.StatusOK:
		return invariants.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return invariants.Rejected
	}
	return invariants.Failed
}
