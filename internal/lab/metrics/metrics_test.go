package metrics

import (
	"math"
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

// decodeExperiment returns an experiment of 40 s with two backends, whose clients have further settings.
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
	return recorder.Finish(e.Auditor(0), 8000, 0, faults)
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
	assert.InDelta(t, 0, run.Worst10, 1e-9)
	assert.Equal(t, 400, run.Requests)
	assert.InDelta(t, 0.25, run.CrossZonePerRequest, 1e-9)
	assert.InDelta(t, 1-3000.0/8000, run.WastedWork, 1e-9)
	assert.InDelta(t, 500, run.Classes[0].Latencies[0], 5, "median of the requests that were served")
	assert.Len(t, run.Windows, 80)
	assert.Contains(t, run.Summary(), "service 0.375")
}

// A fault lasts from 10 s to 15 s. The time to recovery counts from its end; the lost weight counts from its start until
// recovery.
func TestRecoveryAfterFault(t *testing.T) {
	outage := func(from, to float64) latencyAt {
		return func(arrivesAt float64) float64 {
			if arrivesAt >= from && arrivesAt < to {
				return neverServed
			}
			return 10
		}
	}
	for name, c := range map[string]struct {
		latency         latencyAt
		recoverySeconds float64
		lostWeight      float64
	}{
		"recovers with the fault's end": {outage(10e3, 15e3), 0, 100},
		"recovers five seconds later":   {outage(10e3, 20e3), 5, 200},
		"never recovers":                {outage(10e3, 41e3), -1, 600},
		"the fault has no effect":       {outage(50e3, 60e3), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			run := record(decodeExperiment(t, ""), c.latency, FaultSpan{Kind: experiment.FaultSlow, From: 10e3, To: 15e3})
			recovery := run.Faults[0]
			assert.InDelta(t, c.recoverySeconds, recovery.RecoverySeconds, 1e-9)
			assert.InDelta(t, c.lostWeight, recovery.LostWeight, 1e-6)
			assert.InDelta(t, 1, recovery.ServiceBefore, 1e-9)
		})
	}
}

// The load rises for 20 s and falls for 20 s. While it falls, nothing is served for the first half: the curve of the
// falling load lies below the other one, and the area between them is what the overload cost after its cause was gone.
func TestHysteresisArea(t *testing.T) {
	e := decodeExperiment(t, "ramp = [[0, 0.5], [20, 1.5], [40, 0.5]]")
	run := record(e, func(arrivesAt float64) float64 {
		if arrivesAt > 20e3 && arrivesAt < 30e3 {
			return neverServed
		}
		return 10
	})
	require.NotNil(t, run.Hysteresis)
	assert.InDelta(t, 0.5, run.Hysteresis.Area, 0.06, "service 0 over half of the loads")
	alwaysServed := func(float64) float64 { return 10 }
	assert.InDelta(t, 0, record(e, alwaysServed).Hysteresis.Area, 1e-9)
}

// One backend gets eight attempts within 100 ms, the other none. Later each gets one.
func TestHerding(t *testing.T) {
	e := decodeExperiment(t, "")
	recorder := NewRecorder(e, 1)
	for range 8 {
		recorder.AttemptStarted(5, 0, false)
	}
	recorder.AttemptStarted(205, 0, false)
	recorder.AttemptStarted(205, 1, false)
	run := recorder.Finish(e.Auditor(0), 0, 0, nil)
	assert.InDelta(t, 2, run.Herding, 1e-9, "all attempts at one of two backends is twice the even share")
}

func TestEstimate(t *testing.T) {
	estimate := NewEstimate([]float64{2, 3, 4})
	assert.InDelta(t, 3, estimate.Mean, 1e-9)
	assert.InDelta(t, 2.484, estimate.HalfWidth, 1e-3, "4.303 over the root of three")
	assert.False(t, estimate.IncludesZero())
	assert.True(t, NewEstimate([]float64{-1, 2, -1.5}).IncludesZero())
	assert.True(t, NewEstimate([]float64{5}).IncludesZero(), "the interval of one sample is unknown")
	assert.False(t, math.IsNaN(NewEstimate(nil).Mean))
}

// Runs are compared by their seeds, whatever their order; seed 9 is in one result only.
func TestComparePairsRunsBySeed(t *testing.T) {
	a := Result{Runs: []Run{{Seed: 1, Service: 0.5}, {Seed: 2, Service: 0.7}, {Seed: 9}}}
	b := Result{Runs: []Run{{Seed: 2, Service: 0.81}, {Seed: 1, Service: 0.6}}}
	differences, err := Compare(a, b)
	require.NoError(t, err)
	service := differences[0]
	assert.Equal(t, "service", service.Metric)
	assert.InDelta(t, 0.105, service.Mean, 1e-9)
	assert.Equal(t, 2, service.N)
	assert.False(t, service.IncludesZero())
	_, err = Compare(a, Result{Runs: []Run{{Seed: 5}}})
	assert.ErrorContains(t, err, "no seed is in both results")
}
