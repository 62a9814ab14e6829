// Package requestlog keeps records of the ops that processes have in hand, each in a log that several of them hold, and
// decides who takes over what a lost one had, and what its heir does with it. It does no I/O: time, links and frames come
// in as values, and frames, answers and inheritances are pulled. Agreement is raft's (go.etcd.io/raft/v3).
//
// There is one log for each member of the list, and a key's records lie in the log that its hash names, whoever took the
// op: so two ops with one key meet in one log, and whose an op is is told by that log alone. docs/takeover.md has the
// ways weighed and what is promised.
package requestlog

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/snapshot"
)

// Version is that of the frames; another one's are refused.
const Version = 1

// Terms are what a house is told at its start.
type Config struct {
	Members     []string // the same at all processes, in the same order
	Self        int
	Incarnation uint64 // above those before it under the name
	Replicas    int
	Seed        uint64
	MaxLogBytes int     // bytes that a log's ledger may hold
	OutcomeTTL  float64 // ms that an outcome is kept
	InjectedBug InjectedBug
}

const (
	TickMs = 25.0 // of a log's time

	// SilentFor is how long a linked process may say nothing before what it had is another's; BrokenFor how long a
	// broken link may stay so. An owner begins no push by a word asked for FreshFor ago or longer.
	PeerTimeoutMs      = 1000.0
	ReconnectTimeoutMs = 400.0
	LeaseMs            = 700.0

	beatEvery   = 100.0
	againAfter  = 200.0 // an ask that had no answer
	steerEvery  = 200.0 // looks at who should hold a log
	forgetEvery = 1000.0
	overdueFor  = 500.0  // past an op's time, when an owner that lives has not ended it
	frozenFrom  = 250.0  // a gap between two ticks after which this process doubts itself first
	lostAfter   = 3000.0 // of a log without a leader or a majority; several elections would have been over
	youngFor    = 2500.0 // of a process; a process before it may still speak for the member
	lingerFor   = 2000.0 // of a copy that is none any more
	restAfter   = 1000.0 // a change of voters that is not over may be tried again
)

// frame kinds.
const (
	raftFrame = iota + 1
	askFrame
	toldFrame
	beatFrame
)

// Frame is what goes between two houses.
type Frame struct {
	Version    int
	Kind       int
	Log        int
	Generation uint64
	Raft       []byte
	Call       Call
	Reply      CallReply
	Heartbeat  Heartbeat
}

// Ask is a look, or a record to be written.
type Call struct {
	Seq    uint64
	Lookup bool
	Record Record
}

// Told is the answer to one.
type CallReply struct {
	Seq    uint64
	Result Result
	Answer FinalAnswer
}

// Beat is what a process says of itself now and then.
type Heartbeat struct {
	Leaving bool
	Nonce   uint64   // to be given back, so that an old beat is known from one of now
	Echo    []uint64 // the nonces that came from each member
	Logs    []LogStatus
}

// State is a process's part in one log.
type LogStatus struct {
	Log             int
	Generation      uint64
	KnownGeneration uint64 // the latest founding that it has ever heard of
	VoterID         uint64 // by which it is to be taken in
	HasReplica      bool
	IsLeader        bool
	Term            uint64
	Voters          []uint64
	OutgoingVoters  []uint64 // in the middle of a change, those before it
	Applied         uint64   // how far it has applied the log
	Complete        bool     // it leads, and all that are meant to hold the log live and do
}

// peer is what is known of a member.
type peer struct {
	pid    Incarnation // 0 is unknown
	linked bool
	heard  float64
	broke  float64
	beat   *Heartbeat
}

// ask is one of this process's that has no answer yet.
type ask struct {
	id     uint64 // the caller's
	seq    uint64 // of the latest sending
	sent   float64
	until  float64
	log    int
	look   bool
	record Record
}

// Out is one thing for the host to do.
type Output struct {
	To        int    // with a frame: to this member
	Frame     []byte // nil is none
	Reply     *Reply
	TakenOver *Entry // this process has the op from now on
	Log       string // a line for the log
}

// Reply answers Look or Write.
type Reply struct {
	ID     uint64
	Result Result
	Answer FinalAnswer
	SentAt float64 // when the answered ask was sent
}

// House is one process's part in all logs.
type Member struct {
	t       Config
	now     float64
	self    Incarnation
	logs    []*log
	seats   []uint64 // by log, the seat that this process would take
	peers   []peer
	asks    map[uint64]*ask // by seq
	mine    map[string]bool // keys whose ops this process has in hand
	seq     uint64
	out     []Output
	tickAt  float64
	beatAt  float64
	steerAt float64
	cleanAt float64
	known   []uint64 // by log, its latest founding that this process has heard of
	nonce   uint64
	picture uint64  // of what all say of the own log, where nobody leads it
	still   float64 // since when it is the same
	born    float64
	doubt   float64 // until then it blames nobody: it has stood still itself
	leaving bool
}

// New makes a house.
func New(t Config, now float64) *Member {
	h := &Member{t: t, now: now, self: NewIncarnation(t.Self, t.Incarnation), logs: make([]*log, len(t.Members)), seats: make([]uint64, len(t.Members)),
		peers: make([]peer, len(t.Members)), asks: map[uint64]*ask{}, mine: map[string]bool{}, tickAt: now, beatAt: now,
		steerAt: now + steerEvery, cleanAt: now + forgetEvery, born: now, doubt: now + PeerTimeoutMs, known: make([]uint64, len(t.Members)), nonce: t.Incarnation}
	for k := range h.seats {
		h.seats[k] = uint64(h.self) + 1
	}
	return h
}

// Self is this process's life.
func (h *Member) Self() Incarnation { return h.self }

// LogOf tells in which log a key's records lie.
func (h *Member) LogOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(h.t.Members)))
}

// Linked takes a link to a member that has come up.
func (h *Member) PeerConnected(now float64, member int, pid Incarnation) {
	h.now = now
	p := &h.peers[member]
	p.pid, p.beat = pid, nil
	p.linked, p.heard = true, now
}

// Broken takes a link's end.
func (h *Member) PeerDisconnected(now float64, member int) {
	h.now = now
	if p := &h.peers[member]; p.linked {
		p.linked, p.broke, p.beat = false, now, nil
	}
}

// Leave has this process's logs led by others, as far as they can.
func (h *Member) Shutdown(now float64) {
	h.now, h.leaving, h.beatAt = now, true, now
	h.steer()
}

// Look asks what is known of a key; the answer comes as a Reply.
func (h *Member) Lookup(now float64, id uint64, key string, print uint64, until float64) {
	h.now = now
	h.send(&ask{id: id, until: until, log: h.LogOf(key), look: true, record: Record{Key: key, Request: Request{Fingerprint: print}}})
}

// Write has a record written; Done comes when a majority holds it.
func (h *Member) Append(now float64, id uint64, r Record, until float64) {
	h.now = now
	if r.Kind == AttemptStarted && r.Attempt.Number == 0 {
		if h.mine[r.Key] {
			h.out = append(h.out, Output{Reply: &Reply{ID: id, Result: KeyInFlight, SentAt: now}})
			return
		}
		h.mine[r.Key] = true
	}
	r.Owner = h.self
	h.send(&ask{id: id, until: until, log: h.LogOf(r.Key), record: r})
}

// leads gives the member that leads a log, as far as is known.
func (h *Member) leads(slot int) (int, bool) {
	if l := h.logs[slot]; l != nil {
		if l.serves(h.t.Replicas) {
			return h.t.Self, true
		}
		if lead := of(l.leader()).Member(); l.leader() != 0 && lead != h.t.Self && h.peers[lead].linked {
			return lead, true
		}
	}
	best, at, term := -1, uint64(0), uint64(0)
	for m := range h.peers {
		p := &h.peers[m]
		if p.beat == nil || !p.linked {
			continue
		}
		for _, s := range p.beat.Logs {
			if s.Log == slot && s.IsLeader && (best < 0 || s.Generation > at || s.Generation == at && s.Term > term) {
				best, at, term = m, s.Generation, s.Term
			}
		}
	}
	return best, best >= 0
}

// send sends an ask to whoever leads its log, once more where there was no answer.
func (h *Member) send(a *ask) {
	delete(h.asks, a.seq)
	h.seq++
	a.seq, a.sent = h.seq, h.now
	h.asks[a.seq] = a
	to, known := h.leads(a.log)
	switch {
	case !known:
	case to == h.t.Self:
		h.serve(h.self, a.log, Call{Seq: a.seq, Lookup: a.look, Record: a.record})
	default:
		h.frame(to, &Frame{Kind: askFrame, Log: a.log, Call: Call{Seq: a.seq, Lookup: a.look, Record: a.record}})
	}
}

func (h *Member) frame(to int, f *Frame) { h.out = append(h.out, Output{To: to, Frame: encode(f)}) }

func encode(f *Frame) []byte {
	f.Version = Version
	return snapshot.Append(nil, f)
}

// serve answers an ask, if this process leads its log.
func (h *Member) serve(from Incarnation, slot int, a Call) {
	l := h.logs[slot]
	switch {
	case l == nil || !l.serves(h.t.Replicas):
		h.answer(from, a.Seq, NotLeader, FinalAnswer{})
	case a.Lookup:
		code, o := l.ledger.look(a.Record.Key, a.Record.Request.Fingerprint)
		h.answer(from, a.Seq, code, o)
	case a.Record.Owner != from || a.Record.Kind == 0 || a.Record.Kind > RequestAnswered:
		h.answer(from, a.Seq, InvalidRecord, FinalAnswer{})
	default:
		r := a.Record
		r.At, r.Caller, r.Seq = h.now, from, a.Seq
		if l.rn.Propose(snapshot.Append(nil, &r)) != nil { // it hands its lead on, or has much under way: neither lasts
			h.answer(from, a.Seq, NotLeader, FinalAnswer{})
		}
	}
}

func (h *Member) answer(to Incarnation, seq uint64, code Result, o FinalAnswer) {
	if to == h.self {
		h.told(CallReply{seq, code, o})
	} else if h.peers[to.Member()].pid == to {
		h.frame(to.Member(), &Frame{Kind: toldFrame, Reply: CallReply{seq, code, o}})
	}
}

// told takes an answer. One to an earlier sending is not heard: what counts is how long ago the ask went out.
func (h *Member) told(t CallReply) {
	a := h.asks[t.Seq]
	if a == nil {
		return
	}
	if t.Result == NotLeader { // sent again soon, to whoever leads by then
		a.sent = math.Min(a.sent, h.now-againAfter+2*TickMs)
		return
	}
	delete(h.asks, t.Seq)
	h.reply(a, t.Result, t.Answer)
}

func (h *Member) reply(a *ask, code Result, o FinalAnswer) {
	if r := &a.record; !a.look {
		switch {
		case r.Kind == AttemptStarted && r.Attempt.Number == 0 && code != Committed:
			delete(h.mine, r.Key)
		case r.Kind == RequestAnswered:
			delete(h.mine, r.Key)
		}
	}
	h.out = append(h.out, Output{Reply: &Reply{ID: a.id, Result: code, Answer: o, SentAt: a.sent}})
}

var errFrame = errors.New("odd frame")

// Take takes a frame of a linked process.
func (h *Member) Receive(now float64, from int, data []byte) error {
	h.now = now
	p := &h.peers[from]
	f := &Frame{}
	if err := snapshot.Read(data, f); err != nil {
		return errFrame
	}
	if f.Version != Version {
		return fmt.Errorf("frame of version %d, this build reads %d", f.Version, Version)
	}
	if f.Log < 0 || f.Log >= len(h.logs) || p.pid == 0 {
		return errFrame
	}
	p.heard = now
	switch f.Kind {
	case raftFrame:
		m := &pb.Message{}
		if proto.Unmarshal(f.Raft, m) != nil || of(m.GetFrom()) != p.pid {
			return errFrame
		}
		h.agree(f, m)
	case askFrame:
		h.serve(p.pid, f.Log, f.Call)
	case toldFrame:
		h.told(f.Reply)
	case beatFrame:
		if len(f.Heartbeat.Echo) != len(h.peers) {
			return errFrame
		}
		for _, s := range f.Heartbeat.Logs {
			if s.Log < 0 || s.Log >= len(h.logs) {
				return errFrame
			}
			h.known[s.Log] = max(h.known[s.Log], s.KnownGeneration)
		}
		p.beat = &f.Heartbeat
		h.compare(from)
	default:
		return errFrame
	}
	return nil
}

// agree hands a raft message on. A process that is taken in finds out by the first one.
func (h *Member) agree(f *Frame, m *pb.Message) {
	l := h.logs[f.Log]
	if l != nil && f.Generation > l.gen {
		h.drop(f.Log)
		l = nil
	}
	if m.GetTo() != h.seats[f.Log] || l != nil && f.Generation < l.gen {
		return
	}
	if l == nil {
		var err error
		if l, err = newLog(&h.t, f.Log, f.Generation, h.seats[f.Log], false); err != nil {
			return
		}
		h.logs[f.Log] = l
		h.known[f.Log] = max(h.known[f.Log], f.Generation)
	}
	l.step(m)
}

// drop lets go of a log. The seat is never taken again: its votes and its word are forgotten.
func (h *Member) drop(slot int) {
	h.logs[slot] = nil
	h.seats[slot]++
	h.beatAt = h.now
}

// compare lets go of logs from which this process was removed, and of those founded anew. One that was removed stays for a
// while, and votes: the others may have yet to hear that the change is over, and until then they can't do without it.
func (h *Member) compare(from int) {
	for _, s := range h.peers[from].beat.Logs {
		l := h.logs[s.Log]
		switch {
		case l == nil || !s.IsLeader:
		case s.Generation > l.gen:
			h.drop(s.Log)
		case s.Generation < l.gen || s.Term < l.term() || l.leads || slices.Contains(s.Voters, l.seat) || slices.Contains(s.OutgoingVoters, l.seat) || !s.Complete:
			l.outSince = 0
		case l.outSince == 0:
			l.outSince = h.now
		case h.now-l.outSince > lingerFor:
			h.drop(s.Log)
		}
	}
}

// Tick lets time pass; it is called every TickMs or so.
func (h *Member) Tick(now float64) {
	gap := now - h.now
	h.now = now
	if now-h.tickAt > frozenFrom || gap > frozenFrom {
		h.doubt = now + PeerTimeoutMs
		h.tickAt, h.still = now, now
		h.nonce++
		for m := range h.peers {
			h.peers[m].heard = math.Max(h.peers[m].heard, now)
		}
	}
	for ; h.tickAt <= now; h.tickAt += TickMs {
		for _, l := range h.logs {
			if l != nil {
				l.tick()
			}
		}
	}
	if now >= h.beatAt {
		h.beatAt = now + beatEvery
		h.beat()
	}
	h.found()
	for _, seq := range h.open() {
		a := h.asks[seq]
		switch {
		case now >= a.until, h.cut() && now-a.sent >= TickMs: // an election may be under way, but not with nobody
			delete(h.asks, seq)
			h.reply(a, NoQuorum, FinalAnswer{})
		case now-a.sent >= againAfter:
			h.send(a)
		}
	}
	if now >= h.steerAt {
		h.steerAt = now + steerEvery
		h.steer()
	}
	for _, l := range h.logs {
		if l != nil && l.serves(h.t.Replicas) && h.t.InjectedBug != BugNoTakeover {
			h.inherit(l)
		}
	}
	if now >= h.cleanAt {
		h.cleanAt = now + forgetEvery
		for _, l := range h.logs {
			if l != nil && l.serves(h.t.Replicas) {
				_ = l.rn.Propose(snapshot.Append(nil, &Record{Kind: AnswersExpired, At: now}))
			}
		}
	}
}

// cut tells whether this process hears so few that no majority of any log's copies can be among them. One that has just
// begun has yet to hear.
func (h *Member) cut() bool {
	if h.now < h.born+youngFor {
		return false
	}
	n := 1
	for m := range h.peers {
		if h.peers[m].linked {
			n++
		}
	}
	return 2*n <= h.t.Replicas
}

// open gives the asks without an answer, in their order.
func (h *Member) open() []uint64 {
	all := make([]uint64, 0, len(h.asks))
	for seq := range h.asks {
		all = append(all, seq)
	}
	slices.Sort(all)
	return all
}

func (h *Member) beat() {
	b := Heartbeat{Leaving: h.leaving, Nonce: h.nonce, Echo: make([]uint64, len(h.peers))}
	for m := range h.peers {
		if p := &h.peers[m]; p.beat != nil {
			b.Echo[m] = p.beat.Nonce
		}
	}
	for slot := range h.logs {
		b.Logs = append(b.Logs, h.state(slot))
	}
	data := encode(&Frame{Kind: beatFrame, Heartbeat: b})
	for m := range h.peers {
		if m != h.t.Self && h.peers[m].linked {
			h.out = append(h.out, Output{To: m, Frame: data})
		}
	}
}

func (h *Member) state(slot int) LogStatus {
	s := LogStatus{Log: slot, KnownGeneration: h.known[slot], VoterID: h.seats[slot]}
	if l := h.logs[slot]; l != nil {
		s.Generation, s.HasReplica, s.Term = l.gen, true, l.term()
		s.IsLeader = l.leads && l.began > 0
		s.Voters, s.OutgoingVoters, s.Applied = l.conf.GetVoters(), l.conf.GetVotersOutgoing(), l.applied
		s.Complete = l.serves(h.t.Replicas) && len(l.conf.GetVotersOutgoing()) == 0
		for _, v := range l.conf.GetVoters() {
			m := of(v).Member()
			s.Complete = s.Complete && h.alive(m) && h.seatOf(m, slot) == v
		}
	}
	return s
}

// found founds this member's own log. Only its own member founds a log, so that no two do. The first time, nobody may ever
// have heard of it, among so many that a majority of its copies can't be among the others. Anew, all members have to be
// heard, and what they say must show, unchanged for a while, that nobody leads it and no majority of its copies is left.
// Whoever is heard has given back a nonce of now: what was said before this process stood still proves nothing.
func (h *Member) found() {
	own := h.t.Self
	mine := h.logs[own]
	if h.leaving || mine != nil && (mine.leads || mine.leader() != 0) {
		h.still = h.now
		return
	}
	unheard, leads := 0, false
	held := map[uint64]bool{}
	var states []LogStatus
	if mine != nil {
		held[mine.seat] = true
		states = append(states, h.state(own))
	}
	for m := range h.peers {
		if p := &h.peers[m]; m != own && (p.beat == nil || !p.linked || p.beat.Echo[own] != h.nonce) {
			unheard++
		} else if m != own {
			for _, s := range p.beat.Logs {
				if s.Log == own && s.HasReplica {
					held[s.VoterID], leads = true, leads || s.IsLeader
					states = append(states, s)
				}
			}
		}
	}
	if h.known[own] == 0 {
		if unheard <= (h.t.Replicas-1)/2 {
			h.begin(own)
		}
		return
	}
	if sum := xxhash.Sum64(snapshot.Append(nil, &Heartbeat{Logs: states})); unheard > 0 || leads || sum != h.picture {
		h.picture, h.still = sum, h.now
		return
	}
	// What the one says that has come farthest is the latest: those behind may name voters of before.
	slices.SortStableFunc(states, func(a, b LogStatus) int { return cmp.Compare(b.Applied, a.Applied) })
	if len(states) > 0 && majority(states[0].Voters, held) && (len(states[0].OutgoingVoters) == 0 || majority(states[0].OutgoingVoters, held)) {
		h.still = h.now
		return
	}
	if h.now-h.still > lostAfter {
		h.out = append(h.out, Output{Log: "log founded anew: the majority of its copies is lost"})
		if mine != nil {
			h.drop(own)
		}
		h.begin(own)
	}
}

// majority tells whether most of some voters are among those that hold the log.
func majority(voters []uint64, held map[uint64]bool) bool {
	n := 0
	for _, v := range voters {
		if held[v] {
			n++
		}
	}
	return 2*n > len(voters)
}

func (h *Member) begin(own int) {
	l, err := newLog(&h.t, own, max(h.known[own]+1, uint64(h.now)), h.seats[own], true)
	if err != nil {
		h.out = append(h.out, Output{Log: "log not founded: " + err.Error()})
		return
	}
	h.logs[own], h.known[own] = l, l.gen
}

// alive tells whether a member's process can take part.
func (h *Member) alive(m int) bool {
	if m == h.t.Self {
		return !h.leaving
	}
	p := &h.peers[m]
	return p.linked && p.beat != nil && !p.beat.Leaving && h.now-p.heard < PeerTimeoutMs
}

// seatOf is the seat by which a member is in a log, or would be.
func (h *Member) seatOf(m, slot int) uint64 {
	if m == h.t.Self {
		return h.seats[slot]
	}
	for _, s := range h.peers[m].beat.Logs {
		if s.Log == slot {
			return s.VoterID
		}
	}
	return 0
}

// rank orders members for a log: its own first, then by a hash that is the same everywhere.
func (h *Member) rank(slot int) []int {
	all := make([]int, len(h.t.Members))
	weight := make([]uint64, len(all))
	for m := range all {
		all[m] = m
		weight[m] = xxhash.Sum64String(h.t.Members[slot] + "\x00" + h.t.Members[m])
	}
	slices.SortStableFunc(all, func(a, b int) int {
		if (a == slot) != (b == slot) {
			if a == slot {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight[a], weight[b])
	})
	return all
}

// steer has the logs that this process leads held by as many live processes as are meant to, one change at a time, and led by
// their own members.
func (h *Member) steer() {
	for slot, l := range h.logs {
		if l == nil || !l.leads || l.began == 0 {
			continue
		}
		if len(l.conf.GetVotersOutgoing()) > 0 || l.changed > 0 && h.now-l.changed < restAfter {
			continue
		}
		if !h.rearrange(slot, l) {
			h.pass(slot, l)
		}
	}
}

// rearrange proposes a change of voters, if one is due.
func (h *Member) rearrange(slot int, l *log) bool {
	voters := l.conf.GetVoters()
	var want []uint64
	for pass := range 3 { // its own member, those who hold it, others
		for _, m := range h.rank(slot) {
			if len(want) == h.t.Replicas || !h.alive(m) {
				continue
			}
			seat := h.seatOf(m, slot)
			in := slices.Contains(voters, seat)
			if seat == 0 || slices.Contains(want, seat) || pass == 0 && m != slot || pass == 1 && !in {
				continue
			}
			want = append(want, seat)
		}
	}
	if !slices.Contains(want, l.seat) && len(want) > 0 && !h.leaving { // whoever leads goes last, after it has passed the lead on
		want[len(want)-1] = l.seat
	}
	var changes []*pb.ConfChangeSingle
	change := func(t pb.ConfChangeType, seat uint64) {
		changes = append(changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(seat)})
	}
	added := 0
	for _, seat := range want {
		if !slices.Contains(voters, seat) {
			change(pb.ConfChangeAddNode, seat)
			added++
		}
	}
	spare := len(voters) + added - h.t.Replicas // a lost voter stays until another is there in its place
	for _, seat := range voters {
		if spare > 0 && !slices.Contains(want, seat) && seat != l.seat {
			change(pb.ConfChangeRemoveNode, seat)
			spare--
		}
	}
	if len(changes) == 0 {
		return false
	}
	c := &pb.ConfChangeV2{Transition: pb.ConfChangeTransition_ConfChangeTransitionAuto.Enum(), Changes: changes}
	if l.rn.ProposeConfChange(c) == nil {
		l.changed = h.now
	}
	return true
}

// pass hands the lead to the log's own member once it is a voter, or to any where this process leaves.
func (h *Member) pass(slot int, l *log) {
	for _, m := range h.rank(slot) {
		if m != h.t.Self && h.alive(m) && slices.Contains(l.conf.GetVoters(), h.seatOf(m, slot)) && (m == slot || h.leaving) {
			l.rn.TransferLeader(h.seatOf(m, slot))
			return
		}
		if !h.leaving {
			return
		}
	}
}

// gone tells whether a life is lost, as far as this process can tell. It may be wrong: the log's word keeps a
// process that lives from acting on what it no longer has.
func (h *Member) gone(owner Incarnation) bool {
	if owner.Member() >= len(h.peers) {
		return true
	}
	p := &h.peers[owner.Member()]
	switch {
	case owner == h.self || h.now < h.doubt:
		return false
	case owner.Member() == h.t.Self, p.pid.life() > owner.life():
		return true
	case p.linked:
		return h.now-p.heard > PeerTimeoutMs
	}
	return h.now-p.broke > ReconnectTimeoutMs
}

// inherit proposes to take over what lost processes had, and what is past its time.
func (h *Member) inherit(l *log) {
	for key, at := range l.claimed {
		if h.now-at > 2*againAfter {
			delete(l.claimed, key)
		}
	}
	due := map[string]*Entry{}
	for key, e := range l.ledger.open {
		_, already := l.claimed[key]
		if !already && (h.gone(e.Owner) || h.now >= e.Request.Deadline+overdueFor || e.Owner == h.self && !h.mine[key]) {
			due[key] = e
		}
	}
	for _, e := range sorted(due) {
		l.claimed[e.Key] = h.now
		_ = l.rn.Propose(snapshot.Append(nil, &Record{Kind: OwnerChanged, Key: e.Key, Owner: e.Owner, NewOwner: h.self, At: h.now}))
	}
}

// work carries out what the logs are ready for.
func (h *Member) work() {
	for again := true; again; {
		again = false
		for slot, l := range h.logs {
			if l == nil || !l.rn.HasReady() {
				continue
			}
			again = true
			led := l.leads
			l.work(func(m *pb.Message) { h.post(l, m) }, func(r *Record, code Result, o FinalAnswer) { h.applied(l, r, code, o) })
			if l.leads != led {
				h.beatAt = h.now
				clear(l.claimed)
				l.changed = 0
				verb := "leads"
				if led {
					verb = "leads no more"
				}
				h.out = append(h.out, Output{Log: fmt.Sprintf("%s the log of %s, term %d", verb, h.t.Members[slot], l.term())})
			}
		}
	}
}

func (h *Member) post(l *log, m *pb.Message) {
	to := of(m.GetTo())
	if p := &h.peers[to.Member()]; to == h.self || p.pid != to || !p.linked {
		l.sent(m, false)
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	h.frame(to.Member(), &Frame{Kind: raftFrame, Log: l.slot, Generation: l.gen, Raft: data})
	l.sent(m, true)
}

// applied hears of each record that a log has taken.
func (h *Member) applied(l *log, r *Record, code Result, o FinalAnswer) {
	if r.Kind == OwnerChanged {
		delete(l.claimed, r.Key)
		if code == Committed && r.NewOwner == h.self {
			e := *l.ledger.entries[r.Key]
			e.Attempts = slices.Clone(e.Attempts)
			h.mine[r.Key] = true
			h.out = append(h.out, Output{TakenOver: &e})
		}
		return
	}
	if r.Caller != 0 && l.leading() {
		h.answer(r.Caller, r.Seq, code, o)
	}
}

// Next gives the next thing to do, if there is one. The logs are worked at here: what came in together goes out together.
func (h *Member) Next() (Output, bool) {
	if len(h.out) == 0 {
		h.work()
	}
	if len(h.out) == 0 {
		return Output{}, false
	}
	o := h.out[0]
	h.out = h.out[1:]
	return o, true
}
