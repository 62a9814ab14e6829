package virtual

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/workload"
)

func shipped(t testing.TB, name string) *experiment.Experiment {
	e, err := experiment.Read(filepath.Join("../../../experiments", name+".toml"))
	require.NoError(t, err)
	return e
}

// Every trouble that ships, alone and overlapping, leaves the rules kept.
func TestShippedExperimentsKeepTheRules(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(t, err)
	files = slices.DeleteFunc(files, func(f string) bool { return strings.HasPrefix(filepath.Base(f), "scale-") }) // internal/lab/scale reads them all
	require.GreaterOrEqual(t, len(files), 28)
	for _, f := range files {
		e, err := experiment.Read(f)
		require.NoError(t, err)
		if e.Operated() { // played on sockets
			_, err := Run(e, 1, Options{})
			assert.ErrorContains(t, err, "only on sockets")
			continue
		}
		if e.Fleet.Nodes > 100 { // too long for here
			continue
		}
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(e, 1, Options{})
			require.NoError(t, err)
			assert.True(t, r.Rules.Kept, r.Rules.Breaches)
			assert.Greater(t, r.Service, 0.85)
			assert.Greater(t, r.Ops, 1000)
		})
	}
}

// Same seed, same result to the byte, whatever the number of processors.
func TestSameSeedSameBytes(t *testing.T) {
	play := func(seed uint64) string {
		e := shipped(t, "roll-in-a-shrink")
		e.Seconds = 20
		r, err := Run(e, seed, Options{})
		require.NoError(t, err)
		data, err := json.Marshal(r)
		require.NoError(t, err)
		return string(data)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	one := play(3)
	for _, n := range []int{2, 8} {
		runtime.GOMAXPROCS(n)
		assert.Equal(t, one, play(3))
	}
	assert.NotEqual(t, one, play(4))
}

// A thousand nodes that each get one op at the same moment spread them as chance would, not in step.
func TestChancesDoNotMarchInStep(t *testing.T) {
	e := shipped(t, "calm")
	e.Fleet.Nodes, e.Fleet.Backends, e.Fleet.Zones, e.Machines = 1000, 50, []string{"a"}, e.Machines[1:2]
	h := newHost(e, 1, Options{})
	require.NoError(t, h.err)
	count := make([]int, 50)
	for _, n := range h.nodes {
		o := &workload.Request{ID: uint64(n.number) + 1, Work: 30}
		h.take(&try{of: o, node: n}, 0, 2000)
		for _, c := range n.ops[workload.TryID(o.ID, 0)].calls {
			count[c.target.number]++
		}
	}
	sum, square := 0, 0.0
	for _, c := range count {
		sum += c
		square += float64(c-20) * float64(c-20) / 20
	}
	assert.Equal(t, 1000, sum)
	assert.Less(t, square, 95.0, "chi square of 49 degrees: one in ten thousand lies above, %v", count)
	assert.Greater(t, square, 18.0, "nor more even than chance")
}

// The host tells the auditor enough: a baseline knows nothing of cold budgets, and is caught when the fleet comes back.
func TestBaselineBreaksColdStarts(t *testing.T) {
	e := shipped(t, "cold-rush")
	e.Policy = "fewest"
	e.Backend.FallMultiple = 1.2
	r, err := Run(e, 1, Options{})
	require.NoError(t, err)
	assert.Positive(t, r.Rules.Counts[invariants.SlowStartPerNode-1])
	assert.Positive(t, r.Fallen)
	assert.Zero(t, r.Rules.Counts[invariants.NoRequestLost-1], r.Rules.Breaches)
	assert.Zero(t, r.Rules.Counts[invariants.NoEffectTwice-1], r.Rules.Breaches)
	assert.Zero(t, r.Rules.Counts[invariants.DrainRespected-1], r.Rules.Breaches)
}

// On calm days the order of policies is as it must be, and nobody beats who sees all by more than chance.
func TestOrderOfPolicies(t *testing.T) {
	service := map[string]float64{}
	for _, p := range experiment.Policies {
		e := shipped(t, "cut-in-a-burst")
		e.Policy, e.Seconds = p, 25
		r, err := Run(e, 2, Options{})
		require.NoError(t, err)
		service[p] = r.Service
	}
	assert.Greater(t, service["cda"], service["fewest"])
	assert.Greater(t, service["cda"], service["random"])
	assert.Greater(t, service["fewest"], service["random"])
	assert.GreaterOrEqual(t, service["all-seeing"], service["cda"]-0.01)
}

// Whatever troubles overlap, the module keeps the rules, no op stays open, and what was counted adds up.
func TestAnyScheduleKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, err := experiment.Read("../../../experiments/calm.toml")
		if err != nil {
			t.Fatal(err)
		}
		e.Seconds = 8
		e.List.DrainNoticeMs = 1000
		e.Clients.Load = rapid.Float64Range(0.2, 1.3).Draw(t, "load")
		for range rapid.IntRange(1, 4).Draw(t, "troubles") {
			e.Trouble = append(e.Trouble, experiment.Trouble{Kind: rapid.SampledFrom(experiment.Kinds).Draw(t, "kind"),
				At: rapid.Float64Range(0, 5).Draw(t, "at"), For: rapid.Float64Range(0.1, 4).Draw(t, "for"),
				Share: rapid.Float64Range(0.1, 1).Draw(t, "share"), Factor: rapid.Float64Range(1, 6).Draw(t, "factor"), Chance: 0.5,
				EveryMs: 700, PauseMs: 200, Zone: rapid.SampledFrom(e.Fleet.Zones).Draw(t, "zone"), Category: "pay"})
		}
		r, err := Run(e, rapid.Uint64().Draw(t, "seed"), Options{})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Rules.Kept {
			t.Fatalf("%v", r.Rules.Breaches[0])
		}
		asked := 0
		for _, c := range r.Categories {
			asked += c.Ops
		}
		if asked != r.Ops || r.Service < 0 || r.Service > 1+1e-9 {
			t.Fatalf("%d ops by category of %d, service %v", asked, r.Ops, r.Service)
		}
	})
}

func benchmark(b *testing.B, nodes, backends int, seconds float64) {
	e := shipped(b, "calm")
	e.Fleet.Nodes, e.Fleet.Backends, e.Seconds = nodes, backends, seconds
	b.ReportAllocs()
	ops, events := 0, uint64(0)
	for range b.N {
		r, err := Run(e, 1, Options{})
		require.NoError(b, err)
		ops, events = ops+r.Ops, events+r.Events
	}
	b.ReportMetric(float64(ops)/b.Elapsed().Seconds(), "ops/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
}

func BenchmarkLoop3x10(b *testing.B)     { benchmark(b, 3, 10, 20) }
func BenchmarkLoop100x30(b *testing.B)   { benchmark(b, 100, 30, 10) }
func BenchmarkLoop1250x200(b *testing.B) { benchmark(b, 1250, 200, 4) }

// What the backends are seen to do in a window is what they can do in it at most.
func TestBusyShares(t *testing.T) {
	r, err := Run(shipped(t, "burst"), 1, Options{})
	require.NoError(t, err)
	busy := 0.0
	for _, w := range r.Windows {
		for _, b := range w.Load {
			assert.LessOrEqual(t, b, 1.001)
			busy += b
		}
	}
	assert.Greater(t, busy/float64(len(r.Windows)*10), 0.3)
}

// The auditor sees order from outside: policies that know nothing of keys break it on the same ops.
func TestOrderIsJudged(t *testing.T) {
	e := shipped(t, "list-empty")
	e.Seconds, e.Clients.Keys, e.Policy, e.Trouble = 10, 20, "random", nil
	r, err := Run(e, 1, Options{})
	require.NoError(t, err)
	require.False(t, r.Rules.Kept)
	assert.Contains(t, fmt.Sprint(r.Rules.Breaches), "order kept")
}

// Twenty and thirty nodes that know nothing of one another keep a cold backend's ramp in their sum, when new backends join and
// others come back cold under a burst. That the days could break it is shown by a build without the share, in cmd/pearknot-lab.
func TestColdRamps(t *testing.T) {
	for _, name := range []string{"cold-ramp-20", "cold-ramp-30"} {
		for _, seed := range shipped(t, name).Seeds {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				e := shipped(t, name)
				starts, pushed := map[int]float64{}, 0
				r, err := Run(e, seed, Options{Watch: func(ev invariants.Event) {
					switch ev.Kind {
					case invariants.BackendStarted:
						starts[ev.Backend] = ev.Started
					case invariants.AttemptStarted:
						from, started := starts[ev.Backend]
						assert.True(t, started, "backend %d before it joined", ev.Backend)
						if from > 0 && ev.At < from+e.Backend.WarmWithinMs {
							pushed++
						}
					}
				}})
				require.NoError(t, err)
				assert.True(t, r.Rules.Kept, r.Rules.Breaches)
				assert.Zero(t, r.Fallen)
				assert.Len(t, starts, e.Fleet.Backends, "all have joined")
				assert.Greater(t, pushed, 300, "to cold ones")
			})
		}
	}
}

// Hints that say nothing of their op let the light-hinted ones through to cold backends, whatever they cost: what is charged for
// them is what they are let through by.
func TestColdRampsUnderWrongHints(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			e := shipped(t, "cold-ramp-30")
			e.Fleet.Zones, e.Fleet.Backends, e.List.LagMs, e.Clients.Hints, e.Clients.Retries = []string{"east", "hill", "west"}, 10, 3000, "misleading", 0
			e.Backend.ColdFrom, e.Backend.WarmWithinMs, e.Backend.OverloadForMs = 0.35, 20e3, 500
			for k := range e.Category {
				e.Category[k].TargetMs, e.Category[k].TTLMs = 8000, 16000
			}
			for k, share := range []float64{0.29, 0.33, 0} {
				e.Trouble[k].Share = share
			}
			e.Trouble[2].Factor = 1.92
			r, err := Run(e, seed+1, Options{})
			require.NoError(t, err)
			assert.Zero(t, r.Rules.Counts[invariants.SlowStartFleetwide-1], r.Rules.Breaches)
			assert.Zero(t, r.Fallen)
		})
	}
}
