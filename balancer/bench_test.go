package balancer

import (
	"fmt"
	"testing"
)

// An op comes from one tenant of so many, is placed among 200 backends, and its answer is heard; 64 a second.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{10, 1000, 10_000, 140_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			t := plain()
			t.ExcessBenefit = 0.3
			for range tenants {
				t.Tenants = append(t.Tenants, Tenant{Quota: 1})
			}
			n, now := New(t, 1000), 1000.0
			var lines []Listing
			for k := range 200 {
				lines = append(lines, Listing{Backend: &Backend{Ref: uint64(k)}, State: Ready, Weight: 1})
			}
			n.Listed(now, lines, true, false)
			for k := 0; b.Loop(); k++ {
				now += 1000. / 64
				n.Arrived(now, &Op{Tenant: k * 7919 % tenants, Hint: 10, HasHint: true, GiveUp: now + 2000})
				var p *Push
				for d, more := n.Next(); more; d, more = n.Next() {
					if d.Kind == DoPush {
						p = d.Push
					}
				}
				n.Ended(now+10, p, Answered, 10, true)
				for _, more := n.Next(); more; _, more = n.Next() {
				}
			}
		})
	}
}
