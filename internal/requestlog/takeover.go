package requestlog

import (
	"slices"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Takeover: the leader of a log proposes itself as the owner of each request whose owner is lost or whose deadline has long
// passed. Once OwnerChanged is committed the leader carries the request on as TakeoverAction says.
//
// Why no attempt runs twice: an owner starts an attempt only within LeaseMs of having sent the record of it. A successor
// takes an owner for lost only after PeerTimeoutMs of silence, or after ReconnectTimeoutMs without a link. A record that the
// former owner writes later is refused by the ledger, as the request belongs to another incarnation.
const (
	// PeerTimeoutMs is how long a connected member may send nothing before it is taken for lost: ten heartbeats.
	PeerTimeoutMs = 1000.0
	// ReconnectTimeoutMs is how long the link to a member may be down before the member is taken for lost.
	ReconnectTimeoutMs = 400.0
	// LeaseMs is how long after a call was sent its reply entitles the owner to start an attempt. It is shorter than
	// PeerTimeoutMs, so that the lease of a frozen owner has ended when it is taken for lost.
	LeaseMs = 700.0

	// overdueAfterMs is how long past its deadline a request stays unanswered before it is taken over from an owner that
	// lives: an owner that works would have failed it by then.
	overdueAfterMs = 500.0
	// proposalTimeoutMs is when a proposed takeover that was not applied is proposed again: two retries of a call.
	proposalTimeoutMs = 2 * callRetryMs
	// minTimeLeftMs is the time before its deadline with which a request is still worth an attempt.
	minTimeLeftMs = 20.0
)

// isLost reports whether an incarnation is gone, as far as this member can tell. It may be wrong, for instance where only
// the network between the two is cut; fencing in the ledger and the owner's lease make that harmless.
func (m *Member) isLost(owner Incarnation) bool {
	index := owner.Member()
	if index >= len(m.peers) {
		return true
	}
	peer := &m.peers[index]
	switch {
	case owner == m.self || m.now < m.suspectNobodyUntil:
		return false
	case index == m.config.Self, peer.incarnation.number() > owner.number():
		return true // a later incarnation of the same member has started
	case peer.connected:
		return m.now-peer.lastReceivedAt > PeerTimeoutMs
	}
	return m.now-peer.disconnectedAt > ReconnectTimeoutMs
}

// proposeTakeovers proposes this member as the owner of what lost members had, and of what is overdue, in a log that it leads.
func (m *Member) proposeTakeovers(log *replica) {
	for key, proposedAt := range log.takeoverProposedAt {
		if m.now-proposedAt > proposalTimeoutMs {
			delete(log.takeoverProposedAt, key)
		}
	}
	due := map[string]*Entry{}
	for key, entry := range log.ledger.unanswered {
		if _, isProposed := log.takeoverProposedAt[key]; !isProposed && m.isTakeoverDue(entry) {
			due[key] = entry
		}
	}
	for _, entry := range sortedEntries(due) {
		log.takeoverProposedAt[entry.Key] = m.now
		record := Record{Kind: OwnerChanged, Key: entry.Key, Owner: entry.Owner, NewOwner: m.self, LeaderTime: m.now}
		_ = log.node.Propose(snapshot.AppendStruct(nil, &record)) // proposed again after proposalTimeoutMs
	}
}

func (m *Member) isTakeoverDue(entry *Entry) bool {
	isAbandoned := entry.Owner == m.self && !m.ownedKeys[entry.Key] // a call timed out, but its record was committed later
	return m.isLost(entry.Owner) || m.now >= entry.Request.Deadline+overdueAfterMs || isAbandoned
}

// ownerChangeApplied hands a request to the host if this member has become its owner.
func (m *Member) ownerChangeApplied(log *replica, record *Record, result Result) {
	delete(log.takeoverProposedAt, record.Key)
	if result != Committed || record.NewOwner != m.self {
		return
	}
	entry := *log.ledger.entries[record.Key]
	entry.Attempts = slices.Clone(entry.Attempts)
	m.ownedKeys[record.Key] = true
	m.outputs = append(m.outputs, Output{TakenOver: &entry})
}

// TakeoverAction is what a successor does with a request that it has taken over.
type TakeoverAction uint8

// The actions of a successor.
const (
	ContinueRequest TakeoverAction = iota // give it to the balancer with its remaining time and its attempts so far
	RejectRequest                         // with Retry-After: no attempt ran, or it may run again
	FailRequest                           // an attempt may have run, and must not run again
)

// String names the action.
func (a TakeoverAction) String() string { return [...]string{"continue", "reject", "fail"}[a] }

// TakeoverAction returns what a successor does with an entry at a time, and the reason as a phrase for the log.
func (e *Entry) TakeoverAction(now float64) (TakeoverAction, string) {
	uncertain := e.UncertainAttempt()
	switch {
	case e.Request.Deadline-now < minTimeLeftMs:
		return e.rejectOrFail(), "deadline exceeded"
	case uncertain != nil && e.Request.Idempotency == balancer.AtMostOnce:
		return FailRequest, "an attempt may have run and the request is not idempotent"
	case uncertain != nil && e.Request.Idempotency == balancer.IdempotentWithKey && now-uncertain.StartedAt >= e.Request.DedupWindow:
		// Backends may have forgotten the idempotency key of the first attempt: a second one could run as if it were new.
		return e.rejectOrFail(), "an attempt may have run and its deduplication window is over"
	}
	return ContinueRequest, "taken over"
}

func (e *Entry) rejectOrFail() TakeoverAction {
	if e.CanReject() {
		return RejectRequest
	}
	return FailRequest
}
