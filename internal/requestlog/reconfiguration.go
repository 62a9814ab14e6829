package requestlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// reconfigurationIntervalMs is the time between two checks of a leader which members should have replicas of its logs and
	// which should lead them.
	reconfigurationIntervalMs = 200.0
	// confChangeTimeoutMs is the time after which a change of voters that was proposed but not applied may be proposed again.
	confChangeTimeoutMs = 1000.0
)

// reconfigureLogs reconfigures the logs that this member leads: each should have as many available voters as configured and,
// once it has them, its own member as the leader. It changes a log's voters one step at a time.
func (m *Member) reconfigureLogs() {
	for logIndex, replica := range m.replicas {
		if replica == nil || !replica.isLeader || replica.readyTerm == 0 {
			continue
		}
		isJoint := len(replica.confState.GetVotersOutgoing()) > 0
		isPending := replica.confChangeProposedAt > 0 && m.now-replica.confChangeProposedAt < confChangeTimeoutMs
		if isJoint || isPending {
			continue
		}
		if changes := m.voterChanges(logIndex, replica); len(changes) > 0 {
			m.proposeVoterChanges(replica, changes)
		} else {
			m.transferLeadership(logIndex, replica)
		}
	}
}

// voterChanges returns the changes from the log's voters to the desired ones. A lost voter is removed only with or after the
// addition of its replacement, so no change reduces the number of voters below the configured one.
func (m *Member) voterChanges(logIndex int, log *replica) []*pb.ConfChangeSingle {
	voters := log.confState.GetVoters()
	desired := m.desiredVoters(logIndex, log)
	var changes []*pb.ConfChangeSingle
	change := func(kind pb.ConfChangeType, voterID uint64) {
		changes = append(changes, &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(voterID)})
	}
	for _, voterID := range desired {
		if !slices.Contains(voters, voterID) {
			change(pb.ConfChangeAddNode, voterID)
		}
	}
	surplus := len(voters) + len(changes) - m.config.Replicas
	for _, voterID := range voters {
		if surplus > 0 && voterID != log.voterID && !slices.Contains(desired, voterID) {
			change(pb.ConfChangeRemoveNode, voterID)
			surplus--
		}
	}
	return changes
}

// desiredVoters returns the voter IDs that should have replicas of a log. Of the available members it prefers the log's own
// member, then current voters, then others.
func (m *Member) desiredVoters(logIndex int, log *replica) []uint64 {
	voters := log.confState.GetVoters()
	preferences := []func(member int, voterID uint64) bool{
		func(member int, _ uint64) bool { return member == logIndex },
		func(_ int, voterID uint64) bool { return slices.Contains(voters, voterID) },
		func(int, uint64) bool { return true },
	}
	ranked := m.rankMembers(logIndex)
	var desired []uint64
	for _, isPreferred := range preferences {
		for _, member := range ranked {
			if len(desired) == m.config.Replicas || !m.isAvailable(member) {
				continue
			}
			voterID := m.voterIDOf(member, logIndex)
			if voterID != 0 && !slices.Contains(desired, voterID) && isPreferred(member, voterID) {
				desired = append(desired, voterID)
			}
		}
	}
	// The leader stays a voter until it has transferred the leadership: it can't commit its own removal and continue to lead.
	if len(desired) > 0 && !slices.Contains(desired, log.voterID) && !m.shuttingDown {
		desired[len(desired)-1] = log.voterID
	}
	return desired
}

// rankMembers orders the members for a log: the log's own member first, then by a hash that is the same at all members and
// distributes the replicas over them.
func (m *Member) rankMembers(logIndex int) []int {
	members := m.config.Members
	ranked := make([]int, len(members))
	weights := make([]uint64, len(members))
	for member := range ranked {
		ranked[member] = member
		weights[member] = xxhash.Sum64String(members[logIndex] + "\x00" + members[member])
	}
	slices.SortStableFunc(ranked, func(a, b int) int {
		switch {
		case a == b:
			return 0
		case a == logIndex:
			return -1
		case b == logIndex:
			return 1
		}
		return cmp.Compare(weights[a], weights[b])
	})
	return ranked
}

func (m *Member) proposeVoterChanges(log *replica, changes []*pb.ConfChangeSingle) {
	// Auto: uses a joint configuration if more than one voter changes, and leaves it as soon as it is committed.
	transition := pb.ConfChangeTransition_ConfChangeTransitionAuto
	if log.node.ProposeConfChange(&pb.ConfChangeV2{Transition: transition.Enum(), Changes: changes}) == nil {
		log.confChangeProposedAt = m.now
	}
}

// transferLeadership transfers the leadership of a log to its own member once that is a voter, or to any voter if this member
// is shutting down.
func (m *Member) transferLeadership(logIndex int, log *replica) {
	candidates := m.rankMembers(logIndex)
	if !m.shuttingDown {
		candidates = []int{logIndex}
	}
	for _, member := range candidates {
		if member == m.config.Self || !m.isAvailable(member) {
			continue
		}
		if voterID := m.voterIDOf(member, logIndex); slices.Contains(log.confState.GetVoters(), voterID) {
			log.node.TransferLeader(voterID)
			return
		}
	}
}
