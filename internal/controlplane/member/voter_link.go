package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/peers/transport"
)

const (
	// maxVoterQueueBytes bounds the bytes queued for another voter. Further messages are dropped: raft tolerates lost messages, and a
	// frozen voter must not use up this one's memory.
	maxVoterQueueBytes = 64 << 20
	// The time between two dials of another voter grows from minRedialBackoff to maxRedialBackoff.
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = time.Second
	// voterIdleTimeout is the time without traffic after which a connection to another voter is closed. After a long network partition
	// the kernel would retransmit only minutes later, so a new connection is faster.
	voterIdleTimeout = 3 * time.Second
	// voterKeepaliveInterval is the time between the empty frames by which the receiving voter shows the sender that the connection works.
	voterKeepaliveInterval = time.Second
)

// voterLink holds the connections with another voter, one for each direction: each voter dials all others and sends on the connections
// that it dialed.
type voterLink struct {
	peer    client.Member
	inbound *transport.FrameConn // accessed only by the actor

	mu       sync.Mutex // guards outbound
	outbound *transport.FrameConn
}

// send sends a message, or drops it if there is no connection or too much is queued.
func (l *voterLink) send(message []byte) {
	l.mu.Lock()
	conn := l.outbound
	l.mu.Unlock()
	if conn != nil && conn.QueuedBytes() < maxVoterQueueBytes {
		conn.Send(message)
	}
}

func (l *voterLink) setOutbound(conn *transport.FrameConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbound = conn
}

// maintainVoterLink keeps a connection to another voter open, redialing it until ctx ends.
func (m *Member) maintainVoterLink(ctx context.Context, link *voterLink) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		conn, err := client.OpenLink(ctx, m.controlPlane.Fleet, m.controlPlane.Keys, m.self.Name, link.peer, client.PurposeVote)
		if err == nil {
			backoff = minRedialBackoff
			err = runOutbound(ctx, link, conn)
			m.log.Warn("voter connection lost", "name", link.peer.Name, "error", err)
		} else if errors.Is(err, transport.ErrWrongKey) {
			m.logRejected(link.peer.Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// runOutbound makes a connection the link's outbound one until it or ctx ends.
func runOutbound(ctx context.Context, link *voterLink, conn *transport.FrameConn) error {
	link.setOutbound(conn)
	defer link.setOutbound(nil)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	return conn.Run(0, voterIdleTimeout, func([]byte) {}, nil)
}

// serveVoter receives another voter's messages until its connection ends. A later connection replaces an earlier one.
func (m *Member) serveVoter(ctx context.Context, conn *transport.FrameConn, name string) error {
	id := m.voterIDs[name]
	link := m.voterLinks[id]
	if link == nil {
		return fmt.Errorf("%.40q is not another voter", name)
	}
	m.mailbox.Put(func() {
		if link.inbound != nil {
			link.inbound.Close()
		}
		link.inbound = conn
	})
	ended := make(chan struct{})
	defer close(ended)
	m.goroutines.Go(func() { sendKeepalives(conn, ended) })
	err := conn.Run(controlplane.MaxFrameBytes, 0, m.postFrames(ctx, func(message []byte) {
		if link.inbound == conn {
			m.voter.HandleMessage(m.clock.Now(), id, message)
		}
	}), nil)
	return ignoreExpectedClose(err)
}

func sendKeepalives(conn *transport.FrameConn, ended <-chan struct{}) {
	ticker := time.NewTicker(voterKeepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			conn.Send([]byte{})
		}
	}
}
