package faults

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
)

func file(t *testing.T, troubles string) *experiment.Experiment {
	e, err := experiment.Decode("e", []byte(`seconds = 60
[fleet]
nodes = 4
backends = 12
zones = ["a", "b", "c"]
[list]
lag_ms = 100
[clients]
load = 0.5
[[category]]
name = "look"
share = 1
work_ms = 10
effect = "redeliverable"
target_latency_ms = 100
ttl_ms = 1000
benefit = 1
`+troubles))
	require.NoError(t, err)
	return e
}

func TestSchedule(t *testing.T) {
	e := file(t, `
[[trouble]]
kind = "crash"
at_s = 10
for_s = 5
share = 0.5
zone = "b"
[[trouble]]
kind = "nodes"
at_s = 5
for_s = 5
count = 9
`)
	s := Schedule(e, 3)
	require.Len(t, s, 4)
	assert.Equal(t, []float64{5e3, 10e3, 10e3, 15e3}, []float64{s[0].At, s[1].At, s[2].At, s[3].At})
	assert.Equal(t, []int{0, 1, 2, 3}, s[0].Targets, "all there are")
	assert.False(t, s[1].On, "what ends makes room for what begins")
	assert.Len(t, s[2].Targets, 2)
	for _, b := range s[2].Targets {
		assert.Equal(t, 1, b%3)
	}
	assert.Equal(t, s, Schedule(e, 3))
	differs := false
	for seed := range uint64(9) {
		differs = differs || Schedule(e, seed)[2].Targets[0] != s[2].Targets[0]
	}
	assert.True(t, differs)
}

// Troubles on one machine add up, and end each for itself.
func TestOverlap(t *testing.T) {
	e := file(t, `
[[trouble]]
kind = "slow"
share = 1
factor = 2
[[trouble]]
kind = "slow"
share = 1
factor = 3
[[trouble]]
kind = "errors"
share = 1
chance = 0.5
[[trouble]]
kind = "burst"
factor = 2
[[trouble]]
kind = "burst"
factor = 1.5
[[trouble]]
kind = "cut"
zone = "b"
[[trouble]]
kind = "list-late"
factor = 4
[[trouble]]
kind = "list-down"
[[trouble]]
kind = "costly"
category = "look"
chance = 0.1
factor = 7
`)
	s := NewState(e)
	assert.Equal(t, backendmodel.Faults{}, s.Machine(1))
	for i := range e.Trouble {
		s.Put(Switch{On: true, Index: i, Targets: []int{1}})
	}
	assert.Equal(t, backendmodel.Faults{Slowdown: 6, ErrorShare: 0.5}, s.Machine(1))
	assert.Equal(t, backendmodel.Faults{}, s.Machine(2))
	assert.InDelta(t, 3, s.Burst(), 1e-9)
	assert.InDelta(t, 3, MostBurst(e), 1e-9)
	assert.InDelta(t, 400, s.Lag(), 1e-9)
	assert.True(t, s.ListDown())
	chance, factor := s.Costly(0)
	assert.Equal(t, []float64{0.1, 7}, []float64{chance, factor})
	assert.Equal(t, []bool{true, true, false, false}, []bool{s.Cut(0, 1), s.Cut(1, 2), s.Cut(0, 2), s.Cut(1, 1)})
	s.Put(Switch{Index: 0})
	s.Put(Switch{Index: 5})
	assert.InDelta(t, 3, s.Machine(1).Slowdown, 1e-9)
	assert.False(t, s.Cut(0, 1))
}

// Those that join are not there before, whoever else is hit.
func TestJoining(t *testing.T) {
	e := file(t, `
[[trouble]]
kind = "join"
at_s = 10
count = 3
[[trouble]]
kind = "join"
at_s = 20
zone = "b"
share = 1
[[trouble]]
kind = "crash"
at_s = 5
share = 1
`)
	s := Schedule(e, 3)
	joining := Joining(e, s)
	for _, w := range s {
		for _, k := range w.Targets {
			if e.Trouble[w.Index].Kind == experiment.Join {
				assert.True(t, joining[k], k)
			}
		}
	}
	assert.GreaterOrEqual(t, len(joining), 4)
	assert.LessOrEqual(t, len(joining), 7)
}
