package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// clientRetryArrives has a client's retry of a request arrive.
func (h *harness) clientRetryArrives(name string, class int) {
	request := &Request{Class: class, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, IsClientRetry: true}
	h.requests[name] = request
	h.balancer.RequestArrived(h.now, request)
}

// Regression: requests that crash any backend that runs them crashed two or three backends each, through the balancer's and
// their clients' retries, until a third of the fleet was down or warming up.
func TestPoisonRequestsAreNotRetried(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	a := h.requestArrives("a", 0, 10)
	require.Equal(t, "attempt:a", h.decisions())
	h.advance(5).endAttempt(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "reject:a", h.decisions(), "not retried")
	h.clientRetryArrives("again", 0)
	require.Equal(t, "reject:again", h.decisions())
	h.clientRetryArrives("marked", 3)
	require.Equal(t, "reject:marked", h.decisions())
	h.clientRetryArrives("once", 1) // at-most-once: the client repeats it only if it never ran
	require.Equal(t, "attempt:once", h.decisions())
	h.requestArrives("first", 0, 10) // first tries of all classes are still accepted
	require.Equal(t, "attempt:first", h.decisions())
	h.endAttempt(h.requests["once"].Attempts[0], OutcomeAnswered)
	h.endAttempt(h.requests["first"].Attempts[0], OutcomeAnswered)
	h.advance(poisonWindowMs).decisions()
	h.clientRetryArrives("later", 0)
	require.Equal(t, "attempt:later", h.decisions(), "accepted after the poison window")
}

// The opposite case of TestPoisonRequestsAreNotRetried: if a backend answers right after a reset, the connection failed
// and not the backend, and retries go on. A plain crash, which ends at once, must not affect first tries.
func TestIsolatedResetsDoNotBlockRetries(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	a := h.requestArrives("a", 0, 10)
	h.requestArrives("b", 0, 10)
	require.Equal(t, "attempt:a attempt:b", h.decisions())
	h.advance(5).endAttempt(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "reject:a", h.decisions())
	h.advance(5).endAttempt(h.requests["b"].Attempts[0], OutcomeAnswered)
	h.clientRetryArrives("again", 0)
	require.Equal(t, "attempt:again", h.decisions())
	other := &Backend{ID: 9}
	h.setState(BackendReady, 0, other)
	h.endAttempt(h.requests["again"].Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "attempt:again", h.decisions(), "retried")
	require.Equal(t, other, h.requests["again"].Attempts[1].Backend)
	before := h.balancer.suspicionOf(other)
	h.endAttempt(h.requests["again"].Attempts[1], OutcomeConnectionReset)
	require.Equal(t, before, h.balancer.suspicionOf(other), "attributed to the connection: a few backends that reset a tenth each are not ejected")
}

// An answer after a reset to an attempt that the same backend was sent before it, however late, proves that the backend
// did not crash. A node that rarely uses a backend twice within a second has no other proof; without this rule it
// rejected all clients' retries.
func TestAnswerToEarlierAttemptRulesOutCrash(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	earlier, reset := h.sendShort(h.backends[0]), h.sendShort(h.backends[0])
	h.advance(10).endAttempt(reset, OutcomeConnectionReset)
	h.decisions()
	require.True(t, h.balancer.suspectsPoisonRequest())
	h.advance(3000).endAttempt(earlier, OutcomeAnswered)
	require.False(t, h.balancer.suspectsPoisonRequest())
	other := newHarness(t, testConfig(), 1)
	other.endAttempt(other.sendShort(other.backends[0]), OutcomeConnectionReset)
	newer := other.sendShort(other.backends[0])
	other.advance(3000).endAttempt(newer, OutcomeAnswered)
	require.True(t, other.balancer.suspectsPoisonRequest(), "the backend may have restarted")
}
