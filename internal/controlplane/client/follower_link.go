package client

import (
	"context"
	"errors"
	"math/rand/v2"

	"pearknot/internal/controlplane"
	"pearknot/internal/peers/transport"
)

// maxQueuedFrames bounds the frames of the connection in the actor's mailbox; reading pauses while it is reached.
const maxQueuedFrames = 16

// FollowerLink holds a follower and its connection. It belongs to an actor, which calls all methods, and calls ExecuteDecisions after
// each of its steps.
type FollowerLink struct {
	*controlplane.Follower
	Counters // excluding the current connection

	config     Config
	ctx        context.Context // bounds the dials and connections that the follower's decisions start
	host       FollowerLinkHost
	generation uint64 // incremented by dials and disconnections; functions posted by an earlier connection are ignored
	cancel     context.CancelFunc
	conn       *transport.FrameConn // nil if there is none
}

// FollowerLinkHost provides the functions of the actor that a link belongs to.
type FollowerLinkHost struct {
	Now        func() float64                    // the actor's clock, in ms
	Post       func(func())                      // queues a function to run on the actor; may be called from any goroutine
	Go         func(func())                      // starts a goroutine, which ends with the link's context; the actor waits for it
	OnUpdate   func(controlplane.DocumentUpdate) // called by ExecuteDecisions
	OnRejected func(member string, err error)    // called from any goroutine after a handshake failed because of a wrong key
}

// Counters counts a link's bytes, frames and dials since its start.
type Counters struct {
	BytesIn, BytesOut, FramesIn, FramesOut, Dials int64
}

// NewFollowerLink returns a link that continues from a stored version, or from none if its version is 0.
func NewFollowerLink(ctx context.Context, config Config, stored controlplane.VersionedDocument, host FollowerLinkHost) *FollowerLink {
	targets := make([]controlplane.Target, len(config.Members))
	for i, member := range config.Members {
		targets[i] = controlplane.Target{Name: member.Name, Region: member.Region}
	}
	follower := controlplane.NewFollower(controlplane.FollowerConfig{
		Name:    config.Name,
		Region:  config.Region,
		Kind:    config.Kind,
		Members: targets,
		Seed:    rand.Uint64(),
	}, stored, host.Now())
	return &FollowerLink{Follower: follower, config: config, ctx: ctx, host: host}
}

// ExecuteDecisions executes the follower's decisions.
func (l *FollowerLink) ExecuteDecisions() {
	for output, ok := l.Next(); ok; output, ok = l.Next() {
		switch {
		case output.Dial:
			l.dial(output.Member)
		case output.Disconnect:
			l.Disconnect()
		case output.Frame != nil:
			if l.conn != nil {
				l.conn.Send(output.Frame)
			}
		case output.Update != nil:
			l.host.OnUpdate(*output.Update)
		}
	}
}

// TotalCounters returns the counters, including the current connection.
func (l *FollowerLink) TotalCounters() Counters {
	total := l.Counters
	total.add(l.conn)
	return total
}

func (c *Counters) add(conn *transport.FrameConn) {
	if conn == nil {
		return
	}
	bytesIn, bytesOut, framesIn, framesOut := conn.Traffic()
	c.BytesIn += bytesIn
	c.BytesOut += bytesOut
	c.FramesIn += framesIn
	c.FramesOut += framesOut
}

// Disconnect closes the connection, or cancels the dial.
func (l *FollowerLink) Disconnect() {
	l.generation++
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	if l.conn != nil {
		l.conn.Close()
		l.add(l.conn)
		l.conn = nil
	}
}

// dial connects to a member, in a goroutine that then runs the connection until its end.
func (l *FollowerLink) dial(member int) {
	l.Disconnect()
	l.Dials++
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancel = cancel
	generation, to := l.generation, l.config.Members[member]
	l.host.Go(func() {
		defer cancel()
		conn, err := OpenLink(ctx, l.config.Fleet, l.config.Keys, l.config.Name, to, PurposeFollow)
		if err == nil {
			l.runConnection(ctx, generation, member, conn)
		} else if errors.Is(err, transport.ErrWrongKey) {
			l.host.OnRejected(to.Name, err)
		}
		l.post(generation, l.connectionLost)
	})
}

// post queues a function to run on the actor, unless the generation's connection has been replaced or closed by then.
func (l *FollowerLink) post(generation uint64, run func()) {
	l.host.Post(func() {
		if l.generation == generation {
			run()
		}
	})
}

func (l *FollowerLink) connectionLost() {
	l.Disconnect()
	l.Disconnected(l.host.Now())
}

// runConnection runs a connection until it or ctx ends.
func (l *FollowerLink) runConnection(ctx context.Context, generation uint64, member int, conn *transport.FrameConn) {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.host.Post(func() {
		if l.generation != generation || l.ctx.Err() != nil {
			conn.Close()
			return
		}
		l.conn = conn
		l.Connected(l.host.Now(), member)
	})
	conn.OnProgress(func() {
		l.post(generation, func() { l.BytesReceived(l.host.Now()) })
	})
	slots := make(chan struct{}, maxQueuedFrames)
	_ = conn.Run(controlplane.MaxFrameBytes, 0, func(frame []byte) { // the error is ignored: another connection follows in any case
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		l.host.Post(func() {
			<-slots
			if l.generation == generation {
				l.HandleFrame(l.host.Now(), frame)
			}
		})
	}, nil)
}
