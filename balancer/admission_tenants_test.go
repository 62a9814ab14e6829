package balancer

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// overQuotaBySumming is what estimateOverQuota would have by adding up all tenants anew for a request that just arrived.
func (n *Balancer) overQuotaBySumming(request *Request) (excess, rates float64) {
	w, quotas := n.config.Tenants[request.Tenant], 0.0
	for _, o := range n.config.Tenants {
		rates, quotas = rates+o.rate.get(n.now, rateHalfLifeMs), quotas+o.Quota
	}
	if w.Quota == 0 {
		return 0, rates
	}
	own, all := w.rate.sum+quotaMixPrior*w.Quota/quotas, rates+quotaMixPrior
	odds := own * (quotas - w.Quota) / math.Max((all-own)*w.Quota, 1e-9)
	odds = math.Min(odds, w.rate.sum*1e3*math.Ln2/rateHalfLifeMs*float64(n.config.Nodes)/w.Quota)
	return math.Max(0, 1-1/odds), rates
}

// The sum of all tenants' rates that is updated as requests arrive is theirs added up, but for what the tenants of half
// a minute ago and earlier still have, less than a thousandth of a request each, which each by itself counts as
// nothing. Another configuration begins anew, and a snapshot goes on where it was, one of a build that stored no sum
// with the sum.
func TestTenantRateIsTheSum(t *testing.T) {
	const tenants = 40
	config := func() *Config {
		x := testConfig()
		x.Nodes, x.OverQuotaWeight = 3, 0.2
		for k := range tenants {
			x.Tenants = append(x.Tenants, Tenant{Quota: float64(k % 4)})
		}
		return x
	}
	h := newHarness(t, config(), 3)
	chance := rand.New(rand.NewPCG(1, 2))
	beyond, maxDifference := 0, 0.0
	arrive := func(n *Balancer) {
		h.now += 40 * chance.ExpFloat64()
		if chance.IntN(500) == 0 {
			h.now += 50e3 * chance.Float64()
		}
		tenant := chance.IntN(tenants)
		if chance.IntN(3) == 0 {
			tenant = int(h.now/20e3) % tenants // one after the other goes over its quota
		}
		request := &Request{Tenant: tenant, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000}
		n.RequestArrived(h.now, request)
		excess, rates := n.overQuotaBySumming(request)
		require.GreaterOrEqual(t, n.config.tenantRate.sum, rates-1e-9)
		require.LessOrEqual(t, n.config.tenantRate.sum, rates+1e-3*tenants)
		require.InDelta(t, excess, request.overQuota, 1e-3)
		if excess > 0.3 {
			beyond++
		}
		maxDifference = math.Max(maxDifference, math.Abs(excess-request.overQuota))
		n.RequestAbandoned(h.now, request)
		for _, more := n.Next(); more; _, more = n.Next() {
		}
	}
	for range 20_000 {
		arrive(h.balancer)
	}
	assert.Greater(t, beyond, 1000)
	t.Logf("differs by %.1e at most", maxDifference)

	s, err := h.balancer.Snapshot(nil, h.backends)
	require.NoError(t, err)
	now := h.now
	for _, with := range []bool{true, false} {
		if !with {
			s.TenantRate = [2]float64{}
		}
		again, _, _, err := Restore(config(), s)
		require.NoError(t, err)
		if with {
			assert.Equal(t, h.balancer.config.tenantRate, again.config.tenantRate)
		}
		h.now = now
		arrive(again)
	}

	h.balancer.ConfigChanged(h.now, config(), []int{0, 1, 2, 3})
	arrive(h.balancer)
	assert.Equal(t, 1.0, h.balancer.config.tenantRate.sum)
}
