package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A timer that fires early by a rounding error must be followed by another one. Otherwise the node would stop making
// decisions.
func TestTimerFiresSlightlyEarly(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.requestArrives("a", 1, 10)
	h.decisions()
	h.advance(h.balancer.timers.armedFor - 4e-4 - h.now)
	decision, _ := h.balancer.Next()
	assert.Equal(t, DoSetTimer, decision.Kind)
}
