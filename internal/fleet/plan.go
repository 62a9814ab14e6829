package fleet

import (
	"fmt"
	"strings"
)

// Action is a step that is due for one instance.
type Action struct {
	Step       Step
	Name       string
	Instance   Instance // what to start, for StepStart
	Reason     string   // in words, for the log
	NeverReady bool     // StepTerminate of an instance that did not become ready: this counts as a failed start
}

// Plan advances the change in progress and returns the steps that are due, in the order of names. No step is due for
// an instance whose phase is unknown: an instance that can't be observed is neither started twice nor stopped.
func (f *Fleet) Plan(now float64) []Action {
	f.advanceChange(now)
	var actions []Action
	for _, name := range f.Names() {
		if action, due := f.nextAction(now, name); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// nextAction returns the action that is due for an instance, if there is one.
func (f *Fleet) nextAction(now float64, name string) (Action, bool) {
	target, declared := f.target(name)
	action := Action{Name: name, Instance: target}
	shouldRun := declared && target.Desired == Running
	observed, record := f.Observation(now, name), f.Records[name]
	switch observed.Phase {
	case PhaseDown:
		f.planDown(&action, now, declared, shouldRun)
	case PhaseUnknown, PhaseForeign:
		// A process that does not answer but is proven to be the instance can be terminated; nothing else is done to it.
		if observed.IsProven && (!shouldRun || record.TerminatedAt > 0) {
			f.planShutdown(&action, now, shouldRun)
		}
	default:
		if !f.planShutdown(&action, now, shouldRun) {
			f.planRunning(&action, now, observed)
		}
	}
	return action, action.Step != ""
}

// planDown fills in the step for an instance without a process.
func (f *Fleet) planDown(action *Action, now float64, declared, shouldRun bool) {
	record, hasRecord := f.Records[action.Name]
	switch {
	case !declared && hasRecord && !f.isChanging(action.Name):
		action.Step, action.Reason = StepForget, "not declared"
	case shouldRun && !record.CrashLooping && now >= record.NextStartAt:
		action.Step, action.Reason = StepStart, "declared"
	}
}

// planShutdown fills in the step for an instance that is to shut down, and reports whether it is.
func (f *Fleet) planShutdown(action *Action, now float64, shouldRun bool) bool {
	record := f.Records[action.Name]
	switch {
	case record.PendingStep == StepTerminate:
		// The agent crashed after storing the step: whether the signal was sent is unknown, and a second one is
		// harmless.
		action.Step, action.Reason = StepTerminate, "to be told again"
	case record.TerminatedAt > 0:
		if now-record.TerminatedAt >= f.timing.ShutdownTimeoutMs {
			action.Step = StepKill
			action.Reason = fmt.Sprintf("still there %.1f s after SIGTERM", (now-record.TerminatedAt)/1e3)
		}
	case !shouldRun:
		action.Step, action.Reason = StepTerminate, "not wanted"
	default:
		return false
	}
	return true
}

// planRunning fills in the step for an instance that runs and should run.
func (f *Fleet) planRunning(action *Action, now float64, observed Observation) {
	record := f.Records[action.Name]
	if observed.Phase == PhaseStarting && now-record.StartedAt >= f.timing.StartTimeoutMs {
		reason := fmt.Sprintf("not ready within %.1f s: %s", f.timing.StartTimeoutMs/1e3, observed.Reason)
		action.Step, action.Reason, action.NeverReady = StepTerminate, strings.TrimSuffix(reason, ": "), true
	}
	if observed.Phase != PhaseReady {
		return
	}
	verdict, reason := f.Verdict(now, action.Name)
	runsAsStarted := observed.Digest == record.Digest && observed.Epoch == record.Epoch
	switch {
	case (verdict == VerdictWrongConfig || verdict == VerdictRestartDue) && runsAsStarted:
		action.Step, action.Reason = StepTerminate, reason // started again with what is declared now
	case (verdict == VerdictWrongConfig || verdict == VerdictWrongList) && observed.InService:
		// It runs a configuration that the agent never gave it, or follows another list: this needs an operator.
		action.Step, action.Reason = StepWithdraw, reason
	case verdict == VerdictInProgress && !observed.InService:
		action.Step, action.Reason = StepAdmit, "as declared"
	}
}
