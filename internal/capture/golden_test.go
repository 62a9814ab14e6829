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
	put("record", Begin, EndpointsChanged, PollFailed, RequestArrived, ClientGone, ResponseStarted, AttemptEnded, LoadReported, TimerFired, DeadlineShortened, Decided, BatchEnd, Gap, Snapshot, BackendForgotten, ProcessesChanged, RequestBodySent,
		ConfigChanged, EarlierAttempt)
	put("effect", balancer.Idempotent, balancer.IdempotentWithKey, balancer.AtMostOnce)
	put("group", balancer.DedupByAll, balancer.DedupByZone, balancer.DedupByCell)
	put("state", balancer.BackendRemoved, balancer.BackendDraining, balancer.BackendReady)
	put("outcome", balancer.OutcomeAnswered, balancer.OutcomeFailed, balancer.OutcomeRejected, balancer.OutcomeTimedOut, balancer.OutcomeConnectFailed, balancer.OutcomeConnectionReset, balancer.OutcomeCanceled, balancer.OutcomeNotSent)
	put("decision", balancer.DoAttempt, balancer.DoReject, balancer.DoFail, balancer.DoCancel, balancer.DoPoll, balancer.DoSetTimer, balancer.DoLog)
	goldentest.Equal(t, "numbers.txt", []byte(text))
}

// A capture that an earlier build wrote is played again, state for state and decision for decision.
func TestEarlierCapture(t *testing.T) {
	all, err := readRecordsOf(t, "testdata/earlier.pkcap")
	require.NoError(t, err)
	claim, err := replayRecords(all)
	require.NoError(t, err)
	require.Greater(t, claim.Decisions, 500)
	kinds := map[Kind]bool{}
	for _, r := range all {
		kinds[r.Kind] = true
		data, err := Decode(r.Append(nil))
		require.NoError(t, err)
		require.Equal(t, r, data)
	}
	for _, k := range []Kind{Begin, EndpointsChanged, RequestArrived, AttemptEnded, LoadReported, TimerFired, Decided, BatchEnd, Snapshot} {
		require.True(t, kinds[k], k)
	}
}
