package balancer

import (
	"fmt"
	"testing"
)

// A request comes from one tenant of so many, is placed among 200 backends, and its answer is taken; 64 a second.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{10, 1000, 10_000, 140_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			t := testConfig()
			t.OverQuotaWeight = 0.3
			for range tenants {
				t.Tenants = append(t.Tenants, Tenant{Quota: 1})
			}
			n, now := New(t, 1000), 1000.0
			var endpoints []Endpoint
			for k := range 200 {
				endpoints = append(endpoints, Endpoint{Backend: &Backend{ID: uint64(k)}, State: BackendReady, Weight: 1})
			}
			n.EndpointsChanged(now, endpoints, true, false)
			for k := 0; b.Loop(); k++ {
				now += 1000. / 64
				n.RequestArrived(now, &Request{Tenant: k * 7919 % tenants, CostHint: 10, HasCostHint: true, Deadline: now + 2000})
				var p *Attempt
				for d, more := n.Next(); more; d, more = n.Next() {
					if d.Kind == DoAttempt {
						p = d.Attempt
					}
				}
				n.AttemptEnded(now+10, p, OutcomeAnswered, 10, true)
				for _, more := n.Next(); more; _, more = n.Next() {
				}
			}
		})
	}
}
