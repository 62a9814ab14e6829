package client

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane"
	"pearknot/internal/mailbox"
)

// Descriptors is what a node's link takes at most of its limit: the connection, the next one's dial while that one ends, the lock,
// the copy as it is written.
const Descriptors = 4

const oddEvery = time.Second

// Terms are a follower's own.
type Config struct {
	Fleet, Name, Region string
	Members             []Member
	Keys                [][]byte // the first proves, all are taken
	Copy                string   // file of the last good version; empty keeps none
	Kind                string
}

// State is how a client stands.
type State struct {
	controlplane.FollowerState
	Counters
}

// Client follows the control plane for one node. Its actor owns the follower and the link; what is to be put in force is given to
// another goroutine, the newest only and one at a time, and what is in force to one that keeps it on disk.
type Client struct {
	clock  *clock.Clock
	log    *slog.Logger
	apply  func(uint64, []byte) error
	disk   *Disk // nil keeps none
	held   controlplane.Copy
	odd    rate.Sometimes
	unsaid atomic.Int64
	ctx    context.Context
	end    context.CancelFunc
	wg     sync.WaitGroup
	box    *mailbox.Box[func()]
	follow *Following
	newest chan controlplane.Copy // holds one at most
}

// New makes one, and reads the copy; apply puts a version in force, whole, or tells why not.
func New(t Config, apply func(version uint64, text []byte) error, c *clock.Clock, log *slog.Logger) (*Client, error) {
	x := &Client{clock: c, log: log, apply: apply, odd: rate.Sometimes{Interval: oddEvery}, box: mailbox.New[func()](),
		newest: make(chan controlplane.Copy, 1)}
	if t.Copy != "" {
		var err error
		if x.disk, x.held, err = OpenDisk(t.Copy, t.Fleet, log); err != nil {
			return nil, err
		}
	}
	if t.Kind == "" {
		t.Kind = controlplane.KindNode
	}
	x.ctx, x.end = context.WithCancel(context.Background())
	x.follow = NewFollowing(x.ctx, t, x.held, c.Now, x.box.Put, x.wg.Go, func(t controlplane.Take) {
		x.offer(controlplane.Copy{Version: t.Version, Text: t.Text})
	}, x.sayOdd)
	return x, nil
}

// Copy is what was on disk.
func (c *Client) Copy() (version uint64, text []byte, ok bool) {
	if c.held.Version == 0 {
		return 0, nil, false
	}
	return c.held.Version, c.held.Text.Text(), true
}

// Start follows until Stop. What was on disk is applied first, as any other version.
func (c *Client) Start() {
	if c.held.Version > 0 {
		c.offer(c.held)
	}
	c.wg.Go(c.run)
	c.wg.Go(c.put)
	if c.disk != nil {
		c.wg.Go(func() { c.disk.Run(c.ctx) })
	}
}

// Stop ends the link. An apply that is under way ends first.
func (c *Client) Stop() {
	c.end()
	c.wg.Wait()
	if c.disk != nil {
		c.disk.Close()
	}
}

// State tells how it stands; it waits for the actor.
func (c *Client) State(ctx context.Context) (State, error) {
	told := make(chan State, 1)
	c.box.PutFirst(func() { told <- State{c.follow.State(c.clock.Now()), c.follow.Count()} })
	select {
	case s := <-told:
		return s, nil
	case <-c.ctx.Done():
		return State{}, errors.New("it has ended")
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

func (c *Client) run() {
	tick := time.NewTicker(controlplane.TickMs * time.Millisecond)
	defer tick.Stop()
	defer func() { c.follow.Hangup() }()
	var notes []func()
	member := ""
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.box.Some():
			notes = c.box.Take(notes)
			for _, note := range notes {
				note()
			}
		case <-tick.C:
			c.follow.Tick(c.clock.Now())
		}
		c.follow.Pull()
		if now := c.follow.State(c.clock.Now()).Member; now != member {
			if now == "" {
				c.log.Warn("control plane lost", "member", member)
			} else {
				c.log.Info("control plane followed", "member", now)
			}
			member = now
		}
	}
}

// offer takes the place of what waits to be put in force: the actor's alone.
func (c *Client) offer(next controlplane.Copy) {
	select {
	case <-c.newest:
	default:
	}
	c.newest <- next
}

// put has versions put in force, off the actor: reading the settings may take long.
func (c *Client) put() {
	for {
		var next controlplane.Copy
		select {
		case <-c.ctx.Done():
			return
		case next = <-c.newest:
		}
		if err := c.apply(next.Version, next.Text.Text()); err != nil {
			if c.ctx.Err() != nil || errors.Is(err, context.Canceled) { // that is no word on the version
				return
			}
			c.log.Error("version of the settings refused, the one before holds", "version", next.Version, "error", err)
			c.box.Put(func() { c.follow.Refused(c.clock.Now(), next.Version, err.Error()) })
			continue
		}
		c.box.Put(func() { c.follow.InForce(c.clock.Now(), next.Version) })
		if c.disk != nil {
			c.disk.Offer(next)
		}
	}
}

// sayOdd logs now and then what a link ends by that should not be.
func (c *Client) sayOdd(who string, err error) {
	c.unsaid.Add(1)
	c.odd.Do(func() { c.log.Warn("member refused", "member", who, "error", err, "since_last", c.unsaid.Swap(0)) })
}
