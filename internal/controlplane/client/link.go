package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"pearknot/internal/controlplane"
	"pearknot/internal/peers/transport"
	"pearknot/internal/snapshot"
)

// Protocol is the version of what goes over a link once both ends are proven.
const ProtocolVersion = 1

// What a link is for: its caller says so in its first frame.
const (
	PurposeFollow = "follow" // a node or a relay follows
	PurposeVote   = "vote"   // a voter's messages
	PurposeCall   = "call"   // an operator's call
)

// Opening is a link's first frame.
type LinkHeader struct {
	Version int
	Purpose string
}

// ReadOpening reads one; of another version there may be anything in it.
func DecodeLinkHeader(data []byte) (what string, err error) {
	o := &LinkHeader{}
	if err := snapshot.Read(data, o); err != nil {
		return "", err
	}
	if o.Version != ProtocolVersion {
		return "", fmt.Errorf("protocol of version %d, this build has %d", o.Version, ProtocolVersion)
	}
	return o.Purpose, nil
}

// Fleet is the fleet's name on the control plane's links: a key that peers share too opens none of theirs here.
func HandshakeFleet(name string) string { return name + " control plane" }

const dialTimeout = time.Second

// Open dials a member, proves the key and says what the link is for.
func OpenLink(ctx context.Context, fleet string, keys [][]byte, from string, to Member, what string) (*transport.FrameConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_, err = transport.ClientHandshake(c, keys, HandshakeFleet(fleet), from, to.Name, max(rand.Uint64(), 1))
	if err == nil {
		err = transport.WriteFrame(c, snapshot.Append(nil, &LinkHeader{ProtocolVersion, what}))
	}
	if !stop() || err != nil {
		_ = c.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return transport.NewFrameConn(c), nil
}

// Following is a follower with its connection. It belongs to an actor: whatever comes from elsewhere is put into that one's box,
// and Pull is to be called after each of its steps.
type FollowerLink struct {
	*controlplane.Follower
	config         Config
	ctx            context.Context
	now            func() float64
	post           func(func())
	onUpdate       func(controlplane.DocumentUpdate)
	onRefused      func(who string, err error)
	startGoroutine func(func()) // runs what dials and carries, until ctx has ended

	generation uint64 // counts connections and dials
	cancel     context.CancelFunc
	pipe       *transport.FrameConn
	Counters
}

// Counters are what a link has cost since the start.
type Counters struct {
	BytesIn, BytesOut, FramesIn, FramesOut, Dials int64
}

// NewFollowing makes one; taken is called by Pull, odd for refusals and at any time.
func NewFollowerLink(ctx context.Context, t Config, held controlplane.VersionedDocument, now func() float64, put func(func()), run func(func()),
	taken func(controlplane.DocumentUpdate), odd func(string, error)) *FollowerLink {
	targets := make([]controlplane.Target, len(t.Members))
	for k, m := range t.Members {
		targets[k] = controlplane.Target{Name: m.Name, Region: m.Region}
	}
	return &FollowerLink{config: t, ctx: ctx, now: now, post: put, startGoroutine: run, onUpdate: taken, onRefused: odd,
		Follower: controlplane.NewFollower(controlplane.FollowerConfig{Name: t.Name, Region: t.Region, Kind: t.Kind, Members: targets,
			Seed: rand.Uint64()}, held, now())}
}

// Pull carries out what the follower has decided.
func (f *FollowerLink) CarryOutDecisions() {
	for {
		o, more := f.Next()
		switch {
		case !more:
			return
		case o.Dial:
			f.dial(o.Member)
		case o.Disconnect:
			f.Disconnect()
		case o.Frame != nil:
			if f.pipe != nil {
				f.pipe.Send(o.Frame)
			}
		case o.Update != nil:
			f.onUpdate(*o.Update)
		}
	}
}

// Count gives the counters with those of the link that is up.
func (f *FollowerLink) TotalCounters() Counters {
	c := f.Counters
	c.add(f.pipe)
	return c
}

func (c *Counters) add(p *transport.FrameConn) {
	if p == nil {
		return
	}
	in, out, framesIn, framesOut := p.Traffic()
	c.BytesIn += in
	c.BytesOut += out
	c.FramesIn += framesIn
	c.FramesOut += framesOut
}

// Hangup ends the connection, or the dial.
func (f *FollowerLink) Disconnect() {
	f.generation++
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
	if f.pipe != nil {
		f.pipe.Close()
		f.add(f.pipe)
		f.pipe = nil
	}
}

func (f *FollowerLink) dial(k int) {
	f.Disconnect()
	f.Dials++
	life, to := f.generation, f.config.Members[k]
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancel = cancel
	f.startGoroutine(func() {
		defer cancel()
		p, err := OpenLink(ctx, f.config.Fleet, f.config.Keys, f.config.Name, to, PurposeFollow)
		if err != nil {
			if errors.Is(err, transport.ErrWrongKey) {
				f.onRefused(to.Name, err)
			}
			f.connectionLost(life)
			return
		}
		stop := context.AfterFunc(ctx, p.Close)
		defer stop()
		f.post(func() {
			if f.generation != life || f.ctx.Err() != nil {
				p.Close()
				return
			}
			f.pipe = p
			f.Connected(f.now(), k)
		})
		p.OnProgress(func() {
			f.post(func() {
				if f.generation == life {
					f.BytesReceived(f.now())
				}
			})
		})
		room := make(chan struct{}, maxQueuedFrames) // frames that the actor has yet to take
		_ = p.Run(controlplane.MaxFrameBytes, 0, func(data []byte) {
			select {
			case room <- struct{}{}:
			case <-ctx.Done():
				return
			}
			f.post(func() {
				<-room
				if f.generation == life {
					f.HandleFrame(f.now(), data)
				}
			})
		}, nil)
		f.connectionLost(life)
	})
}

const maxQueuedFrames = 16

func (f *FollowerLink) connectionLost(life uint64) {
	f.post(func() {
		if f.generation == life {
			f.Disconnect()
			f.Disconnected(f.now())
		}
	})
}
