package scale

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validExperiment = "name = \"x\"\nnodes = 30\nregions = 3\nzones = 6\n[members]\ncount = 6\nvoters = 3\n"

// An error in a file is reported in one line, with its position.
func TestFileErrors(t *testing.T) {
	e, err := Decode("x.toml", []byte(validExperiment))
	require.NoError(t, err)
	assert.Equal(t, TargetBounds, e.Bounds)
	for text, want := range map[string]string{
		"nodes = 0":                                               "x.toml:1:1: nodes: 0 is not 1 to 5000",
		"nodez = 1":                                               "x.toml:1:1: unknown key nodez",
		"nodes = \"x\"":                                           "x.toml:1:9: ",
		"nodes = 4\nreal_nodes = 5":                               "x.toml:2:1: real_nodes: 5 is not 0 to 4",
		"nodes = 4\nregions = 7\nzones= 6":                        "x.toml:3:1: zones: 6 is not 7 to 84",
		"nodes = 4\n[members]\nvoters = 4":                        "x.toml:3:1: members.voters: 4 is not 1, 3 or 5, each in another of 6 regions",
		"nodes = 4\n[members]\ncount = 22":                        "x.toml:3:1: members.count: 22 is not 6 to 21",
		"nodes = 4\ntenants = 1":                                  "changes.bytes: 400 exceeds the size of 1 tenants",
		"nodes = 4\n[limits]\nprocesses = 301":                    "limits.processes: 301 is not 1 to 300",
		"nodes = 4\n[[fault]]\nkind = \"x\"":                      "x.toml:3:1: fault.0.kind: \"x\" is none of kill",
		"nodes = 4\n[[fault]]\nkind = \"kill\"\nmember = \"m22\"": "x.toml:4:1: fault.0.member: \"m22\" is not m1 to m21",
		"nodes = 4\n[[fault]]\nkind = \"kill\"\nmember = \"m1\"\nzone = \"z1\"":       "fault.0.member: a fault of a member can't have a region or zone",
		"nodes = 4\n[[fault]]\nkind = \"cut\"":                                        "fault.0.region: either a region or a zone is required",
		"nodes = 4\n[[fault]]\nkind = \"cut\"\nregion = \"r7\"":                       "fault.0.region: \"r7\" is not r1 to r6",
		"nodes = 4\n[[fault]]\nkind = \"slow\"\nregion = \"r1\"":                      "fault.0.bytes_per_second: this or delay_ms must be above 0",
		"nodes = 4\n[[fault]]\nkind = \"cut\"\nregion = \"r1\"\nat_s = 31":            "fault.0.at_s: 31 is not 0 to 30",
		"nodes = 4\n[[fault]]\nkind = \"cut\"\nregion = \"r1\"\nmember = \"leader\"":  "fault.0.member: a fault of a region can't have a member",
		"nodes = 4\n[[fault]]\nkind = \"slow\"\nregion = \"r1\"\nbytes_per_second=-1": "fault.0.bytes_per_second: -1 is not 0",
	} {
		_, err := Decode("x.toml", []byte(text))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want, text)
			assert.NotContains(t, err.Error(), "\n", text)
		}
	}
}

// The shipped experiments are valid, named after their files and within the limits of a machine with 24 GB.
func TestShippedExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/scale-*.toml")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(files), 4)
	for _, name := range files {
		e, err := Read(name)
		require.NoError(t, err, name)
		assert.Equal(t, strings.TrimSuffix(filepath.Base(name), ".toml"), e.Name)
		assert.NoError(t, e.CheckLimits(24<<10), name)
	}
}

// An experiment that needs too many processes or too much memory is rejected before anything starts.
func TestTooBigExperimentDoesNotFit(t *testing.T) {
	e, err := Decode("x.toml", []byte(validExperiment))
	require.NoError(t, err)
	require.NoError(t, e.CheckLimits(8<<10))
	assert.Equal(t, 1+6+1, e.Estimate().Processes)
	assert.ErrorContains(t, e.CheckLimits(100), "MB of memory, over 50")
	e.Nodes, e.HollowPerProcess = 301, 1
	assert.ErrorContains(t, e.CheckLimits(24<<10), "308 processes, over 300")
	e.Nodes, e.HollowPerProcess, e.Tenants = 1500, 250, 140_000
	assert.ErrorContains(t, e.CheckLimits(24<<10), "MB of memory, over 12288")
	e.Tenants, e.Limits.MemoryMB = 10, 200
	assert.ErrorContains(t, e.CheckLimits(24<<10), "MB of memory, over 200")
}
