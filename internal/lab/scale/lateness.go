package scale

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	latenessInterval  = 20 * time.Millisecond
	minSummedLateness = 250 * time.Millisecond // lateness up to this is not added up
)

// Lateness is how late a process's timers were.
type Lateness struct {
	MaxMs float64
	SumMs float64 // the whole lateness of the timers that were later than minSummedLateness
}

// timerLateness measures how late a process's own timers are. While a process gets no processor, or is stopped, its figures say nothing
// of the control plane.
type timerLateness struct{ max, sum atomic.Int64 } // ns

// watch measures until ctx ends.
func (l *timerLateness) watch(ctx context.Context) {
	for last := time.Now(); wait(ctx, latenessInterval); last = time.Now() {
		late := time.Since(last) - latenessInterval
		if late > minSummedLateness {
			l.sum.Add(int64(late))
		}
		if int64(late) > l.max.Load() {
			l.max.Store(int64(late))
		}
	}
}

// total is the lateness until now.
func (l *timerLateness) total() Lateness {
	return Lateness{MaxMs: float64(l.max.Load()) / 1e6, SumMs: float64(l.sum.Load()) / 1e6}
}

// wait waits for a while. False is that ctx has ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
