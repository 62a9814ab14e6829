package simcontrolplane

import (
	"math"

	"pearknot/internal/controlplane"
)

// finish checks what holds at the end of a schedule, and returns all violations.
func (a *auditor) finish() []string {
	if len(a.violations) > 0 {
		return a.violations
	}
	newest, ok := a.checkNothingLost()
	if !ok {
		return a.violations
	}
	a.checkConverged(newest)
	a.checkLeases(newest)
	if a.freshness != FreshnessAtEnd && len(a.violations) == 0 {
		a.checkFreshness()
	}
	return a.violations
}

// checkNothingLost checks that every acknowledged change was committed, and returns the newest committed version. Not ok is a change that
// is lost.
func (a *auditor) checkNothingLost() (newest uint64, ok bool) {
	for _, x := range a.acknowledged {
		if digest, seen := a.committed[x.version]; !seen || digest != x.digest {
			a.violation("version %d was acknowledged and is lost", x.version)
			return 0, false
		}
	}
	for version := range a.committed {
		newest = max(newest, version)
	}
	if acknowledged := a.newestAcknowledged(); newest < acknowledged {
		a.violation("version %d was acknowledged, the newest is %d", acknowledged, newest)
	}
	return newest, true
}

// checkConverged checks that every process that runs has the newest version.
func (a *auditor) checkConverged(newest uint64) {
	c := a.cluster
	for _, p := range c.processes {
		if !p.isUp { // for good
			continue
		}
		if c.isMember(p) {
			if version, _ := p.history().Head(); version != newest {
				a.violation("%s ends with version %d, the newest is %d", p.name, version, newest)
			}
		} else if version := a.appliedAt(p.id, c.now); version != newest {
			a.violation("%s ends with version %d in force, the newest is %d", p.name, version, newest)
		}
	}
}

// checkLeases checks what members report of nodes, by the lease that was renewed last, against what these have applied.
func (a *auditor) checkLeases(newest uint64) {
	c := a.cluster
	leases := a.latestLeases()
	for _, p := range c.processes[c.config.members():] {
		lease, known := leases[p.name]
		switch {
		case !p.isUp:
		case !known:
			a.violation("no member knows of %s", p.name)
		case lease.AppliedVersion != newest || lease.StoredVersion != newest || lease.BehindMs != 0 || lease.Region != p.region:
			a.violation("%s has version %d in force, members say %+v", p.name, newest, lease)
		}
	}
}

// latestLeases are the leases by follower, from the member that heard from it last. Members' clocks differ, so ages are compared.
func (a *auditor) latestLeases() map[string]controlplane.Lease {
	c := a.cluster
	latest, ageMs := map[string]controlplane.Lease{}, map[string]float64{}
	for _, member := range c.processes[:c.config.members()] {
		if !member.isUp {
			continue
		}
		for _, lease := range member.server.Leases(c.clock(member)) {
			age := c.clock(member) - lease.LastSeenAt
			if ageMs[lease.Name] == 0 || age < ageMs[lease.Name] {
				latest[lease.Name], ageMs[lease.Name] = lease, age
			}
		}
	}
	return latest
}

// checkFreshness checks that every node had every acknowledged version in time, and counts how late they were.
func (a *auditor) checkFreshness() {
	c := a.cluster
	paths := a.majorityPaths()
	for node := c.config.members(); node < len(c.processes); node++ {
		reachable := a.reachableSpans(node, paths)
		for _, x := range a.acknowledged {
			if !a.checkInTime(node, x, reachable) {
				return
			}
			a.countLateness(node, x, reachable)
		}
	}
}

// checkInTime checks that a node had a version within the bound in every span in which that could be.
func (a *auditor) checkInTime(node int, x *proposal, reachable []span) bool {
	for _, span := range reachable {
		from := max(x.acknowledgedAt, span.from)
		by := from + freshnessBoundMs
		if by <= min(span.to, a.cluster.now) && a.appliedAt(node, by) < x.version {
			a.violation("%s has not version %d in force at %.0f: acknowledged at %.0f, could be reached from %.0f on", a.cluster.processes[node].name,
				x.version, by-a.startedAt, x.acknowledgedAt-a.startedAt, span.from-a.startedAt)
			return false
		}
	}
	return true
}

// countLateness counts how late a version was at a node, from when it was acknowledged and could first be had.
func (a *auditor) countLateness(node int, x *proposal, reachable []span) {
	from := math.Inf(1)
	for _, span := range reachable {
		if span.to >= x.acknowledgedAt+freshnessBoundMs {
			from = min(from, max(span.from, x.acknowledgedAt))
		}
	}
	if math.IsInf(from, 1) {
		return
	}
	for _, applied := range a.applied[node] {
		if applied.version < x.version {
			continue
		}
		late := max(applied.at-from, 0)
		a.pairs++
		a.maxLatenessMs = max(a.maxLatenessMs, late)
		if late > freshnessObjectiveMs {
			a.latePairs++
		}
		return
	}
}
