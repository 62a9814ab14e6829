package metrics

import "math"

// worstSpanWindows is the length, in windows, of the span whose least service a run states: 10 s.
const worstSpanWindows = 20

// ratio returns earned / offered, or 1 if nothing was offered.
func ratio(earned, offered float64) float64 {
	if offered == 0 {
		return 1
	}
	return earned / offered
}

// serviceOver returns the service of some windows together.
func serviceOver(windows []Window) float64 {
	offered, earned := 0.0, 0.0
	for _, window := range windows {
		offered += window.Offered
		earned += window.Earned
	}
	return ratio(earned, offered)
}

// worstService returns the least service of any span of the given number of successive windows, or that of all windows if
// there are fewer.
func worstService(windows []Window, span int) float64 {
	worst := math.Min(1, serviceOver(windows[:min(span, len(windows))]))
	for first := 1; first+span <= len(windows); first++ {
		worst = math.Min(worst, serviceOver(windows[first:first+span]))
	}
	return worst
}
