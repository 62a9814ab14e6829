package clock

import (
	"sync/atomic"
	"time"
)

// origin is what an AtomicTime counts from: a time with a monotonic reading, before any that is stored.
var origin = time.Now().Add(-time.Second)

// AtomicTime is a time that goroutines share without a lock. What has passed since then is a span of real time: unlike a number of Unix
// milliseconds it is not affected by steps of the wall clock. The zero value has no time.
type AtomicTime struct {
	sinceOrigin atomic.Int64 // ns; 0 is no time
}

// Store sets the time, which must come from time.Now in this process.
func (a *AtomicTime) Store(t time.Time) { a.sinceOrigin.Store(int64(t.Sub(origin))) }

// Clear leaves no time.
func (a *AtomicTime) Clear() { a.sinceOrigin.Store(0) }

// Load returns the time, and whether there is one.
func (a *AtomicTime) Load() (t time.Time, ok bool) {
	since := a.sinceOrigin.Load()
	return origin.Add(time.Duration(since)), since != 0
}
