package faults

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
)

// decodeExperiment returns a small experiment with the given faults.
func decodeExperiment(t *testing.T, faults string) *experiment.Experiment {
	t.Helper()
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
`+faults))
	require.NoError(t, err)
	return e
}

// A schedule is the same on every run of a seed, so that policies can be compared on the same faults; another seed
// selects other backends. At the same time, ends come before beginnings, so that a backend is up again for the next fault.
func TestSchedule(t *testing.T) {
	e := decodeExperiment(t, `
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
	schedule := Schedule(e, 3)
	require.Len(t, schedule, 4)
	assert.Equal(t, []float64{5e3, 10e3, 10e3, 15e3}, []float64{schedule[0].At, schedule[1].At, schedule[2].At, schedule[3].At})
	assert.Equal(t, []int{0, 1, 2, 3}, schedule[0].Targets, "all there are")
	assert.False(t, schedule[1].On, "ends come before beginnings")
	assert.Len(t, schedule[2].Targets, 2)
	for _, backend := range schedule[2].Targets {
		assert.Equal(t, 1, backend%3, "in zone b")
	}
	assert.Equal(t, schedule, Schedule(e, 3))
	differs := false
	for seed := range uint64(9) {
		differs = differs || Schedule(e, seed)[2].Targets[0] != schedule[2].Targets[0]
	}
	assert.True(t, differs)
}

// Several faults may be active on the same machine. Their effects combine, and the end of one doesn't affect the others.
func TestFaultsOverlap(t *testing.T) {
	e := decodeExperiment(t, `
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
	state := NewState(e)
	assert.Equal(t, backendmodel.Faults{}, state.BackendFaults(1))
	for i := range e.Faults {
		state.Apply(Transition{On: true, Index: i, Targets: []int{1}})
	}
	assert.Equal(t, backendmodel.Faults{Slowdown: 6, ErrorShare: 0.5}, state.BackendFaults(1))
	assert.Equal(t, backendmodel.Faults{}, state.BackendFaults(2))
	assert.InDelta(t, 3, state.LoadFactor(), 1e-9)
	assert.InDelta(t, 3, MaxLoadFactor(e), 1e-9)
	assert.InDelta(t, 400, state.ListLag(), 1e-9)
	assert.True(t, state.ListDown())
	chance, factor := state.CostIncrease(0)
	assert.Equal(t, []float64{0.1, 7}, []float64{chance, factor})
	assert.Equal(t, []bool{true, true, false, false}, []bool{state.IsPartitioned(0, 1), state.IsPartitioned(1, 2), state.IsPartitioned(0, 2), state.IsPartitioned(1, 1)})
	state.Apply(Transition{Index: 0})
	state.Apply(Transition{Index: 5})
	assert.InDelta(t, 3, state.BackendFaults(1).Slowdown, 1e-9)
	assert.False(t, state.IsPartitioned(0, 1))
}

// A backend that joins during the experiment must not exist before, even if another fault has it as a target.
func TestJoiningBackends(t *testing.T) {
	e := decodeExperiment(t, `
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
	schedule := Schedule(e, 3)
	joining := JoiningBackends(e, schedule)
	for _, transition := range schedule {
		for _, backend := range transition.Targets {
			if e.Faults[transition.Index].Kind == experiment.FaultScaleUp {
				assert.True(t, joining[backend], backend)
			}
		}
	}
	assert.GreaterOrEqual(t, len(joining), 4)
	assert.LessOrEqual(t, len(joining), 7)
}
