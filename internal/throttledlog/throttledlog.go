// Package throttledlog limits the rate of log lines for events that a client or a peer can cause at will.
package throttledlog

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Throttle allows one log line per interval, and counts the events. It is safe for concurrent use.
type Throttle struct {
	sometimes rate.Sometimes
	unlogged  atomic.Int64 // events since the last line
}

// New returns a throttle that allows a log line for the first event, and then at most one per interval.
func New(interval time.Duration) *Throttle {
	return &Throttle{sometimes: rate.Sometimes{Interval: interval}}
}

// Event counts an event. If a line is due it calls log with the number of events since the last line, this one included.
func (t *Throttle) Event(log func(sinceLast int64)) {
	t.unlogged.Add(1)
	t.sometimes.Do(func() { log(t.unlogged.Swap(0)) })
}
