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

// Under steady load, a rolling change of all twenty nodes: no op lost, no effect twice, and service hardly the worse.
func TestRollUnderLoad(t *testing.T) {
	bin, err := program.Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	tmp, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	defer os.RemoveAll(tmp)
	t.Setenv("TMPDIR", tmp)
	e, err := experiment.Read("../../experiments/calm.toml")
	require.NoError(t, err)
	e.Fleet.Nodes, e.Seconds = 20, 12
	r, took, err := roll(t.Context(), e, bin, 5)
	require.NoError(t, err)
	assert.True(t, r.run.Verdict.Kept, r.run.Verdict.Evidence)
	assert.Greater(t, r.run.Service, 0.97)
	assert.Greater(t, r.run.Requests, 800)
	t.Logf("changed in %v, service %.3f", took, r.run.Service)
	left, err := filepath.Glob(filepath.Join(tmp, "pkfleet*"))
	require.NoError(t, err)
	assert.Empty(t, left)
}
