package upstream

import (
	"math/bits"
	"time"
)

// Some connections break when they are reused after far less idle time than the deployment's idle timeout: a device between
// the machines, or the backend itself, has dropped them without a notice. A request that must not run twice fails by that.
// The node therefore learns, for each backend, after which idle times connections break, and does not reuse them then.

const (
	// maxBreakShare is the share of reused connections that may break before the idle time is blamed. It is well above the
	// share that breaks at a backend with other faults.
	maxBreakShare = 0.2

	// minBreaks is how many breaks are needed to blame the idle time: a single one may be chance.
	minBreaks = 2

	// breakageHalfLife is the interval at which the counts are halved, so that longer idle times are tried again.
	breakageHalfLife = 20 * time.Second

	// minSuspectIdle is the shortest idle time that is blamed: a round trip between zones. A connection that breaks after
	// less would have broken without an idle time as well.
	minSuspectIdle = 32 * time.Millisecond

	// idleRangeCount is the number of ranges: the last one begins at 1024 ms.
	idleRangeCount = 12
)

// idleBreakage counts the reuses of a backend's connections and how many of them broke, by the time for which the connection
// had been idle. The ranges of idle time begin at the powers of two, in milliseconds.
type idleBreakage struct {
	ranges    [idleRangeCount]idleRange
	decayedAt time.Time
}

// idleRange holds decaying counts.
type idleRange struct{ uses, breaks float64 }

func idleRangeIndex(idle time.Duration) int {
	milliseconds := uint64(max(idle.Milliseconds(), 0))
	return min(bits.Len64(milliseconds), idleRangeCount-1)
}

// record counts a connection that was reused after that idle time.
func (b *idleBreakage) record(idle time.Duration, broke bool) {
	if time.Since(b.decayedAt) > breakageHalfLife {
		b.decayedAt = time.Now()
		for k := range b.ranges {
			b.ranges[k].uses /= 2
			b.ranges[k].breaks /= 2
		}
	}
	counts := &b.ranges[idleRangeIndex(idle)]
	counts.uses++
	if broke {
		counts.breaks++
	}
}

// isLikelyBroken reports whether a connection that has been idle for that time would probably break, judged by those that
// had been idle for as long or less.
func (b *idleBreakage) isLikelyBroken(idle time.Duration) bool {
	if idle < minSuspectIdle {
		return false
	}
	for _, counts := range b.ranges[idleRangeIndex(minSuspectIdle) : idleRangeIndex(idle)+1] {
		if counts.breaks >= minBreaks && counts.breaks > maxBreakShare*counts.uses {
			return true
		}
	}
	return false
}
