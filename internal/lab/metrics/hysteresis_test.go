package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The load rises for 20 s and falls for 20 s. While it falls, nothing is served for the first half: the curve of the
// falling load lies below the other one, and the area between them measures the loss after the overload's cause ended.
func TestHysteresisArea(t *testing.T) {
	e := decodeExperiment(t, "ramp = [[0, 0.5], [20, 1.5], [40, 0.5]]")
	run := record(e, func(arrivesAt float64) float64 {
		if arrivesAt > 20e3 && arrivesAt < 30e3 {
			return neverServed
		}
		return 10
	})
	require.NotNil(t, run.Hysteresis)
	assert.InDelta(t, 0.5, run.Hysteresis.Area, 0.06, "service 0 over half of the loads")
	alwaysServed := func(float64) float64 { return 10 }
	assert.InDelta(t, 0, record(e, alwaysServed).Hysteresis.Area, 1e-9)
}
