package requestlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/snapshot"
)

// quorumLostAfterMs is the time for which the members' statuses must show, unchanged, that a log has lost its quorum; only
// then is the log bootstrapped again. The time is enough for several elections.
const quorumLostAfterMs = 3000.0

// maybeBootstrap bootstraps this member's own log, with its own replica as the only voter, if the log does not exist or has
// lost its quorum for good. Each bootstrap begins a new generation of the log.
//
// Two generations at once could let two requests with the same key run, so:
//   - only the member itself bootstraps its log, so no two members do;
//   - if it knows of no earlier generation, it bootstraps only when no member that it has heard from knows the log, and the
//     members that it has not heard from are too few to hold a majority of the log's replicas;
//   - if it knows of an earlier generation, it must have heard from all members, and their statuses must show, unchanged for
//     quorumLostAfterMs, that no member leads the log and that no majority of the log's replicas is left;
//   - a heartbeat counts only if it echoes this process's current nonce. One from before a pause of this process may be
//     outdated; counting such heartbeats led to a second generation while the first was still active.
func (m *Member) maybeBootstrap() {
	own := m.config.Self
	replica := m.replicas[own]
	if m.shuttingDown || replica != nil && (replica.isLeader || replica.leader() != 0) {
		m.bootstrapDigestSince = m.now
		return
	}
	evidence := m.collectBootstrapEvidence()
	if m.knownGenerations[own] == 0 {
		if evidence.unheardMembers <= (m.config.Replicas-1)/2 {
			m.bootstrap()
		}
		return
	}
	if digest := evidence.digest(); evidence.unheardMembers > 0 || evidence.hasLeader || digest != m.bootstrapDigest {
		m.bootstrapDigest, m.bootstrapDigestSince = digest, m.now
		return
	}
	if evidence.hasQuorum() {
		m.bootstrapDigestSince = m.now
		return
	}
	if m.now-m.bootstrapDigestSince <= quorumLostAfterMs {
		return
	}
	m.logEvent(Event{Message: "request log lost its quorum, bootstrapping a new generation", Log: m.config.Members[own]})
	if replica != nil {
		m.dropReplica(own)
	}
	m.bootstrap()
}

// bootstrapEvidence summarizes what the members' heartbeats report about this member's own log.
type bootstrapEvidence struct {
	unheardMembers int         // number of members from which no heartbeat has arrived since this process last started, was paused or lost its link to them
	hasLeader      bool        // whether a member reports that it leads the log
	statuses       []LogStatus // statuses of the members with a replica
}

func (m *Member) collectBootstrapEvidence() bootstrapEvidence {
	own := m.config.Self
	var evidence bootstrapEvidence
	if m.replicas[own] != nil {
		evidence.statuses = append(evidence.statuses, m.logStatus(own))
	}
	for i := range m.peers {
		if i == own {
			continue
		}
		peer := &m.peers[i]
		if peer.heartbeat == nil || !peer.connected || peer.heartbeat.EchoedNonces[own] != m.nonce {
			evidence.unheardMembers++
			continue
		}
		for _, status := range peer.heartbeat.Logs {
			if status.Log == own && status.HasReplica {
				evidence.hasLeader = evidence.hasLeader || status.IsLeader
				evidence.statuses = append(evidence.statuses, status)
			}
		}
	}
	return evidence
}

func (e *bootstrapEvidence) digest() uint64 {
	return xxhash.Sum64(snapshot.AppendStruct(nil, &Heartbeat{Logs: e.statuses}))
}

// hasQuorum reports whether the remaining replicas can elect a leader. The voters are taken from the replica that has applied
// most entries: replicas that lag behind may still have the voters from before a change.
func (e *bootstrapEvidence) hasQuorum() bool {
	if len(e.statuses) == 0 {
		return false
	}
	latest := slices.MaxFunc(e.statuses, func(a, b LogStatus) int { return cmp.Compare(a.Applied, b.Applied) })
	remaining := map[uint64]bool{}
	for _, status := range e.statuses {
		remaining[status.VoterID] = true
	}
	isJoint := len(latest.OutgoingVoters) > 0
	return isMajority(latest.Voters, remaining) && (!isJoint || isMajority(latest.OutgoingVoters, remaining))
}

// isMajority reports whether a majority of the voters remains.
func isMajority(voters []uint64, remaining map[uint64]bool) bool {
	count := 0
	for _, voterID := range voters {
		if remaining[voterID] {
			count++
		}
	}
	return 2*count > len(voters)
}

// bootstrap begins a new generation of this member's own log. The generation's number is the current time,
// or the known generation's number plus 1 if that is higher, so that a number is not reused even if no member knows the
// earlier generations any more.
func (m *Member) bootstrap() {
	own := m.config.Self
	generation := max(m.knownGenerations[own]+1, uint64(m.now))
	replica, err := bootstrapReplica(&m.config, own, generation, m.voterIDs[own])
	if err != nil {
		m.logEvent(Event{Message: "request log bootstrap failed", Log: m.config.Members[own], Err: err})
		return
	}
	m.replicas[own] = replica
	m.knownGenerations[own] = generation
}
