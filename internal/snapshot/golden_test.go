package snapshot_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/goldentest"
	"pearknot/internal/snapshot"
)

// filled returns a snapshot with a distinct value in each field, so that the test notices two fields that were swapped.
func filled() *balancer.Snapshot {
	return &balancer.Snapshot{Now: 2.5,
		ArmedFor:             3.5,
		ReviewAt:             4.5,
		RotationPosition:     5.5,
		RetryTokens:          6.5,
		CommonSuspicion:      7.5,
		MeanWeight:           8.5,
		PollAt:               9.5,
		InFlightLimit:        10.5,
		LatestAnsweredSentAt: 11.5,
		IsWatched:            true,
		IsReviewPending:      true,
		HasFreedCapacity:     true,
		PollFailures:         15,
		Seq:                  0x10,
		Random:               [2]uint64{0x12, 0x13},
		Hints:                []float64{21.5},
		HintNext:             22,
		Overrun: balancer.QuantileSnapshot{Value: 24.5,
			Samples: 25},
		Priority: balancer.MeanSnapshot{Value: 27.5,
			Samples: 28.5},
		Work: balancer.MeanSnapshot{Value: 30.5,
			Samples: 31.5},
		ServiceTime: balancer.MeanSnapshot{Value: 33.5,
			Samples: 34.5},
		PaceAll:     [2]float64{36.5, 37.5},
		PaceKinds:   [][2]float64{{40.5, 41.5}},
		WaitsAll:    [3]float64{43.5, 44.5, 45.5},
		WaitsByZone: [][3]float64{{48.5, 49.5, 50.5}},
		UsageByZone: [][2]float64{{53.5, 54.5}},
		Classes: []balancer.MeanSnapshot{{Value: 57.5,
			Samples: 58.5}},
		Tenants: [][2]float64{{61.5, 62.5}},
		Backends: []balancer.BackendSnapshot{{ID: 0x41,
			Zone:               66,
			Cell:               67,
			Kind:               68,
			State:              0x45,
			Weight:             70.5,
			Started:            71.5,
			Tracked:            true,
			LongInFlight:       73,
			WorkInFlight:       74.5,
			LastAnsweredSentAt: 75.5,
			BusyUntil:          76.5,
			BestPace:           77.5,
			MaxInFlight:        78.5,
			PausedUntil:        79.5,
			RotationPass:       80.5,
			Pace:               [2]float64{82.5, 83.5},
			AnswerRatio: balancer.QuantileSnapshot{Value: 85.5,
				Samples: 86},
			CompletionRate: [3]float64{88.5, 89.5, 90.5},
			Suspicion:      [2]float64{92.5, 93.5},
			RecentWorkAt:   []float64{95.5},
			RecentWork:     []float64{97.5},
			InFlight:       []int{99},
			Waits:          [3]float64{101.5, 102.5, 103.5},
			MaxCoresSeen:   104.5,
			LastWait:       [2]float64{106.5, 107.5},
			Cordoned:       true,
			UncordonedAt:   109.5,
			CordonedAt:     110.5,
			RemovedAt:      111.5,
			WasDrained:     true,
			IsConnected:    true,
			InSubset:       true,
			Refusals:       115.5,
			LastResetAt:    116.5}},
		Order: []int{18},
		Requests: []balancer.RequestSnapshot{{ID: 0x15,
			Class:         22,
			Tenant:        23,
			CostHint:      124.5,
			ArrivedAt:     125.5,
			Deadline:      126.5,
			Work:          127.5,
			Estimate:      128.5,
			HasCostHint:   true,
			IsClientRetry: true,
			IsLong:        true,
			Stage:         32,
			Attempts: []balancer.AttemptSnapshot{{Backend: 35,
				SentAt:       136.5,
				ExpectedTime: 137.5,
				InFlight:     true,
				Canceled:     true,
				IsOverdue:    true,
				WasAlone:     true,
				Outcome:      0x2a,
				HasStarted:   true}},
			OverQuota: 144.5,
			Streamed:  true,
			Key:       0x2e}},
		Queued: []int{48},
		Timers: []balancer.TimerSnapshot{{At: 151.5,
			Seq:             0x34,
			Request:         53,
			Attempt:         54,
			KeyQueue:        55,
			IsWorkAbandoned: true}},
		Processes:  57,
		SplitUntil: 158.5,
		KeyQueues: []balancer.KeyQueueSnapshot{{Key: 0x3d,
			CooldownUntil: 162.5,
			Requests:      []int{64}}},
		IsListDoubted:        true,
		LastResetAt:          166.5,
		AnsweredAfterResetAt: 167.5,
		AnsweredTime:         [2]float64{169.5, 170.5},
		TenantRate:           [2]float64{172.5, 173.5}}
}

// An earlier build wrote the file, as a node may find it after an upgrade. This build must write the same bytes and read
// each value into the field that it came from.
func TestSnapshotForm(t *testing.T) {
	goldentest.Equal(t, "snapshot-v2.bin", snapshot.Encode(filled()))
	data, err := os.ReadFile("testdata/snapshot-v2.bin")
	require.NoError(t, err)
	got, err := snapshot.Decode(data)
	require.NoError(t, err)
	require.Equal(t, filled(), got)
}
