package requestlog

// Status is the state of a member and of all logs as the member sees them, for operators. Scripts read its JSON, so the
// tags keep the words that they had first: "life" is an incarnation, "linked" connected, "whole" complete, "in_hand" in
// flight, and "of" the member whose log it is.
type Status struct {
	Self        string      `json:"self"`
	Incarnation uint64      `json:"life"`
	Peers       []PeerState `json:"peers"`
	Logs        []LogState  `json:"logs"`
	Takeovers   uint64      `json:"took_over"` // requests that this process has taken over; counted by the host
}

// PeerState is what is known of another member.
type PeerState struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"life"` // 0 is unknown
	Connected   bool    `json:"linked"`
	SilentMs    float64 `json:"silent_ms"` // since its last frame
}

// LogState is one log as this member sees it. What follows Complete is of its own replica.
type LogState struct {
	Member      string   `json:"of"` // whose log it is
	HasReplica  bool     `json:"holds"`
	Leader      string   `json:"leader"` // empty is unknown
	Complete    bool     `json:"whole"`  // its leader says that as many live members as configured hold replicas
	Term        uint64   `json:"term"`
	Voters      []string `json:"voters"`
	Lag         uint64   `json:"lag"` // entries that are stored and not applied
	InFlight    int      `json:"in_hand"`
	Records     int      `json:"records"`    // requests in the ledger, in flight or answered
	Bytes       int      `json:"bytes"`      // of the ledger
	MemoryBytes int      `json:"held_bytes"` // of the ledger, its snapshot and the records since
}

// Status returns the member's status, without Takeovers, which the host counts.
func (m *Member) Status() Status {
	status := Status{Self: m.config.Members[m.config.Self], Incarnation: m.config.Incarnation}
	for i := range m.peers {
		if i == m.config.Self {
			continue
		}
		peer := &m.peers[i]
		status.Peers = append(status.Peers, PeerState{
			Name:        m.config.Members[i],
			Incarnation: peer.incarnation.number(),
			Connected:   peer.connected,
			SilentMs:    m.now - peer.lastReceivedAt,
		})
	}
	for logIndex := range m.replicas {
		status.Logs = append(status.Logs, m.logState(logIndex))
	}
	return status
}

func (m *Member) logState(logIndex int) LogState {
	state := LogState{Member: m.config.Members[logIndex]}
	if leader, known := m.leaderOf(logIndex); known {
		state.Leader = m.config.Members[leader]
		state.Complete = m.isCompleteBy(leader, logIndex)
	}
	replica := m.replicas[logIndex]
	if replica == nil {
		return state
	}
	state.HasReplica, state.Term = true, replica.term()
	for _, voterID := range replica.confState.GetVoters() {
		state.Voters = append(state.Voters, m.config.Members[incarnationOf(voterID).Member()])
	}
	if last, err := replica.storage.LastIndex(); err == nil && last > replica.appliedIndex {
		state.Lag = last - replica.appliedIndex
	}
	state.InFlight = len(replica.ledger.unanswered)
	state.Records = len(replica.ledger.entries)
	state.Bytes = replica.ledger.bytes
	state.MemoryBytes = replica.ledger.bytes + replica.bytesSinceSnapshot
	if stored, err := replica.storage.Snapshot(); err == nil {
		state.MemoryBytes += len(stored.GetData())
	}
	return state
}

// isCompleteBy reports whether a log's leader says that it is complete.
func (m *Member) isCompleteBy(leader, logIndex int) bool {
	if leader == m.config.Self {
		return m.logStatus(logIndex).Complete
	}
	heartbeat := m.peers[leader].heartbeat
	if heartbeat == nil {
		return false
	}
	for _, status := range heartbeat.Logs {
		if status.Log == logIndex && status.Complete {
			return true
		}
	}
	return false
}
