package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A backend that rejects attempts answers quickly; without a pause it would attract ever more requests.
func TestRejectingBackendIsPaused(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.failAttempts(1, OutcomeRejected, h.backends[0])
	assert.True(t, h.balancer.isAtCapacity(h.backends[0]))
	assert.False(t, h.advance(h.backends[0].pausedUntil-h.now).balancer.isAtCapacity(h.backends[0]))
}

// With many nodes the limit falls below one, which means a pause after an answer that showed a queue; with few nodes it
// stays at one attempt.
func TestPausesWithManyNodes(t *testing.T) {
	for _, nodes := range []int{2, 12} {
		h := newHarness(t, testConfig(), 2)
		h.learnHints()
		h.balancer.config.Nodes, h.backends[0].bestPace, h.backends[0].maxInFlight = nodes, 1, 1.1
		attempt := h.sendShort(h.backends[0])
		h.advance(300).endAttempt(attempt, OutcomeAnswered)
		assert.Equal(t, nodes == 12, h.balancer.isAtCapacity(h.backends[0]), "%d nodes", nodes)
		h.advance(300).endAttempt(h.sendShort(h.backends[0]), OutcomeAnswered)
	}
}

// Where nodes are many and each has few requests, no node reaches a backend's limit. In a burst each node kept sending as
// many attempts as its latest answers allowed, although those were sent before the queue formed. Attempts that are not
// answered yet must therefore hold back further ones, and the limit must rise again once answers show no queue.
func TestNodeLimitBoundsBurstsWithManyNodes(t *testing.T) {
	config := testConfig()
	config.Nodes = 500
	h := newHarness(t, config, 20)
	h.learnHints()
	burst := func() (inFlight int) {
		for range 12 {
			h.requestArrives("a", 1, 20)
		}
		h.decisions()
		for _, b := range h.backends {
			inFlight += len(b.inFlight)
		}
		return inFlight
	}
	answer := func() {
		for _, b := range h.backends {
			for len(b.inFlight) > 0 {
				h.endAttempt(b.inFlight[0], OutcomeAnswered)
			}
		}
		h.decisions()
	}
	assert.Equal(t, 2, burst(), "initial limit, since all nodes may start at once and none has seen a queue yet")
	h.advance(900).decisions()
	answer()
	require.LessOrEqual(t, h.balancer.concurrency.limit, 3.0)
	h.advance(5e3).decisions()
	answer()
	h.advance(100).decisions()
	assert.LessOrEqual(t, burst(), 3)
	inFlight := 0
	for range 30 {
		h.advance(20)
		answer()
		inFlight = burst()
	}
	assert.Greater(t, inFlight, 6, "answers without a queue raise the limit")
}

// No fixed minimum of the limit fits all deployments: one that suits a node with much traffic is too high for a node with
// little, and with 300 nodes it kept the attempts in flight below what their backends could serve. The minimum is computed
// from the answer rate, falls with it, and is kept by a snapshot.
func TestMinInFlightLimitFollowsAnswers(t *testing.T) {
	config := testConfig()
	config.Nodes = 500
	minLimit := func(intervalMs float64) float64 { // one answer every intervalMs, for ten seconds
		h := newHarness(t, config, 20)
		h.balancer.random = newMultiplyWithCarry(1)
		for k := 0; float64(k)*intervalMs < 10e3; k++ {
			attempt := h.sendShort(h.backends[k%20])
			h.advance(intervalMs).endAttempt(attempt, OutcomeAnswered)
			h.decisions()
		}
		s, err := h.balancer.Snapshot(nil, h.backends)
		require.NoError(t, err)
		restored, _, _, err := Restore(testConfig(), s)
		require.NoError(t, err)
		require.Equal(t, h.balancer.affordableInFlight(), restored.affordableInFlight())
		limit := h.balancer.minInFlightLimit()
		h.balancer.now += rateHalfLifeMs
		require.InDelta(t, max(2, limit/2), h.balancer.minInFlightLimit(), 0.01, "halves after one half-life without answers")
		return limit
	}
	// Each answer may take its 10 ms of work plus 0.4 of the 1,000 ms objective. By Little's law the limit is 410 ms times the
	// answer rate.
	require.InDelta(t, 410/20.*0.9, minLimit(20), 2)
	require.InDelta(t, 410/100.*0.9, minLimit(100), 1, "plus part of the wait, at the measured pace")
	require.Equal(t, 2.0, minLimit(1000), "the lowest limit of a node with few requests")
}

// An attempt that timed out may still run at its backend. It counts toward the node's limit for as long again as it was in
// flight, also after a snapshot is restored.
func TestAbandonedWorkCountsTowardLimit(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	request := h.requestArrives("a", 1, 10)
	h.decisions()
	require.Equal(t, 1, h.balancer.concurrency.inFlight)
	h.advance(400).endAttempt(request.Attempts[0], OutcomeTimedOut)
	h.decisions()
	require.Equal(t, 1, h.balancer.concurrency.inFlight)
	s, err := h.balancer.Snapshot(nil, h.backends)
	require.NoError(t, err)
	restored, _, _, err := Restore(testConfig(), s)
	require.NoError(t, err)
	for _, lb := range []*Balancer{h.balancer, restored} {
		lb.TimerFired(h.now + 399)
		for _, more := lb.Next(); more; _, more = lb.Next() {
		}
		assert.Equal(t, 1, lb.concurrency.inFlight)
		lb.TimerFired(h.now + 401)
		for _, more := lb.Next(); more; _, more = lb.Next() {
		}
		assert.Zero(t, lb.concurrency.inFlight)
	}
}
