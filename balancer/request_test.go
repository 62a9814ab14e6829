package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request is long if its cost hint is above the cutoff, and only after enough hints have been seen.
func TestCutoffSeparatesShortAndLong(t *testing.T) {
	for name, c := range map[string]struct {
		hints  int
		hint   float64
		isLong bool
	}{
		"below the cutoff": {100, 96, false}, "above": {100, 97, true}, "too few hints": {49, 1e6, false},
		"no hint": {100, 0, false}, "not a number": {100, math.NaN(), false}, "infinite": {100, math.Inf(1), false},
		"negative": {100, -5, false},
	} {
		h := newHarness(t, testConfig(), 2)
		for k := range c.hints {
			h.balancer.cutoff.add(float64(k + 1))
		}
		assert.Equal(t, c.isLong, h.requestArrives("a", 0, c.hint).isLong, name)
	}
}
