package capture

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/goldentest"
)

func TestStartForm(t *testing.T) { goldentest.JSON(t, "start.json", &Start{}) }

// Captures, snapshots and frames hold these numbers.
func TestStoredNumbers(t *testing.T) {
	text := ""
	put := func(name string, values ...any) {
		for _, v := range values {
			text += fmt.Sprintln(name, reflect.ValueOf(v).Uint())
		}
	}
	put("record", Begin, Listed, ListFailed, Arrived, Left, Begun, Ended, Reported, Due, Shortened, Pulled, Idle, Gap, Snapshot, Dropped, Split, Sent,
		Retuned, Taken)
	put("effect", balancer.Redeliverable, balancer.Deduplicated, balancer.AtMostOnce)
	put("group", balancer.GroupAll, balancer.GroupZone, balancer.GroupCell)
	put("state", balancer.Gone, balancer.Draining, balancer.Ready)
	put("outcome", balancer.Answered, balancer.Failed, balancer.Rejected, balancer.TimedOut, balancer.NoConnection, balancer.Reset, balancer.Revoked, balancer.NotSent)
	put("decision", balancer.DoPush, balancer.DoNack, balancer.DoDeadLetter, balancer.DoRevoke, balancer.DoWatch, balancer.DoTimer, balancer.DoLog)
	goldentest.Equal(t, "numbers.txt", []byte(text))
}

// A capture that an earlier build wrote is played again, state for state and decision for decision.
func TestEarlierCapture(t *testing.T) {
	all, err := read(t, "testdata/earlier.pkcap")
	require.NoError(t, err)
	claim, err := replay(all)
	require.NoError(t, err)
	require.Greater(t, claim.Decisions, 500)
	kinds := map[Kind]bool{}
	for _, r := range all {
		kinds[r.Kind] = true
		data, err := Decode(r.Append(nil))
		require.NoError(t, err)
		require.Equal(t, r, data)
	}
	for _, k := range []Kind{Begin, Listed, Arrived, Ended, Reported, Due, Pulled, Idle, Snapshot} {
		require.True(t, kinds[k], k)
	}
}
