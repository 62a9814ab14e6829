package experiment

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const small = `seconds = 10
[fleet]
zones = ["a", "b"]
[clients]
load = 0.5
[[category]]
name = "look"
share = 1
work_ms = 20
effect = "redeliverable"
target_latency_ms = 500
ttl_ms = 1000
benefit = 1
`

func TestDecode(t *testing.T) {
	e, err := Decode("e.toml", []byte(small))
	require.NoError(t, err)
	assert.InDelta(t, 250, e.RequestsPerSecond(), 1e-9, "half of ten standard cores in ops of 20 ms")
	assert.Equal(t, 3, e.BalancerConfig(0, 1).Nodes)
}

// Whatever can't be is one line that names the place.
func TestBadFiles(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":      {strings.Replace(small, "load", "laod", 1), "e.toml:5:1: unknown key clients.laod"},
		"negative number":  {strings.Replace(small, "work_ms = 20", "work_ms = -20", 1), "e.toml:9:1: category.0.work_ms: -20 is not 0.01 to 1e+06"},
		"asks for ever":    {strings.Replace(small, "[fleet]\n", "[fleet]\nask_within_ms = 0\n", 1), "fleet.ask_within_ms: 0 is not 1 to 1e+09"},
		"zone not there":   {small + "[[trouble]]\nkind = 'cut'\nzone = 'c'\n", `e.toml:16:1: trouble.0.zone: "c" is not among the fleet's zones`},
		"unknown trouble":  {small + "[[trouble]]\nkind = 'flood'\n", `e.toml:15:1: trouble.0.kind: "flood" is none of`},
		"no factor":        {small + "[[trouble]]\nkind = 'slow'\nshare = 0.1\n", "e.toml:14:3: trouble.0.factor: give it above 0"},
		"no category":      {"seconds = 3\n[clients]\nload = 1\n", "e.toml:1:1: category: none given"},
		"both loads":       {strings.Replace(small, "load = 0.5", "load = 0.5\nops_per_second = 3", 1), "e.toml:4:2: clients: give load or"},
		"costly unnamed":   {small + "[[trouble]]\nkind = 'costly'\nchance = 0.1\nfactor = 2\n", "trouble.0.category"},
		"pause over every": {small + "[[trouble]]\nkind = 'pauses'\nshare = 1\nevery_ms = 5\npause_ms = 6\n", "e.toml:18:1: trouble.0.pause_ms"},
		"ramp":             {strings.Replace(small, "load = 0.5", "load = 0.5\nramp = [[0,1],[0,2]]", 1), "e.toml:6:1: clients.ramp: point 1"},
		"joins at once":    {small + "[[trouble]]\nkind = 'join'\nshare = 0.1\n", "trouble.0.at_s: give it above 0"},
		"word":             {strings.Replace(small, "redeliverable", "idempotent", 1), "e.toml:10:1: category.0.effect"},
	} {
		_, err := Decode("e.toml", []byte(c.text))
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
	}
}

func TestRampAndMachines(t *testing.T) {
	e, err := Decode("e.toml", []byte(strings.Replace(small, "load = 0.5", "load = 0.5\nramp = [[0,1],[4,3],[8,1]]", 1)+
		"[[machine]]\nname='x'\nshare=0.75\ncores=1\nspeed=1\n[[machine]]\nname='y'\nshare=0.25\ncores=2\nspeed=2\n"))
	require.NoError(t, err)
	for at, want := range map[float64]float64{0: 1, 2e3: 2, 4e3: 3, 7e3: 1.5, 9e3: 1} {
		assert.InDelta(t, want, e.Multiple(at), 1e-9)
	}
	assert.InDelta(t, 3, e.MaxMultiple(), 1e-9)
	count := [2]int{}
	for b := range 8 {
		count[e.MachineOf(b)]++
	}
	assert.Equal(t, [2]int{6, 2}, count)
}

// Every experiment that ships can be read.
func TestShipped(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(t, err)
	files = slices.DeleteFunc(files, func(f string) bool { return strings.HasPrefix(filepath.Base(f), "scale-") }) // internal/lab/scale reads them all
	for _, f := range files {
		_, err := Read(f)
		assert.NoError(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(small))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode("f", data) })
}
