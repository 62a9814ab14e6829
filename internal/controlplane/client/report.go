package client

import (
	"cmp"
	"maps"
	"slices"

	"pearknot/internal/controlplane"
)

// BehindFor is how long (ms) a node may be behind before a status says no: the bound that the control plane states.
const MaxBehindMs = 6000.0

// Report is the control plane as all its members' words show it together.
type Report struct {
	Version uint64         `json:"version"`
	Digest  string         `json:"digest,omitempty"`
	Leader  string         `json:"leader,omitempty"`
	Members []ReportMember `json:"members"`
	Regions []ReportRegion `json:"regions"`
	Behind  []ReportNode   `json:"behind"` // nodes that don't have the version in force
}

// ReportMember is a member; without an answer its state is unknown.
type ReportMember struct {
	Name              string   `json:"name"`
	Region            string   `json:"region"`
	Voter             bool     `json:"voter"`
	UnreachableReason string   `json:"unknown,omitempty"` // why it did not answer
	Head              uint64   `json:"head"`
	StalenessMs       *float64 `json:"age_ms,omitempty"`
	Follows           string   `json:"follows,omitempty"`
	Nodes             int      `json:"nodes"`
}

// ReportRegion is a region's nodes.
type ReportRegion struct {
	Region        string  `json:"region"`
	Nodes         int     `json:"nodes"`
	Behind        int     `json:"behind"`
	WorstBehindMs float64 `json:"worst_ms"`
}

// ReportNode is a node.
type ReportNode struct {
	FollowerStatus
	Member string `json:"member"`
}

// Reported puts the members' answers together: of a node that several know of, the latest word counts.
func NewReport(all []StatusResult) *Report {
	r := &Report{Members: []ReportMember{}, Regions: []ReportRegion{}, Behind: []ReportNode{}}
	nodes := map[string]ReportNode{}
	for _, a := range all {
		m := ReportMember{Name: a.Member.Name, Region: a.Member.Region, Voter: a.Member.Voter}
		if a.Err != nil {
			m.UnreachableReason = a.Err.Error()
			r.Members = append(r.Members, m)
			continue
		}
		s := a.Status
		m.Head, m.StalenessMs, m.Follows = s.Head, s.StalenessMs, s.Follows
		if s.Head >= r.Version {
			r.Version, r.Digest = s.Head, s.Digest
		}
		if s.Leader == s.Name { // by its own word; one that was deposed and doesn't know yet is not fresh
			if r.Leader == "" || s.StalenessMs != nil && *s.StalenessMs < maxFreshStalenessMs {
				r.Leader = s.Leader
			}
		}
		for _, f := range s.Followers {
			if f.Kind != controlplane.KindNode {
				continue
			}
			m.Nodes++
			if old, known := nodes[f.Name]; !known || f.LastSeenMs < old.LastSeenMs {
				nodes[f.Name] = ReportNode{f, s.Name}
			}
		}
		r.Members = append(r.Members, m)
	}
	regions := map[string]*ReportRegion{}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[name]
		g := regions[n.Region]
		if g == nil {
			g = &ReportRegion{Region: n.Region}
			regions[n.Region] = g
		}
		g.Nodes++
		if n.AppliedVersion >= r.Version {
			continue
		}
		if k := slices.IndexFunc(r.Members, func(m ReportMember) bool { return m.Name == n.Member }); r.Members[k].Head < r.Version && r.Members[k].StalenessMs != nil {
			n.BehindMs = max(n.BehindMs, *r.Members[k].StalenessMs) // its member doesn't have the version either
		}
		g.Behind++
		g.WorstBehindMs = max(g.WorstBehindMs, n.BehindMs)
		r.Behind = append(r.Behind, n)
	}
	slices.SortStableFunc(r.Behind, func(a, b ReportNode) int { return cmp.Compare(b.BehindMs, a.BehindMs) })
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		r.Regions = append(r.Regions, *regions[name])
	}
	return r
}

// Fault tells the first thing for which a check says no; empty is none.
func (r *Report) FirstProblem() string {
	for _, m := range r.Members {
		if m.UnreachableReason != "" {
			return "member " + m.Name + " does not answer"
		}
	}
	for _, n := range r.Behind {
		switch {
		case n.RejectedVersion > n.AppliedVersion:
			return "node " + n.Name + " refuses: " + n.RejectReason
		case n.BehindMs > MaxBehindMs:
			return "node " + n.Name + " is behind"
		}
	}
	return ""
}
