package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// In a build of its own, each node takes a warming backend's whole slow-start budget for itself. The checker of the rule on cold
// backends notices, with 20 and 30 nodes in virtual time and with 30 processes on sockets. The right build keeps the rule on the
// same seeds.
func TestCheckerNoticesNodesThatIgnoreTheirShare(t *testing.T) {
	dir := t.TempDir()
	source, err := filepath.Abs("../../balancer/slowstart.go")
	require.NoError(t, err)
	data, err := os.ReadFile(source)
	require.NoError(t, err)
	const share, whole = "share := slowStartSafety * lb.perNodeShare(budget) / lb.activeProcesses()", "share := slowStartSafety * budget / lb.activeProcesses()"
	require.Equal(t, 1, strings.Count(string(data), share))
	mutant, overlay := filepath.Join(dir, "slowstart.go"), filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(mutant, []byte(strings.Replace(string(data), share, whole, 1)), 0o600))
	replace, err := json.Marshal(map[string]any{"Replace": map[string]string{source: mutant}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(overlay, replace, 0o600))
	build := func(name string, flags ...string) string {
		to := filepath.Join(dir, name) + string(filepath.Separator)
		args := append(append([]string{"build"}, flags...), "-o", to, "pearknot/cmd/pearknot", "pearknot/cmd/pearknot-lab")
		text, err := exec.CommandContext(t.Context(), "go", args...).CombinedOutput()
		require.NoError(t, err, string(text))
		return filepath.Join(to, "pearknot-lab") // it takes the node beside it
	}
	right, wrong := build("right"), build("wrong", "-overlay", overlay)
	play := func(lab, file string, args ...string) (status int, out string) {
		text, err := exec.CommandContext(t.Context(), lab, append([]string{"run", file}, args...)...).CombinedOutput()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode(), string(text)
		}
		require.NoError(t, err, string(text))
		return 0, string(text)
	}
	broken := regexp.MustCompile(`ramps kept [1-9]`) // of the verdict
	for _, nodes := range []int{20, 30} {
		data, err := os.ReadFile(fmt.Sprintf("../../experiments/cold-ramp-%d.toml", nodes))
		require.NoError(t, err)
		file := filepath.Join(dir, fmt.Sprintf("%d.toml", nodes)) // all of it sooner, and no longer than it takes
		text := strings.NewReplacer("seconds = 25", "seconds = 9", "at_s = 6", "at_s = 2", "at_s = 9", "at_s = 5", "at_s = 8", "at_s = 4").Replace(string(data))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		for _, seed := range []string{"1", "2", "3"} {
			status, out := play(right, file, "--virtual", "--seeds", seed)
			assert.Equal(t, 0, status, out)
			assert.Contains(t, out, "rules kept", "%d nodes, seed %s", nodes, seed)
			status, out = play(wrong, file, "--virtual", "--seeds", seed)
			assert.Equal(t, 3, status, out)
			assert.Regexp(t, broken, out, "%d nodes, seed %s", nodes, seed)
		}
		if nodes == 30 {
			_, out := play(right, file, "--seeds", "1")
			assert.Contains(t, out, "ops judged", "it was played to its end")
			assert.NotRegexp(t, broken, out, "on sockets")
			status, out := play(wrong, file, "--seeds", "1")
			assert.Equal(t, 3, status)
			assert.Regexp(t, broken, out, "on sockets")
		}
	}
}
