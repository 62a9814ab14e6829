package snapshot

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
)

func sample() *balancer.Snapshot {
	return &balancer.Snapshot{Now: 5, ArmedFor: math.Inf(1), IsWatched: true, PollFailures: -3, Seq: 1 << 60, Random: [2]uint64{1, math.MaxUint64},
		Hints: []float64{1, 0, math.Copysign(0, -1)}, PaceKinds: [][2]float64{{0, 0}, {1, 2}}, Classes: []balancer.MeanSnapshot{{}, {Value: 1, Seen: 2}},
		Backends: []balancer.BackendSnapshot{{ID: 9, State: balancer.BackendReady, InFlight: []int{0, 1, 2, -1}, Suspicion: [2]float64{0, 7}}, {}},
		Requests: []balancer.RequestSnapshot{{ID: 1, Attempts: []balancer.AttemptSnapshot{{Backend: 1, Outcome: balancer.OutcomeConnectionReset, InFlight: true}}}}, Timers: []balancer.TimerSnapshot{{Request: -1, Attempt: -1}}}
}

func TestRoundTrip(t *testing.T) {
	data := Encode(sample())
	got, err := Decode(data)
	require.NoError(t, err)
	assert.Equal(t, sample(), got)
	assert.True(t, math.Signbit(got.Hints[2]), "bit for bit")
	later := protowire.AppendVarint(protowire.AppendTag(nil, 200, protowire.VarintType), 7) // a field of a later build
	got, err = Decode(append(data, later...))
	require.NoError(t, err)
	assert.Equal(t, sample(), got)
}

func TestOdd(t *testing.T) {
	other := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 99)
	_, err := Decode(other)
	require.ErrorIs(t, err, ErrVersion)
	assert.Equal(t, "snapshot of another version: 99, this build reads 2", err.Error())
	data := Encode(sample())
	for at := range data[:len(data)-1] {
		if _, err := Decode(data[:at]); err == nil {
			assert.Equal(t, 2, at, "its version alone is an empty one")
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample()))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		t := &balancer.Config{Nodes: 1, Classes: make([]balancer.Class, len(s.Classes)), Tenants: make([]balancer.Tenant, len(s.Tenants))}
		if n, ops, backends, err := balancer.Restore(t, s); err == nil {
			_, _ = n.Snapshot(ops, backends)
		}
	})
}
