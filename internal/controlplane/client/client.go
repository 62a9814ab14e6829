package client

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane"
	"pearknot/internal/mailbox"
	"pearknot/internal/throttledlog"
)

// MaxDescriptors is the maximum number of file descriptors that a node's link uses: the connection, a new one that is dialed while the
// previous one is being closed, the copy store's lock, and the stored copy's file while it is written.
const MaxDescriptors = 4

// RejectedLogInterval is the minimum time between two log lines about rejected connections. Here these are connections to
// members that don't prove that they have the key; in package member, which uses the interval too, they are connections from any peer.
// The interval keeps an unauthenticated peer that connects in a loop from filling the log.
const RejectedLogInterval = time.Second

// errStopped is returned by State once the client has stopped.
var errStopped = errors.New("control plane client has stopped")

// Config configures a follower of the control plane.
type Config struct {
	Fleet, Name, Region string
	Members             []Member
	Keys                [][]byte // this node proves to members that it has the first; a member may prove that it has any of them
	CopyFile            string   // path of the last applied version's copy; empty stores none
	Kind                string   // controlplane.KindNode by default
}

// State is a client's state, for display.
type State struct {
	controlplane.FollowerState
	Counters
}

// Client follows the control plane for a node. Its actor, the goroutine of runActor, owns the follower link. A second goroutine applies
// versions, one at a time and only the newest; a third writes the applied version to disk.
type Client struct {
	clock       *clock.Clock
	log         *slog.Logger
	apply       func(version uint64, text []byte) error
	copyStore   *CopyStore // nil if no copy is stored
	initial     controlplane.VersionedDocument
	rejectedLog *throttledlog.Throttle
	ctx         context.Context // from New to Stop
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	mailbox     *mailbox.Box[func()]
	link        *FollowerLink                       // accessed only by the actor
	nextToApply chan controlplane.VersionedDocument // holds at most one
}

// New returns a client, and reads the stored copy. apply applies a version. If it can't apply the version, it returns an
// error that states why, and must leave the previous version in force as a whole.
func New(config Config, apply func(version uint64, text []byte) error, clock *clock.Clock, log *slog.Logger) (*Client, error) {
	c := &Client{
		clock:       clock,
		log:         log,
		apply:       apply,
		rejectedLog: throttledlog.New(RejectedLogInterval),
		mailbox:     mailbox.New[func()](),
		nextToApply: make(chan controlplane.VersionedDocument, 1),
	}
	if config.CopyFile != "" {
		var err error
		if c.copyStore, c.initial, err = OpenCopyStore(config.CopyFile, config.Fleet, log); err != nil {
			return nil, err
		}
	}
	if config.Kind == "" {
		config.Kind = controlplane.KindNode
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.link = NewFollowerLink(c.ctx, config, c.initial, FollowerLinkHost{
		Now:        clock.Now,
		Post:       c.mailbox.Put,
		Go:         c.goroutines.Go,
		OnUpdate:   c.onUpdate,
		OnRejected: c.logRejected,
	})
	return c, nil
}

// StoredCopy returns the version that was on disk when New was called; ok is false if there was none.
func (c *Client) StoredCopy() (version uint64, text []byte, ok bool) {
	if c.initial.Version == 0 {
		return 0, nil, false
	}
	return c.initial.Version, c.initial.Document.Text(), true
}

// Start follows the control plane until Stop. The stored copy is applied first, like any other version.
func (c *Client) Start() {
	if c.initial.Version > 0 {
		c.queueForApply(c.initial)
	}
	c.goroutines.Go(c.runActor)
	c.goroutines.Go(c.applyVersions)
	if c.copyStore != nil {
		c.goroutines.Go(func() { c.copyStore.Run(c.ctx) })
	}
}

// Stop closes the link and waits for all goroutines, including an apply in progress.
func (c *Client) Stop() {
	c.cancel()
	c.goroutines.Wait()
	if c.copyStore != nil {
		c.copyStore.Close()
	}
}

// State returns the client's state. It waits for the actor, and returns an error after Stop or once ctx ends.
func (c *Client) State(ctx context.Context) (State, error) {
	states := make(chan State, 1)
	c.mailbox.PutFirst(func() {
		states <- State{c.link.State(c.clock.Now()), c.link.TotalCounters()}
	})
	select {
	case state := <-states:
		return state, nil
	case <-c.ctx.Done():
		return State{}, errStopped
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

func (c *Client) runActor() {
	ticker := time.NewTicker(controlplane.TickIntervalMs * time.Millisecond)
	defer ticker.Stop()
	defer func() { c.link.Disconnect() }()
	var messages []func()
	followedMember := ""
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.mailbox.Ready():
			messages = c.mailbox.TakeAll(messages)
			for _, run := range messages {
				run()
			}
		case <-ticker.C:
			c.link.Tick(c.clock.Now())
		}
		c.link.ExecuteDecisions()
		member := c.link.State(c.clock.Now()).Member
		LogMemberChange(c.log, followedMember, member)
		followedMember = member
	}
}

// LogMemberChange logs a change of the member that a follower is connected to. An empty name means none.
func LogMemberChange(log *slog.Logger, previous, current string) {
	switch current {
	case previous:
	case "":
		log.Warn("control plane connection lost", "member", previous)
	default:
		log.Info("control plane connection established", "member", current)
	}
}

func (c *Client) onUpdate(update controlplane.DocumentUpdate) {
	c.queueForApply(controlplane.VersionedDocument{Version: update.Version, Document: update.Document})
}

// queueForApply queues a version to be applied, replacing one that is queued. Once the actor runs, only the actor calls it.
func (c *Client) queueForApply(next controlplane.VersionedDocument) {
	select {
	case <-c.nextToApply:
	default:
	}
	c.nextToApply <- next
}

// applyVersions applies the queued versions until the client stops. It doesn't run on the actor, because parsing a configuration may
// take a second, during which no heartbeat would be answered.
func (c *Client) applyVersions() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case next := <-c.nextToApply:
			err := c.apply(next.Version, next.Document.Text())
			if err != nil && (c.ctx.Err() != nil || errors.Is(err, context.Canceled)) {
				return // the node is stopping, which says nothing about the version
			}
			c.reportApplied(next, err)
		}
	}
}

// reportApplied reports to the follower whether a version was applied or rejected, and queues an applied one for the copy store.
func (c *Client) reportApplied(applied controlplane.VersionedDocument, err error) {
	if err != nil {
		c.log.Error("configuration version rejected, previous version stays applied", "version", applied.Version, "error", err)
		c.mailbox.Put(func() { c.link.VersionRejected(c.clock.Now(), applied.Version, err.Error()) })
		return
	}
	c.mailbox.Put(func() { c.link.VersionApplied(c.clock.Now(), applied.Version) })
	if c.copyStore != nil {
		c.copyStore.QueueWrite(applied)
	}
}

// logRejected logs a member that does not prove the key, at most once per RejectedLogInterval, with the number of rejections since the
// last line.
func (c *Client) logRejected(member string, err error) {
	c.rejectedLog.Event(func(sinceLast int64) {
		c.log.Warn("control plane member rejected", "member", member, "error", err, "since_last", sinceLast)
	})
}
