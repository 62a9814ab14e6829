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

func instance(name, digest string) Instance {
	return Instance{Name: name, Listen: "127.0.0.1:" + name[1:], Digest: digest, Discovery: "list:1", Desired: Running}
}

func set(n int, digest string) Set {
	s := Set{}
	for k := range n {
		i := instance(fmt.Sprintf("n%03d", k), digest)
		s[i.Name] = i
	}
	return s
}

// process is a real instance in the model.
type process struct {
	token, digest, list string
	epoch               uint64
	ready, in           bool
	term                bool
	since               float64
}

// world is a plain model of processes, and of an agent whose memory may be cut off between any two of its moves.
type world struct {
	t        *rapid.T
	now      float64
	f        *Fleet
	disk     []byte
	procs    map[string]*process
	bad      map[string]bool // digests with which a process never gets ready
	dies     map[string]bool // digests with which it ends by itself
	stubborn bool            // processes ignore SIGTERM
	blind    map[string]bool // instances that can't be seen now
	serial   int
	wrong    string // a list that instances ask instead
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: 1e6, procs: map[string]*process{}, bad: map[string]bool{}, dies: map[string]bool{}, blind: map[string]bool{}}
	w.f = New(State{}, DefaultTiming())
	w.save()
	return w
}

func (w *world) save() {
	var err error
	if w.disk, err = json.Marshal(w.f.State); err != nil {
		panic(err)
	}
}

// crash is the agent's end and return.
func (w *world) crash() {
	var s State
	if err := json.Unmarshal(w.disk, &s); err != nil {
		panic(err)
	}
	w.f = New(s, DefaultTiming())
}

func (w *world) look() {
	names := map[string]bool{}
	for _, n := range w.f.Names() {
		names[n] = true
	}
	for n := range w.procs {
		names[n] = true
	}
	for n := range names {
		p, r := w.procs[n], w.f.Records[n]
		switch {
		case w.blind[n]:
			w.f.Observe(n, Observation{Phase: PhaseUnknown, ObservedAt: w.now, Reason: "blind"})
		case p == nil:
			if r.StartedAt > 0 {
				w.f.InstanceExited(w.now, n, "ended by itself")
			}
			w.f.Observe(n, Observation{Phase: PhaseDown, ObservedAt: w.now})
		case p.token != r.Token:
			w.f.Observe(n, Observation{Phase: PhaseForeign, ObservedAt: w.now, Reason: "token"})
		default:
			s := Observation{Phase: PhaseStarting, ObservedAt: w.now, Digest: p.digest, Epoch: p.epoch, Discovery: p.list, InService: p.in}
			if p.ready {
				s.Phase = PhaseReady
			}
			if p.term {
				s.Phase = PhaseShuttingDown
			}
			w.f.Observe(n, s)
		}
	}
}

// step takes one action, and may be cut off at any point of it; cut counts those points down.
func (w *world) step(a Action, cut int) bool {
	w.serial++
	token := fmt.Sprint("t", w.serial)
	w.f.StepStarted(w.now, a, token)
	w.save()
	if cut == 0 {
		return false
	}
	p := w.procs[a.Name]
	switch a.Step {
	case StepStart:
		if p != nil {
			w.t.Fatalf("%s started while it runs", a.Name)
		}
		w.procs[a.Name] = &process{token: token, digest: a.Instance.Digest, epoch: a.Instance.Epoch, list: a.Instance.Discovery, since: w.now}
		if w.wrong != "" {
			w.procs[a.Name].list = w.wrong
		}
	case StepTerminate:
		if p != nil {
			p.term = true
			if !w.stubborn {
				delete(w.procs, a.Name)
			}
		}
	case StepKill:
		if !p.term {
			w.t.Fatalf("%s killed before it was told to end", a.Name)
		}
		delete(w.procs, a.Name)
	case StepAdmit:
		p.in = true
	case StepWithdraw:
		p.in = false
	}
	if cut == 1 {
		return false
	}
	w.f.StepEnded(w.now, a, 1, nil)
	if cut == 2 {
		return false
	}
	w.save()
	return cut != 3
}

// turn is one round of the agent: look, plan, act. A cut of -1 is none.
func (w *world) turn(cut int) {
	w.now += 200
	for n, p := range w.procs {
		if w.dies[p.digest] && w.now-p.since > 300 {
			delete(w.procs, n)
		} else if !w.bad[p.digest] && w.now-p.since > 300 {
			p.ready = true
		}
	}
	w.look()
	for _, a := range w.f.Plan(w.now) {
		if cut >= 0 && cut < 4 {
			if !w.step(a, cut) {
				w.crash()
				return
			}
		}
		cut -= 4
		if cut < -1 {
			cut = -1
		}
		if !w.step(a, -1) {
			w.t.Fatal("not cut")
		}
	}
	w.save()
}

func (w *world) propose(to Set, o Options) error {
	_, err := w.f.Propose(w.now, w.f.Revision, to, Change{Author: "a", Reason: "r", Command: "apply", Options: o})
	if err == nil {
		w.save()
	}
	return err
}

// settled tells whether all that runs is what one generation says.
func (w *world) settled() string {
	g := w.f.Current()
	for name, i := range g.Set {
		p := w.procs[name]
		if i.Desired == Running && (p == nil || p.digest != i.Digest || p.epoch != i.Epoch || !p.in) {
			return fmt.Sprintf("%s is %+v, generation %d wants %+v", name, p, g.Number, i)
		}
		if i.Desired == Stopped && p != nil {
			return name + " runs"
		}
	}
	for name := range w.procs {
		if _, declared := g.Set[name]; !declared {
			return name + " is not declared"
		}
	}
	return ""
}

func (w *world) run(turns int) {
	for range turns {
		w.turn(-1)
	}
}

func TestRollingChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		n := rapid.IntRange(1, 12).Draw(t, "n")
		require.NoError(t, w.propose(set(n, "a"), Options{MaxUnavailable: n}))
		w.run(20)
		require.Empty(t, w.settled())
		require.Equal(t, Succeeded, w.f.Latest().Status)
		most := rapid.IntRange(1, 4).Draw(t, "at once")
		canary := rapid.IntRange(0, 3).Draw(t, "canary")
		require.NoError(t, w.propose(set(n, "b"), Options{MaxUnavailable: most, Canary: canary, HealthMs: 400}))
		for range 400 {
			w.turn(-1)
			out, changed := 0, 0
			for name := range w.f.Current().Set {
				if p := w.procs[name]; p == nil || !p.in {
					out++
				} else if p.digest == "b" {
					changed++
				}
			}
			if out > most {
				t.Fatalf("%d out of service, %d allowed", out, most)
			}
			if c := min(canary, n); c > 0 && len(w.f.Latest().Healthy) < c && out+changed > c {
				t.Fatal("others before the canaries were well")
			}
			if w.f.Latest().Status.IsFinal() {
				break
			}
		}
		require.Equal(t, Succeeded, w.f.Latest().Status)
		require.Empty(t, w.settled())
	})
}

// A change that goes wrong is turned, and ends in the generation before, under a new number.
func TestRollBack(t *testing.T) {
	for name, spoil := range map[string]func(*world){
		"never ready": func(w *world) { w.bad["b"] = true }, "ends by itself": func(w *world) { w.dies["b"] = true },
	} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld(t)
			require.NoError(t, w.propose(set(6, "a"), Options{MaxUnavailable: 6}))
			w.run(20)
			spoil(w)
			require.NoError(t, w.propose(set(8, "b"), Options{MaxUnavailable: 2, Canary: 1}))
			w.run(300)
			c := w.f.Latest()
			require.Equal(t, RolledBack, c.Status, name)
			require.Contains(t, c.Failure, "n000")
			require.Empty(t, w.settled(), name)
			require.Equal(t, uint64(3), w.f.Current().Number)
			require.LessOrEqual(t, c.Reached, 1, "stopped at the canary")
		})
	}
}

// On the way back no more are out of service at once than on the way there.
func TestRollBackKeepsItsPace(t *testing.T) {
	for _, most := range []int{1, 2} {
		w := newWorld(nil)
		require.NoError(t, w.propose(set(8, "a"), Options{MaxUnavailable: 8}))
		w.run(20)
		require.NoError(t, w.propose(set(8, "b"), Options{MaxUnavailable: most}))
		for len(w.f.Latest().Healthy) < 6 {
			w.turn(-1)
		}
		w.dies["c"] = true
		for _, name := range w.f.Latest().Order { // one of those that were well dies, and does so again
			if w.f.Latest().Healthy[name] {
				w.procs[name].digest, w.procs[name].since = "c", 0
				break
			}
		}
		for k := 0; !w.f.Latest().Status.IsFinal() && k < 500; k++ {
			w.turn(-1)
			out := 0
			for name := range w.f.Current().Set {
				if p := w.procs[name]; p == nil || !p.in {
					out++
				}
			}
			require.LessOrEqual(t, out, 2*most+1, "the failed one, those on their way when it failed, and those that go back")
		}
		require.Equal(t, RolledBack, w.f.Latest().Status)
		w.run(5)
		require.Empty(t, w.settled())
	}
}

// A change that stops on failure leaves what it has not reached as it is, and the next one begins from what stands.
func TestStopOnFailure(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(set(6, "a"), Options{MaxUnavailable: 6}))
	w.run(20)
	w.bad["b"] = true
	require.NoError(t, w.propose(set(6, "b"), Options{MaxUnavailable: 1, NoRollback: true}))
	w.run(300)
	require.Equal(t, Stuck, w.f.Latest().Status)
	for name, p := range w.procs {
		require.Equal(t, map[bool]string{true: "b", false: "a"}[name == "n000"], p.digest, name)
	}
	delete(w.bad, "b")
	require.NoError(t, w.propose(set(6, "b"), Options{MaxUnavailable: 2}))
	w.run(100)
	require.Equal(t, Succeeded, w.f.Latest().Status)
	require.Empty(t, w.settled())
}

// A start that fails is counted once.
func TestStartThatFails(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(set(1, "a"), Options{NoRollback: true}))
	w.look()
	a := w.f.Plan(w.now)[0]
	w.f.StepStarted(w.now, a, "t")
	w.f.StepEnded(w.now, a, 0, errors.New("no such file"))
	w.look()
	require.Len(t, w.f.Records["n000"].Failures, 1)
	require.Equal(t, "no such file", w.f.Records["n000"].LastFailure)
}

func TestRevertByHand(t *testing.T) {
	w := newWorld(nil)
	require.NoError(t, w.propose(set(4, "a"), Options{MaxUnavailable: 4}))
	_, err := w.f.Propose(w.now, w.f.Revision, set(4, "b"), Change{})
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	w.run(20)
	require.NoError(t, w.propose(set(4, "b"), Options{MaxUnavailable: 1, HealthMs: 1e6}))
	w.run(10)
	_, err = w.f.RollBack(w.now, w.f.Revision, "me", "no")
	require.NoError(t, err)
	w.run(40)
	assert.Equal(t, RolledBack, w.f.Latest().Status)
	assert.Contains(t, w.f.Latest().Failure, "rolled back by me: no")
	assert.Empty(t, w.settled())
	_, err = w.f.RollBack(w.now, w.f.Revision, "me", "no")
	assert.Error(t, err)
}

// Whatever is cut off, blinded, killed or asked for meanwhile: nothing runs twice, nothing is done about what can't be
// known, nobody is killed without having been told to end, and at last all is in one generation.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.stubborn = rapid.Bool().Draw(t, "stubborn")
		digests := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(t *rapid.T) { w.turn(rapid.IntRange(-1, 30).Draw(t, "cut")) },
			"propose": func(t *rapid.T) {
				to := set(rapid.IntRange(0, 6).Draw(t, "n"), rapid.SampledFrom(digests).Draw(t, "digest"))
				for _, name := range to.Names() {
					if i := to[name]; rapid.IntRange(0, 4).Draw(t, "stop") == 0 {
						i.Desired = Stopped
						to[name] = i
					}
				}
				err := w.propose(to, Options{MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "at once")})
				var busy *BusyError
				if err != nil && !errors.As(err, &busy) && !errors.Is(err, ErrNoChange) {
					t.Fatal(err)
				}
			},
			"revert": func(*rapid.T) {
				if _, err := w.f.RollBack(w.now, w.f.Revision, "x", "y"); err == nil {
					w.save()
				}
			},
			"dies": func(t *rapid.T) {
				if names := w.f.Current().Set.Names(); len(names) > 0 {
					delete(w.procs, rapid.SampledFrom(names).Draw(t, "who"))
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
			w.turn(-1)
			if c := w.f.Latest(); (c == nil || c.Status.IsFinal()) && w.settled() == "" {
				return
			}
		}
		halted := false
		for _, r := range w.f.Records {
			halted = halted || r.CrashLooping
		}
		if c := w.f.Latest(); c != nil && (!c.Status.IsFinal() || !halted && c.Status != Stuck) {
			t.Fatalf("not settled: %s; change %+v; records %+v", w.settled(), *c, w.f.Records)
		}
	})
}

// Of conflicting writes made from one revision exactly one is taken, and the other told by whom.
func TestConflict(t *testing.T) {
	f := New(State{}, DefaultTiming())
	_, err := f.Propose(1, 0, set(2, "a"), Change{Author: "ann", Reason: "first", Command: "apply"})
	require.NoError(t, err)
	_, err = f.Propose(1, 0, set(2, "b"), Change{Author: "bob"})
	var c *ConflictError
	require.ErrorAs(t, err, &c)
	assert.Equal(t, "made from revision 0, the fleet is at 1: change 1 by ann (apply: first)", err.Error())
	_, err = f.RollBack(1, 0, "bob", "")
	require.ErrorAs(t, err, &c)
}

func TestBadSets(t *testing.T) {
	two := set(2, "a")
	other := two["n001"]
	other.Listen = two["n000"].Listen
	two["n001"] = other
	for want, s := range map[string]Set{
		"listens on": two, "no name for a file": {"../x": Instance{Name: "../x", Desired: Running}},
		"wanted is": {"x": Instance{Name: "x", Desired: "maybe"}},
	} {
		_, err := New(State{}, DefaultTiming()).Propose(0, 0, s, Change{})
		assert.ErrorContains(t, err, want)
	}
	_, err := New(State{}, DefaultTiming()).Propose(0, 0, Set{}, Change{})
	assert.ErrorIs(t, err, ErrNoChange)
}

// What is seen is judged honestly: unknown is a value, both digests are shown, and a wrong list is kept out of service.
func TestJudge(t *testing.T) {
	base := Observation{Phase: PhaseReady, Digest: "a", Discovery: "list:1", ListVersion: 7, ListDigest: "good", InService: true}
	with := func(f func(*Observation)) Observation { s := base; f(&s); return s }
	for name, c := range map[string]struct {
		seen Observation
		want InstanceVerdict
		why  string
		step Step
	}{
		"as wanted":                 {base, VerdictAsDeclared, "", ""},
		"unknown":                   {Observation{Phase: PhaseUnknown, Reason: "no answer"}, VerdictUnknown, "no answer", ""},
		"alien":                     {Observation{Phase: PhaseForeign, Reason: "token"}, VerdictForeign, "token", ""},
		"down":                      {Observation{Phase: PhaseDown}, VerdictInProgress, "", StepStart},
		"wrong source":              {with(func(s *Observation) { s.Discovery = "list:2" }), VerdictWrongList, "declared list:1 (good), asks list:2 (good)", StepWithdraw},
		"wrong content":             {with(func(s *Observation) { s.ListDigest = "bad" }), VerdictWrongList, "declared good, holds bad at version 7 of list:1", StepWithdraw},
		"another version":           {with(func(s *Observation) { s.ListDigest, s.ListVersion = "bad", 6 }), VerdictAsDeclared, "", ""},
		"wrong, out":                {with(func(s *Observation) { s.Discovery, s.InService = "list:2", false }), VerdictWrongList, "asks list:2", ""},
		"out of service":            {with(func(s *Observation) { s.InService = false }), VerdictInProgress, "out of service", StepAdmit},
		"configuration":             {with(func(s *Observation) { s.Digest = "z" }), VerdictWrongConfig, "declared a, runs z", StepWithdraw},
		"configuration, out":        {with(func(s *Observation) { s.Digest, s.InService = "z", false }), VerdictWrongConfig, "declared a, runs z", ""},
		"starting":                  {Observation{Phase: PhaseStarting}, VerdictInProgress, "starting", ""},
		"ended while it was wanted": {Observation{Phase: PhaseShuttingDown}, VerdictInProgress, "ending", ""},
	} {
		f := New(State{Generations: []Generation{{1, Set{"n1": instance("n1", "a")}}},
			Records: map[string]Record{"n1": {Name: "n1", Digest: "a", StartedAt: 1000}}}, DefaultTiming())
		f.SourceRead("list:1", SourceDigest{Version: 7, Digest: "good"})
		c.seen.ObservedAt = 1000
		f.Observe("n1", c.seen)
		v, why := f.Verdict(1000, "n1")
		assert.Equal(t, c.want, v, name)
		assert.Contains(t, why, c.why, name)
		actions := f.Plan(1000)
		if c.step == "" {
			assert.Empty(t, actions, name)
		} else if assert.Len(t, actions, 1, name) {
			assert.Equal(t, c.step, actions[0].Step, name)
		}
		v, why = f.Verdict(1000+DefaultTiming().ObservationTTL+1, "n1")
		assert.Equal(t, VerdictUnknown, v, "never the last good value")
		assert.NotEmpty(t, why)
	}
}

// A loop of crashes is stopped and told; the waits before grow and are not in step.
func TestCrashLoop(t *testing.T) {
	w := newWorld(nil)
	w.dies["a"] = true
	require.NoError(t, w.propose(set(3, "a"), Options{MaxUnavailable: 3, NoRollback: true}))
	starts := map[string][]float64{}
	for range 600 {
		w.now += 200
		for n, p := range w.procs {
			if w.now-p.since > 300 {
				delete(w.procs, n)
			}
		}
		w.look()
		for _, a := range w.f.Plan(w.now) {
			if a.Step == StepStart {
				starts[a.Name] = append(starts[a.Name], w.now)
			}
			w.step(a, -1)
		}
	}
	assert.Equal(t, Stuck, w.f.Latest().Status)
	for n, at := range starts {
		require.Len(t, at, DefaultTiming().CrashLoopCount, n)
		assert.Greater(t, at[4]-at[3], at[1]-at[0])
		v, why := w.f.Verdict(w.now, n)
		assert.Equal(t, VerdictCrashLoop, v)
		assert.Contains(t, why, "ended by itself")
	}
	assert.NotEqual(t, starts["n000"], starts["n001"])
	delete(w.dies, "a")
	require.NoError(t, w.propose(w.f.Current().Set, Options{MaxUnavailable: 3}), "the operator's word gives another chance")
	w.run(30)
	assert.Empty(t, w.settled())
}

// One that ignores SIGTERM has its full time, then is killed.
func TestStubborn(t *testing.T) {
	w := newWorld(nil)
	w.stubborn = true
	require.NoError(t, w.propose(set(1, "a"), Options{}))
	w.run(10)
	require.NoError(t, w.propose(set(1, "b"), Options{}))
	told := 0.0
	for w.procs["n000"] == nil || w.procs["n000"].digest == "a" {
		if p := w.procs["n000"]; p != nil && p.term && told == 0 {
			told = w.now
		}
		w.turn(-1)
		require.Less(t, w.now, 1.1e6)
	}
	assert.GreaterOrEqual(t, w.now-told, DefaultTiming().ShutdownTimeout)
}

func many(n int) (*Fleet, float64) {
	f := New(State{}, DefaultTiming())
	now := 1000.0
	s := Set{}
	for k := range n {
		i := Instance{Name: fmt.Sprintf("n%05d", k), Listen: fmt.Sprintf("127.0.0.1:%d", k), Digest: "a", Discovery: "l", Desired: Running}
		s[i.Name] = i
		f.Observe(i.Name, Observation{Phase: PhaseReady, ObservedAt: now, Digest: "a", Discovery: "l", InService: true})
	}
	if _, err := f.Propose(now, 0, s, Change{Options: Options{MaxUnavailable: n}}); err != nil {
		panic(err)
	}
	f.Plan(now)
	to := s.Clone()
	for name, i := range to {
		i.Digest = "b"
		to[name] = i
	}
	if _, err := f.Propose(now, f.Revision, to, Change{Options: Options{MaxUnavailable: n / 2}}); err != nil {
		panic(err)
	}
	return f, now
}

// Ten thousand instances are planned in under 50 ms, in the middle of a change that touches all of them.
func TestPlanOfTenThousand(t *testing.T) {
	f, now := many(10_000)
	runtime.LockOSThread() // a plan is one thread's work: its processor time, whatever else the machine does
	defer runtime.UnlockOSThread()
	best := time.Hour
	for range 9 {
		begun := spent(t)
		f.Plan(now)
		best = min(best, spent(t)-begun)
	}
	assert.Less(t, best, slower*50*time.Millisecond)
}

// spent is the processor time of this thread.
func spent(t *testing.T) time.Duration {
	var u unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkPlan10000(b *testing.B) {
	f, now := many(10_000)
	b.ResetTimer()
	for range b.N {
		f.Plan(now)
	}
}

func TestDifferences(t *testing.T) {
	a, b := set(3, "a"), set(4, "a")
	i := b["n001"]
	i.Epoch++
	b["n001"] = i
	delete(b, "n000")
	assert.Equal(t, []string{"n000", "n001", "n003"}, Differences(a, b))
	assert.True(t, slices.IsSorted(b.Names()))
}
