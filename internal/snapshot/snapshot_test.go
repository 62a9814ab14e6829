package snapshot

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
)

// sample has the values that are easily lost: infinities, minus zero, zero elements of lists, and negative numbers.
func sample() *balancer.Snapshot {
	return &balancer.Snapshot{
		Now:          5,
		ArmedFor:     math.Inf(1),
		IsWatched:    true,
		PollFailures: -3,
		Seq:          1 << 60,
		Random:       [2]uint64{1, math.MaxUint64},
		Hints:        []float64{1, 0, math.Copysign(0, -1)},
		PaceKinds:    [][2]float64{{0, 0}, {1, 2}},
		Classes:      []balancer.MeanSnapshot{{}, {Value: 1, Samples: 2}},
		Backends: []balancer.BackendSnapshot{
			{ID: 9, State: balancer.BackendReady, InFlight: []int{0, 1, 2, -1}, Suspicion: [2]float64{0, 7}},
			{},
		},
		Requests: []balancer.RequestSnapshot{{
			ID:       1,
			Attempts: []balancer.AttemptSnapshot{{Backend: 1, Outcome: balancer.OutcomeConnectionReset, InFlight: true}},
		}},
		Timers: []balancer.TimerSnapshot{{Request: -1, Attempt: -1}},
	}
}

func TestRoundTrip(t *testing.T) {
	data := Encode(sample())
	got, err := Decode(data)
	require.NoError(t, err)
	assert.Equal(t, sample(), got)
	assert.True(t, math.Signbit(got.Hints[2]), "bit for bit")

	addedField := protowire.AppendVarint(protowire.AppendTag(nil, 200, protowire.VarintType), 7)
	got, err = Decode(append(data, addedField...))
	require.NoError(t, err)
	assert.Equal(t, sample(), got, "a field of a later build is skipped")
}

func TestOtherVersionIsRejected(t *testing.T) {
	otherVersion := protowire.AppendVarint(protowire.AppendTag(nil, versionField, protowire.VarintType), 99)
	_, err := Decode(otherVersion)
	require.ErrorIs(t, err, ErrVersion)
	assert.Equal(t, "snapshot of another version: 99, this build reads 2", err.Error())
}

// A file that was cut short, as by a full disk, must not pass for a smaller snapshot.
func TestTruncatedSnapshotIsRejected(t *testing.T) {
	const versionSize = 2 // a tag and a number of one byte each
	data := Encode(sample())
	for size := range data[:len(data)-1] {
		if _, err := Decode(data[:size]); err == nil {
			assert.Equal(t, versionSize, size, "the version alone is an empty snapshot")
		}
	}
}

// Whatever the data, neither Decode nor a balancer that is restored from the result panics.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample()))
	f.Fuzz(func(_ *testing.T, data []byte) {
		state, err := Decode(data)
		if err != nil {
			return
		}
		config := &balancer.Config{
			Nodes:   1,
			Classes: make([]balancer.Class, len(state.Classes)),
			Tenants: make([]balancer.Tenant, len(state.Tenants)),
		}
		if restored, requests, backends, err := balancer.Restore(config, state); err == nil {
			_, _ = restored.Snapshot(requests, backends)
		}
	})
}
