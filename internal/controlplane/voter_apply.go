package controlplane

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"pearknot/internal/snapshot"
)

const (
	// minSnapshotThreshold is the least number of bytes of log entries between two snapshots.
	minSnapshotThreshold = 1 << 20
	// entryApplyDivisor divides the document's size. An entry counts its own bytes and this part of the document towards the snapshot
	// threshold, because it is applied again at a start, at a cost in proportion to the document.
	entryApplyDivisor = 256
	// retainedEntries is the number of entries before a snapshot that stay in memory, so that a voter that lags a little doesn't need
	// the snapshot. It is small because each entry may hold a whole document.
	retainedEntries = 64
)

// processReady queues the outputs of the raft node. State to persist is queued before the messages that rely on it: a vote or an
// acknowledgement that was sent but is not in the store after a crash could elect a second leader or lose a committed entry.
func (v *Voter) processReady(now float64) {
	for v.node.HasReady() {
		ready := v.node.Ready()
		v.persistReady(&ready)
		for _, m := range ready.Messages {
			v.sendMessage(m)
		}
		for _, state := range ready.ReadStates {
			v.recordReadIndex(state)
		}
		for _, entry := range ready.CommittedEntries {
			v.applyEntry(entry)
		}
		v.node.Advance(ready)
	}
	v.trackLeadership(now)
	v.updateFreshness(now)
	if v.bytesSinceSnapshot > v.snapshotThreshold() {
		v.takeSnapshot()
	}
}

// persistReady queues a Persist of the node's state and copies the state to the memory log.
func (v *Voter) persistReady(ready *raft.Ready) {
	var p Persist
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		p.HardState = ready.HardState
		_ = v.memoryLog.SetHardState(ready.HardState) // a memory log returns no error
	}
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		p.Snapshot, p.Restored = ready.Snapshot, true
	}
	if len(ready.Entries) > 0 {
		p.Entries = ready.Entries
	}
	if ready.MustSync || p.Snapshot != nil { // a commit index alone needn't be durable: the leader sends it again
		v.outputs = append(v.outputs, VoterOutput{Persist: &p})
	}
	if p.Snapshot != nil {
		v.restoreSnapshot(p.Snapshot)
	}
	_ = v.memoryLog.Append(ready.Entries)
}

// restoreSnapshot replaces the history by that of another voter. isSafeMessage has checked that the snapshot can be decoded.
func (v *Voter) restoreSnapshot(s *pb.Snapshot) {
	history, err := decodeHistorySnapshot(s.GetData(), v.config.RetainedChanges)
	if err != nil || v.memoryLog.ApplySnapshot(s) != nil {
		return
	}
	v.history, v.confState = history, s.GetMetadata().GetConfState()
	v.appliedIndex, v.bytesSinceSnapshot = s.GetMetadata().GetIndex(), 0
	v.outputs = append(v.outputs, VoterOutput{Restored: true})
}

// applyEntry applies a committed entry to the history. It depends on the entry and the history alone, so that all voters have the same
// history.
func (v *Voter) applyEntry(e *pb.Entry) {
	v.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 {
		return // the empty entry that a leader appends at the start of its term
	}
	v.bytesSinceSnapshot += len(e.GetData()) + len(v.history.headDocument.text)/entryApplyDivisor
	base, change, err := decodeLogEntry(e.GetData())
	if err != nil {
		return
	}
	result := v.applyChange(base, change)
	if v.pendingProposals[change.ID] {
		delete(v.pendingProposals, change.ID)
		v.queueReply(change.ID, result)
	}
}

func decodeLogEntry(data []byte) (base uint64, change Change, err error) {
	data, err = decompress(data, maxProposalBytes)
	if err != nil {
		return 0, Change{}, err
	}
	var entry logEntry
	if err := snapshot.ReadStruct(data, &entry); err != nil {
		return 0, Change{}, err
	}
	change, err = entry.Change.decode()
	return entry.Base, change, err
}

// applyChange applies a change as the next version. It repeats the checks of appendProposal: the log may contain two proposals with the
// same base, and one proposal twice, from two leaders.
func (v *Voter) applyChange(base uint64, change Change) Result {
	head, doc := v.history.Head()
	if version, known := v.history.FindProposal(change.ID); known {
		return Result{Code: CodeDone, Version: version}
	}
	if base != head && v.config.InjectedBug != BugBaseUnchecked {
		return Result{Code: CodeConflict, Version: head}
	}
	next, err := doc.applySplices(change.Splices)
	if err == nil && next.digest != change.Digest {
		if v.config.InjectedBug == BugBaseUnchecked {
			change.Digest = next.digest
		} else {
			err = errDigestMismatch
		}
	}
	if err != nil {
		return Result{Code: CodeInvalid, Version: head, Detail: err.Error()}
	}
	change.Version = head + 1
	v.history.appendChange(change, next)
	v.outputs = append(v.outputs, VoterOutput{Committed: &change})
	return Result{Code: CodeDone, Version: change.Version}
}

// snapshotThreshold returns the number of bytes of entries after which a snapshot replaces them.
func (v *Voter) snapshotThreshold() int {
	if v.config.SnapshotThreshold > 0 {
		return v.config.SnapshotThreshold
	}
	return max(minSnapshotThreshold, len(v.history.headDocument.text)/4)
}

// takeSnapshot replaces the applied entries by a snapshot of the history.
func (v *Voter) takeSnapshot() {
	s, err := v.memoryLog.CreateSnapshot(v.appliedIndex, v.confState, v.history.encodeSnapshot())
	if err != nil {
		return
	}
	v.bytesSinceSnapshot = 0
	v.outputs = append(v.outputs, VoterOutput{Persist: &Persist{Snapshot: s}})
	if v.appliedIndex > retainedEntries {
		_ = v.memoryLog.Compact(v.appliedIndex - retainedEntries) // fails if the log is compacted up to there already
	}
}
