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
const MaxDescriptors = 4

const refusedLogInterval = time.Second

// Terms are a follower's own.
type Config struct {
	Fleet, Name, Region string
	Members             []Member
	Keys                [][]byte // the first proves, all are taken
	CopyFile            string   // file of the last good version; empty keeps none
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
	clock           *clock.Clock
	log             *slog.Logger
	apply           func(uint64, []byte) error
	copyStore       *CopyStore // nil keeps none
	initial         controlplane.VersionedDocument
	refusedLog      rate.Sometimes
	refusedSinceLog atomic.Int64
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	mailbox         *mailbox.Box[func()]
	link            *FollowerLink
	nextToApply     chan controlplane.VersionedDocument // holds one at most
}

// New makes one, and reads the copy; apply puts a version in force, whole, or tells why not.
func New(t Config, apply func(version uint64, text []byte) error, c *clock.Clock, log *slog.Logger) (*Client, error) {
	x := &Client{clock: c, log: log, apply: apply, refusedLog: rate.Sometimes{Interval: refusedLogInterval}, mailbox: mailbox.New[func()](),
		nextToApply: make(chan controlplane.VersionedDocument, 1)}
	if t.CopyFile != "" {
		var err error
		if x.copyStore, x.initial, err = OpenCopyStore(t.CopyFile, t.Fleet, log); err != nil {
			return nil, err
		}
	}
	if t.Kind == "" {
		t.Kind = controlplane.KindNode
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.link = NewFollowerLink(x.ctx, t, x.initial, c.Now, x.mailbox.Put, x.wg.Go, func(t controlplane.DocumentUpdate) {
		x.queueForApply(controlplane.VersionedDocument{Version: t.Version, Document: t.Document})
	}, x.logRefused)
	return x, nil
}

// Copy is what was on disk.
func (c *Client) StoredCopy() (version uint64, text []byte, ok bool) {
	if c.initial.Version == 0 {
		return 0, nil, false
	}
	return c.initial.Version, c.initial.Document.Text(), true
}

// Start follows until Stop. What was on disk is applied first, as any other version.
func (c *Client) Start() {
	if c.initial.Version > 0 {
		c.queueForApply(c.initial)
	}
	c.wg.Go(c.run)
	c.wg.Go(c.applyVersions)
	if c.copyStore != nil {
		c.wg.Go(func() { c.copyStore.Run(c.ctx) })
	}
}

// Stop ends the link. An apply that is under way ends first.
func (c *Client) Stop() {
	c.cancel()
	c.wg.Wait()
	if c.copyStore != nil {
		c.copyStore.Close()
	}
}

// State tells how it stands; it waits for the actor.
func (c *Client) State(ctx context.Context) (State, error) {
	told := make(chan State, 1)
	c.mailbox.PutFirst(func() { told <- State{c.link.State(c.clock.Now()), c.link.TotalCounters()} })
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
	tick := time.NewTicker(controlplane.TickIntervalMs * time.Millisecond)
	defer tick.Stop()
	defer func() { c.link.Disconnect() }()
	var notes []func()
	member := ""
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.mailbox.Ready():
			notes = c.mailbox.TakeAll(notes)
			for _, note := range notes {
				note()
			}
		case <-tick.C:
			c.link.Tick(c.clock.Now())
		}
		c.link.CarryOutDecisions()
		if now := c.link.State(c.clock.Now()).Member; now != member {
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
func (c *Client) queueForApply(next controlplane.VersionedDocument) {
	select {
	case <-c.nextToApply:
	default:
	}
	c.nextToApply <- next
}

// put has versions put in force, off the actor: reading the settings may take long.
func (c *Client) applyVersions() {
	for {
		var next controlplane.VersionedDocument
		select {
		case <-c.ctx.Done():
			return
		case next = <-c.nextToApply:
		}
		if err := c.apply(next.Version, next.Document.Text()); err != nil {
			if c.ctx.Err() != nil || errors.Is(err, context.Canceled) { // that is no word on the version
				return
			}
			c.log.Error("version of the settings refused, the one before holds", "version", next.Version, "error", err)
			c.mailbox.Put(func() { c.link.VersionRejected(c.clock.Now(), next.Version, err.Error()) })
			continue
		}
		c.mailbox.Put(func() { c.link.VersionApplied(c.clock.Now(), next.Version) })
		if c.copyStore != nil {
			c.copyStore.QueueWrite(next)
		}
	}
}

// sayOdd logs now and then what a link ends by that should not be.
func (c *Client) logRefused(who string, err error) {
	c.refusedSinceLog.Add(1)
	c.refusedLog.Do(func() {
		c.log.Warn("member refused", "member", who, "error", err, "since_last", c.refusedSinceLog.Swap(0))
	})
}
