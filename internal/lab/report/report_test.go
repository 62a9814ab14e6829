package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/runner"
	"pearknot/internal/lab/virtual"
)

// The page holds all it needs, and what was written is read back.
func TestPage(t *testing.T) {
	e, err := experiment.Read("../../../experiments/crash-and-hang.toml")
	require.NoError(t, err)
	e.Seconds, e.Seeds = 15, []uint64{1, 2}
	e.Clients.Ramp = [][]float64{{0, 0.5}, {8, 1.2}, {15, 0.5}}
	r, err := runner.RunVirtual(t.Context(), e, virtual.Options{})
	require.NoError(t, err)
	assert.True(t, r.AllRulesKept())
	dir := filepath.Join(t.TempDir(), "new")
	require.NoError(t, Write(dir, r))
	require.NoError(t, Page(dir, r))
	back, err := Read(dir)
	require.NoError(t, err)
	assert.Equal(t, r.Runs[1].Service, back.Runs[1].Service)
	page, err := os.ReadFile(filepath.Join(dir, PageFile))
	require.NoError(t, err)
	text := string(page)
	assert.Equal(t, 10, strings.Count(text, "<svg"), "five plots for each of two seeds")
	assert.NotContains(t, text, "src=")
	assert.NotContains(t, strings.ReplaceAll(text, "http://www.w3.org/", ""), "http")
	for _, word := range []string{"Service by category", "All rules kept", "swallow", "stand-ins", "area"} {
		assert.Contains(t, text, word)
	}
}

func TestBadResults(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no json": {"{", "result.json: byte"}, "version": {`{"version":99}`, "version 99, this program reads 1"},
		"no runs": {`{"version":1}`, "no runs"},
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, ResultFile), []byte(c.text), 0o600))
		_, err := Read(dir)
		assert.ErrorContains(t, err, c.want, name)
	}
	_, err := Read("/nowhere")
	assert.Error(t, err)
	_, err = Render(metrics.Result{Version: 1, Runs: []metrics.Run{{}}})
	assert.NoError(t, err, "a run in which nothing happened has a page too")
}
