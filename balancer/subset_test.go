package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configWithConnectionCost returns testConfig with a cost of open connections, for one of several nodes.
func configWithConnectionCost(index, nodes int) *Config {
	config := testConfig()
	config.NodeIndex, config.Nodes, config.ConnectionCost, config.CrossZoneCost = index, nodes, 0.06, 0.08
	return config
}

// subset returns the backends that the node connects to.
func (h *harness) subset() (members []*Backend) {
	for _, b := range h.backends {
		if b.inSubset {
			members = append(members, b)
		}
	}
	return members
}

// Guards against a reported fault: with 332 nodes and 244 backends that accept 22 connections each, seven in ten attempts
// got no connection. Each node connects to a subset only, and the subsets spread evenly over the backends, also if only
// every second node is in the zone.
func TestSubsetsSpreadEvenly(t *testing.T) {
	for _, zones := range []int{1, 2} {
		nodesOf := map[uint64]int{}
		for index := range 300 {
			if index%zones > 0 {
				continue
			}
			h := newHarness(t, configWithConnectionCost(index, 300), 200)
			require.Len(t, h.subset(), subsetSizeOwnZone)
			for _, b := range h.subset() {
				nodesOf[b.ID]++
			}
		}
		mean := 300.0 / float64(zones) * subsetSizeOwnZone / 200
		for id := range uint64(200) {
			assert.InDelta(t, mean, nodesOf[id], 0.5*mean+1, "backend %d", id)
		}
	}
	h := newHarness(t, testConfig(), 200)
	assert.Empty(t, h.subset(), "no subset without a connection cost")
	assert.True(t, h.balancer.mayUse(h.backends[0]))
}

// A backend that refuses connections is replaced in the subset by the next one on the ring for as long as it does. It is
// tried again at growing intervals, and does not make requests to other backends appear too slow.
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

// Long requests stay within the subset too, since each backend outside it would need one more connection.
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
