package fleet

import (
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A change of any size is rolled out to the end. At no time more instances are out of service than MaxUnavailable,
// and none but the canaries is touched before they are healthy.
func TestRollingChangeObeysMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newSimulatedHost(t)
		count := rapid.IntRange(1, 12).Draw(t, "n")
		require.NoError(t, host.propose(instances(count, "a"), Options{MaxUnavailable: count}))
		host.runRounds(20)
		require.Empty(t, host.mismatch())
		require.Equal(t, Succeeded, host.fleet.Latest().Status)
		maxUnavailable := rapid.IntRange(1, 4).Draw(t, "at once")
		canary := rapid.IntRange(0, 3).Draw(t, "canary")
		options := Options{MaxUnavailable: maxUnavailable, Canary: canary, HealthMs: 400}
		require.NoError(t, host.propose(instances(count, "b"), options))
		for range 400 {
			host.runRound(-1)
			unavailable, changed := 0, 0
			for name := range host.fleet.Current().Set {
				if process := host.processes[name]; process == nil || !process.isInService {
					unavailable++
				} else if process.digest == "b" {
					changed++
				}
			}
			if unavailable > maxUnavailable {
				t.Fatalf("%d out of service, %d allowed", unavailable, maxUnavailable)
			}
			canaries := min(canary, count)
			if len(host.fleet.Latest().Healthy) < canaries && unavailable+changed > canaries {
				t.Fatal("others were changed before the canaries were healthy")
			}
			if host.fleet.Latest().Status.IsFinal() {
				break
			}
		}
		require.Equal(t, Succeeded, host.fleet.Latest().Status)
		require.Empty(t, host.mismatch())
	})
}

// A new configuration makes instances fail: they never become ready, or exit by themselves. The change stops at the
// canary, is rolled back, and what ran before is declared again under a new number.
func TestFailedChangeIsRolledBack(t *testing.T) {
	for name, makeInstancesFail := range map[string]func(*simulatedHost){
		"never ready":    func(host *simulatedHost) { host.neverReady["b"] = true },
		"ends by itself": func(host *simulatedHost) { host.exitsByItself["b"] = true },
	} {
		rapid.Check(t, func(t *rapid.T) {
			host := newSimulatedHost(t)
			require.NoError(t, host.propose(instances(6, "a"), Options{MaxUnavailable: 6}))
			host.runRounds(20)
			makeInstancesFail(host)
			require.NoError(t, host.propose(instances(8, "b"), Options{MaxUnavailable: 2, Canary: 1}))
			host.runRounds(300)
			change := host.fleet.Latest()
			require.Equal(t, RolledBack, change.Status, name)
			require.Contains(t, change.Failure, "n000")
			require.Empty(t, host.mismatch(), name)
			require.Equal(t, uint64(3), host.fleet.Current().Number)
			require.LessOrEqual(t, change.Reached, 1, "stopped at the canary")
		})
	}
}

// An instance that was healthy fails late in a change. The rollback takes no more instances out of service at once
// than the change did.
func TestRollbackObeysMaxUnavailable(t *testing.T) {
	for _, maxUnavailable := range []int{1, 2} {
		host := newSimulatedHost(nil)
		require.NoError(t, host.propose(instances(8, "a"), Options{MaxUnavailable: 8}))
		host.runRounds(20)
		require.NoError(t, host.propose(instances(8, "b"), Options{MaxUnavailable: maxUnavailable}))
		for len(host.fleet.Latest().Healthy) < 6 {
			host.runRound(-1)
		}
		host.exitsByItself["c"] = true
		for _, name := range host.fleet.Latest().Order { // a healthy instance exits, and does so again
			if host.fleet.Latest().Healthy[name] {
				host.processes[name].digest, host.processes[name].startedAt = "c", 0
				break
			}
		}
		for round := 0; !host.fleet.Latest().Status.IsFinal() && round < 500; round++ {
			host.runRound(-1)
			unavailable := 0
			for name := range host.fleet.Current().Set {
				if process := host.processes[name]; process == nil || !process.isInService {
					unavailable++
				}
			}
			require.LessOrEqual(t, unavailable, 2*maxUnavailable+1,
				"the failed one, those in progress when it failed, and those that are rolled back")
		}
		require.Equal(t, RolledBack, host.fleet.Latest().Status)
		host.runRounds(5)
		require.Empty(t, host.mismatch())
	}
}

// With NoRollback a change that fails stays where it is: the instances that it has not reached run the former
// configuration. The next change begins from that mixture and is rolled out to the end.
func TestNoRollbackLeavesChangeStuck(t *testing.T) {
	host := newSimulatedHost(nil)
	require.NoError(t, host.propose(instances(6, "a"), Options{MaxUnavailable: 6}))
	host.runRounds(20)
	host.neverReady["b"] = true
	require.NoError(t, host.propose(instances(6, "b"), Options{MaxUnavailable: 1, NoRollback: true}))
	host.runRounds(300)
	require.Equal(t, Stuck, host.fleet.Latest().Status)
	for name, process := range host.processes {
		require.Equal(t, map[bool]string{true: "b", false: "a"}[name == "n000"], process.digest, name)
	}
	delete(host.neverReady, "b")
	require.NoError(t, host.propose(instances(6, "b"), Options{MaxUnavailable: 2}))
	host.runRounds(100)
	require.Equal(t, Succeeded, host.fleet.Latest().Status)
	require.Empty(t, host.mismatch())
}

// A process can't be started. The failure is counted once: that no process is found afterwards is no second failure.
func TestFailedStartCountsOnce(t *testing.T) {
	host := newSimulatedHost(nil)
	require.NoError(t, host.propose(instances(1, "a"), Options{NoRollback: true}))
	host.observeAll()
	action := host.fleet.Plan(host.now)[0]
	host.fleet.StepStarted(host.now, action, "t")
	host.fleet.StepEnded(host.now, action, 0, errors.New("no such file"))
	host.observeAll()
	require.Len(t, host.fleet.Records["n000"].Failures, 1)
	require.Equal(t, "no such file", host.fleet.Records["n000"].LastFailure)
}

// An operator rolls back the change in progress: another proposal is refused meanwhile, all instances return to the
// generation before, and a change that is over can't be rolled back.
func TestRollbackByOperator(t *testing.T) {
	host := newSimulatedHost(nil)
	require.NoError(t, host.propose(instances(4, "a"), Options{MaxUnavailable: 4}))
	_, err := host.fleet.Propose(host.now, host.fleet.Revision, instances(4, "b"), Change{})
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	host.runRounds(20)
	require.NoError(t, host.propose(instances(4, "b"), Options{MaxUnavailable: 1, HealthMs: 1e6}))
	host.runRounds(10)
	_, err = host.fleet.RollBack(host.now, host.fleet.Revision, "me", "no")
	require.NoError(t, err)
	host.runRounds(40)
	assert.Equal(t, RolledBack, host.fleet.Latest().Status)
	assert.Contains(t, host.fleet.Latest().Failure, "rolled back by me: no")
	assert.Empty(t, host.mismatch())
	_, err = host.fleet.RollBack(host.now, host.fleet.Revision, "me", "no")
	assert.Error(t, err)
}

// In random histories of changes, rollbacks, crashes of the agent between any two writes, processes that die, and
// instances that can't be observed: no instance runs twice, none is killed before SIGTERM, and once faults end all
// instances reach one generation.
func TestRandomHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newSimulatedHost(t)
		host.ignoresSIGTERM = rapid.Bool().Draw(t, "stubborn")
		digests := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) { host.runRound(rapid.IntRange(-1, 30).Draw(t, "cut")) },
			"propose": func(t *rapid.T) {
				set := instances(rapid.IntRange(0, 6).Draw(t, "n"), rapid.SampledFrom(digests).Draw(t, "digest"))
				for _, name := range set.Names() {
					if instance := set[name]; rapid.IntRange(0, 4).Draw(t, "stop") == 0 {
						instance.Desired = Stopped
						set[name] = instance
					}
				}
				err := host.propose(set, Options{MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "at once")})
				var busy *BusyError
				if err != nil && !errors.As(err, &busy) && !errors.Is(err, ErrNoChange) {
					t.Fatal(err)
				}
			},
			"revert": func(*rapid.T) {
				if _, err := host.fleet.RollBack(host.now, host.fleet.Revision, "x", "y"); err == nil {
					host.save()
				}
			},
			"dies": func(t *rapid.T) {
				if names := host.fleet.Current().Set.Names(); len(names) > 0 {
					delete(host.processes, rapid.SampledFrom(names).Draw(t, "who"))
				}
			},
			"blind": func(t *rapid.T) {
				host.isUnobservable[rapid.SampledFrom([]string{"n000", "n001", "n002"}).Draw(t, "who")] = true
			},
			"sight":  func(*rapid.T) { clear(host.isUnobservable) },
			"spoilt": func(t *rapid.T) { host.neverReady[rapid.SampledFrom(digests[1:]).Draw(t, "digest")] = true },
			"crash":  func(*rapid.T) { host.crash() },
		})
		clear(host.isUnobservable)
		clear(host.neverReady)
		for range 2000 {
			host.runRound(-1)
			if change := host.fleet.Latest(); (change == nil || change.Status.IsFinal()) && host.mismatch() == "" {
				return
			}
		}
		isCrashLooping := false
		for _, record := range host.fleet.Records {
			isCrashLooping = isCrashLooping || record.CrashLooping
		}
		if change := host.fleet.Latest(); change != nil && (!change.Status.IsFinal() || !isCrashLooping && change.Status != Stuck) {
			t.Fatalf("not settled: %s; change %+v; records %+v", host.mismatch(), *change, host.fleet.Records)
		}
	})
}

// Two operators propose changes that are based on one revision. Exactly one is accepted; the other gets an error
// that names who came first.
func TestOneOfConflictingProposalsIsAccepted(t *testing.T) {
	fleet := New(State{}, DefaultTiming())
	_, err := fleet.Propose(1, 0, instances(2, "a"), Change{Author: "ann", Reason: "first", Command: "apply"})
	require.NoError(t, err)
	_, err = fleet.Propose(1, 0, instances(2, "b"), Change{Author: "bob"})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, "made from revision 0, the fleet is at 1: change 1 by ann (apply: first)", err.Error())
	_, err = fleet.RollBack(1, 0, "bob", "")
	require.ErrorAs(t, err, &conflict)
}

// Sets with one address twice, a name that is no file name or an unknown state are refused, as is a set that
// changes nothing.
func TestInvalidSetsAreRefused(t *testing.T) {
	two := instances(2, "a")
	other := two["n001"]
	other.Listen = two["n000"].Listen
	two["n001"] = other
	for message, invalid := range map[string]Set{
		"listens on":            two,
		"not a valid file name": {"../x": Instance{Name: "../x", Desired: Running}},
		"wanted is":             {"x": Instance{Name: "x", Desired: "maybe"}},
	} {
		_, err := New(State{}, DefaultTiming()).Propose(0, 0, invalid, Change{})
		assert.ErrorContains(t, err, message)
	}
	_, err := New(State{}, DefaultTiming()).Propose(0, 0, Set{}, Change{})
	assert.ErrorIs(t, err, ErrNoChange)
}

// An instance ignores SIGTERM. It is killed, not before ShutdownTimeoutMs is over.
func TestInstanceIgnoringSIGTERMIsKilled(t *testing.T) {
	host := newSimulatedHost(nil)
	host.ignoresSIGTERM = true
	require.NoError(t, host.propose(instances(1, "a"), Options{}))
	host.runRounds(10)
	require.NoError(t, host.propose(instances(1, "b"), Options{}))
	terminatedAt := 0.0
	for host.processes["n000"] == nil || host.processes["n000"].digest == "a" {
		if process := host.processes["n000"]; process != nil && process.isTerminating && terminatedAt == 0 {
			terminatedAt = host.now
		}
		host.runRound(-1)
		require.Less(t, host.now, 1.1e6)
	}
	assert.GreaterOrEqual(t, host.now-terminatedAt, DefaultTiming().ShutdownTimeoutMs)
}

// Instances that were added, removed or changed are named, in order.
func TestDifferencesAreNamedInOrder(t *testing.T) {
	before, after := instances(3, "a"), instances(4, "a")
	restarted := after["n001"]
	restarted.Epoch++
	after["n001"] = restarted
	delete(after, "n000")
	assert.Equal(t, []string{"n000", "n001", "n003"}, Differences(before, after))
	assert.True(t, slices.IsSorted(after.Names()))
}
