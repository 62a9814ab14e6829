package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An attempt has ended without an answer. Depending on its class and on whether it may have run, the request is
// retried at another backend, rejected so that its client may send it again, or failed.
func TestWhatFollowsAnOutcome(t *testing.T) {
	const retried, rejected, failed = "attempt:a", "reject:a", "fail:a"
	for _, c := range []struct {
		class    int
		how      Outcome
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
		h.advance(5).endAttempt(request.Attempts[0], c.how)
		assert.Equal(t, c.want, h.decisions(), "%+v", c)
		assert.Equal(t, c.want != retried, request.IsDone(), "%+v", c)
		if c.want != retried {
			assert.Empty(t, h.advance(5000).decisions(), "after the final answer nothing is sent: %+v", c)
		}
	}
}

// checkRules alone decides whether an attempt may go out, whatever picked the backend.
func TestRulesOfEveryAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		before func(*harness, *Request)
		want   bool
	}{
		"eligible":                     {0, func(*harness, *Request) {}, true},
		"draining":                     {0, func(h *harness, _ *Request) { h.setState(BackendDraining, 0, h.backends[1]) }, false},
		"gone":                         {0, func(h *harness, _ *Request) { h.setState(BackendRemoved, 0, h.backends[1]) }, false},
		"deadline passed":              {0, func(h *harness, _ *Request) { h.now += 4000; h.balancer.now = h.now }, false},
		"client gone":                  {0, func(h *harness, request *Request) { h.balancer.RequestAbandoned(h.now, request) }, false},
		"stream begun":                 {0, func(h *harness, request *Request) { h.balancer.ResponseStarted(h.now, request.Attempts[0]) }, false},
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
		c.before(h, request)
		assert.Equal(t, c.want, h.balancer.checkRules(request, h.backends[1]) == Eligible, name)
		if !c.want {
			assert.False(t, h.balancer.sendAttempt(request, h.backends[1]), name)
		}
	}
}

// useUpSlowStartBudget restarts the second backend and sends it all that its slow start allows.
func useUpSlowStartBudget(h *harness, _ *Request) {
	h.setState(BackendReady, h.now, h.backends[1])
	for range 1000 {
		h.balancer.sendAttempt(&Request{Config: h.balancer.config, Deadline: h.now + 4000, class: &h.balancer.config.Classes[0], work: 10}, h.backends[1])
	}
}

// A backend drains between the choice and the attempt; an attempt times out in the batch of its deadline.
func TestEventsOfOneBatch(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	request := h.requestArrives("a", 0, 10)
	h.setState(BackendDraining, 0, h.backends[0])
	assert.Equal(t, "reject:a", h.decisions())
	assert.Empty(t, request.Attempts)

	h = newHarness(t, testConfig(), 2)
	request = h.requestArrives("b", 1, 10)
	h.decisions()
	h.advance(4000).endAttempt(request.Attempts[0], OutcomeTimedOut)
	assert.Equal(t, "fail:b", h.decisions(), "answered in the batch of its time-out")
}

// A streamed request is sent once. While it comes, no backend is blamed for its client's slowness; from its last byte
// on its attempt is like any other.
func TestStreamedRequests(t *testing.T) {
	for how, want := range map[Outcome]string{OutcomeConnectFailed: "reject:a", OutcomeConnectionReset: "reject:a", OutcomeAnswered: ""} {
		h := newHarness(t, testConfig(), 3)
		request := &Request{CostHint: 10, HasCostHint: true, Deadline: h.now + 60e3, Streamed: true}
		h.requests["a"] = request
		h.balancer.RequestArrived(h.now, request)
		require.Equal(t, "attempt:a", h.decisions())
		assert.Empty(t, h.advance(5000).decisions(), "no hedge")
		b := request.Attempts[0].Backend
		assert.Zero(t, h.balancer.suspicionOf(b))
		assert.Empty(t, b.inFlight, "nor are others kept from the backend")
		assert.Zero(t, h.balancer.concurrency.inFlight)
		if how == OutcomeConnectFailed { // before the last byte was sent
			h.endAttempt(request.Attempts[0], how)
			assert.Equal(t, want, h.decisions(), how)
			assert.Zero(t, h.balancer.concurrency.inFlight)
			continue
		}
		request.Deadline = h.now + 2000
		h.balancer.RequestBodySent(h.now, request.Attempts[0])
		assert.Equal(t, 1, h.balancer.concurrency.inFlight)
		assert.Empty(t, h.advance(10).decisions())
		assert.Zero(t, h.balancer.suspicionOf(b))
		if how == OutcomeConnectionReset {
			assert.Empty(t, h.advance(1000).decisions(), "overdue, and it can't be hedged")
			assert.Positive(t, h.balancer.suspicionOf(b))
		}
		h.endAttempt(request.Attempts[0], how)
		assert.Equal(t, want, h.decisions(), how)
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
