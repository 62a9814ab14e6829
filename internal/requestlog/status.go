package requestlog

// Status is the state of a member and of all logs as the member sees them, for operators. Scripts read its JSON, so the
// tags keep their original terms: "life" is an incarnation, "linked" connected, "whole" complete, "in_hand" in flight, and
// "of" the member whose log it is.
type Status struct {
	Self        string      `json:"self"`
	Incarnation uint64      `json:"life"`
	Peers       []PeerState `json:"peers"`
	Logs        []LogState  `json:"logs"`
	Takeovers   uint64      `json:"took_over"` // requests that this process has taken over; counted by the host
}

// PeerState is the state of another member as this member sees it.
type PeerState struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"life"` // 0 if unknown
	Connected   bool    `json:"linked"`
	SilentMs    float64 `json:"silent_ms"` // time since its last frame
}

// LogState is the state of one log as this member sees it. The fields after Complete describe this member's replica.
type LogState struct {
	Member      string   `json:"of"` // name of the log's member
	HasReplica  bool     `json:"holds"`
	Leader      string   `json:"leader"` // empty if unknown
	Complete    bool     `json:"whole"`  // its leader reports that as many live members as configured have replicas
	Term        uint64   `json:"term"`
	Voters      []string `json:"voters"`
	Lag         uint64   `json:"lag"` // number of entries that are stored but not applied
	InFlight    int      `json:"in_hand"`
	Records     int      `json:"records"`    // requests in the ledger, in flight or answered
	Bytes       int      `json:"bytes"`      // size of the ledger
	MemoryBytes int      `json:"held_bytes"` // size of the ledger, its snapshot and the records since
}

// Status returns the member's status. Takeovers is left 0, since the host counts it.
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

// isCompleteBy reports whether the log's leader reports it as complete.
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
