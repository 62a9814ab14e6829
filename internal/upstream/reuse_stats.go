package upstream

import (
	"math/bits"
	"time"
)

// Some connections break when they are reused after far less idle time than the deployment's idle timeout: a device between
// the machines, or the backend itself, has dropped them without closing them. A request that must not run twice then fails.
// The node therefore learns, for each backend, after which idle times reused connections break, and does not reuse them after
// such a time.

const (
	// maxReuseFailureShare is the share of reused connections that may break before the idle time counts as the cause. It is
	// well above the share that breaks at a backend with other faults.
	maxReuseFailureShare = 0.2

	// minReuseFailures is the number of broken connections needed for the idle time to count as the cause: a single one
	// may be chance.
	minReuseFailures = 2

	// reuseStatsHalfLife is the interval at which the counts are halved, so that longer idle times are tried again.
	reuseStatsHalfLife = 20 * time.Second

	// minStaleIdle is the shortest idle time that can count as the cause: a round trip between zones. A connection that
	// breaks after less would have broken without an idle time as well.
	minStaleIdle = 32 * time.Millisecond

	// idleBucketCount is the number of buckets of idle time: the last one begins at 1024 ms.
	idleBucketCount = 12
)

// reuseStats counts the reuses of a backend's connections and how many of them broke, by the time for which the connection
// had been idle. The buckets of idle time begin at the powers of two, in milliseconds.
type reuseStats struct {
	buckets   [idleBucketCount]idleBucket
	decayedAt time.Time
}

// idleBucket holds the decaying counts of a range of idle times.
type idleBucket struct{ reuses, failures float64 }

func idleBucketIndex(idle time.Duration) int {
	milliseconds := uint64(max(idle.Milliseconds(), 0))
	return min(bits.Len64(milliseconds), idleBucketCount-1)
}

// record counts a connection that was reused after that idle time.
func (s *reuseStats) record(idle time.Duration, failed bool) {
	if time.Since(s.decayedAt) > reuseStatsHalfLife {
		s.decayedAt = time.Now()
		for k := range s.buckets {
			s.buckets[k].reuses /= 2
			s.buckets[k].failures /= 2
		}
	}
	counts := &s.buckets[idleBucketIndex(idle)]
	counts.reuses++
	if failed {
		counts.failures++
	}
}

// isLikelyStale reports whether a connection that has been idle for that time would probably break, judged by those that
// had been idle for as long or less.
func (s *reuseStats) isLikelyStale(idle time.Duration) bool {
	if idle < minStaleIdle {
		return false
	}
	for _, counts := range s.buckets[idleBucketIndex(minStaleIdle) : idleBucketIndex(idle)+1] {
		if counts.failures >= minReuseFailures && counts.failures > maxReuseFailureShare*counts.reuses {
			return true
		}
	}
	return false
}
