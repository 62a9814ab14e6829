// Package member runs one process of the control plane: a voter, or a relay without a vote.
//
// An actor, the goroutine of runActor, owns the core's parts: the voter or the follower link, and the server of the followers. Every
// connection has its own goroutines, which put received frames into the actor's mailbox. The first frame of an incoming connection
// states whether it is from a follower, from another voter or an operator's call.
package member

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/mailbox"
	"pearknot/internal/throttledlog"
)

// Options configures a member beyond the control plane's file.
type Options struct {
	Bootstrap bool   // this is a voter's first start: it creates an empty store
	Control   string // path of the control socket; empty for none
	Version   string // of the build, for display
}

// Member is one process of the control plane.
type Member struct {
	controlPlane *client.ControlPlane
	self         client.Member
	options      Options
	clock        *clock.Clock
	log          *slog.Logger
	rejectedLog  *throttledlog.Throttle
	stop         context.CancelCauseFunc
	goroutines   sync.WaitGroup
	callSlots    chan struct{} // a token for each call in progress
	validator    validator
	mailbox      *mailbox.Box[func()]

	// The fields below are accessed only by the actor.

	server *controlplane.Server
	served struct { // history that was last passed to the server
		version   uint64
		freshAsOf float64
	}
	followers                     map[uint64]*followerConn
	lastFollowerID                uint64
	closedBytesIn, closedBytesOut int64 // of follower connections that have ended

	voterRole // zero in a relay
	relayRole // zero in a voter
}

// isVoter reports whether this member is a voter rather than a relay.
func (m *Member) isVoter() bool { return m.voter != nil }

// Run runs a member until ctx ends or its store fails. It returns nil after ctx has ended.
func Run(ctx context.Context, plane *client.ControlPlane, name string, options Options, log *slog.Logger) error {
	self, err := plane.FindMember(name)
	if err != nil {
		return err
	}
	m := &Member{
		controlPlane: plane,
		self:         self,
		options:      options,
		clock:        clock.New(),
		log:          log,
		rejectedLog:  throttledlog.New(client.RejectedLogInterval),
		callSlots:    make(chan struct{}, maxCalls),
		mailbox:      mailbox.New[func()](),
		followers:    map[uint64]*followerConn{},
	}
	runCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	m.stop = stop
	if err := m.openState(runCtx); err != nil {
		return err
	}
	defer m.closeState()
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return err
	}
	defer listener.Close()
	controlSocket, err := m.openControlSocket(runCtx)
	if err != nil {
		return err
	}
	defer controlSocket.Close()
	m.server = controlplane.NewServer(controlplane.ServerConfig{Seed: rand.Uint64()}, m.clock.Now())
	m.served.freshAsOf = math.Inf(-1)
	log.Info("control plane member started", "name", name, "region", self.Region, "voter", self.Voter,
		"address", listener.Addr().String(), "version", options.Version)
	m.startGoroutines(runCtx, listener)
	<-runCtx.Done()
	closeAll(listener, controlSocket)
	m.goroutines.Wait()
	if ctx.Err() == nil {
		return context.Cause(runCtx)
	}
	log.Info("control plane member stopped", "name", name)
	return nil
}

// openState opens the durable state of the member's role.
func (m *Member) openState(ctx context.Context) error {
	if err := os.MkdirAll(m.controlPlane.StateDir, 0o700); err != nil {
		return err
	}
	if m.self.Voter {
		return m.openVoter()
	}
	return m.openRelay(ctx)
}

func (m *Member) closeState() {
	if m.store != nil {
		_ = m.store.close()
	}
	if m.copyStore != nil {
		m.copyStore.Close()
	}
}

func (m *Member) startGoroutines(ctx context.Context, listener net.Listener) {
	m.goroutines.Go(func() { m.runActor(ctx) })
	m.goroutines.Go(func() { m.acceptConnections(ctx, listener) })
	for _, link := range m.voterLinks {
		m.goroutines.Go(func() { m.maintainVoterLink(ctx, link) })
	}
	if !m.isVoter() {
		m.goroutines.Go(func() { m.copyStore.Run(ctx) })
	}
}

func closeAll(closers ...io.Closer) {
	for _, c := range closers {
		_ = c.Close() // closing a listener or socket loses no data
	}
}

// logRejected logs a rejected connection, at most once per client.RejectedLogInterval, with the number of rejections since the last line.
func (m *Member) logRejected(peer string, err error) {
	m.rejectedLog.Event(func(sinceLast int64) {
		m.log.Warn("connection rejected", "peer", peer, "error", err, "since_last", sinceLast)
	})
}

// incarnation returns the value in handshakes that distinguishes processes of the same name. The control plane doesn't use it.
func (m *Member) incarnation() uint64 { return max(uint64(m.clock.Now()), 1) }

// runActor runs the actor until ctx ends.
func (m *Member) runActor(ctx context.Context) {
	ticker := time.NewTicker(controlplane.TickIntervalMs * time.Millisecond)
	defer ticker.Stop()
	defer m.closeConnections()
	var messages []func()
	for {
		m.executeDecisions()
		select {
		case <-ctx.Done():
			return
		case <-m.mailbox.Ready():
			messages = m.mailbox.TakeAll(messages)
			for _, run := range messages {
				run()
			}
		case <-ticker.C:
			m.tick()
		}
	}
}

func (m *Member) tick() {
	now := m.clock.Now()
	m.server.Tick(now)
	if m.isVoter() {
		m.voter.Tick(now)
	} else {
		m.followerLink.Tick(now)
	}
}

func (m *Member) closeConnections() {
	for _, follower := range m.followers {
		follower.conn.Close()
	}
	for _, link := range m.voterLinks {
		if link.inbound != nil {
			link.inbound.Close()
		}
	}
	if m.followerLink != nil {
		m.followerLink.Disconnect()
	}
}

// runOnActor runs a function on the actor and waits until it returns. It returns false if the member stops first.
func (m *Member) runOnActor(ctx context.Context, run func()) bool {
	done := make(chan struct{})
	m.mailbox.Put(func() {
		run()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// executeDecisions executes the core's decisions in their order: first the role's, which may change the history, then the
// server's.
func (m *Member) executeDecisions() {
	if m.isVoter() {
		if err := m.executeVoterDecisions(); err != nil {
			m.stop(fmt.Errorf("voter's store: %w", err))
			return
		}
	} else {
		m.executeFollowerDecisions()
	}
	history, freshAsOf := m.history(), m.freshAsOf()
	if head, _ := history.Head(); head != m.served.version || freshAsOf != m.served.freshAsOf {
		m.served.version, m.served.freshAsOf = head, freshAsOf
		m.server.SetHistory(m.clock.Now(), history, freshAsOf)
	}
	m.executeServerDecisions()
}

func (m *Member) executeServerDecisions() {
	for output, ok := m.server.Next(); ok; output, ok = m.server.Next() {
		follower := m.followers[output.Conn]
		switch {
		case follower == nil: // its connection has ended in the meantime
		case output.Disconnect:
			m.log.Info("follower disconnected", "name", follower.name, "reason", output.DisconnectReason)
			follower.conn.Close()
			delete(m.followers, output.Conn)
		default:
			follower.conn.Send(output.Frame)
		}
	}
}

func (m *Member) history() *controlplane.History {
	if m.isVoter() {
		return m.voter.History()
	}
	return m.followerLink.History()
}

// freshAsOf returns the time by the member's clock, in ms, as of which its history contains every acknowledged change.
func (m *Member) freshAsOf() float64 {
	if m.isVoter() {
		return m.voter.FreshAsOf()
	}
	return m.followerLink.FreshAsOf()
}
