package agent

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/internal/clock"
	"pearknot/internal/fleet"
)

// Twenty real instances; the agent is killed at every named point of a change over ten of them. After its return all are in
// one generation, each runs once, and none is lost.
func TestKilledAtEveryPoint(t *testing.T) {
	r := newRig(t, nodeProgram, "")
	r.start("")
	all := names(20)
	base := r.realNodes(all)
	w := base
	w.Options = &fleet.Options{MaxUnavailable: 20}
	_, err := r.write(w)
	require.NoError(t, err)
	r.until(20*time.Second, "twenty run", settled)
	watch := make(chan struct{})
	var wg sync.WaitGroup
	twice := map[string]bool{}
	wg.Go(func() { // no instance runs twice at any moment
		for {
			for name, n := range r.counts() {
				if n > 1 {
					twice[name] = true
				}
			}
			select {
			case <-watch:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	var returns []time.Duration
	for k, point := range Points {
		for _, nth := range []int{1, 3} {
			switch point {
			case "proposed", "planned":
				nth = 1
			case "snapshot":
				nth = 2 // the first is right after the start
			}
			r.stop()
			r.start(fmt.Sprintf("%s:%d", point, nth))
			mark := fmt.Sprintf("%d-%d", k, nth)
			w := base
			w.Configs = maps.Clone(base.Configs)
			for _, name := range all[:10] {
				w.Configs[name] = strings.Replace(w.Configs[name], `"mark":"0"`, `"mark":"`+mark+`"`, 1)
			}
			w.Options = &fleet.Options{MaxUnavailable: 5}
			_, err := r.write(w)
			if point == "proposed" || point == "planned" {
				require.Error(t, err, "killed before it could answer")
			}
			require.Error(t, <-r.ended, "killed at %s", point)
			r.agent = nil
			begun := time.Now()
			r.start("")
			v := r.until(20*time.Second, fmt.Sprintf("one generation after %s:%d", point, nth), settled)
			returns = append(returns, time.Since(begun))
			require.Len(t, v.Instances, 20)
			if point != "proposed" { // what was planned is done
				for _, i := range v.Instances[:10] {
					require.Equal(t, Digest(w.Configs[i.Name]), i.Observation.Digest)
				}
			}
			for _, i := range v.Instances {
				require.Equal(t, i.Declared.Digest, i.Observation.Digest)
				require.Equal(t, []int{i.Observation.PID}, r.pids(i.Name))
			}
			if point == "proposed" || point == "planned" || point == "snapshot" {
				break
			}
		}
	}
	close(watch)
	wg.Wait()
	assert.Empty(t, twice)
	slices.Sort(returns)
	t.Logf("%d returns: median %v, worst %v", len(returns), returns[len(returns)/2], returns[len(returns)-1])
}

// What goes wrong with one instance is told as it is, and a change that meets it goes back.
func TestBadInstances(t *testing.T) {
	for behaviour, c := range map[string]struct{ failure string }{
		"exits": {"ended by itself: no use"}, "dies": {"ended by itself"}, "hangs": {"not ready within"},
		"never ready": {"not ready within"}, "wrong list": {"wrong list: declared 127.0.0.1:1"},
	} {
		t.Run(behaviour, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, self(t), "start_within_ms = 600\nbackoff_ms = 50\n")
			data, err := os.ReadFile(r.file)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(r.file, []byte(strings.Replace(string(data), "start_within_ms = 3000\n", "", 1)), 0o600))
			r.start("")
			_, err = r.write(declared(names(3), normal, "a"))
			require.NoError(t, err)
			r.until(10*time.Second, "three run", settled)
			w := declared(names(3), func(n string) string {
				if n == "n00" {
					return behaviour
				}
				return ""
			}, "b")
			w.Options = &fleet.Options{MaxUnavailable: 1, Canary: 1, HealthMs: 600} // dies lives for half of that
			_, err = r.write(w)
			require.NoError(t, err)
			v := r.until(20*time.Second, "gone back", func(v View) bool { return v.Change.Status == fleet.RolledBack && settled(v) })
			assert.Contains(t, v.Change.Failure, c.failure)
			assert.Equal(t, uint64(3), v.Generation)
			for _, i := range v.Instances {
				assert.Len(t, r.pids(i.Name), 1)
			}
		})
	}
}

// An instance whose port somebody else has is told as it is, and the others go on.
func TestPortTaken(t *testing.T) {
	r := newRig(t, nodeProgram, "backoff_ms = 50\n")
	r.start("")
	w := r.realNodes(names(2))
	l, err := net.Listen("tcp", w.Instances[0].Listen)
	require.NoError(t, err)
	defer l.Close()
	w.Options = &fleet.Options{MaxUnavailable: 2, NoRollback: true}
	_, err = r.write(w)
	require.NoError(t, err)
	v := r.until(20*time.Second, "told", func(v View) bool {
		return v.Change.Status == fleet.Stuck && v.Instances[1].Verdict == fleet.VerdictAsDeclared
	})
	assert.Contains(t, v.Change.Failure, "address already in use")
	v = r.until(20*time.Second, "halted", func(v View) bool { return v.Instances[0].Verdict == fleet.VerdictCrashLoop })
	assert.Equal(t, 5, v.Instances[0].RecentFailures)
	require.NoError(t, l.Close())
	_, err = r.write(Write{Command: "restart", Names: names(1)})
	require.NoError(t, err)
	r.until(10*time.Second, "runs once the port is free", settled)
}

// An instance that ignores SIGTERM has its full time, and is killed after it.
func TestIgnoresTerm(t *testing.T) {
	r := newRig(t, self(t), "")
	r.start("")
	_, err := r.write(declared(names(1), func(string) string { return "stubborn" }, "a"))
	require.NoError(t, err)
	r.until(10*time.Second, "runs", settled)
	begun := time.Now()
	_, err = r.write(Write{Command: "stop", Names: names(1)})
	require.NoError(t, err)
	r.until(10*time.Second, "stopped", settled)
	assert.Greater(t, time.Since(begun), 3*time.Second)
	assert.Empty(t, r.pids("n00"))
}

// What dies while the agent is away is started again, what lives is adopted as it is, and what was told to stop meanwhile
// is not started.
func TestAgentAway(t *testing.T) {
	r, v := running(t, 4, "")
	pids := map[string]int{}
	for _, i := range v.Instances {
		pids[i.Name] = i.Observation.PID
	}
	require.NoError(t, r.agent.Process.Kill())
	require.Error(t, <-r.ended, "killed")
	require.NoError(t, syscall.Kill(pids["n01"], syscall.SIGKILL))
	r.start("")
	v = r.until(10*time.Second, "four run again", func(v View) bool { return settled(v) && len(v.Instances) == 4 })
	for _, i := range v.Instances {
		if i.Name == "n01" {
			assert.NotEqual(t, pids[i.Name], i.Observation.PID)
			assert.Equal(t, 1, i.RecentFailures)
		} else {
			assert.Equal(t, pids[i.Name], i.Observation.PID, "adopted, not started anew")
		}
	}
}

// A process that has got an instance's old id is never signalled: ids are reused, locks are not.
func TestReusedID(t *testing.T) {
	r, v := running(t, 1, "")
	r.stop()
	require.NoError(t, syscall.Kill(v.Instances[0].Observation.PID, syscall.SIGKILL))
	other := exec.Command("sleep", "60")
	require.NoError(t, other.Start())
	defer func() { _ = other.Process.Kill(); _ = other.Wait() }()
	p := instanceFiles{r.dir, "n00"}
	data, err := os.ReadFile(p.lockFile())
	require.NoError(t, err)
	text := strings.Replace(string(data), fmt.Sprint(v.Instances[0].Observation.PID), fmt.Sprint(other.Process.Pid), 1)
	require.NoError(t, os.WriteFile(p.lockFile(), []byte(text), 0o600))
	h, err := p.lockHolder()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		lock, err := p.tryLock()
		if lock != nil {
			_ = lock.Close()
		}
		return err == nil && lock != nil
	}, 5*time.Second, time.Millisecond)
	assert.ErrorContains(t, p.signal(h.Token, syscall.SIGKILL), "another program's")
	r.start("")
	_, err = r.write(Write{Command: "stop"})
	require.NoError(t, err)
	r.until(10*time.Second, "stopped", settled)
	assert.NoError(t, other.Process.Signal(syscall.Signal(0)), "it lives")
}

// A frozen instance is unknown, never its last good state; nothing is started beside it, and it can be stopped.
func TestFrozen(t *testing.T) {
	r, v := running(t, 2, "call_within_ms = 100\n")
	pid := v.Instances[0].Observation.PID
	require.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
	v = r.until(10*time.Second, "unknown", func(v View) bool { return v.Instances[0].Verdict == fleet.VerdictUnknown })
	assert.Contains(t, v.Instances[0].Reason, "does not answer")
	assert.False(t, v.Instances[0].Observation.InService)
	assert.Equal(t, fleet.VerdictAsDeclared, v.Instances[1].Verdict)
	assert.Equal(t, []int{pid}, r.pids("n00"))
	_, err := r.write(Write{Command: "stop", Names: []string{"n00"}})
	require.NoError(t, err)
	r.until(10*time.Second, "stopped", settled)
	assert.Empty(t, r.pids("n00"))
}

// Somebody else's process that holds an instance's lock is told of, and left alone.
func TestAlien(t *testing.T) {
	r, _ := running(t, 1, "")
	pid := r.pids("n00")[0]
	r.stop()
	s, state, _, err := openStore(r.dir, discard)
	require.NoError(t, err)
	rec := state.Records["n00"]
	rec.Token = "another"
	state.Records["n00"] = rec
	require.NoError(t, s.save(state))
	require.NoError(t, s.close())
	r.start("")
	v := r.until(10*time.Second, "alien", func(v View) bool { return v.Instances[0].Verdict == fleet.VerdictForeign })
	assert.Contains(t, v.Instances[0].Reason, "another token")
	_, err = r.write(Write{Command: "stop"})
	require.NoError(t, err)
	r.until(5*time.Second, "told", func(v View) bool { return v.Change.Status.IsFinal() })
	assert.Equal(t, []int{pid}, r.pids("n00"))
}

// The state file cut short or flipped at any place, or gone: nothing that runs is stopped for it.
func TestDamagedState(t *testing.T) {
	r, v := running(t, 3, "")
	var pids []int
	for _, i := range v.Instances {
		pids = append(pids, i.Observation.PID)
	}
	r.until(5*time.Second, "snapshot", func(View) bool { _, err := os.Stat(filepath.Join(r.dir, snapshotFile)); return err == nil })
	r.stop()
	path := filepath.Join(r.dir, stateFile)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	snapshot, err := os.ReadFile(filepath.Join(r.dir, snapshotFile))
	require.NoError(t, err)
	for name, spoil := range map[string]func(){
		"empty":    func() { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
		"half":     func() { require.NoError(t, os.WriteFile(path, whole[:len(whole)/2], 0o600)) },
		"gone":     func() { require.NoError(t, os.Remove(path)) },
		"no state": func() { require.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600)) },
		"snapshot too": func() {
			require.NoError(t, os.WriteFile(path, whole[:5000], 0o600))
			require.NoError(t, os.WriteFile(filepath.Join(r.dir, snapshotFile), snapshot[:20], 0o600))
		},
	} {
		require.NoError(t, os.WriteFile(filepath.Join(r.dir, snapshotFile), snapshot, 0o600))
		spoil()
		r.start("")
		v := r.until(10*time.Second, name, func(v View) bool { return settled(v) && len(v.Instances) == 3 })
		var now []int
		for _, i := range v.Instances {
			now = append(now, i.Observation.PID)
		}
		assert.Equal(t, pids, now, name)
		r.stop()
		aside, err := filepath.Glob(path + ".damaged-*")
		require.NoError(t, err)
		assert.True(t, len(aside) > 0 || name == "gone" || name == "half", name) // half may hold all
		for _, f := range aside {
			require.NoError(t, os.Remove(f))
		}
	}
}

// Of two operators' conflicting commands exactly one wins, and the other is told what changed under it.
func TestTwoOperators(t *testing.T) {
	r, v := running(t, 1, "")
	errs := make(chan error, 2)
	for _, reason := range []string{"ann wants it so", "bob wants it so"} {
		go func() {
			w := declared(names(1), normal, reason)
			w.Revision, w.Reason = v.Revision, reason
			_, err := r.write(w)
			errs <- err
		}()
	}
	var won int
	for range 2 {
		if err := <-errs; err == nil {
			won++
		} else {
			assert.Equal(t, http.StatusConflict, refusedStatus(err))
			assert.Contains(t, err.Error(), fmt.Sprintf("made from revision %d, the fleet is at %d: change 2 by", v.Revision, v.Revision+1))
			assert.Contains(t, err.Error(), "wants it so")
		}
	}
	assert.Equal(t, 1, won)
}

// The disk is full: the write is refused, what runs goes on, and when there is room all goes on.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	s, state, _, err := openStore(dir, discard)
	require.NoError(t, err)
	f := fleet.New(state, fleet.DefaultTiming())
	a := &Agent{clock: clock.New(), store: s, fleet: f, log: discard, options: Options{Dir: dir, OnPoint: func(string) {}}}
	require.True(t, a.save())
	require.NoError(t, s.close()) // whatever is written now fails
	before := f.CopyState()
	assert.False(t, a.save() && f.Revision == 99)
	f.StepStarted(1, fleet.Action{Step: fleet.StepStart, Name: "x"}, "t")
	a.carryOut(t.Context(), []fleet.Action{{Step: fleet.StepStart, Name: "y"}})
	assert.Error(t, a.writeError)
	assert.NotContains(t, f.Records, "y", "nothing is begun that could not be written down")
	f.RestoreState(before)
	assert.Empty(t, f.Records)
}

// Who watches is woken by what is new, and by nothing else.
func TestWatch(t *testing.T) {
	r, v := running(t, 2, "")
	v = r.until(5*time.Second, "all that the start brought was told", func(x View) bool { quiet := x.Seq == v.Seq; v = x; return quiet && settled(x) })
	begun := time.Now()
	var same View
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=400", FleetPath, v.Seq), nil, &same))
	assert.Equal(t, v.Seq, same.Seq)
	assert.GreaterOrEqual(t, time.Since(begun), 400*time.Millisecond)
	go func() { _ = syscall.Kill(v.Instances[0].Observation.PID, syscall.SIGKILL) }()
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=10000", FleetPath, v.Seq), nil, &same))
	assert.Greater(t, same.Seq, v.Seq)
	r.until(10*time.Second, "started again", settled)
}

// The disk of a running agent takes nothing any more: what is asked for is refused, what runs goes on, and with room again
// so does the agent.
func TestDiskFullOfARunningAgent(t *testing.T) {
	r, v := running(t, 3, "")
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY} // bytes in a file: every write beyond fails
	require.NoError(t, unix.Prlimit(r.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err := r.write(Write{Command: "restart"})
	assert.Equal(t, http.StatusInsufficientStorage, refusedStatus(err), "%v", err)
	full := r.until(5*time.Second, "told", func(v View) bool { return v.WriteError != "" })
	for k, i := range full.Instances {
		assert.Equal(t, []int{v.Instances[k].Observation.PID}, r.pids(i.Name))
	}
	assert.Equal(t, v.Revision, full.Revision)
	limit.Cur = unix.RLIM_INFINITY
	require.NoError(t, unix.Prlimit(r.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err = r.write(Write{Command: "restart"})
	require.NoError(t, err)
	r.until(10*time.Second, "restarted", func(v View) bool { return settled(v) && v.WriteError == "" })
}

// A real node whose list is another than the one that the agent reads at the same source and version is out of service,
// with both digests told.
func TestWitness(t *testing.T) {
	r := newRig(t, nodeProgram, "witness_ms = 50\n")
	data, err := os.ReadFile(r.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(r.file, append([]byte("witness = true\n"), data...), 0o600))
	r.start("")
	w := r.realNodes(names(1))
	_, err = r.write(w)
	require.NoError(t, err)
	r.until(10*time.Second, "in service: both have the same list", settled)
	r.other.Store(true)
	v := r.until(10*time.Second, "wrong list", func(v View) bool {
		return v.Instances[0].Verdict == fleet.VerdictWrongList && !v.Instances[0].Observation.InService
	})
	assert.Regexp(t, `declared [0-9a-f]{12}, holds [0-9a-f]{12} at version 41 of 127`, v.Instances[0].Reason)
	r.other.Store(false)
	r.until(10*time.Second, "back in service once the lists agree", settled)
}

func TestStopAndHistory(t *testing.T) {
	r, _ := running(t, 2, "")
	for _, w := range []Write{{Command: "stop", Names: []string{"n01"}}, {Command: "start"}, {Command: "restart", Names: []string{"n00"}}, {Command: "rollback", To: 1}} {
		_, err := r.write(w)
		require.NoError(t, err, w.Command)
		r.until(10*time.Second, w.Command, settled)
	}
	var h History
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, HistoryPath, nil, &h))
	var what []string
	for _, c := range h.Changes {
		what = append(what, c.Command)
		assert.NotEmpty(t, c.Author)
		assert.Equal(t, "test", c.Reason)
	}
	assert.Equal(t, []string{"rollback to generation 1", "restart", "start", "stop", "apply"}, what)
	assert.True(t, slices.Contains(h.Generations, 1))
	for _, c := range []struct {
		w      Write
		status int
		says   string
	}{
		{Write{Command: "dance"}, 422, "unknown command"}, {Write{Command: "stop", Names: []string{"x"}}, 422, "not declared"},
		{Write{Command: "rollback", To: 77}, 422, "not kept"}, {Write{Command: "start"}, 412, "nothing to change"},
		{Write{Command: "rollback"}, 422, "no change is on its way"}, {Write{Command: "stop", Revision: 1}, 409, "made from revision 1"},
	} {
		_, err := r.write(c.w)
		assert.Equal(t, c.status, refusedStatus(err), c.w.Command)
		assert.ErrorContains(t, err, c.says)
	}
	dry := declared(names(1), normal, "z")
	dry.DryRun = true
	out, err := r.write(dry)
	require.NoError(t, err)
	assert.Equal(t, []string{"n00", "n01"}, out.Instances)
	v, err := r.view()
	require.NoError(t, err)
	assert.Equal(t, h.Revision, v.Revision, "nothing was changed")
}
