package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const targetFile = "../../../experiments/capacity/target.toml"

func readTarget(t *testing.T) *Target {
	t.Helper()
	target, err := ReadTarget(targetFile)
	require.NoError(t, err)
	return target
}

func TestTarget(t *testing.T) {
	target := readTarget(t)
	assert.InDelta(t, peakRate, target.RequestsPerSecond/target.Nodes, 0, "requests per second per node in the fixtures")
	data, err := os.ReadFile(targetFile)
	require.NoError(t, err)
	text := string(data)
	for _, f := range target.figures() {
		assert.Positive(t, f.value, f.key)
		key := f.key[strings.LastIndexByte(f.key, '.')+1:]
		assert.Contains(t, text, "\n"+key+" = ", "each figure's key is in the target's file")
	}
	change := func(old, new string) string {
		require.Contains(t, text, old)
		return strings.Replace(text, old, new, 1)
	}
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", change("nodes = 1500", "nodez = 1500"), "t.toml:4:1: unknown key nodez"},
		{"left out", change("nodes = 1500", ""), "t.toml:1:1: nodes: 0 is not above 0"},
		{"below 0", change("nodes = 1500", "nodes = -1"), "t.toml:4:1: nodes: -1 is not above 0"},
		{"no number", change("nodes = 1500", "nodes = 'many'"), "t.toml:4:9: "},
		{"not a number", change("nodes = 1500", "nodes = nan"), "t.toml:4:1: nodes: NaN is not above 0"},
		{"infinite", change("nodes = 1500", "nodes = inf"), "t.toml:4:1: nodes: +Inf is not above 0"},
		{"in a table", change("added_ms = 4.9", "added_ms = 0"), "limit.added_ms: 0 is not above 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeTarget("t.toml", []byte(c.text))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
	_, err = ReadTarget("/nowhere")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
