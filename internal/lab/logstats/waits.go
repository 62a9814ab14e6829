package logstats

import (
	"cmp"
	"slices"
)

// MaxAges are the greatest ages, in ms, of an answer without a queue by which waits are grouped.
var MaxAges = [5]float64{50, 100, 200, 400, 1000}

// maxWaitWithoutQueue is the wait, in ms, below which an attempt met no queue: the network's share and the error of cost
// hints together.
const maxWaitWithoutQueue = 15.0

// Mean is a mean with the number of its values.
type Mean struct {
	Sum float64
	N   int
}

func (m *Mean) add(x float64) {
	m.Sum += x
	m.N++
}

// Value is the mean; 0 of no values.
func (m Mean) Value() float64 { return m.Sum / max(float64(m.N), 1) }

// path is the way from a node to a backend.
type path struct{ node, backend string }

// answeredAttempt is an attempt that a backend answered. Times are in ms.
type answeredAttempt struct {
	path
	kind       string // of the backend's machine
	sentAt     float64
	answeredAt float64
	work       float64 // ms, by the request's cost hint
}

func (a answeredAttempt) latency() float64 { return a.answeredAt - a.sentAt }

// answer is when an attempt was answered, and how long it had waited.
type answer struct{ at, wait float64 }

// ComputeWaits fills in the waits once all logs are read. An attempt's wait is its latency beyond what a machine of its
// kind takes for the work without a queue, for which the quickest quarter stands.
func (s *Stats) ComputeWaits() {
	latencyPerWork := quickestQuarter(s.answered)
	slices.SortFunc(s.answered, func(a, b answeredAttempt) int { return cmp.Compare(a.answeredAt, b.answeredAt) })
	answers := map[path][]answer{} // in the order of their times
	for _, attempt := range s.answered {
		wait := max(0, attempt.latency()-attempt.work*latencyPerWork[attempt.kind])
		earlier := answers[attempt.path]
		s.waitsOf(attempt.sentAt, earlier).add(wait)
		answers[attempt.path] = append(earlier, answer{at: attempt.answeredAt, wait: wait})
	}
}

// quickestQuarter is the first quartile of latency per work, by the kind of machine.
func quickestQuarter(attempts []answeredAttempt) map[string]float64 {
	ratios := map[string][]float64{}
	for _, a := range attempts {
		if a.work > 0 {
			ratios[a.kind] = append(ratios[a.kind], a.latency()/a.work)
		}
	}
	quartiles := map[string]float64{}
	for kind, sorted := range ratios {
		slices.Sort(sorted)
		quartiles[kind] = sorted[len(sorted)/4]
	}
	return quartiles
}

// waitsOf is the mean to which an attempt belongs that was sent at a time, by the last of the earlier answers on its
// path that had come by then.
func (s *Stats) waitsOf(sentAt float64, earlier []answer) *Mean {
	count, _ := slices.BinarySearchFunc(earlier, sentAt, func(a answer, at float64) int { return cmp.Compare(a.at, at) })
	if count == 0 || earlier[count-1].wait >= maxWaitWithoutQueue {
		return &s.OtherWaits
	}
	age := sentAt - earlier[count-1].at
	for i, maxAge := range MaxAges {
		if age < maxAge {
			return &s.WaitsAfterNoQueue[i]
		}
	}
	return &s.OtherWaits
}
