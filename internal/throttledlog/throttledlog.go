// Package throttledlog bounds how often an event is logged that a client or a peer can cause at will.
package throttledlog

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Throttle lets one line be logged in each interval, and counts the events. It may be used by several goroutines.
type Throttle struct {
	sometimes rate.Sometimes
	unlogged  atomic.Int64 // events since the last line
}

// New returns a throttle that lets the first event be logged, and then at most one in each interval.
func New(interval time.Duration) *Throttle {
	return &Throttle{sometimes: rate.Sometimes{Interval: interval}}
}

// Event counts an event. If a line is due it calls log with the number of events since the last line, this one included.
func (t *Throttle) Event(log func(sinceLast int64)) {
	t.unlogged.Add(1)
	t.sometimes.Do(func() { log(t.unlogged.Swap(0)) })
}
