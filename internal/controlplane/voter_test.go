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

// testCluster connects voters in memory. Their messages to each other arrive at once, unless one of them is isolated.
type testCluster struct {
	t                  require.TestingT
	now                float64
	config             VoterConfig
	byID               map[uint64]*Voter
	stores             map[uint64]*StoredState
	isolated           map[uint64]bool
	replies            map[uint64][]Result
	fragmentedMessages int // number of messages sent in more than one fragment
	persistsOfVoter1   []*Persist
}

// newTestCluster starts three voters, with the IDs 1 to 3.
func newTestCluster(t require.TestingT, config VoterConfig) *testCluster {
	config.Voters = []uint64{1, 2, 3}
	c := &testCluster{
		t:        t,
		now:      1e6,
		config:   config,
		byID:     map[uint64]*Voter{},
		stores:   map[uint64]*StoredState{},
		isolated: map[uint64]bool{},
		replies:  map[uint64][]Result{},
	}
	for _, id := range c.config.Voters {
		c.stores[id] = Bootstrap(c.config.Voters)
		c.start(id)
	}
	return c
}

// start starts a voter from its store. It replaces the running one with this ID.
func (c *testCluster) start(id uint64) {
	config := c.config
	config.ID = id
	v, err := NewVoter(config, c.stores[id], c.now)
	require.NoError(c.t, err)
	c.byID[id] = v
	c.deliverMessages()
}

// deliverMessages carries out all outputs of the voters, until there are none.
func (c *testCluster) deliverMessages() {
	for more := true; more; {
		more = false
		for _, id := range c.config.Voters {
			more = c.runVoter(id) || more
		}
	}
}

func (c *testCluster) runVoter(id uint64) (ran bool) {
	v := c.byID[id]
	if v == nil {
		return false
	}
	for output, ok := v.Next(); ok; output, ok = v.Next() {
		ran = true
		switch {
		case output.Persist != nil:
			c.stores[id].ApplyPersist(output.Persist)
			if id == 1 {
				c.persistsOfVoter1 = append(c.persistsOfVoter1, output.Persist)
			}
		case output.Reply != nil:
			c.replies[output.Reply.ID] = append(c.replies[output.Reply.ID], output.Reply.Result)
		case output.Send != nil:
			c.deliver(id, output.Send)
		}
	}
	return ran
}

func (c *testCluster) deliver(from uint64, message *VoterMessage) {
	require.LessOrEqual(c.t, len(message.Data), MaxFrameBytes)
	if message.Data[0] == fragmentFirst {
		c.fragmentedMessages++
	}
	if receiver := c.byID[message.To]; receiver != nil && !c.isolated[from] && !c.isolated[message.To] {
		receiver.HandleMessage(c.now, from, message.Data)
	}
}

// advance advances the time by ms, in ticks.
func (c *testCluster) advance(ms float64) {
	for end := c.now + ms; c.now < end; {
		c.now += TickIntervalMs
		for _, id := range c.config.Voters {
			if v := c.byID[id]; v != nil {
				v.Tick(c.now)
			}
		}
		c.deliverMessages()
	}
}

// waitForLeader advances the time until a voter that is not isolated is ready to lead.
func (c *testCluster) waitForLeader() (uint64, *Voter) {
	for range 200 {
		for _, id := range c.config.Voters {
			if v := c.byID[id]; v != nil && v.IsLeader() && v.leadershipReady && !c.isolated[id] {
				return id, v
			}
		}
		c.advance(TickIntervalMs)
	}
	require.FailNow(c.t, "no voter became leader")
	return 0, nil
}

// propose makes a proposal and returns the latest reply to its ID.
func (c *testCluster) propose(v *Voter, id, base uint64, text string) Result {
	v.Propose(c.now, id, Proposal{Base: base, Document: mustParse(c.t, text), By: "b", Reason: "r"})
	c.deliverMessages()
	if replies := c.replies[id]; len(replies) > 0 {
		return replies[len(replies)-1]
	}
	return Result{}
}

// numberDocument returns a small document, a different one for each number.
func numberDocument(n int) string { return fmt.Sprintf(`{"n":%d}`, n) }

// A proposal with a stale base is rejected, a repeated one takes effect once, and only the leader accepts any.
func TestProposals(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 1})
	id, leader := c.waitForLeader()
	require.Equal(t, Result{Code: CodeDone, Version: 1}, c.propose(leader, 11, 0, numberDocument(1)))
	require.Equal(t, Result{Code: CodeConflict, Version: 1}, c.propose(leader, 12, 0, numberDocument(2)), "the second of two with one base")
	require.Equal(t, Result{Code: CodeConflict, Version: 1}, c.propose(leader, 13, 7, numberDocument(2)), "a base that doesn't exist")
	require.Equal(t, Result{Code: CodeDone, Version: 2}, c.propose(leader, 12, 1, numberDocument(2)), "repeated with the head as its base")
	require.Equal(t, Result{Code: CodeDone, Version: 1}, c.propose(leader, 11, 0, numberDocument(1)), "repeated: the same reply, no second effect")
	require.Equal(t, CodeInvalid, c.propose(leader, 0, 2, numberDocument(3)).Code)
	version, doc := leader.History().Head()
	require.EqualValues(t, 2, version)
	require.Equal(t, "{\n\"n\":2\n}\n", string(doc.Text()))
	for _, other := range c.config.Voters {
		if other != id {
			require.Equal(t, Result{Code: CodeNotLeader, Leader: id}, c.propose(c.byID[other], 14, 2, numberDocument(3)))
		}
	}
	// Two proposals of one base at the same time: the first is committed.
	leader.Propose(c.now, 21, Proposal{Base: 2, Document: mustParse(t, numberDocument(21))})
	leader.Propose(c.now, 22, Proposal{Base: 2, Document: mustParse(t, numberDocument(22))})
	c.deliverMessages()
	require.Equal(t, []Result{{Code: CodeDone, Version: 3}}, c.replies[21])
	require.Equal(t, []Result{{Code: CodeConflict, Version: 3}}, c.replies[22])
	log := leader.History().RecentChanges(10)
	require.Len(t, log, 3)
	require.Equal(t, Change{Version: 3, ID: 21, Digest: mustParse(t, numberDocument(21)).Digest(), ProposedAtMs: log[0].ProposedAtMs}, log[0])
	c.advance(1000)
	for _, v := range c.byID {
		head, _ := v.History().Head()
		require.EqualValues(t, 3, head)
		require.Less(t, c.now-v.FreshAsOf(), readIndexIntervalMs+TickIntervalMs, "as fresh as its latest read index request")
	}
}

// A leader is isolated with a proposal in its log. It can't commit the proposal and can't know whether others have: it replies that the
// leadership is lost. The proposer repeats it at the next leader, with the same ID, and the change is applied once.
func TestIsolatedLeader(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 2})
	id, leader := c.waitForLeader()
	require.Equal(t, CodeDone, c.propose(leader, 1, 0, numberDocument(1)).Code)
	c.advance(1000)
	c.isolated[id] = true
	freshBefore := leader.FreshAsOf()
	leader.Propose(c.now, 2, Proposal{Base: 1, Document: mustParse(t, numberDocument(2))})
	c.deliverMessages()
	require.Empty(t, c.replies[2])
	c.advance(5000)
	require.Equal(t, []Result{{Code: CodeLeadershipLost, Leader: 0}}, c.replies[2])
	require.False(t, leader.IsLeader())
	require.LessOrEqual(t, leader.FreshAsOf(), freshBefore+TickIntervalMs, "nothing is fresh without a majority")
	_, nextLeader := c.waitForLeader()
	require.Equal(t, Result{Code: CodeDone, Version: 2}, c.propose(nextLeader, 2, 1, numberDocument(2)))
	require.Equal(t, Result{Code: CodeDone, Version: 3}, c.propose(nextLeader, 3, 2, numberDocument(3)))
	c.isolated[id] = false
	c.advance(3000)
	head, _ := leader.History().Head()
	require.EqualValues(t, 3, head)
	version, ok := leader.History().FindProposal(2)
	require.True(t, ok)
	require.EqualValues(t, 2, version)
}

// An isolated leader accepts a limited number of proposals, and replies to each of them when it is deposed.
func TestTooManyProposals(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 3})
	id, leader := c.waitForLeader()
	c.isolated[id] = true
	for n := range maxPendingProposals + 2 {
		leader.Propose(c.now, uint64(n+1), Proposal{Document: mustParse(t, numberDocument(n))})
	}
	c.deliverMessages()
	require.Equal(t, CodeBusy, c.replies[maxPendingProposals+1][0].Code)
	c.advance(5000)
	for n := range maxPendingProposals {
		require.Equal(t, []Result{{Code: CodeLeadershipLost}}, c.replies[uint64(n+1)])
	}
}

// A voter was isolated for so long that the leader has compacted the entries that it lacks. It gets a snapshot, in fragments that fit a
// frame, and continues from it, also after a restart.
func TestSnapshotInFragments(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 4, SnapshotThreshold: 2000})
	id, leader := c.waitForLeader()
	isolatedID := id%3 + 1
	c.isolated[isolatedID] = true
	text := `{"a":["` + strings.Join(incompressibleLines(30_000), `","`) + `",`
	for n := range retainedEntries + 10 {
		require.Equal(t, CodeDone, c.propose(leader, uint64(n+1), uint64(n), numberDocument(n)).Code)
	}
	require.Equal(t, CodeDone, c.propose(leader, 9999, retainedEntries+10, text+`0]}`).Code)
	c.isolated[isolatedID] = false
	c.advance(5000)
	require.Positive(t, c.fragmentedMessages)
	version, doc := leader.History().Head()
	for range 2 {
		v, restoredDoc := c.byID[isolatedID].History().Head()
		require.Equal(t, version, v)
		require.Equal(t, doc.Digest(), restoredDoc.Digest())
		old, ok := c.byID[isolatedID].History().DocumentAt(1)
		require.True(t, ok)
		require.Equal(t, mustParse(t, numberDocument(0)).Digest(), old.Digest())
		c.start(isolatedID)
		c.advance(3000)
	}
}

// A voter is killed between any two writes to its store. It starts from the state that was written.
func TestRestartAfterAnyWrite(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 5, SnapshotThreshold: 300})
	for n := range 40 {
		if n%13 == 12 {
			c.isolated = map[uint64]bool{uint64(n%3 + 1): true}
			c.advance(3000)
			c.isolated = map[uint64]bool{}
			c.advance(3000)
		}
		_, leader := c.waitForLeader()
		require.Equal(t, Result{Code: CodeDone, Version: uint64(n + 1)}, c.propose(leader, uint64(n+1), uint64(n), numberDocument(n)))
	}
	require.Greater(t, len(c.persistsOfVoter1), 40)
	store, snapshots := Bootstrap(c.config.Voters), 0
	config := c.config
	config.ID = 1
	for i, p := range c.persistsOfVoter1 {
		store.ApplyPersist(p)
		if p.Snapshot != nil {
			snapshots++
		}
		copied := &StoredState{
			HardState: proto.Clone(store.HardState).(*pb.HardState),
			ConfState: store.ConfState,
			Snapshot:  store.Snapshot,
			Entries:   slices.Clone(store.Entries),
		}
		_, err := NewVoter(config, copied, 0)
		require.NoError(t, err, "after write %d", i)
	}
	require.Positive(t, snapshots)
}

// A voter whose store is incomplete, damaged or written for other voters returns an error that says why.
func TestDamagedStores(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 6})
	_, leader := c.waitForLeader()
	for n := range 5 {
		c.propose(leader, uint64(n+1), uint64(n), numberDocument(n))
	}
	config := c.config
	config.ID = 1
	for want, damage := range map[string]func(s *StoredState) *StoredState{
		"voter's store: missing or incomplete state":                               func(*StoredState) *StoredState { return nil },
		"voter's store: stored voters [1 2 3] differ from configured voters [1 2]": func(s *StoredState) *StoredState { config.Voters = []uint64{1, 2}; return s },
		"voter's store: malformed history snapshot": func(s *StoredState) *StoredState {
			s.Snapshot = proto.Clone(s.Snapshot).(*pb.Snapshot)
			s.Snapshot.Data = s.Snapshot.Data[:len(s.Snapshot.Data)/2]
			return s
		},
		"voter's store: stored entries are not consecutive normal entries of non-decreasing terms: entry 4 of term 2 follows entry 2 of term 2": func(s *StoredState) *StoredState { s.Entries = slices.Delete(s.Entries, 1, 2); return s },
		"voter's store: hard state does not match the log: its commit index is 99 and its term 2, the last entry is 7 of term 2": func(s *StoredState) *StoredState {
			s.HardState = &pb.HardState{Term: proto.Uint64(2), Commit: proto.Uint64(99)}
			return s
		},
	} {
		config.Voters = []uint64{1, 2, 3}
		s := *c.stores[1]
		s.Entries = slices.Clone(s.Entries)
		_, err := NewVoter(config, damage(&s), 0)
		assert.EqualError(t, err, want)
	}
	config.ID = 9
	_, err := NewVoter(config, c.stores[1], 0)
	require.Error(t, err)
}

// A voter's store is replaced by an older copy, so that it lacks entries that the voter has acknowledged. The voter detects it by the
// leader's commit index and reports a fault, instead of voting with an incomplete log.
func TestStoreRollbackIsDetected(t *testing.T) {
	c := newTestCluster(t, VoterConfig{Seed: 7})
	id, leader := c.waitForLeader()
	old := Bootstrap(c.config.Voters)
	for n := range 5 {
		c.propose(leader, uint64(n+1), uint64(n), numberDocument(n))
	}
	c.advance(1000)
	rolledBackID := id%3 + 1
	require.Empty(t, c.byID[rolledBackID].StoreFault())
	c.stores[rolledBackID] = old
	c.start(rolledBackID)
	c.advance(1000)
	require.Contains(t, c.byID[rolledBackID].StoreFault(), "acknowledged entries are lost")
}

// A voter gets messages that a correct voter never sends, some of which make a raft node panic. They are dropped.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newTestCluster(rt, VoterConfig{Seed: rapid.Uint64Range(0, 9).Draw(rt, "seed")})
		_, leader := c.waitForLeader()
		for n := range 3 {
			c.propose(leader, uint64(n+1), uint64(n), numberDocument(n))
		}
		v := c.byID[rapid.Uint64Range(1, 3).Draw(rt, "to")]
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
			c.deliverMessages()
			c.advance(TickIntervalMs)
		}
		c.advance(500)
	})
	c := newTestCluster(t, VoterConfig{Seed: 1})
	id, _ := c.waitForLeader()
	// A read index request with a term, which the random messages above contain about once in a hundred runs.
	withTerm := &pb.Message{Type: pb.MsgReadIndex.Enum(), From: proto.Uint64(id), To: proto.Uint64(id%3 + 1), Term: proto.Uint64(2), Entries: []*pb.Entry{{}}}
	data, err := proto.Marshal(withTerm)
	require.NoError(t, err)
	c.byID[id%3+1].HandleMessage(c.now, id, append([]byte{fragmentFirst | fragmentLast}, data...))
	for _, data := range [][]byte{nil, {0}, {fragmentFirst}, {fragmentLast}, {fragmentFirst, 1, 2}, {fragmentLast, 3}, {fragmentFirst | fragmentLast, 0xff}, make([]byte, MaxFrameBytes+1)} {
		c.byID[1].HandleMessage(c.now, 2, data)
	}
}
