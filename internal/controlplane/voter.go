package controlplane

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/snapshot"
)

const (
	TickIntervalMs = 50.0 // how often Tick is due, of voters, servers and followers

	heartbeatTicks       = 2        // a leader's, among voters
	electionTicks        = 20       // without a word of the leader, up to twice as many by chance: one elects within about 2 s
	readIndexInterval    = 500.0    // ms between two questions how far the log has come
	maxPendingReads      = 64       // such questions without an answer
	maxPendingProposals  = 64       // proposals in hand
	maxUncommittedBytes  = 64 << 20 // bytes of entries that no majority has yet
	minSnapshotThreshold = 1 << 20  // of entries between two images
	entryApplyDivisor    = 256      // an entry counts for this part of the text besides, as it is applied anew at a start
	retainedEntries      = 64       // behind an image, for voters that lag a little; each may be a whole text
	fragmentBytes        = 256 << 10
	maxMessageBytes      = maxSnapshotBytes + 1<<20
)

// Voter is one of those that agree on the history. What Next gives is to be carried out in order, to its end, before anything else is
// asked of it: History and FreshAt are ahead of a Persist that is still to come.
type Voter struct {
	config             VoterConfig
	node               *raft.RawNode
	memoryLog          *raft.MemoryStorage // what the durable one has, but for a few entries from before its image
	confState          *pb.ConfState
	history            *History
	rng                *rand.Rand
	outputs            []VoterOutput
	ticksSinceLeader   int // ticks without a word of the leader
	electionTimeout    int
	appliedIndex       uint64
	bytesSinceSnapshot int              // of the entries since the image
	leaderTerm         uint64           // in which it leads; 0 is none
	leadershipReady    bool             // it leads and has applied all from before
	queuedProposals    []queuedProposal // until it has begun
	pendingProposals   map[uint64]bool
	partialMessages    map[uint64][]byte // of messages that come in several
	lastReadIndexAt    float64           // when it last asked how far the log has come
	readIndexCount     uint64
	pendingReads       []readIndexRequest
	freshAsOf          float64
	storeFault         string
}

type queuedProposal struct {
	id       uint64
	proposal Proposal
}

// read is a question how far the log had come at a time; with an index it is answered.
type readIndexRequest struct {
	context  string
	sentAt   float64
	index    uint64
	answered bool
}

// quiet is a logger that says nothing: a voter's own lines are its process's.
type quiet struct{ raft.Logger }

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}

// raftLogger panics where a raft node finds itself broken: the rest is not heard.
var raftLogger = raft.Logger(&raft.DefaultLogger{Logger: stdlog.New(io.Discard, "", 0)})

// Bootstrap is the store of a voter that begins: all voters of the same list have the same.
func Bootstrap(voters []uint64) *StoredState {
	voters = slices.Sorted(slices.Values(voters))
	conf := &pb.ConfState{Voters: voters}
	return &StoredState{HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, ConfState: conf,
		Snapshot: &pb.Snapshot{Data: newHistory(0, emptyDocument(), defaultRetainedChanges).encodeSnapshot(),
			Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}}
}

// Keep does to it what is to be durable.
func (s *StoredState) ApplyPersist(p *Persist) {
	if p.Snapshot != nil {
		s.Snapshot, s.ConfState = p.Snapshot, p.Snapshot.GetMetadata().GetConfState()
		index := p.Snapshot.GetMetadata().GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return p.Restored || e.GetIndex() <= index })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].GetIndex()
		s.Entries = append(slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), p.Entries...)
	}
	if p.HardState != nil {
		s.HardState = p.HardState
	}
}

// check tells what is wrong with a store.
func (s *StoredState) validate(t *VoterConfig) error {
	if s == nil || s.Snapshot == nil || s.HardState == nil {
		return errors.New("no store")
	}
	m := s.Snapshot.GetMetadata()
	if !slices.Equal(slices.Sorted(slices.Values(m.GetConfState().GetVoters())), slices.Sorted(slices.Values(t.Voters))) {
		return fmt.Errorf("its voters are %d, the file's %d", m.GetConfState().GetVoters(), t.Voters)
	}
	last, term := m.GetIndex(), m.GetTerm()
	if last == 0 || term == 0 {
		return errors.New("an image of no index")
	}
	for _, e := range s.Entries {
		if e == nil || e.GetIndex() <= m.GetIndex() {
			continue
		}
		if e.GetIndex() != last+1 || e.GetTerm() < term || e.GetType() != pb.EntryNormal {
			return fmt.Errorf("entry %d of term %d after %d of term %d", e.GetIndex(), e.GetTerm(), last, term)
		}
		last, term = e.GetIndex(), e.GetTerm()
	}
	if c := s.HardState.GetCommit(); c > last || s.HardState.GetTerm() < term {
		return fmt.Errorf("committed %d of term %d, its entries end at %d of term %d", c, s.HardState.GetTerm(), last, term)
	}
	return nil
}

// NewVoter goes on from a store.
func NewVoter(t VoterConfig, s *StoredState, now float64) (*Voter, error) {
	if !slices.Contains(t.Voters, t.ID) {
		return nil, fmt.Errorf("voter %d is not one of %d", t.ID, t.Voters)
	}
	if err := s.validate(&t); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	m := s.Snapshot.GetMetadata()
	h, err := decodeHistorySnapshot(s.Snapshot.GetData(), t.RetainedChanges)
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v := &Voter{config: t, memoryLog: raft.NewMemoryStorage(), confState: m.GetConfState(), history: h, rng: rand.New(rand.NewPCG(t.Seed, t.ID)),
		appliedIndex: m.GetIndex(), pendingProposals: map[uint64]bool{}, partialMessages: map[uint64][]byte{}, lastReadIndexAt: now - readIndexPhase(readIndexInterval, t.ID), freshAsOf: math.Inf(-1)}
	hard := proto.Clone(s.HardState).(*pb.HardState)
	hard.Commit = proto.Uint64(max(hard.GetCommit(), m.GetIndex())) // how far it was committed is not always written
	if err := errors.Join(v.memoryLog.ApplySnapshot(s.Snapshot), v.memoryLog.SetHardState(hard), v.memoryLog.Append(s.Entries)); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.node, err = raft.NewRawNode(&raft.Config{ID: t.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.memoryLog,
		Applied: v.appliedIndex, MaxSizePerMsg: fragmentBytes, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true,
		PreVote: true, DisableProposalForwarding: true, Logger: quiet{raftLogger}})
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.resetElectionTimer()
	v.processReady(now)
	return v, nil
}

// v0 spreads the voters' questions over the time between two.
func readIndexPhase(every float64, id uint64) float64 { return every * float64(id%7) / 7 }

// wait draws a patience: chance is the voter's own, so that one seed makes one history.
func (v *Voter) resetElectionTimer() {
	v.ticksSinceLeader, v.electionTimeout = 0, electionTicks+v.rng.IntN(electionTicks)
}

// Tick lets time pass. A raft node draws its patience from the machine's own chance; so followers only count, and it is the voter
// that calls for an election.
func (v *Voter) Tick(now float64) {
	if v.leading() {
		v.node.Tick()
	} else {
		v.node.TickQuiesced()
		if v.ticksSinceLeader++; v.ticksSinceLeader >= v.electionTimeout {
			v.resetElectionTimer()
			_ = v.node.Campaign()
		}
	}
	if now-v.lastReadIndexAt >= readIndexInterval {
		v.lastReadIndexAt = now
		v.readIndexCount++
		// No two questions are alike, whoever asks them and however often it has begun: the leader knows them by their text.
		context := binary.BigEndian.AppendUint64(nil, v.config.ID)
		context = binary.BigEndian.AppendUint64(context, math.Float64bits(now))
		context = binary.BigEndian.AppendUint64(context, v.readIndexCount)
		if len(v.pendingReads) >= maxPendingReads {
			v.pendingReads = v.pendingReads[1:]
		}
		v.pendingReads = append(v.pendingReads, readIndexRequest{context: string(context), sentAt: now})
		v.node.ReadIndex(context)
	}
	v.processReady(now)
}

// Message takes what another voter has sent. What is odd is as good as lost.
func (v *Voter) HandleMessage(now float64, from uint64, data []byte) {
	if len(data) < 1 || len(data) > MaxFrameBytes || from == v.config.ID || !slices.Contains(v.config.Voters, from) {
		return
	}
	whole := data[1:]
	if data[0] != fragmentFirst|fragmentLast {
		if data[0]&fragmentFirst != 0 {
			v.partialMessages[from] = nil
		} else if len(v.partialMessages[from]) == 0 {
			return // its beginning is lost
		}
		whole = append(v.partialMessages[from], data[1:]...)
		if v.partialMessages[from] = whole; len(whole) > maxMessageBytes {
			delete(v.partialMessages, from)
			return
		}
		if data[0]&fragmentLast == 0 {
			return
		}
	}
	delete(v.partialMessages, from)
	m := &pb.Message{}
	if proto.Unmarshal(whole, m) != nil || m.GetFrom() != from || !v.isSafeMessage(m) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= v.node.BasicStatus().HardState.GetTerm() {
			v.ticksSinceLeader = 0
		}
	}
	_ = v.node.Step(m)
	v.processReady(now)
}

// sound tells whether a raft node can take a message: it ends the process at some that no sound voter says.
func (v *Voter) isSafeMessage(m *pb.Message) bool {
	if m.GetTo() != v.config.ID || (m.GetTerm() == 0) != (m.GetType() == pb.MsgReadIndex) || m.GetTerm() > math.MaxUint64/2 {
		return false
	}
	end, _ := v.memoryLog.LastIndex()
	switch m.GetType() {
	case pb.MsgApp:
		index, term := m.GetIndex(), m.GetLogTerm()
		if index > math.MaxUint64/2 {
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
	case pb.MsgHeartbeat:
		if m.GetCommit() > end { // a leader tells no one of more than that one has said to have
			v.storeFault = fmt.Sprintf("voter %d knows that entry %d was written here, the store ends with %d: it has lost what it had", m.GetFrom(), m.GetCommit(), end)
		}
		return m.GetCommit() <= end
	case pb.MsgAppResp:
		return m.GetIndex() <= end && (!m.GetReject() || m.GetRejectHint() <= end)
	case pb.MsgSnap:
		s := m.GetSnapshot().GetMetadata()
		if s.GetIndex() == 0 || s.GetTerm() == 0 || s.GetIndex() > math.MaxUint64/2 || s.GetTerm() > m.GetTerm() || !proto.Equal(s.GetConfState(), v.confState) {
			return false
		}
		_, err := decodeHistorySnapshot(m.GetSnapshot().GetData(), v.config.RetainedChanges)
		return err == nil
	case pb.MsgReadIndex, pb.MsgReadIndexResp:
		return len(m.GetEntries()) == 1 && m.GetEntries()[0] != nil && len(m.GetEntries()[0].GetData()) <= 64
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp:
		return true
	}
	return false
}

// What a piece of a message is.
const (
	fragmentFirst = 1 << iota
	fragmentLast
)

func (v *Voter) sendMessage(m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for at := 0; at < len(data); at += fragmentBytes {
		end := min(at+fragmentBytes, len(data))
		var kind byte
		if at == 0 {
			kind |= fragmentFirst
		}
		if end == len(data) {
			kind |= fragmentLast
		}
		v.outputs = append(v.outputs, VoterOutput{Send: &VoterMessage{To: m.GetTo(), Data: append([]byte{kind}, data[at:end]...)}})
	}
	if m.GetType() == pb.MsgSnap { // whether it came is seen by what is said next: a link keeps the order
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// Propose asks for a change; a Reply comes with the same id, which is the proposal's and never 0.
func (v *Voter) Propose(now float64, id uint64, p Proposal) {
	switch {
	case id == 0 || p.Document == nil || len(p.By) > maxReasonBytes || len(p.Reason) > maxReasonBytes:
		v.queueReply(id, Result{Code: CodeInvalid, Detail: fmt.Sprintf("no id, no text, or words of over %d bytes", maxReasonBytes)})
	case !v.leading():
		v.queueReply(id, Result{Code: CodeNotLeader, Leader: v.Leader()})
	case v.pendingProposals[id]: // asked again: answered once
	case len(v.queuedProposals)+len(v.pendingProposals) >= maxPendingProposals:
		v.queueReply(id, Result{Code: CodeBusy})
	case !v.leadershipReady:
		v.queuedProposals = append(v.queuedProposals, queuedProposal{id, p})
	default:
		v.appendProposal(now, id, p)
	}
	v.processReady(now)
}

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
	c := Change{ID: id, Digest: p.Document.digest, Splices: Diff(doc, p.Document), By: p.By, Reason: p.Reason, ProposedAtMs: now}
	e := logEntry{Base: p.Base, Change: newWireChange(&c)}
	if err := v.node.Propose(compress(snapshot.Append(nil, &e))); err != nil {
		v.queueReply(id, Result{Code: CodeBusy})
		return
	}
	if v.config.InjectedBug == BugReplyBeforeCommit && len(v.pendingProposals) == 0 { // nothing but a majority is wanting
		v.queueReply(id, Result{Code: CodeDone, Version: head + 1})
	}
	v.pendingProposals[id] = true
}

func (v *Voter) queueReply(id uint64, r Result) {
	v.outputs = append(v.outputs, VoterOutput{Reply: &Reply{ID: id, Result: r}})
}

// work carries out what the raft node is ready for.
func (v *Voter) processReady(now float64) {
	for v.node.HasReady() {
		rd := v.node.Ready()
		var p Persist
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			p.HardState = rd.HardState
			_ = v.memoryLog.SetHardState(rd.HardState)
		}
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			p.Snapshot, p.Restored = rd.Snapshot, true
		}
		if len(rd.Entries) > 0 {
			p.Entries = rd.Entries
		}
		if rd.MustSync || p.Snapshot != nil { // a commit alone is told again
			v.outputs = append(v.outputs, VoterOutput{Persist: &p})
		}
		if p.Snapshot != nil {
			if h, err := decodeHistorySnapshot(p.Snapshot.GetData(), v.config.RetainedChanges); err == nil && v.memoryLog.ApplySnapshot(p.Snapshot) == nil { // it was read before
				v.history, v.confState = h, p.Snapshot.GetMetadata().GetConfState()
				v.appliedIndex, v.bytesSinceSnapshot = p.Snapshot.GetMetadata().GetIndex(), 0
				v.outputs = append(v.outputs, VoterOutput{Restored: true})
			}
		}
		_ = v.memoryLog.Append(rd.Entries)
		for _, m := range rd.Messages {
			v.sendMessage(m)
		}
		for _, s := range rd.ReadStates {
			for k := range v.pendingReads {
				if v.pendingReads[k].context == string(s.RequestCtx) {
					v.pendingReads[k].index, v.pendingReads[k].answered = s.Index, true
				}
			}
		}
		for _, e := range rd.CommittedEntries {
			v.applyEntry(e)
		}
		v.node.Advance(rd)
	}
	v.trackLeadership(now)
	v.updateFreshness(now)
	if v.bytesSinceSnapshot > v.snapshotThreshold() {
		v.takeSnapshot()
	}
}

// between is how many bytes of entries are kept beside an image.
func (v *Voter) snapshotThreshold() int {
	if v.config.SnapshotThreshold > 0 {
		return v.config.SnapshotThreshold
	}
	return max(minSnapshotThreshold, len(v.history.headDocument.text)/4)
}

// lead follows what became of its leadership.
func (v *Voter) trackLeadership(now float64) {
	term := uint64(0)
	if v.leading() {
		term = v.node.BasicStatus().HardState.GetTerm()
	}
	if term != v.leaderTerm {
		v.leaderTerm, v.leadershipReady = term, false
		for _, id := range sorted(v.pendingProposals) {
			v.queueReply(id, Result{Code: CodeLeadershipLost, Leader: v.Leader()})
		}
		clear(v.pendingProposals)
		if term == 0 {
			for _, w := range v.queuedProposals {
				v.queueReply(w.id, Result{Code: CodeNotLeader, Leader: v.Leader()})
			}
			v.queuedProposals = nil
		}
	}
	if term > 0 && !v.leadershipReady {
		if t, err := v.memoryLog.Term(v.appliedIndex); err == nil && t == term {
			v.leadershipReady = true
			waiting := v.queuedProposals
			v.queuedProposals = nil
			for _, w := range waiting {
				v.appendProposal(now, w.id, w.proposal)
			}
			v.processReady(now)
		}
	}
}

func sorted(ids map[uint64]bool) (all []uint64) {
	for id := range ids {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// freshen takes the answered questions that the log has reached.
func (v *Voter) updateFreshness(now float64) {
	v.pendingReads = slices.DeleteFunc(v.pendingReads, func(r readIndexRequest) bool {
		if r.answered && r.index <= v.appliedIndex {
			v.freshAsOf = max(v.freshAsOf, r.sentAt)
		}
		return r.answered && r.index <= v.appliedIndex
	})
	if v.config.InjectedBug == BugFreshWithoutQuorum && v.leading() {
		v.freshAsOf = now
	}
}

// apply is the state machine: the same everywhere.
func (v *Voter) applyEntry(e *pb.Entry) {
	v.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 {
		return // a leader's first
	}
	v.bytesSinceSnapshot += len(e.GetData()) + len(v.history.headDocument.text)/entryApplyDivisor
	var what logEntry
	data, err := decompress(e.GetData(), maxProposalBytes)
	if err == nil {
		err = snapshot.Read(data, &what)
	}
	if err != nil {
		return
	}
	c, err := what.Change.decode()
	if err != nil {
		return
	}
	r := v.applyChange(what.Base, c)
	if v.pendingProposals[c.ID] {
		delete(v.pendingProposals, c.ID)
		v.queueReply(c.ID, r)
	}
}

func (v *Voter) applyChange(base uint64, c Change) Result {
	head, doc := v.history.Head()
	if version, known := v.history.FindProposal(c.ID); known {
		return Result{Code: CodeDone, Version: version}
	}
	if base != head && v.config.InjectedBug != BugBaseUnchecked {
		return Result{Code: CodeConflict, Version: head}
	}
	next, err := doc.applySplices(c.Splices)
	if err == nil && next.digest != c.Digest {
		if err = errDigestMismatch; v.config.InjectedBug == BugBaseUnchecked {
			c.Digest, err = next.digest, nil
		}
	}
	if err != nil {
		return Result{Code: CodeInvalid, Version: head, Detail: err.Error()}
	}
	c.Version = head + 1
	v.history.appendChange(c, next)
	v.outputs = append(v.outputs, VoterOutput{Committed: &c})
	return Result{Code: CodeDone, Version: c.Version}
}

// image keeps what the entries come to by now, and lets go of them.
func (v *Voter) takeSnapshot() {
	s, err := v.memoryLog.CreateSnapshot(v.appliedIndex, v.confState, v.history.encodeSnapshot())
	if err != nil {
		return
	}
	v.bytesSinceSnapshot = 0
	v.outputs = append(v.outputs, VoterOutput{Persist: &Persist{Snapshot: s}})
	if v.appliedIndex > retainedEntries {
		_ = v.memoryLog.Compact(v.appliedIndex - retainedEntries) // is compacted already, where there are not so many
	}
}

// Next is what is to be done next.
func (v *Voter) Next() (VoterOutput, bool) {
	if len(v.outputs) == 0 {
		return VoterOutput{}, false
	}
	o := v.outputs[0]
	v.outputs[0] = VoterOutput{}
	if v.outputs = v.outputs[1:]; len(v.outputs) == 0 {
		v.outputs = nil
	}
	return o, true
}

// History is what has been applied; it goes on in place, but for a Restored one, which is another.
func (v *Voter) History() *History { return v.history }

// Leader is 0 where none is known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().SoftState.Lead }

func (v *Voter) IsLeader() bool { return v.leading() }

func (v *Voter) leading() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// Fault tells how its store has lost what it had told others of; "" is as it should be. Such a voter can't go on: its process ends, and
// its store is set aside.
func (v *Voter) StoreFault() string { return v.storeFault }

// FreshAt is a time, by this process's clock, at which History was known to have all that had been acknowledged; minus infinity
// where none is.
func (v *Voter) FreshAsOf() float64 { return v.freshAsOf }
