package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After an attempt without an answer the request is retried at another backend, rejected so that its client may send it
// again, or failed. That depends on the request's class and on whether the attempt may have run.
func TestRetryRejectOrFailByOutcome(t *testing.T) {
	const retried, rejected, failed = "attempt:a", "reject:a", "fail:a"
	for _, c := range []struct {
		class    int
		outcome  Outcome
		backends int
		want     string
	}{
		{0, OutcomeFailed, 2, retried}, {0, OutcomeFailed, 1, rejected}, {0, OutcomeTimedOut, 2, retried}, {0, OutcomeConnectionReset, 2, rejected}, {0, OutcomeRejected, 2, retried},
		{1, OutcomeFailed, 2, failed}, {1, OutcomeTimedOut, 2, failed}, {1, OutcomeConnectionReset, 2, failed}, {1, OutcomeCanceled, 2, failed},
		{1, OutcomeRejected, 2, retried}, {1, OutcomeConnectFailed, 2, retried}, {1, OutcomeNotSent, 2, retried}, {1, OutcomeRejected, 1, rejected},
		{2, OutcomeFailed, 2, retried}, {2, OutcomeFailed, 1, failed}, {2, OutcomeRejected, 1, rejected},
		{3, OutcomeFailed, 1, rejected}, {3, OutcomeTimedOut, 2, retried},
		{0, OutcomeAnswered, 2, ""}, {1, OutcomeAnswered, 2, ""},
	} {
		h := newHarness(t, testConfig(), c.backends)
		request := h.requestArrives("a", c.class, 10)
		require.Equal(t, retried, h.decisions())
		h.advance(5).endAttempt(request.Attempts[0], c.outcome)
		assert.Equal(t, c.want, h.decisions(), "%+v", c)
		assert.Equal(t, c.want != retried, request.IsDone(), "%+v", c)
		if c.want != retried {
			assert.Empty(t, h.advance(5000).decisions(), "no decision after the final answer: %+v", c)
		}
	}
}

// checkRules must decide whether an attempt may be sent, however its backend was selected.
func TestCheckRules(t *testing.T) {
	for name, c := range map[string]struct {
		class   int
		prepare func(*harness, *Request)
		want    bool
	}{
		"eligible":                     {0, func(*harness, *Request) {}, true},
		"draining":                     {0, func(h *harness, _ *Request) { h.setState(BackendDraining, 0, h.backends[1]) }, false},
		"gone":                         {0, func(h *harness, _ *Request) { h.setState(BackendRemoved, 0, h.backends[1]) }, false},
		"deadline passed":              {0, func(h *harness, _ *Request) { h.now += 4000; h.balancer.now = h.now }, false},
		"request abandoned":            {0, func(h *harness, request *Request) { h.balancer.RequestAbandoned(h.now, request) }, false},
		"response started":             {0, func(h *harness, request *Request) { h.balancer.ResponseStarted(h.now, request.Attempts[0]) }, false},
		"hedging not allowed":          {0, func(h *harness, _ *Request) { h.balancer.config.AllowHedging = false }, false},
		"attempts used up":             {0, func(h *harness, _ *Request) { h.balancer.config.MaxAttempts = 1 }, false},
		"at-most-once, in flight":      {1, func(*harness, *Request) {}, false},
		"at-most-once, quick error":    {1, func(h *harness, request *Request) { h.endAttempt(request.Attempts[0], OutcomeFailed) }, false},
		"at-most-once, never ran":      {1, func(h *harness, request *Request) { h.endAttempt(request.Attempts[0], OutcomeRejected) }, true},
		"idempotency key, same scope":  {2, func(*harness, *Request) {}, true},
		"idempotency key, other scope": {2, func(h *harness, _ *Request) { h.backends[1].Zone = 1 }, false},
		"idempotency key, forgotten":   {2, func(h *harness, _ *Request) { h.balancer.now += 500 }, false},
		"idempotency key, never ran": {2, func(h *harness, request *Request) {
			h.endAttempt(request.Attempts[0], OutcomeConnectFailed)
			h.balancer.now += 600
		}, true},
		"idempotency key, everywhere, any zone": {3, func(h *harness, _ *Request) { h.backends[1].Zone = 1 }, true},
		"just started, budget left":             {0, func(h *harness, _ *Request) { h.setState(BackendReady, h.now, h.backends[1]) }, true},
		"just started, budget used up":          {0, useUpSlowStartBudget, false},
		"budget used up, window over":           {0, func(h *harness, request *Request) { useUpSlowStartBudget(h, request); h.balancer.now += 2001 }, true},
		"budget used up before it restarted": {0, func(h *harness, request *Request) {
			h.backends[1].recentWork.add(h.now, 2000, 1e4)
			useUpSlowStartBudget(h, request)
		}, false},
	} {
		h := newHarness(t, testConfig(), 2)
		request := h.requestArrives("a", c.class, 10)
		request.Deadline = h.now + 3000
		h.decisions()
		if request.Attempts[0].Backend != h.backends[0] {
			h.backends[0], h.backends[1] = h.backends[1], h.backends[0]
		}
		c.prepare(h, request)
		assert.Equal(t, c.want, h.balancer.checkRules(request, h.backends[1]) == Eligible, name)
		if !c.want {
			assert.False(t, h.balancer.sendAttempt(request, h.backends[1]), name)
		}
	}
}

// useUpSlowStartBudget restarts the second backend and sends it requests until its slow start budget is used up.
func useUpSlowStartBudget(h *harness, _ *Request) {
	h.setState(BackendReady, h.now, h.backends[1])
	for range 1000 {
		h.balancer.sendAttempt(&Request{Config: h.balancer.config, Deadline: h.now + 4000, class: &h.balancer.config.Classes[0], work: 10}, h.backends[1])
	}
}

// Events of one batch: a backend drains after a request arrived and before its attempt is sent, and an attempt times out at
// the request's deadline.
func TestEventsInSameBatch(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	request := h.requestArrives("a", 0, 10)
	h.setState(BackendDraining, 0, h.backends[0])
	assert.Equal(t, "reject:a", h.decisions())
	assert.Empty(t, request.Attempts)

	h = newHarness(t, testConfig(), 2)
	request = h.requestArrives("b", 1, 10)
	h.decisions()
	h.advance(4000).endAttempt(request.Attempts[0], OutcomeTimedOut)
	assert.Equal(t, "fail:b", h.decisions(), "failed in the batch of its time-out")
}

// A streamed request is sent at most once. While its body is received, a slow client must not raise the backend's suspicion
// or use its capacity. After the last byte its attempt counts like any other.
func TestStreamedRequests(t *testing.T) {
	for outcome, want := range map[Outcome]string{OutcomeConnectFailed: "reject:a", OutcomeConnectionReset: "reject:a", OutcomeAnswered: ""} {
		h := newHarness(t, testConfig(), 3)
		request := &Request{CostHint: 10, HasCostHint: true, Deadline: h.now + 60e3, Streamed: true}
		h.requests["a"] = request
		h.balancer.RequestArrived(h.now, request)
		require.Equal(t, "attempt:a", h.decisions())
		assert.Empty(t, h.advance(5000).decisions(), "no hedge")
		backend := request.Attempts[0].Backend
		assert.Zero(t, h.balancer.suspicionOf(backend))
		assert.Empty(t, backend.inFlight, "the attempt uses no capacity of the backend")
		assert.Zero(t, h.balancer.concurrency.inFlight)
		if outcome == OutcomeConnectFailed { // before the last byte was sent
			h.endAttempt(request.Attempts[0], outcome)
			assert.Equal(t, want, h.decisions(), outcome)
			assert.Zero(t, h.balancer.concurrency.inFlight)
			continue
		}
		request.Deadline = h.now + 2000
		h.balancer.RequestBodySent(h.now, request.Attempts[0])
		assert.Equal(t, 1, h.balancer.concurrency.inFlight)
		assert.Empty(t, h.advance(10).decisions())
		assert.Zero(t, h.balancer.suspicionOf(backend))
		if outcome == OutcomeConnectionReset {
			assert.Empty(t, h.advance(1000).decisions(), "overdue, and it can't be hedged")
			assert.Positive(t, h.balancer.suspicionOf(backend))
		}
		h.endAttempt(request.Attempts[0], outcome)
		assert.Equal(t, want, h.decisions(), outcome)
		assert.Zero(t, h.balancer.concurrency.inFlight)
	}
	h := newHarness(t, testConfig(), 2)
	request := &Request{Class: 1, CostHint: 10, HasCostHint: true, Deadline: h.now + 60e3, Streamed: true}
	h.requests["once"] = request
	h.balancer.RequestArrived(h.now, request)
	h.decisions()
	h.balancer.RequestBodySent(h.now, request.Attempts[0])
	h.endAttempt(request.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "fail:once", h.decisions())
}
