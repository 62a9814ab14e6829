package controlplane

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// voters are some that hear each other at once, unless one is cut off.
type voters struct {
	t       require.TestingT
	now     float64
	terms   VoterConfig
	all     map[uint64]*Voter
	stores  map[uint64]*StoredState
	cut     map[uint64]bool
	replies map[uint64][]Result
	pieces  int        // messages that came in several
	log     []*Persist // of voter 1
}

func newVoters(t require.TestingT, n int, terms VoterConfig) *voters {
	c := &voters{t: t, now: 1e6, terms: terms, all: map[uint64]*Voter{}, stores: map[uint64]*StoredState{}, cut: map[uint64]bool{}, replies: map[uint64][]Result{}}
	for id := range n {
		c.terms.Voters = append(c.terms.Voters, uint64(id+1))
	}
	for _, id := range c.terms.Voters {
		c.stores[id] = Bootstrap(c.terms.Voters)
		c.start(id)
	}
	return c
}

func (c *voters) start(id uint64) {
	terms := c.terms
	terms.ID = id
	v, err := NewVoter(terms, c.stores[id], c.now)
	require.NoError(c.t, err)
	c.all[id] = v
	c.pump()
}

func (c *voters) pump() {
	for more := true; more; {
		more = false
		for _, id := range c.terms.Voters {
			for v := c.all[id]; v != nil; {
				o, ok := v.Next()
				if !ok {
					break
				}
				more = true
				switch {
				case o.Persist != nil:
					c.stores[id].ApplyPersist(o.Persist)
					if id == 1 {
						c.log = append(c.log, o.Persist)
					}
				case o.Reply != nil:
					c.replies[o.Reply.ID] = append(c.replies[o.Reply.ID], o.Reply.Result)
				case o.Send != nil:
					require.LessOrEqual(c.t, len(o.Send.Data), MaxFrameBytes)
					if o.Send.Data[0] == fragmentFirst {
						c.pieces++
					}
					if to := c.all[o.Send.To]; to != nil && !c.cut[id] && !c.cut[o.Send.To] {
						to.HandleMessage(c.now, id, o.Send.Data)
					}
				}
			}
		}
	}
}

func (c *voters) pass(ms float64) {
	for end := c.now + ms; c.now < end; {
		c.now += TickIntervalMs
		for _, id := range c.terms.Voters {
			if v := c.all[id]; v != nil {
				v.Tick(c.now)
			}
		}
		c.pump()
	}
}

// leader waits for one that is not cut off.
func (c *voters) leader() (uint64, *Voter) {
	for range 200 {
		for _, id := range c.terms.Voters {
			if v := c.all[id]; v != nil && v.IsLeader() && v.leadershipReady && !c.cut[id] {
				return id, v
			}
		}
		c.pass(TickIntervalMs)
	}
	require.FailNow(c.t, "nobody leads")
	return 0, nil
}

func (c *voters) propose(v *Voter, id, base uint64, text string) Result {
	v.Propose(c.now, id, Proposal{Base: base, Document: parse(c.t, text), By: "b", Reason: "r"})
	c.pump()
	if r := c.replies[id]; len(r) > 0 {
		return r[len(r)-1]
	}
	return Result{}
}

func number(n int) string { return fmt.Sprintf(`{"n":%d}`, n) }

func TestProposals(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 1})
	id, l := c.leader()
	require.Equal(t, Result{Code: CodeDone, Version: 1}, c.propose(l, 11, 0, number(1)))
	require.Equal(t, Result{Code: CodeConflict, Version: 1}, c.propose(l, 12, 0, number(2)), "the later of two")
	require.Equal(t, Result{Code: CodeConflict, Version: 1}, c.propose(l, 13, 7, number(2)), "of a version that is not")
	require.Equal(t, Result{Code: CodeDone, Version: 2}, c.propose(l, 12, 1, number(2)), "tried again")
	require.Equal(t, Result{Code: CodeDone, Version: 1}, c.propose(l, 11, 0, number(1)), "asked again: the same answer, no second effect")
	require.Equal(t, CodeInvalid, c.propose(l, 0, 2, number(3)).Code)
	version, doc := l.History().Head()
	require.EqualValues(t, 2, version)
	require.Equal(t, "{\n\"n\":2\n}\n", string(doc.Text()))
	for _, other := range c.terms.Voters {
		if other != id {
			require.Equal(t, Result{Code: CodeNotLeader, Leader: id}, c.propose(c.all[other], 14, 2, number(3)))
		}
	}
	// Two at once upon one version: the first of them it is.
	l.Propose(c.now, 21, Proposal{Base: 2, Document: parse(t, number(21))})
	l.Propose(c.now, 22, Proposal{Base: 2, Document: parse(t, number(22))})
	c.pump()
	require.Equal(t, []Result{{Code: CodeDone, Version: 3}}, c.replies[21])
	require.Equal(t, []Result{{Code: CodeConflict, Version: 3}}, c.replies[22])
	log := l.History().RecentChanges(10)
	require.Len(t, log, 3)
	require.Equal(t, Change{Version: 3, ID: 21, Digest: parse(t, number(21)).Digest(), ProposedAtMs: log[0].ProposedAtMs}, log[0])
	c.pass(1000)
	for _, v := range c.all {
		head, _ := v.History().Head()
		require.EqualValues(t, 3, head)
		require.Less(t, c.now-v.FreshAsOf(), readIndexInterval+TickIntervalMs, "as old as its latest question")
	}
}

// A leader that is cut off has no answer but that it doesn't know; the next leader tells, asked with the same id.
func TestLostLeader(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 2})
	id, l := c.leader()
	require.Equal(t, CodeDone, c.propose(l, 1, 0, number(1)).Code)
	c.pass(1000)
	c.cut[id] = true
	fresh := l.FreshAsOf()
	l.Propose(c.now, 2, Proposal{Base: 1, Document: parse(t, number(2))})
	c.pump()
	require.Empty(t, c.replies[2])
	c.pass(5000)
	require.Equal(t, []Result{{Code: CodeLeadershipLost, Leader: 0}}, c.replies[2])
	require.False(t, l.IsLeader())
	require.LessOrEqual(t, l.FreshAsOf(), fresh+TickIntervalMs, "nothing is fresh without a majority")
	_, other := c.leader()
	require.Equal(t, Result{Code: CodeDone, Version: 2}, c.propose(other, 2, 1, number(2)))
	require.Equal(t, Result{Code: CodeDone, Version: 3}, c.propose(other, 3, 2, number(3)))
	c.cut[id] = false
	c.pass(3000)
	head, _ := l.History().Head()
	require.EqualValues(t, 3, head)
	version, ok := l.History().FindProposal(2)
	require.True(t, ok)
	require.EqualValues(t, 2, version)
}

func TestTooManyProposals(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 3})
	id, l := c.leader()
	c.cut[id] = true
	for n := range maxPendingProposals + 2 {
		l.Propose(c.now, uint64(n+1), Proposal{Document: parse(t, number(n))})
	}
	c.pump()
	require.Equal(t, CodeBusy, c.replies[maxPendingProposals+1][0].Code)
	c.pass(5000)
	for n := range maxPendingProposals {
		require.Equal(t, []Result{{Code: CodeLeadershipLost}}, c.replies[uint64(n+1)])
	}
}

// A voter that was away for long gets an image, in pieces that fit a frame, and goes on from it after a start too.
func TestImageInPieces(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 4, SnapshotThreshold: 2000})
	id, l := c.leader()
	away := id%3 + 1
	c.cut[away] = true
	text := `{"a":["` + strings.Join(noise(30_000), `","`) + `",`
	for n := range retainedEntries + 10 {
		require.Equal(t, CodeDone, c.propose(l, uint64(n+1), uint64(n), number(n)).Code)
	}
	require.Equal(t, CodeDone, c.propose(l, 9999, retainedEntries+10, text+`0]}`).Code)
	c.cut[away] = false
	c.pass(5000)
	require.Positive(t, c.pieces)
	version, doc := l.History().Head()
	for range 2 {
		v, theirs := c.all[away].History().Head()
		require.Equal(t, version, v)
		require.Equal(t, doc.Digest(), theirs.Digest())
		old, ok := c.all[away].History().DocumentAt(1)
		require.True(t, ok)
		require.Equal(t, parse(t, number(0)).Digest(), old.Digest())
		c.start(away)
		c.pass(3000)
	}
}

// Killed between any two writes, a voter goes on from what was written, and has all that it told of by then.
func TestStartsFromAnyWrite(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 5, SnapshotThreshold: 300})
	for n := range 40 {
		if n%13 == 12 {
			c.cut = map[uint64]bool{uint64(n%3 + 1): true}
			c.pass(3000)
			c.cut = map[uint64]bool{}
			c.pass(3000)
		}
		_, l := c.leader()
		require.Equal(t, Result{Code: CodeDone, Version: uint64(n + 1)}, c.propose(l, uint64(n+1), uint64(n), number(n)))
	}
	require.Greater(t, len(c.log), 40)
	s, images := Bootstrap(c.terms.Voters), 0
	terms := c.terms
	terms.ID = 1
	for k, p := range c.log {
		s.ApplyPersist(p)
		if p.Snapshot != nil {
			images++
		}
		stored := &StoredState{HardState: proto.Clone(s.HardState).(*pb.HardState), ConfState: s.ConfState, Snapshot: s.Snapshot, Entries: slices.Clone(s.Entries)}
		_, err := NewVoter(terms, stored, 0)
		require.NoError(t, err, "after write %d", k)
	}
	require.Positive(t, images)
}

func TestDamagedStores(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 6})
	_, l := c.leader()
	for n := range 5 {
		c.propose(l, uint64(n+1), uint64(n), number(n))
	}
	terms := c.terms
	terms.ID = 1
	for want, damage := range map[string]func(s *StoredState) *StoredState{
		"voter's store: no store":                                 func(*StoredState) *StoredState { return nil },
		"voter's store: its voters are [1 2 3], the file's [1 2]": func(s *StoredState) *StoredState { terms.Voters = []uint64{1, 2}; return s },
		"voter's store: odd image of a history": func(s *StoredState) *StoredState {
			s.Snapshot = proto.Clone(s.Snapshot).(*pb.Snapshot)
			s.Snapshot.Data = s.Snapshot.Data[:len(s.Snapshot.Data)/2]
			return s
		},
		"voter's store: entry 4 of term 2 after 2 of term 2": func(s *StoredState) *StoredState { s.Entries = slices.Delete(s.Entries, 1, 2); return s },
		"voter's store: committed 99 of term 2, its entries end at 7 of term 2": func(s *StoredState) *StoredState {
			s.HardState = &pb.HardState{Term: proto.Uint64(2), Commit: proto.Uint64(99)}
			return s
		},
	} {
		terms.Voters = []uint64{1, 2, 3}
		s := *c.stores[1]
		s.Entries = slices.Clone(s.Entries)
		_, err := NewVoter(terms, damage(&s), 0)
		assert.EqualError(t, err, want)
	}
	terms.ID = 9
	_, err := NewVoter(terms, c.stores[1], 0)
	require.Error(t, err)
}

// A voter whose store has gone back says so once its leader speaks of more.
func TestStoreThatWentBack(t *testing.T) {
	c := newVoters(t, 3, VoterConfig{Seed: 7})
	id, l := c.leader()
	old := Bootstrap(c.terms.Voters)
	for n := range 5 {
		c.propose(l, uint64(n+1), uint64(n), number(n))
	}
	c.pass(1000)
	back := id%3 + 1
	require.Empty(t, c.all[back].StoreFault())
	c.stores[back] = old
	c.start(back)
	c.pass(1000)
	require.Contains(t, c.all[back].StoreFault(), "it has lost what it had")
}

func TestHistoryBounds(t *testing.T) {
	h := newHistory(0, emptyDocument(), 20)
	var texts []Digest
	for n := range 50 {
		grow(t, h, 30, uint64(n+1))
		_, doc := h.Head()
		texts = append(texts, doc.Digest())
	}
	require.Len(t, h.changes, 20)
	require.Len(t, h.versionByProposal, 20)
	for version := uint64(0); version <= 51; version++ {
		doc, ok := h.DocumentAt(version)
		changes, since := h.ChangesSince(version)
		require.Equal(t, version >= 30 && version <= 50, ok, "%d", version)
		require.Equal(t, ok, since)
		if ok {
			require.Equal(t, texts[version-1], doc.Digest())
			require.Len(t, changes, int(50-version))
		}
	}
	again, err := decodeHistorySnapshot(h.encodeSnapshot(), 20)
	require.NoError(t, err)
	require.Equal(t, h, again)
	less, err := decodeHistorySnapshot(h.encodeSnapshot(), 5)
	require.NoError(t, err)
	require.Len(t, less.changes, 5)
	require.Len(t, h.RecentChanges(3), 3)
	require.EqualValues(t, 50, h.RecentChanges(3)[0].Version)
	// By bytes too: what goes is the oldest.
	big := newHistory(0, emptyDocument(), defaultRetainedChanges)
	for n := range 30 {
		_, doc := big.Head()
		var b []byte
		for range 1 << 20 {
			b = append(b, byte('a'+n%26))
		}
		s := []Splice{{Line: 0, Delete: uint64(doc.LineCount()), Insert: []string{string(b)}}}
		next, err := doc.applySplices(s)
		require.NoError(t, err)
		big.appendChange(Change{Version: uint64(n + 1), ID: uint64(n + 1), Digest: next.Digest(), Splices: s}, next)
	}
	require.LessOrEqual(t, big.retainedBytes, maxRetainedBytes)
	require.Greater(t, len(big.changes), 5)
}

// Whatever is drawn for an image, it is read or refused.
func TestImagesOfGarbage(t *testing.T) {
	h := newHistory(0, emptyDocument(), 20)
	grow(t, h, 30, 25)
	good := h.encodeSnapshot()
	plain, err := decompress(good, maxSnapshotBytes)
	require.NoError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		data := slices.Clone(plain)
		for range rapid.IntRange(1, 4).Draw(rt, "flips") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		data = data[:rapid.IntRange(len(data)/2, len(data)).Draw(rt, "end")]
		h, err := decodeHistorySnapshot(compress(data), 20)
		if err != nil {
			return
		}
		for version := range h.headVersion + 1 {
			_, _ = h.DocumentAt(version)
		}
		_ = h.encodeSnapshot()
	})
}

// Messages that no sound voter sends are as good as lost: none ends the process.
func TestOddMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newVoters(rt, 3, VoterConfig{Seed: rapid.Uint64Range(0, 9).Draw(rt, "seed")})
		_, l := c.leader()
		for n := range 3 {
			c.propose(l, uint64(n+1), uint64(n), number(n))
		}
		v := c.all[rapid.Uint64Range(1, 3).Draw(rt, "to")]
		small := rapid.OneOf(rapid.Uint64Range(0, 9), rapid.Uint64Range(math.MaxUint64-3, math.MaxUint64), rapid.Uint64())
		for range rapid.IntRange(1, 10).Draw(rt, "messages") {
			from := rapid.Uint64Range(0, 4).Draw(rt, "from")
			m := &pb.Message{Type: pb.MessageType(rapid.Int32Range(-1, 25).Draw(rt, "type")).Enum(), To: proto.Uint64(v.config.ID), From: proto.Uint64(from),
				Term: proto.Uint64(small.Draw(rt, "term")), LogTerm: proto.Uint64(small.Draw(rt, "logterm")), Index: proto.Uint64(small.Draw(rt, "index")),
				Commit: proto.Uint64(small.Draw(rt, "commit")), Reject: proto.Bool(rapid.Bool().Draw(rt, "reject")), RejectHint: proto.Uint64(small.Draw(rt, "hint"))}
			for range rapid.IntRange(0, 2).Draw(rt, "entries") {
				e := &pb.Entry{Term: proto.Uint64(small.Draw(rt, "eterm")), Index: proto.Uint64(small.Draw(rt, "eindex")), Data: rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(rt, "data")}
				if rapid.Bool().Draw(rt, "conf") {
					e.Type = pb.EntryType(rapid.Int32Range(0, 3).Draw(rt, "etype")).Enum()
				}
				m.Entries = append(m.Entries, e)
			}
			if rapid.Bool().Draw(rt, "snapshot") {
				m.Snapshot = &pb.Snapshot{Data: rapid.SampledFrom([][]byte{nil, {0}, v.history.encodeSnapshot()}).Draw(rt, "image"),
					Metadata: &pb.SnapshotMetadata{ConfState: v.confState, Index: proto.Uint64(small.Draw(rt, "sindex")), Term: proto.Uint64(small.Draw(rt, "sterm"))}}
			}
			data, err := proto.Marshal(m)
			require.NoError(rt, err)
			v.HandleMessage(c.now, from, append([]byte{fragmentFirst | fragmentLast}, data...))
			c.pump()
			c.pass(TickIntervalMs)
		}
		c.pass(500)
	})
	c := newVoters(t, 3, VoterConfig{Seed: 1})
	id, _ := c.leader()
	asked := &pb.Message{Type: pb.MsgReadIndex.Enum(), From: proto.Uint64(id), To: proto.Uint64(id%3 + 1), Term: proto.Uint64(2), Entries: []*pb.Entry{{}}}
	data, err := proto.Marshal(asked)
	require.NoError(t, err)
	c.all[id%3+1].HandleMessage(c.now, id, append([]byte{fragmentFirst | fragmentLast}, data...)) // drawn once in a hundred runs: a question that bears a term
	for _, data := range [][]byte{nil, {0}, {fragmentFirst}, {fragmentLast}, {fragmentFirst, 1, 2}, {fragmentLast, 3}, {fragmentFirst | fragmentLast, 0xff}, make([]byte, MaxFrameBytes+1)} {
		c.all[1].HandleMessage(c.now, 2, data)
	}
}
