package upstream

import (
	"math/bits"
	"time"
)

// wear is what a backend's connections were seen to stand between two messages. Some break on the next message after
// far less than the time that the deployment tells, with no sign before: what lies between forgets them, or the
// backend does. An op that may not run twice is lost to that.
type wear struct {
	spans [12]span // by the time idle, from each power of two in ms on
	since time.Time
}

type span struct{ uses, breaks float64 }

const (
	wornShare  = 0.2              // of the uses that break: well above what backends in trouble break anyway
	wornLeast  = 2                // breaks that may be chance
	wearFades  = 20 * time.Second // by half, so that longer times are tried again
	leastStale = 32 * time.Millisecond
)

func spanOf(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle.Milliseconds(), 0))), len(wear{}.spans)-1)
}

// used takes how a connection fared that had been idle for so long.
func (w *wear) used(idle time.Duration, broke bool) {
	if time.Since(w.since) > wearFades {
		w.since = time.Now()
		for k := range w.spans {
			w.spans[k].uses /= 2
			w.spans[k].breaks /= 2
		}
	}
	s := &w.spans[spanOf(idle)]
	s.uses++
	if broke {
		s.breaks++
	}
}

// worn tells whether a connection that has been idle for so long would rather break: one idle for as long or less did.
func (w *wear) worn(idle time.Duration) bool {
	if idle < leastStale { // a way there and back between zones: what breaks then breaks at any time
		return false
	}
	for _, s := range w.spans[spanOf(leastStale) : spanOf(idle)+1] {
		if s.breaks >= wornLeast && s.breaks > wornShare*s.uses {
			return true
		}
	}
	return false
}
