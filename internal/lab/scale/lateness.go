package scale

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	latenessInterval  = 20 * time.Millisecond
	minSummedLateness = 250 * time.Millisecond // lateness up to this is not summed
)

// Lateness holds how late a process's timers fired.
type Lateness struct {
	MaxMs float64
	SumMs float64 // total lateness of the timers that were later than minSummedLateness
}

// timerLateness measures how late the timers of its own process fire. Figures taken while a process gets no processor time or is stopped
// say nothing about the control plane.
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

// total returns the lateness so far.
func (l *timerLateness) total() Lateness {
	return Lateness{MaxMs: float64(l.max.Load()) / 1e6, SumMs: float64(l.sum.Load()) / 1e6}
}

// wait waits for d, and returns false if ctx ends first.
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
