package requestlog

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// receiveRaftMessage passes a raft message to the replica that it is addressed to. A member that was added to a log's voters
// creates an empty replica on the first message.
func (m *Member) receiveRaftMessage(peer *peer, frame *Frame) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(frame.Raft, message); err != nil {
		return fmt.Errorf("%w: raft message: %w", ErrMalformedFrame, err)
	}
	if incarnationOf(message.GetFrom()) != peer.incarnation {
		return fmt.Errorf("%w: raft message from another incarnation", ErrMalformedFrame)
	}
	replica := m.replicas[frame.Log]
	if replica != nil && frame.Generation > replica.generation {
		m.dropReplica(frame.Log)
		replica = nil
	}
	isForEarlierReplica := message.GetTo() != m.voterIDs[frame.Log]
	isOfEarlierGeneration := replica != nil && frame.Generation < replica.generation
	if isForEarlierReplica || isOfEarlierGeneration {
		return nil
	}
	if replica == nil {
		var err error
		if replica, err = newReplica(&m.config, frame.Log, frame.Generation, m.voterIDs[frame.Log]); err != nil {
			return nil // raft refuses the configuration, which is not the sender's fault
		}
		m.replicas[frame.Log] = replica
		m.knownGenerations[frame.Log] = max(m.knownGenerations[frame.Log], frame.Generation)
	}
	replica.step(message)
	return nil
}

// sendRaftMessage sends a replica's message if the incarnation that it is addressed to is connected. Otherwise the message is
// dropped; raft sends it again.
func (m *Member) sendRaftMessage(log *replica, message *pb.Message) {
	to := incarnationOf(message.GetTo())
	peer := &m.peers[to.Member()]
	if to == m.self || peer.incarnation != to || !peer.connected {
		log.reportSnapshot(message, false)
		return
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return
	}
	m.sendFrame(to.Member(), &Frame{Kind: frameRaft, Log: log.logIndex, Generation: log.generation, Raft: data})
	log.reportSnapshot(message, true)
}

// processReplicas processes the replicas' raft state until none has work left. Applying a record of one log may create work
// for another log.
func (m *Member) processReplicas() {
	for again := true; again; {
		again = false
		for _, replica := range m.replicas {
			if replica == nil || !replica.node.HasReady() {
				continue
			}
			again = true
			wasLeader := replica.isLeader
			replica.processReady(
				func(message *pb.Message) { m.sendRaftMessage(replica, message) },
				func(record *Record, result Result, answer FinalAnswer) {
					m.recordApplied(replica, record, result, answer)
				})
			if replica.isLeader != wasLeader {
				m.leadershipChanged(replica)
			}
		}
	}
}

func (m *Member) leadershipChanged(log *replica) {
	m.nextHeartbeatAt = m.now
	clear(log.takeoverProposedAt)
	log.confChangeProposedAt = 0
	message := "became leader of request log"
	if !log.isLeader {
		message = "lost leadership of request log"
	}
	m.logEvent(Event{Message: message, Log: m.config.Members[log.logIndex], Term: log.term()})
}

// recordApplied is called for each record that a replica has applied. The leader replies to the record's caller.
func (m *Member) recordApplied(log *replica, record *Record, result Result, answer FinalAnswer) {
	if record.Kind == OwnerChanged {
		m.ownerChangeApplied(log, record, result)
		return
	}
	if record.Caller != 0 && log.isLeaderNow() {
		m.replyTo(record.Caller, CallReply{record.CallSeq, result, answer})
	}
}
