package capture

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// A decision: a request comes, is placed, and its answer is heard, among so many backends; off, and with all of it
// captured, counted and let go of.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ backends, nodes int }{{10, 3}, {30, 100}, {200, 1250}} {
		t := &balancer.Config{Seed: 1, Nodes: size.nodes, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SlowStartShare: 0.3, SlowStartWindow: 8000,
			OverloadMultiple: 4, OverloadWindow: 2000, Classes: []balancer.Class{{LatencyObjective: 600, PriorityWeight: 1}}}
		b.Run(fmt.Sprintf("%d/off", size.backends), func(b *testing.B) { decide(b, balancer.New(t, 1), size.backends) })
		b.Run(fmt.Sprintf("%d/on", size.backends), func(b *testing.B) {
			bytes := 0
			r, err := NewRecorder(balancer.New(t, 1), 1, Start{Name: "n", Config: t}, Options{SnapshotIntervalMs: 10e3, Sink: func(b Batch) { bytes += len(b.Data) }})
			require.NoError(b, err)
			decide(b, r, size.backends)
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/request-unpacked")
		})
	}
}

func decide(b *testing.B, n balancer.Decider, backends int) {
	var lines []balancer.Endpoint
	for k := range backends {
		lines = append(lines, balancer.Endpoint{Backend: &balancer.Backend{ID: uint64(k)}, State: balancer.BackendReady, Zone: k % 3, Kind: k % 3, Weight: 1})
	}
	n.EndpointsChanged(1, lines, true, false)
	b.ReportAllocs()
	b.ResetTimer()
	now := 1.0
	for range b.N {
		now += 5
		request := &balancer.Request{Deadline: now + 2000, CostHint: 30, HasCostHint: true}
		n.RequestArrived(now, request)
		var p *balancer.Attempt
		for d, more := n.Next(); more; d, more = n.Next() {
			if d.Kind == balancer.DoAttempt {
				p = d.Attempt
			}
		}
		n.LoadReported(now+3, p.Backend, balancer.LoadReport{ServiceTime: 3, InFlight: 2, Queued: balancer.NotReported})
		n.AttemptEnded(now+3, p, balancer.OutcomeAnswered, 3, true)
		for _, more := n.Next(); more; _, more = n.Next() {
		}
	}
}

// A snapshot: of a node that has had two thousand requests, and has one that is open for each backend.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ backends, nodes int }{{10, 3}, {30, 100}, {200, 1250}} {
		t := &balancer.Config{Seed: 1, Nodes: size.nodes, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SlowStartShare: 0.3, SlowStartWindow: 8000,
			OverloadMultiple: 4, OverloadWindow: 2000, Classes: []balancer.Class{{LatencyObjective: 600, PriorityWeight: 1}}}
		n := balancer.New(t, 1)
		var lines []balancer.Endpoint
		for k := range size.backends {
			lines = append(lines, balancer.Endpoint{Backend: &balancer.Backend{ID: uint64(k)}, State: balancer.BackendReady, Zone: k % 3, Kind: k % 3, Weight: 1})
		}
		n.EndpointsChanged(1, lines, true, false)
		var open []*balancer.Request
		var backends []*balancer.Backend
		for _, l := range lines {
			backends = append(backends, l.Backend)
		}
		now := 1.0
		for k := range 2000 + size.backends {
			now++
			request := &balancer.Request{Deadline: now + 2000, CostHint: 30, HasCostHint: true}
			n.RequestArrived(now, request)
			for d, more := n.Next(); more; d, more = n.Next() {
				if d.Kind == balancer.DoAttempt && k < 2000 {
					n.AttemptEnded(now, d.Attempt, balancer.OutcomeAnswered, 3, true)
				}
			}
			if k >= 2000 && !request.IsDone() {
				open = append(open, request)
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
