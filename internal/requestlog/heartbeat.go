package requestlog

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// heartbeatIntervalMs is the time between two heartbeats of a member: a tenth of PeerTimeoutMs.
	heartbeatIntervalMs = 100.0
	// removedReplicaLingerMs is the time for which a replica that was removed from its log's voters is kept and still votes.
	removedReplicaLingerMs = 2000.0
)

// Heartbeat is the state that a member sends to all others every heartbeatIntervalMs.
type Heartbeat struct {
	ShuttingDown bool
	Nonce        uint64
	EchoedNonces []uint64 // by member, the latest nonce received from it
	Logs         []LogStatus
}

// LogStatus is the state of one log at a member.
type LogStatus struct {
	Log             int // index of the log
	Generation      uint64
	KnownGeneration uint64 // the latest generation of the log that the member knows of
	VoterID         uint64 // ID with which the member is in the log, or would join it
	HasReplica      bool
	IsLeader        bool
	Term            uint64
	Voters          []uint64
	OutgoingVoters  []uint64 // of a joint configuration, the voters before the change
	Applied         uint64   // index of the last entry applied
	Complete        bool     // the member leads the log, and as many live members as configured have replicas of it
}

// isLaterThan reports whether this status of a log is of a later generation, or of a later term of the same one.
func (s *LogStatus) isLaterThan(other *LogStatus) bool {
	return cmp.Or(cmp.Compare(s.Generation, other.Generation), cmp.Compare(s.Term, other.Term)) > 0
}

func (s *LogStatus) isVoter(voterID uint64) bool {
	return slices.Contains(s.Voters, voterID) || slices.Contains(s.OutgoingVoters, voterID)
}

// peer holds this member's knowledge of another member.
type peer struct {
	incarnation    Incarnation // 0 if unknown
	connected      bool
	lastReceivedAt float64
	disconnectedAt float64
	heartbeat      *Heartbeat // the latest on this connection; nil if there is none
}

func (m *Member) sendHeartbeats() {
	heartbeat := Heartbeat{ShuttingDown: m.shuttingDown, Nonce: m.nonce, EchoedNonces: make([]uint64, len(m.peers))}
	for i := range m.peers {
		if latest := m.peers[i].heartbeat; latest != nil {
			heartbeat.EchoedNonces[i] = latest.Nonce
		}
	}
	for logIndex := range m.replicas {
		heartbeat.Logs = append(heartbeat.Logs, m.logStatus(logIndex))
	}
	data := encodeFrame(&Frame{Kind: frameHeartbeat, Heartbeat: heartbeat})
	for i := range m.peers {
		if i != m.config.Self && m.peers[i].connected {
			m.outputs = append(m.outputs, Output{To: i, Frame: data})
		}
	}
}

// logStatus returns this member's status of a log.
func (m *Member) logStatus(logIndex int) LogStatus {
	status := LogStatus{Log: logIndex, KnownGeneration: m.knownGenerations[logIndex], VoterID: m.voterIDs[logIndex]}
	replica := m.replicas[logIndex]
	if replica == nil {
		return status
	}
	status.Generation, status.HasReplica = replica.generation, true
	status.IsLeader = replica.isLeader && replica.readyTerm > 0
	status.Term = replica.term()
	status.Voters, status.OutgoingVoters = replica.confState.GetVoters(), replica.confState.GetVotersOutgoing()
	status.Applied = replica.appliedIndex
	status.Complete = replica.canServe(m.config.Replicas) && len(status.OutgoingVoters) == 0
	for _, voterID := range status.Voters {
		member := incarnationOf(voterID).Member()
		status.Complete = status.Complete && m.isAvailable(member) && m.voterIDOf(member, logIndex) == voterID
	}
	return status
}

func (m *Member) receiveHeartbeat(peer *peer, heartbeat *Heartbeat) error {
	if len(heartbeat.EchoedNonces) != len(m.peers) {
		return fmt.Errorf("%w: heartbeat from a fleet of %d members", ErrMalformedFrame, len(heartbeat.EchoedNonces))
	}
	for _, status := range heartbeat.Logs {
		if status.Log < 0 || status.Log >= len(m.replicas) {
			return fmt.Errorf("%w: heartbeat with the status of unknown log %d", ErrMalformedFrame, status.Log)
		}
		m.knownGenerations[status.Log] = max(m.knownGenerations[status.Log], status.KnownGeneration)
	}
	peer.heartbeat = heartbeat
	for i := range heartbeat.Logs {
		m.dropIfRemoved(&heartbeat.Logs[i])
	}
	return nil
}

// dropIfRemoved drops this member's replica of a log if the log's leader has a later generation, or if the log has been
// complete without this replica for removedReplicaLingerMs.
//
// A replica that was removed keeps voting for that time, because the other voters may not know yet that the change of voters
// is committed. If the leader fails at that moment, they still use the joint configuration, in which they need this vote:
// without it the log would never have a leader again.
func (m *Member) dropIfRemoved(leader *LogStatus) {
	replica := m.replicas[leader.Log]
	if replica == nil || !leader.IsLeader {
		return
	}
	isOutdated := leader.Generation < replica.generation || leader.Generation == replica.generation && leader.Term < replica.term()
	switch {
	case leader.Generation > replica.generation:
		m.dropReplica(leader.Log)
	case isOutdated, replica.isLeader, leader.isVoter(replica.voterID), !leader.Complete:
		replica.removedSince = 0
	case replica.removedSince == 0:
		replica.removedSince = m.now
	case m.now-replica.removedSince > removedReplicaLingerMs:
		m.dropReplica(leader.Log)
	}
}

// dropReplica drops this member's replica of a log. The replica's votes and entries are lost, so its voter ID is never used
// again: with the same ID the member could vote twice in a term, or lack entries that it has acknowledged.
func (m *Member) dropReplica(logIndex int) {
	m.replicas[logIndex] = nil
	m.voterIDs[logIndex]++
	m.nextHeartbeatAt = m.now
}

// isAvailable reports whether a member can hold replicas: it is connected, sends heartbeats and is not shutting down.
func (m *Member) isAvailable(member int) bool {
	if member == m.config.Self {
		return !m.shuttingDown
	}
	peer := &m.peers[member]
	return peer.connected && peer.heartbeat != nil && !peer.heartbeat.ShuttingDown && m.now-peer.lastReceivedAt < PeerTimeoutMs
}

// voterIDOf returns the voter ID with which an available member is in a log, or would join it. It returns 0 if unknown.
func (m *Member) voterIDOf(member, logIndex int) uint64 {
	if member == m.config.Self {
		return m.voterIDs[logIndex]
	}
	for _, status := range m.peers[member].heartbeat.Logs {
		if status.Log == logIndex {
			return status.VoterID
		}
	}
	return 0
}
