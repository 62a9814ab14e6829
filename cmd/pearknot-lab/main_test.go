package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/experiment"
)

// runLab runs the program within the test and returns its exit status and output.
func runLab(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = run(t.Context(), args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// Whatever is wrong with a command line gives the documented exit status and one line that names it.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("seconds = 5\n[fleet]\nnodez = 3\n"), 0o600))
	big := filepath.Join(t.TempDir(), "big.toml")
	require.NoError(t, os.WriteFile(big, []byte("name = \"big\"\nnodes = 1500\nhollow_per_process = 5\n"), 0o600))
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"", 0, "Usage"}, {"--help", 0, "Exit status"}, {"nonsense", 2, "unknown command"}, {"run", 2, "accepts 1 arg"},
		{"run --nonsense x", 2, "unknown flag"}, {"run /nowhere.toml --virtual", 2, "/nowhere.toml"},
		{"run " + bad + " --virtual", 2, bad + ":3:1: unknown key fleet.nodez"},
		{"run ../../experiments/calm.toml --virtual --policy best", 2, `--policy "best"`},
		{"run ../../experiments/calm.toml --policy all-seeing", 2, "only with --virtual"},
		{"run ../../experiments/calm.toml --virtual --events", 2, "it needs --out and one seed"},
		{"sweep ../../experiments/calm.toml --virtual --over x", 2, "is not KEY=a,b,c"},
		{"sweep ../../experiments/calm.toml --virtual --over fleet.zone=3", 2, "unknown key fleet.zone"},
		{"sweep ../../experiments/calm.toml --virtual --over fleet.nodes=0", 2, "fleet.nodes: 0 is not 1 to 5000"},
		{"compare /nowhere /nowhere", 2, "/nowhere"}, {"report /nowhere", 2, "/nowhere"}, {"demo --seconds 1", 2, "--seconds 1"},
		{"node --config /nowhere", 2, "/nowhere"}, {"capacity --target /nowhere", 2, "/nowhere"}, {"capacity --target " + bad, 2, bad + ":1:1: unknown key seconds"},
		{"capacity --target ../../experiments/capacity/target.toml --from /nowhere", 2, "/nowhere"},
		{"capacity --quick --update x", 2, "--update goes with neither"},
		{"capacity --target ../../experiments/capacity/target.toml --update /nowhere", 2, "/nowhere"},
		{"capacity --target ../../experiments/capacity/target.toml --pearknot x --only nonsense", 2, `no such row: "nonsense"; there are links, `},
		{"scale", 2, "accepts 1 arg"}, {"scale /nowhere.toml", 2, "/nowhere.toml"}, {"scale " + bad, 2, bad + ":2:2: unknown key fleet"},
		{"scale " + big + " --pearknot /nowhere", 2, "big would take 322 processes, over 300"}, {"hollow /nowhere", 2, "/nowhere"},
		{"schedules --control-plane --voters 4", 2, "3 or 5 voters"}, {"schedules --control-plane --seeds 0", 2, "give one at least"},
		{"schedules --control-plane --seeds 1", 0, "3 schedules"},
	} {
		status, out, errs := runLab(t, strings.Fields(c.args)...)
		assert.Equal(t, c.status, status, c.args)
		assert.Contains(t, out+errs, c.want, c.args)
		if status != 0 {
			assert.Equal(t, 1, strings.Count(errs, "\n"), c.args+": one line")
		}
	}
}

// An experiment goes through run, sweep, compare and report. A broken rule is exit status 3, with its evidence.
func TestRunSweepCompareReport(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "e.toml")
	data, err := os.ReadFile("../../experiments/cold-rush.toml")
	require.NoError(t, err)
	text := strings.Replace(string(data), "seconds = 40", "seconds = 16", 1)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	a := filepath.Join(dir, "a")
	status, out, errs := runLab(t, "run", file, "--virtual", "--out", a, "--events", "--seeds", "1")
	require.Equal(t, 0, status, errs)
	assert.Contains(t, out, "rules kept")
	for _, f := range []string{"result.json", "report.html", "events.jsonl.zst"} {
		info, err := os.Stat(filepath.Join(a, f))
		require.NoError(t, err)
		assert.Positive(t, info.Size())
	}
	status, out, _ = runLab(t, "sweep", file, "--virtual", "--over", "clients.load=0.3,0.5", "--out", filepath.Join(dir, "s"), "--seeds", "1,2")
	require.Equal(t, 0, status)
	assert.Contains(t, out, "clients.load = 0.5: cold-rush")
	status, out, _ = runLab(t, "compare", filepath.Join(dir, "s", "0.3"), filepath.Join(dir, "s", "0.5"))
	require.Equal(t, 0, status)
	assert.Contains(t, out, "service          B - A")
	status, out, _ = runLab(t, "report", a)
	require.Equal(t, 0, status)
	assert.Contains(t, out, "report.html")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(text, "[backend]", "[backend]\nfall_multiple = 1.2", 1)), 0o600))
	status, out, errs = runLab(t, "run", file, "--virtual", "--policy", "random", "--seeds", "1")
	assert.Equal(t, 3, status)
	assert.Empty(t, errs)
	assert.Contains(t, out, "rule 4 (cold starts)")
}

// The demo plays a valid experiment, whose schedule is as long as demoSeconds says.
func TestDemoFile(t *testing.T) {
	e, err := experiment.Decode("demo.toml", demoFile)
	require.NoError(t, err)
	assert.InDelta(t, demoSeconds, e.Seconds, 0)
}

func TestSetKey(t *testing.T) {
	text := "a = 1\n[fleet]\nnodes = 3\n[[trouble]]\nkind = 'x'\n[[trouble]]\nkind = 'y'\n"
	for _, c := range []struct{ key, value, want string }{
		{"a", "2", "a = 2\n[fleet]"}, {"b", "z", "b = \"z\"\na = 1"}, {"fleet.nodes", "5", "[fleet]\nnodes = 5\n"},
		{"fleet.memory_mb", "9", "[fleet]\nmemory_mb = 9\nnodes"}, {"trouble.1.kind", "q", "[[trouble]]\nkind = 'x'\n[[trouble]]\nkind = \"q\""},
	} {
		got, err := setKey([]byte(text), c.key, c.value)
		require.NoError(t, err)
		assert.Contains(t, string(got), c.want)
	}
	for _, key := range []string{"list.lag", "trouble.2.kind", "trouble.x.kind", "a.1.c.d"} {
		_, err := setKey([]byte(text), key, "1")
		assert.Error(t, err, key)
	}
}
