package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/lab/program"
)

// A node writes a capture. It is killed, started again, and ends by SIGTERM. The captures of both incarnations replay with the
// same decisions.
func TestCaptureOfANodeReplays(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "capture.toml")
	out := filepath.Join(dir, "captures")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "dir = %q\nevery_ms = 5\nblock_kb = 1\n", out), 0o600))
	handler := func(w http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.Header.Get("X-Trace-Id"), "bad") {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, "done")
	}
	count := func() (requests, starts int) {
		files, err := capture.Segments(out)
		if err != nil {
			return 0, 0
		}
		for _, f := range files {
			_ = capture.Read(f, func(r capture.Record) error {
				switch r.Kind {
				case capture.RequestArrived:
					requests++
				case capture.Begin:
					starts++
				}
				return nil
			})
		}
		return requests, starts
	}
	for incarnation := range 2 {
		node := startNode(t, 256, handler, "--capture", file)
		client := newClient()
		for k := range 60 {
			id := fmt.Sprintf("%s%d-%d", map[bool]string{true: "bad"}[k%7 == 0], incarnation, k)
			_, _, _, err := node.send(client, map[bool]string{true: "GET", false: "POST"}[k%3 > 0], id, map[bool]string{true: "check", false: "pay"}[k%3 > 0], "2000")
			require.NoError(t, err)
		}
		client.CloseIdleConnections()
		if incarnation == 0 {
			require.Eventually(t, func() bool { requests, _ := count(); return requests == 60 }, 5*time.Second, 5*time.Millisecond)
			require.NoError(t, node.process.Process.Kill())
			require.Error(t, <-node.ended, "killed")
		} else {
			require.NoError(t, node.process.Process.Signal(os.Interrupt))
			require.NoError(t, <-node.ended, "ended by itself")
		}
	}
	requests, starts := count()
	assert.Equal(t, 120, requests)
	assert.Equal(t, 2, starts)
	var stdout, stderr bytes.Buffer
	status := run([]string{"replay", out, "--times", "3"}, &stdout, &stderr)
	assert.Equal(t, 0, status, stdout.String()+stderr.String())
	assert.Equal(t, 3, strings.Count(stdout.String(), "decisions match"))
	for _, c := range []struct {
		args   []string
		status int
		output string
	}{
		{[]string{"capture", "ls", out}, 0, "records"}, {[]string{"capture", "cat", out}, 0, "request arrived request 1"},
		{[]string{"capture", "verify", out}, 0, "0 damaged segments"}, {[]string{"replay", "/nowhere"}, 2, "no such file"},
		{[]string{"replay", dir}, 2, "no captures"}, {[]string{"replay", file}, 2, "not a capture"}, {[]string{"replay", out, "--times", "0"}, 2, "below 1"},
		{[]string{"serve", "--config", "x", "--capture", file}, 1, "no such file"},
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, c.status, run(c.args, &stdout, &stderr), c.args)
		assert.Contains(t, stdout.String()+stderr.String(), c.output, c.args)
	}
}

// A capture is kept in memory, where no disk is durable. It is written to a file by a signal or a call of the control socket.
// The file can be replayed from its first snapshot, explained and cut.
func TestCaptureInMemoryIsDumped(t *testing.T) {
	dir, err := os.MkdirTemp("", "pk") // short: a socket's path is bounded
	require.NoError(t, err)
	defer os.RemoveAll(dir)
	file, dumps, socket := filepath.Join(dir, "capture.toml"), filepath.Join(dir, "dumps"), filepath.Join(dir, "s")
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key"), []byte("sixteen bytes it is"), 0o600))
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "dir = %q\nmemory_mb = 0.05\nsnapshot_s = 0.02\nredact_key_file = %q\n", dumps, filepath.Join(dir, "key")), 0o600))
	node := startNode(t, 256, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }, "--capture", file, "--control", socket)
	client := newClient()
	for k := range 400 {
		_, _, _, err := node.send(client, "GET", fmt.Sprint("op", k), "check", "2000")
		require.NoError(t, err)
	}
	client.CloseIdleConnections()
	require.NoError(t, node.process.Process.Signal(syscall.SIGUSR1))
	require.Eventually(t, func() bool { files, err := capture.Segments(dumps); return err == nil && len(files) == 1 }, 5*time.Second, time.Millisecond)
	call := func(status int, args ...string) string {
		var stdout, stderr bytes.Buffer
		require.Equal(t, status, run(args, &stdout, &stderr), "%v: %s%s", args, &stdout, &stderr)
		return stdout.String() + stderr.String()
	}
	second := strings.TrimSpace(call(0, "capture", "dump", socket))
	assert.Equal(t, dumps, filepath.Dir(second))
	info, err := os.Stat(second)
	require.NoError(t, err)
	assert.Less(t, info.Size(), int64(60_000))
	assert.Contains(t, call(0, "replay", second), "from 0 starts and 1 snapshots")
	var last capture.Record
	first := 0.0
	require.NoError(t, capture.Read(second, func(r capture.Record) error {
		if r.Kind == capture.RequestArrived {
			last = r
		}
		if first == 0 {
			first = r.Now
		}
		return nil
	}))
	explanation := call(0, "explain", second, fmt.Sprint(last.Request))
	assert.Contains(t, explanation, "decided: attempt request")
	assert.Regexp(t, ": "+balancer.Eligible.String()+`; [0-9.]+ ms expected \(`, explanation)
	assert.Equal(t, explanation, call(0, "explain", second, fmt.Sprintf("x%x", last.ID)))
	part := filepath.Join(dir, "part.pkcap")
	call(0, "capture", "cut", second, "--from", fmt.Sprintf("%f", last.Now), "--out", part)
	assert.Contains(t, call(0, "replay", part), "from 0 starts and 1 snapshots")
	assert.Contains(t, call(0, "replay", second, "--from", fmt.Sprintf("%f", last.Now)), "decisions match")
	assert.Contains(t, call(2, "replay", second, "--from", fmt.Sprintf("%f", first-1)), "the first start or snapshot is at")
	assert.Contains(t, call(3, "explain", second, "999999"), "is not in the part that can be replayed")
	assert.Contains(t, call(2, "explain", second, "y"), "neither a number nor x and an ID")
	assert.Contains(t, call(2, "capture", "cut", second, "--to", "1", "--out", part), "nothing from")
	require.NoError(t, os.WriteFile(file, []byte("dir = 'x'\nmost_mb = 3\n"), 0o600))
	assert.Contains(t, call(2, "serve", "--config", node.file, "--capture", file), "capture.toml:2:1: most_mb: 3 is less than two segments")
}

// A build with one inverted comparison in the balancer makes decisions that differ from the captured ones. A replay against that
// build detects this.
func TestReplayDetectsInvertedComparison(t *testing.T) {
	dir := t.TempDir()
	captures := filepath.Join(dir, "captures")
	lab := exec.Command("go", "run", "pearknot/cmd/pearknot-lab", "run", "../../experiments/burst.toml", "--virtual", "--seeds", "1", "--capture", captures)
	text, err := lab.CombinedOutput()
	require.NoError(t, err, string(text))
	var out, errs bytes.Buffer
	require.Equal(t, 0, run([]string{"replay", captures}, &out, &errs), out.String()+errs.String())
	require.Equal(t, 0, run([]string{"replay", captures, "--against", nodeProgram}, &out, &errs), errs.String())
	for k, mutation := range []struct{ file, original, mutated string }{
		{"selection.go", "candidates == nil || rank > bestRank", "candidates == nil || rank < bestRank"},
		{"selection.go", "steps < nextSteps", "steps > nextSteps"},
		{"attempt.go", "if overdueAfter < lb.timeLeft(attempt.Request) {", "if overdueAfter > lb.timeLeft(attempt.Request) {"},
		{"request.go", "request.isLong = request.CostHint > lb.cutoff", "request.isLong = request.CostHint < lb.cutoff"},
	} {
		source, err := filepath.Abs(filepath.Join("../../balancer", mutation.file))
		require.NoError(t, err)
		data, err := os.ReadFile(source)
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(data), mutation.original), mutation.original)
		mutant := filepath.Join(dir, fmt.Sprint(k, ".go"))
		require.NoError(t, os.WriteFile(mutant, []byte(strings.Replace(string(data), mutation.original, mutation.mutated, 1)), 0o600))
		overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{source: mutant}})
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600))
		build, err := program.Build(t.Context(), t.TempDir(), "-overlay", filepath.Join(dir, "overlay.json"))
		require.NoError(t, err)
		var out, errs bytes.Buffer
		assert.Equal(t, 3, run([]string{"replay", captures, "--against", build}, &out, &errs), mutation.mutated)
		assert.Contains(t, out.String(), "captured", mutation.mutated)
	}
}
