package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A time that was stored has its monotonic reading, by which later times are compared with it whatever the wall clock does.
func TestAtomicTimeIsMonotonic(t *testing.T) {
	var shared AtomicTime
	_, ok := shared.Load()
	assert.False(t, ok)
	now := time.Now()
	shared.Store(now)
	loaded, ok := shared.Load()
	assert.True(t, ok)
	assert.Zero(t, loaded.Sub(now))
	assert.Contains(t, loaded.String(), " m=", "the monotonic reading")
	assert.NotContains(t, time.UnixMilli(now.UnixMilli()).String(), " m=")
	shared.Clear()
	_, ok = shared.Load()
	assert.False(t, ok)
}
