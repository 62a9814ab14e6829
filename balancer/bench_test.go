package balancer

import (
	"fmt"
	"testing"
)

// Measures one request by the number of tenants: its arrival, its placement among 200 backends and its answer, at 64
// requests a second.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{10, 1000, 10_000, 140_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			config := testConfig()
			config.OverQuotaWeight = 0.3
			for range tenants {
				config.Tenants = append(config.Tenants, Tenant{Quota: 1})
			}
			lb, now := New(config, 1000), 1000.0
			var endpoints []Endpoint
			for k := range 200 {
				endpoints = append(endpoints, Endpoint{Backend: &Backend{ID: uint64(k)}, State: BackendReady, Weight: 1})
			}
			lb.EndpointsChanged(now, endpoints, true, false)
			for k := 0; b.Loop(); k++ {
				now += 1000. / 64
				lb.RequestArrived(now, &Request{Tenant: k * 7919 % tenants, CostHint: 10, HasCostHint: true, Deadline: now + 2000})
				var attempt *Attempt
				for decision, more := lb.Next(); more; decision, more = lb.Next() {
					if decision.Kind == DoAttempt {
						attempt = decision.Attempt
					}
				}
				lb.AttemptEnded(now+10, attempt, OutcomeAnswered, 10, true)
				for _, more := lb.Next(); more; _, more = lb.Next() {
				}
			}
		})
	}
}
