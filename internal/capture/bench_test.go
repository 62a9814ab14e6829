package capture

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// A decision: an op comes, is placed, and its answer is heard, among so many backends; off, and with all of it captured,
// counted and let go of.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ backends, nodes int }{{10, 3}, {30, 100}, {200, 1250}} {
		t := &balancer.Terms{Seed: 1, Nodes: size.nodes, MaxPushes: 3, SecondCopies: true, Cancel: true, ColdFrom: 0.3, WarmWithin: 8000,
			FallMultiple: 4, OverloadFor: 2000, Categories: []balancer.Category{{TargetLatency: 600, Benefit: 1}}}
		b.Run(fmt.Sprintf("%d/off", size.backends), func(b *testing.B) { decide(b, balancer.New(t, 1), size.backends) })
		b.Run(fmt.Sprintf("%d/on", size.backends), func(b *testing.B) {
			bytes := 0
			r, err := NewRecorder(balancer.New(t, 1), 1, Start{Name: "n", Terms: t}, Options{Every: 10e3, Sink: func(b Batch) { bytes += len(b.Data) }})
			require.NoError(b, err)
			decide(b, r, size.backends)
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op-unpacked")
		})
	}
}

func decide(b *testing.B, n balancer.Decider, backends int) {
	var lines []balancer.Listing
	for k := range backends {
		lines = append(lines, balancer.Listing{Backend: &balancer.Backend{Ref: uint64(k)}, State: balancer.Ready, Zone: k % 3, Kind: k % 3, Weight: 1})
	}
	n.Listed(1, lines, true, false)
	b.ReportAllocs()
	b.ResetTimer()
	now := 1.0
	for range b.N {
		now += 5
		op := &balancer.Op{GiveUp: now + 2000, Hint: 30, HasHint: true}
		n.Arrived(now, op)
		var p *balancer.Push
		for d, more := n.Next(); more; d, more = n.Next() {
			if d.Kind == balancer.DoPush {
				p = d.Push
			}
		}
		n.Reported(now+3, p.Backend, balancer.Report{Service: 3, Held: 2, Waiting: balancer.Untold})
		n.Ended(now+3, p, balancer.Answered, 3, true)
		for _, more := n.Next(); more; _, more = n.Next() {
		}
	}
}

// A snapshot: of a node that has had two thousand ops, and has one that is open for each backend.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ backends, nodes int }{{10, 3}, {30, 100}, {200, 1250}} {
		t := &balancer.Terms{Seed: 1, Nodes: size.nodes, MaxPushes: 3, SecondCopies: true, Cancel: true, ColdFrom: 0.3, WarmWithin: 8000,
			FallMultiple: 4, OverloadFor: 2000, Categories: []balancer.Category{{TargetLatency: 600, Benefit: 1}}}
		n := balancer.New(t, 1)
		var lines []balancer.Listing
		for k := range size.backends {
			lines = append(lines, balancer.Listing{Backend: &balancer.Backend{Ref: uint64(k)}, State: balancer.Ready, Zone: k % 3, Kind: k % 3, Weight: 1})
		}
		n.Listed(1, lines, true, false)
		var open []*balancer.Op
		var backends []*balancer.Backend
		for _, l := range lines {
			backends = append(backends, l.Backend)
		}
		now := 1.0
		for k := range 2000 + size.backends {
			now++
			op := &balancer.Op{GiveUp: now + 2000, Hint: 30, HasHint: true}
			n.Arrived(now, op)
			for d, more := n.Next(); more; d, more = n.Next() {
				if d.Kind == balancer.DoPush && k < 2000 {
					n.Ended(now, d.Push, balancer.Answered, 3, true)
				}
			}
			if k >= 2000 && !op.Over() {
				open = append(open, op)
			}
		}
		take := func() []byte {
			s, err := n.Snapshot(open, backends)
			require.NoError(b, err)
			return snapshot.Encode(s)
		}
		b.Run(fmt.Sprintf("%d/taken", size.backends), func(b *testing.B) {
			for b.Loop() {
				take()
			}
			b.ReportMetric(float64(len(take())), "bytes")
		})
		data := take()
		b.Run(fmt.Sprintf("%d/restored", size.backends), func(b *testing.B) {
			for b.Loop() {
				s, err := snapshot.Decode(data)
				require.NoError(b, err)
				_, _, _, err = balancer.Restore(t, s)
				require.NoError(b, err)
			}
		})
	}
}
