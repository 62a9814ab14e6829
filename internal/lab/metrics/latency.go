package metrics

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold latencies in us. Longer ones than maxLatencyUs are counted as such.
const (
	histogramMaxUs = 600_000_000
	maxLatencyUs   = 599_000_000

	minClassLatencyUs = 1
	classDigits       = 3 // significant digits of a class's latencies

	minWindowLatencyUs = 100
	windowDigits       = 1 // a run has many windows, so that each gets a small histogram
)

func newClassHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minClassLatencyUs, histogramMaxUs, classDigits)
}

func newWindowHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minWindowLatencyUs, histogramMaxUs, windowDigits)
}

// latencyUs converts a latency from ms to the value that histograms record, which is at least 1.
func latencyUs(ms float64) int64 {
	return int64(math.Min(ms*1e3, maxLatencyUs)) + 1
}

// quantileMs returns a percentile, 0 to 100, in ms.
func quantileMs(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return math.Round(float64(histogram.ValueAtQuantile(percentile))) / 1e3
}
