package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An overdue attempt is hedged at another backend, within the retry budget. The first answer cancels the other attempt.
func TestOverdueAttempts(t *testing.T) {
	for _, c := range []struct {
		class int
		extra float64
		want  string
	}{{0, 5, "attempt:a"}, {0, 0, ""}, {1, 5, ""}} {
		h := newHarness(t, testConfig(), 2)
		request := h.requestArrives("a", c.class, 10)
		h.decisions()
		h.balancer.retries.tokens = c.extra
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

// A connection falls silent, or an answer stops short, while its backend goes on answering others. What later answers have
// overtaken is no fault of the backend, and takes no capacity from others.
func TestOvertakenAttempts(t *testing.T) {
	for name, answered := range map[string]float64{"never": 0, "before it is overdue": 1, "after": 450} {
		h := newHarness(t, testConfig(), 1)
		h.learnHints()
		b := h.backends[0]
		b.maxInFlight = 2
		request := h.requestArrives("lost", 1, 10)
		require.Equal(t, "attempt:lost", h.decisions(), name)
		h.advance(answered).decisions()
		if answered > 0 {
			h.endAttempt(h.sendShort(b), OutcomeAnswered)
		}
		h.advance(500).decisions()
		assert.Equal(t, answered == 0, len(b.inFlight) == 1, name)
		before := b.suspicion.get(h.now, suspicionHalfLifeMs)
		assert.Equal(t, answered == 1, before == 0, name)
		h.endAttempt(request.Attempts[0], OutcomeTimedOut)
		assert.Equal(t, answered == 0, b.suspicion.get(h.now, suspicionHalfLifeMs) > before, name)
		assert.Empty(t, b.inFlight, name)
		assert.Zero(t, b.workInFlight, name)
	}
}

// Hedging is not allowed, and a backend is silent while others answer. A request with an idempotency key leaves it: the
// attempt is canceled, and another one sent within its scope only once that has ended. Requests of other classes stay, and
// so do all where nobody answers.
func TestRequestLeavesASilentBackend(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		others bool
		want   string
	}{
		"idempotency key": {2, true, "cancel:a"}, "at-most-once": {1, true, ""}, "nobody answers": {2, false, ""},
	} {
		config := testConfig()
		config.AllowHedging = false
		h := newHarness(t, config, 3)
		request := h.requestArrives("a", c.class, 10)
		h.decisions()
		silent := request.Attempts[0].Backend
		h.balancer.addSuspicion(silent, 1)
		if c.others {
			h.advance(10).requestArrives("b", 1, 10)
			h.decisions()
			p := h.requests["b"].Attempts[0]
			require.NotSame(t, silent, p.Backend)
			h.advance(10).endAttempt(p, OutcomeAnswered)
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

// Backends replaced in bulk refuse connections for as long as the list is late: a request that never ran is not given up
// because hedges have used up the retry budget.
func TestAttemptsThatNeverRanCostNoBudget(t *testing.T) {
	for how, want := range map[Outcome]string{OutcomeConnectFailed: "attempt:a", OutcomeRejected: "attempt:a", OutcomeFailed: "reject:a"} {
		h := newHarness(t, testConfig(), 3)
		h.balancer.retries.tokens = 0
		request := h.requestArrives("a", 0, 10)
		require.Equal(t, "attempt:a", h.decisions())
		h.endAttempt(request.Attempts[0], how)
		assert.Equal(t, want, h.decisions(), how)
		assert.InDelta(t, 0.1, h.balancer.retries.tokens, 1e-9, "what the request itself earned remains: %v", how)
	}
}
