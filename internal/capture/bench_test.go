package capture

import (
	"testing"

	"pearknot/balance"
)

// decide drives a module as a host does: an op comes, is placed, and its answer is heard.
func decide(b *testing.B, wrap func(balance.Decider, *balance.Terms) balance.Decider) {
	t := &balance.Terms{Seed: 1, Nodes: 3, MaxPushes: 3, SecondCopies: true, Cancel: true, ColdFrom: 0.3, WarmWithin: 8000, FallMultiple: 4,
		OverloadFor: 2000, Categories: []balance.Category{{TargetLatency: 600, Benefit: 1}}}
	n := wrap(balance.New(t, 1), t)
	var lines []balance.Listing
	for k := range 10 {
		lines = append(lines, balance.Listing{Backend: &balance.Backend{Ref: uint64(k)}, State: balance.Ready, Zone: k % 3, Weight: 1})
	}
	n.Listed(1, lines, true, false)
	b.ReportAllocs()
	b.ResetTimer()
	now := 1.0
	for range b.N {
		now += 5
		op := &balance.Op{GiveUp: now + 2000, Hint: 30, HasHint: true}
		n.Arrived(now, op)
		var p *balance.Push
		for d, more := n.Next(); more; d, more = n.Next() {
			if d.Kind == balance.DoPush {
				p = d.Push
			}
		}
		n.Reported(now+3, p.Backend, 3)
		n.Ended(now+3, p, balance.Answered, 3, true)
		for _, more := n.Next(); more; _, more = n.Next() {
		}
	}
}

func BenchmarkOff(b *testing.B) {
	decide(b, func(d balance.Decider, _ *balance.Terms) balance.Decider { return d })
}

// On, with what is written counted and let go of.
func BenchmarkOn(b *testing.B) {
	bytes := 0
	decide(b, func(d balance.Decider, t *balance.Terms) balance.Decider {
		r, err := NewRecorder(d, 1, Start{Name: "n", Terms: t}, func(_ int, data []byte) { bytes += len(data) })
		if err != nil {
			b.Fatal(err)
		}
		return r
	})
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op-unpacked")
}
