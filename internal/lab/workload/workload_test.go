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

const file = `seconds = 100
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

func source(t *testing.T, hints string, on bool) (*Source, *experiment.Experiment) {
	e, err := experiment.Decode("e.toml", []byte(strings.Replace(file, "HINTS", hints, 1)))
	require.NoError(t, err)
	s := faults.NewState(e)
	if on {
		s.Put(faults.Switch{On: true})
	}
	return New(e, s, 7), e
}

func all(s *Source, e *experiment.Experiment) (ops []*Request) {
	for s.Next() < e.Length() {
		if op := s.Arrive(); op != nil {
			ops = append(ops, op)
		}
	}
	return ops
}

func TestLoad(t *testing.T) {
	s, e := source(t, "exact", false)
	ops := all(s, e)
	early, pays, near, work := 0, 0, 0, 0.0
	for _, op := range ops {
		if op.At < 50e3 {
			early++
		}
		pays += op.Category
		near += 1 - op.Zone
		if op.Category == 0 {
			work += op.Work
		}
		assert.InDelta(t, op.Work, op.Hint, 0)
	}
	assert.InDelta(t, 5000, early, 300)
	assert.InDelta(t, 15000, len(ops), 500, "twice as many in the second half")
	assert.InDelta(t, 0.25, float64(pays)/float64(len(ops)), 0.02)
	assert.InDelta(t, 0.75, float64(near)/float64(len(ops)), 0.02)
	assert.InDelta(t, 20, work/float64(len(ops)-pays), 0.6)
}

func TestHints(t *testing.T) {
	for hints, c := range map[string]struct{ least, most float64 }{"exact": {1, 1}, "rough": {0.5, 0.97}, "misleading": {-0.1, 0.1}} {
		s, e := source(t, hints, false)
		var x, y []float64
		for _, op := range all(s, e) {
			if op.Category == 0 {
				x, y = append(x, math.Log(op.Work)), append(y, math.Log(op.Hint))
			}
		}
		r := correlation(x, y)
		assert.GreaterOrEqual(t, r, c.least-1e-9, hints)
		assert.LessOrEqual(t, r, c.most+1e-9, hints)
	}
	s, e := source(t, "absent", false)
	assert.False(t, all(s, e)[0].HasHint)
}

func correlation(x, y []float64) float64 {
	n, sx, sy, sxx, syy, sxy := float64(len(x)), 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range x {
		sx, sy, sxx, syy, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], syy+y[i]*y[i], sxy+x[i]*y[i]
	}
	return (n*sxy - sx*sy) / math.Sqrt((n*sxx-sx*sx)*(n*syy-sy*sy))
}

// What an op is like hangs on the seed alone: a trouble that makes some costly changes nothing else.
func TestOpsArePaired(t *testing.T) {
	a, e := source(t, "rough", false)
	b, _ := source(t, "rough", true)
	x, y := all(a, e), all(b, e)
	require.Len(t, y, len(x))
	costly := 0
	for i := range x {
		if x[i].Work != y[i].Work {
			assert.InDelta(t, 10, y[i].Work/x[i].Work, 1e-9)
			assert.Equal(t, 1, x[i].Category)
			costly++
		}
		assert.Equal(t, x[i].Hint, y[i].Hint, "no hint foresees it")
	}
	assert.InDelta(t, float64(len(x))/8, costly, 200)
	assert.Equal(t, a.Try(x[5], 1), b.Try(y[5], 1))
}

func TestAgain(t *testing.T) {
	s, _ := source(t, "rough", false)
	look, pay := &Request{ID: 1}, &Request{ID: 2, Category: 1}
	for _, c := range []struct {
		op     *Request
		number int
		how    Outcome
		back   float64
		again  bool
	}{
		{look, 0, Acked, 0, false}, {look, 0, Lost, 0, true}, {look, 2, Lost, 0, false}, {pay, 0, Lost, 0, false},
		{pay, 0, Nacked, 0, true}, {pay, 0, Unreached, 0, true}, {pay, 1, Nacked, 700, true},
	} {
		wait, again := s.Again(c.op, c.number, c.how, c.back)
		assert.Equal(t, c.again, again, "%+v", c)
		if c.back > 0 {
			assert.InDelta(t, c.back, wait, 0)
		} else if again {
			assert.InDelta(t, 100, wait, 50)
		}
	}
	c := &balancer.Class{LatencyObjective: 500, LateWeight: 0.5}
	assert.Equal(t, []float64{1, 0.5, 0}, []float64{Earned(c, 500, 1000), Earned(c, 501, 1000), Earned(c, 1001, 1000)})
	assert.Equal(t, TryID(78, 0), TryID(77, 31)+1, "tries of two ops never meet")
}
