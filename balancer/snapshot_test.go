package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A snapshot for another process holds the estimates, and nothing that the first process still has in flight.
func TestHandoffSnapshot(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.requestArrives("a", 0, 10)
	h.decisions()
	h.balancer.addSuspicion(h.backends[0], 3)
	h.decisions()
	s, err := h.balancer.HandoffSnapshot(h.backends)
	require.NoError(t, err)
	restored, requests, backends, err := Restore(testConfig(), s)
	require.NoError(t, err)
	assert.Empty(t, requests)
	assert.Zero(t, restored.concurrency.inFlight)
	assert.Len(t, restored.cutoff.ring, 101)
	assert.Equal(t, h.balancer.suspicionOf(h.backends[0]), restored.suspicionOf(backends[0]))
	for k, b := range backends {
		assert.Empty(t, b.inFlight)
		assert.Zero(t, b.workInFlight)
		assert.Equal(t, h.backends[k].recentWork.sumWithin(h.now, 2000), b.recentWork.sumWithin(h.now, 2000), "the spent budget counts for both processes")
	}
	restored.RequestArrived(h.now, &Request{CostHint: 10, HasCostHint: true, Deadline: h.now + 4000})
	decision, more := restored.Next()
	require.True(t, more)
	assert.Equal(t, DoAttempt, decision.Kind)
}
