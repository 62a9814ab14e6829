package fleet

import (
	"fmt"
	"strings"
)

// Observe records what was observed of an instance.
func (f *Fleet) Observe(name string, observation Observation) {
	f.observations[name] = observation
	if record, ok := f.Records[name]; ok && observation.Phase == PhaseReady && !record.WasReady { // from now on silence is no start
		record.WasReady = true
		f.Records[name] = record
	}
}

// SourceRead records what the agent itself has read from a discovery address.
func (f *Fleet) SourceRead(source string, digest SourceDigest) { f.sourceDigests[source] = digest }

// Observation returns what is known of an instance now: an observation older than ObservationTTL counts as unknown,
// never as the last good value.
func (f *Fleet) Observation(now float64, name string) Observation {
	observation, ok := f.observations[name]
	switch {
	case !ok:
		return Observation{Phase: PhaseUnknown, Reason: "never seen"}
	case now-observation.ObservedAt > f.timing.ObservationTTL:
		return Observation{Phase: PhaseUnknown, ObservedAt: observation.ObservedAt, Reason: "not seen lately"}
	}
	return observation
}

// InstanceVerdict compares an instance with what it is to be. Its text is part of the agent's API.
type InstanceVerdict string

// The verdicts on an instance.
const (
	VerdictAsDeclared  InstanceVerdict = "as wanted"
	VerdictInProgress  InstanceVerdict = "on the way"
	VerdictRestartDue  InstanceVerdict = "not as wanted"
	VerdictWrongList   InstanceVerdict = "wrong list"
	VerdictWrongConfig InstanceVerdict = "wrong configuration"
	VerdictCrashLoop   InstanceVerdict = "crash loop"
	VerdictUnknown     InstanceVerdict = "unknown"
	VerdictForeign     InstanceVerdict = "alien process"
	VerdictUndeclared  InstanceVerdict = "not declared"
)

// Verdict returns what an instance is, against what it is to be, and the reason in words for the operator.
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
		return VerdictWrongConfig, fmt.Sprintf("declared %s, runs %s", shortDigest(target.Digest), shortDigest(observation.Digest))
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

// listMismatch says how an instance's endpoint list differs from the declared one: by its source, or, at the same
// version of the same source, by its content.
func (f *Fleet) listMismatch(declared Instance, observation Observation) string {
	if observation.Discovery != declared.Discovery {
		return fmt.Sprintf("declared %s (%s), asks %s (%s)", declared.Discovery, shortDigest(f.sourceDigests[declared.Discovery].Digest), observation.Discovery, shortDigest(observation.ListDigest))
	}
	if sourceDigest, ok := f.sourceDigests[declared.Discovery]; ok && observation.ListDigest != "" && sourceDigest.Version == observation.ListVersion && sourceDigest.Digest != observation.ListDigest {
		return fmt.Sprintf("declared %s, holds %s at version %d of %s", shortDigest(sourceDigest.Digest), shortDigest(observation.ListDigest), sourceDigest.Version, declared.Discovery)
	}
	return ""
}

func shortDigest(digest string) string {
	if digest == "" {
		return "unknown"
	}
	return digest[:min(len(digest), 12)]
}

// isHealthy reports whether an instance is what it is to be.
func (f *Fleet) isHealthy(now float64, name string) bool {
	verdict, _ := f.Verdict(now, name)
	return verdict == VerdictAsDeclared || verdict == VerdictUndeclared
}
