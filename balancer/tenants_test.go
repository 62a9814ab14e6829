package balancer

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// walked is what excess would have by adding up all tenants anew for an op just taken.
func (n *Balancer) walked(op *Request) (excess, rates float64) {
	w, quotas := n.config.Tenants[op.Tenant], 0.0
	for _, o := range n.config.Tenants {
		rates, quotas = rates+o.rate.get(n.now, rateHalfLife), quotas+o.Quota
	}
	if w.Quota == 0 {
		return 0, rates
	}
	own, all := w.rate.sum+quotaMixPrior*w.Quota/quotas, rates+quotaMixPrior
	odds := own * (quotas - w.Quota) / math.Max((all-own)*w.Quota, 1e-9)
	odds = math.Min(odds, w.rate.sum*1e3*math.Ln2/rateHalfLife*float64(n.config.Nodes)/w.Quota)
	return math.Max(0, 1-1/odds), rates
}

// The sum of all tenants' rates that is kept as ops come is theirs added up, but for what the tenants of half a minute ago and
// earlier still have, less than a thousandth of an op each, which each by itself counts as nothing. Other terms begin anew, and a
// snapshot goes on where it was, one of a build that kept no sum with the sum.
func TestTenantsRatesAddedUp(t *testing.T) {
	const tenants = 40
	terms := func() *Config {
		x := plain()
		x.Nodes, x.OverQuotaWeight = 3, 0.2
		for k := range tenants {
			x.Tenants = append(x.Tenants, Tenant{Quota: float64(k % 4)})
		}
		return x
	}
	d := sit(t, terms(), 3)
	chance := rand.New(rand.NewPCG(1, 2))
	beyond, most := 0, 0.0
	come := func(n *Balancer) *Request {
		d.now += 40 * chance.ExpFloat64()
		if chance.IntN(500) == 0 {
			d.now += 50e3 * chance.Float64()
		}
		tenant := chance.IntN(tenants)
		if chance.IntN(3) == 0 {
			tenant = int(d.now/20e3) % tenants // one floods, another in turn
		}
		op := &Request{Tenant: tenant, CostHint: 10, HasCostHint: true, Deadline: d.now + 4000}
		n.RequestArrived(d.now, op)
		excess, rates := n.walked(op)
		require.GreaterOrEqual(t, n.config.tenantRate.sum, rates-1e-9)
		require.LessOrEqual(t, n.config.tenantRate.sum, rates+1e-3*tenants)
		require.InDelta(t, excess, op.overQuota, 1e-3)
		if excess > 0.3 {
			beyond++
		}
		most = math.Max(most, math.Abs(excess-op.overQuota))
		n.ClientGone(d.now, op)
		for _, more := n.Next(); more; _, more = n.Next() {
		}
		return op
	}
	for range 20_000 {
		come(d.node)
	}
	assert.Greater(t, beyond, 1000)
	t.Logf("excess differs by %.1e at most", most)

	s, err := d.node.Snapshot(nil, d.backends)
	require.NoError(t, err)
	now := d.now
	for _, with := range []bool{true, false} {
		if !with {
			s.TenantRate = [2]float64{}
		}
		again, _, _, err := Restore(terms(), s)
		require.NoError(t, err)
		if with {
			assert.Equal(t, d.node.config.tenantRate, again.config.tenantRate)
		}
		d.now = now
		come(again)
	}

	d.node.ConfigChanged(d.now, terms(), []int{0, 1, 2, 3})
	come(d.node)
	assert.Equal(t, 1.0, d.node.config.tenantRate.sum)
}
