package requestlog

import (
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/raftlogger"
	"pearknot/internal/snapshot"
)

const (
	// raftHeartbeatTicks is how often a leader sends raft heartbeats: every 50 ms.
	raftHeartbeatTicks = 2
	// minElectionTicks is the shortest election timeout: 500 ms. The longest is twice that, see MaxElectionMs.
	minElectionTicks = 20
	// maxUncommittedBytes bounds the entries that a leader has proposed and a majority has not stored. More are refused. The
	// control plane's log has a constant of the same meaning and another size, since its entries are whole documents.
	maxUncommittedBytes = 8 << 20
	// maxMessageBytes bounds the entries in one raft message, unless it holds a single longer one.
	maxMessageBytes = 256 << 10
	// maxInflightMessages bounds the messages to one follower that it has not replied to.
	maxInflightMessages = 64
	// minSnapshotBytes is the least size of the records since the last snapshot that leads to the next one, so that a nearly
	// empty ledger is not encoded again for each few records.
	minSnapshotBytes = 256 << 10
	// recordOverheadBytes is what an entry of the raft log takes in memory beside its data.
	recordOverheadBytes = 64

	// MaxElectionMs is how long a log with a quorum is without a leader after it has lost one: the longest election timeout,
	// 1 s, and half of that for the votes and for the messages by which the other members learn who leads. A caller that has
	// waited that long may assume that there is no quorum.
	MaxElectionMs = 3 * minElectionTicks * TickMs

	// MemoryFactor is how much memory one replica takes at most, as a multiple of Config.MaxLogBytes: the ledger, its snapshot,
	// and the records since then, which are dropped with a new snapshot once they come to a quarter. A follower that lags
	// behind further than that gets the snapshot.
	MemoryFactor = 2.5
)

// replica is this member's replica of one log: a raft node and the ledger that its records lead to. Nothing of it is stored
// on disk.
type replica struct {
	logIndex   int
	generation uint64 // which bootstrap of the log it stems from
	voterID    uint64 // this replica's ID in the raft group
	node       *raft.RawNode
	storage    *raft.MemoryStorage
	confState  *pb.ConfState
	ledger     *Ledger

	appliedIndex       uint64
	bytesSinceSnapshot int    // of the records applied since the last snapshot
	isLeader           bool   // as of the end of the last processReady
	readyTerm          uint64 // the term in which it leads and has applied all that was committed before that; 0 is none

	// The election timeout, which restarts with each message of the leader.
	rng                  *rand.Rand
	ticksWithoutLeader   int
	electionTimeoutTicks int

	// Of a leader.
	takeoverProposedAt   map[string]float64 // by key
	confChangeProposedAt float64            // of a change of voters that is not applied yet; 0 is none

	// Of a replica that is no voter any more: when the leader first said that the log is complete. 0 is never.
	removedSince float64
}

// newReplica returns a replica that knows nothing yet. The leader will send it what it lacks.
func newReplica(config *Config, logIndex int, generation, voterID uint64) (*replica, error) {
	r := newReplicaWithoutNode(config, logIndex, generation, voterID)
	return r, r.startNode()
}

// bootstrapReplica returns a replica that is the only voter of its log, and campaigns.
func bootstrapReplica(config *Config, logIndex int, generation, voterID uint64) (*replica, error) {
	r := newReplicaWithoutNode(config, logIndex, generation, voterID)
	r.confState = &pb.ConfState{Voters: []uint64{voterID}}
	first := &pb.Snapshot{
		Data:     snapshot.AppendStruct(nil, r.ledger.snapshot()),
		Metadata: &pb.SnapshotMetadata{ConfState: r.confState, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	if err := r.storage.ApplySnapshot(first); err != nil {
		return nil, err
	}
	r.appliedIndex = 1
	if err := r.startNode(); err != nil {
		return nil, err
	}
	return r, r.node.Campaign()
}

func newReplicaWithoutNode(config *Config, logIndex int, generation, voterID uint64) *replica {
	return &replica{
		logIndex:           logIndex,
		generation:         generation,
		voterID:            voterID,
		storage:            raft.NewMemoryStorage(),
		confState:          &pb.ConfState{},
		ledger:             newLedger(config.MaxLogBytes, config.AnswerTTL, config.InjectedBug),
		rng:                rand.New(rand.NewPCG(config.Seed, voterID)),
		takeoverProposedAt: map[string]float64{},
	}
}

func (r *replica) startNode() (err error) {
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.voterID,
		ElectionTick:              minElectionTicks,
		HeartbeatTick:             raftHeartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftlogger.NewSilent(),
	})
	if err == nil {
		r.resetElectionTimeout()
	}
	return err
}

// tick lets one tick pass. A raft node draws its election timeouts from a global random source, by which a test's seed would
// not give the same history twice. So the node of a follower only counts its ticks, and the replica itself campaigns by a
// timeout from its own source.
func (r *replica) tick() {
	if r.isLeader {
		r.node.Tick()
		return
	}
	r.node.TickQuiesced()
	r.ticksWithoutLeader++
	if r.ticksWithoutLeader < r.electionTimeoutTicks {
		return
	}
	r.resetElectionTimeout()
	if slices.Contains(r.confState.Voters, r.voterID) {
		_ = r.node.Campaign() // refused while a change of voters is not applied: the next timeout tries again
	}
}

func (r *replica) resetElectionTimeout() {
	r.ticksWithoutLeader = 0
	r.electionTimeoutTicks = minElectionTicks + r.rng.IntN(minElectionTicks)
}

// step hands a message of another replica to the raft node.
func (r *replica) step(message *pb.Message) {
	switch message.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if message.GetTerm() >= r.term() {
			r.ticksWithoutLeader = 0
		}
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum, pb.MsgTransferLeader, pb.MsgProp:
		return // a node's messages to itself: no other member may send them
	}
	_ = r.node.Step(message) // a message that raft refuses is as good as lost
}

// isLeaderNow reports whether it leads at this moment, also in the middle of processReady.
func (r *replica) isLeaderNow() bool { return r.node.BasicStatus().RaftState == raft.StateLeader }

// canServe reports whether it can serve calls: it leads, has applied all that was committed before its term, and has as many
// voters as there should be replicas.
func (r *replica) canServe(replicas int) bool {
	return r.isLeader && r.readyTerm > 0 && len(r.confState.GetVoters()) >= replicas
}

func (r *replica) term() uint64 { return r.node.BasicStatus().GetTerm() }

// leader returns the voter ID of the leader. 0 is unknown.
func (r *replica) leader() uint64 { return r.node.BasicStatus().Lead }
