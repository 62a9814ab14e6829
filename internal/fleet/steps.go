package fleet

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// StepStarted records a step before it is taken; the caller stores the state first. The token is for StepStart. A crash between
// the two leaves a pending step, which is looked at again by the next agent.
func (f *Fleet) StepStarted(now float64, a Action, token string) {
	r := f.Records[a.Name]
	r.Name, r.PendingStep = a.Name, a.Step
	switch a.Step {
	case StepStart:
		r.Token, r.PID, r.Digest, r.Epoch, r.StartedAt, r.TerminatedAt = token, 0, a.Instance.Digest, a.Instance.Epoch, now, 0
		r.WasReady = false
	case StepTerminate:
		r.TerminatedAt = now
		if r.LastFailure = a.Reason; a.NeverReady {
			f.recordFailure(now, &r, a.Reason)
		}
	}
	f.Records[a.Name] = r
}

// StepEnded records how a step went. What was observed before it no longer counts.
func (f *Fleet) StepEnded(now float64, a Action, pid int, err error) {
	if a.Step == StepForget {
		delete(f.Records, a.Name)
		delete(f.observations, a.Name)
		return
	}
	r := f.Records[a.Name]
	r.PendingStep = ""
	if a.Step == StepStart {
		r.PID = pid
		if err != nil {
			f.recordFailure(now, &r, err.Error())
			r.StartedAt = 0 // nothing was started that could be found gone
		}
	}
	f.Records[a.Name] = r
	f.observations[a.Name] = Observation{Phase: PhaseUnknown, ObservedAt: now, Reason: "just told to " + string(a.Step)}
}

// InstanceExited records that an instance that was to run has exited without having been told to.
func (f *Fleet) InstanceExited(now float64, name, why string) {
	r, ok := f.Records[name]
	if !ok || r.StartedAt == 0 {
		return
	}
	if r.TerminatedAt == 0 && r.PendingStep != StepStart { // a start that the agent's own end cut off came to nothing by no fault
		f.recordFailure(now, &r, why)
	}
	r.PendingStep = ""
	r.StartedAt, r.TerminatedAt, r.PID, r.Token = 0, 0, 0, ""
	f.Records[name] = r
}

// Adopt takes over an instance that runs and has proven its token, although the record of its start was not stored.
func (f *Fleet) Adopt(now float64, name, token string, pid int, digest string, epoch uint64) {
	r := f.Records[name]
	r.Name, r.Token, r.PID, r.Digest, r.Epoch, r.PendingStep = name, token, pid, digest, epoch, ""
	if r.StartedAt == 0 {
		r.StartedAt = now
	}
	f.Records[name] = r
}

// recordFailure records a start that failed. The next start is delayed by exponential backoff with jitter, so that instances that
// failed together do not start together; too many failures within CrashLoopWindow are a crash loop, which is not started again.
func (f *Fleet) recordFailure(now float64, r *Record, why string) {
	r.LastFailure = why
	r.Failures = append(slices.DeleteFunc(slices.Clone(r.Failures), func(at float64) bool { return now-at > f.timing.CrashLoopWindow }), now)
	if len(r.Failures) >= f.timing.CrashLoopCount {
		r.CrashLooping = true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %v", r.Name, len(r.Failures), now)
	spread := 0.5 + float64(h.Sum64()>>11)/(1<<53)
	r.NextStartAt = now + math.Min(f.timing.BaseBackoffMs*math.Exp2(float64(len(r.Failures)-1)), f.timing.MaxBackoffMs)*spread
}
