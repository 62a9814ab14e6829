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

// readShipped reads one of the experiments in the experiments directory.
func readShipped(t testing.TB, name string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Read(filepath.Join("../../../experiments", name+".toml"))
	require.NoError(t, err)
	return e
}

// Operators rely on the rules during any incident. Each experiment in the experiments directory plays one or
// several faults, some at the same time; no rule may be broken in any of them, and most requests must be served.
func TestShippedExperimentsKeepRules(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	require.NoError(t, err)
	files = slices.DeleteFunc(files, func(file string) bool { // the tests of internal/lab/scale read these
		return strings.HasPrefix(filepath.Base(file), "scale-")
	})
	require.GreaterOrEqual(t, len(files), 28)
	for _, file := range files {
		e, err := experiment.Read(file)
		require.NoError(t, err)
		if e.NeedsOperator() { // run on sockets by the tests of internal/lab/loopback
			_, err := Run(e, 1, Options{})
			assert.ErrorIs(t, err, ErrOperated)
			assert.ErrorContains(t, err, "only on sockets")
			continue
		}
		if e.Fleet.Nodes > 100 { // takes too long
			continue
		}
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			run, err := Run(e, 1, Options{})
			require.NoError(t, err)
			assert.True(t, run.Verdict.Kept, run.Verdict.Evidence)
			assert.Greater(t, run.Service, 0.85)
			assert.Greater(t, run.Requests, 1000)
		})
	}
}

// A failure found in a run is only of use if it can be played again: the same seed gives the same result to the byte,
// whatever the number of processors.
func TestSameSeedSameResult(t *testing.T) {
	play := func(seed uint64) string {
		e := readShipped(t, "roll-in-a-shrink")
		e.Seconds = 20
		run, err := Run(e, seed, Options{})
		require.NoError(t, err)
		data, err := json.Marshal(run)
		require.NoError(t, err)
		return string(data)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	want := play(3)
	for _, processors := range []int{2, 8} {
		runtime.GOMAXPROCS(processors)
		assert.Equal(t, want, play(3))
	}
	assert.NotEqual(t, want, play(4))
}

// If nodes shared their random seed, or started their rotation at the same backend, a thousand nodes that receive one
// request each at the same moment would all send it to the same backend. They must spread the requests as independent
// random choices do: neither in step nor more evenly than that.
func TestNodesChooseIndependently(t *testing.T) {
	const (
		nodes    = 1000
		backends = 50
		mean     = nodes / backends
	)
	e := readShipped(t, "calm")
	e.Fleet.Nodes, e.Fleet.Backends, e.Fleet.Zones, e.Machines = nodes, backends, []string{"a"}, e.Machines[1:2]
	s, err := newSimulation(e, 1, Options{})
	require.NoError(t, err)
	attempts := make([]int, backends)
	for _, n := range s.nodes {
		request := &workload.Request{ID: uint64(n.number) + 1, Work: 30}
		s.receiveRequest(&clientTry{request: request, node: n}, 0, 2000)
		for _, a := range n.requests[workload.TryID(request.ID, 0)].attempts {
			attempts[a.target.number]++
		}
	}
	sum, chiSquare := 0, 0.0
	for _, count := range attempts {
		sum += count
		chiSquare += float64(count-mean) * float64(count-mean) / mean
	}
	assert.Equal(t, nodes, sum)
	assert.Less(t, chiSquare, 95.0, "chi square of 49 degrees of freedom: one in ten thousand lies above, %v", attempts)
	assert.Greater(t, chiSquare, 18.0, "more even than random")
}

// The auditor can only be trusted if it finds a breach where there is one. A baseline that knows nothing of slow start
// overloads the cold backends when the fleet returns: the simulation must give the auditor enough to notice that, and
// only that.
func TestBaselineBreaksSlowStart(t *testing.T) {
	e := readShipped(t, "cold-rush")
	e.Policy = "fewest"
	e.Backend.OverloadMultiple = 1.2
	run, err := Run(e, 1, Options{})
	require.NoError(t, err)
	assert.Positive(t, run.Verdict.Violations[invariants.SlowStartPerNode-1])
	assert.Positive(t, run.BackendCrashes)
	assert.Zero(t, run.Verdict.Violations[invariants.NoRequestLost-1], run.Verdict.Evidence)
	assert.Zero(t, run.Verdict.Violations[invariants.NoEffectTwice-1], run.Verdict.Evidence)
	assert.Zero(t, run.Verdict.Violations[invariants.DrainRespected-1], run.Verdict.Evidence)
}

// The policies must rank as expected, or the model is wrong: the balancer serves more than the simple baselines, and
// no policy serves more than the all-seeing one by more than chance.
func TestOrderOfPolicies(t *testing.T) {
	service := map[string]float64{}
	for _, policy := range experiment.Policies {
		e := readShipped(t, "cut-in-a-burst")
		e.Policy, e.Seconds = policy, 25
		run, err := Run(e, 2, Options{})
		require.NoError(t, err)
		service[policy] = run.Service
	}
	assert.Greater(t, service["cda"], service["fewest"])
	assert.Greater(t, service["cda"], service["random"])
	assert.Greater(t, service["fewest"], service["random"])
	assert.GreaterOrEqual(t, service["all-seeing"], service["cda"]-0.01)
}

// Incidents don't come in the combinations that somebody thought of. Whatever faults overlap, the balancer keeps the
// rules, no request stays open, and the counts of the result add up.
func TestAnyScheduleKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, err := experiment.Read("../../../experiments/calm.toml")
		if err != nil {
			t.Fatal(err)
		}
		e.Seconds = 8
		e.EndpointList.DrainNoticeMs = 1000
		e.Clients.Load = rapid.Float64Range(0.2, 1.3).Draw(t, "load")
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			e.Faults = append(e.Faults, drawFault(t, e.Fleet.Zones))
		}
		run, err := Run(e, rapid.Uint64().Draw(t, "seed"), Options{})
		if err != nil {
			t.Fatal(err)
		}
		if !run.Verdict.Kept {
			t.Fatalf("%v", run.Verdict.Evidence[0])
		}
		requests := 0
		for _, class := range run.Classes {
			requests += class.Requests
		}
		if requests != run.Requests || run.Service < 0 || run.Service > 1+1e-9 {
			t.Fatalf("%d requests by class of %d, service %v", requests, run.Requests, run.Service)
		}
	})
}

// drawFault draws a fault of any kind.
func drawFault(t *rapid.T, zones []string) experiment.Fault {
	return experiment.Fault{
		Kind:            rapid.SampledFrom(experiment.FaultKinds).Draw(t, "kind"),
		StartSeconds:    rapid.Float64Range(0, 5).Draw(t, "at"),
		DurationSeconds: rapid.Float64Range(0.1, 4).Draw(t, "for"),
		Share:           rapid.Float64Range(0.1, 1).Draw(t, "share"),
		Factor:          rapid.Float64Range(1, 6).Draw(t, "factor"),
		Chance:          0.5,
		EveryMs:         700,
		PauseMs:         200,
		Zone:            rapid.SampledFrom(zones).Draw(t, "zone"),
		Class:           "pay",
	}
}

// benchmarkLoop measures the event loop on a calm experiment.
func benchmarkLoop(b *testing.B, nodes, backends int, seconds float64) {
	e := readShipped(b, "calm")
	e.Fleet.Nodes, e.Fleet.Backends, e.Seconds = nodes, backends, seconds
	b.ReportAllocs()
	requests, events := 0, uint64(0)
	for range b.N {
		run, err := Run(e, 1, Options{})
		require.NoError(b, err)
		requests, events = requests+run.Requests, events+run.Events
	}
	b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "ops/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
}

func BenchmarkLoop3x10(b *testing.B)     { benchmarkLoop(b, 3, 10, 20) }
func BenchmarkLoop100x30(b *testing.B)   { benchmarkLoop(b, 100, 30, 10) }
func BenchmarkLoop1250x200(b *testing.B) { benchmarkLoop(b, 1250, 200, 4) }

// A backend can't be busy for longer than a window lasts: a sampled utilization over 1 would mean that work was counted
// twice, or in the wrong window.
func TestUtilizationAtMostOne(t *testing.T) {
	run, err := Run(readShipped(t, "burst"), 1, Options{})
	require.NoError(t, err)
	sum := 0.0
	for _, window := range run.Windows {
		for _, utilization := range window.BusyShares {
			assert.LessOrEqual(t, utilization, 1.001)
			sum += utilization
		}
	}
	assert.Greater(t, sum/float64(len(run.Windows)*10), 0.3)
}

// The auditor judges the order of requests with the same key from outside, not by what the balancer says of itself: a
// policy that knows nothing of keys is found to break it.
func TestAuditorJudgesOrder(t *testing.T) {
	e := readShipped(t, "list-empty")
	e.Seconds, e.Clients.Keys, e.Policy, e.Faults = 10, 20, "random", nil
	run, err := Run(e, 1, Options{})
	require.NoError(t, err)
	require.False(t, run.Verdict.Kept)
	assert.Contains(t, fmt.Sprint(run.Verdict.Evidence), "order kept")
}

// Many nodes that know nothing of one another must together stay within a cold backend's slow start, when backends join
// and others restart during a burst. That these experiments can break the rule is shown by a build without the
// per-node share, in the tests of cmd/pearknot-lab.
func TestSlowStartAcrossNodes(t *testing.T) {
	for _, name := range []string{"cold-ramp-20", "cold-ramp-30"} {
		for _, seed := range readShipped(t, name).Seeds {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				e := readShipped(t, name)
				startedAt, attemptsToCold := map[int]float64{}, 0
				watch := func(event invariants.Event) {
					switch event.Kind {
					case invariants.BackendStarted:
						startedAt[event.Backend] = event.Started
					case invariants.AttemptStarted:
						from, started := startedAt[event.Backend]
						assert.True(t, started, "backend %d before it joined", event.Backend)
						if from > 0 && event.At < from+e.Backend.WarmupMs {
							attemptsToCold++
						}
					}
				}
				run, err := Run(e, seed, Options{Watch: watch})
				require.NoError(t, err)
				assert.True(t, run.Verdict.Kept, run.Verdict.Evidence)
				assert.Zero(t, run.BackendCrashes)
				assert.Len(t, startedAt, e.Fleet.Backends, "all have joined")
				assert.Greater(t, attemptsToCold, 300)
			})
		}
	}
}

// Cost hints that say nothing of their request admit the ones with low hints to cold backends, whatever they cost. What
// a request is charged must be what it was admitted by, or the sum over the nodes exceeds the slow start's budget.
func TestSlowStartUnderMisleadingHints(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			e := readShipped(t, "cold-ramp-30")
			e.Fleet.Zones, e.Fleet.Backends = []string{"east", "hill", "west"}, 10
			e.EndpointList.LagMs = 3000
			e.Clients.Hints, e.Clients.Retries = "misleading", 0
			e.Backend.ColdSpeedShare, e.Backend.WarmupMs, e.Backend.OverloadWindowMs = 0.35, 20e3, 500
			for class := range e.Classes {
				e.Classes[class].LatencyObjectiveMs, e.Classes[class].DeadlineMs = 8000, 16000
			}
			for i, share := range []float64{0.29, 0.33, 0} {
				e.Faults[i].Share = share
			}
			e.Faults[2].Factor = 1.92
			run, err := Run(e, seed+1, Options{})
			require.NoError(t, err)
			assert.Zero(t, run.Verdict.Violations[invariants.SlowStartFleetwide-1], run.Verdict.Evidence)
			assert.Zero(t, run.BackendCrashes)
		})
	}
}
