package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// verdictCase is an observation of an instance, and what the fleet makes of it.
type verdictCase struct {
	observation Observation
	wantVerdict InstanceVerdict
	wantReason  string
	wantStep    Step // empty: none
}

// verdictCases returns the cases of TestVerdictOfEachObservation by name.
func verdictCases() map[string]verdictCase {
	base := Observation{Phase: PhaseReady, Digest: "a", Discovery: "list:1", ListVersion: 7, ListDigest: "good", InService: true}
	with := func(change func(*Observation)) Observation {
		observation := base
		change(&observation)
		return observation
	}
	return map[string]verdictCase{
		"as declared": {
			observation: base,
			wantVerdict: VerdictAsDeclared,
		},
		"unknown": {
			observation: Observation{Phase: PhaseUnknown, Reason: "no answer"},
			wantVerdict: VerdictUnknown,
			wantReason:  "no answer",
		},
		"foreign process": {
			observation: Observation{Phase: PhaseForeign, Reason: "token"},
			wantVerdict: VerdictForeign,
			wantReason:  "token",
		},
		"down": {
			observation: Observation{Phase: PhaseDown},
			wantVerdict: VerdictInProgress,
			wantStep:    StepStart,
		},
		"wrong source": {
			observation: with(func(observation *Observation) { observation.Discovery = "list:2" }),
			wantVerdict: VerdictWrongList,
			wantReason:  "declared list:1 (good), asks list:2 (good)",
			wantStep:    StepWithdraw,
		},
		"wrong content": {
			observation: with(func(observation *Observation) { observation.ListDigest = "bad" }),
			wantVerdict: VerdictWrongList,
			wantReason:  "declared good, holds bad at version 7 of list:1",
			wantStep:    StepWithdraw,
		},
		"another version of the list": {
			observation: with(func(observation *Observation) {
				observation.ListDigest = "bad"
				observation.ListVersion = 6
			}),
			wantVerdict: VerdictAsDeclared,
		},
		"wrong source, out of service": {
			observation: with(func(observation *Observation) {
				observation.Discovery = "list:2"
				observation.InService = false
			}),
			wantVerdict: VerdictWrongList,
			wantReason:  "asks list:2",
		},
		"out of service": {
			observation: with(func(observation *Observation) { observation.InService = false }),
			wantVerdict: VerdictInProgress,
			wantReason:  "out of service",
			wantStep:    StepAdmit,
		},
		"wrong configuration": {
			observation: with(func(observation *Observation) { observation.Digest = "z" }),
			wantVerdict: VerdictWrongConfig,
			wantReason:  "declared a, runs z",
			wantStep:    StepWithdraw,
		},
		"wrong configuration, out of service": {
			observation: with(func(observation *Observation) {
				observation.Digest = "z"
				observation.InService = false
			}),
			wantVerdict: VerdictWrongConfig,
			wantReason:  "declared a, runs z",
		},
		"starting": {
			observation: Observation{Phase: PhaseStarting},
			wantVerdict: VerdictInProgress,
			wantReason:  "starting",
		},
		"shutting down": {
			observation: Observation{Phase: PhaseShuttingDown},
			wantVerdict: VerdictInProgress,
			wantReason:  "ending",
		},
	}
}

// Each observation has its verdict, reason and step: what can't be observed is unknown and left alone, a wrong list
// is shown with both digests and taken out of service.
func TestVerdictOfEachObservation(t *testing.T) {
	for name, test := range verdictCases() {
		fleet := New(State{
			Generations: []Generation{{1, Set{"n1": newInstance("n1", "a")}}},
			Records:     map[string]Record{"n1": {Name: "n1", Digest: "a", StartedAt: 1000}},
		}, DefaultTiming())
		fleet.ObserveSource("list:1", SourceDigest{Version: 7, Digest: "good"})
		test.observation.ObservedAt = 1000
		fleet.Observe("n1", test.observation)
		verdict, reason := fleet.Verdict(1000, "n1")
		assert.Equal(t, test.wantVerdict, verdict, name)
		assert.Contains(t, reason, test.wantReason, name)
		actions := fleet.Plan(1000)
		if test.wantStep == "" {
			assert.Empty(t, actions, name)
		} else if assert.Len(t, actions, 1, name) {
			assert.Equal(t, test.wantStep, actions[0].Step, name)
		}
		verdict, reason = fleet.Verdict(1000+DefaultTiming().ObservationTTLMs+1, "n1")
		assert.Equal(t, VerdictUnknown, verdict, "an outdated observation is not used")
		assert.NotEmpty(t, reason)
	}
}

// Instances exit whenever they are started. Their backoff grows, differs between them, and after CrashLoopCount
// failures they are not started again until an operator changes them.
func TestInstancesThatAlwaysExitEndInCrashLoop(t *testing.T) {
	host := newSimulatedHost(nil)
	host.exitsByItself["a"] = true
	require.NoError(t, host.propose(instances(3, "a"), Options{MaxUnavailable: 3, NoRollback: true}))
	starts := map[string][]float64{}
	for range 600 {
		host.now += 200
		for name, process := range host.processes {
			if host.now-process.startedAt > 300 {
				delete(host.processes, name)
			}
		}
		host.observeAll()
		for _, action := range host.fleet.Plan(host.now) {
			if action.Step == StepStart {
				starts[action.Name] = append(starts[action.Name], host.now)
			}
			host.executeAction(action, -1)
		}
	}
	assert.Equal(t, Stuck, host.fleet.Latest().Status)
	for name, startedAt := range starts {
		require.Len(t, startedAt, DefaultTiming().CrashLoopCount, name)
		assert.Greater(t, startedAt[4]-startedAt[3], startedAt[1]-startedAt[0])
		verdict, reason := host.fleet.Verdict(host.now, name)
		assert.Equal(t, VerdictCrashLoop, verdict)
		assert.Contains(t, reason, "ended by itself")
	}
	assert.NotEqual(t, starts["n000"], starts["n001"])
	delete(host.exitsByItself, "a")
	require.NoError(t, host.propose(host.fleet.Current().Set, Options{MaxUnavailable: 3}), "an operator's change ends the crash loop")
	host.runRounds(30)
	assert.Empty(t, host.mismatch())
}
