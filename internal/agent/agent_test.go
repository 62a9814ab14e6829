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

// The agent is killed at every named point of a change of ten of twenty real instances. The next agent brings all
// into one generation; at no time an instance runs twice, and none is lost.
func TestKilledAtEveryPoint(t *testing.T) {
	r := newRig(t, nodeProgram, "")
	r.start("")
	all := instanceNames(20)
	base := r.realNodes(all)
	write := base
	write.Options = &fleet.Options{MaxUnavailable: 20}
	_, err := r.write(write)
	require.NoError(t, err)
	r.waitFor(20*time.Second, "twenty run", isSettled)
	watch := make(chan struct{})
	var watcher sync.WaitGroup
	startedTwice := map[string]bool{}
	watcher.Go(func() { // no instance runs twice at any moment
		for {
			for name, count := range r.processCounts() {
				if count > 1 {
					startedTwice[name] = true
				}
			}
			select {
			case <-watch:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	var recoveryTimes []time.Duration
	for index, point := range Points {
		for _, nth := range []int{1, 3} {
			switch point {
			case "proposed", "planned":
				nth = 1
			case "snapshot":
				nth = 2 // the first is right after the start
			}
			r.stop()
			r.start(fmt.Sprintf("%s:%d", point, nth))
			mark := fmt.Sprintf("%d-%d", index, nth)
			write := base
			write.Configs = maps.Clone(base.Configs)
			for _, name := range all[:10] {
				write.Configs[name] = strings.Replace(write.Configs[name], `"mark":"0"`, `"mark":"`+mark+`"`, 1)
			}
			write.Options = &fleet.Options{MaxUnavailable: 5}
			_, err := r.write(write)
			if point == "proposed" || point == "planned" {
				require.Error(t, err, "killed before it could answer")
			}
			require.Error(t, <-r.exited, "killed at %s", point)
			r.agent = nil
			startedAt := time.Now()
			r.start("")
			view := r.waitFor(20*time.Second, fmt.Sprintf("one generation after %s:%d", point, nth), isSettled)
			recoveryTimes = append(recoveryTimes, time.Since(startedAt))
			require.Len(t, view.Instances, 20)
			if point != "proposed" { // what was planned is done
				for _, instance := range view.Instances[:10] {
					require.Equal(t, Digest(write.Configs[instance.Name]), instance.Observation.Digest)
				}
			}
			for _, instance := range view.Instances {
				require.Equal(t, instance.Declared.Digest, instance.Observation.Digest)
				require.Equal(t, []int{instance.Observation.PID}, r.processIDs(instance.Name))
			}
			if point == "proposed" || point == "planned" || point == "snapshot" {
				break
			}
		}
	}
	close(watch)
	watcher.Wait()
	assert.Empty(t, startedTwice)
	slices.Sort(recoveryTimes)
	t.Logf("%d returns: median %v, worst %v", len(recoveryTimes), recoveryTimes[len(recoveryTimes)/2], recoveryTimes[len(recoveryTimes)-1])
}

// A change makes one instance fail: it exits, hangs, never becomes ready or has another list. The change is rolled
// back, and its failure names the cause.
func TestChangeToBadInstancesIsRolledBack(t *testing.T) {
	for behaviour, c := range map[string]struct{ failure string }{
		"exits": {"ended by itself: no use"}, "dies": {"ended by itself"}, "hangs": {"not ready within"},
		"never ready": {"not ready within"}, "wrong list": {"wrong list: declared 127.0.0.1:1"},
	} {
		t.Run(behaviour, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, testProgram(t), "start_within_ms = 600\nbackoff_ms = 50\n")
			data, err := os.ReadFile(r.file)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(r.file, []byte(strings.Replace(string(data), "start_within_ms = 3000\n", "", 1)), 0o600))
			r.start("")
			_, err = r.write(applyOf(instanceNames(3), wellBehaved, "a"))
			require.NoError(t, err)
			r.waitFor(10*time.Second, "three run", isSettled)
			w := applyOf(instanceNames(3), func(n string) string {
				if n == "n00" {
					return behaviour
				}
				return ""
			}, "b")
			w.Options = &fleet.Options{MaxUnavailable: 1, Canary: 1, HealthMs: 600} // dies lives for half of that
			_, err = r.write(w)
			require.NoError(t, err)
			v := r.waitFor(20*time.Second, "gone back", func(v View) bool { return v.Change.Status == fleet.RolledBack && isSettled(v) })
			assert.Contains(t, v.Change.Failure, c.failure)
			assert.Equal(t, uint64(3), v.Generation)
			for _, i := range v.Instances {
				assert.Len(t, r.processIDs(i.Name), 1)
			}
		})
	}
}

// Another process listens on an instance's address. The instance ends in a crash loop whose reason names the
// address, the other instance serves, and a restart succeeds once the address is free.
func TestPortTaken(t *testing.T) {
	r := newRig(t, nodeProgram, "backoff_ms = 50\n")
	r.start("")
	write := r.realNodes(instanceNames(2))
	listener, err := net.Listen("tcp", write.Instances[0].Listen)
	require.NoError(t, err)
	defer listener.Close()
	write.Options = &fleet.Options{MaxUnavailable: 2, NoRollback: true}
	_, err = r.write(write)
	require.NoError(t, err)
	view := r.waitFor(20*time.Second, "told", func(view View) bool {
		return view.Change.Status == fleet.Stuck && view.Instances[1].Verdict == fleet.VerdictAsDeclared
	})
	assert.Contains(t, view.Change.Failure, "address already in use")
	view = r.waitFor(20*time.Second, "halted", func(view View) bool { return view.Instances[0].Verdict == fleet.VerdictCrashLoop })
	assert.Equal(t, 5, view.Instances[0].RecentFailures)
	require.NoError(t, listener.Close())
	_, err = r.write(Write{Command: "restart", Names: instanceNames(1)})
	require.NoError(t, err)
	r.waitFor(10*time.Second, "runs once the port is free", isSettled)
}

// An instance ignores SIGTERM. It is killed, not before end_within_ms is over.
func TestInstanceIgnoringSIGTERMIsKilled(t *testing.T) {
	r := newRig(t, testProgram(t), "")
	r.start("")
	_, err := r.write(applyOf(instanceNames(1), func(string) string { return "stubborn" }, "a"))
	require.NoError(t, err)
	r.waitFor(10*time.Second, "runs", isSettled)
	begun := time.Now()
	_, err = r.write(Write{Command: "stop", Names: instanceNames(1)})
	require.NoError(t, err)
	r.waitFor(10*time.Second, "stopped", isSettled)
	assert.Greater(t, time.Since(begun), 3*time.Second)
	assert.Empty(t, r.processIDs("n00"))
}

// The agent is killed, and one instance dies before the next agent starts. That one is started again; the others
// are adopted and keep their processes.
func TestAdoptionAfterAgentWasKilled(t *testing.T) {
	r, v := newRunningRig(t, 4, "")
	pids := map[string]int{}
	for _, i := range v.Instances {
		pids[i.Name] = i.Observation.PID
	}
	require.NoError(t, r.agent.Process.Kill())
	require.Error(t, <-r.exited, "killed")
	require.NoError(t, syscall.Kill(pids["n01"], syscall.SIGKILL))
	r.start("")
	v = r.waitFor(10*time.Second, "four run again", func(v View) bool { return isSettled(v) && len(v.Instances) == 4 })
	for _, i := range v.Instances {
		if i.Name == "n01" {
			assert.NotEqual(t, pids[i.Name], i.Observation.PID)
			assert.Equal(t, 1, i.RecentFailures)
		} else {
			assert.Equal(t, pids[i.Name], i.Observation.PID, "adopted, not started anew")
		}
	}
}

// An instance dies and the kernel gives its process ID to another program. The agent does not signal that program,
// since nobody holds the instance's lock.
func TestReusedProcessIDIsNotSignalled(t *testing.T) {
	r, v := newRunningRig(t, 1, "")
	r.stop()
	require.NoError(t, syscall.Kill(v.Instances[0].Observation.PID, syscall.SIGKILL))
	other := exec.Command("sleep", "60")
	require.NoError(t, other.Start())
	defer func() { _ = other.Process.Kill(); _ = other.Wait() }()
	files := instanceFiles{r.dir, "n00"}
	data, err := os.ReadFile(files.lockFile())
	require.NoError(t, err)
	text := strings.Replace(string(data), fmt.Sprint(v.Instances[0].Observation.PID), fmt.Sprint(other.Process.Pid), 1)
	require.NoError(t, os.WriteFile(files.lockFile(), []byte(text), 0o600))
	holder, err := files.lockHolder()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		lock, err := files.tryLock()
		if lock != nil {
			_ = lock.Close()
		}
		return err == nil && lock != nil
	}, 5*time.Second, time.Millisecond)
	assert.ErrorContains(t, files.signal(holder.Token, syscall.SIGKILL), "another program's")
	r.start("")
	_, err = r.write(Write{Command: "stop"})
	require.NoError(t, err)
	r.waitFor(10*time.Second, "stopped", isSettled)
	assert.NoError(t, other.Process.Signal(syscall.Signal(0)), "it lives")
}

// An instance is frozen. Its verdict is unknown and not its last good state; nothing is started beside it, and it
// can be stopped.
func TestFrozenInstanceIsUnknown(t *testing.T) {
	r, v := newRunningRig(t, 2, "call_within_ms = 100\n")
	pid := v.Instances[0].Observation.PID
	require.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
	v = r.waitFor(10*time.Second, "unknown", func(v View) bool { return v.Instances[0].Verdict == fleet.VerdictUnknown })
	assert.Contains(t, v.Instances[0].Reason, "does not answer")
	assert.False(t, v.Instances[0].Observation.InService)
	assert.Equal(t, fleet.VerdictAsDeclared, v.Instances[1].Verdict)
	assert.Equal(t, []int{pid}, r.processIDs("n00"))
	_, err := r.write(Write{Command: "stop", Names: []string{"n00"}})
	require.NoError(t, err)
	r.waitFor(10*time.Second, "stopped", isSettled)
	assert.Empty(t, r.processIDs("n00"))
}

// A process with another token holds an instance's lock. The agent reports it and does nothing to it, also on stop.
func TestForeignProcessIsLeftAlone(t *testing.T) {
	r, _ := newRunningRig(t, 1, "")
	pid := r.processIDs("n00")[0]
	r.stop()
	s, state, _, err := openStore(r.dir, discard)
	require.NoError(t, err)
	rec := state.Records["n00"]
	rec.Token = "another"
	state.Records["n00"] = rec
	require.NoError(t, s.save(state))
	require.NoError(t, s.close())
	r.start("")
	v := r.waitFor(10*time.Second, "alien", func(v View) bool { return v.Instances[0].Verdict == fleet.VerdictForeign })
	assert.Contains(t, v.Instances[0].Reason, "another token")
	_, err = r.write(Write{Command: "stop"})
	require.NoError(t, err)
	r.waitFor(5*time.Second, "told", func(v View) bool { return v.Change.Status.IsFinal() })
	assert.Equal(t, []int{pid}, r.processIDs("n00"))
}

// The state file is truncated, overwritten or missing, once with its snapshot. The agent continues with all
// instances, whose processes go on running.
func TestCorruptStateStopsNothing(t *testing.T) {
	r, v := newRunningRig(t, 3, "")
	var pids []int
	for _, i := range v.Instances {
		pids = append(pids, i.Observation.PID)
	}
	r.waitFor(5*time.Second, "snapshot", func(View) bool { _, err := os.Stat(filepath.Join(r.dir, snapshotFile)); return err == nil })
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
		v := r.waitFor(10*time.Second, name, func(v View) bool { return isSettled(v) && len(v.Instances) == 3 })
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

// Two operators write from one revision at the same time. Exactly one write is accepted; the other gets a conflict
// that says what changed.
func TestConflictingWrites(t *testing.T) {
	r, v := newRunningRig(t, 1, "")
	errs := make(chan error, 2)
	for _, reason := range []string{"ann wants it so", "bob wants it so"} {
		go func() {
			write := applyOf(instanceNames(1), wellBehaved, reason)
			write.Revision, write.Reason = v.Revision, reason
			_, err := r.write(write)
			errs <- err
		}()
	}
	var won int
	for range 2 {
		if err := <-errs; err == nil {
			won++
		} else {
			assert.Equal(t, http.StatusConflict, statusOf(err))
			assert.Contains(t, err.Error(), fmt.Sprintf("made from revision %d, the fleet is at %d: change 2 by", v.Revision, v.Revision+1))
			assert.Contains(t, err.Error(), "wants it so")
		}
	}
	assert.Equal(t, 1, won)
}

// The state can't be stored: the write fails, and no step is begun that could not be stored as pending.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	stateStore, state, _, err := openStore(dir, discard)
	require.NoError(t, err)
	fleetState := fleet.New(state, fleet.DefaultTiming())
	agent := &Agent{clock: clock.New(), store: stateStore, fleet: fleetState, log: discard, options: Options{Dir: dir, OnPoint: func(string) {}}}
	require.True(t, agent.save())
	require.NoError(t, stateStore.close()) // whatever is written now fails
	before := fleetState.CopyState()
	assert.False(t, agent.save() && fleetState.Revision == 99)
	fleetState.StepStarted(1, fleet.Action{Step: fleet.StepStart, Name: "x"}, "t")
	agent.carryOut(t.Context(), []fleet.Action{{Step: fleet.StepStart, Name: "y"}})
	assert.Error(t, agent.writeError)
	assert.NotContains(t, fleetState.Records, "y", "nothing is begun that could not be written down")
	fleetState.RestoreState(before)
	assert.Empty(t, fleetState.Records)
}

// A client that watches the fleet gets an answer when something changes, and waits to the end if nothing does.
func TestWatch(t *testing.T) {
	r, v := newRunningRig(t, 2, "")
	v = r.waitFor(5*time.Second, "all that the start brought was told", func(x View) bool { quiet := x.Seq == v.Seq; v = x; return quiet && isSettled(x) })
	begun := time.Now()
	var same View
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=400", FleetPath, v.Seq), nil, &same))
	assert.Equal(t, v.Seq, same.Seq)
	assert.GreaterOrEqual(t, time.Since(begun), 400*time.Millisecond)
	go func() { _ = syscall.Kill(v.Instances[0].Observation.PID, syscall.SIGKILL) }()
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s?since=%d&wait_ms=10000", FleetPath, v.Seq), nil, &same))
	assert.Greater(t, same.Seq, v.Seq)
	r.waitFor(10*time.Second, "started again", isSettled)
}

// The disk of a running agent is full: writes are refused and instances go on running. Once there is room the agent
// accepts writes again.
func TestDiskFullOfARunningAgent(t *testing.T) {
	r, v := newRunningRig(t, 3, "")
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY} // bytes in a file: every write beyond fails
	require.NoError(t, unix.Prlimit(r.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err := r.write(Write{Command: "restart"})
	assert.Equal(t, http.StatusInsufficientStorage, statusOf(err), "%v", err)
	full := r.waitFor(5*time.Second, "told", func(v View) bool { return v.WriteError != "" })
	for k, i := range full.Instances {
		assert.Equal(t, []int{v.Instances[k].Observation.PID}, r.processIDs(i.Name))
	}
	assert.Equal(t, v.Revision, full.Revision)
	limit.Cur = unix.RLIM_INFINITY
	require.NoError(t, unix.Prlimit(r.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err = r.write(Write{Command: "restart"})
	require.NoError(t, err)
	r.waitFor(10*time.Second, "restarted", func(v View) bool { return isSettled(v) && v.WriteError == "" })
}

// A real node whose list is another than the one that the agent reads at the same source and version is out of
// service, with both digests told.
func TestOtherEndpointListIsFound(t *testing.T) {
	r := newRig(t, nodeProgram, "witness_ms = 50\n")
	data, err := os.ReadFile(r.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(r.file, append([]byte("witness = true\n"), data...), 0o600))
	r.start("")
	w := r.realNodes(instanceNames(1))
	_, err = r.write(w)
	require.NoError(t, err)
	r.waitFor(10*time.Second, "in service: both have the same list", isSettled)
	r.otherList.Store(true)
	v := r.waitFor(10*time.Second, "wrong list", func(v View) bool {
		return v.Instances[0].Verdict == fleet.VerdictWrongList && !v.Instances[0].Observation.InService
	})
	assert.Regexp(t, `declared [0-9a-f]{12}, holds [0-9a-f]{12} at version 41 of 127`, v.Instances[0].Reason)
	r.otherList.Store(false)
	r.waitFor(10*time.Second, "back in service once the lists agree", isSettled)
}

// Instances are stopped, started, restarted and rolled back; the history has each change with author and reason.
// Writes that are invalid or change nothing are refused, and a dry run changes nothing.
func TestStopAndHistory(t *testing.T) {
	r, _ := newRunningRig(t, 2, "")
	for _, write := range []Write{{Command: "stop", Names: []string{"n01"}}, {Command: "start"}, {Command: "restart", Names: []string{"n00"}}, {Command: "rollback", To: 1}} {
		_, err := r.write(write)
		require.NoError(t, err, write.Command)
		r.waitFor(10*time.Second, write.Command, isSettled)
	}
	var history History
	require.NoError(t, r.client.Call(t.Context(), http.MethodGet, HistoryPath, nil, &history))
	var what []string
	for _, test := range history.Changes {
		what = append(what, test.Command)
		assert.NotEmpty(t, test.Author)
		assert.Equal(t, "test", test.Reason)
	}
	assert.Equal(t, []string{"rollback to generation 1", "restart", "start", "stop", "apply"}, what)
	assert.True(t, slices.Contains(history.Generations, 1))
	for _, test := range []struct {
		write  Write
		status int
		says   string
	}{
		{Write{Command: "dance"}, 422, "unknown command"}, {Write{Command: "stop", Names: []string{"x"}}, 422, "not declared"},
		{Write{Command: "rollback", To: 77}, 422, "not kept"}, {Write{Command: "start"}, 412, "nothing to change"},
		{Write{Command: "rollback"}, 422, "no change is on its way"}, {Write{Command: "stop", Revision: 1}, 409, "made from revision 1"},
	} {
		_, err := r.write(test.write)
		assert.Equal(t, test.status, statusOf(err), test.write.Command)
		assert.ErrorContains(t, err, test.says)
	}
	dry := applyOf(instanceNames(1), wellBehaved, "z")
	dry.DryRun = true
	out, err := r.write(dry)
	require.NoError(t, err)
	assert.Equal(t, []string{"n00", "n01"}, out.Instances)
	v, err := r.view()
	require.NoError(t, err)
	assert.Equal(t, history.Revision, v.Revision, "nothing was changed")
}
