package experiment

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// smallFile is an experiment that leaves out what can be left out.
const smallFile = `seconds = 10
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

func decode(t *testing.T, file string) *Experiment {
	t.Helper()
	e, err := Decode("e.toml", []byte(file))
	require.NoError(t, err)
	return e
}

// withLine returns smallFile with a further line below its load.
func withLine(line string) string {
	return strings.Replace(smallFile, "load = 0.5", "load = 0.5\n"+line, 1)
}

func TestDecodeFillsInDefaults(t *testing.T) {
	e := decode(t, smallFile)
	assert.InDelta(t, 250, e.RequestsPerSecond(), 1e-9, "half of ten standard cores, in requests of 20 ms")
	assert.Equal(t, 3, e.BalancerConfig(0, 1).Nodes)
}

func TestBalancerClassOfEachName(t *testing.T) {
	for name, c := range map[string]struct {
		lines       string
		idempotency balancer.Idempotency
		scope       balancer.DedupScope
	}{
		"idempotent":            {"effect = 'redeliverable'", balancer.Idempotent, balancer.DedupByAll},
		"key, scope left out":   {"effect = 'deduplicated'", balancer.IdempotentWithKey, balancer.DedupByAll},
		"key within all":        {"effect = 'deduplicated'\ngroup = 'all'", balancer.IdempotentWithKey, balancer.DedupByAll},
		"key within the zone":   {"effect = 'deduplicated'\ngroup = 'zone'", balancer.IdempotentWithKey, balancer.DedupByZone},
		"key within the cell":   {"effect = 'deduplicated'\ngroup = 'cell'", balancer.IdempotentWithKey, balancer.DedupByCell},
		"at most once, no more": {"effect = 'at-most-once'", balancer.AtMostOnce, balancer.DedupByAll},
	} {
		t.Run(name, func(t *testing.T) {
			class := decode(t, strings.Replace(smallFile, `effect = "redeliverable"`, c.lines, 1)).BalancerClasses()[0]
			assert.Equal(t, c.idempotency, class.Idempotency)
			assert.Equal(t, c.scope, class.DedupScope)
		})
	}
}

// Whatever is wrong with a file is reported in one line that says where.
func TestMistakesInFiles(t *testing.T) {
	withFault := func(lines string) string { return smallFile + "[[trouble]]\n" + lines }
	for name, c := range map[string]struct{ file, want string }{
		"unknown key": {strings.Replace(smallFile, "load", "laod", 1), "e.toml:5:1: unknown key clients.laod"},
		"negative number": {strings.Replace(smallFile, "work_ms = 20", "work_ms = -20", 1),
			"e.toml:9:1: category.0.work_ms: -20 is not 0.01 to 1e+06"},
		"never polls": {strings.Replace(smallFile, "[fleet]\n", "[fleet]\nask_within_ms = 0\n", 1),
			"fleet.ask_within_ms: 0 is not 1 to 1e+09"},
		"unknown zone":        {withFault("kind = 'cut'\nzone = 'c'\n"), `e.toml:16:1: trouble.0.zone: "c" is not among the fleet's zones`},
		"unknown kind":        {withFault("kind = 'flood'\n"), `e.toml:15:1: trouble.0.kind: "flood" is none of`},
		"no factor":           {withFault("kind = 'slow'\nshare = 0.1\n"), "e.toml:14:3: trouble.0.factor: give it above 0"},
		"no class":            {"seconds = 3\n[clients]\nload = 1\n", "e.toml:1:1: category: none given"},
		"load given twice":    {withLine("ops_per_second = 3"), "e.toml:4:2: clients: give load or"},
		"costly, no class":    {withFault("kind = 'costly'\nchance = 0.1\nfactor = 2\n"), "trouble.0.category"},
		"pause over interval": {withFault("kind = 'pauses'\nshare = 1\nevery_ms = 5\npause_ms = 6\n"), "e.toml:18:1: trouble.0.pause_ms"},
		"ramp stands still":   {withLine("ramp = [[0,1],[0,2]]"), "e.toml:6:1: clients.ramp: point 1"},
		"joins at the start":  {withFault("kind = 'join'\nshare = 0.1\n"), "trouble.0.at_s: give it above 0"},
		"unknown idempotency": {strings.Replace(smallFile, "redeliverable", "idempotent", 1), "e.toml:10:1: category.0.effect"},
		"first of several":    {withLine("retries = 99\nday_seconds = -1\nkeys = -1"), "clients.day_seconds: -1 is not 0 to 1e+09"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode("e.toml", []byte(c.file))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

// The load rises to three times the rate, falls back, and stays there.
func TestMultipleFollowsTheRamp(t *testing.T) {
	e := decode(t, withLine("ramp = [[0,1],[4,3],[8,1]]"))
	for ms, want := range map[float64]float64{0: 1, 2e3: 2, 4e3: 3, 7e3: 1.5, 9e3: 1} {
		assert.InDelta(t, want, e.LoadMultiple(ms), 1e-9)
	}
	assert.InDelta(t, 3, e.MaxLoadMultiple(), 1e-9)
}

func TestMachinesAreDealtByTheirShares(t *testing.T) {
	e := decode(t, smallFile+"[[machine]]\nname='x'\nshare=0.75\ncores=1\nspeed=1\n[[machine]]\nname='y'\nshare=0.25\ncores=2\nspeed=2\n")
	count := [2]int{}
	for backend := range 8 {
		count[e.MachineOf(backend)]++
	}
	assert.Equal(t, [2]int{6, 2}, count)
}

// What Encode writes is read back unchanged.
func TestEncodeAndDecode(t *testing.T) {
	e := decode(t, withLine("ramp = [[0,1],[4,3]]")+"[[trouble]]\nkind = 'slow'\nshare = 0.25\nfactor = 3\n")
	data, err := e.Encode()
	require.NoError(t, err)
	again := decode(t, string(data))
	assert.Equal(t, e.Faults, again.Faults)
	assert.Equal(t, e.Clients, again.Clients)
	assert.Equal(t, e.BalancerConfig(0, 1), again.BalancerConfig(0, 1))
}

// Every experiment that ships can be read. The files of scale experiments have another form, which the tests of
// internal/lab/scale read.
func TestShippedExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(t, err)
	files = slices.DeleteFunc(files, func(file string) bool { return strings.HasPrefix(filepath.Base(file), "scale-") })
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Read(file)
		assert.NoError(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode("f", data) })
}
