package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Span is the half-open time interval from From to To, in ms.
type Span struct{ From, To float64 }

// Auditor checks what nodes report against what was committed and when. It doesn't rely on a node's own statement of how old its copy is.
type Auditor struct {
	p99BoundMs, maxBoundMs float64

	committed      map[uint64]string  // digests of the committed documents, by version
	acknowledgedAt map[uint64]float64 // when the operator received the answer, by version
	startedAt      map[string]float64 // by node
	applied        map[string][]appliedVersion
	digests        map[uint64]map[string]string // reported, by version and node
	violations     []string
}

// appliedVersion is a version that a node has applied, and when the node applied it, in ms.
type appliedVersion struct {
	version uint64
	at      float64
}

// NewAuditor returns an auditor with two bounds on staleness, in ms: p99BoundMs for 99 in 100 of the pairs of a change and a
// node in which the delay is measured from the acknowledgement (Findings.Reachable), and maxBoundMs for all pairs.
func NewAuditor(p99BoundMs, maxBoundMs float64) *Auditor {
	return &Auditor{
		p99BoundMs:     p99BoundMs,
		maxBoundMs:     maxBoundMs,
		committed:      map[uint64]string{},
		acknowledgedAt: map[uint64]float64{},
		startedAt:      map[string]float64{},
		applied:        map[string][]appliedVersion{},
		digests:        map[uint64]map[string]string{},
	}
}

// VersionCommitted records the digest of a version: from the answer to its change, or from the log if the answer was lost.
func (a *Auditor) VersionCommitted(version uint64, digest string) {
	if earlier, ok := a.committed[version]; ok && earlier != digest {
		a.violation("version %d was committed as %.12s and as %.12s", version, earlier, digest)
	}
	a.committed[version] = digest
}

// VersionAcknowledged records when the answer to a version's change arrived.
func (a *Auditor) VersionAcknowledged(version uint64, at float64) { a.acknowledgedAt[version] = at }

// NodeStarted adds a node, which is checked even if it never reports anything. Versions acknowledged before the node applied its first one
// don't count as changes for it.
func (a *Auditor) NodeStarted(node string, at float64) {
	a.startedAt[node] = at
	if _, isKnown := a.applied[node]; !isKnown {
		a.applied[node] = nil // nothing applied yet, but checked
	}
}

// VersionReported records a node's report of the version that it has applied, and since when. Version 0 means none.
func (a *Auditor) VersionReported(node string, version uint64, digest string, since float64) {
	if version == 0 {
		return
	}
	applied := a.applied[node]
	if len(applied) > 0 {
		switch last := applied[len(applied)-1]; {
		case version < last.version:
			a.violation("%s went back from version %d to %d", node, last.version, version)
			return
		case version == last.version && a.digests[version][node] == digest:
			return
		}
	}
	if a.digests[version] == nil {
		a.digests[version] = map[string]string{}
	}
	a.digests[version][node] = digest
	a.applied[node] = append(applied, appliedVersion{version, since})
}

func (a *Auditor) violation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Staleness summarizes how late changes were applied at nodes, in ms.
type Staleness struct {
	Pairs         int // pairs of a change and a node
	P50, P99, Max float64
}

// newStaleness returns the percentiles of values, which it sorts.
func newStaleness(values []float64) Staleness {
	slices.Sort(values)
	count := len(values)
	if count == 0 {
		return Staleness{}
	}
	percentile := func(share float64) float64 { return values[min(int(math.Ceil(share*float64(count)))-1, count-1)] }
	return Staleness{Pairs: count, P50: percentile(0.5), P99: percentile(0.99), Max: values[count-1]}
}

// Findings holds the result of an audit.
type Findings struct {
	Changes     int       // acknowledged changes that were checked at one node or more
	Reachable   Staleness // of the pairs with delay.cutOff false; from the acknowledgement
	CutOff      Staleness // of the pairs with delay.cutOff true; from when the node became reachable
	Start       Staleness // from a node's start to its first version; not bounded
	CutOffNodes int
	Behind      int // nodes that had not applied the latest version at the end
	Violations  []string
}

// audit holds what Finish accumulates over all nodes.
type audit struct {
	*Auditor
	end    float64
	newest uint64 // newest acknowledged version

	reachable, cutOff, start []float64 // staleness, in ms
	checkedVersions          map[uint64]bool
	cutOffNodes              int
	behind                   int
}

// Finish checks the reports up to the time end, in ms. unreachable returns the spans in which a node was unreachable, in order of time.
func (a *Auditor) Finish(end float64, unreachable func(node string) []Span) Findings {
	a.checkDigests()
	result := &audit{Auditor: a, end: end, checkedVersions: map[uint64]bool{}}
	for version := range a.acknowledgedAt {
		result.newest = max(result.newest, version)
	}
	for node, applied := range a.applied {
		result.checkNode(node, applied, unreachable(node))
	}
	findings := Findings{
		Changes:     len(result.checkedVersions),
		Reachable:   newStaleness(result.reachable),
		CutOff:      newStaleness(result.cutOff),
		Start:       newStaleness(result.start),
		CutOffNodes: result.cutOffNodes,
		Behind:      result.behind,
	}
	if findings.Reachable.P99 > a.p99BoundMs {
		a.violation("99 in 100 changes were in force after %.2f s, over %.2f s", findings.Reachable.P99/1e3, a.p99BoundMs/1e3)
	}
	if findings.Changes == 0 {
		a.violation("no change was checked")
	}
	findings.Violations = slices.Sorted(slices.Values(a.violations))
	return findings
}

// checkDigests checks that the digest of every reported version is the committed one.
func (a *Auditor) checkDigests() {
	for version, byNode := range a.digests {
		committed, ok := a.committed[version]
		for node, digest := range byNode {
			switch {
			case !ok:
				a.violation("%s has version %d in force, which was never committed", node, version)
			case digest != committed:
				a.violation("%s has another version %d in force: %.12s, committed was %.12s", node, version, digest, committed)
			}
		}
	}
}

// checkNode checks how late each acknowledged version was applied at a node. At most one version that is
// too late is recorded as a violation for each node: whichever is found first, in no particular order.
func (a *audit) checkNode(node string, applied []appliedVersion, unreachable []Span) {
	if len(applied) == 0 || applied[len(applied)-1].version < a.newest {
		a.behind++
	}
	firstAppliedAt := math.Inf(-1)
	if at, ok := a.startedAt[node]; ok && len(applied) > 0 {
		firstAppliedAt = applied[0].at
		a.start = append(a.start, firstAppliedAt-at)
	}
	isLate, wasCutOff := false, false
	for version, acknowledgedAt := range a.acknowledgedAt {
		if acknowledgedAt < firstAppliedAt {
			continue
		}
		delay, ok := a.versionDelay(version, acknowledgedAt, applied, unreachable)
		if !ok {
			continue
		}
		a.checkedVersions[version] = true
		if delay.cutOff {
			a.cutOff = append(a.cutOff, delay.ms)
			wasCutOff = true
		} else {
			a.reachable = append(a.reachable, delay.ms)
		}
		if delay.ms > a.maxBoundMs && !isLate {
			isLate = true
			a.violation("%s had version %d in force %.1f s after it could have, over %.1f s", node, version, delay.ms/1e3, a.maxBoundMs/1e3)
		}
	}
	if wasCutOff {
		a.cutOffNodes++
	}
}

// delay holds how long a version took to reach a node.
type delay struct {
	ms     float64 // from when the node could have applied it to when it did
	cutOff bool    // whether ms starts at the end of an unreachable span instead of at the acknowledgement
}

// versionDelay returns a version's delay at a node. A version that the node never applied counts as applied at the end. For such a version,
// ok is false unless the delay exceeds maxBoundMs: until then, it is too early to judge.
func (a *audit) versionDelay(version uint64, acknowledgedAt float64, applied []appliedVersion, unreachable []Span) (_ delay, ok bool) {
	byVersion := func(x appliedVersion, version uint64) int { return cmp.Compare(x.version, version) }
	index, _ := slices.BinarySearchFunc(applied, version, byVersion)
	if index < len(applied) {
		return a.delayBetween(acknowledgedAt, applied[index].at, unreachable), true
	}
	untilEnd := a.delayBetween(acknowledgedAt, a.end, unreachable)
	return untilEnd, untilEnd.ms > a.maxBoundMs
}

// delayBetween returns the delay until appliedAt. The delay starts at the acknowledgement, or at the end of an unreachable span:
// at the first time after which the node stayed reachable for maxBoundMs, or until it had applied the change if that was sooner.
func (a *Auditor) delayBetween(acknowledgedAt, appliedAt float64, unreachable []Span) delay {
	from, cutOff := acknowledgedAt, false
	for _, span := range unreachable {
		if span.To > from && span.From < min(appliedAt, from+a.maxBoundMs) {
			from, cutOff = span.To, true
		}
	}
	return delay{ms: max(appliedAt-from, 0), cutOff: cutOff}
}
