package simcontrolplane

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"pearknot/internal/controlplane"
)

const (
	within = 6000.0 // ms from an acknowledgement, or from when links allow, by which a change is in force
	soon   = 2000.0 // and for 99 in 100
)

// Strict tells from when a change's time counts: from when some path was whole, of a node to a member, and of that to a majority
// (Paths, for faults one after the other), only from when nothing else has gone wrong either (Quiet), or not at all but at the
// end (Finally, where frames are mangled).
type Strict int

// How strictly freshness is judged.
const (
	Paths Strict = iota
	Quiet
	Finally
)

// proposal is one change that an operator has asked for.
type proposal struct {
	id, base uint64
	digest   controlplane.Digest
	acked    float64
	version  uint64 // told with Done; 0 is not
	refused  bool
}

type forced struct {
	at      float64
	version uint64
}

type span struct{ from, to float64 }

// judge sees what operators are told, and what is in force.
type judge struct {
	s         *Plane
	base      float64
	strict    Strict
	faults    []Fault
	wrong     []string
	proposals map[controlplane.Digest]*proposal
	chain     map[uint64]controlplane.Digest
	acked     []*proposal // in the order of their acknowledgement
	highest   []uint64    // version acknowledged up to each of them
	held      []uint64    // by process, in this life
	force     [][]forced
	badness   map[[2]int][]span

	pairs, late int // of acknowledged versions and nodes; of them later than soon
	worst       float64
}

func newJudge(s *Plane) *judge {
	n := s.t.Voters + s.t.Relays + s.t.Nodes
	return &judge{s: s, proposals: map[controlplane.Digest]*proposal{}, chain: map[uint64]controlplane.Digest{}, held: make([]uint64, n),
		force: make([][]forced, n), badness: map[[2]int][]span{}}
}

func (j *judge) broken(format string, args ...any) {
	j.wrong = append(j.wrong, fmt.Sprintf("at %.0f: ", j.s.now-j.base)+fmt.Sprintf(format, args...))
}

func (j *judge) propose(x *proposal) { j.proposals[x.digest] = x }

// answered takes what a voter says at the moment that it says it.
func (j *judge) answered(x *proposal, r controlplane.Result) {
	switch r.Code {
	case controlplane.CodeDone:
		if x.version != 0 {
			if x.version != r.Version {
				j.broken("proposal %x acknowledged as %d and as %d", x.id, x.version, r.Version)
			}
			return
		}
		if x.refused {
			j.broken("proposal %x refused, then acknowledged as %d", x.id, r.Version)
		}
		x.acked, x.version = j.s.now, r.Version
		j.acked = append(j.acked, x)
		top := r.Version
		if n := len(j.highest); n > 0 {
			top = max(top, j.highest[n-1])
		}
		j.highest = append(j.highest, top)
		j.s.Acknowledged++
	case controlplane.CodeConflict:
		j.s.Conflicts++
		if x.refused = true; x.version != 0 {
			j.broken("proposal %x acknowledged as %d, then refused", x.id, x.version)
		}
	case controlplane.CodeInvalid:
		j.broken("proposal %x invalid: %s", x.id, r.Detail)
	}
}

// started begins a process's life: nothing is in force yet.
func (j *judge) started(p *proc) {
	j.held[p.id] = 0
	j.force[p.id] = append(j.force[p.id], forced{j.s.now, 0})
}

// holds takes what a member has to serve.
func (j *judge) holds(p *proc, version uint64, doc *controlplane.Document) {
	if j.held[p.id] == version && version > 0 {
		return
	}
	if version < j.held[p.id] && p.voter == nil {
		j.broken("%s went from version %d back to %d", p.name, j.held[p.id], version)
	}
	j.held[p.id] = version
	j.version(p, version, doc)
}

// version checks that it is one proposal's, made from the version right before, and everywhere the same.
func (j *judge) version(p *proc, version uint64, doc *controlplane.Document) {
	if version == 0 {
		return
	}
	digest := doc.Digest()
	if had, seen := j.chain[version]; seen && had != digest {
		j.broken("%s has another version %d than others", p.name, version)
		return
	}
	j.chain[version] = digest
	switch x := j.proposals[digest]; {
	case x == nil:
		j.broken("%s has a version %d that nobody proposed", p.name, version)
	case x.base != version-1:
		j.broken("%s has version %d, proposed upon %d", p.name, version, x.base)
	case x.refused:
		j.broken("%s has version %d, whose proposer was told that it is refused", p.name, version)
	case x.version != 0 && x.version != version:
		j.broken("%s has as version %d what was acknowledged as %d", p.name, version, x.version)
	}
}

func (j *judge) inForce(p *proc, c controlplane.VersionedDocument) {
	if c.Version <= j.held[p.id] {
		j.broken("%s puts version %d in force after %d", p.name, c.Version, j.held[p.id])
	}
	j.held[p.id] = c.Version
	j.version(p, c.Version, c.Document)
	j.force[p.id] = append(j.force[p.id], forced{j.s.now, c.Version})
	j.s.trace("%s has %d in force", p.name, c.Version)
}

// ages holds what each says of its copy's age against what was acknowledged by then.
func (j *judge) ages() {
	for _, p := range j.s.procs {
		if !p.up || p.frozen || p.busy { // can't be asked
			continue
		}
		var fresh float64
		var held uint64
		if p.voter != nil {
			fresh = p.voter.FreshAsOf() - p.clock
			held, _ = p.voter.History().Head()
			if why := p.voter.StoreFault(); why != "" {
				j.broken("%s: %s", p.name, why)
			}
		} else {
			st := p.follower.State(j.s.at(p))
			fresh, held = j.s.now-st.StalenessMs, st.StoredVersion
		}
		if n := sort.Search(len(j.acked), func(k int) bool { return j.acked[k].acked >= fresh-0.001 }); n > 0 && j.highest[n-1] > held {
			j.broken("%s claims an age of %.0f ms with version %d, and %d was acknowledged %.0f ms ago", p.name, j.s.now-fresh, held,
				j.highest[n-1], j.s.now-j.acked[n-1].acked)
		}
	}
}

// bad notes that a process (a and b are the same) or a link can't be used for a while from now on.
func (j *judge) bad(a, b int, ms float64) {
	j.badness[[2]int{a, b}] = append(j.badness[[2]int{a, b}], span{j.s.now, j.s.now + ms})
}

// good are the times at which all of some processes, and all links between them that are named, can be used.
func (j *judge) good(all ...[2]int) []span {
	var out []span
	for _, what := range all {
		out = append(out, j.badness[what]...)
	}
	slices.SortFunc(out, func(a, b span) int {
		if a.from < b.from {
			return -1
		}
		return 1
	})
	var free []span
	at := j.base
	for _, b := range out {
		if b.from > at {
			free = append(free, span{at, b.from})
		}
		at = max(at, b.to)
	}
	return append(free, span{at, math.Inf(1)})
}

func both(a, b int) [][2]int { return [][2]int{{a, b}, {b, a}} }

// whole are the ways of each node to a majority: a member, a voter that it follows (or is), a majority of which that one is part.
func (j *judge) whole() (all [][][2]int) {
	t := j.s.t
	var majorities [][]int
	for set := range 1 << t.Voters {
		var q []int
		for k := range t.Voters {
			if set>>k&1 == 1 {
				q = append(q, k)
			}
		}
		if len(q) == t.Voters/2+1 {
			majorities = append(majorities, q)
		}
	}
	for m := range t.Voters + t.Relays {
		for _, q := range majorities {
			for _, w := range q {
				way := [][2]int{{m, m}}
				if m < t.Voters {
					if w != m {
						continue
					}
				} else {
					way = append(way, both(m, w)...)
				}
				for n, a := range q {
					way = append(way, [2]int{a, a})
					for _, b := range q[:n] {
						way = append(way, both(a, b)...)
					}
				}
				all = append(all, way)
			}
		}
	}
	return all
}

// allowed are the times during which a node could have what is acknowledged, by one way that stays whole.
func (j *judge) allowed(node int, ways [][][2]int) (all []span) {
	for _, way := range ways {
		way = append(append(slices.Clone(way), [2]int{node, node}), both(node, way[0][0])...)
		for _, x := range j.good(way...) {
			if x.to-x.from >= within && !slices.Contains(all, x) {
				all = append(all, x)
			}
		}
	}
	if j.strict == Paths {
		return all
	}
	var quiet []span
	at, changes := j.base, []float64{}
	for _, f := range j.faults {
		changes = append(changes, j.base+f.At, j.base+f.Until)
	}
	slices.Sort(changes)
	for _, c := range append(changes, math.Inf(1)) {
		for _, x := range all {
			if both := (span{max(x.from, at), min(x.to, c)}); both.to-both.from >= within && !slices.Contains(quiet, both) {
				quiet = append(quiet, both)
			}
		}
		at = c
	}
	return quiet
}

// at tells what a node has in force.
func (j *judge) at(node int, when float64) uint64 {
	n := sort.Search(len(j.force[node]), func(k int) bool { return j.force[node][k].at > when })
	if n == 0 {
		return 0
	}
	return j.force[node][n-1].version
}

// end tells what was broken, at the end of a schedule.
func (j *judge) end() []string {
	if len(j.wrong) > 0 {
		return j.wrong
	}
	s := j.s
	top := uint64(0)
	if n := len(j.highest); n > 0 {
		top = j.highest[n-1]
	}
	for _, x := range j.acked {
		if had, seen := j.chain[x.version]; !seen || had != x.digest {
			j.broken("version %d was acknowledged and is lost", x.version)
			return j.wrong
		}
	}
	head := uint64(0)
	for version := range j.chain {
		head = max(head, version)
	}
	if head < top {
		j.broken("version %d was acknowledged, the newest is %d", top, head)
	}
	for _, p := range s.procs {
		if !p.up { // for good
			continue
		}
		if p.id < s.members() {
			if version, _ := p.history().Head(); version != head {
				j.broken("%s ends with version %d, the newest is %d", p.name, version, head)
			}
		} else if now := j.at(p.id, s.now); now != head {
			j.broken("%s ends with version %d in force, the newest is %d", p.name, now, head)
		}
	}
	j.leases(head)
	if j.strict == Finally || len(j.wrong) > 0 {
		return j.wrong
	}
	ways := j.whole()
	for node := s.members(); node < len(s.procs); node++ {
		spans := j.allowed(node, ways)
		for _, x := range j.acked {
			for _, a := range spans {
				from := max(x.acked, a.from)
				if by := from + within; by <= min(a.to, s.now) && j.at(node, by) < x.version {
					j.broken("%s has not version %d in force at %.0f: acknowledged at %.0f, could be reached from %.0f on", s.procs[node].name, x.version,
						by-j.base, x.acked-j.base, a.from-j.base)
					return j.wrong
				}
			}
			j.count(node, x, spans)
		}
	}
	return j.wrong
}

// leases holds what members together tell of followers, the latest word of each, against what these have in force at the end.
func (j *judge) leases(head uint64) {
	s := j.s
	latest, ago := map[string]controlplane.Lease{}, map[string]float64{}
	for _, m := range s.procs[:s.members()] {
		if !m.up {
			continue
		}
		for _, l := range m.server.Leases(s.at(m)) {
			if since := s.at(m) - l.LastSeenAt; ago[l.Name] == 0 || since < ago[l.Name] {
				latest[l.Name], ago[l.Name] = l, since
			}
		}
	}
	for _, p := range s.procs[s.members():] {
		l, known := latest[p.name]
		switch {
		case !p.up:
		case !known:
			j.broken("no member knows of %s", p.name)
		case l.AppliedVersion != head || l.StoredVersion != head || l.BehindMs != 0 || l.Region != p.region:
			j.broken("%s has version %d in force, members say %+v", p.name, head, l)
		}
	}
}

// count takes how late a version was at a node, from when it was acknowledged and first could be had.
func (j *judge) count(node int, x *proposal, spans []span) {
	from := math.Inf(1)
	for _, a := range spans {
		if a.to >= x.acked+within {
			from = min(from, max(a.from, x.acked))
		}
	}
	if math.IsInf(from, 1) {
		return
	}
	for _, f := range j.force[node] {
		if f.version >= x.version {
			late := max(f.at-from, 0)
			j.pairs++
			j.worst = max(j.worst, late)
			if late > soon {
				j.late++
			}
			return
		}
	}
}
