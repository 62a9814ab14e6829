package metrics

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the quantile at the upper end of a two-sided 95% interval.
const upperQuantile = 0.975

// Estimate is the mean of some samples, with its 95% confidence interval by Student's t-distribution. The interval of a
// single sample is unknown.
type Estimate struct {
	Mean        float64 `json:"mean"`
	HalfWidth   float64 `json:"half_95"` // half of the interval's width; 0 if it is unknown
	N           int     `json:"n"`       // number of samples
	HasInterval bool    `json:"known"`
}

// NewEstimate returns the estimate of some samples; without samples it is the zero value.
func NewEstimate(samples []float64) Estimate {
	estimate := Estimate{N: len(samples)}
	if len(samples) == 0 {
		return estimate
	}
	mean, deviation := stat.MeanStdDev(samples, nil)
	estimate.Mean = mean
	if len(samples) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(samples) - 1)}.Quantile(upperQuantile)
		estimate.HalfWidth = t * deviation / math.Sqrt(float64(len(samples)))
		estimate.HasInterval = true
	}
	return estimate
}

// String returns the mean, and half of the interval's width if it is known.
func (e Estimate) String() string {
	if !e.HasInterval {
		return fmt.Sprintf("%.3f", e.Mean)
	}
	return fmt.Sprintf("%.3f +- %.3f", e.Mean, e.HalfWidth)
}

// IncludesZero reports whether the interval includes zero or is unknown. A mean difference may then be due to chance.
func (e Estimate) IncludesZero() bool { return !e.HasInterval || math.Abs(e.Mean) <= e.HalfWidth }
