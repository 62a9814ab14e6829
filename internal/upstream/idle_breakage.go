package upstream

import (
	"math/bits"
	"time"
)

// wear is what a backend's connections were seen to stand between two messages. Some break on the next message after
// far less than the time that the deployment tells, with no sign before: what lies between forgets them, or the
// backend does. An op that may not run twice is lost to that.
type idleBreakage struct {
	ranges    [12]idleRange // by the time idle, from each power of two in ms on
	decayedAt time.Time
}

type idleRange struct{ uses, breaks float64 }

const (
	maxBreakShare    = 0.2              // of the uses that break: well above what backends in trouble break anyway
	minBreaks        = 2                // breaks that may be chance
	breakageHalfLife = 20 * time.Second // by half, so that longer times are tried again
	minSuspectIdle   = 32 * time.Millisecond
)

func idleRangeIndex(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle.Milliseconds(), 0))), len(idleBreakage{}.ranges)-1)
}

// used takes how a connection fared that had been idle for so long.
func (w *idleBreakage) record(idle time.Duration, broke bool) {
	if time.Since(w.decayedAt) > breakageHalfLife {
		w.decayedAt = time.Now()
		for k := range w.ranges {
			w.ranges[k].uses /= 2
			w.ranges[k].breaks /= 2
		}
	}
	s := &w.ranges[idleRangeIndex(idle)]
	s.uses++
	if broke {
		s.breaks++
	}
}

// worn tells whether a connection that has been idle for so long would rather break: one idle for as long or less did.
func (w *idleBreakage) isLikelyBroken(idle time.Duration) bool {
	if idle < minSuspectIdle { // a way there and back between zones: what breaks then breaks at any time
		return false
	}
	for _, s := range w.ranges[idleRangeIndex(minSuspectIdle) : idleRangeIndex(idle)+1] {
		if s.breaks >= minBreaks && s.breaks > maxBreakShare*s.uses {
			return true
		}
	}
	return false
}
