package requestlog

import (
	"io"
	stdlog "log"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/snapshot"
)

const (
	heartbeatTicks = 2
	electionTicks  = 20
	mostInFlight   = 8 << 20
	leastWeight    = 256 << 10 // of records before an image is made

	// HeldTimes is how much of a process's memory a log takes at most, in times of what its ledger may hold: the ledger, its image,
	// and records of a quarter of that since, which are let go of as an image is made. Whoever lags behind is given the image.
	MemoryFactor = 2.5
)

// log is one replicated log as this process has it: a raft node, and what its records come to.
type log struct {
	slot     int
	gen      uint64 // which founding it stems from
	seat     uint64 // this process's name in it
	rn       *raft.RawNode
	store    *raft.MemoryStorage
	ledger   *Ledger
	conf     *pb.ConfState
	chance   *rand.Rand
	silent   int // ticks without a word of the leader
	patience int
	applied  uint64
	weight   int    // of the records since the image
	began    uint64 // the term in which it leads and has applied what came before; 0 is none
	leads    bool
	claimed  map[string]float64 // keys proposed for an heir, and when
	changed  float64            // when a change of voters was proposed that is not over; 0 is none
	outSince float64            // when its leader first said that it is whole without this one; 0 is not
}

// quiet is a logger that says nothing: what a raft node tells of is told by the log's own lines.
type quiet struct{ raft.Logger }

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}

// newLog makes one that knows nothing yet, or, founded, one with this process as its only voter.
func newLog(t *Config, slot int, gen, seat uint64, founded bool) (*log, error) {
	l := &log{slot: slot, gen: gen, seat: seat, store: raft.NewMemoryStorage(), ledger: newLedger(t.MaxLogBytes, t.OutcomeTTL, t.InjectedBug),
		conf: &pb.ConfState{}, chance: rand.New(rand.NewPCG(t.Seed, seat)), claimed: map[string]float64{}}
	if founded {
		l.conf = &pb.ConfState{Voters: []uint64{seat}}
		first := &pb.Snapshot{Data: snapshot.Append(nil, l.ledger.image()),
			Metadata: &pb.SnapshotMetadata{ConfState: l.conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
		if err := l.store.ApplySnapshot(first); err != nil {
			return nil, err
		}
		l.applied = 1
	}
	var err error
	l.rn, err = raft.NewRawNode(&raft.Config{ID: seat, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: l.store,
		Applied: l.applied, MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostInFlight, CheckQuorum: true,
		PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{raftLogger}})
	if err != nil {
		return nil, err
	}
	l.wait()
	if founded {
		err = l.rn.Campaign()
	}
	return l, err
}

// raftLogger ends the process where a raft node finds itself broken: the rest is not heard.
var raftLogger = raft.Logger(&raft.DefaultLogger{Logger: stdlog.New(io.Discard, "", 0)})

// wait draws a patience: chance is the log's own, so that one seed makes one history.
func (l *log) wait() { l.silent, l.patience = 0, electionTicks+l.chance.IntN(electionTicks) }

// tick lets time pass. A raft node draws its patience from the machine's own chance; so followers only count, and
// it is the log that calls for an election.
func (l *log) tick() {
	if l.leads {
		l.rn.Tick()
		return
	}
	l.rn.TickQuiesced()
	if l.silent++; l.silent >= l.patience {
		l.wait()
		if slices.Contains(l.conf.Voters, l.seat) {
			_ = l.rn.Campaign() // no voter any more, or a change is not applied yet: the next one counts
		}
	}
}

func (l *log) step(m *pb.Message) {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= l.rn.BasicStatus().HardState.GetTerm() {
			l.silent = 0
		}
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum, pb.MsgTransferLeader, pb.MsgProp:
		return // nobody else's to say
	}
	_ = l.rn.Step(m) // what doesn't fit is as good as lost
}

// work carries out what the raft node is ready for. Messages go out by send, records that count by told.
func (l *log) work(send func(*pb.Message), told func(*Record, Result, FinalAnswer)) {
	for l.rn.HasReady() {
		rd := l.rn.Ready()
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			if err := l.store.ApplySnapshot(rd.Snapshot); err == nil {
				m := &image{}
				if err := snapshot.Read(rd.Snapshot.GetData(), m); err == nil {
					l.ledger.restore(m)
				}
				l.conf = rd.Snapshot.GetMetadata().GetConfState()
				l.applied, l.weight = rd.Snapshot.GetMetadata().GetIndex(), 0
			}
		}
		_ = l.store.Append(rd.Entries)
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			_ = l.store.SetHardState(rd.HardState)
		}
		for _, m := range rd.Messages {
			send(m)
		}
		for _, e := range rd.CommittedEntries {
			l.take(e, told)
		}
		l.rn.Advance(rd)
	}
	if l.leads = l.leading(); !l.leads {
		l.began = 0
	}
	if l.weight > max(l.ledger.most/4, leastWeight) {
		l.image()
	}
}

func (l *log) take(e *pb.Entry, told func(*Record, Result, FinalAnswer)) {
	l.applied = e.GetIndex()
	l.weight += len(e.GetData()) + 64
	switch e.GetType() {
	case pb.EntryConfChangeV2:
		var c pb.ConfChangeV2
		if proto.Unmarshal(e.GetData(), &c) == nil {
			l.conf = l.rn.ApplyConfChange(&c)
			l.image() // whoever is new takes only an image that names it
		}
		l.changed = 0
	case pb.EntryNormal:
		if len(e.GetData()) == 0 { // a leader's first
			if s := l.rn.BasicStatus(); s.RaftState == raft.StateLeader && s.HardState.GetTerm() == e.GetTerm() {
				l.began = e.GetTerm()
			}
			return
		}
		r := &Record{}
		if snapshot.Read(e.GetData(), r) != nil {
			return // the same everywhere
		}
		code, o := l.ledger.apply(r)
		told(r, code, o)
	}
}

// image keeps what the records come to by now, and lets go of them.
func (l *log) image() {
	if _, err := l.store.CreateSnapshot(l.applied, l.conf, snapshot.Append(nil, l.ledger.image())); err == nil {
		_ = l.store.Compact(l.applied)
		l.weight = 0
	}
}

// sent tells of an image that has gone out, or could not. The link keeps the order, and what is lost is asked for again.
func (l *log) sent(m *pb.Message, out bool) {
	if m.GetType() != pb.MsgSnap {
		return
	}
	how := raft.SnapshotFailure
	if out {
		how = raft.SnapshotFinish
	}
	l.rn.ReportSnapshot(m.GetTo(), how)
}

// leading tells whether it leads at this moment, also in the middle of work.
func (l *log) leading() bool { return l.rn.BasicStatus().RaftState == raft.StateLeader }

// serves tells whether it leads, knows all that was committed before, and has as many copies as are meant to be.
func (l *log) serves(copies int) bool {
	return l.leads && l.began > 0 && len(l.conf.GetVoters()) >= copies
}

func (l *log) term() uint64 { return l.rn.BasicStatus().HardState.GetTerm() }

func (l *log) leader() uint64 { return l.rn.BasicStatus().SoftState.Lead }
