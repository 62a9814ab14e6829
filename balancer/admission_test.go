package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests beyond a tenant's quota are the first to be rejected. What tells is the mix: a node that carries much of all
// traffic, in the quotas' mix, sees no flood, and neither does one of a few requests.
func TestTenantsOverQuota(t *testing.T) {
	for name, c := range map[string]struct {
		of       [4]int // tenant of each request in turn
		requests int
		want     [2]bool
	}{
		"over quota":    {[4]int{0, 1, 1, 1}, 40, [2]bool{false, true}},
		"much of all":   {[4]int{0, 0, 0, 1}, 40, [2]bool{false, false}},
		"one of a few":  {[4]int{1, 0, 0, 0}, 1, [2]bool{false, false}},
		"quota unknown": {[4]int{2, 2, 2, 2}, 40, [2]bool{false, false}},
	} {
		config := testConfig()
		config.Nodes, config.OverQuotaWeight = 100, 0.2
		config.Tenants = []Tenant{{Quota: 150}, {Quota: 50}, {}}
		h := newHarness(t, config, 2)
		var last [3]*Request
		for k := range c.requests {
			i := c.of[k%4]
			last[i] = &Request{Tenant: i, Deadline: h.now + 4000}
			h.balancer.RequestArrived(h.now, last[i])
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

// A heavy request is not rejected in a quiet fleet for its own work, nor a small one because one backend has a heavy one.
func TestNoNeedlessRejections(t *testing.T) {
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

// A class of lower priority and a longer objective must not stay queued in the way of one of higher priority.
func TestLowerPriorityClassesWaitLess(t *testing.T) {
	config := testConfig()
	config.Classes[0].PriorityWeight, config.Classes[0].LatencyObjective = 8, 500
	config.Classes[1].PriorityWeight, config.Classes[1].LatencyObjective = 3, 1500
	h := newHarness(t, config, 1)
	greater, lesser := h.requestArrives("a", 0, 10), h.requestArrives("b", 1, 10)
	assert.Less(t, h.balancer.patienceOf(lesser), h.balancer.patienceOf(greater))
}

// Under overload clients' retries are what keeps it up: they wait behind others for a tenth of what first tries do.
func TestClientRetriesWaitLess(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	for range 40 {
		h.balancer.estimates.waits.add(h.backends[0], h.now, 150)
	}
	h.requestArrives("first", 0, 10)
	h.clientRetries("again", 0)
	require.Equal(t, "attempt:first reject:again", h.decisions())
	calm := newHarness(t, testConfig(), 2)
	calm.learnHints()
	calm.clientRetries("again", 0)
	require.Equal(t, "attempt:again", calm.decisions(), "without overload they are like the others")
}
