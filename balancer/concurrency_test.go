package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A rejecting backend answers quickly; without a pause it would draw ever more requests.
func TestRejectingBackendIsPaused(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.failAttempts(1, OutcomeRejected, h.backends[0])
	assert.True(t, h.balancer.isAtCapacity(h.backends[0]))
	assert.False(t, h.advance(h.backends[0].pausedUntil-h.now).balancer.isAtCapacity(h.backends[0]))
}

// With many nodes a limit below one is a pause after an answer that was queued; with few it stays at one attempt.
func TestPausesWithManyNodes(t *testing.T) {
	for _, nodes := range []int{2, 12} {
		h := newHarness(t, testConfig(), 2)
		h.learnHints()
		h.balancer.config.Nodes, h.backends[0].bestPace, h.backends[0].maxInFlight = nodes, 1, 1.1
		p := h.sendShort(h.backends[0])
		h.advance(300).endAttempt(p, OutcomeAnswered)
		assert.Equal(t, nodes == 12, h.balancer.isAtCapacity(h.backends[0]), "%d nodes", nodes)
		h.advance(300).endAttempt(h.sendShort(h.backends[0]), OutcomeAnswered)
	}
}

// Many nodes of few requests each reach no backend's limit. In a burst each went on to send what its latest answers, sent a
// queue ago, let look affordable. What is not answered yet must hold the next ones back, and must let go again.
func TestManyNodesHoldBackUnderOverload(t *testing.T) {
	config := testConfig()
	config.Nodes = 500
	h := newHarness(t, config, 20)
	h.learnHints()
	burst := func() (out int) {
		for range 12 {
			h.requestArrives("a", 1, 20)
		}
		h.decisions()
		for _, b := range h.backends {
			out += len(b.inFlight)
		}
		return out
	}
	answer := func() {
		for _, b := range h.backends {
			for len(b.inFlight) > 0 {
				h.endAttempt(b.inFlight[0], OutcomeAnswered)
			}
		}
		h.decisions()
	}
	assert.Equal(t, 2, burst(), "all nodes may start at once, and none knows of a queue")
	h.advance(900).decisions()
	answer()
	require.LessOrEqual(t, h.balancer.concurrency.limit, 3.0)
	h.advance(5e3).decisions()
	answer()
	h.advance(100).decisions()
	assert.LessOrEqual(t, burst(), 3)
	out := 0
	for range 30 {
		h.advance(20)
		answer()
		out = burst()
	}
	assert.Greater(t, out, 6, "answers without a queue raise it")
}

// One minimum for all deployments did not fit: a node of much traffic stood at what is too many for a quiet one, and
// 300 nodes at less than their backends bore. It follows from the rate at which answers come, falls with it, and
// survives a snapshot.
func TestMinInFlightLimitFollowsAnswers(t *testing.T) {
	config := testConfig()
	config.Nodes = 500
	minLimit := func(every float64) float64 { // one answer in so many ms, for ten seconds
		h := newHarness(t, config, 20)
		h.balancer.random = newMultiplyWithCarry(1)
		for k := 0; float64(k)*every < 10e3; k++ {
			p := h.sendShort(h.backends[k%20])
			h.advance(every).endAttempt(p, OutcomeAnswered)
			h.decisions()
		}
		s, err := h.balancer.Snapshot(nil, h.backends)
		require.NoError(t, err)
		n, _, _, err := Restore(testConfig(), s)
		require.NoError(t, err)
		require.Equal(t, h.balancer.affordableInFlight(), n.affordableInFlight())
		had := h.balancer.minInFlightLimit()
		h.balancer.now += rateHalfLifeMs
		require.InDelta(t, max(2, had/2), h.balancer.minInFlightLimit(), 0.01, "half of it once nothing is answered for the rate's half-life")
		return had
	}
	// Each answer of 10 ms of work may take 0.4 of 1,000 ms beside it: by Little's law 410 ms an attempt at the rate.
	require.InDelta(t, 410/20.*0.9, minLimit(20), 2)
	require.InDelta(t, 410/100.*0.9, minLimit(100), 1, "and some of the wait at a pace that was learned")
	require.Equal(t, 2.0, minLimit(1000), "a node of few requests keeps two")
}

// What timed out may still run: it counts toward the node's limit for as long again as it was in flight, and a snapshot
// keeps that.
func TestAbandonedWorkCountsForAsLongAgain(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	request := h.requestArrives("a", 1, 10)
	h.decisions()
	require.Equal(t, 1, h.balancer.concurrency.inFlight)
	h.advance(400).endAttempt(request.Attempts[0], OutcomeTimedOut)
	h.decisions()
	require.Equal(t, 1, h.balancer.concurrency.inFlight)
	s, err := h.balancer.Snapshot(nil, h.backends)
	require.NoError(t, err)
	n, _, _, err := Restore(testConfig(), s)
	require.NoError(t, err)
	for _, node := range []*Balancer{h.balancer, n} {
		node.TimerFired(h.now + 399)
		for _, more := node.Next(); more; _, more = node.Next() {
		}
		assert.Equal(t, 1, node.concurrency.inFlight)
		node.TimerFired(h.now + 401)
		for _, more := node.Next(); more; _, more = node.Next() {
		}
		assert.Zero(t, node.concurrency.inFlight)
	}
}
