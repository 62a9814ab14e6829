package controlplane

import (
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bootstrap returns the initial state of a voter's store. All voters that are given the same voters, in any order,
// get the same state.
func Bootstrap(voters []uint64) *StoredState {
	confState := &pb.ConfState{Voters: slices.Sorted(slices.Values(voters))}
	return &StoredState{
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		ConfState: confState,
		Snapshot: &pb.Snapshot{
			Data:     newHistory(0, emptyDocument(), defaultRetainedChanges).encodeSnapshot(),
			Metadata: &pb.SnapshotMetadata{ConfState: confState, Index: proto.Uint64(1), Term: proto.Uint64(1)},
		},
	}
}

// ApplyPersist applies a Persist to the state, as a durable store has to. It is the reference model that stores are tested against.
func (s *StoredState) ApplyPersist(p *Persist) {
	if p.Snapshot != nil {
		s.Snapshot, s.ConfState = p.Snapshot, p.Snapshot.GetMetadata().GetConfState()
		index := p.Snapshot.GetMetadata().GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool {
			return p.Restored || e.GetIndex() <= index
		})
	}
	if len(p.Entries) > 0 {
		firstIndex := p.Entries[0].GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= firstIndex })
		s.Entries = append(s.Entries, p.Entries...)
	}
	if p.HardState != nil {
		s.HardState = p.HardState
	}
}

// validate returns an error if a voter can't continue from the state. Started from such a state, a raft node would panic, or
// vote although a part of its log is missing.
func (s *StoredState) validate(config *VoterConfig) error {
	if s == nil || s.Snapshot == nil || s.HardState == nil {
		return errors.New("missing or incomplete state")
	}
	metadata := s.Snapshot.GetMetadata()
	storedVoters := metadata.GetConfState().GetVoters()
	if !slices.Equal(slices.Sorted(slices.Values(storedVoters)), slices.Sorted(slices.Values(config.Voters))) {
		return fmt.Errorf("stored voters %d differ from configured voters %d", storedVoters, config.Voters)
	}
	lastIndex, lastTerm := metadata.GetIndex(), metadata.GetTerm()
	if lastIndex == 0 || lastTerm == 0 {
		return errors.New("snapshot has no index or no term")
	}
	for _, e := range s.Entries {
		if e == nil || e.GetIndex() <= metadata.GetIndex() {
			continue
		}
		if e.GetIndex() != lastIndex+1 || e.GetTerm() < lastTerm || e.GetType() != pb.EntryNormal {
			return fmt.Errorf("stored entries are not consecutive normal entries of non-decreasing terms: entry %d of term %d follows entry %d of term %d", e.GetIndex(), e.GetTerm(), lastIndex, lastTerm)
		}
		lastIndex, lastTerm = e.GetIndex(), e.GetTerm()
	}
	if commit := s.HardState.GetCommit(); commit > lastIndex || s.HardState.GetTerm() < lastTerm {
		return fmt.Errorf("hard state does not match the log: its commit index is %d and its term %d, the last entry is %d of term %d",
			commit, s.HardState.GetTerm(), lastIndex, lastTerm)
	}
	return nil
}
