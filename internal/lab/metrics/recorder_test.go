package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/workload"
)

const (
	requestsPerSecond = 10
	requestWorkMs     = 10
)

// decodeExperiment returns an experiment of 40 s with two backends, with the given additional client settings.
func decodeExperiment(t *testing.T, clients string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Decode("e", []byte(`seconds = 40
[fleet]
backends = 2
[clients]
ops_per_second = 10
`+clients+`
[[category]]
name = "look"
share = 1
work_ms = 10
effect = "redeliverable"
target_latency_ms = 100
ttl_ms = 1000
benefit = 2
late_benefit = 0.5
`))
	require.NoError(t, err)
	return e
}

// latencyAt returns the latency, in ms, of a request that arrives at a time; below 0 it is never served.
type latencyAt func(arrivesAt float64) float64

// neverServed is the latency of a request without a response.
const neverServed = -1

// record returns the metrics of a run with ten requests a second, each with one attempt, a quarter of them cross-zone.
// The backends do 8 s of work.
func record(e *experiment.Experiment, latency latencyAt, faults ...FaultSpan) Run {
	recorder := NewRecorder(e, 1)
	for i := range int(e.Seconds * requestsPerSecond) {
		request := &workload.Request{ID: uint64(i) + 1, ArrivesAt: float64(i) * 1e3 / requestsPerSecond, Work: requestWorkMs}
		recorder.RequestArrived(request)
		recorder.RequestSent()
		recorder.AttemptStarted(request.ArrivesAt, i%2, i%4 == 0)
		if elapsed := latency(request.ArrivesAt); elapsed >= 0 {
			recorder.RequestServed(request, request.ArrivesAt+elapsed)
			recorder.RequestServed(request, request.ArrivesAt+elapsed+1) // a second response changes nothing
		}
		recorder.RequestEnded(request)
	}
	return recorder.Finish(e.NewAuditor(0), 8000, 0, faults)
}

// Requests are served in time for 10 s, late for 10 s, after their deadline for 10 s, and then not at all.
func TestServiceByLatency(t *testing.T) {
	run := record(decodeExperiment(t, ""), func(arrivesAt float64) float64 {
		switch {
		case arrivesAt < 10e3:
			return 50
		case arrivesAt < 20e3:
			return 500
		case arrivesAt < 30e3:
			return 2000
		}
		return neverServed
	})
	assert.InDelta(t, 0.375, run.Service, 1e-9)
	assert.InDelta(t, 0, run.WorstTenSeconds, 1e-9)
	assert.Equal(t, 400, run.Requests)
	assert.InDelta(t, 0.25, run.CrossZonePerRequest, 1e-9)
	assert.InDelta(t, 1-3000.0/8000, run.WastedWork, 1e-9)
	assert.InDelta(t, 500, run.Classes[0].Latencies[0], 5, "median of the requests that were served")
	assert.Len(t, run.Windows, 80)
	assert.Contains(t, run.Summary(), "service 0.375")
}
