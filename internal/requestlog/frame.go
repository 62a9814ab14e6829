package requestlog

import (
	"errors"
	"fmt"

	"pearknot/internal/snapshot"
)

// Version is the version of the frames that this build sends. It refuses frames of any other version.
const Version = 1

// The kinds of frames. Members of other builds send these numbers.
const (
	frameRaft = iota + 1
	frameCall
	frameReply
	frameHeartbeat
)

// Frame is a message from one member to another, encoded by the order of its fields.
type Frame struct {
	Version    int
	Kind       int
	Log        int       // index of the log; 0 for frameHeartbeat
	Generation uint64    // generation of the log; for frameRaft
	Raft       []byte    // encoded raftpb.Message; for frameRaft
	Call       Call      // for frameCall
	Reply      CallReply // for frameReply
	Heartbeat  Heartbeat // for frameHeartbeat
}

// The errors of Receive. On either of them the caller should close the link to the sending member.
var (
	ErrMalformedFrame = errors.New("malformed frame")
	ErrFrameVersion   = errors.New("unsupported frame version")
)

func encodeFrame(frame *Frame) []byte {
	frame.Version = Version
	return snapshot.AppendStruct(nil, frame)
}

func (m *Member) sendFrame(to int, frame *Frame) {
	m.outputs = append(m.outputs, Output{To: to, Frame: encodeFrame(frame)})
}

// Receive handles a frame from a connected member.
func (m *Member) Receive(now float64, from int, data []byte) error {
	m.now = now
	frame := &Frame{}
	if err := snapshot.ReadStruct(data, frame); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if frame.Version != Version {
		return fmt.Errorf("%w: %d, this build supports %d", ErrFrameVersion, frame.Version, Version)
	}
	if frame.Log < 0 || frame.Log >= len(m.replicas) {
		return fmt.Errorf("%w: log index %d, fleet has %d logs", ErrMalformedFrame, frame.Log, len(m.replicas))
	}
	peer := &m.peers[from]
	if peer.incarnation == 0 {
		return fmt.Errorf("%w: from a member that has never been connected", ErrMalformedFrame)
	}
	peer.lastReceivedAt = now
	switch frame.Kind {
	case frameRaft:
		return m.receiveRaftMessage(peer, frame)
	case frameCall:
		m.serveCall(peer.incarnation, frame.Log, frame.Call)
		return nil
	case frameReply:
		m.receiveReply(frame.Reply)
		return nil
	case frameHeartbeat:
		return m.receiveHeartbeat(peer, &frame.Heartbeat)
	}
	return fmt.Errorf("%w: unknown kind %d", ErrMalformedFrame, frame.Kind)
}
