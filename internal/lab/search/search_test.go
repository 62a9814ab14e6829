package search

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
)

// The search finds something bad, shrinks it, and writes what can be read and played again.
func TestWorst(t *testing.T) {
	e, err := experiment.Read("../../../experiments/calm.toml")
	require.NoError(t, err)
	e.Seconds, e.Seeds = 10, []uint64{1}
	o := Options{Rounds: 12, Most: 4, Seed: 5, Keep: 0.7, Log: io.Discard}
	f, err := Worst(t.Context(), e, o)
	require.NoError(t, err)
	assert.Less(t, f.Service, f.Calm-0.05)
	assert.LessOrEqual(t, f.Shrunk, f.Calm-0.7*(f.Calm-f.Service)+1e-9)
	assert.NotEmpty(t, f.Experiment.Faults)
	assert.LessOrEqual(t, len(f.Experiment.Faults), 4)
	text, err := f.Experiment.Encode()
	require.NoError(t, err)
	again, err := experiment.Decode("found.toml", text)
	require.NoError(t, err, string(text))
	assert.Equal(t, f.Experiment.Faults, again.Faults)
	same, err := Worst(t.Context(), e, o)
	require.NoError(t, err)
	assert.Equal(t, f.Experiment.Faults, same.Experiment.Faults, "one seed, one search")
}
