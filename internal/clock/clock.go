// Package clock provides a node's only source of time: Unix time in milliseconds that never goes back.
package clock

import "time"

// Clock reads the wall clock once, at its start, and ignores later steps of it. It is safe for concurrent use.
type Clock struct {
	start   time.Time // with the monotonic reading that Now is based on
	startMs float64
}

// New returns a clock that starts now.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, startMs: float64(now.UnixMicro()) / 1e3}
}

// Now returns the time in Unix milliseconds, with fractions.
func (c *Clock) Now() float64 { return c.startMs + float64(time.Since(c.start).Nanoseconds())/1e6 }

// Time converts a reading of the clock to a time for timers and deadlines.
func (c *Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.startMs)) }

// Duration converts milliseconds to a duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
