package metrics

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with its 95% confidence interval by Student's t; of one sample the interval is unknown, and zero
// wide with HasInterval false.
type Estimate struct {
	Mean        float64 `json:"mean"`
	HalfWidth   float64 `json:"half_95"` // half of the interval's width
	N           int     `json:"n"`
	HasInterval bool    `json:"known"`
}

// NewEstimate is that of some samples.
func NewEstimate(x []float64) Estimate {
	s := Estimate{N: len(x)}
	if len(x) == 0 {
		return s
	}
	mean, dev := stat.MeanStdDev(x, nil)
	s.Mean = mean
	if len(x) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
		s.HalfWidth, s.HasInterval = t*dev/math.Sqrt(float64(len(x))), true
	}
	return s
}

func (s Estimate) String() string {
	if !s.HasInterval {
		return fmt.Sprintf("%.3f", s.Mean)
	}
	return fmt.Sprintf("%.3f +- %.3f", s.Mean, s.HalfWidth)
}

// IncludesZero tells whether zero lies within the interval, so that a mean difference may be chance.
func (s Estimate) IncludesZero() bool { return !s.HasInterval || math.Abs(s.Mean) <= s.HalfWidth }

// Compare gives the mean differences b - a of the figures over the seeds that both have, in a fixed order.
func Compare(a, b Result) (names []string, diffs []Estimate, err error) {
	figures := []struct {
		name string
		of   func(Run) float64
	}{
		{"service", func(r Run) float64 { return r.Service }},
		{"worst 10 s", func(r Run) float64 { return r.Worst10 }},
		{"pushes an op", func(r Run) float64 { return r.AttemptsPerRequest }},
		{"tries an op", func(r Run) float64 { return r.SendsPerRequest }},
		{"crossings an op", func(r Run) float64 { return r.CrossZonePerRequest }},
		{"work wasted", func(r Run) float64 { return r.WastedWork }},
		{"herding, 99th", func(r Run) float64 { return r.HerdingP99 }},
		{"benefit lost", func(r Run) float64 {
			lost := 0.0
			for _, t := range r.Faults {
				lost += t.LostWeight
			}
			return lost
		}},
	}
	bySeed := map[uint64]Run{}
	for _, r := range a.Runs {
		bySeed[r.Seed] = r
	}
	for _, f := range figures {
		var d []float64
		for _, r := range b.Runs {
			if was, both := bySeed[r.Seed]; both {
				d = append(d, f.of(r)-f.of(was))
			}
		}
		if len(d) == 0 {
			return nil, nil, fmt.Errorf("no seed is in both results")
		}
		names, diffs = append(names, f.name), append(diffs, NewEstimate(d))
	}
	return names, diffs, nil
}
