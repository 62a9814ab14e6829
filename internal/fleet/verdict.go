package fleet

import (
	"fmt"
	"strings"
)

// Observe records what was observed of an instance.
func (f *Fleet) Observe(name string, s Observation) {
	f.observations[name] = s
	if r, ok := f.Records[name]; ok && s.Phase == PhaseReady && !r.WasReady { // from now on silence is no start
		r.WasReady = true
		f.Records[name] = r
	}
}

// SourceRead records what the agent itself has read from a discovery address.
func (f *Fleet) SourceRead(source string, w SourceDigest) { f.sourceDigests[source] = w }

// Observation returns what is known of an instance now: an observation older than ObservationTTL counts as unknown, never as
// the last good value.
func (f *Fleet) Observation(now float64, name string) Observation {
	s, ok := f.observations[name]
	switch {
	case !ok:
		return Observation{Phase: PhaseUnknown, Reason: "never seen"}
	case now-s.ObservedAt > f.timing.ObservationTTL:
		return Observation{Phase: PhaseUnknown, ObservedAt: s.ObservedAt, Reason: "not seen lately"}
	}
	return s
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
func (f *Fleet) Verdict(now float64, name string) (v InstanceVerdict, why string) {
	t, declared := f.target(name)
	s, r := f.Observation(now, name), f.Records[name]
	want := declared && t.Desired == Running
	switch {
	case s.Phase == PhaseForeign:
		return VerdictForeign, s.Reason
	case s.Phase == PhaseUnknown:
		return VerdictUnknown, s.Reason
	case s.Phase == PhaseDown && !declared:
		return VerdictUndeclared, ""
	case s.Phase == PhaseDown && !want:
		return VerdictAsDeclared, ""
	case s.Phase == PhaseDown && r.CrashLooping:
		return VerdictCrashLoop, r.LastFailure
	case s.Phase == PhaseDown:
		return VerdictInProgress, r.LastFailure
	case !want:
		return VerdictInProgress, "to end"
	case s.Phase == PhaseShuttingDown:
		return VerdictInProgress, "ending"
	case s.Phase == PhaseStarting:
		return VerdictInProgress, strings.TrimSuffix("starting: "+s.Reason, ": ")
	case s.Digest != t.Digest:
		return VerdictWrongConfig, fmt.Sprintf("declared %s, runs %s", shortDigest(t.Digest), shortDigest(s.Digest))
	case s.Epoch != t.Epoch:
		return VerdictRestartDue, "a restart is due"
	}
	if why := f.listMismatch(t, s); why != "" {
		return VerdictWrongList, why
	}
	if !s.InService {
		return VerdictInProgress, "out of service"
	}
	return VerdictAsDeclared, ""
}

// listMismatch says how an instance's endpoint list differs from the declared one: by its source, or, at the same version of
// the same source, by its content.
func (f *Fleet) listMismatch(t Instance, s Observation) string {
	if s.Discovery != t.Discovery {
		return fmt.Sprintf("declared %s (%s), asks %s (%s)", t.Discovery, shortDigest(f.sourceDigests[t.Discovery].Digest), s.Discovery, shortDigest(s.ListDigest))
	}
	if w, ok := f.sourceDigests[t.Discovery]; ok && s.ListDigest != "" && w.Version == s.ListVersion && w.Digest != s.ListDigest {
		return fmt.Sprintf("declared %s, holds %s at version %d of %s", shortDigest(w.Digest), shortDigest(s.ListDigest), w.Version, t.Discovery)
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
	v, _ := f.Verdict(now, name)
	return v == VerdictAsDeclared || v == VerdictUndeclared
}
