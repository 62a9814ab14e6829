package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Span is a time in ms, from its start to before its end.
type Span struct{ From, To float64 }

// pair is one change at one node.
type pair struct {
	stale float64 // ms from when it could have been in force to when it was
	cut   bool    // the node could not be reached meanwhile
}

// Judge holds what nodes say of themselves against what was committed and when. It trusts no node's word on how old its copy is.
type Judge struct {
	bound, most float64 // ms for 99 in 100 that could be reached all the time, and for all

	truth    map[uint64]string  // digests of what was committed
	acked    map[uint64]float64 // when the operator had the answer
	started  map[string]float64 // nodes
	seen     map[string][]sight // by node, in the order of its answers
	digests  map[uint64]map[string]string
	breaches []string
}

// sight is a version that a node has had in force since a time.
type sight struct {
	version uint64
	at      float64
}

// NewJudge makes a judge with the bounds, in ms, that nine in ten changes and every change must keep.
func NewJudge(boundMs, mostMs float64) *Judge {
	return &Judge{bound: boundMs, most: mostMs, truth: map[uint64]string{}, acked: map[uint64]float64{}, started: map[string]float64{}, seen: map[string][]sight{},
		digests: map[uint64]map[string]string{}}
}

// Committed tells the truth about a version: by its answer, or by the log where that was lost.
func (j *Judge) Committed(version uint64, digest string) {
	if was, ok := j.truth[version]; ok && was != digest {
		j.breach("version %d was committed as %.12s and as %.12s", version, was, digest)
	}
	j.truth[version] = digest
}

// Acked tells when a version's answer came.
func (j *Judge) Acked(version uint64, at float64) { j.acked[version] = at }

// Node is a node that is to be judged, also where it never says a word. It starts at a time: what was acknowledged before it had its
// first version is no change to it.
func (j *Judge) Node(name string, started float64) {
	j.started[name] = started
	j.seen[name] = append(j.seen[name], []sight{}...)
}

// Saw takes a node's answer on what it has in force, since a time; version 0 is nothing.
func (j *Judge) Saw(node string, version uint64, digest string, at float64) {
	if version == 0 {
		return
	}
	seen := j.seen[node]
	if len(seen) > 0 {
		switch last := seen[len(seen)-1]; {
		case version < last.version:
			j.breach("%s went back from version %d to %d", node, last.version, version)
			return
		case version == last.version && j.digests[version][node] == digest:
			return
		}
	}
	if j.digests[version] == nil {
		j.digests[version] = map[string]string{}
	}
	j.digests[version][node] = digest
	j.seen[node] = append(seen, sight{version, at})
}

func (j *Judge) breach(format string, args ...any) {
	j.breaches = append(j.breaches, fmt.Sprintf(format, args...))
}

// Staleness is of changes at nodes, in ms.
type Staleness struct {
	Pairs          int
	P50, P99, Most float64
}

func staleness(all []float64) Staleness {
	slices.Sort(all)
	s := Staleness{Pairs: len(all)}
	if len(all) == 0 {
		return s
	}
	at := func(share float64) float64 { return all[min(int(math.Ceil(share*float64(len(all))))-1, len(all)-1)] }
	s.P50, s.P99, s.Most = at(0.5), at(0.99), all[len(all)-1]
	return s
}

// Finding is the judge's.
type Finding struct {
	Changes   int       // acknowledged, and judged
	Reachable Staleness // of nodes that could be reached all the time, from the acknowledgement
	Cut       Staleness // of the others, from when they could be
	Start     Staleness // of nodes, from their start to their first version in force: no bound is on it
	CutNodes  int
	Behind    int // nodes that are not at the last version at the end
	Breaches  []string
}

// Finish judges what was seen until a time. Cut gives the spans in which a node could not be reached, in order.
func (j *Judge) Finish(end float64, cut func(node string) []Span) Finding {
	f := Finding{}
	for version, by := range j.digests {
		want, ok := j.truth[version]
		for node, digest := range by {
			switch {
			case !ok:
				j.breach("%s has version %d in force, which was never committed", node, version)
			case digest != want:
				j.breach("%s has another version %d in force: %.12s, committed was %.12s", node, version, digest, want)
			}
		}
	}
	var reachable, after, first []float64
	late := map[string]int{}
	judged := map[uint64]bool{}
	head := uint64(0)
	for version := range j.acked {
		head = max(head, version)
	}
	cutNodes := map[string]bool{}
	for node, seen := range j.seen {
		spans := cut(node)
		if len(seen) == 0 || seen[len(seen)-1].version < head {
			f.Behind++
		}
		begun := math.Inf(-1)
		if at, ok := j.started[node]; ok && len(seen) > 0 {
			begun = seen[0].at
			first = append(first, begun-at)
		}
		for version, acked := range j.acked {
			if acked < begun {
				continue
			}
			at := math.Inf(1)
			if k, _ := slices.BinarySearchFunc(seen, version, func(s sight, v uint64) int { return cmp.Compare(s.version, v) }); k < len(seen) {
				at = seen[k].at
			}
			p := j.pair(acked, at, spans)
			if math.IsInf(p.stale, 1) {
				if p = j.pair(acked, end, spans); p.stale <= j.most { // its time was not over
					continue
				}
			}
			judged[version] = true
			if p.cut {
				after = append(after, p.stale)
				cutNodes[node] = true
			} else {
				reachable = append(reachable, p.stale)
			}
			if p.stale > j.most {
				late[node]++
				if late[node] == 1 {
					j.breach("%s had version %d in force %.1f s after it could have, over %.1f s", node, version, p.stale/1e3, j.most/1e3)
				}
			}
		}
	}
	f.Changes, f.CutNodes = len(judged), len(cutNodes)
	f.Reachable, f.Cut, f.Start = staleness(reachable), staleness(after), staleness(first)
	if f.Reachable.P99 > j.bound {
		j.breach("99 in 100 changes were in force after %.2f s, over %.2f s", f.Reachable.P99/1e3, j.bound/1e3)
	}
	if f.Changes == 0 {
		j.breach("no change was judged")
	}
	f.Breaches = slices.Sorted(slices.Values(j.breaches))
	return f
}

// pair reckons from the first moment after the acknowledgement from which on the node could be reached for as long as the bound
// gives, or until it had the change.
func (j *Judge) pair(acked, at float64, spans []Span) pair {
	from := acked
	p := pair{}
	for _, s := range spans {
		if s.To > from && s.From < min(at, from+j.most) {
			from, p.cut = s.To, true
		}
	}
	p.stale = max(at-from, 0)
	return p
}
