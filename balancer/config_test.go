package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests in progress when the configuration changes keep the one under which they arrived, even if their class has other
// settings in the new one. Estimates are kept.
func TestRequestsKeepTheirConfig(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.learnHints()
	safe, once := h.requestArrives("safe", 0, 10), h.requestArrives("once", 1, 20)
	h.decisions()
	h.balancer.config.Classes[0].meanWork = runningMean{40, 9}
	h.balancer.addSuspicion(h.backends[2], 1)
	later := testConfig() // classes 0 and 1 swapped, and one attempt for each request
	later.Classes[0], later.Classes[1] = later.Classes[1], later.Classes[0]
	later.MaxAttempts, later.AllowHedging = 1, false
	h.balancer.ConfigChanged(h.now, later, []int{1, 0, 2, -1})
	assert.Equal(t, runningMean{40, 9}, h.balancer.config.Classes[1].meanWork, "the mean work of a class is kept by its former index")
	assert.Equal(t, runningMean{}, h.balancer.config.Classes[3].meanWork)
	assert.Positive(t, h.balancer.suspicionOf(h.backends[2]))
	assert.Positive(t, later.Classes[0].patienceShare)
	h.endAttempt(safe.Attempts[0], OutcomeFailed)
	assert.Equal(t, "attempt:safe", h.decisions(), "still idempotent, with three attempts")
	h.endAttempt(once.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "fail:once", h.decisions(), "still at-most-once")
	h.advance(60e3).decisions() // suspicion decays
	fresh := h.requestArrives("fresh", 0, 10)
	h.decisions()
	h.endAttempt(fresh.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "fail:fresh", h.decisions(), "now at-most-once")
	h.advance(60e3).decisions()
	spare := h.requestArrives("spare", 1, 10)
	h.decisions()
	h.endAttempt(spare.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "reject:spare", h.decisions(), "now only one attempt")

	// A request that was read under the earlier configuration and arrives after the change.
	h.advance(60e3).decisions()
	late := &Request{Class: 1, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, Config: safe.Config}
	h.requests["late"] = late
	h.balancer.RequestArrived(h.now, late)
	h.decisions()
	h.endAttempt(late.Attempts[0], OutcomeConnectionReset)
	assert.Equal(t, "fail:late", h.decisions())
	h.balancer.RequestArrived(h.now, &Request{Class: 2, Deadline: h.now + 4000, Config: safe.Config})
	_, err := h.balancer.Snapshot([]*Request{{Config: safe.Config}}, nil)
	require.ErrorIs(t, err, ErrEarlierConfig)
}
