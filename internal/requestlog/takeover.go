package requestlog

import (
	"slices"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Takeover: the leader of a log proposes itself as the owner of each request whose owner is lost or whose deadline passed more
// than overdueAfterMs ago. Once OwnerChanged is committed the leader proceeds with the request as TakeoverAction specifies.
//
// Why no request runs twice that must not: an owner sends an attempt only after the attempt's record is committed. The log
// orders that record relative to OwnerChanged, so there are two cases.
//
//   - The record precedes OwnerChanged. The successor then knows of the attempt, and assumes that it may have run unless
//     AttemptEnded records that it never did. A request that is not idempotent is failed and not sent again. One with an
//     idempotency key is sent again only where and while the backends still recognize the key, and the former owner, too,
//     sends the attempt only within that time (node's latestStart). If attempts may have run on backends that do not share
//     their keys, there is no such backend, and the request is failed. An idempotent one may run any number of times.
//   - The record follows OwnerChanged. The ledger refuses it, since the request belongs to another incarnation by then
//     (fencing), and the former owner does not send the attempt.
//
// Apart from the time for which backends recognize a key, none of this depends on clocks. The lease is a second bound: it
// limits the time from sending the record until the attempt may still start, so that a process that was paused does not send
// an attempt long after its successor has ended the request.
//
// The lease covers an owner that stops sending, because LeaseMs is shorter than PeerTimeoutMs. It does not cover an owner
// whose link is down: that owner is considered lost after ReconnectTimeoutMs, which is shorter than LeaseMs. In between, for
// at most LeaseMs-ReconnectTimeoutMs, it may still start an attempt whose record is committed, for example one that was
// waiting for a connection. The first case above applies to that attempt like to any other, so it makes no request run twice.
// It is possible, however, that an attempt starts after the successor has failed its request: a failed request is one that
// may have run, and its client learns no more than that. The same applies when a later incarnation of the owner's member has
// started, in which case the former incarnation counts as lost at once.
const (
	// PeerTimeoutMs is the time without a frame after which a connected member is considered lost: ten heartbeat intervals.
	PeerTimeoutMs = 1000.0
	// ReconnectTimeoutMs is the time for which the link to a member may be down before the member is considered lost. It is
	// shorter than LeaseMs; the comment on takeover above explains why that is safe.
	ReconnectTimeoutMs = 400.0
	// LeaseMs is the time after sending a call in which its reply permits the owner to start an attempt, by the owner's own
	// clock. It is shorter than PeerTimeoutMs, so that the lease of an owner that stopped sending has expired when the owner
	// is considered lost.
	LeaseMs = 700.0

	// overdueAfterMs is the time past its deadline after which an unanswered request is taken over from a live owner: a
	// working owner would have failed it by then.
	overdueAfterMs = 500.0
	// proposalTimeoutMs is the time after which a proposed takeover that is not applied is proposed again: two retries of a
	// call.
	proposalTimeoutMs = 2 * callRetryMs
	// minTimeLeftMs is the minimum time before its deadline in which a request is still attempted.
	minTimeLeftMs = 20.0
)

// isLost reports whether this member considers an incarnation lost. It may be wrong, for instance if only the network between
// the two is interrupted. The comment at the top of this file explains why that is harmless.
func (m *Member) isLost(owner Incarnation) bool {
	index := owner.Member()
	if index >= len(m.peers) {
		return true
	}
	peer := &m.peers[index]
	switch {
	case owner == m.self || m.now < m.presumeAliveUntil:
		return false
	case index == m.config.Self, peer.incarnation.number() > owner.number():
		return true // a later incarnation of the same member has started
	case peer.connected:
		return m.now-peer.lastReceivedAt > PeerTimeoutMs
	}
	return m.now-peer.disconnectedAt > ReconnectTimeoutMs
}

// proposeTakeovers proposes this member as the owner of the requests of lost members, and of overdue ones, in a log that it
// leads.
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
	// A call of this member timed out, so the host has ended the request, but the record was committed later.
	isAbandoned := entry.Owner == m.self && !m.ownedKeys[entry.Key]
	return m.isLost(entry.Owner) || m.now >= entry.Request.Deadline+overdueAfterMs || isAbandoned
}

// ownerChangeApplied passes a request to the host if this member has become its owner.
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

// TakeoverAction is the action of a successor for a request that it has taken over.
type TakeoverAction uint8

// The actions of a successor.
const (
	ContinueRequest TakeoverAction = iota // pass it to the balancer with its remaining time and its attempts so far
	RejectRequest                         // record a rejection, which frees the key: a client that repeats the request starts a new one, see Entry.CanReject
	FailRequest                           // an attempt may have run, and the request must not run again
)

// String returns the name of the action.
func (a TakeoverAction) String() string { return [...]string{"continue", "reject", "fail"}[a] }

// TakeoverAction returns the action of a successor for an entry at the given time, and the reason as a phrase for the log.
func (e *Entry) TakeoverAction(now float64) (TakeoverAction, string) {
	uncertain := e.UncertainAttempt()
	switch {
	case e.Request.Deadline-now < minTimeLeftMs:
		return e.rejectOrFail(), "deadline exceeded"
	case uncertain != nil && e.Request.Idempotency == balancer.AtMostOnce:
		return FailRequest, "an attempt may have run and the request is not idempotent"
	case uncertain != nil && e.Request.Idempotency == balancer.IdempotentWithKey && now-uncertain.StartedAt >= e.Request.DedupWindow:
		// Backends may have discarded the idempotency key of the first attempt, so a second one could run as if it were new.
		return e.rejectOrFail(), "an attempt may have run and its deduplication window is over"
	case e.Request.Idempotency == balancer.IdempotentWithKey && !e.uncertainAttemptsShareDedupScope():
		return FailRequest, "attempts may have run on backends that do not share their idempotency keys"
	}
	return ContinueRequest, "taken over"
}

// uncertainAttemptsShareDedupScope reports whether all attempts that may have run went to backends of one DedupScope, so that a
// further attempt there is recognized whichever of them ran.
//
// An owner sends no attempt outside the scope of one that may have run. But it does not wait for AttemptEnded records: if one
// is lost with the link to the log's leader, the next attempt's record can be committed before it is sent again. If the owner
// fails then, an attempt that never ran is uncertain to the successor, beside one in another scope that may have run.
func (e *Entry) uncertainAttemptsShareDedupScope() bool {
	first := e.UncertainAttempt()
	for i := range e.Attempts {
		attempt := &e.Attempts[i]
		if !attempt.mayHaveRun() {
			continue
		}
		switch e.Request.DedupScope {
		case balancer.DedupByZone:
			if attempt.Zone != first.Zone {
				return false
			}
		case balancer.DedupByCell:
			if attempt.Cell != first.Cell {
				return false
			}
		}
	}
	return true
}

func (e *Entry) rejectOrFail() TakeoverAction {
	if e.CanReject() {
		return RejectRequest
	}
	return FailRequest
}
