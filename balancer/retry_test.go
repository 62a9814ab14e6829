package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An overdue attempt is hedged at another backend, within the retry budget. The first answer cancels the other attempt.
func TestOverdueAttempts(t *testing.T) {
	for _, c := range []struct {
		class  int
		tokens float64
		want   string
	}{{0, 5, "attempt:a"}, {0, 0, ""}, {1, 5, ""}} {
		h := newHarness(t, testConfig(), 2)
		request := h.requestArrives("a", c.class, 10)
		h.decisions()
		h.balancer.retries.tokens = c.tokens
		assert.Equal(t, c.want, h.advance(400).decisions(), "%+v", c)
		if c.want != "" {
			assert.NotEqual(t, request.Attempts[0].Backend, request.Attempts[1].Backend)
			h.endAttempt(request.Attempts[1], OutcomeAnswered)
			assert.Equal(t, "cancel:a", h.decisions())
			h.endAttempt(request.Attempts[0], OutcomeCanceled)
			assert.True(t, request.IsDone())
		}
	}
}

// A connection stalls, or an answer is incomplete, while the backend goes on answering other attempts. An attempt
// overtaken by later answers must not raise the backend's suspicion or use its capacity.
func TestOvertakenAttempts(t *testing.T) {
	for name, answered := range map[string]float64{"never": 0, "before it is overdue": 1, "after": 450} {
		h := newHarness(t, testConfig(), 1)
		h.learnHints()
		backend := h.backends[0]
		backend.maxInFlight = 2
		request := h.requestArrives("lost", 1, 10)
		require.Equal(t, "attempt:lost", h.decisions(), name)
		h.advance(answered).decisions()
		if answered > 0 {
			h.endAttempt(h.sendShort(backend), OutcomeAnswered)
		}
		h.advance(500).decisions()
		assert.Equal(t, answered == 0, len(backend.inFlight) == 1, name)
		before := backend.suspicion.get(h.now, suspicionHalfLifeMs)
		assert.Equal(t, answered == 1, before == 0, name)
		h.endAttempt(request.Attempts[0], OutcomeTimedOut)
		assert.Equal(t, answered == 0, backend.suspicion.get(h.now, suspicionHalfLifeMs) > before, name)
		assert.Empty(t, backend.inFlight, name)
		assert.Zero(t, backend.workInFlight, name)
	}
}

// Hedging is not allowed, and one backend does not answer while others do. The attempt of a request with an idempotency
// key is canceled, and another one is sent, within the key's scope and only after the first has ended. At-most-once
// requests are not moved, and no request is if no backend answers.
func TestOverdueRequestMovesFromSilentBackend(t *testing.T) {
	for name, c := range map[string]struct {
		class        int
		othersAnswer bool
		want         string
	}{
		"idempotency key": {2, true, "cancel:a"}, "at-most-once": {1, true, ""}, "none answers": {2, false, ""},
	} {
		config := testConfig()
		config.AllowHedging = false
		h := newHarness(t, config, 3)
		request := h.requestArrives("a", c.class, 10)
		h.decisions()
		silent := request.Attempts[0].Backend
		h.balancer.addSuspicion(silent, 1)
		if c.othersAnswer {
			h.advance(10).requestArrives("b", 1, 10)
			h.decisions()
			attempt := h.requests["b"].Attempts[0]
			require.NotSame(t, silent, attempt.Backend)
			h.advance(10).endAttempt(attempt, OutcomeAnswered)
			h.decisions()
		}
		got := ""
		for range 30 {
			got += h.advance(10).decisions()
		}
		require.Equal(t, c.want, got, name)
		if got != "" {
			h.endAttempt(request.Attempts[0], OutcomeCanceled)
			assert.Equal(t, "attempt:a", h.decisions())
			assert.NotSame(t, silent, request.Attempts[1].Backend)
		}
	}
}

// When many backends are replaced at the same time, they refuse connections until the endpoint list is updated. A
// request that never ran must then be retried even if hedges have used up the retry budget.
func TestAttemptsThatNeverRanCostNoBudget(t *testing.T) {
	for outcome, want := range map[Outcome]string{OutcomeConnectFailed: "attempt:a", OutcomeRejected: "attempt:a", OutcomeFailed: "reject:a"} {
		h := newHarness(t, testConfig(), 3)
		h.balancer.retries.tokens = 0
		request := h.requestArrives("a", 0, 10)
		require.Equal(t, "attempt:a", h.decisions())
		h.endAttempt(request.Attempts[0], outcome)
		assert.Equal(t, want, h.decisions(), outcome)
		assert.InDelta(t, 0.1, h.balancer.retries.tokens, 1e-9, "the token share of the request itself is left: %v", outcome)
	}
}
