package controlplane

import (
	"fmt"
	"maps"
	"slices"

	"pearknot/internal/snapshot"
)

// maxPendingProposals bounds the number of proposals that are queued, or in the log and not applied yet.
const maxPendingProposals = 64

type queuedProposal struct {
	id       uint64
	proposal Proposal
}

// Propose proposes a change. The proposer chooses the ID, which must not be 0, and a Reply with this ID follows. A proposer whose reply
// was lost repeats the proposal with the same ID; it takes effect only once.
func (v *Voter) Propose(now float64, id uint64, p Proposal) {
	switch {
	case id == 0 || p.Document == nil || len(p.By) > maxReasonBytes || len(p.Reason) > maxReasonBytes:
		// The text goes to the proposer, who may be of another build, so it stays the same in all builds. It means: missing ID or
		// document, or author or reason too long.
		detail := fmt.Sprintf("no id, no text, or words of over %d bytes", maxReasonBytes)
		v.queueReply(id, Result{Code: CodeInvalid, Detail: detail})
	case !v.IsLeader():
		v.queueReply(id, Result{Code: CodeNotLeader, Leader: v.Leader()})
	case v.pendingProposals[id]: // a duplicate: the reply to the first answers both
	case len(v.queuedProposals)+len(v.pendingProposals) >= maxPendingProposals:
		v.queueReply(id, Result{Code: CodeBusy})
	case !v.leadershipReady:
		v.queuedProposals = append(v.queuedProposals, queuedProposal{id, p})
	default:
		v.appendProposal(now, id, p)
	}
	v.processReady(now)
}

// appendProposal appends a proposal to the log, unless the current history shows that it can't be applied.
func (v *Voter) appendProposal(now float64, id uint64, p Proposal) {
	head, doc := v.history.Head()
	if version, known := v.history.FindProposal(id); known {
		v.queueReply(id, Result{Code: CodeDone, Version: version})
		return
	}
	if p.Base != head && v.config.InjectedBug != BugBaseUnchecked {
		v.queueReply(id, Result{Code: CodeConflict, Version: head})
		return
	}
	change := Change{
		ID:           id,
		Digest:       p.Document.digest,
		Splices:      Diff(doc, p.Document),
		By:           p.By,
		Reason:       p.Reason,
		ProposedAtMs: now,
	}
	entry := logEntry{Base: p.Base, Change: newWireChange(&change)}
	if err := v.node.Propose(compress(snapshot.AppendStruct(nil, &entry))); err != nil {
		v.queueReply(id, Result{Code: CodeBusy})
		return
	}
	if v.config.InjectedBug == BugReplyBeforeCommit && len(v.pendingProposals) == 0 { // the majority has not stored it yet
		v.queueReply(id, Result{Code: CodeDone, Version: head + 1})
	}
	v.pendingProposals[id] = true
}

func (v *Voter) queueReply(id uint64, result Result) {
	v.outputs = append(v.outputs, VoterOutput{Reply: &Reply{ID: id, Result: result}})
}

// trackLeadership answers the proposals of a term that has ended, and appends the queued ones once this voter is ready to lead.
func (v *Voter) trackLeadership(now float64) {
	term := uint64(0)
	if v.IsLeader() {
		term = v.term()
	}
	if term != v.leaderTerm {
		v.leaderTerm, v.leadershipReady = term, false
		v.abandonProposals()
	}
	if term > 0 && !v.leadershipReady {
		// A new leader may have committed entries that it has not applied. It checks a proposal's base against the head, so it waits
		// until the first entry of its own term, which comes after all of those, is applied.
		if appliedTerm, err := v.memoryLog.Term(v.appliedIndex); err == nil && appliedTerm == term {
			v.leadershipReady = true
			v.appendQueuedProposals(now)
			v.processReady(now)
		}
	}
}

// abandonProposals answers the proposals of a term that has ended. Those in the log may still be committed by the next leader. Those
// that were only queued are answered when this voter doesn't lead, and stay queued for its next term otherwise.
func (v *Voter) abandonProposals() {
	for _, id := range slices.Sorted(maps.Keys(v.pendingProposals)) {
		v.queueReply(id, Result{Code: CodeLeadershipLost, Leader: v.Leader()})
	}
	clear(v.pendingProposals)
	if v.leaderTerm > 0 {
		return
	}
	for _, queued := range v.queuedProposals {
		v.queueReply(queued.id, Result{Code: CodeNotLeader, Leader: v.Leader()})
	}
	v.queuedProposals = nil
}

func (v *Voter) appendQueuedProposals(now float64) {
	queued := v.queuedProposals
	v.queuedProposals = nil
	for _, q := range queued {
		v.appendProposal(now, q.id, q.proposal)
	}
}
