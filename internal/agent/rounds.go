package agent

import (
	"context"
	"fmt"
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

// runRound observes all instances, lets the fleet plan, and executes the steps that are due. The next round follows
// after BusyInterval while something is in progress, else after IdleInterval.
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
	a.executeActions(ctx, actions)
	a.notifyWatchers()
	change := a.fleet.Latest()
	isBusy := len(actions) > 0 || change != nil && !change.Status.IsFinal()
	if !isBusy {
		isBusy = a.isAnyInTransition()
		a.snapshotIfStale()
	}
	wait := a.options.IdleInterval
	if isBusy {
		wait = a.options.BusyInterval
	}
	a.nextRound.Reset(wait)
}

// isAnyInTransition reports whether an instance is starting or shutting down.
func (a *Agent) isAnyInTransition() bool {
	for _, record := range a.fleet.Records {
		phase := a.fleet.Observation(a.now(), record.Name).Phase
		if phase == fleet.PhaseStarting || phase == fleet.PhaseShuttingDown {
			return true
		}
	}
	return false
}

// snapshotIfStale writes the snapshot file if the state has changed since it was last written.
func (a *Agent) snapshotIfStale() {
	if !a.store.snapshotStale {
		return
	}
	if err := a.store.snapshot(); err != nil {
		a.log.Error("state snapshot write failed", "error", err)
	}
	a.options.OnCrashPoint("snapshot")
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
			files := instanceFiles{a.options.Dir, name}
			results <- result{name, files.observe(ctx, record, a.now, a.options.CallTimeout)}
		}()
	}
	for range names {
		observed := <-results
		record := a.fleet.Records[observed.name]
		if observed.observation.Phase == fleet.PhaseDown && record.StartedAt > 0 {
			a.instanceExited(observed.name, record)
		}
		a.fleet.Observe(observed.name, observed.observation)
	}
}

// instanceExited records that a started instance has no process any more, with the last line of its output.
func (a *Agent) instanceExited(name string, record fleet.Record) {
	reason := "ended by itself"
	lines, err := tail(instanceFiles{a.options.Dir, name}.outputFile(), 1)
	if err == nil && len(lines) > 0 && lines[0] != "" {
		reason += ": " + lines[0]
	}
	if record.TerminatedAt == 0 && record.PendingStep != fleet.StepStart {
		a.log.Warn("instance exited", "instance", name, "why", reason)
	}
	a.fleet.InstanceExited(a.now(), name, reason)
}

// save stores the state. While that fails no step is executed, and running instances keep running.
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

// executeActions stores the steps as pending, executes them, and stores them as done, so that an agent that crashes
// anywhere in between leaves a record of what it may have done.
func (a *Agent) executeActions(ctx context.Context, actions []fleet.Action) {
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
	a.options.OnCrashPoint("begun")
	for i, action := range actions {
		pid, err := a.executeAction(ctx, action, tokens[i])
		if err != nil {
			a.log.Error("step failed", "step", action.Step, "instance", action.Name, "error", err)
		} else {
			a.log.Info("step executed", "step", action.Step, "instance", action.Name, "why", action.Reason, "pid", pid)
		}
		a.options.OnCrashPoint(string(action.Step))
		a.fleet.StepEnded(a.now(), action, pid, err)
	}
	a.save() // if this fails, the steps remain stored as pending and are checked again
	a.options.OnCrashPoint("ended")
}

// executeAction executes one step and returns the process id for StepStart.
func (a *Agent) executeAction(ctx context.Context, action fleet.Action, token string) (pid int, err error) {
	files := instanceFiles{a.options.Dir, action.Name}
	switch action.Step {
	case fleet.StepStart:
		return files.start(a.options.Binary, action.Instance, token, a.options.OnCrashPoint, a.processExited)
	case fleet.StepTerminate:
		return 0, files.signal(a.fleet.Records[action.Name].Token, syscall.SIGTERM)
	case fleet.StepKill:
		return 0, files.signal(a.fleet.Records[action.Name].Token, syscall.SIGKILL)
	case fleet.StepAdmit, fleet.StepWithdraw:
		client := controlsocket.NewClient(files.socket(), a.options.CallTimeout)
		service := controlsocket.Service{InService: action.Step == fleet.StepAdmit, Reason: action.Reason}
		return 0, client.Call(ctx, "POST", controlsocket.ServicePath, service, nil)
	case fleet.StepForget:
		return 0, files.remove()
	}
	return 0, nil
}

// processExited makes the next round begin at once when the process of an instance has exited. It is called on another
// goroutine than the actor's.
func (a *Agent) processExited(error) {
	select {
	case <-a.done:
	default:
		a.mailbox.Put(a.scheduleRound)
	}
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
		fmt.Fprintln(hash, name, verdict, reason,
			observation.Phase, observation.InService, observation.PID, observation.Digest)
	}
	if digest := hash.Sum64(); digest != a.viewDigest {
		a.viewDigest = digest
		a.viewVersion++
		close(a.changed)
		a.changed = make(chan struct{})
	}
}
