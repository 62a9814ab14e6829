package requestlog

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/snapshot"
)

// processReady processes the raft node's Ready states, in the order that raft requires: store, send, apply, advance. send is
// called with each message, applied with each applied record and its result.
func (r *replica) processReady(send func(*pb.Message), applied func(*Record, Result, FinalAnswer)) {
	for r.node.HasReady() {
		ready := r.node.Ready()
		if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
			r.restoreSnapshot(ready.Snapshot)
		}
		_ = r.storage.Append(ready.Entries) // storage in memory, which returns no error for the entries of a raft node
		if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
			_ = r.storage.SetHardState(ready.HardState)
		}
		for _, message := range ready.Messages {
			send(message)
		}
		for _, entry := range ready.CommittedEntries {
			r.applyEntry(entry, applied)
		}
		r.node.Advance(ready)
	}
	r.isLeader = r.isLeaderNow()
	if !r.isLeader {
		r.readyTerm = 0
	}
	if r.bytesSinceSnapshot > max(r.ledger.maxBytes/4, minSnapshotBytes) {
		r.createSnapshot()
	}
}

func (r *replica) restoreSnapshot(received *pb.Snapshot) {
	if r.storage.ApplySnapshot(received) != nil {
		return // older than the stored one
	}
	state := &ledgerSnapshot{}
	if snapshot.ReadStruct(received.GetData(), state) == nil {
		r.ledger.restore(state)
	}
	r.confState = received.GetMetadata().GetConfState()
	r.appliedIndex = received.GetMetadata().GetIndex()
	r.bytesSinceSnapshot = 0
}

func (r *replica) applyEntry(entry *pb.Entry, applied func(*Record, Result, FinalAnswer)) {
	r.appliedIndex = entry.GetIndex()
	r.bytesSinceSnapshot += len(entry.GetData()) + recordOverheadBytes
	switch entry.GetType() {
	case pb.EntryConfChangeV2:
		r.applyConfChange(entry)
	case pb.EntryNormal:
		if len(entry.GetData()) == 0 {
			r.applyFirstOfTerm(entry)
			return
		}
		record := &Record{}
		if snapshot.ReadStruct(entry.GetData(), record) != nil {
			return // every replica skips it
		}
		result, answer := r.ledger.apply(record)
		applied(record, result, answer)
	}
}

func (r *replica) applyConfChange(entry *pb.Entry) {
	change := &pb.ConfChangeV2{}
	if proto.Unmarshal(entry.GetData(), change) == nil {
		r.confState = r.node.ApplyConfChange(change)
		// A new voter starts from a snapshot, and ignores a snapshot that does not list it as a voter.
		r.createSnapshot()
	}
	r.confChangeProposedAt = 0
}

// applyFirstOfTerm applies the empty entry with which each leader begins its term. All entries committed in earlier terms
// precede it, so this leader's ledger is up to date from here on.
func (r *replica) applyFirstOfTerm(entry *pb.Entry) {
	if r.isLeaderNow() && r.term() == entry.GetTerm() {
		r.readyTerm = entry.GetTerm()
	}
}

// createSnapshot stores a snapshot of the ledger and drops the entries before it.
func (r *replica) createSnapshot() {
	data := snapshot.AppendStruct(nil, r.ledger.snapshot())
	if _, err := r.storage.CreateSnapshot(r.appliedIndex, r.confState, data); err != nil {
		return // a snapshot at this index already exists
	}
	_ = r.storage.Compact(r.appliedIndex)
	r.bytesSinceSnapshot = 0
}

// reportSnapshot reports to the raft node whether a message with a snapshot was sent; until then the node sends nothing else
// to that voter. A link keeps the order of its frames, so sent counts as received: if it is lost the voter asks again.
func (r *replica) reportSnapshot(message *pb.Message, wasSent bool) {
	if message.GetType() != pb.MsgSnap {
		return
	}
	status := raft.SnapshotFailure
	if wasSent {
		status = raft.SnapshotFinish
	}
	r.node.ReportSnapshot(message.GetTo(), status)
}
