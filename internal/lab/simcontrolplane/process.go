package simcontrolplane

import (
	"slices"

	"pearknot/internal/controlplane"
)

const (
	minWriteMs, writeSpreadMs = 0.2, 20.0
	unsyncedWriteMs           = 3000.0
	minApplyMs, applySpreadMs = 1.0, 30.0

	snapshotThreshold = 4000 // log entries of a voter
)

// process is a process of the control plane. A voter has a voter and a server, a relay a follower and a server, a node a follower.
type process struct {
	id           int
	name, region string
	clockOffset  float64 // ms that its clock is ahead of virtual time
	incarnation  int
	isUp         bool
	isFrozen     bool
	isWriting    bool     // it waits for its disk, and does nothing else
	backlog      []func() // work that arrived while it was frozen or waited for its disk

	voter   *controlplane.Voter
	store   *controlplane.StoredState // outlives the process
	replies map[uint64]func(controlplane.Result)

	follower   *controlplane.Follower
	stored     controlplane.VersionedDocument // copy on disk
	isApplying bool
	nextUpdate *controlplane.DocumentUpdate // the newest that arrived while another was being applied
	dials      int                          // a dial is current if no other has followed
	conn       *connection

	server *controlplane.Server
}

// history is what a member serves.
func (p *process) history() *controlplane.History {
	if p.voter != nil {
		return p.voter.History()
	}
	return p.follower.History()
}

func (c *Cluster) isMember(p *process) bool { return p.id < c.config.members() }

// clock is the time that a process reads, in ms.
func (c *Cluster) clock(p *process) float64 { return c.now + p.clockOffset }

// runIn does work in an incarnation of a process: now, or when the process can run again, or never if the incarnation has ended.
func (c *Cluster) runIn(p *process, incarnation int, work func()) {
	switch {
	case !p.isUp || p.incarnation != incarnation:
	case p.isFrozen || p.isWriting:
		p.backlog = append(p.backlog, work)
	default:
		work()
		c.pump(p)
	}
}

// runBacklog does the work that arrived while a process could not run.
func (c *Cluster) runBacklog(p *process) {
	for p.isUp && !p.isFrozen && !p.isWriting && len(p.backlog) > 0 {
		work := p.backlog[0]
		p.backlog = p.backlog[1:]
		work()
		c.pump(p)
	}
}

// start begins a process's next incarnation.
func (c *Cluster) start(p *process) {
	p.incarnation++
	p.isUp, p.isFrozen, p.isWriting, p.backlog = true, false, false, nil
	p.replies, p.conn, p.isApplying, p.nextUpdate = map[uint64]func(controlplane.Result){}, nil, false, nil
	seed := c.rng.Uint64()
	if p.id < c.config.Voters {
		c.startVoter(p, seed)
	} else {
		c.startFollower(p, seed)
	}
	if c.isMember(p) {
		p.server = controlplane.NewServer(controlplane.ServerConfig{Seed: seed}, c.clock(p))
	}
	c.pump(p)
	incarnation := p.incarnation
	c.after(c.rng.Float64()*controlplane.TickIntervalMs, func() { c.tick(p, incarnation) })
}

func (c *Cluster) startVoter(p *process, seed uint64) {
	var voters []uint64
	for index := range c.config.Voters {
		voters = append(voters, voterID(index))
	}
	if p.store == nil {
		p.store = controlplane.Bootstrap(voters)
	}
	config := controlplane.VoterConfig{
		ID:                voterID(p.id),
		Voters:            voters,
		Seed:              seed,
		SnapshotThreshold: snapshotThreshold,
		RetainedChanges:   c.config.RetainedChanges,
		InjectedBug:       c.InjectedBug,
	}
	var err error
	if p.voter, err = controlplane.NewVoter(config, p.store, c.clock(p)); err != nil {
		panic(err) // the store holds only what this voter wrote
	}
}

// voterID is the ID of a voter in the replicated log. IDs begin at 1.
func voterID(process int) uint64 { return uint64(process + 1) }

// startFollower starts a relay, which follows voters, or a node, which follows any member.
func (c *Cluster) startFollower(p *process, seed uint64) {
	config := controlplane.FollowerConfig{
		Name:            p.name,
		Region:          p.region,
		Kind:            controlplane.KindNode,
		RetainedChanges: c.config.RetainedChanges,
		Seed:            seed,
		InjectedBug:     c.InjectedBug,
	}
	targets := c.processes[:c.config.members()]
	if c.isMember(p) {
		config.Kind, config.InjectedBug = controlplane.KindMember, controlplane.NoInjectedBug
		targets = c.processes[:c.config.Voters]
	}
	for _, member := range targets {
		config.Members = append(config.Members, controlplane.Target{Name: member.name, Region: member.region})
	}
	p.follower = controlplane.NewFollower(config, p.stored, c.clock(p))
	c.auditor.processStarted(p)
	if p.stored.Version > 0 && !c.isMember(p) {
		c.auditor.versionApplied(p, p.stored)
		p.follower.VersionApplied(c.clock(p), p.stored.Version)
	}
}

func (c *Cluster) tick(p *process, incarnation int) {
	if !p.isUp || p.incarnation != incarnation {
		return
	}
	c.runIn(p, incarnation, func() {
		if p.voter != nil {
			p.voter.Tick(c.clock(p))
		}
		if p.follower != nil {
			p.follower.Tick(c.clock(p))
		}
		if p.server != nil {
			p.server.Tick(c.clock(p))
		}
	})
	c.after(controlplane.TickIntervalMs, func() { c.tick(p, incarnation) })
}

// kill ends a process. Its machine closes its connections.
func (c *Cluster) kill(p *process) {
	p.isUp = false
	for _, conn := range slices.Clone(c.conns) {
		for at, end := range conn.ends {
			if end.process == p && end.incarnation == p.incarnation {
				c.closeConn(conn, side(at))
			}
		}
	}
	p.voter, p.follower, p.server = nil, nil, nil
}

// pump carries out what a process has decided, in order.
func (c *Cluster) pump(p *process) {
	if p.voter != nil {
		if !c.pumpVoter(p) {
			return
		}
		p.server.SetHistory(c.clock(p), p.voter.History(), p.voter.FreshAsOf())
	}
	if p.follower != nil {
		c.pumpFollower(p)
	}
	if p.server == nil {
		return
	}
	if p.follower != nil {
		p.server.SetHistory(c.clock(p), p.follower.History(), p.follower.FreshAsOf())
	}
	version, doc := p.history().Head()
	c.auditor.memberServes(p, version, doc)
	c.pumpServer(p)
}

// pumpVoter reports whether the process can go on: a write stops everything else in it until the write is done.
func (c *Cluster) pumpVoter(p *process) bool {
	for {
		output, ok := p.voter.Next()
		if !ok {
			return true
		}
		switch {
		case output.Persist != nil:
			if !c.write(p, output.Persist) {
				return false
			}
		case output.Send != nil:
			c.sendVoterMessage(p, output.Send)
		case output.Reply != nil:
			if handle := p.replies[output.Reply.ID]; handle != nil {
				delete(p.replies, output.Reply.ID)
				handle(output.Reply.Result)
			}
		case output.Committed != nil:
			c.trace("%s commits %d", p.name, output.Committed.Version)
		}
	}
}

// write puts a voter's state in its store. It reports whether the store says at once that this is done.
func (c *Cluster) write(p *process, persist *controlplane.Persist) bool {
	incarnation := p.incarnation
	if c.UnsyncedWrites {
		c.after(unsyncedWriteMs, func() {
			if p.isUp && p.incarnation == incarnation {
				p.store.ApplyPersist(persist)
			}
		})
		return true
	}
	p.isWriting = true
	c.after(minWriteMs+c.rng.Float64()*c.rng.Float64()*writeSpreadMs, func() {
		if p.isUp && p.incarnation == incarnation {
			p.store.ApplyPersist(persist)
			p.isWriting = false
			c.pump(p)
			c.runBacklog(p)
		}
	})
	return false
}

func (c *Cluster) pumpFollower(p *process) {
	for {
		output, ok := p.follower.Next()
		if !ok {
			return
		}
		switch {
		case output.Dial:
			c.dial(p, output.Member)
		case output.Disconnect:
			p.dials++
			c.closeConn(p.conn, followerSide)
			p.conn = nil
		case output.Frame != nil:
			c.sendFrame(p.conn, followerSide, output.Frame)
		case output.Update != nil:
			c.apply(p, output.Update)
		}
	}
}

func (c *Cluster) pumpServer(p *process) {
	for {
		output, ok := p.server.Next()
		if !ok {
			return
		}
		conn := c.connByID(output.Conn)
		if output.Disconnect {
			c.trace("%s hangs up: %s", p.name, output.DisconnectReason)
			c.closeConn(conn, serverSide)
		} else {
			c.sendFrame(conn, serverSide, output.Frame)
		}
	}
}

// apply puts an update on disk, and in a node in force. A node applies one at a time, next the newest that arrived meanwhile.
func (c *Cluster) apply(p *process, update *controlplane.DocumentUpdate) {
	if update.Changes == nil {
		c.Snapshots++
	}
	if c.isMember(p) { // a relay only stores it
		p.stored = controlplane.VersionedDocument{Version: update.Version, Document: update.Document}
		return
	}
	if p.isApplying {
		p.nextUpdate = update
		return
	}
	p.isApplying = true
	incarnation := p.incarnation
	c.after(c.drawMs(minApplyMs, applySpreadMs), func() {
		c.runIn(p, incarnation, func() {
			p.stored = controlplane.VersionedDocument{Version: update.Version, Document: update.Document}
			c.auditor.versionApplied(p, p.stored)
			p.follower.VersionApplied(c.clock(p), update.Version)
			p.isApplying = false
			if next := p.nextUpdate; next != nil {
				p.nextUpdate = nil
				c.apply(p, next)
			}
		})
	})
}
