package capture

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balance"
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
	put("effect", balance.Redeliverable, balance.Deduplicated, balance.AtMostOnce)
	put("group", balance.GroupAll, balance.GroupZone, balance.GroupCell)
	put("state", balance.Gone, balance.Draining, balance.Ready)
	put("outcome", balance.Answered, balance.Failed, balance.Rejected, balance.TimedOut, balance.NoConnection, balance.Reset, balance.Revoked, balance.NotSent)
	put("decision", balance.DoPush, balance.DoNack, balance.DoDeadLetter, balance.DoRevoke, balance.DoWatch, balance.DoTimer, balance.DoLog)
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
