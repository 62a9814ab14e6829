package simcontrolplane

import (
	"math"
	"slices"
)

// FreshnessCheck says from when on a change has to reach a node.
type FreshnessCheck int

const (
	// FreshnessByPath counts from when a path is usable from the node to a member, and from that to a majority: for faults one after the
	// other.
	FreshnessByPath FreshnessCheck = iota
	// FreshnessWhenQuiet counts only from when no other fault begins or ends either.
	FreshnessWhenQuiet
	// FreshnessAtEnd checks only the end of the schedule: for mangled frames.
	FreshnessAtEnd
)

// span is a time in ms.
type span struct{ from, to float64 }

// processUnusable records that a process can't be used for a while from now on.
func (a *auditor) processUnusable(id int, durationMs float64) {
	a.linkUnusable(direction{id, id}, durationMs)
}

// linkUnusable records that a link can't be used for a while from now on.
func (a *auditor) linkUnusable(link direction, durationMs float64) {
	now := a.cluster.now
	a.unusable[link] = append(a.unusable[link], span{now, now + durationMs})
}

// usableSpans are the times at which all of some links and processes can be used.
func (a *auditor) usableSpans(path []direction) (usable []span) {
	var unusable []span
	for _, part := range path {
		unusable = append(unusable, a.unusable[part]...)
	}
	slices.SortFunc(unusable, func(x, y span) int {
		if x.from < y.from {
			return -1
		}
		return 1
	})
	at := a.startedAt
	for _, outage := range unusable {
		if outage.from > at {
			usable = append(usable, span{at, outage.from})
		}
		at = max(at, outage.to)
	}
	return append(usable, span{at, math.Inf(1)})
}

// path is the links and processes by which a member hears of what is acknowledged.
type path struct {
	member int
	parts  []direction
}

// majorityPaths are the paths to a majority: a member, a voter that it follows (or is), and a majority of voters that includes this one.
func (a *auditor) majorityPaths() (paths []path) {
	config := a.cluster.config
	majorities := majorities(config.Voters)
	for member := range config.members() {
		for _, majority := range majorities {
			for _, voter := range majority {
				if member < config.Voters && voter != member {
					continue
				}
				parts := []direction{{member, member}}
				if member >= config.Voters {
					parts = append(parts, bothWays(member, voter)...)
				}
				paths = append(paths, path{member, append(parts, connecting(majority)...)})
			}
		}
	}
	return paths
}

// connecting is some processes and all links between them.
func connecting(processes []int) (parts []direction) {
	for index, a := range processes {
		parts = append(parts, direction{a, a})
		for _, b := range processes[:index] {
			parts = append(parts, bothWays(a, b)...)
		}
	}
	return parts
}

// majorities are the smallest majorities of some voters.
func majorities(voters int) (all [][]int) {
	for set := range 1 << voters {
		var majority []int
		for voter := range voters {
			if set>>voter&1 == 1 {
				majority = append(majority, voter)
			}
		}
		if len(majority) == voters/2+1 {
			all = append(all, majority)
		}
	}
	return all
}

// reachableSpans are the times, no shorter than the bound, during which a node could have what is acknowledged by one path.
func (a *auditor) reachableSpans(node int, paths []path) (reachable []span) {
	for _, path := range paths {
		parts := append(slices.Clone(path.parts), direction{node, node})
		parts = append(parts, bothWays(node, path.member)...)
		for _, usable := range a.usableSpans(parts) {
			if usable.to-usable.from >= freshnessBoundMs && !slices.Contains(reachable, usable) {
				reachable = append(reachable, usable)
			}
		}
	}
	if a.freshness == FreshnessByPath {
		return reachable
	}
	return a.quietParts(reachable)
}

// quietParts are the parts of spans, no shorter than the bound, during which no fault begins or ends.
func (a *auditor) quietParts(spans []span) (quiet []span) {
	var changes []float64
	for _, fault := range a.faults {
		changes = append(changes, a.startedAt+fault.Start, a.startedAt+fault.End)
	}
	slices.Sort(changes)
	from := a.startedAt
	for _, to := range append(changes, math.Inf(1)) {
		for _, whole := range spans {
			part := span{max(whole.from, from), min(whole.to, to)}
			if part.to-part.from >= freshnessBoundMs && !slices.Contains(quiet, part) {
				quiet = append(quiet, part)
			}
		}
		from = to
	}
	return quiet
}
