package requestlog

import (
	"slices"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Takeover: the leader of a log proposes itself as the owner of each request whose owner is lost or whose deadline has long
// passed. Once OwnerChanged is committed the leader carries the request on as TakeoverAction says.
//
// Why no request runs twice that must not: an owner sends an attempt only after the attempt's record is committed. The log
// orders that record against OwnerChanged, which leaves two cases.
//
//   - The record comes before OwnerChanged. The successor then knows of the attempt, and takes it for one that may have run
//     unless AttemptEnded says that it never did. A request that is not idempotent is failed and not sent again. One with an
//     idempotency key is sent again only where and while the backends still recognize the key, and the former owner, too,
//     sends the attempt only within that time (node's latestStart). If attempts may have run on backends that do not share
//     their keys, there is no such place, and it is failed. An idempotent one may run any number of times.
//   - The record comes after OwnerChanged. The ledger refuses it, since the request belongs to another incarnation by then
//     (fencing), and the former owner does not send the attempt.
//
// Apart from the time for which backends recognize a key, none of this depends on clocks. The lease is a second bound: it
// limits how long after its record was sent an attempt may still begin, so that a process that was paused does not send one
// long after its successor has ended the request.
//
// The lease covers an owner that falls silent, because LeaseMs is shorter than PeerTimeoutMs. It does not cover an owner
// whose link is cut: that one is taken for lost after ReconnectTimeoutMs already, which is shorter than LeaseMs. In the time
// between, at most LeaseMs-ReconnectTimeoutMs, it may still begin an attempt whose record is committed, for example one that
// was waiting for a connection. The first case above holds for that attempt like for any other, so no request runs twice by
// it. What can happen is that an attempt of a request that the successor has failed begins after that: a failed request is
// one that may have run, and its client is told no more than that. The same holds where a later incarnation of the owner's
// member has started, which counts as the loss of the former one at once.
const (
	// PeerTimeoutMs is how long a connected member may send nothing before it is taken for lost: ten heartbeats.
	PeerTimeoutMs = 1000.0
	// ReconnectTimeoutMs is how long the link to a member may be down before the member is taken for lost. It is shorter than
	// LeaseMs; the comment on takeover above says why that is safe.
	ReconnectTimeoutMs = 400.0
	// LeaseMs is how long after a call was sent its reply entitles the owner to start an attempt, by the owner's own clock. It
	// is shorter than PeerTimeoutMs, so that the lease of an owner that fell silent has ended when it is taken for lost.
	LeaseMs = 700.0

	// overdueAfterMs is how long past its deadline a request stays unanswered before it is taken over from an owner that
	// lives: an owner that works would have failed it by then.
	overdueAfterMs = 500.0
	// proposalTimeoutMs is how long a proposed takeover may take to be applied before it is proposed again: as long as two
	// retries of a call.
	proposalTimeoutMs = 2 * callRetryMs
	// minTimeLeftMs is the least time before its deadline in which an attempt at a request is still worthwhile.
	minTimeLeftMs = 20.0
)

// isLost reports whether an incarnation is gone, as far as this member can tell. It may be wrong, for instance where only
// the network between the two is cut. The comment at the top of this file says why that is harmless.
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
	RejectRequest                         // record a rejection, which frees the key: a client that comes back with it starts anew, see Entry.CanReject
	FailRequest                           // an attempt may have run, and the request must not run again
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
	case e.Request.Idempotency == balancer.IdempotentWithKey && !e.uncertainAttemptsShareKeys():
		return FailRequest, "attempts may have run on backends that do not share their idempotency keys"
	}
	return ContinueRequest, "taken over"
}

// uncertainAttemptsShareKeys reports whether all attempts that may have run went to backends of one DedupScope, so that a
// further attempt there is recognized whichever of them ran.
//
// An owner sends no attempt outside the scope of one that may have run. But nobody waits for AttemptEnded records: if one is
// lost with the link to the log's leader, the next attempt's record can be committed before it is sent again. If the owner
// dies then, an attempt that never ran looks uncertain beside one in another scope that may have run.
func (e *Entry) uncertainAttemptsShareKeys() bool {
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
