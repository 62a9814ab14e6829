package capture

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/goldentest"
)

// The start of a capture is stored as JSON, whose keys must not change.
func TestStartRecordJSON(t *testing.T) { goldentest.JSON(t, "start.json", &StartInfo{}) }

// Captures, snapshots and frames store these numbers, so they must not change.
func TestStoredNumbersAreStable(t *testing.T) {
	text := ""
	put := func(name string, values ...any) {
		for _, value := range values {
			text += fmt.Sprintln(name, reflect.ValueOf(value).Uint())
		}
	}
	put("record",
		Begin,
		EndpointsChanged,
		PollFailed,
		RequestArrived,
		RequestAbandoned,
		ResponseStarted,
		AttemptEnded,
		LoadReported,
		TimerFired,
		DeadlineShortened,
		Decided,
		BatchEnd,
		Gap,
		Snapshot,
		BackendForgotten,
		ProcessesChanged,
		RequestBodySent,
		ConfigChanged,
		EarlierAttempt,
	)
	put("effect", balancer.Idempotent, balancer.IdempotentWithKey, balancer.AtMostOnce)
	put("group", balancer.DedupByAll, balancer.DedupByZone, balancer.DedupByCell)
	put("state", balancer.BackendRemoved, balancer.BackendDraining, balancer.BackendReady)
	put("outcome",
		balancer.OutcomeAnswered,
		balancer.OutcomeFailed,
		balancer.OutcomeRejected,
		balancer.OutcomeTimedOut,
		balancer.OutcomeConnectFailed,
		balancer.OutcomeConnectionReset,
		balancer.OutcomeCanceled,
		balancer.OutcomeNotSent,
	)
	put("decision",
		balancer.DoAttempt,
		balancer.DoReject,
		balancer.DoFail,
		balancer.DoCancel,
		balancer.DoPoll,
		balancer.DoSetTimer,
		balancer.DoLog,
	)
	goldentest.Equal(t, "numbers.txt", []byte(text))
}

// A capture that an earlier build wrote is replayed. It has the same states and the same decisions.
func TestCaptureOfEarlierBuildIsReplayed(t *testing.T) {
	records, err := readCapture(t, "testdata/earlier.pkcap")
	require.NoError(t, err)
	result, err := replayRecords(records)
	require.NoError(t, err)
	require.Greater(t, result.Decisions, 500)
	kinds := map[Kind]bool{}
	for _, record := range records {
		kinds[record.Kind] = true
		decoded, err := Decode(record.Append(nil))
		require.NoError(t, err)
		require.Equal(t, record, decoded)
	}
	for _, kind := range []Kind{
		Begin,
		EndpointsChanged,
		RequestArrived,
		AttemptEnded,
		LoadReported,
		TimerFired,
		Decided,
		BatchEnd,
		Snapshot,
	} {
		require.True(t, kinds[kind], kind)
	}
}
