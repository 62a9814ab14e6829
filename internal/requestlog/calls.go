package requestlog

import (
	"maps"
	"math"
	"slices"

	"pearknot/internal/snapshot"
)

// Calls: a member looks up a key or appends a record by calling the leader of the key's log, which may be itself. A call
// without a reply is sent again, to the log's current leader, until its deadline.
const (
	// callRetryMs is the time that a call waits for its reply before it is sent again: several round trips between regions.
	callRetryMs = 200.0
	// notLeaderRetryMs is the time that a call waits before it is sent again after a NotLeader reply. It is shorter than
	// callRetryMs, since the leader is known after the next heartbeat or raft message.
	notLeaderRetryMs = 2 * TickMs
	// startupGraceMs is the time after its start in which a process does not consider itself isolated: it may not have
	// connected yet, and its predecessor may still use the member's address.
	startupGraceMs = 2500.0
)

// Call is a remote procedure call to the leader of a log, which looks up a key or appends a record. It is unrelated to
// upstream.Call, which is an attempt at a backend.
type Call struct {
	Seq    uint64
	Lookup bool
	Record Record // for a lookup, only Key and Request.Fingerprint are set
}

// CallReply is a leader's reply to a call.
type CallReply struct {
	Seq    uint64
	Result Result
	Answer FinalAnswer // set for KeyAnswered
}

// Reply is the result of a Lookup or Append of this member.
type Reply struct {
	ID     uint64 // as passed to Lookup or Append
	Result Result
	Answer FinalAnswer // set for KeyAnswered
	SentAt float64     // when the call was sent that this replies to; a lease starts at this time
}

// pendingCall is a call of this member that has no reply yet.
type pendingCall struct {
	id       uint64
	seq      uint64  // sequence number of the latest transmission
	sentAt   float64 // time of the latest transmission
	deadline float64
	logIndex int
	isLookup bool
	record   Record
}

// Lookup looks up the state of a key in its log. The result is a Reply with the given ID; after the deadline it is NoQuorum.
func (m *Member) Lookup(now float64, id uint64, key string, fingerprint uint64, deadline float64) {
	m.now = now
	m.sendCall(&pendingCall{
		id:       id,
		deadline: deadline,
		logIndex: m.LogOf(key),
		isLookup: true,
		record:   Record{Key: key, Request: Request{Fingerprint: fingerprint}},
	})
}

// Append appends a record to the log of its key. The result is a Reply with the given ID: Committed once the record is on
// a majority of the replicas. After the deadline it is NoQuorum, and the record may be committed nevertheless.
func (m *Member) Append(now float64, id uint64, record Record, deadline float64) {
	m.now = now
	if record.Kind == AttemptStarted && record.Attempt.Number == 0 {
		if m.ownedKeys[record.Key] {
			m.outputs = append(m.outputs, Output{Reply: &Reply{ID: id, Result: KeyInFlight, SentAt: now}})
			return
		}
		m.ownedKeys[record.Key] = true
	}
	record.Owner = m.self
	m.sendCall(&pendingCall{id: id, deadline: deadline, logIndex: m.LogOf(record.Key), record: record})
}

// leaderOf returns the member that leads a log, if it is known.
func (m *Member) leaderOf(logIndex int) (member int, known bool) {
	if replica := m.replicas[logIndex]; replica != nil {
		if replica.canServe(m.config.Replicas) {
			return m.config.Self, true
		}
		if voterID := replica.leader(); voterID != 0 {
			leader := incarnationOf(voterID).Member()
			if leader != m.config.Self && m.peers[leader].connected {
				return leader, true
			}
		}
	}
	return m.leaderByHeartbeats(logIndex)
}

// leaderByHeartbeats returns the member that leads a log according to its own heartbeats. A leader that was cut off may report
// that for a while after another was elected, so the report of the latest generation and term counts.
func (m *Member) leaderByHeartbeats(logIndex int) (member int, known bool) {
	var latest LogStatus
	for i := range m.peers {
		peer := &m.peers[i]
		if peer.heartbeat == nil || !peer.connected {
			continue
		}
		for _, status := range peer.heartbeat.Logs {
			if status.Log != logIndex || !status.IsLeader {
				continue
			}
			if !known || status.isLaterThan(&latest) {
				member, known, latest = i, true, status
			}
		}
	}
	return member, known
}

// sendCall sends a call to the leader of its log with a new sequence number. If the leader is not known, retryCalls sends the
// call later.
func (m *Member) sendCall(call *pendingCall) {
	delete(m.pendingCalls, call.seq)
	m.lastCallSeq++
	call.seq, call.sentAt = m.lastCallSeq, m.now
	m.pendingCalls[call.seq] = call
	leader, known := m.leaderOf(call.logIndex)
	if !known {
		return
	}
	request := Call{Seq: call.seq, Lookup: call.isLookup, Record: call.record}
	if leader == m.config.Self {
		m.serveCall(m.self, call.logIndex, request)
		return
	}
	m.sendFrame(leader, &Frame{Kind: frameCall, Log: call.logIndex, Call: request})
}

// serveCall serves a call from an incarnation, which may be this one, if this member leads the log. The reply to an appended
// record is sent once the record is applied.
func (m *Member) serveCall(caller Incarnation, logIndex int, call Call) {
	replica := m.replicas[logIndex]
	switch {
	case replica == nil || !replica.canServe(m.config.Replicas):
		m.replyTo(caller, CallReply{Seq: call.Seq, Result: NotLeader})
	case call.Lookup:
		result, answer := replica.ledger.lookup(call.Record.Key, call.Record.Request.Fingerprint)
		m.replyTo(caller, CallReply{call.Seq, result, answer})
	case call.Record.Owner != caller || call.Record.Kind == 0 || call.Record.Kind > RequestAnswered:
		m.replyTo(caller, CallReply{Seq: call.Seq, Result: InvalidRecord})
	default:
		record := call.Record
		record.LeaderTime, record.Caller, record.CallSeq = m.now, caller, call.Seq
		if err := replica.node.Propose(snapshot.AppendStruct(nil, &record)); err != nil {
			// A leadership transfer is in progress, or too many bytes are uncommitted. Both are temporary, so the reply makes
			// the caller retry; LogFull would make it give up.
			m.replyTo(caller, CallReply{Seq: call.Seq, Result: NotLeader})
		}
	}
}

func (m *Member) replyTo(caller Incarnation, reply CallReply) {
	if caller == m.self {
		m.receiveReply(reply)
	} else if m.peers[caller.Member()].incarnation == caller {
		m.sendFrame(caller.Member(), &Frame{Kind: frameReply, Reply: reply})
	}
}

// receiveReply handles a leader's reply. A reply to an earlier transmission of a call is dropped: a lease starts at the time
// of the transmission that the reply belongs to, and only the time of the latest one is stored.
func (m *Member) receiveReply(reply CallReply) {
	call := m.pendingCalls[reply.Seq]
	if call == nil {
		return
	}
	if reply.Result == NotLeader {
		call.sentAt = math.Min(call.sentAt, m.now-callRetryMs+notLeaderRetryMs)
		return
	}
	delete(m.pendingCalls, reply.Seq)
	m.finishCall(call, reply.Result, reply.Answer)
}

func (m *Member) finishCall(call *pendingCall, result Result, answer FinalAnswer) {
	if record := &call.record; !call.isLookup {
		isFirstAttempt := record.Kind == AttemptStarted && record.Attempt.Number == 0
		if record.Kind == RequestAnswered || isFirstAttempt && result != Committed {
			delete(m.ownedKeys, record.Key)
		}
	}
	m.outputs = append(m.outputs, Output{Reply: &Reply{ID: call.id, Result: result, Answer: answer, SentAt: call.sentAt}})
}

// retryCalls ends the calls whose deadline has passed, and resends, in their order, those that have waited for callRetryMs.
// While this member is isolated no call can succeed, so calls end within a tick instead of at their deadline.
func (m *Member) retryCalls() {
	for _, seq := range slices.Sorted(maps.Keys(m.pendingCalls)) {
		call := m.pendingCalls[seq]
		waited := m.now - call.sentAt
		switch {
		case m.now >= call.deadline, m.isIsolated() && waited >= TickMs:
			delete(m.pendingCalls, seq)
			m.finishCall(call, NoQuorum, FinalAnswer{})
		case waited >= callRetryMs:
			m.sendCall(call)
		}
	}
}

// isIsolated reports whether this member is connected with too few others to form a majority of any log's replicas.
func (m *Member) isIsolated() bool {
	if m.now < m.startedAt+startupGraceMs {
		return false
	}
	reachable := 1 // itself
	for i := range m.peers {
		if m.peers[i].connected {
			reachable++
		}
	}
	return 2*reachable <= m.config.Replicas
}
