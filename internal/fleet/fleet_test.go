package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// newInstance returns a running instance; its name begins with a letter, followed by its port.
func newInstance(name, digest string) Instance {
	return Instance{Name: name, Listen: "127.0.0.1:" + name[1:], Digest: digest, Discovery: "list:1", Desired: Running}
}

// instances returns a set of count instances with one configuration.
func instances(count int, digest string) Set {
	set := Set{}
	for index := range count {
		instance := newInstance(fmt.Sprintf("n%03d", index), digest)
		set[instance.Name] = instance
	}
	return set
}

// simulatedProcess is the process of an instance in the model.
type simulatedProcess struct {
	token         string
	digest        string // of its configuration
	list          string // address of its endpoint list
	epoch         uint64
	ready         bool
	isInService   bool
	isTerminating bool // it has received SIGTERM
	startedAt     float64
}

// world is a model of a host: its processes, and an agent that may crash between any two of its writes and steps.
// It fails the test if an instance is started while it runs, or killed before it has received SIGTERM.
type world struct {
	t         *rapid.T
	now       float64
	fleet     *Fleet
	disk      []byte
	processes map[string]*simulatedProcess
	bad       map[string]bool // digests with which a process never gets ready
	exits     map[string]bool // digests with which it ends by itself
	stubborn  bool            // processes ignore SIGTERM
	blind     map[string]bool // instances that can't be seen now
	serial    int
	otherList string // a list that instances ask instead
}

// newWorld returns a host without instances. The test may be nil where the model is not checked.
func newWorld(t *rapid.T) *world {
	w := &world{
		t:         t,
		now:       1e6,
		processes: map[string]*simulatedProcess{},
		bad:       map[string]bool{},
		exits:     map[string]bool{},
		blind:     map[string]bool{},
	}
	w.fleet = New(State{}, DefaultTiming())
	w.save()
	return w
}

// save stores the state, as the agent does before and after a step.
func (w *world) save() {
	var err error
	if w.disk, err = json.Marshal(w.fleet.State); err != nil {
		panic(err)
	}
}

// crash replaces the agent by one that continues from the stored state.
func (w *world) crash() {
	var state State
	if err := json.Unmarshal(w.disk, &state); err != nil {
		panic(err)
	}
	w.fleet = New(state, DefaultTiming())
}

// observeAll passes what can be observed of all processes to the fleet.
func (w *world) observeAll() {
	names := map[string]bool{}
	for _, name := range w.fleet.Names() {
		names[name] = true
	}
	for name := range w.processes {
		names[name] = true
	}
	for name := range names {
		process, record := w.processes[name], w.fleet.Records[name]
		switch {
		case w.blind[name]:
			w.fleet.Observe(name, Observation{Phase: PhaseUnknown, ObservedAt: w.now, Reason: "blind"})
		case process == nil:
			if record.StartedAt > 0 {
				w.fleet.InstanceExited(w.now, name, "ended by itself")
			}
			w.fleet.Observe(name, Observation{Phase: PhaseDown, ObservedAt: w.now})
		case process.token != record.Token:
			w.fleet.Observe(name, Observation{Phase: PhaseForeign, ObservedAt: w.now, Reason: "token"})
		default:
			observation := Observation{
				Phase:      PhaseStarting,
				ObservedAt: w.now,
				Digest:     process.digest,
				Epoch:      process.epoch,
				Discovery:  process.list,
				InService:  process.isInService,
			}
			if process.ready {
				observation.Phase = PhaseReady
			}
			if process.isTerminating {
				observation.Phase = PhaseShuttingDown
			}
			w.fleet.Observe(name, observation)
		}
	}
}

// takeStep takes one action and reports whether the agent got through it. It crashes at the point cut: 0 after the
// step was stored as pending, 1 after it was taken, 2 after its result was recorded, 3 after that was stored; -1 is
// no crash.
func (w *world) takeStep(action Action, cut int) bool {
	w.serial++
	token := fmt.Sprint("t", w.serial)
	w.fleet.StepStarted(w.now, action, token)
	w.save()
	if cut == 0 {
		return false
	}
	process := w.processes[action.Name]
	switch action.Step {
	case StepStart:
		if process != nil {
			w.t.Fatalf("%s started while it runs", action.Name)
		}
		w.processes[action.Name] = &simulatedProcess{
			token:     token,
			digest:    action.Instance.Digest,
			epoch:     action.Instance.Epoch,
			list:      action.Instance.Discovery,
			startedAt: w.now,
		}
		if w.otherList != "" {
			w.processes[action.Name].list = w.otherList
		}
	case StepTerminate:
		if process != nil {
			process.isTerminating = true
			if !w.stubborn {
				delete(w.processes, action.Name)
			}
		}
	case StepKill:
		if !process.isTerminating {
			w.t.Fatalf("%s killed before it was told to end", action.Name)
		}
		delete(w.processes, action.Name)
	case StepAdmit:
		process.isInService = true
	case StepWithdraw:
		process.isInService = false
	}
	if cut == 1 {
		return false
	}
	w.fleet.StepEnded(w.now, action, 1, nil)
	if cut == 2 {
		return false
	}
	w.save()
	return cut != 3
}

// runRound is one round of the agent: observe, plan, take the steps. The agent crashes at the point cut, counted
// over all steps of the round; -1 is no crash.
func (w *world) runRound(cut int) {
	w.now += 200
	for name, process := range w.processes {
		if w.exits[process.digest] && w.now-process.startedAt > 300 {
			delete(w.processes, name)
		} else if !w.bad[process.digest] && w.now-process.startedAt > 300 {
			process.ready = true
		}
	}
	w.observeAll()
	for _, action := range w.fleet.Plan(w.now) {
		if cut >= 0 && cut < 4 {
			if !w.takeStep(action, cut) {
				w.crash()
				return
			}
		}
		cut -= 4
		if cut < -1 {
			cut = -1
		}
		if !w.takeStep(action, -1) {
			w.t.Fatal("not cut")
		}
	}
	w.save()
}

// propose begins a change and stores it.
func (w *world) propose(set Set, options Options) error {
	_, err := w.fleet.Propose(w.now, w.fleet.Revision, set, Change{Author: "a", Reason: "r", Command: "apply", Options: options})
	if err == nil {
		w.save()
	}
	return err
}

// mismatch says how what runs differs from the declared generation, and nothing if it does not.
func (w *world) mismatch() string {
	generation := w.fleet.Current()
	for name, instance := range generation.Set {
		process := w.processes[name]
		if instance.Desired == Running && (process == nil || process.digest != instance.Digest || process.epoch != instance.Epoch || !process.isInService) {
			return fmt.Sprintf("%s is %+v, generation %d wants %+v", name, process, generation.Number, instance)
		}
		if instance.Desired == Stopped && process != nil {
			return name + " runs"
		}
	}
	for name := range w.processes {
		if _, declared := generation.Set[name]; !declared {
			return name + " is not declared"
		}
	}
	return ""
}

// runRounds runs rounds without a crash.
func (w *world) runRounds(rounds int) {
	for range rounds {
		w.runRound(-1)
	}
}

// A change of any size is rolled out to the end. At no time more instances are out of service than MaxUnavailable,
// and none but the canaries is touched before they are healthy.
func TestRollingChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		count := rapid.IntRange(1, 12).Draw(t, "n")
		require.NoError(t, w.propose(instances(count, "a"), Options{MaxUnavailable: count}))
		w.runRounds(20)
		require.Empty(t, w.mismatch())
		require.Equal(t, Succeeded, w.fleet.Latest().Status)
		maxUnavailable := rapid.IntRange(1, 4).Draw(t, "at once")
		canary := rapid.IntRange(0, 3).Draw(t, "canary")
		require.NoError(t, w.propose(instances(count, "b"), Options{MaxUnavailable: maxUnavailable, Canary: canary, HealthMs: 400}))
		for range 400 {
			w.runRound(-1)
			unavailable, changed := 0, 0
			for name := range w.fleet.Current().Set {
				if process := w.processes[name]; process == nil || !process.isInService {
					unavailable++
				} else if process.digest == "b" {
					changed++
				}
			}
			if unavailable > maxUnavailable {
				t.Fatalf("%d out of service, %d allowed", unavailable, maxUnavailable)
			}
			if canaries := min(canary, count); canaries > 0 && len(w.fleet.Latest().Healthy) < canaries && unavailable+changed > canaries {
				t.Fatal("others before the canaries were well")
			}
			if w.fleet.Latest().Status.IsFinal() {
				break
			}
		}
		require.Equal(t, Succeeded, w.fleet.Latest().Status)
		require.Empty(t, w.mismatch())
	})
}

// A new configuration makes instances fail: they never become ready, or exit by themselves. The change stops at the
// canary, is rolled back, and what ran before is declared again under a new number.
func TestFailedChangeIsRolledBack(t *testing.T) {
	for name, spoil := range map[string]func(*world){
		"never ready": func(w *world) { w.bad["b"] = true }, "ends by itself": func(w *world) { w.exits["b"] = true },
	} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld(t)
			require.NoError(t, w.propose(instances(6, "a"), Options{MaxUnavailable: 6}))
			w.runRounds(20)
			spoil(w)
			require.NoError(t, w.propose(instances(8, "b"), Options{MaxUnavailable: 2, Canary: 1}))
			w.runRounds(300)
			change := w.fleet.Latest()
			require.Equal(t, RolledBack, change.Status, name)
			require.Contains(t, change.Failure, "n000")
			require.Empty(t, w.mismatch(), name)
			require.Equal(t, uint64(3), w.fleet.Current().Number)
			require.LessOrEqual(t, change.Reached, 1, "stopped at the canary")
		})
	}
}

// An instance that was healthy fails late in a change. The rollback takes no more instances out of service at once
// than the change did.
func TestRollbackObeysMaxUnavailable(t *testing.T) {
	for _, maxUnavailable := range []int{1, 2} {
		w := newWorld(nil)
		require.NoError(t, w.propose(instances(8, "a"), Options{MaxUnavailable: 8}))
		w.runRounds(20)
		require.NoError(t, w.propose(instances(8, "b"), Options{MaxUnavailable: maxUnavailable}))
		for len(w.fleet.Latest().Healthy) < 6 {
			w.runRound(-1)
		}
		w.exits["c"] = true
		for _, name := range w.fleet.Latest().Order { // one of those that were well dies, and does so again
			if w.fleet.Latest().Healthy[name] {
				w.processes[name].digest, w.processes[name].startedAt = "c", 0
				break
			}
		}
		for round := 0; !w.fleet.Latest().Status.IsFinal() && round < 500; round++ {
			w.runRound(-1)
			unavailable := 0
			for name := range w.fleet.Current().Set {
				if process := w.processes[name]; process == nil || !process.isInService {
					unavailable++
				}
			}
			require.LessOrEqual(t, unavailable, 2*maxUnavailable+1, "the failed one, those on their way when it failed, and those that go back")
		}
		require.Equal(t, RolledBack, w.fleet.Latest().Status)
		w.runRounds(5)
		require.Empty(t, w.mismatch())
	}
}

// With NoRollback a change that fails stays where it is: the instances that it has not reached run the former
// configuration. The next change begins from that mixture and is rolled out to the end.
func TestNoRollbackLeavesChangeStuck(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(instances(6, "a"), Options{MaxUnavailable: 6}))
	w.runRounds(20)
	w.bad["b"] = true
	require.NoError(t, w.propose(instances(6, "b"), Options{MaxUnavailable: 1, NoRollback: true}))
	w.runRounds(300)
	require.Equal(t, Stuck, w.fleet.Latest().Status)
	for name, process := range w.processes {
		require.Equal(t, map[bool]string{true: "b", false: "a"}[name == "n000"], process.digest, name)
	}
	delete(w.bad, "b")
	require.NoError(t, w.propose(instances(6, "b"), Options{MaxUnavailable: 2}))
	w.runRounds(100)
	require.Equal(t, Succeeded, w.fleet.Latest().Status)
	require.Empty(t, w.mismatch())
}

// A process can't be started. The failure is counted once: that no process is found afterwards is no second failure.
func TestFailedStartCountsOnce(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(instances(1, "a"), Options{NoRollback: true}))
	w.observeAll()
	action := w.fleet.Plan(w.now)[0]
	w.fleet.StepStarted(w.now, action, "t")
	w.fleet.StepEnded(w.now, action, 0, errors.New("no such file"))
	w.observeAll()
	require.Len(t, w.fleet.Records["n000"].Failures, 1)
	require.Equal(t, "no such file", w.fleet.Records["n000"].LastFailure)
}

// An operator rolls back the change in progress: another proposal is refused meanwhile, all instances return to the
// generation before, and a change that is over can't be rolled back.
func TestRollbackByOperator(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(instances(4, "a"), Options{MaxUnavailable: 4}))
	_, err := w.fleet.Propose(w.now, w.fleet.Revision, instances(4, "b"), Change{})
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	w.runRounds(20)
	require.NoError(t, w.propose(instances(4, "b"), Options{MaxUnavailable: 1, HealthMs: 1e6}))
	w.runRounds(10)
	_, err = w.fleet.RollBack(w.now, w.fleet.Revision, "me", "no")
	require.NoError(t, err)
	w.runRounds(40)
	assert.Equal(t, RolledBack, w.fleet.Latest().Status)
	assert.Contains(t, w.fleet.Latest().Failure, "rolled back by me: no")
	assert.Empty(t, w.mismatch())
	_, err = w.fleet.RollBack(w.now, w.fleet.Revision, "me", "no")
	assert.Error(t, err)
}

// In random histories of changes, rollbacks, crashes of the agent between any two writes, processes that die, and
// instances that can't be observed: no instance runs twice, none is killed before SIGTERM, and once faults end all
// instances reach one generation.
func TestRandomHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.stubborn = rapid.Bool().Draw(t, "stubborn")
		digests := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) { w.runRound(rapid.IntRange(-1, 30).Draw(t, "cut")) },
			"propose": func(t *rapid.T) {
				set := instances(rapid.IntRange(0, 6).Draw(t, "n"), rapid.SampledFrom(digests).Draw(t, "digest"))
				for _, name := range set.Names() {
					if instance := set[name]; rapid.IntRange(0, 4).Draw(t, "stop") == 0 {
						instance.Desired = Stopped
						set[name] = instance
					}
				}
				err := w.propose(set, Options{MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "at once")})
				var busy *BusyError
				if err != nil && !errors.As(err, &busy) && !errors.Is(err, ErrNoChange) {
					t.Fatal(err)
				}
			},
			"revert": func(*rapid.T) {
				if _, err := w.fleet.RollBack(w.now, w.fleet.Revision, "x", "y"); err == nil {
					w.save()
				}
			},
			"dies": func(t *rapid.T) {
				if names := w.fleet.Current().Set.Names(); len(names) > 0 {
					delete(w.processes, rapid.SampledFrom(names).Draw(t, "who"))
				}
			},
			"blind":  func(t *rapid.T) { w.blind[rapid.SampledFrom([]string{"n000", "n001", "n002"}).Draw(t, "who")] = true },
			"sight":  func(*rapid.T) { clear(w.blind) },
			"spoilt": func(t *rapid.T) { w.bad[rapid.SampledFrom(digests[1:]).Draw(t, "digest")] = true },
			"crash":  func(*rapid.T) { w.crash() },
		})
		clear(w.blind)
		clear(w.bad)
		for range 2000 {
			w.runRound(-1)
			if change := w.fleet.Latest(); (change == nil || change.Status.IsFinal()) && w.mismatch() == "" {
				return
			}
		}
		isCrashLooping := false
		for _, record := range w.fleet.Records {
			isCrashLooping = isCrashLooping || record.CrashLooping
		}
		if change := w.fleet.Latest(); change != nil && (!change.Status.IsFinal() || !isCrashLooping && change.Status != Stuck) {
			t.Fatalf("not settled: %s; change %+v; records %+v", w.mismatch(), *change, w.fleet.Records)
		}
	})
}

// Two operators propose changes that are based on one revision. Exactly one is accepted; the other gets an error
// that names who came first.
func TestConflictingProposals(t *testing.T) {
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
		"listens on": two, "no name for a file": {"../x": Instance{Name: "../x", Desired: Running}},
		"wanted is": {"x": Instance{Name: "x", Desired: "maybe"}},
	} {
		_, err := New(State{}, DefaultTiming()).Propose(0, 0, invalid, Change{})
		assert.ErrorContains(t, err, message)
	}
	_, err := New(State{}, DefaultTiming()).Propose(0, 0, Set{}, Change{})
	assert.ErrorIs(t, err, ErrNoChange)
}

// Each observation has its verdict, reason and step: what can't be observed is unknown and left alone, a wrong list
// is shown with both digests and taken out of service.
func TestVerdicts(t *testing.T) {
	base := Observation{Phase: PhaseReady, Digest: "a", Discovery: "list:1", ListVersion: 7, ListDigest: "good", InService: true}
	with := func(fleet func(*Observation)) Observation {
		observation := base
		fleet(&observation)
		return observation
	}
	for name, test := range map[string]struct {
		seen Observation
		want InstanceVerdict
		why  string
		step Step
	}{
		"as wanted":                 {base, VerdictAsDeclared, "", ""},
		"unknown":                   {Observation{Phase: PhaseUnknown, Reason: "no answer"}, VerdictUnknown, "no answer", ""},
		"alien":                     {Observation{Phase: PhaseForeign, Reason: "token"}, VerdictForeign, "token", ""},
		"down":                      {Observation{Phase: PhaseDown}, VerdictInProgress, "", StepStart},
		"wrong source":              {with(func(observation *Observation) { observation.Discovery = "list:2" }), VerdictWrongList, "declared list:1 (good), asks list:2 (good)", StepWithdraw},
		"wrong content":             {with(func(observation *Observation) { observation.ListDigest = "bad" }), VerdictWrongList, "declared good, holds bad at version 7 of list:1", StepWithdraw},
		"another version":           {with(func(observation *Observation) { observation.ListDigest, observation.ListVersion = "bad", 6 }), VerdictAsDeclared, "", ""},
		"wrong, out":                {with(func(observation *Observation) { observation.Discovery, observation.InService = "list:2", false }), VerdictWrongList, "asks list:2", ""},
		"out of service":            {with(func(observation *Observation) { observation.InService = false }), VerdictInProgress, "out of service", StepAdmit},
		"configuration":             {with(func(observation *Observation) { observation.Digest = "z" }), VerdictWrongConfig, "declared a, runs z", StepWithdraw},
		"configuration, out":        {with(func(observation *Observation) { observation.Digest, observation.InService = "z", false }), VerdictWrongConfig, "declared a, runs z", ""},
		"starting":                  {Observation{Phase: PhaseStarting}, VerdictInProgress, "starting", ""},
		"ended while it was wanted": {Observation{Phase: PhaseShuttingDown}, VerdictInProgress, "ending", ""},
	} {
		fleet := New(State{Generations: []Generation{{1, Set{"n1": newInstance("n1", "a")}}},
			Records: map[string]Record{"n1": {Name: "n1", Digest: "a", StartedAt: 1000}}}, DefaultTiming())
		fleet.SourceRead("list:1", SourceDigest{Version: 7, Digest: "good"})
		test.seen.ObservedAt = 1000
		fleet.Observe("n1", test.seen)
		verdict, why := fleet.Verdict(1000, "n1")
		assert.Equal(t, test.want, verdict, name)
		assert.Contains(t, why, test.why, name)
		actions := fleet.Plan(1000)
		if test.step == "" {
			assert.Empty(t, actions, name)
		} else if assert.Len(t, actions, 1, name) {
			assert.Equal(t, test.step, actions[0].Step, name)
		}
		verdict, why = fleet.Verdict(1000+DefaultTiming().ObservationTTL+1, "n1")
		assert.Equal(t, VerdictUnknown, verdict, "never the last good value")
		assert.NotEmpty(t, why)
	}
}

// Instances exit whenever they are started. Their backoff grows, differs between them, and after CrashLoopCount
// failures they are not started again until an operator changes them.
func TestCrashLoop(t *testing.T) {
	w := newWorld(nil)
	w.exits["a"] = true
	require.NoError(t, w.propose(instances(3, "a"), Options{MaxUnavailable: 3, NoRollback: true}))
	starts := map[string][]float64{}
	for range 600 {
		w.now += 200
		for name, process := range w.processes {
			if w.now-process.startedAt > 300 {
				delete(w.processes, name)
			}
		}
		w.observeAll()
		for _, action := range w.fleet.Plan(w.now) {
			if action.Step == StepStart {
				starts[action.Name] = append(starts[action.Name], w.now)
			}
			w.takeStep(action, -1)
		}
	}
	assert.Equal(t, Stuck, w.fleet.Latest().Status)
	for name, startedAt := range starts {
		require.Len(t, startedAt, DefaultTiming().CrashLoopCount, name)
		assert.Greater(t, startedAt[4]-startedAt[3], startedAt[1]-startedAt[0])
		verdict, why := w.fleet.Verdict(w.now, name)
		assert.Equal(t, VerdictCrashLoop, verdict)
		assert.Contains(t, why, "ended by itself")
	}
	assert.NotEqual(t, starts["n000"], starts["n001"])
	delete(w.exits, "a")
	require.NoError(t, w.propose(w.fleet.Current().Set, Options{MaxUnavailable: 3}), "the operator's word gives another chance")
	w.runRounds(30)
	assert.Empty(t, w.mismatch())
}

// An instance ignores SIGTERM. It is killed, not before ShutdownTimeout is over.
func TestInstanceIgnoringSIGTERMIsKilled(t *testing.T) {
	w := newWorld(nil)
	w.stubborn = true
	require.NoError(t, w.propose(instances(1, "a"), Options{}))
	w.runRounds(10)
	require.NoError(t, w.propose(instances(1, "b"), Options{}))
	terminatedAt := 0.0
	for w.processes["n000"] == nil || w.processes["n000"].digest == "a" {
		if process := w.processes["n000"]; process != nil && process.isTerminating && terminatedAt == 0 {
			terminatedAt = w.now
		}
		w.runRound(-1)
		require.Less(t, w.now, 1.1e6)
	}
	assert.GreaterOrEqual(t, w.now-terminatedAt, DefaultTiming().ShutdownTimeout)
}

// fleetDuringChange returns a fleet in the middle of a change of all its instances, and the time.
func fleetDuringChange(count int) (*Fleet, float64) {
	fleet := New(State{}, DefaultTiming())
	now := 1000.0
	set := Set{}
	for index := range count {
		instance := Instance{Name: fmt.Sprintf("n%05d", index), Listen: fmt.Sprintf("127.0.0.1:%d", index), Digest: "a", Discovery: "l", Desired: Running}
		set[instance.Name] = instance
		fleet.Observe(instance.Name, Observation{Phase: PhaseReady, ObservedAt: now, Digest: "a", Discovery: "l", InService: true})
	}
	if _, err := fleet.Propose(now, 0, set, Change{Options: Options{MaxUnavailable: count}}); err != nil {
		panic(err)
	}
	fleet.Plan(now)
	changed := set.Clone()
	for name, instance := range changed {
		instance.Digest = "b"
		changed[name] = instance
	}
	if _, err := fleet.Propose(now, fleet.Revision, changed, Change{Options: Options{MaxUnavailable: count / 2}}); err != nil {
		panic(err)
	}
	return fleet, now
}

// Ten thousand instances are planned in under 50 ms of processor time, in the middle of a change of all of them.
func TestPlanTimeOfTenThousandInstances(t *testing.T) {
	fleet, now := fleetDuringChange(10_000)
	runtime.LockOSThread() // a plan is one thread's work: its processor time, whatever else the machine does
	defer runtime.UnlockOSThread()
	best := time.Hour
	for range 9 {
		startedAt := threadTime(t)
		fleet.Plan(now)
		best = min(best, threadTime(t)-startedAt)
	}
	assert.Less(t, best, raceFactor*50*time.Millisecond)
}

// threadTime returns the processor time of this thread.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkPlan10000(b *testing.B) {
	fleet, now := fleetDuringChange(10_000)
	b.ResetTimer()
	for range b.N {
		fleet.Plan(now)
	}
}

// Instances that were added, removed or changed are named, in order.
func TestDifferences(t *testing.T) {
	a, b := instances(3, "a"), instances(4, "a")
	restarted := b["n001"]
	restarted.Epoch++
	b["n001"] = restarted
	delete(b, "n000")
	assert.Equal(t, []string{"n000", "n001", "n003"}, Differences(a, b))
	assert.True(t, slices.IsSorted(b.Names()))
}
