package runner

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/virtual"
)

func readCalmExperiment(t *testing.T) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Read("../../../experiments/calm.toml")
	require.NoError(t, err)
	e.Seconds = 2
	return e
}

// The runs of a result are in the order of the experiment's seeds, although they may finish in any order.
func TestRunsInSeedOrder(t *testing.T) {
	e := readCalmExperiment(t)
	e.Seeds = []uint64{3, 1, 2}
	result, err := RunVirtual(t.Context(), e, virtual.Options{})
	require.NoError(t, err)
	var seeds []uint64
	for _, run := range result.Runs {
		seeds = append(seeds, run.Seed)
	}
	assert.Equal(t, e.Seeds, seeds)
	assert.Equal(t, metrics.HostVirtual, result.Host)
	assert.Equal(t, 3, result.Service.N)
}

func TestRunErrorNamesExperimentAndSeed(t *testing.T) {
	e := readCalmExperiment(t)
	e.Name, e.Seeds = "calm", []uint64{7}
	e.Faults = []experiment.Fault{{Kind: experiment.FaultUpgrade, StartSeconds: 1, Count: 1}}
	_, err := RunVirtual(t.Context(), e, virtual.Options{})
	assert.ErrorIs(t, err, virtual.ErrOperated)
	assert.ErrorContains(t, err, "calm, seed 7: ")
}

func TestNoRunStartsAfterContextEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := RunVirtual(ctx, readCalmExperiment(t), virtual.Options{})
	assert.ErrorIs(t, err, context.Canceled)
}
