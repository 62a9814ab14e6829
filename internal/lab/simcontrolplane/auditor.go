package simcontrolplane

import (
	"fmt"
	"sort"

	"pearknot/internal/controlplane"
)

// The freshness that is promised: a change is applied within freshnessBoundMs of its acknowledgement, or of when links allow it, and 99
// in 100 within freshnessObjectiveMs.
const (
	freshnessBoundMs     = 6000.0
	freshnessObjectiveMs = 2000.0
)

// clockToleranceMs is what rounding may add to a process's account of time.
const clockToleranceMs = 0.001

// proposal is a change that an operator proposes.
type proposal struct {
	id             uint64
	base           uint64 // version from which it was made
	digest         controlplane.Digest
	acknowledgedAt float64
	version        uint64 // as acknowledged; 0 is not
	isRejected     bool   // its operator was told of a conflict
}

// appliedVersion is a version that a node has applied at a moment.
type appliedVersion struct {
	at      float64
	version uint64
}

// auditor checks what operators are answered and what processes serve and apply.
type auditor struct {
	cluster    *Cluster
	startedAt  float64
	freshness  FreshnessCheck
	faults     []Fault
	violations []string

	proposals    map[controlplane.Digest]*proposal
	committed    map[uint64]controlplane.Digest // versions seen at any process
	acknowledged []*proposal                    // in the order of their acknowledgement
	newestAck    []uint64                       // the newest version acknowledged up to each of them
	current      []uint64                       // by process: the version served or applied in this incarnation
	applied      [][]appliedVersion             // by process
	unusable     map[direction][]span           // links and, with from and to the same, processes that a fault has affected

	// Acknowledged versions at nodes that could reach a majority: how many, those over the objective, and the latest in ms.
	pairs, latePairs int
	maxLatenessMs    float64
}

func newAuditor(c *Cluster) *auditor {
	processes := c.config.processes()
	return &auditor{
		cluster:   c,
		proposals: map[controlplane.Digest]*proposal{},
		committed: map[uint64]controlplane.Digest{},
		current:   make([]uint64, processes),
		applied:   make([][]appliedVersion, processes),
		unusable:  map[direction][]span{},
	}
}

func (a *auditor) violation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %.0f: ", a.cluster.elapsed())+fmt.Sprintf(format, args...))
}

func (a *auditor) proposed(x *proposal) { a.proposals[x.digest] = x }

// answered records a voter's answer to an operator at the moment at which it is given.
func (a *auditor) answered(x *proposal, result controlplane.Result) {
	switch result.Code {
	case controlplane.CodeDone:
		a.acknowledge(x, result.Version)
	case controlplane.CodeConflict:
		a.cluster.Conflicts++
		if x.isRejected = true; x.version != 0 {
			a.violation("proposal %x acknowledged as %d, then rejected", x.id, x.version)
		}
	case controlplane.CodeInvalid:
		a.violation("proposal %x invalid: %s", x.id, result.Detail)
	}
}

func (a *auditor) acknowledge(x *proposal, version uint64) {
	if x.version != 0 {
		if x.version != version {
			a.violation("proposal %x acknowledged as %d and as %d", x.id, x.version, version)
		}
		return
	}
	if x.isRejected {
		a.violation("proposal %x rejected, then acknowledged as %d", x.id, version)
	}
	x.acknowledgedAt, x.version = a.cluster.now, version
	a.acknowledged = append(a.acknowledged, x)
	a.newestAck = append(a.newestAck, max(a.newestAcknowledged(), version))
	a.cluster.Acknowledged++
}

// newestAcknowledged is the newest version of which an operator was told, or 0.
func (a *auditor) newestAcknowledged() uint64 {
	if len(a.newestAck) == 0 {
		return 0
	}
	return a.newestAck[len(a.newestAck)-1]
}

// processStarted begins a process's incarnation: nothing is applied yet.
func (a *auditor) processStarted(p *process) {
	a.current[p.id] = 0
	a.applied[p.id] = append(a.applied[p.id], appliedVersion{a.cluster.now, 0})
}

// memberServes checks the version that a member serves. Only a voter's may go back, by an entry that is not committed.
func (a *auditor) memberServes(p *process, version uint64, doc *controlplane.Document) {
	if a.current[p.id] == version && version > 0 {
		return
	}
	if version < a.current[p.id] && p.voter == nil {
		a.violation("%s went from version %d back to %d", p.name, a.current[p.id], version)
	}
	a.current[p.id] = version
	a.checkVersion(p, version, doc)
}

// versionApplied checks a version that a node has applied.
func (a *auditor) versionApplied(p *process, stored controlplane.VersionedDocument) {
	if stored.Version <= a.current[p.id] {
		a.violation("%s applies version %d after %d", p.name, stored.Version, a.current[p.id])
	}
	a.current[p.id] = stored.Version
	a.checkVersion(p, stored.Version, stored.Document)
	a.applied[p.id] = append(a.applied[p.id], appliedVersion{a.cluster.now, stored.Version})
	a.cluster.trace("%s has %d in force", p.name, stored.Version)
}

// checkVersion checks that a version is the same everywhere, and one proposal's that was made from the version right before it.
func (a *auditor) checkVersion(p *process, version uint64, doc *controlplane.Document) {
	if version == 0 {
		return
	}
	digest := doc.Digest()
	if seen, ok := a.committed[version]; ok && seen != digest {
		a.violation("%s has another version %d than others", p.name, version)
		return
	}
	a.committed[version] = digest
	switch x := a.proposals[digest]; {
	case x == nil:
		a.violation("%s has a version %d that nobody proposed", p.name, version)
	case x.base != version-1:
		a.violation("%s has version %d, which was proposed from %d", p.name, version, x.base)
	case x.isRejected:
		a.violation("%s has version %d, whose operator was told that it is rejected", p.name, version)
	case x.version != 0 && x.version != version:
		a.violation("%s has as version %d what was acknowledged as %d", p.name, version, x.version)
	}
}

// checkStaleness checks what each process claims of its copy's age against what was acknowledged by then.
func (a *auditor) checkStaleness() {
	c := a.cluster
	for _, p := range c.processes {
		if !p.isUp || p.isFrozen || p.isWriting { // can't be asked
			continue
		}
		var freshAsOf float64
		var version uint64
		if p.voter != nil {
			freshAsOf = p.voter.FreshAsOf() - p.clockOffset
			version, _ = p.voter.History().Head()
			if fault := p.voter.StoreFault(); fault != "" {
				a.violation("%s: %s", p.name, fault)
			}
		} else {
			state := p.follower.State(c.clock(p))
			freshAsOf, version = c.now-state.StalenessMs, state.StoredVersion
		}
		older := sort.Search(len(a.acknowledged), func(k int) bool { return a.acknowledged[k].acknowledgedAt >= freshAsOf-clockToleranceMs })
		if older > 0 && a.newestAck[older-1] > version {
			a.violation("%s claims an age of %.0f ms with version %d, and %d was acknowledged %.0f ms ago", p.name, c.now-freshAsOf, version,
				a.newestAck[older-1], c.now-a.acknowledged[older-1].acknowledgedAt)
		}
	}
}

// appliedAt is the version that a node had applied at a moment.
func (a *auditor) appliedAt(node int, when float64) uint64 {
	applied := a.applied[node]
	until := sort.Search(len(applied), func(k int) bool { return applied[k].at > when })
	if until == 0 {
		return 0
	}
	return applied[until-1].version
}
