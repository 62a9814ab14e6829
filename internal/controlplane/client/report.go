package client

import (
	"cmp"
	"maps"
	"slices"

	"pearknot/internal/controlplane"
)

// BehindFor is how long (ms) a node may be behind before a status says no: the bound that the control plane states.
const BehindFor = 6000.0

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
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Voter   bool     `json:"voter"`
	Unknown string   `json:"unknown,omitempty"` // why it did not answer
	Head    uint64   `json:"head"`
	AgeMs   *float64 `json:"age_ms,omitempty"`
	Follows string   `json:"follows,omitempty"`
	Nodes   int      `json:"nodes"`
}

// ReportRegion is a region's nodes.
type ReportRegion struct {
	Region  string  `json:"region"`
	Nodes   int     `json:"nodes"`
	Behind  int     `json:"behind"`
	WorstMs float64 `json:"worst_ms"`
}

// ReportNode is a node.
type ReportNode struct {
	FollowerStatus
	Member string `json:"member"`
}

// Reported puts the members' answers together: of a node that several know of, the latest word counts.
func Reported(all []Asked) *Report {
	r := &Report{Members: []ReportMember{}, Regions: []ReportRegion{}, Behind: []ReportNode{}}
	nodes := map[string]ReportNode{}
	for _, a := range all {
		m := ReportMember{Name: a.Member.Name, Region: a.Member.Region, Voter: a.Member.Voter}
		if a.Err != nil {
			m.Unknown = a.Err.Error()
			r.Members = append(r.Members, m)
			continue
		}
		s := a.Status
		m.Head, m.AgeMs, m.Follows = s.Head, s.AgeMs, s.Follows
		if s.Head >= r.Version {
			r.Version, r.Digest = s.Head, s.Digest
		}
		if s.Leader == s.Name { // by its own word; one that was deposed and doesn't know yet is not fresh
			if r.Leader == "" || s.AgeMs != nil && *s.AgeMs < freshWithin {
				r.Leader = s.Leader
			}
		}
		for _, f := range s.Followers {
			if f.Kind != controlplane.KindNode {
				continue
			}
			m.Nodes++
			if old, known := nodes[f.Name]; !known || f.SeenMs < old.SeenMs {
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
		if n.InForce >= r.Version {
			continue
		}
		if k := slices.IndexFunc(r.Members, func(m ReportMember) bool { return m.Name == n.Member }); r.Members[k].Head < r.Version && r.Members[k].AgeMs != nil {
			n.BehindMs = max(n.BehindMs, *r.Members[k].AgeMs) // its member doesn't have the version either
		}
		g.Behind++
		g.WorstMs = max(g.WorstMs, n.BehindMs)
		r.Behind = append(r.Behind, n)
	}
	slices.SortStableFunc(r.Behind, func(a, b ReportNode) int { return cmp.Compare(b.BehindMs, a.BehindMs) })
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		r.Regions = append(r.Regions, *regions[name])
	}
	return r
}

// Fault tells the first thing for which a check says no; empty is none.
func (r *Report) Fault() string {
	for _, m := range r.Members {
		if m.Unknown != "" {
			return "member " + m.Name + " does not answer"
		}
	}
	for _, n := range r.Behind {
		switch {
		case n.Refused > n.InForce:
			return "node " + n.Name + " refuses: " + n.Why
		case n.BehindMs > BehindFor:
			return "node " + n.Name + " is behind"
		}
	}
	return ""
}
