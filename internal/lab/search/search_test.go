package search

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
)

func readCalm(t *testing.T) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Read("../../../experiments/calm.toml")
	require.NoError(t, err)
	e.Seconds, e.Seeds = 10, []uint64{1}
	return e
}

// The search finds a bad schedule and shrinks it. What it found can be written to a file and read again, and the same
// seed finds it once more.
func TestSearchFindsAndShrinksTheWorstSchedule(t *testing.T) {
	e := readCalm(t)
	options := Options{Rounds: 12, MaxFaults: 4, Seed: 5, MinLossShare: 0.7, Log: io.Discard}
	result, err := FindWorst(t.Context(), e, options)
	require.NoError(t, err)
	assert.Less(t, result.WorstService, result.CalmService-0.05)
	assert.LessOrEqual(t, result.ShrunkService, result.CalmService-0.7*(result.CalmService-result.WorstService)+1e-9)
	assert.NotEmpty(t, result.Experiment.Faults)
	assert.LessOrEqual(t, len(result.Experiment.Faults), 4)

	file, err := result.Experiment.Encode()
	require.NoError(t, err)
	again, err := experiment.Decode("found.toml", file)
	require.NoError(t, err, string(file))
	assert.Equal(t, result.Experiment.Faults, again.Faults)

	repeated, err := FindWorst(t.Context(), e, options)
	require.NoError(t, err)
	assert.Equal(t, result.Experiment.Faults, repeated.Experiment.Faults)
}

// Of two faults, one hangs all backends and the other does nothing. Without further draws the search begins and
// ends with them, and only the first is left.
func TestShrinkRemovesWhatDoesNotMatter(t *testing.T) {
	e := readCalm(t)
	e.Faults = []experiment.Fault{
		{Kind: experiment.FaultBurst, StartSeconds: 1, DurationSeconds: 2, Factor: 1},
		{Kind: experiment.FaultSwallow, StartSeconds: 1, DurationSeconds: 8, Share: 1},
	}
	var log bytes.Buffer
	result, err := FindWorst(t.Context(), e, Options{MinLossShare: 0.7, Log: &log})
	require.NoError(t, err)
	require.Len(t, result.Experiment.Faults, 1)
	assert.Equal(t, experiment.FaultSwallow, result.Experiment.Faults[0].Kind)
	assert.Contains(t, log.String(), "shrunk to 1 faults")
	assert.Len(t, e.Faults, 2, "the experiment that was given stays as it is")
	assert.False(t, result.RuleBroken)
}

func TestScheduleThatBreaksARuleIsReplacedOnlyByAnother(t *testing.T) {
	s := &searcher{options: Options{MinLossShare: 0.5}}
	calm := schedule{service: 0.9}
	broken := schedule{service: -0.2, ruleBroken: true}
	kept := schedule{service: 0.5}
	assert.True(t, s.isNearlyAsBad(schedule{service: -0.05, ruleBroken: true}, broken, calm))
	assert.False(t, s.isNearlyAsBad(schedule{service: 0.1}, broken, calm))
	assert.True(t, s.isNearlyAsBad(schedule{service: 0.7}, kept, calm), "half of the loss")
	assert.False(t, s.isNearlyAsBad(schedule{service: 0.75}, kept, calm))
}

func TestSearchEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := FindWorst(ctx, readCalm(t), Options{Rounds: 1, Log: io.Discard})
	assert.ErrorIs(t, err, context.Canceled)
}
