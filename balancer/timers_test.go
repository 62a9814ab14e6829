package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A timer that fires a rounding before its time is followed by another: without, a node stands still for good.
func TestTimerFiresSlightlyEarly(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.requestArrives("a", 1, 10)
	h.decisions()
	h.advance(h.balancer.timers.armedFor - 4e-4 - h.now)
	x, _ := h.balancer.Next()
	assert.Equal(t, DoSetTimer, x.Kind)
}
