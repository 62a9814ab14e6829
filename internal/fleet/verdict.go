package fleet

import (
	"fmt"
	"strings"
)

// Observe records an observation of an instance.
func (f *Fleet) Observe(name string, observation Observation) {
	f.observations[name] = observation
	if record, ok := f.Records[name]; ok && observation.Phase == PhaseReady && !record.WasReady {
		record.WasReady = true // from now on an instance that does not answer no longer counts as starting
		f.Records[name] = record
	}
}

// ObserveSource records what the agent itself has read from an endpoint list's source.
func (f *Fleet) ObserveSource(source string, digest SourceDigest) { f.sourceDigests[source] = digest }

// Observation returns the latest observation of an instance. One older than ObservationTTLMs counts as unknown; the
// last good value is never assumed.
func (f *Fleet) Observation(now float64, name string) Observation {
	observation, ok := f.observations[name]
	switch {
	case !ok:
		return Observation{Phase: PhaseUnknown, Reason: "never seen"}
	case now-observation.ObservedAt > f.timing.ObservationTTLMs:
		return Observation{Phase: PhaseUnknown, ObservedAt: observation.ObservedAt, Reason: "not seen lately"}
	}
	return observation
}

// InstanceVerdict is the result of comparing an instance's observed state with its declaration. Its text is part of
// the agent's API.
type InstanceVerdict string

// The verdicts on an instance.
const (
	VerdictAsDeclared  InstanceVerdict = "as wanted"           // in its declared state
	VerdictInProgress  InstanceVerdict = "on the way"          // it starts, ends, or is about to
	VerdictRestartDue  InstanceVerdict = "not as wanted"       // a restart was asked for and has not happened
	VerdictWrongList   InstanceVerdict = "wrong list"          // its endpoint list is not the declared one
	VerdictWrongConfig InstanceVerdict = "wrong configuration" // it runs another configuration than the declared one
	VerdictCrashLoop   InstanceVerdict = "crash loop"          // it failed too often and is not started again
	VerdictUnknown     InstanceVerdict = "unknown"             // it can't be observed now
	VerdictForeign     InstanceVerdict = "alien process"       // another process holds its lock
	VerdictUndeclared  InstanceVerdict = "not declared"        // its files remain until they are removed
)

// needsOperator reports whether the agent can't correct the state by itself: a change stops there.
func (v InstanceVerdict) needsOperator() bool {
	return v == VerdictCrashLoop || v == VerdictWrongList || v == VerdictForeign
}

// Verdict compares an instance's observed state with its declaration. The reason is text for the operator.
func (f *Fleet) Verdict(now float64, name string) (verdict InstanceVerdict, reason string) {
	target, declared := f.target(name)
	observation, record := f.Observation(now, name), f.Records[name]
	shouldRun := declared && target.Desired == Running
	switch {
	case observation.Phase == PhaseForeign:
		return VerdictForeign, observation.Reason
	case observation.Phase == PhaseUnknown:
		return VerdictUnknown, observation.Reason
	case observation.Phase == PhaseDown && !declared:
		return VerdictUndeclared, ""
	case observation.Phase == PhaseDown && !shouldRun:
		return VerdictAsDeclared, ""
	case observation.Phase == PhaseDown && record.CrashLooping:
		return VerdictCrashLoop, record.LastFailure
	case observation.Phase == PhaseDown:
		return VerdictInProgress, record.LastFailure
	case !shouldRun:
		return VerdictInProgress, "to end"
	case observation.Phase == PhaseShuttingDown:
		return VerdictInProgress, "ending"
	case observation.Phase == PhaseStarting:
		return VerdictInProgress, strings.TrimSuffix("starting: "+observation.Reason, ": ")
	case observation.Digest != target.Digest:
		return VerdictWrongConfig, fmt.Sprintf("declared %s, runs %s",
			shortDigest(target.Digest), shortDigest(observation.Digest))
	case observation.Epoch != target.Epoch:
		return VerdictRestartDue, "a restart is due"
	}
	if reason := f.listMismatch(target, observation); reason != "" {
		return VerdictWrongList, reason
	}
	if !observation.InService {
		return VerdictInProgress, "out of service"
	}
	return VerdictAsDeclared, ""
}

// listMismatch describes how an instance's endpoint list differs from the declared one: by its source, or, at the
// same version of the same source, by its content. It returns an empty string if they agree.
func (f *Fleet) listMismatch(declared Instance, observation Observation) string {
	source, isRead := f.sourceDigests[declared.Discovery]
	if observation.Discovery != declared.Discovery {
		return fmt.Sprintf("declared %s (%s), asks %s (%s)", declared.Discovery, shortDigest(source.Digest),
			observation.Discovery, shortDigest(observation.ListDigest))
	}
	isComparable := isRead && observation.ListDigest != "" && source.Version == observation.ListVersion
	if isComparable && source.Digest != observation.ListDigest {
		return fmt.Sprintf("declared %s, holds %s at version %d of %s", shortDigest(source.Digest),
			shortDigest(observation.ListDigest), source.Version, declared.Discovery)
	}
	return ""
}

// shortDigest returns the first characters of a digest, enough for people to compare.
func shortDigest(digest string) string {
	if digest == "" {
		return "unknown"
	}
	return digest[:min(len(digest), 12)]
}

// isHealthy reports whether an instance is in its declared state.
func (f *Fleet) isHealthy(now float64, name string) bool {
	verdict, _ := f.Verdict(now, name)
	return verdict == VerdictAsDeclared || verdict == VerdictUndeclared
}
