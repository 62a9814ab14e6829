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
const Protocol = 1

// What a link is for: its caller says so in its first frame.
const (
	ForFollow = "follow" // a node or a relay follows
	ForVote   = "vote"   // a voter's messages
	ForCall   = "call"   // an operator's call
)

// Opening is a link's first frame.
type Opening struct {
	Version int
	For     string
}

// ReadOpening reads one; of another version there may be anything in it.
func ReadOpening(data []byte) (what string, err error) {
	o := &Opening{}
	if err := snapshot.Read(data, o); err != nil {
		return "", err
	}
	if o.Version != Protocol {
		return "", fmt.Errorf("protocol of version %d, this build has %d", o.Version, Protocol)
	}
	return o.For, nil
}

// Fleet is the fleet's name on the control plane's links: a key that peers share too opens none of theirs here.
func Fleet(name string) string { return name + " control plane" }

const dialWithin = time.Second

// Open dials a member, proves the key and says what the link is for.
func Open(ctx context.Context, fleet string, keys [][]byte, from string, to Member, what string) (*transport.Pipe, error) {
	d := net.Dialer{Timeout: dialWithin}
	c, err := d.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	_, err = transport.Call(c, keys, Fleet(fleet), from, to.Name, max(rand.Uint64(), 1))
	if err == nil {
		err = transport.WriteFrame(c, snapshot.Append(nil, &Opening{Protocol, what}))
	}
	if !stop() || err != nil {
		_ = c.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return transport.NewPipe(c), nil
}

// Following is a follower with its connection. It belongs to an actor: whatever comes from elsewhere is put into that one's box,
// and Pull is to be called after each of its steps.
type Following struct {
	*controlplane.Follower
	terms Config
	ctx   context.Context
	now   func() float64
	put   func(func())
	taken func(controlplane.Take)
	odd   func(who string, err error)
	dials func(func()) // runs what dials and carries, until ctx has ended

	life   uint64 // counts connections and dials
	cancel context.CancelFunc
	pipe   *transport.Pipe
	Counters
}

// Counters are what a link has cost since the start.
type Counters struct {
	BytesIn, BytesOut, FramesIn, FramesOut, Dials int64
}

// NewFollowing makes one; taken is called by Pull, odd for refusals and at any time.
func NewFollowing(ctx context.Context, t Config, held controlplane.Copy, now func() float64, put func(func()), run func(func()),
	taken func(controlplane.Take), odd func(string, error)) *Following {
	targets := make([]controlplane.Target, len(t.Members))
	for k, m := range t.Members {
		targets[k] = controlplane.Target{Name: m.Name, Region: m.Region}
	}
	return &Following{terms: t, ctx: ctx, now: now, put: put, dials: run, taken: taken, odd: odd,
		Follower: controlplane.NewFollower(controlplane.FollowerConfig{Name: t.Name, Region: t.Region, Kind: t.Kind, Members: targets,
			Seed: rand.Uint64()}, held, now())}
}

// Pull carries out what the follower has decided.
func (f *Following) Pull() {
	for {
		o, more := f.Next()
		switch {
		case !more:
			return
		case o.Dial:
			f.dial(o.Member)
		case o.Hangup:
			f.Hangup()
		case o.Frame != nil:
			if f.pipe != nil {
				f.pipe.Send(o.Frame)
			}
		case o.Take != nil:
			f.taken(*o.Take)
		}
	}
}

// Count gives the counters with those of the link that is up.
func (f *Following) Count() Counters {
	c := f.Counters
	c.add(f.pipe)
	return c
}

func (c *Counters) add(p *transport.Pipe) {
	if p == nil {
		return
	}
	in, out, framesIn, framesOut := p.Counts()
	c.BytesIn += in
	c.BytesOut += out
	c.FramesIn += framesIn
	c.FramesOut += framesOut
}

// Hangup ends the connection, or the dial.
func (f *Following) Hangup() {
	f.life++
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

func (f *Following) dial(k int) {
	f.Hangup()
	f.Dials++
	life, to := f.life, f.terms.Members[k]
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancel = cancel
	f.dials(func() {
		defer cancel()
		p, err := Open(ctx, f.terms.Fleet, f.terms.Keys, f.terms.Name, to, ForFollow)
		if err != nil {
			if errors.Is(err, transport.ErrKey) {
				f.odd(to.Name, err)
			}
			f.lost(life)
			return
		}
		stop := context.AfterFunc(ctx, p.Close)
		defer stop()
		f.put(func() {
			if f.life != life || f.ctx.Err() != nil {
				p.Close()
				return
			}
			f.pipe = p
			f.Connected(f.now(), k)
		})
		p.Heard(func() {
			f.put(func() {
				if f.life == life {
					f.Heard(f.now())
				}
			})
		})
		room := make(chan struct{}, mostInHand) // frames that the actor has yet to take
		_ = p.Run(controlplane.MostFrame, 0, func(data []byte) {
			select {
			case room <- struct{}{}:
			case <-ctx.Done():
				return
			}
			f.put(func() {
				<-room
				if f.life == life {
					f.Frame(f.now(), data)
				}
			})
		}, nil)
		f.lost(life)
	})
}

const mostInHand = 16

func (f *Following) lost(life uint64) {
	f.put(func() {
		if f.life == life {
			f.Hangup()
			f.Lost(f.now())
		}
	})
}
