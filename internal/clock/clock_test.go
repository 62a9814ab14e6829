package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Readings are Unix milliseconds, and a reading converts to the time at which it was taken.
func TestClock(t *testing.T) {
	clock := New()
	before := time.Now()
	ms := clock.Now()
	after := time.Now()
	assert.InDelta(t, before.UnixMilli(), ms, float64(after.Sub(before).Milliseconds()+2))
	assert.WithinRange(t, clock.Time(ms), before.Add(-time.Millisecond), after.Add(time.Millisecond))
	assert.Equal(t, 1500*time.Microsecond, clock.Time(ms+1.5).Sub(clock.Time(ms)).Round(time.Microsecond))
	assert.Equal(t, 2500*time.Microsecond, Duration(2.5))
}
