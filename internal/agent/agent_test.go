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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/internal/clock"
	"pearknot/internal/fleet"
)

// The agent is killed at every crash point of a change of ten of twenty real instances. The next agent brings all
// into one generation. At no time does an instance run twice, and none is lost.
func TestAgentKilledAtEveryCrashPoint(t *testing.T) {
	fixture := newFixture(t, nodeProgram, "")
	fixture.start("")
	all := instanceNames(20)
	base := fixture.newRealNodeRequest(all)
	write := base
	write.Options = &fleet.Options{MaxUnavailable: 20}
	_, err := fixture.write(write)
	require.NoError(t, err)
	fixture.waitFor(20*time.Second, "twenty run", isSettled)
	endWatch := fixture.watchForDoubleStarts()
	var recoveryTimes []time.Duration
	for index, point := range CrashPoints {
		for _, nth := range []int{1, 3} {
			switch point {
			case "proposed", "planned":
				nth = 1
			case "snapshot":
				nth = 2 // the first is right after the start
			}
			fixture.stop()
			fixture.start(fmt.Sprintf("%s:%d", point, nth))
			mark := fmt.Sprintf("%d-%d", index, nth)
			write := base
			write.Configs = maps.Clone(base.Configs)
			for _, name := range all[:10] {
				write.Configs[name] = strings.Replace(write.Configs[name], `"mark":"0"`, `"mark":"`+mark+`"`, 1)
			}
			write.Options = &fleet.Options{MaxUnavailable: 5}
			_, err := fixture.write(write)
			if point == "proposed" || point == "planned" {
				require.Error(t, err, "killed before it could answer")
			}
			require.Error(t, <-fixture.exited, "killed at %s", point)
			fixture.agent = nil
			startedAt := time.Now()
			fixture.start("")
			view := fixture.waitFor(20*time.Second, fmt.Sprintf("one generation after %s:%d", point, nth), isSettled)
			recoveryTimes = append(recoveryTimes, time.Since(startedAt))
			require.Len(t, view.Instances, 20)
			if point != "proposed" { // what was planned is done
				for _, instance := range view.Instances[:10] {
					require.Equal(t, Digest(write.Configs[instance.Name]), instance.Observation.Digest)
				}
			}
			for _, instance := range view.Instances {
				require.Equal(t, instance.Declared.Digest, instance.Observation.Digest)
				require.Equal(t, []int{instance.Observation.PID}, fixture.processIDs(instance.Name))
			}
			if point == "proposed" || point == "planned" || point == "snapshot" {
				break
			}
		}
	}
	assert.Empty(t, endWatch())
	slices.Sort(recoveryTimes)
	median, worst := recoveryTimes[len(recoveryTimes)/2], recoveryTimes[len(recoveryTimes)-1]
	t.Logf("%d recoveries: median %v, worst %v", len(recoveryTimes), median, worst)
}

// A change makes one instance fail: it exits, hangs, never becomes ready or has another list. The change is rolled
// back, and its failure names the cause.
func TestChangeToBadInstancesIsRolledBack(t *testing.T) {
	for behaviour, wantFailure := range map[string]string{
		"exits":       "ended by itself: no use",
		"dies":        "ended by itself",
		"hangs":       "not ready within",
		"never ready": "not ready within",
		"wrong list":  "wrong list: declared 127.0.0.1:1",
	} {
		t.Run(behaviour, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t, testProgram(t), "start_within_ms = 600\nbackoff_ms = 50\n")
			data, err := os.ReadFile(fixture.file)
			require.NoError(t, err)
			options := strings.Replace(string(data), "start_within_ms = 3000\n", "", 1)
			require.NoError(t, os.WriteFile(fixture.file, []byte(options), 0o600))
			fixture.start("")
			_, err = fixture.write(newApplyRequest(instanceNames(3), wellBehaved, "a"))
			require.NoError(t, err)
			fixture.waitFor(10*time.Second, "three run", isSettled)
			write := newApplyRequest(instanceNames(3), func(name string) string {
				if name == "n00" {
					return behaviour
				}
				return ""
			}, "b")
			write.Options = &fleet.Options{MaxUnavailable: 1, Canary: 1, HealthMs: 600} // "dies" runs for half of that
			_, err = fixture.write(write)
			require.NoError(t, err)
			view := fixture.waitFor(20*time.Second, "rolled back", func(view View) bool {
				return view.Change.Status == fleet.RolledBack && isSettled(view)
			})
			assert.Contains(t, view.Change.Failure, wantFailure)
			assert.Equal(t, uint64(3), view.Generation)
			for _, instance := range view.Instances {
				assert.Len(t, fixture.processIDs(instance.Name), 1)
			}
		})
	}
}

// Another process listens on an instance's address. The instance ends in a crash loop whose reason names the
// address, the other instance serves, and a restart succeeds once the address is free.
func TestTakenPortEndsInCrashLoop(t *testing.T) {
	fixture := newFixture(t, nodeProgram, "backoff_ms = 50\n")
	fixture.start("")
	write := fixture.newRealNodeRequest(instanceNames(2))
	listener, err := net.Listen("tcp", write.Instances[0].Listen)
	require.NoError(t, err)
	defer listener.Close()
	write.Options = &fleet.Options{MaxUnavailable: 2, NoRollback: true}
	_, err = fixture.write(write)
	require.NoError(t, err)
	view := fixture.waitFor(20*time.Second, "stuck", func(view View) bool {
		return view.Change.Status == fleet.Stuck && view.Instances[1].Verdict == fleet.VerdictAsDeclared
	})
	assert.Contains(t, view.Change.Failure, "address already in use")
	view = fixture.waitFor(20*time.Second, "crash loop", func(view View) bool {
		return view.Instances[0].Verdict == fleet.VerdictCrashLoop
	})
	assert.Equal(t, 5, view.Instances[0].RecentFailures)
	require.NoError(t, listener.Close())
	_, err = fixture.write(WriteRequest{Command: "restart", Names: instanceNames(1)})
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "runs once the port is free", isSettled)
}

// An instance ignores SIGTERM. It is killed, not before end_within_ms is over.
func TestInstanceIgnoringSIGTERMIsKilled(t *testing.T) {
	fixture := newFixture(t, testProgram(t), "")
	fixture.start("")
	_, err := fixture.write(newApplyRequest(instanceNames(1), func(string) string { return "stubborn" }, "a"))
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "runs", isSettled)
	startedAt := time.Now()
	_, err = fixture.write(WriteRequest{Command: "stop", Names: instanceNames(1)})
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "stopped", isSettled)
	assert.Greater(t, time.Since(startedAt), 3*time.Second)
	assert.Empty(t, fixture.processIDs("n00"))
}

// The agent is killed, and one instance dies before the next agent starts. That one is started again; the others
// are adopted and keep their processes.
func TestAdoptionAfterAgentWasKilled(t *testing.T) {
	fixture, view := newRunningFixture(t, 4, "")
	pids := map[string]int{}
	for _, instance := range view.Instances {
		pids[instance.Name] = instance.Observation.PID
	}
	require.NoError(t, fixture.agent.Process.Kill())
	require.Error(t, <-fixture.exited, "killed")
	require.NoError(t, syscall.Kill(pids["n01"], syscall.SIGKILL))
	fixture.start("")
	view = fixture.waitFor(10*time.Second, "four run again", func(view View) bool {
		return isSettled(view) && len(view.Instances) == 4
	})
	for _, instance := range view.Instances {
		if instance.Name == "n01" {
			assert.NotEqual(t, pids[instance.Name], instance.Observation.PID)
			assert.Equal(t, 1, instance.RecentFailures)
		} else {
			assert.Equal(t, pids[instance.Name], instance.Observation.PID, "adopted, not started anew")
		}
	}
}

// An instance dies and the kernel gives its process ID to another program. The agent does not signal that program,
// since nobody holds the instance's lock.
func TestReusedProcessIDIsNotSignalled(t *testing.T) {
	fixture, view := newRunningFixture(t, 1, "")
	fixture.stop()
	require.NoError(t, syscall.Kill(view.Instances[0].Observation.PID, syscall.SIGKILL))
	other := exec.Command("sleep", "60")
	require.NoError(t, other.Start())
	defer func() {
		_ = other.Process.Kill()
		_ = other.Wait()
	}()
	files := instanceFiles{fixture.dir, "n00"}
	data, err := os.ReadFile(files.lockFile())
	require.NoError(t, err)
	text := strings.Replace(string(data), fmt.Sprint(view.Instances[0].Observation.PID), fmt.Sprint(other.Process.Pid), 1)
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
	assert.ErrorContains(t, files.signal(holder.Token, syscall.SIGKILL), "belongs to another program")
	fixture.start("")
	_, err = fixture.write(WriteRequest{Command: "stop"})
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "stopped", isSettled)
	assert.NoError(t, other.Process.Signal(syscall.Signal(0)), "the other program still runs")
}

// An instance is frozen. Its verdict is unknown and not its last good state; nothing is started beside it, and it
// can be stopped.
func TestFrozenInstanceIsUnknown(t *testing.T) {
	fixture, view := newRunningFixture(t, 2, "call_within_ms = 100\n")
	pid := view.Instances[0].Observation.PID
	require.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
	view = fixture.waitFor(10*time.Second, "unknown", func(view View) bool {
		return view.Instances[0].Verdict == fleet.VerdictUnknown
	})
	assert.Contains(t, view.Instances[0].Reason, "does not answer")
	assert.False(t, view.Instances[0].Observation.InService)
	assert.Equal(t, fleet.VerdictAsDeclared, view.Instances[1].Verdict)
	assert.Equal(t, []int{pid}, fixture.processIDs("n00"))
	_, err := fixture.write(WriteRequest{Command: "stop", Names: []string{"n00"}})
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "stopped", isSettled)
	assert.Empty(t, fixture.processIDs("n00"))
}

// A process with another token holds an instance's lock. The agent reports it and does nothing to it, also on stop.
func TestForeignProcessIsLeftAlone(t *testing.T) {
	fixture, _ := newRunningFixture(t, 1, "")
	pid := fixture.processIDs("n00")[0]
	fixture.stop()
	stateStore, state, _, err := openStore(fixture.dir, discard)
	require.NoError(t, err)
	record := state.Records["n00"]
	record.Token = "another"
	state.Records["n00"] = record
	require.NoError(t, stateStore.save(state))
	require.NoError(t, stateStore.close())
	fixture.start("")
	view := fixture.waitFor(10*time.Second, "foreign", func(view View) bool {
		return view.Instances[0].Verdict == fleet.VerdictForeign
	})
	assert.Contains(t, view.Instances[0].Reason, "another token")
	_, err = fixture.write(WriteRequest{Command: "stop"})
	require.NoError(t, err)
	fixture.waitFor(5*time.Second, "the change has ended", func(view View) bool { return view.Change.Status.IsFinal() })
	assert.Equal(t, []int{pid}, fixture.processIDs("n00"))
}

// The state file is truncated, overwritten or missing, once with its snapshot. The agent continues with all
// instances, whose processes keep running.
func TestCorruptStateStopsNothing(t *testing.T) {
	fixture, view := newRunningFixture(t, 3, "")
	var pids []int
	for _, instance := range view.Instances {
		pids = append(pids, instance.Observation.PID)
	}
	fixture.waitFor(5*time.Second, "snapshot", func(View) bool {
		_, err := os.Stat(filepath.Join(fixture.dir, snapshotFile))
		return err == nil
	})
	fixture.stop()
	path := filepath.Join(fixture.dir, stateFile)
	stored, err := os.ReadFile(path)
	require.NoError(t, err)
	snapshot, err := os.ReadFile(filepath.Join(fixture.dir, snapshotFile))
	require.NoError(t, err)
	for name, damage := range map[string]func(){
		"empty":    func() { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
		"half":     func() { require.NoError(t, os.WriteFile(path, stored[:len(stored)/2], 0o600)) },
		"gone":     func() { require.NoError(t, os.Remove(path)) },
		"no state": func() { require.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600)) },
		"snapshot too": func() {
			require.NoError(t, os.WriteFile(path, stored[:5000], 0o600))
			require.NoError(t, os.WriteFile(filepath.Join(fixture.dir, snapshotFile), snapshot[:20], 0o600))
		},
	} {
		require.NoError(t, os.WriteFile(filepath.Join(fixture.dir, snapshotFile), snapshot, 0o600))
		damage()
		fixture.start("")
		view := fixture.waitFor(10*time.Second, name, func(view View) bool {
			return isSettled(view) && len(view.Instances) == 3
		})
		var pidsNow []int
		for _, instance := range view.Instances {
			pidsNow = append(pidsNow, instance.Observation.PID)
		}
		assert.Equal(t, pids, pidsNow, name)
		fixture.stop()
		damagedFiles, err := filepath.Glob(path + ".damaged-*")
		require.NoError(t, err)
		assert.True(t, len(damagedFiles) > 0 || name == "gone" || name == "half", name) // half may hold the whole state
		for _, file := range damagedFiles {
			require.NoError(t, os.Remove(file))
		}
	}
}

// Two operators write from one revision at the same time. Exactly one write is accepted; the other gets a conflict
// that says what changed.
func TestOneOfConflictingWritesIsAccepted(t *testing.T) {
	fixture, view := newRunningFixture(t, 1, "")
	errs := make(chan error, 2)
	for _, reason := range []string{"ann wants it so", "bob wants it so"} {
		go func() {
			write := newApplyRequest(instanceNames(1), wellBehaved, reason)
			write.Revision, write.Reason = view.Revision, reason
			_, err := fixture.write(write)
			errs <- err
		}()
	}
	var accepted int
	for range 2 {
		if err := <-errs; err == nil {
			accepted++
		} else {
			assert.Equal(t, http.StatusConflict, statusOf(err))
			wantError := fmt.Sprintf("made from revision %d, the fleet is at %d: change 2 by", view.Revision, view.Revision+1)
			assert.Contains(t, err.Error(), wantError)
			assert.Contains(t, err.Error(), "wants it so")
		}
	}
	assert.Equal(t, 1, accepted)
}

// The state can't be stored. The write fails, and no step is started that could not be stored as pending.
func TestNothingIsStartedThatCannotBeStored(t *testing.T) {
	dir := t.TempDir()
	stateStore, state, _, err := openStore(dir, discard)
	require.NoError(t, err)
	fleetState := fleet.New(state, fleet.DefaultTiming())
	agent := &Agent{
		clock:   clock.New(),
		store:   stateStore,
		fleet:   fleetState,
		log:     discard,
		options: Options{Dir: dir, OnCrashPoint: func(string) {}},
	}
	require.True(t, agent.save())
	require.NoError(t, stateStore.close()) // every write fails from now on
	before := fleetState.CopyState()
	assert.False(t, agent.save() && fleetState.Revision == 99)
	fleetState.StepStarted(1, fleet.Action{Step: fleet.StepStart, Name: "x"}, "t")
	agent.executeActions(t.Context(), []fleet.Action{{Step: fleet.StepStart, Name: "y"}})
	assert.Error(t, agent.writeError)
	assert.NotContains(t, fleetState.Records, "y", "no step is started that could not be stored")
	fleetState.RestoreState(before)
	assert.Empty(t, fleetState.Records)
}

// A client that watches the fleet gets an answer when something changes, and waits to the end if nothing does.
func TestWatchAnswersOnChange(t *testing.T) {
	fixture, view := newRunningFixture(t, 2, "")
	view = fixture.waitFor(5*time.Second, "no change between two views", func(current View) bool {
		isQuiet := current.Seq == view.Seq
		view = current
		return isQuiet && isSettled(current)
	})
	startedAt := time.Now()
	var watched View
	shortWatch := fmt.Sprintf("%s?since=%d&wait_ms=400", FleetPath, view.Seq)
	require.NoError(t, fixture.client.Call(t.Context(), http.MethodGet, shortWatch, nil, &watched))
	assert.Equal(t, view.Seq, watched.Seq)
	assert.GreaterOrEqual(t, time.Since(startedAt), 400*time.Millisecond)
	go func() { _ = syscall.Kill(view.Instances[0].Observation.PID, syscall.SIGKILL) }()
	longWatch := fmt.Sprintf("%s?since=%d&wait_ms=10000", FleetPath, view.Seq)
	require.NoError(t, fixture.client.Call(t.Context(), http.MethodGet, longWatch, nil, &watched))
	assert.Greater(t, watched.Seq, view.Seq)
	fixture.waitFor(10*time.Second, "started again", isSettled)
}

// The disk of a running agent is full: writes are refused and instances keep running. Once there is room the agent
// accepts writes again.
func TestRunningAgentSurvivesFullDisk(t *testing.T) {
	fixture, view := newRunningFixture(t, 3, "")
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY} // bytes in a file: every write beyond fails
	require.NoError(t, unix.Prlimit(fixture.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err := fixture.write(WriteRequest{Command: "restart"})
	assert.Equal(t, http.StatusInsufficientStorage, statusOf(err), "%v", err)
	full := fixture.waitFor(5*time.Second, "write error in the view", func(view View) bool {
		return view.WriteError != ""
	})
	for index, instance := range full.Instances {
		assert.Equal(t, []int{view.Instances[index].Observation.PID}, fixture.processIDs(instance.Name))
	}
	assert.Equal(t, view.Revision, full.Revision)
	limit.Cur = unix.RLIM_INFINITY
	require.NoError(t, unix.Prlimit(fixture.agent.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	_, err = fixture.write(WriteRequest{Command: "restart"})
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "restarted", func(view View) bool { return isSettled(view) && view.WriteError == "" })
}

// A real node whose list is another than the one that the agent reads at the same source and version is out of
// service, and the reason names both digests.
func TestEndpointListMismatchIsDetected(t *testing.T) {
	fixture := newFixture(t, nodeProgram, "witness_ms = 50\n")
	data, err := os.ReadFile(fixture.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(fixture.file, append([]byte("witness = true\n"), data...), 0o600))
	fixture.start("")
	write := fixture.newRealNodeRequest(instanceNames(1))
	_, err = fixture.write(write)
	require.NoError(t, err)
	fixture.waitFor(10*time.Second, "in service: both have the same list", isSettled)
	fixture.otherList.Store(true)
	view := fixture.waitFor(10*time.Second, "wrong list", func(view View) bool {
		return view.Instances[0].Verdict == fleet.VerdictWrongList && !view.Instances[0].Observation.InService
	})
	assert.Regexp(t, `declared [0-9a-f]{12}, holds [0-9a-f]{12} at version 41 of 127`, view.Instances[0].Reason)
	fixture.otherList.Store(false)
	fixture.waitFor(10*time.Second, "back in service once the lists agree", isSettled)
}

// Instances are stopped, started, restarted and rolled back; the history has each change with author and reason.
// Writes that are invalid or change nothing are refused, and a dry run changes nothing.
func TestCommandsAreInHistory(t *testing.T) {
	fixture, _ := newRunningFixture(t, 2, "")
	for _, write := range []WriteRequest{
		{Command: "stop", Names: []string{"n01"}},
		{Command: "start"},
		{Command: "restart", Names: []string{"n00"}},
		{Command: "rollback", To: 1},
	} {
		_, err := fixture.write(write)
		require.NoError(t, err, write.Command)
		fixture.waitFor(10*time.Second, write.Command, isSettled)
	}
	var history History
	require.NoError(t, fixture.client.Call(t.Context(), http.MethodGet, HistoryPath, nil, &history))
	var commands []string
	for _, change := range history.Changes {
		commands = append(commands, change.Command)
		assert.NotEmpty(t, change.Author)
		assert.Equal(t, "test", change.Reason)
	}
	assert.Equal(t, []string{"rollback to generation 1", "restart", "start", "stop", "apply"}, commands)
	assert.True(t, slices.Contains(history.Generations, 1))
	for _, test := range []struct {
		write     WriteRequest
		status    int
		wantError string
	}{
		{WriteRequest{Command: "dance"}, http.StatusUnprocessableEntity, "unknown command"},
		{WriteRequest{Command: "stop", Names: []string{"x"}}, http.StatusUnprocessableEntity, "not declared"},
		{WriteRequest{Command: "rollback", To: 77}, http.StatusUnprocessableEntity, "not kept"},
		{WriteRequest{Command: "start"}, http.StatusPreconditionFailed, "nothing to change"},
		{WriteRequest{Command: "rollback"}, http.StatusUnprocessableEntity, "no change in progress"},
		{WriteRequest{Command: "stop", Revision: 1}, http.StatusConflict, "made from revision 1"},
	} {
		_, err := fixture.write(test.write)
		assert.Equal(t, test.status, statusOf(err), test.write.Command)
		assert.ErrorContains(t, err, test.wantError)
	}
	dryRun := newApplyRequest(instanceNames(1), wellBehaved, "z")
	dryRun.DryRun = true
	written, err := fixture.write(dryRun)
	require.NoError(t, err)
	assert.Equal(t, []string{"n00", "n01"}, written.Instances)
	view, err := fixture.view()
	require.NoError(t, err)
	assert.Equal(t, history.Revision, view.Revision, "nothing was changed")
}
