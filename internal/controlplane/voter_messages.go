package controlplane

import (
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// fragmentBytes is the size of the fragments in which a raft message is sent. With its flags it fits a frame.
	fragmentBytes = 256 << 10
	// maxMessageBytes bounds a raft message that is put together from fragments: a snapshot, the largest one, and some metadata.
	maxMessageBytes = maxSnapshotBytes + 1<<20
	// maxReadContextBytes bounds the context of a read index message. This build's have 24.
	maxReadContextBytes = 64
	// maxSafeNumber bounds indices and terms: a raft node adds to them, and must not wrap.
	maxSafeNumber = math.MaxUint64 / 2
)

// The flags in the first byte of a fragment.
const (
	fragmentFirst = 1 << iota
	fragmentLast
)

func (v *Voter) sendMessage(m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for start := 0; start < len(data); start += fragmentBytes {
		end := min(start+fragmentBytes, len(data))
		var flags byte
		if start == 0 {
			flags |= fragmentFirst
		}
		if end == len(data) {
			flags |= fragmentLast
		}
		fragment := append([]byte{flags}, data[start:end]...)
		v.outputs = append(v.outputs, VoterOutput{Send: &VoterMessage{To: m.GetTo(), Data: fragment}})
	}
	if m.GetType() == pb.MsgSnap {
		// Whether the snapshot arrived is seen by the answers to what follows it, because a link keeps the order. Without the report
		// the raft node would send that voter nothing more.
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// HandleMessage handles a message of another voter. A malformed one is dropped, which raft takes for lost.
func (v *Voter) HandleMessage(now float64, from uint64, data []byte) {
	if len(data) < 1 || len(data) > MaxFrameBytes || from == v.config.ID || !slices.Contains(v.config.Voters, from) {
		return
	}
	encoded, complete := v.assembleMessage(from, data[0], data[1:])
	if !complete {
		return
	}
	m := &pb.Message{}
	if proto.Unmarshal(encoded, m) != nil || m.GetFrom() != from || !v.isSafeMessage(m) {
		return
	}
	if isFromLeader(m) && m.GetTerm() >= v.term() {
		v.ticksSinceLeader = 0
	}
	_ = v.node.Step(m) // an error is a message that the node has no use for
	v.processReady(now)
}

// assembleMessage adds a fragment to the message that is under way from a voter, and returns the message if it is complete.
func (v *Voter) assembleMessage(from uint64, flags byte, fragment []byte) (message []byte, complete bool) {
	if flags == fragmentFirst|fragmentLast {
		delete(v.partialMessages, from)
		return fragment, true
	}
	if flags&fragmentFirst != 0 {
		v.partialMessages[from] = nil
	} else if len(v.partialMessages[from]) == 0 {
		return nil, false // its beginning was lost
	}
	v.partialMessages[from] = append(v.partialMessages[from], fragment...)
	message = v.partialMessages[from]
	if len(message) > maxMessageBytes {
		delete(v.partialMessages, from)
		return nil, false
	}
	if flags&fragmentLast == 0 {
		return nil, false
	}
	delete(v.partialMessages, from)
	return message, true
}

func isFromLeader(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		return true
	}
	return false
}

// isSafeMessage reports whether a raft node can take a message. A node panics at some messages that no sound voter sends, such as a
// commit index beyond its log: one damaged voter, or another build, must not end this process.
func (v *Voter) isSafeMessage(m *pb.Message) bool {
	if m.GetTo() != v.config.ID || m.GetTerm() > maxSafeNumber {
		return false
	}
	if (m.GetTerm() == 0) != (m.GetType() == pb.MsgReadIndex) { // of all messages that voters send, only this one has no term
		return false
	}
	lastIndex, _ := v.memoryLog.LastIndex() // a memory log has no error
	switch m.GetType() {
	case pb.MsgApp:
		return hasSafeEntries(m)
	case pb.MsgHeartbeat:
		return v.hasSafeCommit(m, lastIndex)
	case pb.MsgAppResp:
		return m.GetIndex() <= lastIndex && (!m.GetReject() || m.GetRejectHint() <= lastIndex)
	case pb.MsgSnap:
		return v.hasSafeSnapshot(m)
	case pb.MsgReadIndex, pb.MsgReadIndexResp:
		entries := m.GetEntries()
		return len(entries) == 1 && entries[0] != nil && len(entries[0].GetData()) <= maxReadContextBytes
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp:
		return true
	}
	return false
}

// hasSafeEntries reports whether the entries follow on each other without gaps, with terms that don't fall.
func hasSafeEntries(m *pb.Message) bool {
	index, term := m.GetIndex(), m.GetLogTerm()
	if index > maxSafeNumber {
		return false
	}
	for _, e := range m.GetEntries() {
		index++
		if e == nil || e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() || e.GetType() != pb.EntryNormal {
			return false
		}
		term = e.GetTerm()
	}
	return true
}

// hasSafeCommit reports whether a heartbeat's commit index is in the log. A leader never sends a voter a higher one than that voter
// has acknowledged: if it is not there, the store has lost entries.
func (v *Voter) hasSafeCommit(m *pb.Message, lastIndex uint64) bool {
	if m.GetCommit() <= lastIndex {
		return true
	}
	v.storeFault = fmt.Sprintf("voter %d knows that entry %d was written here, the store ends with %d: it has lost what it had",
		m.GetFrom(), m.GetCommit(), lastIndex)
	return false
}

func (v *Voter) hasSafeSnapshot(m *pb.Message) bool {
	metadata := m.GetSnapshot().GetMetadata()
	if metadata.GetIndex() == 0 || metadata.GetIndex() > maxSafeNumber {
		return false
	}
	if metadata.GetTerm() == 0 || metadata.GetTerm() > m.GetTerm() {
		return false
	}
	if !proto.Equal(metadata.GetConfState(), v.confState) {
		return false
	}
	_, err := decodeHistorySnapshot(m.GetSnapshot().GetData(), v.config.RetainedChanges)
	return err == nil
}
