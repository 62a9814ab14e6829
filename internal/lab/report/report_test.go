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

// runExperiment returns the result of an experiment with faults on two seeds, with a load that rises and falls.
func runExperiment(t *testing.T) metrics.Result {
	t.Helper()
	e, err := experiment.Read("../../../experiments/crash-and-hang.toml")
	require.NoError(t, err)
	e.Seconds, e.Seeds = 15, []uint64{1, 2}
	e.Clients.Ramp = [][]float64{{0, 0.5}, {8, 1.2}, {15, 0.5}}
	result, err := runner.RunVirtual(t.Context(), e, virtual.Options{})
	require.NoError(t, err)
	assert.True(t, result.AllRulesKept())
	return result
}

// A page can be mailed: all it needs is in it, and it links to nothing. The result beside it is read back as it was.
func TestPageNeedsNoOtherFile(t *testing.T) {
	result := runExperiment(t)
	dir := filepath.Join(t.TempDir(), "new")
	require.NoError(t, Write(dir, result))
	require.NoError(t, WritePage(dir, result))
	stored, err := Read(dir)
	require.NoError(t, err)
	assert.Equal(t, result.Runs[1].Service, stored.Runs[1].Service)

	data, err := os.ReadFile(filepath.Join(dir, PageFile))
	require.NoError(t, err)
	page := string(data)
	assert.Equal(t, 10, strings.Count(page, "<svg"), "five plots for each of two seeds")
	assert.NotContains(t, page, "src=")
	assert.NotContains(t, strings.ReplaceAll(page, "http://www.w3.org/", ""), "http")
	for _, text := range []string{"Service by class", "All rules kept", "swallow", "stand-ins", "area"} {
		assert.Contains(t, page, text)
	}
}

// A page of a run that broke a rule says so at its top, and shows the evidence.
func TestPageOfBrokenRules(t *testing.T) {
	verdict := metrics.Verdict{Text: "rules broken: <1>", Evidence: []string{"rule 4 at 5 ms"}}
	page, err := Render(metrics.Result{Version: metrics.Version, Runs: []metrics.Run{{Verdict: verdict}}})
	require.NoError(t, err)
	assert.NotContains(t, string(page), "All rules kept")
	for _, text := range []string{"Rules broken.", "rules broken: &lt;1&gt;", "<pre>rule 4 at 5 ms</pre>"} {
		assert.Contains(t, string(page), text)
	}
}

func TestReadRefusesBadResults(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no json":         {"{", "result.json: byte"},
		"another version": {`{"version":99}`, "version 99, this program reads 1"},
		"no runs":         {`{"version":1}`, "no runs"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(dir, ResultFile), []byte(c.text), 0o600))
			_, err := Read(dir)
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := Read("/nowhere")
	assert.Error(t, err)
}

func TestPageOfRunWithoutRequests(t *testing.T) {
	_, err := Render(metrics.Result{Version: metrics.Version, Runs: []metrics.Run{{}}})
	assert.NoError(t, err)
}
