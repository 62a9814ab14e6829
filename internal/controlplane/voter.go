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
	TickMs = 50.0 // how often Tick is due, of voters, servers and followers

	heartbeatTicks = 2        // a leader's, among voters
	electionTicks  = 20       // without a word of the leader, up to twice as many by chance: one elects within about 2 s
	readEvery      = 500.0    // ms between two questions how far the log has come
	mostReads      = 64       // such questions without an answer
	mostWaiting    = 64       // proposals in hand
	mostInFlight   = 64 << 20 // bytes of entries that no majority has yet
	entryBytes     = 1 << 20  // of entries between two images
	entryWeight    = 256      // an entry counts for this part of the text besides, as it is applied anew at a start
	entriesKept    = 64       // behind an image, for voters that lag a little; each may be a whole text
	pieceBytes     = 256 << 10
	mostMessage    = mostImage + 1<<20
)

// Voter is one of those that agree on the history. What Next gives is to be carried out in order, to its end, before anything else is
// asked of it: History and FreshAt are ahead of a Persist that is still to come.
type Voter struct {
	t        VoterConfig
	rn       *raft.RawNode
	store    *raft.MemoryStorage // what the durable one has, but for a few entries from before its image
	conf     *pb.ConfState
	history  *History
	chance   *rand.Rand
	out      []VoterOutput
	silent   int // ticks without a word of the leader
	patience int
	applied  uint64
	weight   int    // of the entries since the image
	term     uint64 // in which it leads; 0 is none
	began    bool   // it leads and has applied all from before
	waiting  []held // until it has begun
	pending  map[uint64]bool
	pieces   map[uint64][]byte // of messages that come in several
	asked    float64           // when it last asked how far the log has come
	asks     uint64
	reads    []read
	freshAt  float64
	fault    string
}

type held struct {
	id uint64
	p  Proposal
}

// read is a question how far the log had come at a time; with an index it is answered.
type read struct {
	context string
	at      float64
	index   uint64
	known   bool
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
func Bootstrap(voters []uint64) *Stored {
	voters = slices.Sorted(slices.Values(voters))
	conf := &pb.ConfState{Voters: voters}
	return &Stored{Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, Conf: conf,
		Snapshot: &pb.Snapshot{Data: newHistory(0, nothing(), mostKept).image(),
			Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}}
}

// Keep does to it what is to be durable.
func (s *Stored) Keep(p *Persist) {
	if p.Snapshot != nil {
		s.Snapshot, s.Conf = p.Snapshot, p.Snapshot.GetMetadata().GetConfState()
		index := p.Snapshot.GetMetadata().GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return p.Restored || e.GetIndex() <= index })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].GetIndex()
		s.Entries = append(slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), p.Entries...)
	}
	if p.Hard != nil {
		s.Hard = p.Hard
	}
}

// check tells what is wrong with a store.
func (s *Stored) check(t *VoterConfig) error {
	if s == nil || s.Snapshot == nil || s.Hard == nil {
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
	if c := s.Hard.GetCommit(); c > last || s.Hard.GetTerm() < term {
		return fmt.Errorf("committed %d of term %d, its entries end at %d of term %d", c, s.Hard.GetTerm(), last, term)
	}
	return nil
}

// NewVoter goes on from a store.
func NewVoter(t VoterConfig, s *Stored, now float64) (*Voter, error) {
	if !slices.Contains(t.Voters, t.ID) {
		return nil, fmt.Errorf("voter %d is not one of %d", t.ID, t.Voters)
	}
	if err := s.check(&t); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	m := s.Snapshot.GetMetadata()
	h, err := readImage(s.Snapshot.GetData(), t.Kept)
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v := &Voter{t: t, store: raft.NewMemoryStorage(), conf: m.GetConfState(), history: h, chance: rand.New(rand.NewPCG(t.Seed, t.ID)),
		applied: m.GetIndex(), pending: map[uint64]bool{}, pieces: map[uint64][]byte{}, asked: now - v0(readEvery, t.ID), freshAt: math.Inf(-1)}
	hard := proto.Clone(s.Hard).(*pb.HardState)
	hard.Commit = proto.Uint64(max(hard.GetCommit(), m.GetIndex())) // how far it was committed is not always written
	if err := errors.Join(v.store.ApplySnapshot(s.Snapshot), v.store.SetHardState(hard), v.store.Append(s.Entries)); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.rn, err = raft.NewRawNode(&raft.Config{ID: t.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.store,
		Applied: v.applied, MaxSizePerMsg: pieceBytes, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostInFlight, CheckQuorum: true,
		PreVote: true, DisableProposalForwarding: true, Logger: quiet{raftLogger}})
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.wait()
	v.work(now)
	return v, nil
}

// v0 spreads the voters' questions over the time between two.
func v0(every float64, id uint64) float64 { return every * float64(id%7) / 7 }

// wait draws a patience: chance is the voter's own, so that one seed makes one history.
func (v *Voter) wait() { v.silent, v.patience = 0, electionTicks+v.chance.IntN(electionTicks) }

// Tick lets time pass. A raft node draws its patience from the machine's own chance; so followers only count, and it is the voter
// that calls for an election.
func (v *Voter) Tick(now float64) {
	if v.leading() {
		v.rn.Tick()
	} else {
		v.rn.TickQuiesced()
		if v.silent++; v.silent >= v.patience {
			v.wait()
			_ = v.rn.Campaign()
		}
	}
	if now-v.asked >= readEvery {
		v.asked = now
		v.asks++
		// No two questions are alike, whoever asks them and however often it has begun: the leader knows them by their text.
		context := binary.BigEndian.AppendUint64(nil, v.t.ID)
		context = binary.BigEndian.AppendUint64(context, math.Float64bits(now))
		context = binary.BigEndian.AppendUint64(context, v.asks)
		if len(v.reads) >= mostReads {
			v.reads = v.reads[1:]
		}
		v.reads = append(v.reads, read{context: string(context), at: now})
		v.rn.ReadIndex(context)
	}
	v.work(now)
}

// Message takes what another voter has sent. What is odd is as good as lost.
func (v *Voter) Message(now float64, from uint64, data []byte) {
	if len(data) < 1 || len(data) > MostFrame || from == v.t.ID || !slices.Contains(v.t.Voters, from) {
		return
	}
	whole := data[1:]
	if data[0] != first|last {
		if data[0]&first != 0 {
			v.pieces[from] = nil
		} else if len(v.pieces[from]) == 0 {
			return // its beginning is lost
		}
		whole = append(v.pieces[from], data[1:]...)
		if v.pieces[from] = whole; len(whole) > mostMessage {
			delete(v.pieces, from)
			return
		}
		if data[0]&last == 0 {
			return
		}
	}
	delete(v.pieces, from)
	m := &pb.Message{}
	if proto.Unmarshal(whole, m) != nil || m.GetFrom() != from || !v.sound(m) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= v.rn.BasicStatus().HardState.GetTerm() {
			v.silent = 0
		}
	}
	_ = v.rn.Step(m)
	v.work(now)
}

// sound tells whether a raft node can take a message: it ends the process at some that no sound voter says.
func (v *Voter) sound(m *pb.Message) bool {
	if m.GetTo() != v.t.ID || (m.GetTerm() == 0) != (m.GetType() == pb.MsgReadIndex) || m.GetTerm() > math.MaxUint64/2 {
		return false
	}
	end, _ := v.store.LastIndex()
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
			v.fault = fmt.Sprintf("voter %d knows that entry %d was written here, the store ends with %d: it has lost what it had", m.GetFrom(), m.GetCommit(), end)
		}
		return m.GetCommit() <= end
	case pb.MsgAppResp:
		return m.GetIndex() <= end && (!m.GetReject() || m.GetRejectHint() <= end)
	case pb.MsgSnap:
		s := m.GetSnapshot().GetMetadata()
		if s.GetIndex() == 0 || s.GetTerm() == 0 || s.GetIndex() > math.MaxUint64/2 || s.GetTerm() > m.GetTerm() || !proto.Equal(s.GetConfState(), v.conf) {
			return false
		}
		_, err := readImage(m.GetSnapshot().GetData(), v.t.Kept)
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
	first = 1 << iota
	last
)

func (v *Voter) send(m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for at := 0; at < len(data); at += pieceBytes {
		end := min(at+pieceBytes, len(data))
		var kind byte
		if at == 0 {
			kind |= first
		}
		if end == len(data) {
			kind |= last
		}
		v.out = append(v.out, VoterOutput{Send: &VoterSend{To: m.GetTo(), Data: append([]byte{kind}, data[at:end]...)}})
	}
	if m.GetType() == pb.MsgSnap { // whether it came is seen by what is said next: a link keeps the order
		v.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// Propose asks for a change; a Reply comes with the same id, which is the proposal's and never 0.
func (v *Voter) Propose(now float64, id uint64, p Proposal) {
	switch {
	case id == 0 || p.Text == nil || len(p.By) > mostWords || len(p.Reason) > mostWords:
		v.reply(id, Result{Code: Invalid, Why: fmt.Sprintf("no id, no text, or words of over %d bytes", mostWords)})
	case !v.leading():
		v.reply(id, Result{Code: NotLeader, Leader: v.Leader()})
	case v.pending[id]: // asked again: answered once
	case len(v.waiting)+len(v.pending) >= mostWaiting:
		v.reply(id, Result{Code: Busy})
	case !v.began:
		v.waiting = append(v.waiting, held{id, p})
	default:
		v.propose(now, id, p)
	}
	v.work(now)
}

func (v *Voter) propose(now float64, id uint64, p Proposal) {
	head, doc := v.history.Head()
	if version, known := v.history.Find(id); known {
		v.reply(id, Result{Code: Done, Version: version})
		return
	}
	if p.Base != head && v.t.InjectedBug != BaseUnchecked {
		v.reply(id, Result{Code: Conflict, Version: head})
		return
	}
	c := Change{ID: id, Digest: p.Text.digest, Splices: Diff(doc, p.Text), By: p.By, Reason: p.Reason, At: now}
	e := entry{Base: p.Base, Change: fromChange(&c)}
	if err := v.rn.Propose(pack(snapshot.Append(nil, &e))); err != nil {
		v.reply(id, Result{Code: Busy})
		return
	}
	if v.t.InjectedBug == AckEarly && len(v.pending) == 0 { // nothing but a majority is wanting
		v.reply(id, Result{Code: Done, Version: head + 1})
	}
	v.pending[id] = true
}

func (v *Voter) reply(id uint64, r Result) {
	v.out = append(v.out, VoterOutput{Reply: &Reply{ID: id, Result: r}})
}

// work carries out what the raft node is ready for.
func (v *Voter) work(now float64) {
	for v.rn.HasReady() {
		rd := v.rn.Ready()
		var p Persist
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			p.Hard = rd.HardState
			_ = v.store.SetHardState(rd.HardState)
		}
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			p.Snapshot, p.Restored = rd.Snapshot, true
		}
		if len(rd.Entries) > 0 {
			p.Entries = rd.Entries
		}
		if rd.MustSync || p.Snapshot != nil { // a commit alone is told again
			v.out = append(v.out, VoterOutput{Persist: &p})
		}
		if p.Snapshot != nil {
			if h, err := readImage(p.Snapshot.GetData(), v.t.Kept); err == nil && v.store.ApplySnapshot(p.Snapshot) == nil { // it was read before
				v.history, v.conf = h, p.Snapshot.GetMetadata().GetConfState()
				v.applied, v.weight = p.Snapshot.GetMetadata().GetIndex(), 0
				v.out = append(v.out, VoterOutput{Restored: true})
			}
		}
		_ = v.store.Append(rd.Entries)
		for _, m := range rd.Messages {
			v.send(m)
		}
		for _, s := range rd.ReadStates {
			for k := range v.reads {
				if v.reads[k].context == string(s.RequestCtx) {
					v.reads[k].index, v.reads[k].known = s.Index, true
				}
			}
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		v.rn.Advance(rd)
	}
	v.lead(now)
	v.freshen(now)
	if v.weight > v.between() {
		v.image()
	}
}

// between is how many bytes of entries are kept beside an image.
func (v *Voter) between() int {
	if v.t.Entries > 0 {
		return v.t.Entries
	}
	return max(entryBytes, len(v.history.doc.text)/4)
}

// lead follows what became of its leadership.
func (v *Voter) lead(now float64) {
	term := uint64(0)
	if v.leading() {
		term = v.rn.BasicStatus().HardState.GetTerm()
	}
	if term != v.term {
		v.term, v.began = term, false
		for _, id := range sorted(v.pending) {
			v.reply(id, Result{Code: Lost, Leader: v.Leader()})
		}
		clear(v.pending)
		if term == 0 {
			for _, w := range v.waiting {
				v.reply(w.id, Result{Code: NotLeader, Leader: v.Leader()})
			}
			v.waiting = nil
		}
	}
	if term > 0 && !v.began {
		if t, err := v.store.Term(v.applied); err == nil && t == term {
			v.began = true
			waiting := v.waiting
			v.waiting = nil
			for _, w := range waiting {
				v.propose(now, w.id, w.p)
			}
			v.work(now)
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
func (v *Voter) freshen(now float64) {
	v.reads = slices.DeleteFunc(v.reads, func(r read) bool {
		if r.known && r.index <= v.applied {
			v.freshAt = max(v.freshAt, r.at)
		}
		return r.known && r.index <= v.applied
	})
	if v.t.InjectedBug == StaleServe && v.leading() {
		v.freshAt = now
	}
}

// apply is the state machine: the same everywhere.
func (v *Voter) apply(e *pb.Entry) {
	v.applied = e.GetIndex()
	if len(e.GetData()) == 0 {
		return // a leader's first
	}
	v.weight += len(e.GetData()) + len(v.history.doc.text)/entryWeight
	var what entry
	data, err := unpack(e.GetData(), mostProposal)
	if err == nil {
		err = snapshot.Read(data, &what)
	}
	if err != nil {
		return
	}
	c, err := what.Change.change()
	if err != nil {
		return
	}
	r := v.changed(what.Base, c)
	if v.pending[c.ID] {
		delete(v.pending, c.ID)
		v.reply(c.ID, r)
	}
}

func (v *Voter) changed(base uint64, c Change) Result {
	head, doc := v.history.Head()
	if version, known := v.history.Find(c.ID); known {
		return Result{Code: Done, Version: version}
	}
	if base != head && v.t.InjectedBug != BaseUnchecked {
		return Result{Code: Conflict, Version: head}
	}
	next, err := doc.splice(c.Splices)
	if err == nil && next.digest != c.Digest {
		if err = errDigest; v.t.InjectedBug == BaseUnchecked {
			c.Digest, err = next.digest, nil
		}
	}
	if err != nil {
		return Result{Code: Invalid, Version: head, Why: err.Error()}
	}
	c.Version = head + 1
	v.history.take(c, next)
	v.out = append(v.out, VoterOutput{Committed: &c})
	return Result{Code: Done, Version: c.Version}
}

// image keeps what the entries come to by now, and lets go of them.
func (v *Voter) image() {
	s, err := v.store.CreateSnapshot(v.applied, v.conf, v.history.image())
	if err != nil {
		return
	}
	v.weight = 0
	v.out = append(v.out, VoterOutput{Persist: &Persist{Snapshot: s}})
	if v.applied > entriesKept {
		_ = v.store.Compact(v.applied - entriesKept) // is compacted already, where there are not so many
	}
}

// Next is what is to be done next.
func (v *Voter) Next() (VoterOutput, bool) {
	if len(v.out) == 0 {
		return VoterOutput{}, false
	}
	o := v.out[0]
	v.out[0] = VoterOutput{}
	if v.out = v.out[1:]; len(v.out) == 0 {
		v.out = nil
	}
	return o, true
}

// History is what has been applied; it goes on in place, but for a Restored one, which is another.
func (v *Voter) History() *History { return v.history }

// Leader is 0 where none is known.
func (v *Voter) Leader() uint64 { return v.rn.BasicStatus().SoftState.Lead }

func (v *Voter) Leads() bool { return v.leading() }

func (v *Voter) leading() bool { return v.rn.BasicStatus().RaftState == raft.StateLeader }

// Fault tells how its store has lost what it had told others of; "" is as it should be. Such a voter can't go on: its process ends, and
// its store is set aside.
func (v *Voter) Fault() string { return v.fault }

// FreshAt is a time, by this process's clock, at which History was known to have all that had been acknowledged; minus infinity
// where none is.
func (v *Voter) FreshAt() float64 { return v.freshAt }
