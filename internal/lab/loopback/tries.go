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

// Headers that clients send.
const (
	headerTraceID     = "X-Trace-Id"
	headerClass       = "X-Qos"
	headerTimeout     = "X-Expires-In-Ms"
	headerCostHint    = "X-Size-Hint"
	headerClientRetry = "X-Second-Try"
)

const (
	// slackMs is the tolerance for answers after the deadline, which covers the delays of sockets and processes.
	slackMs = 50.0
	// maxAnswerBytes is the maximum number of bytes of an answer that are read.
	maxAnswerBytes = 1 << 20
	// answerWithoutBackend is the attempt number for a served request whose answer came from no backend. The auditor reports it as a
	// violation.
	answerWithoutBackend = invariants.AnyAttempt - 1
)

// try represents one time that a client sends a request.
type try struct {
	id       uint64
	request  *workload.Request
	number   int // from 0
	behavior workload.Behavior
	node     *node
	sentAt   float64
	accepted atomic.Bool // whether the try was written to the node's connection completely
}

// tryResult holds the result of a try for its client.
type tryResult struct {
	outcome    workload.Outcome
	retryAfter float64 // Retry-After of a rejection, in ms
	clientGone bool    // whether the client has disconnected, and so doesn't retry
}

// nodeAnswer holds a node's complete answer.
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
		return c.recordAnswer(t, answer)
	}
	switch {
	case ctx.Err() != nil: // the run has ended, and no answer is expected
		c.recordClientGone(t.id)
		return tryResult{outcome: workload.OutcomeLost, clientGone: true}
	case behavior.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded):
		c.recordClientGone(t.id)
		return tryResult{outcome: workload.OutcomeLost, clientGone: true}
	case tryCtx.Err() != nil: // the auditor determines whether an answer was due
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)) // to the end, so that the connection can be reused
	_ = response.Body.Close()
	return nodeAnswer{status: response.StatusCode, header: response.Header, body: body, isLate: m.now() > deadline}, err
}

// httpRequest returns the HTTP request of a try.
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

// recordAnswer records a node's answer, and returns the try's result for the client.
func (c *clients) recordAnswer(t *try, answer nodeAnswer) tryResult {
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
		event.Attempt = answerWithoutBackend
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

// answerKind returns the kind of a node's answer by its status code.
func answerKind(status int) invariants.Answer {
	switch status {
	case http.StatusOK:
		return invariants.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return invariants.Rejected
	}
	return invariants.Failed
}
