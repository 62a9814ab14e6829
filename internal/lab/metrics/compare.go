package metrics

import "errors"

// Difference holds the difference of two results in one metric.
type Difference struct {
	Metric string
	Estimate
}

// comparedMetrics are the metrics that Compare looks at, in its order.
var comparedMetrics = []struct {
	name  string
	value func(Run) float64
}{
	{"service", func(r Run) float64 { return r.Service }},
	{"worst 10 s", func(r Run) float64 { return r.WorstTenSeconds }},
	{"attempts/req.", func(r Run) float64 { return r.AttemptsPerRequest }},
	{"sends/req.", func(r Run) float64 { return r.SendsPerRequest }},
	{"cross-zone/req.", func(r Run) float64 { return r.CrossZonePerRequest }},
	{"wasted work", func(r Run) float64 { return r.WastedWork }},
	{"herding, p99", func(r Run) float64 { return r.HerdingP99 }},
	{"lost weight", Run.lostWeight},
}

// Compare returns the mean differences b - a of the metrics, over the seeds that both results have. Runs of one seed have
// the same requests, so that their difference has less noise than the results have. It returns an error if the results
// have no seed in common.
func Compare(a, b Result) ([]Difference, error) {
	runsOfA := map[uint64]Run{}
	for _, run := range a.Runs {
		runsOfA[run.Seed] = run
	}
	var differences []Difference
	for _, metric := range comparedMetrics {
		var samples []float64
		for _, run := range b.Runs {
			if runOfA, isInBoth := runsOfA[run.Seed]; isInBoth {
				samples = append(samples, metric.value(run)-metric.value(runOfA))
			}
		}
		if len(samples) == 0 {
			return nil, errors.New("the results have no seed in common")
		}
		differences = append(differences, Difference{Metric: metric.name, Estimate: NewEstimate(samples)})
	}
	return differences, nil
}

// lostWeight returns the priority weight that all faults together cost.
func (r Run) lostWeight() float64 {
	lost := 0.0
	for _, fault := range r.Faults {
		lost += fault.LostWeight
	}
	return lost
}
