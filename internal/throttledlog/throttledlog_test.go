package throttledlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Ten events occur at once, and one after the interval. Two lines are logged, each with the number of events it covers.
func TestOneLineInEachInterval(t *testing.T) {
	const interval = 50 * time.Millisecond
	throttle := New(interval)
	var lines []int64
	record := func(sinceLast int64) { lines = append(lines, sinceLast) }
	for range 10 {
		throttle.Event(record)
	}
	require.Equal(t, []int64{1}, lines)
	time.Sleep(interval)
	throttle.Event(record)
	require.Equal(t, []int64{1, 10}, lines)
}
