package metrics

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEstimate(t *testing.T) {
	estimate := NewEstimate([]float64{2, 3, 4})
	assert.InDelta(t, 3, estimate.Mean, 1e-9)
	assert.InDelta(t, 2.484, estimate.HalfWidth, 1e-3, "4.303 over the root of three")
	assert.False(t, estimate.IncludesZero())
	assert.True(t, NewEstimate([]float64{-1, 2, -1.5}).IncludesZero())
	assert.True(t, NewEstimate([]float64{5}).IncludesZero(), "the interval of one sample is unknown")
	assert.False(t, math.IsNaN(NewEstimate(nil).Mean))
}
