package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/program"
)

// TestMain lets this test program stand for pearknot-lab, which a measurement starts for its stand-in instances.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "instances" {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A row is measured and written to a file; the file alone gives the same tables. A target whose limits are below the costs is exit
// status 3.
func TestCapacityOfOneRow(t *testing.T) {
	bin, err := program.Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	tmp, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	defer os.RemoveAll(tmp)
	t.Setenv("TMPDIR", tmp)
	dir := t.TempDir()
	data, err := os.ReadFile("../../experiments/capacity/target.toml")
	require.NoError(t, err)
	generous, tight, file := filepath.Join(dir, "a.toml"), filepath.Join(dir, "b.toml"), filepath.Join(dir, "r.json")
	require.NoError(t, os.WriteFile(generous, []byte(strings.Replace(string(data), "node_bytes_per_second = 16384", "node_bytes_per_second = 1e11", 1)), 0o600))
	require.NoError(t, os.WriteFile(tight, []byte(strings.Replace(string(data), "node_bytes_per_second = 16384", "node_bytes_per_second = 1", 1)), 0o600))

	status, out, errs := runLab(t, "capacity", "--quick", "--only", "agent", "--target", generous, "--out", file, "--pearknot", bin)
	require.Equal(t, 0, status, errs)
	assert.Contains(t, out, "| agent.cpu | ")
	assert.Contains(t, out, "Nothing that was measured.")
	assert.Contains(t, errs, "peak memory")
	status, again, errs := runLab(t, "capacity", "--target", generous, "--from", file)
	assert.Equal(t, 0, status, errs)
	assert.Equal(t, out, again)
	left, err := os.ReadDir(tmp)
	require.NoError(t, err)
	assert.Empty(t, left)

	require.NoError(t, os.WriteFile(file, []byte(`{"machine":"m","slopes":[{"key":"node.bytes","what":"w","unit":"B/s","by":"backends",
"points":[{"size":30,"median":200,"low":200,"high":200,"runs":5}]}]}`), 0o600))
	status, _, _ = runLab(t, "capacity", "--target", generous, "--from", file)
	assert.Equal(t, 0, status)
	status, out, errs = runLab(t, "capacity", "--target", tight, "--from", file)
	assert.Equal(t, 3, status)
	assert.Empty(t, errs)
	assert.Contains(t, out, "| 1 | a node, control | quiet | watch on discovery, both ways | 200 B/s | 1 B/s | 200 x |")
}
