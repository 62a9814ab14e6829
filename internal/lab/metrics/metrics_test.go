package metrics

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/workload"
)

func text(ramp string) *experiment.Experiment {
	e, err := experiment.Decode("e", []byte(`seconds = 40
[fleet]
backends = 2
[clients]
ops_per_second = 10
`+ramp+`
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
	if err != nil {
		panic(err)
	}
	return e
}

// play has ten ops a second, each served after a time that hangs on when it came; below 0 never.
func play(e *experiment.Experiment, after func(at float64) float64, troubles ...FaultSpan) Run {
	r := New(e, 1)
	for k := range int(e.Seconds * 10) {
		op := &workload.Request{ID: uint64(k) + 1, ArrivesAt: float64(k) * 100, Work: 10}
		r.RequestArrived(op)
		r.RequestSent()
		r.AttemptStarted(op.ArrivesAt, k%2, k%4 == 0)
		if d := after(op.ArrivesAt); d >= 0 {
			r.RequestServed(op, op.ArrivesAt+d)
			r.RequestServed(op, op.ArrivesAt+d+1) // a second answer changes nothing
		}
		r.RequestEnded(op)
	}
	return r.Finish(e.Auditor(0), 8000, 0, troubles)
}

func TestService(t *testing.T) {
	run := play(text(""), func(at float64) float64 {
		switch {
		case at < 10e3:
			return 50
		case at < 20e3:
			return 500 // late
		case at < 30e3:
			return 2000 // too late
		}
		return -1
	})
	assert.InDelta(t, 0.375, run.Service, 1e-9)
	assert.InDelta(t, 0, run.Worst10, 1e-9)
	assert.Equal(t, 400, run.Requests)
	assert.InDelta(t, 0.25, run.CrossZonePerRequest, 1e-9)
	assert.InDelta(t, 1-3000.0/8000, run.WastedWork, 1e-9)
	assert.InDelta(t, 500, run.Classes[0].Latencies[0], 5, "half of those answered")
	assert.Len(t, run.Windows, 80)
	assert.Contains(t, run.Summary(), "service 0.375")
}

// Recovery counts from the trouble's end until service is as before; what was lost counts until then.
func TestRecovery(t *testing.T) {
	bad := func(from, to float64) func(float64) float64 {
		return func(at float64) float64 {
			if at >= from && at < to {
				return -1
			}
			return 10
		}
	}
	for name, c := range map[string]struct {
		after func(float64) float64
		want  float64
		lost  float64
	}{
		"at once": {bad(10e3, 15e3), 0, 100}, "after five seconds": {bad(10e3, 20e3), 5, 200}, "never": {bad(10e3, 41e3), -1, 600},
		"untouched": {bad(50e3, 60e3), 0, 0},
	} {
		r := play(text(""), c.after, FaultSpan{Kind: "slow", From: 10e3, To: 15e3}).Faults[0]
		assert.InDelta(t, c.want, r.RecoverySeconds, 1e-9, name)
		assert.InDelta(t, c.lost, r.LostWeight, 1e-6, name)
		assert.InDelta(t, 1, r.ServiceBefore, 1e-9, name)
	}
}

// The loop's area is what the way up cost the way down.
func TestLoop(t *testing.T) {
	e := text("ramp = [[0, 0.5], [20, 1.5], [40, 0.5]]")
	run := play(e, func(at float64) float64 {
		if at > 20e3 && at < 30e3 {
			return -1
		}
		return 10
	})
	require.NotNil(t, run.Hysteresis)
	assert.InDelta(t, 0.5, run.Hysteresis.Area, 0.06, "half of the way down at nothing")
	assert.InDelta(t, 0, play(e, func(float64) float64 { return 10 }).Hysteresis.Area, 1e-9)
}

func TestHerding(t *testing.T) {
	e := text("")
	r := New(e, 1)
	for range 8 {
		r.AttemptStarted(5, 0, false)
	}
	r.AttemptStarted(205, 0, false)
	r.AttemptStarted(205, 1, false)
	run := r.Finish(e.Auditor(0), 0, 0, nil)
	assert.InDelta(t, 2, run.Herding, 1e-9, "eight to one of two is twice the even share")
}

func TestSpread(t *testing.T) {
	s := NewEstimate([]float64{2, 3, 4})
	assert.InDelta(t, 3, s.Mean, 1e-9)
	assert.InDelta(t, 2.484, s.HalfWidth, 1e-3, "4.303 over the root of three")
	assert.False(t, s.IncludesZero())
	assert.True(t, NewEstimate([]float64{-1, 2, -1.5}).IncludesZero())
	assert.True(t, NewEstimate([]float64{5}).IncludesZero(), "of one nothing is known")
	assert.False(t, math.IsNaN(NewEstimate(nil).Mean))
}

func TestCompare(t *testing.T) {
	a := Result{Runs: []Run{{Seed: 1, Service: 0.5}, {Seed: 2, Service: 0.7}, {Seed: 9}}}
	b := Result{Runs: []Run{{Seed: 2, Service: 0.81}, {Seed: 1, Service: 0.6}}}
	names, diffs, err := Compare(a, b)
	require.NoError(t, err)
	assert.Equal(t, "service", names[0])
	assert.InDelta(t, 0.105, diffs[0].Mean, 1e-9)
	assert.Equal(t, 2, diffs[0].N)
	assert.False(t, diffs[0].IncludesZero())
	_, _, err = Compare(a, Result{Runs: []Run{{Seed: 5}}})
	assert.Error(t, err)
}
