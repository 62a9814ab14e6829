package controlplane

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pearknot/internal/raftlogger"
)

// TickIntervalMs is the time between two calls of Tick of a voter, a server or a follower.
const TickIntervalMs = 50.0

const (
	// heartbeatTicks is the time between two heartbeats of a raft leader.
	heartbeatTicks = 2
	// electionTicks is the least time without a message from the leader after which a voter campaigns. The timeout is drawn between
	// once and twice that, so that the voters elect a leader within about 2 s.
	electionTicks = 20
	// readIndexIntervalMs is the time between two read index requests of a voter, which ask the leader how far the log is committed.
	// The voter's history is known to be complete as of the latest answered one, so its staleness is about this interval.
	readIndexIntervalMs = 500.0
	// maxPendingReads bounds the number of unanswered read index requests.
	maxPendingReads = 64
	// maxUncommittedBytes bounds the size of the proposals that no majority has stored yet: two of the largest documents.
	maxUncommittedBytes = 64 << 20
	// maxInflightMessages bounds the number of unacknowledged append messages from a leader to a voter.
	maxInflightMessages = 64
)

// Voter is one of the members that replicate the history by raft.
//
// The caller carries out the outputs of Next in order until there are none, before it calls anything else: History and FreshAsOf may be
// ahead of a Persist that Next has yet to return. Voter is not safe for concurrent use.
type Voter struct {
	config  VoterConfig
	node    *raft.RawNode
	outputs []VoterOutput
	rng     *rand.Rand

	// Elections.
	ticksSinceLeader int // ticks since the last message from the leader
	electionTimeout  int // in ticks
	leaderTerm       uint64
	leadershipReady  bool // this voter leads and has applied all entries of earlier terms

	// The replicated state machine: voter_apply.go.
	memoryLog          *raft.MemoryStorage // the content of the durable store, and a few entries from before the snapshot
	confState          *pb.ConfState
	history            *History
	appliedIndex       uint64
	bytesSinceSnapshot int

	// Proposals: voter_proposals.go.
	queuedProposals  []queuedProposal // proposals that wait for leadershipReady
	pendingProposals map[uint64]bool  // IDs of the proposals in the log that are not applied yet

	// Messages: voter_messages.go.
	partialMessages map[uint64][]byte // fragments received so far, by sender
	storeFault      string

	// Freshness.
	lastReadIndexAt float64
	readIndexCount  uint64
	pendingReads    []readIndexRequest
	freshAsOf       float64
}

// readIndexRequest is a request to the leader for the commit index.
type readIndexRequest struct {
	context  string // sent with the request and returned in the answer
	sentAt   float64
	index    uint64
	answered bool
}

// NewVoter returns a voter that continues from a stored state.
func NewVoter(config VoterConfig, stored *StoredState, now float64) (*Voter, error) {
	if !slices.Contains(config.Voters, config.ID) {
		return nil, fmt.Errorf("voter %d is not among the voters %d", config.ID, config.Voters)
	}
	if err := stored.validate(&config); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	metadata := stored.Snapshot.GetMetadata()
	history, err := decodeHistorySnapshot(stored.Snapshot.GetData(), config.RetainedChanges)
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v := &Voter{
		config:           config,
		memoryLog:        raft.NewMemoryStorage(),
		confState:        metadata.GetConfState(),
		history:          history,
		rng:              rand.New(rand.NewPCG(config.Seed, config.ID)),
		appliedIndex:     metadata.GetIndex(),
		pendingProposals: map[uint64]bool{},
		partialMessages:  map[uint64][]byte{},
		lastReadIndexAt:  now - readIndexPhase(config.ID),
		freshAsOf:        math.Inf(-1),
	}
	if err := v.loadMemoryLog(stored); err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.node, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   v.memoryLog,
		Applied:                   v.appliedIndex,
		MaxSizePerMsg:             fragmentBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    raftlogger.NewSilent(),
	})
	if err != nil {
		return nil, fmt.Errorf("voter's store: %w", err)
	}
	v.resetElectionTimer()
	v.processReady(now)
	return v, nil
}

func (v *Voter) loadMemoryLog(stored *StoredState) error {
	hardState := proto.Clone(stored.HardState).(*pb.HardState)
	// A change of the commit index alone is not always persisted, so the stored one may be behind the snapshot.
	hardState.Commit = proto.Uint64(max(hardState.GetCommit(), stored.Snapshot.GetMetadata().GetIndex()))
	return errors.Join(
		v.memoryLog.ApplySnapshot(stored.Snapshot),
		v.memoryLog.SetHardState(hardState),
		v.memoryLog.Append(stored.Entries))
}

// readIndexPhase returns the offset of a voter's read index requests within the interval, in ms. It spreads those of all voters.
func readIndexPhase(id uint64) float64 {
	const phases = 7
	return readIndexIntervalMs * float64(id%phases) / phases
}

// Tick advances the time to now. The caller calls it each TickIntervalMs.
//
// A raft node draws its election timeouts from the machine's random source, so that runs with one seed would differ. While this voter
// doesn't lead, its raft node therefore only counts ticks, and the voter campaigns by a timeout of its own.
func (v *Voter) Tick(now float64) {
	if v.IsLeader() {
		v.node.Tick()
	} else {
		v.node.TickQuiesced()
		if v.ticksSinceLeader++; v.ticksSinceLeader >= v.electionTimeout {
			v.resetElectionTimer()
			_ = v.node.Campaign() // fails only if the node is not a voter
		}
	}
	if now-v.lastReadIndexAt >= readIndexIntervalMs {
		v.requestReadIndex(now)
	}
	v.processReady(now)
}

func (v *Voter) resetElectionTimer() {
	v.ticksSinceLeader = 0
	v.electionTimeout = electionTicks + v.rng.IntN(electionTicks)
}

// requestReadIndex asks the leader for the commit index. The leader answers once a majority has confirmed that it still leads, so a
// deposed leader never answers.
func (v *Voter) requestReadIndex(now float64) {
	v.lastReadIndexAt = now
	v.readIndexCount++
	// The context identifies a request at the leader. The ID, the time and the count make it unique across voters and restarts.
	context := binary.BigEndian.AppendUint64(nil, v.config.ID)
	context = binary.BigEndian.AppendUint64(context, math.Float64bits(now))
	context = binary.BigEndian.AppendUint64(context, v.readIndexCount)
	if len(v.pendingReads) >= maxPendingReads {
		v.pendingReads = v.pendingReads[1:]
	}
	v.pendingReads = append(v.pendingReads, readIndexRequest{context: string(context), sentAt: now})
	v.node.ReadIndex(context)
}

// recordReadIndex handles the leader's answer to requestReadIndex.
func (v *Voter) recordReadIndex(state raft.ReadState) {
	for i := range v.pendingReads {
		if v.pendingReads[i].context == string(state.RequestCtx) {
			v.pendingReads[i].index, v.pendingReads[i].answered = state.Index, true
		}
	}
}

// updateFreshness completes the read index requests whose answer, a commit index, has been applied. Every change acknowledged before
// such a request was made is in the history by then, so the history is complete as of the time of the request.
func (v *Voter) updateFreshness(now float64) {
	v.pendingReads = slices.DeleteFunc(v.pendingReads, func(r readIndexRequest) bool {
		isApplied := r.answered && r.index <= v.appliedIndex
		if isApplied {
			v.freshAsOf = max(v.freshAsOf, r.sentAt)
		}
		return isApplied
	})
	if v.config.InjectedBug == BugFreshWithoutQuorum && v.IsLeader() {
		v.freshAsOf = now
	}
}

// Next returns the next output; false if there is none.
func (v *Voter) Next() (VoterOutput, bool) { return popFirst(&v.outputs) }

// popFirst removes the first element of a queue and returns it; false if the queue is empty.
func popFirst[T any](queue *[]T) (T, bool) {
	var zero T
	if len(*queue) == 0 {
		return zero, false
	}
	first := (*queue)[0]
	(*queue)[0] = zero // so that the backing array doesn't keep its content in memory
	if *queue = (*queue)[1:]; len(*queue) == 0 {
		*queue = nil
	}
	return first, true
}

// History returns the applied history. It is updated in place, but a Restored output means that another one has replaced it.
func (v *Voter) History() *History { return v.history }

// Leader returns the leader's ID, or 0 if no leader is known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// IsLeader reports whether this voter leads, as far as it knows.
func (v *Voter) IsLeader() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

func (v *Voter) term() uint64 { return v.node.BasicStatus().GetTerm() }

// StoreFault describes a loss of entries that this voter had acknowledged; it is empty if none are missing. Such a voter must not
// continue, since it may vote for a leader that lacks committed entries. The process ends, and an operator sets the store aside.
func (v *Voter) StoreFault() string { return v.storeFault }

// FreshAsOf returns the time, by this process's clock, as of which History contains every acknowledged change. It is minus infinity
// if no such time is known.
func (v *Voter) FreshAsOf() float64 { return v.freshAsOf }
