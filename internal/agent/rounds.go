package agent

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// maxParallelProbes bounds the instances that are observed at a time, and so the agent's open sockets.
const maxParallelProbes = 64

// scheduleRound makes the next round begin at once.
func (a *Agent) scheduleRound() { a.nextRound.Reset(0) }

// runRound observes all instances, lets the fleet plan, and carries out the steps that are due. The next round
// follows after BusyInterval while something is in progress, else after IdleInterval.
func (a *Agent) runRound(ctx context.Context) {
	a.observeAll(ctx)
	if ctx.Err() != nil {
		return
	}
	if a.options.CheckLists && time.Since(a.listsCheckedAt) >= a.options.ListCheckInterval {
		a.listsCheckedAt = time.Now()
		a.checkLists()
	}
	actions := a.fleet.Plan(a.now())
	a.carryOut(ctx, actions)
	a.notifyWatchers()
	change := a.fleet.Latest()
	isBusy := len(actions) > 0 || change != nil && !change.Status.IsFinal()
	if !isBusy {
		for _, record := range a.fleet.Records {
			observation := a.fleet.Observation(a.now(), record.Name)
			isBusy = isBusy || observation.Phase == fleet.PhaseStarting || observation.Phase == fleet.PhaseShuttingDown
		}
		if a.store.newerThanSnapshot {
			if err := a.store.snapshot(); err != nil {
				a.log.Error("state snapshot write failed", "error", err)
			}
			a.options.OnPoint("snapshot")
		}
	}
	wait := a.options.IdleInterval
	if isBusy {
		wait = a.options.BusyInterval
	}
	a.nextRound.Reset(wait)
}

// observeAll observes every instance, maxParallelProbes at a time.
func (a *Agent) observeAll(ctx context.Context) {
	type result struct {
		name        string
		observation fleet.Observation
	}
	names := a.fleet.Names()
	results := make(chan result, len(names))
	slots := make(chan struct{}, maxParallelProbes)
	for _, name := range names {
		record := a.fleet.Records[name]
		slots <- struct{}{}
		a.probes.Add(1)
		go func() {
			defer a.probes.Done()
			defer func() { <-slots }()
			results <- result{name, instanceFiles{a.options.Dir, name}.observe(ctx, record, a.now, a.options.CallTimeout)}
		}()
	}
	for range names {
		observed := <-results
		if record := a.fleet.Records[observed.name]; observed.observation.Phase == fleet.PhaseDown && record.StartedAt > 0 {
			reason := "ended by itself"
			if lines, err := tail((instanceFiles{a.options.Dir, observed.name}).outputFile(), 1); err == nil && len(lines) > 0 && lines[0] != "" {
				reason += ": " + lines[0]
			}
			if record.TerminatedAt == 0 && record.PendingStep != fleet.StepStart {
				a.log.Warn("instance exited", "instance", observed.name, "why", reason)
			}
			a.fleet.InstanceExited(a.now(), observed.name, reason)
		}
		a.fleet.Observe(observed.name, observed.observation)
	}
}

// save stores the state. While that fails no step is taken, and what runs goes on.
func (a *Agent) save() bool {
	err := a.store.save(a.fleet.State)
	switch {
	case err != nil && a.writeError == nil:
		a.log.Error("state write failed, no changes until it succeeds", "error", err)
	case err == nil && a.writeError != nil:
		a.log.Info("state write succeeded again")
	}
	a.writeError = err
	return err == nil
}

// carryOut takes steps. They are stored as pending first, then taken, then stored as done, so that an agent that
// crashes anywhere between leaves a record of what it may have done.
func (a *Agent) carryOut(ctx context.Context, actions []fleet.Action) {
	if len(actions) == 0 {
		a.save()
		return
	}
	before := a.fleet.CopyState()
	tokens := make([]string, len(actions))
	for i, action := range actions {
		tokens[i] = newToken()
		a.fleet.StepStarted(a.now(), action, tokens[i])
	}
	if !a.save() {
		a.fleet.RestoreState(before)
		return
	}
	a.options.OnPoint("begun")
	for i, action := range actions {
		pid, err := a.carryOutStep(ctx, action, tokens[i])
		if err != nil {
			a.log.Error("step failed", "step", action.Step, "instance", action.Name, "error", err)
		} else {
			a.log.Info("step taken", "step", action.Step, "instance", action.Name, "why", action.Reason, "pid", pid)
		}
		a.options.OnPoint(string(action.Step))
		a.fleet.StepEnded(a.now(), action, pid, err)
	}
	a.save() // where it can't be, the records say that the steps were begun: they are looked at again
	a.options.OnPoint("ended")
}

// carryOutStep takes one step and returns the process id for StepStart.
func (a *Agent) carryOutStep(ctx context.Context, action fleet.Action, token string) (pid int, err error) {
	files := instanceFiles{a.options.Dir, action.Name}
	switch action.Step {
	case fleet.StepStart:
		return files.start(a.options.Binary, action.Instance, token, a.options.OnPoint, func(error) {
			select {
			case <-a.done:
			default:
				a.mailbox.Put(a.scheduleRound)
			}
		})
	case fleet.StepTerminate:
		return 0, files.signal(a.fleet.Records[action.Name].Token, syscall.SIGTERM)
	case fleet.StepKill:
		return 0, files.signal(a.fleet.Records[action.Name].Token, syscall.SIGKILL)
	case fleet.StepAdmit, fleet.StepWithdraw:
		return 0, controlsocket.NewClient(files.socket(), a.options.CallTimeout).Call(ctx, "POST", controlsocket.ServicePath,
			controlsocket.Service{InService: action.Step == fleet.StepAdmit, Reason: action.Reason}, nil)
	case fleet.StepForget:
		lock, err := files.tryLock()
		if err != nil || lock == nil {
			return 0, errors.Join(err, errors.New("still held"))
		}
		defer func() { _ = lock.Close() }()
		for _, name := range []string{files.socket(), files.lockFile()} {
			if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return 0, err
			}
		}
	}
	return 0, nil
}

// notifyWatchers wakes clients that watch the fleet when something in it has changed. Values that change all the
// time, such as the number of open requests, do not count.
func (a *Agent) notifyWatchers() {
	hash, now := xxhash.New(), a.now()
	fmt.Fprintln(hash, a.fleet.Revision, a.writeError)
	if change := a.fleet.Latest(); change != nil {
		fmt.Fprintln(hash, change.Status, change.Reached, len(change.Healthy))
	}
	for _, name := range a.fleet.Names() {
		verdict, reason := a.fleet.Verdict(now, name)
		observation := a.fleet.Observation(now, name)
		fmt.Fprintln(hash, name, verdict, reason, observation.Phase, observation.InService, observation.PID, observation.Digest)
	}
	if digest := hash.Sum64(); digest != a.viewDigest {
		a.viewDigest = digest
		a.viewVersion++
		close(a.changed)
		a.changed = make(chan struct{})
	}
}
