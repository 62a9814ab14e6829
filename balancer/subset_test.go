package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configWithConnectionCost is testConfig where open connections cost.
func configWithConnectionCost(number, nodes int) *Config {
	t := testConfig()
	t.NodeIndex, t.Nodes, t.ConnectionCost, t.CrossZoneCost = number, nodes, 0.06, 0.08
	return t
}

// subset is the backends that the node connects to.
func (h *harness) subset() (own []*Backend) {
	for _, b := range h.backends {
		if b.inSubset {
			own = append(own, b)
		}
	}
	return own
}

// Reported: 332 nodes and 244 backends of 22 connections each: seven in ten attempts got none. Each node has its
// subset, and the subsets spread evenly, also over every second node.
func TestSubsetsSpreadEvenly(t *testing.T) {
	for _, zones := range []int{1, 2} {
		at := map[uint64]int{}
		for number := range 300 {
			if number%zones > 0 {
				continue
			}
			h := newHarness(t, configWithConnectionCost(number, 300), 200)
			require.Len(t, h.subset(), subsetSizeOwnZone)
			for _, b := range h.subset() {
				at[b.ID]++
			}
		}
		mean := 300.0 / float64(zones) * subsetSizeOwnZone / 200
		for ref := range uint64(200) {
			assert.InDelta(t, mean, at[ref], 0.5*mean+1, "backend %d", ref)
		}
	}
	h := newHarness(t, testConfig(), 200)
	assert.Empty(t, h.subset(), "without a cost all are used")
	assert.True(t, h.balancer.mayUse(h.backends[0]))
}

// A backend that refuses connections is replaced by the next on the ring for as long as it does, is tried again later and
// later, and does not make others' requests look too slow.
func TestRefusingBackendIsReplacedInTheSubset(t *testing.T) {
	h := newHarness(t, configWithConnectionCost(3, 300), 200)
	own := h.subset()
	for k, b := range own[:2] {
		for range k + 1 {
			h.balancer.AttemptEnded(h.now, h.sendShort(b), OutcomeConnectFailed, 0, true)
			b.pausedUntil = 0
		}
		b.pausedUntil = h.now + 1e3
	}
	h.advance(reviewIntervalMs + 1).decisions()
	require.Len(t, h.subset(), subsetSizeOwnZone+2)
	for range 20 {
		request := h.requestArrives("a", 1, 10)
		require.Equal(t, "attempt:a", h.decisions())
		require.NotContains(t, own[:2], request.Attempts[0].Backend)
		h.now += 5
		h.endAttempt(request.Attempts[0], OutcomeAnswered)
		h.decisions()
	}
	for _, b := range own[:2] {
		b.pausedUntil, b.refusals, b.suspicion = 0, 0, decayingCounter{}
	}
	h.balancer.reviewBackends()
	require.ElementsMatch(t, own, h.subset())
}

// Long requests keep to the subset too: each backend outside it is one more connection.
func TestLongRequestsKeepToTheSubset(t *testing.T) {
	h := newHarness(t, configWithConnectionCost(3, 300), 200)
	h.learnHints()
	for range 20 {
		request := h.requestArrives("long", 0, 200)
		require.Equal(t, "attempt:long", h.decisions())
		require.True(t, request.Attempts[0].Backend.inSubset)
		h.advance(150).endAttempt(request.Attempts[0], OutcomeAnswered)
		h.decisions()
	}
}
