package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests over a tenant's quota have less patience and are rejected first. The estimate goes by the mix of tenants: a node
// that carries much of the total traffic, in proportion to the quotas, must not consider a tenant over quota, nor must a
// node that has received only a few requests.
func TestTenantsOverQuota(t *testing.T) {
	for name, c := range map[string]struct {
		tenants  [4]int // tenant of each request in turn
		requests int
		want     [2]bool
	}{
		"over quota":   {[4]int{0, 1, 1, 1}, 40, [2]bool{false, true}},
		"busy node":    {[4]int{0, 0, 0, 1}, 40, [2]bool{false, false}},
		"few requests": {[4]int{1, 0, 0, 0}, 1, [2]bool{false, false}},
		"no quota set": {[4]int{2, 2, 2, 2}, 40, [2]bool{false, false}},
	} {
		config := testConfig()
		config.Nodes, config.OverQuotaWeight = 100, 0.2
		config.Tenants = []Tenant{{Quota: 150}, {Quota: 50}, {}}
		h := newHarness(t, config, 2)
		var last [3]*Request
		for k := range c.requests {
			tenant := c.tenants[k%4]
			last[tenant] = &Request{Tenant: tenant, Deadline: h.now + 4000}
			h.balancer.RequestArrived(h.now, last[tenant])
			h.advance(20).decisions()
		}
		for i, want := range c.want {
			if request := last[i]; request != nil {
				assert.Equal(t, want, request.overQuota > 0.3, "%s, tenant %d: %v", name, i, request.overQuota)
				assert.Equal(t, want, h.balancer.patienceOf(request) < 0.8*request.class.patienceShare*h.balancer.timeToObjective(request), name)
			}
		}
	}
}

// Without load, a heavy request must not be rejected for its own work, nor a small one because a backend runs a heavy one.
func TestIdleFleetDoesNotReject(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.learnHints()
	h.requestArrives("heavy", 0, 900)
	assert.Equal(t, "attempt:heavy", h.decisions())
	for k := range 3 {
		h.advance(1)
		h.requestArrives(fmt.Sprint(k), 0, 5)
		assert.Equal(t, fmt.Sprintf("attempt:%d", k), h.decisions())
	}
}

// A class of lower priority must have less patience than one of higher priority, even with a longer latency objective.
// Otherwise its queued requests hold up those of higher priority.
func TestLowerPriorityHasLessPatience(t *testing.T) {
	config := testConfig()
	config.Classes[0].PriorityWeight, config.Classes[0].LatencyObjective = 8, 500
	config.Classes[1].PriorityWeight, config.Classes[1].LatencyObjective = 3, 1500
	h := newHarness(t, config, 1)
	higher, lower := h.requestArrives("a", 0, 10), h.requestArrives("b", 1, 10)
	assert.Less(t, h.balancer.patienceOf(lower), h.balancer.patienceOf(higher))
}

// Clients' retries sustain an overload, so that their patience is a tenth of that of first tries.
func TestClientRetriesHaveLessPatience(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	for range 40 {
		h.balancer.estimates.waits.add(h.backends[0], h.now, 150)
	}
	h.requestArrives("first", 0, 10)
	h.clientRetryArrives("again", 0)
	require.Equal(t, "attempt:first reject:again", h.decisions())
	unloaded := newHarness(t, testConfig(), 2)
	unloaded.learnHints()
	unloaded.clientRetryArrives("again", 0)
	require.Equal(t, "attempt:again", unloaded.decisions(), "without overload a retry is accepted like a first try")
}
