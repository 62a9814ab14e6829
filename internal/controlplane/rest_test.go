package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A follower that leaves a stale server for one that is stale too (a deposed leader) looks again soon: it was once 5 to 7.5 s there, and
// a change acknowledged meanwhile came later than 6 s.
func TestTwoOldCopiesInARow(t *testing.T) {
	members := []Target{{"a", "east"}, {"b", "east"}, {"c", "east"}}
	for seed := range uint64(20) {
		f := NewFollower(FollowerConfig{Name: "n", Region: "east", Members: members, Seed: seed}, VersionedDocument{}, 0)
		var at []float64
		for now := 0.0; now < 20e3 && len(at) < 3; now += TickIntervalMs {
			f.Tick(now)
			if f.state == connectionUp && int(now/TickIntervalMs)%20 == 0 {
				f.HandleFrame(now, encodeFrame(frameHeartbeat, &heartbeat{StalenessMs: 3000, StatusSentAt: now, FreshnessOffset: -3000, HeadDigestPrefix: f.history.headDocument.digest.prefix()}))
			}
			for o, ok := f.Next(); ok; o, ok = f.Next() {
				if o.Dial {
					at = append(at, now)
					f.Connected(now, o.Member)
				}
			}
		}
		require.Len(t, at, 3)
		require.LessOrEqual(t, at[2]-at[1], 3000.0)
	}
}
