package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// clientRetries has a request arrive that its client sent before.
func (h *harness) clientRetries(name string, class int) {
	request := &Request{Class: class, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, IsClientRetry: true}
	h.requests[name] = request
	h.balancer.RequestArrived(h.now, request)
}

// Reported: requests that bring down whatever backend begins them took two or three each, by retries and by their clients'
// retries, until a third of a fleet was down or warming up.
func TestPoisonRequestsAreNotRetried(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	a := h.requestArrives("a", 0, 10)
	require.Equal(t, "attempt:a", h.decisions())
	h.advance(5).endAttempt(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "reject:a", h.decisions(), "not retried")
	h.clientRetries("again", 0)
	require.Equal(t, "reject:again", h.decisions())
	h.clientRetries("marked", 3)
	require.Equal(t, "reject:marked", h.decisions())
	h.clientRetries("once", 1) // its client sends it again only where it never ran
	require.Equal(t, "attempt:once", h.decisions())
	h.requestArrives("first", 0, 10) // first tries of all classes go on
	require.Equal(t, "attempt:first", h.decisions())
	h.endAttempt(h.requests["once"].Attempts[0], OutcomeAnswered)
	h.endAttempt(h.requests["first"].Attempts[0], OutcomeAnswered)
	h.advance(poisonWindowMs).decisions()
	h.clientRetries("later", 0)
	require.Equal(t, "attempt:later", h.decisions(), "no longer than the evidence lasts")
}

// The opposite case: where a backend answers right after a reset its connection broke, not the backend; and a plain crash,
// which ends at once, leaves first tries alone.
func TestIsolatedResetsAreNoCrash(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	a := h.requestArrives("a", 0, 10)
	h.requestArrives("b", 0, 10)
	require.Equal(t, "attempt:a attempt:b", h.decisions())
	h.advance(5).endAttempt(a.Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "reject:a", h.decisions())
	h.advance(5).endAttempt(h.requests["b"].Attempts[0], OutcomeAnswered)
	h.clientRetries("again", 0)
	require.Equal(t, "attempt:again", h.decisions())
	other := &Backend{ID: 9}
	h.setState(BackendReady, 0, other)
	h.endAttempt(h.requests["again"].Attempts[0], OutcomeConnectionReset)
	require.Equal(t, "attempt:again", h.decisions(), "retried")
	require.Equal(t, other, h.requests["again"].Attempts[1].Backend)
	before := h.balancer.suspicionOf(other)
	h.endAttempt(h.requests["again"].Attempts[1], OutcomeConnectionReset)
	require.Equal(t, before, h.balancer.suspicionOf(other), "and blamed on the connection: a few backends reset a tenth each and stay")
}

// An attempt sent before a reset and answered by the same backend after it, however late, shows that the backend did
// not crash. At a node that seldom meets one twice within a second nothing else does, and its clients' retries were all
// rejected.
func TestAnswerToAnEarlierAttemptShowsThatNothingCrashed(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	early, broken := h.sendShort(h.backends[0]), h.sendShort(h.backends[0])
	h.advance(10).endAttempt(broken, OutcomeConnectionReset)
	h.decisions()
	require.True(t, h.balancer.suspectsPoisonRequest())
	h.advance(3000).endAttempt(early, OutcomeAnswered)
	require.False(t, h.balancer.suspectsPoisonRequest())
	later := newHarness(t, testConfig(), 1)
	later.endAttempt(later.sendShort(later.backends[0]), OutcomeConnectionReset)
	again := later.sendShort(later.backends[0])
	later.advance(3000).endAttempt(again, OutcomeAnswered)
	require.True(t, later.balancer.suspectsPoisonRequest(), "it may have been started again")
}
