package metrics

import (
	"math"
	"slices"
)

// herdingSpanMs is the length of the spans in which attempts are counted, in ms. Within so short a time the nodes hardly
// learn of each other's attempts: a backend that all of them rate best gets all their attempts.
const herdingSpanMs = 100.0

// herding measures the imbalance of attempts across the backends over short spans.
type herding struct {
	spanStart float64   // ms
	attempts  []int     // in the current span, by backend
	ratios    []float64 // for each finished span with attempts: the most that a backend got, divided by an even share
}

func newHerding(backends int) herding { return herding{attempts: make([]int, backends)} }

// attemptStarted counts an attempt that starts at a time in ms, at or after that of the one before.
func (h *herding) attemptStarted(now float64, backend int) {
	if now >= h.spanStart+herdingSpanMs {
		h.endSpan()
		h.spanStart = math.Floor(now/herdingSpanMs) * herdingSpanMs
	}
	h.attempts[backend]++
}

// endSpan records the ratio of the current span, if it has attempts, and begins the next.
func (h *herding) endSpan() {
	sum, most := 0, 0
	for _, count := range h.attempts {
		sum += count
		most = max(most, count)
	}
	if sum > 0 {
		// With fewer attempts than backends the even share is below one attempt, and any distribution would look uneven.
		evenShare := math.Max(float64(sum)/float64(len(h.attempts)), 1)
		h.ratios = append(h.ratios, float64(most)/evenShare)
	}
	clear(h.attempts)
}

// finish ends the last span and returns the maximum and the 99th percentile of all spans, or zeros without an attempt.
func (h *herding) finish() (maximum, p99 float64) {
	h.endSpan()
	if len(h.ratios) == 0 {
		return 0, 0
	}
	slices.Sort(h.ratios)
	return h.ratios[len(h.ratios)-1], h.ratios[len(h.ratios)*99/100]
}
