package capture

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// benchmarkSizes are the sizes of cluster that are measured.
var benchmarkSizes = []struct{ backends, nodes int }{{10, 3}, {30, 100}, {200, 1250}}

// benchmarkConfig returns the configuration of a node among others.
func benchmarkConfig(nodes int) *balancer.Config {
	return &balancer.Config{
		Seed:             1,
		Nodes:            nodes,
		MaxAttempts:      3,
		AllowHedging:     true,
		CancelAttempts:   true,
		SlowStartShare:   0.3,
		SlowStartWindow:  8000,
		OverloadMultiple: 4,
		OverloadWindow:   2000,
		Classes:          []balancer.Class{{LatencyObjective: 600, PriorityWeight: 1}},
	}
}

// benchmarkEndpoints returns ready backends of three zones and kinds.
func benchmarkEndpoints(backends int) (endpoints []balancer.Endpoint) {
	for index := range backends {
		endpoints = append(endpoints, balancer.Endpoint{
			Backend: &balancer.Backend{ID: uint64(index)},
			State:   balancer.BackendReady,
			Zone:    index % 3,
			Kind:    index % 3,
			Weight:  1,
		})
	}
	return endpoints
}

// BenchmarkDecision measures a request from its arrival to its answer among a number of backends, without a capture
// and with one whose batches are discarded.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchmarkSizes {
		config := benchmarkConfig(size.nodes)
		b.Run(fmt.Sprintf("%d/off", size.backends), func(b *testing.B) { serveRequests(b, balancer.New(config, 1), size.backends) })
		b.Run(fmt.Sprintf("%d/on", size.backends), func(b *testing.B) {
			bytes := 0
			options := Options{SnapshotIntervalMs: 10e3, Sink: func(batch Batch) { bytes += len(batch.Data) }}
			recorder, err := NewRecorder(balancer.New(config, 1), 1, StartInfo{Name: "n", Config: config}, options)
			require.NoError(b, err)
			serveRequests(b, recorder, size.backends)
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/request-unpacked")
		})
	}
}

// serveRequests measures a decider that serves b.N requests.
func serveRequests(b *testing.B, decider balancer.Decider, backends int) {
	endpoints := benchmarkEndpoints(backends)
	decider.EndpointsChanged(1, endpoints, true, false)
	b.ReportAllocs()
	b.ResetTimer()
	now := 1.0
	for range b.N {
		now += 5
		request := &balancer.Request{Deadline: now + 2000, CostHint: 30, HasCostHint: true}
		decider.RequestArrived(now, request)
		var attempt *balancer.Attempt
		for decision, more := decider.Next(); more; decision, more = decider.Next() {
			if decision.Kind == balancer.DoAttempt {
				attempt = decision.Attempt
			}
		}
		decider.LoadReported(now+3, attempt.Backend, balancer.LoadReport{ServiceTime: 3, InFlight: 2, Queued: balancer.NotReported})
		decider.AttemptEnded(now+3, attempt, balancer.OutcomeAnswered, 3, true)
		for _, more := decider.Next(); more; _, more = decider.Next() {
		}
	}
}

// BenchmarkSnapshot measures a snapshot of a node that has served two thousand requests and has one in flight for
// each backend.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range benchmarkSizes {
		config := benchmarkConfig(size.nodes)
		lb := balancer.New(config, 1)
		endpoints := benchmarkEndpoints(size.backends)
		lb.EndpointsChanged(1, endpoints, true, false)
		var requests []*balancer.Request
		var backends []*balancer.Backend
		for _, endpoint := range endpoints {
			backends = append(backends, endpoint.Backend)
		}
		now := 1.0
		for index := range 2000 + size.backends {
			now++
			request := &balancer.Request{Deadline: now + 2000, CostHint: 30, HasCostHint: true}
			lb.RequestArrived(now, request)
			for decision, more := lb.Next(); more; decision, more = lb.Next() {
				if decision.Kind == balancer.DoAttempt && index < 2000 {
					lb.AttemptEnded(now, decision.Attempt, balancer.OutcomeAnswered, 3, true)
				}
			}
			if index >= 2000 && !request.IsDone() {
				requests = append(requests, request)
			}
		}
		takeSnapshot := func() []byte {
			state, err := lb.Snapshot(requests, backends)
			require.NoError(b, err)
			return snapshot.Encode(state)
		}
		b.Run(fmt.Sprintf("%d/taken", size.backends), func(b *testing.B) {
			for b.Loop() {
				takeSnapshot()
			}
			b.ReportMetric(float64(len(takeSnapshot())), "bytes")
		})
		data := takeSnapshot()
		b.Run(fmt.Sprintf("%d/restored", size.backends), func(b *testing.B) {
			for b.Loop() {
				state, err := snapshot.Decode(data)
				require.NoError(b, err)
				_, _, _, err = balancer.Restore(config, state)
				require.NoError(b, err)
			}
		})
	}
}
