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
	// raftHeartbeatTicks is the number of ticks between two raft heartbeats of a leader: 50 ms.
	raftHeartbeatTicks = 2
	// minElectionTicks is the shortest election timeout: 500 ms. The longest is twice that, see MaxElectionMs.
	minElectionTicks = 20
	// maxUncommittedBytes bounds the entries that a leader has proposed and a majority has not stored yet; further proposals
	// are refused. The control plane's log has a constant of the same meaning but another size, since its entries are whole
	// documents.
	maxUncommittedBytes = 8 << 20
	// maxMessageBytes bounds the entries in one raft message, unless it holds a single longer one.
	maxMessageBytes = 256 << 10
	// maxInflightMessages bounds the messages to one follower that it has not acknowledged.
	maxInflightMessages = 64
	// minSnapshotBytes is the minimum size of the records between two snapshots, so that a nearly empty ledger is not encoded
	// again after every few records.
	minSnapshotBytes = 256 << 10
	// recordOverheadBytes is the memory size of an entry of the raft log in addition to its data.
	recordOverheadBytes = 64

	// MaxElectionMs is the longest time that a log with a quorum has no leader after it has lost one: the longest election
	// timeout, 1 s, and half of that for the votes and for the messages that inform the other members of the leader. A caller
	// that has waited for this time may assume that there is no quorum.
	MaxElectionMs = 3 * minElectionTicks * TickMs

	// MemoryFactor is the maximum memory of one replica, as a multiple of Config.MaxLogBytes: the ledger, its snapshot, and the
	// records since then, which are dropped with a new snapshot once they reach a quarter of it. A follower that lags further
	// behind gets the snapshot.
	MemoryFactor = 2.5
)

// replica is this member's replica of one log: a raft node and the ledger that results from its records. It is kept in memory
// only.
type replica struct {
	logIndex   int
	generation uint64 // number of the log's bootstrap that it belongs to
	voterID    uint64 // this replica's ID in the raft group
	node       *raft.RawNode
	storage    *raft.MemoryStorage
	confState  *pb.ConfState
	ledger     *Ledger

	appliedIndex       uint64
	bytesSinceSnapshot int    // size of the records applied since the last snapshot
	isLeader           bool   // as of the end of the last processReady
	readyTerm          uint64 // the term in which it leads and has applied all entries of earlier terms; 0 if there is none

	// The election timeout, which restarts with each message from the leader.
	rng                  *rand.Rand
	ticksWithoutLeader   int
	electionTimeoutTicks int

	// Used while it is the leader.
	takeoverProposedAt   map[string]float64 // by key
	confChangeProposedAt float64            // time of a proposed change of voters that is not applied yet; 0 if there is none

	// Used once it is no longer a voter: when the leader first reported that the log is complete; 0 if it has not.
	removedSince float64
}

// newReplica returns an empty replica. The leader will send it the missing entries.
func newReplica(config *Config, logIndex int, generation, voterID uint64) (*replica, error) {
	r := newReplicaWithoutNode(config, logIndex, generation, voterID)
	return r, r.startNode()
}

// bootstrapReplica returns a replica that is the only voter of its log and has started its election.
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

// tick processes one tick. A raft node draws its election timeouts from a global random source, so a test could not be
// reproduced from its seed. Therefore the node of a follower only counts its ticks, and the replica itself starts elections
// by a timeout from its own random source.
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
		_ = r.node.Campaign() // refused while a change of voters is not applied; retried at the next timeout
	}
}

func (r *replica) resetElectionTimeout() {
	r.ticksWithoutLeader = 0
	r.electionTimeoutTicks = minElectionTicks + r.rng.IntN(minElectionTicks)
}

// step passes a message from another replica to the raft node.
func (r *replica) step(message *pb.Message) {
	switch message.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if message.GetTerm() >= r.term() {
			r.ticksWithoutLeader = 0
		}
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum, pb.MsgTransferLeader, pb.MsgProp:
		return // local messages of a node, which other members may not send
	}
	_ = r.node.Step(message) // a message that raft refuses is treated as lost
}

// isLeaderNow reports whether the replica is the leader at this moment, including during processReady.
func (r *replica) isLeaderNow() bool { return r.node.BasicStatus().RaftState == raft.StateLeader }

// canServe reports whether the replica can serve calls: it is the leader, has applied all entries of earlier terms, and has
// at least as many voters as configured replicas.
func (r *replica) canServe(replicas int) bool {
	return r.isLeader && r.readyTerm > 0 && len(r.confState.GetVoters()) >= replicas
}

func (r *replica) term() uint64 { return r.node.BasicStatus().GetTerm() }

// leader returns the voter ID of the leader, or 0 if it is unknown.
func (r *replica) leader() uint64 { return r.node.BasicStatus().Lead }
