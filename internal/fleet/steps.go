package fleet

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// StepStarted records a step before it is executed; the caller stores the state before it executes the step. The
// token is for StepStart. A crash between the two leaves a pending step, which the next agent checks again.
func (f *Fleet) StepStarted(now float64, action Action, token string) {
	record := f.Records[action.Name]
	record.Name, record.PendingStep = action.Name, action.Step
	switch action.Step {
	case StepStart:
		record.Token, record.PID, record.WasReady = token, 0, false
		record.Digest, record.Epoch = action.Instance.Digest, action.Instance.Epoch
		record.StartedAt, record.TerminatedAt = now, 0
	case StepTerminate:
		record.TerminatedAt = now
		if record.LastFailure = action.Reason; action.NeverReady {
			f.recordFailure(now, &record, action.Reason)
		}
	}
	f.Records[action.Name] = record
}

// StepEnded records the result of a step. Observations from before it no longer count.
func (f *Fleet) StepEnded(now float64, action Action, pid int, err error) {
	if action.Step == StepForget {
		delete(f.Records, action.Name)
		delete(f.observations, action.Name)
		return
	}
	record := f.Records[action.Name]
	record.PendingStep = ""
	if action.Step == StepStart {
		record.PID = pid
		if err != nil {
			f.recordFailure(now, &record, err.Error())
			record.StartedAt = 0 // no process was started whose exit could be observed
		}
	}
	f.Records[action.Name] = record
	reason := "just told to " + string(action.Step)
	f.observations[action.Name] = Observation{Phase: PhaseUnknown, ObservedAt: now, Reason: reason}
}

// InstanceExited records that an instance that was to run has exited by itself.
func (f *Fleet) InstanceExited(now float64, name, reason string) {
	record, ok := f.Records[name]
	if !ok || record.StartedAt == 0 {
		return
	}
	if record.TerminatedAt == 0 && record.PendingStep != StepStart {
		// A pending start was interrupted by the agent's own exit: that no process exists is not the instance's
		// failure.
		f.recordFailure(now, &record, reason)
	}
	record.PendingStep = ""
	record.StartedAt, record.TerminatedAt, record.PID, record.Token = 0, 0, 0, ""
	f.Records[name] = record
}

// Adopt takes over an instance that runs and has proven its token, although the record of its start was not stored.
func (f *Fleet) Adopt(now float64, name, token string, pid int, digest string, epoch uint64) {
	record := f.Records[name]
	record.Name, record.Token, record.PID = name, token, pid
	record.Digest, record.Epoch, record.PendingStep = digest, epoch, ""
	if record.StartedAt == 0 {
		record.StartedAt = now
	}
	f.Records[name] = record
}

// recordFailure records a start that failed. The next start is delayed by exponential backoff with jitter, so that
// instances that failed together do not start together; too many failures within CrashLoopWindowMs are a crash loop,
// which is not started again.
func (f *Fleet) recordFailure(now float64, record *Record, reason string) {
	isExpired := func(failedAt float64) bool { return now-failedAt > f.timing.CrashLoopWindowMs }
	record.LastFailure = reason
	record.Failures = append(slices.DeleteFunc(slices.Clone(record.Failures), isExpired), now)
	if len(record.Failures) >= f.timing.CrashLoopCount {
		record.CrashLooping = true
	}
	backoff := f.timing.BaseBackoffMs * math.Exp2(float64(len(record.Failures)-1))
	record.NextStartAt = now + math.Min(backoff, f.timing.MaxBackoffMs)*backoffJitter(now, record)
}

// backoffJitter returns a factor from 0.5 to 1.5 that is derived from the instance and its failures, so that it is
// the same when the state is computed again.
func backoffJitter(now float64, record *Record) float64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %d %v", record.Name, len(record.Failures), now)
	return 0.5 + float64(hash.Sum64()>>11)/(1<<53)
}
