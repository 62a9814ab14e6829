package client

import (
	"cmp"
	"maps"
	"slices"

	"pearknot/internal/controlplane"
)

const (
	// MaxBehindMs is the time that a node may be behind the head before a status check fails: the bound that the control plane
	// guarantees.
	MaxBehindMs = 6000.0

	// maxLeaderStalenessMs is the staleness below which a member's report that it leads is trusted. A deposed leader that doesn't know
	// it yet is staler.
	maxLeaderStalenessMs = 2000.0
)

// Report is the state of the control plane, from all members' statuses. Its JSON form is the output of --json.
type Report struct {
	Version uint64         `json:"version"`
	Digest  string         `json:"digest,omitempty"`
	Leader  string         `json:"leader,omitempty"`
	Members []ReportMember `json:"members"`
	Regions []ReportRegion `json:"regions"`
	Behind  []ReportNode   `json:"behind"` // nodes that have not applied Version, the one that has been behind longest first
}

// ReportMember is the state of a member.
type ReportMember struct {
	Name              string   `json:"name"`
	Region            string   `json:"region"`
	Voter             bool     `json:"voter"`
	UnreachableReason string   `json:"unknown,omitempty"` // why it has not responded; the fields below are then unknown
	Head              uint64   `json:"head"`
	StalenessMs       *float64 `json:"age_ms,omitempty"`
	Follows           string   `json:"follows,omitempty"`
	Nodes             int      `json:"nodes"`
}

// ReportRegion counts the nodes of a region.
type ReportRegion struct {
	Region        string  `json:"region"`
	Nodes         int     `json:"nodes"`
	Behind        int     `json:"behind"`
	WorstBehindMs float64 `json:"worst_ms"`
}

// ReportNode is the state of a node, with the member that it follows.
type ReportNode struct {
	FollowerStatus
	Member string `json:"member"`
}

// NewReport combines the members' statuses. For a node that several members know, the latest status is used.
func NewReport(results []StatusResult) *Report {
	r := &Report{Members: []ReportMember{}, Regions: []ReportRegion{}, Behind: []ReportNode{}}
	nodes := map[string]ReportNode{}
	for i := range results {
		r.addMember(&results[i], nodes)
	}
	regions := map[string]*ReportRegion{}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		region := regions[node.Region]
		if region == nil {
			region = &ReportRegion{Region: node.Region}
			regions[node.Region] = region
		}
		r.addNode(region, node)
	}
	slices.SortStableFunc(r.Behind, func(a, b ReportNode) int { return cmp.Compare(b.BehindMs, a.BehindMs) })
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		r.Regions = append(r.Regions, *regions[name])
	}
	return r
}

// addMember adds a member to the report, and its nodes to nodes.
func (r *Report) addMember(result *StatusResult, nodes map[string]ReportNode) {
	member := ReportMember{Name: result.Member.Name, Region: result.Member.Region, Voter: result.Member.Voter}
	if result.Err != nil {
		member.UnreachableReason = result.Err.Error()
		r.Members = append(r.Members, member)
		return
	}
	status := result.Status
	member.Head, member.StalenessMs, member.Follows = status.Head, status.StalenessMs, status.Follows
	if status.Head >= r.Version {
		r.Version, r.Digest = status.Head, status.Digest
	}
	if status.Leader == status.Name { // a member knows best whether it is the leader itself
		isFresh := status.StalenessMs != nil && *status.StalenessMs < maxLeaderStalenessMs
		if r.Leader == "" || isFresh {
			r.Leader = status.Leader
		}
	}
	for _, follower := range status.Followers {
		if follower.Kind != controlplane.KindNode {
			continue
		}
		member.Nodes++
		if known, ok := nodes[follower.Name]; !ok || follower.LastSeenMs < known.LastSeenMs {
			nodes[follower.Name] = ReportNode{FollowerStatus: follower, Member: status.Name}
		}
	}
	r.Members = append(r.Members, member)
}

// addNode counts a node in its region, and adds it to Behind if it is behind. All members must have been added before.
func (r *Report) addNode(region *ReportRegion, node ReportNode) {
	region.Nodes++
	if node.AppliedVersion >= r.Version {
		return
	}
	i := slices.IndexFunc(r.Members, func(m ReportMember) bool { return m.Name == node.Member })
	if member := r.Members[i]; member.Head < r.Version && member.StalenessMs != nil {
		// The node's member lacks the version too. It knows only earlier versions, so the node may be behind for as long as the member
		// may be.
		node.BehindMs = max(node.BehindMs, *member.StalenessMs)
	}
	region.Behind++
	region.WorstBehindMs = max(region.WorstBehindMs, node.BehindMs)
	r.Behind = append(r.Behind, node)
}

// FirstProblem returns the first reason why a status check fails, or an empty string.
func (r *Report) FirstProblem() string {
	for _, member := range r.Members {
		if member.UnreachableReason != "" {
			return "member " + member.Name + " does not answer"
		}
	}
	for _, node := range r.Behind {
		switch {
		case node.RejectedVersion > node.AppliedVersion:
			return "node " + node.Name + " refuses: " + node.RejectReason
		case node.BehindMs > MaxBehindMs:
			return "node " + node.Name + " is behind"
		}
	}
	return ""
}
