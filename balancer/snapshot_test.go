package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A snapshot that another process goes on from holds what was learned, and nothing that the first still has in flight.
func TestHandoffSnapshot(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.requestArrives("a", 0, 10)
	h.decisions()
	h.balancer.addSuspicion(h.backends[0], 3)
	h.decisions()
	s, err := h.balancer.HandoffSnapshot(h.backends)
	require.NoError(t, err)
	n, requests, backends, err := Restore(testConfig(), s)
	require.NoError(t, err)
	assert.Empty(t, requests)
	assert.Zero(t, n.concurrency.inFlight)
	assert.Len(t, n.cutoff.ring, 101)
	assert.Equal(t, h.balancer.suspicionOf(h.backends[0]), n.suspicionOf(backends[0]))
	for k, b := range backends {
		assert.Empty(t, b.inFlight)
		assert.Zero(t, b.workInFlight)
		assert.Equal(t, h.backends[k].recentWork.sumWithin(h.now, 2000), b.recentWork.sumWithin(h.now, 2000), "what was spent counts for both")
	}
	n.RequestArrived(h.now, &Request{CostHint: 10, HasCostHint: true, Deadline: h.now + 4000})
	x, more := n.Next()
	require.True(t, more)
	assert.Equal(t, DoAttempt, x.Kind)
}
