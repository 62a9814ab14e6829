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
	// fragmentBytes bounds the fragments in which a raft message is sent. A fragment with its flags fits a frame.
	fragmentBytes = 256 << 10
	// maxMessageBytes bounds a raft message assembled from fragments: the largest snapshot and some metadata.
	maxMessageBytes = maxSnapshotBytes + 1<<20
	// maxReadContextBytes bounds the context of a read index message. The context of this build has 24 bytes.
	maxReadContextBytes = 64
	// maxSafeNumber bounds indices and terms: a raft node adds to them, and the sums must not wrap.
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
		// The answers to later messages show whether the snapshot arrived, because a link keeps the order. Without this report the
		// raft node would send that voter nothing more.
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// HandleMessage handles a message from another voter. A malformed one is dropped, which raft tolerates like a lost message.
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
	_ = v.node.Step(m) // an error means that the node ignores the message
	v.processReady(now)
}

// assembleMessage adds a fragment to the partial message from a voter, and returns the message if it is complete.
func (v *Voter) assembleMessage(from uint64, flags byte, fragment []byte) (message []byte, complete bool) {
	if flags == fragmentFirst|fragmentLast {
		delete(v.partialMessages, from)
		return fragment, true
	}
	if flags&fragmentFirst != 0 {
		v.partialMessages[from] = nil
	} else if len(v.partialMessages[from]) == 0 {
		return nil, false // the first fragment was lost
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

// isSafeMessage reports whether a message can be passed to the raft node. A node panics at some messages that a correct voter never
// sends, such as a commit index beyond its log: one faulty voter, or another build, must not end this process.
func (v *Voter) isSafeMessage(m *pb.Message) bool {
	if m.GetTo() != v.config.ID || m.GetTerm() > maxSafeNumber {
		return false
	}
	if (m.GetTerm() == 0) != (m.GetType() == pb.MsgReadIndex) { // of all messages between voters, only this one has no term
		return false
	}
	lastIndex, _ := v.memoryLog.LastIndex() // a memory log returns no error
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

// hasSafeEntries reports whether the indices of the entries are consecutive and their terms don't decrease.
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

// hasSafeCommit reports whether a heartbeat's commit index is in the log, and sets storeFault if it is not. A leader never sends a voter
// a higher commit index than that voter has acknowledged, so a log that ends before it has lost entries.
func (v *Voter) hasSafeCommit(m *pb.Message, lastIndex uint64) bool {
	if m.GetCommit() <= lastIndex {
		return true
	}
	v.storeFault = fmt.Sprintf("voter %d reports that entry %d was acknowledged, the store ends at entry %d: acknowledged entries are lost",
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
