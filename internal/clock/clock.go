// Package clock is a node's one reading of time: Unix milliseconds that only advance.
package clock

import "time"

// Clock goes on from the wall clock's reading at its start and follows none of its later steps.
type Clock struct {
	start time.Time
	base  float64
}

func New() *Clock {
	now := time.Now()
	return &Clock{start: now, base: float64(now.UnixMicro()) / 1e3}
}

// Now is the present in Unix milliseconds, with fractions.
func (c *Clock) Now() float64 { return c.base + float64(time.Since(c.start).Nanoseconds())/1e6 }

// At is a reading as a time that timers and sockets take.
func (c *Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.base)) }

// Span turns milliseconds into a duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
