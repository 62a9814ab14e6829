package capacity

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadResult(t *testing.T) {
	result := &Result{
		Machine:   "a machine",
		IsQuick:   true,
		RowPrefix: "links",
		Load:      Load{Min: 3, Max: 9},
		Slopes:    []*Slope{newLinksSlope()},
	}
	file := filepath.Join(t.TempDir(), "r.json")
	require.NoError(t, os.WriteFile(file, result.Encode(), 0o600))
	read, err := ReadResult(file)
	require.NoError(t, err)
	assert.Equal(t, result, read)
	for _, malformed := range []string{"", "{", `{"slopes":[null]}`, `{"slopes":[{"key":"a"}]}`, `{"slopes":7}`} {
		require.NoError(t, os.WriteFile(file, []byte(malformed), 0o600))
		_, err := ReadResult(file)
		assert.Error(t, err, malformed)
	}
}

func TestMerge(t *testing.T) {
	slope := func(key string, factor float64) *Slope {
		return newSlope(key, func(n float64) float64 { return factor * n }, 1, 2)
	}
	result := &Result{Machine: "m", Load: Load{Min: 3, Max: 9}, Slopes: []*Slope{slope("a", 1), slope("b", 1)}}
	newer := &Result{Machine: "m", RowPrefix: "b", Load: Load{Min: 2, Max: 4}, Slopes: []*Slope{slope("b", 3), slope("c", 1)}}
	require.NoError(t, result.Merge(newer))
	want := &Result{Machine: "m", Load: Load{Min: 2, Max: 9}, Slopes: []*Slope{slope("a", 1), slope("b", 3), slope("c", 1)}}
	assert.Equal(t, want, result)
	assert.ErrorContains(t, result.Merge(&Result{Machine: "n"}), "measured on n into one measured on m")
	assert.Error(t, result.Merge(&Result{Machine: "m", IsQuick: true}))
}

func TestCheckMemory(t *testing.T) {
	assert.NoError(t, checkMemory(10, 10))
	assert.ErrorContains(t, checkMemory(1e9, 1), "over half of the machine's")
	assert.ErrorContains(t, checkMemory(1, 1e9), "over half of the machine's")
}
