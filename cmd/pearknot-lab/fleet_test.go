package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/program"
)

// All twenty nodes are changed under a steady load, at most five at a time. No request is lost or runs twice, and service is hardly
// worse.
func TestRollingChangeUnderLoad(t *testing.T) {
	bin, err := program.Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	tmp, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	defer os.RemoveAll(tmp)
	t.Setenv("TMPDIR", tmp)
	e, err := experiment.Read("../../experiments/calm.toml")
	require.NoError(t, err)
	e.Fleet.Nodes, e.Seconds = 20, 12
	outcome, err := playRollingChange(t.Context(), e, bin, 5)
	require.NoError(t, err)
	assert.True(t, outcome.run.Verdict.Kept, outcome.run.Verdict.Evidence)
	assert.Greater(t, outcome.run.Service, 0.97)
	assert.Greater(t, outcome.run.Requests, 800)
	t.Logf("changed in %v, service %.3f", outcome.changeTime, outcome.run.Service)
	left, err := filepath.Glob(filepath.Join(tmp, "pkfleet*"))
	require.NoError(t, err)
	assert.Empty(t, left)
}
