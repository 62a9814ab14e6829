package workload

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
)

// experimentFile is an experiment with two classes, one of which has a fault of costly requests. HINTS is a placeholder.
const experimentFile = `seconds = 100
[fleet]
zones = ["a", "b"]
traffic = [3, 1]
[clients]
ops_per_second = 100
retries = 2
retry_wait_ms = 100
hints = "HINTS"
ramp = [[0, 1], [50, 1], [51, 2]]
[[category]]
name = "look"
share = 3
work_ms = 20
spread = 0.5
effect = "redeliverable"
target_latency_ms = 500
ttl_ms = 1000
benefit = 1
late_benefit = 0.5
[[category]]
name = "pay"
share = 1
work_ms = 40
effect = "at-most-once"
target_latency_ms = 500
ttl_ms = 1000
benefit = 1
[[trouble]]
kind = "costly"
at_s = 10
for_s = 80
chance = 0.5
factor = 10
category = "pay"
`

// newSource returns a source with the given hint quality, and with the fault of costly requests if active.
func newSource(t *testing.T, hints string, active bool) (*Source, *experiment.Experiment) {
	t.Helper()
	e, err := experiment.Decode("e.toml", []byte(strings.Replace(experimentFile, "HINTS", hints, 1)))
	require.NoError(t, err)
	state := faults.NewState(e)
	if active {
		state.Apply(faults.Transition{On: true})
	}
	return New(e, state, 7), e
}

// generate returns all requests of an experiment.
func generate(s *Source, e *experiment.Experiment) (requests []*Request) {
	for s.NextArrival() < e.LengthMs() {
		if request := s.Arrive(); request != nil {
			requests = append(requests, request)
		}
	}
	return requests
}

// The generated load must match the experiment's file, or its figures would be meaningless: the rate and its ramp, the
// mix of zones and classes, and the mean cost.
func TestLoadMatchesExperiment(t *testing.T) {
	source, e := newSource(t, "exact", false)
	requests := generate(source, e)
	firstHalf, pays, inFirstZone, work := 0, 0, 0, 0.0
	for _, request := range requests {
		if request.ArrivesAt < 50e3 {
			firstHalf++
		}
		pays += request.Class
		inFirstZone += 1 - request.Zone
		if request.Class == 0 {
			work += request.Work
		}
		assert.InDelta(t, request.Work, request.CostHint, 0)
	}
	assert.InDelta(t, 5000, firstHalf, 300)
	assert.InDelta(t, 15000, len(requests), 500, "twice as many in the second half")
	assert.InDelta(t, 0.25, float64(pays)/float64(len(requests)), 0.02)
	assert.InDelta(t, 0.75, float64(inFirstZone)/float64(len(requests)), 0.02)
	assert.InDelta(t, 20, work/float64(len(requests)-pays), 0.6)
}

// Clients' cost hints are exact, rough, misleading or absent: what a hint says must correlate with the cost accordingly.
func TestHints(t *testing.T) {
	for hints, correlations := range map[string]struct{ min, max float64 }{
		"exact":      {1, 1},
		"rough":      {0.5, 0.97},
		"misleading": {-0.1, 0.1},
	} {
		source, e := newSource(t, hints, false)
		var work, hinted []float64
		for _, request := range generate(source, e) {
			if request.Class == 0 {
				work, hinted = append(work, math.Log(request.Work)), append(hinted, math.Log(request.CostHint))
			}
		}
		r := correlation(work, hinted)
		assert.GreaterOrEqual(t, r, correlations.min-1e-9, hints)
		assert.LessOrEqual(t, r, correlations.max+1e-9, hints)
	}
	source, e := newSource(t, "absent", false)
	assert.False(t, generate(source, e)[0].HasCostHint)
}

// correlation returns Pearson's correlation coefficient.
func correlation(x, y []float64) float64 {
	n, sx, sy, sxx, syy, sxy := float64(len(x)), 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, syy, sxy = sxx+x[i]*x[i], syy+y[i]*y[i], sxy+x[i]*y[i]
	}
	return (n*sxy - sx*sy) / math.Sqrt((n*sxx-sx*sx)*(n*syy-sy*sy))
}

// Two runs are compared request by request, so a request's properties must depend on the seed alone: a fault that makes
// some of them costly changes nothing else, not even their hints.
func TestRequestsArePaired(t *testing.T) {
	calm, e := newSource(t, "rough", false)
	faulty, _ := newSource(t, "rough", true)
	want, got := generate(calm, e), generate(faulty, e)
	require.Len(t, got, len(want))
	costly := 0
	for i := range want {
		if want[i].Work != got[i].Work {
			assert.InDelta(t, 10, got[i].Work/want[i].Work, 1e-9)
			assert.Equal(t, 1, want[i].Class)
			costly++
		}
		assert.Equal(t, want[i].CostHint, got[i].CostHint, "no hint foresees it")
	}
	assert.InDelta(t, float64(len(want))/8, costly, 200)
	assert.Equal(t, calm.Behavior(want[5], 1), faulty.Behavior(got[5], 1))
}

// Retrying a payment that may have run could charge twice, so a payment is only retried if it is known not to have run.
// Retry-After is honored, the number of tries is bounded, and no two tries share an ID.
func TestRetry(t *testing.T) {
	source, _ := newSource(t, "rough", false)
	look, pay := &Request{ID: 1}, &Request{ID: 2, Class: 1}
	for name, c := range map[string]struct {
		request    *Request
		number     int
		outcome    Outcome
		retryAfter float64
		want       bool
	}{
		"served":                    {look, 0, OutcomeServed, 0, false},
		"idempotent lost":           {look, 0, OutcomeLost, 0, true},
		"idempotent, no tries left": {look, 2, OutcomeLost, 0, false},
		"payment lost":              {pay, 0, OutcomeLost, 0, false},
		"payment rejected":          {pay, 0, OutcomeRejected, 0, true},
		"payment unreachable":       {pay, 0, OutcomeUnreachable, 0, true},
		"payment with Retry-After":  {pay, 1, OutcomeRejected, 700, true},
	} {
		wait, retry := source.Retry(c.request, c.number, c.outcome, c.retryAfter)
		assert.Equal(t, c.want, retry, name)
		if c.retryAfter > 0 {
			assert.InDelta(t, c.retryAfter, wait, 0, name)
		} else if retry {
			assert.InDelta(t, 100, wait, 50, name)
		}
	}
	class := &balancer.Class{LatencyObjective: 500, LateWeight: 0.5}
	earned := []float64{EarnedShare(class, 500, 1000), EarnedShare(class, 501, 1000), EarnedShare(class, 1001, 1000)}
	assert.Equal(t, []float64{1, 0.5, 0}, earned)
	assert.Equal(t, TryID(78, 0), TryID(77, 31)+1, "the tries of two requests never meet")
}
