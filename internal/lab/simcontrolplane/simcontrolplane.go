// Package simcontrolplane plays a control plane in virtual time: voters with stores that lose what was not written, relays and followers in
// regions, operators that propose at once, links that are cut, slowed, thinned and mangled, processes that are killed and frozen.
// Clocks differ between processes. One seed makes one history. What is judged is what operators were told and followers have in force.
package simcontrolplane

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"pearknot/internal/controlplane"
)

// Fault is one thing that goes wrong, in ms from the start. Kinds are kill, lost (killed, and its copy gone; a voter's store stays),
// freeze, cut (a link, both ways), oneway, alone (a process from all others), mute and deaf (the same one way), region (A's from all
// others), slow and thin (all links of a process: 800 ms longer, 1 KB/s). A of -1 is whichever voter leads by then.
type Fault struct {
	At, Until float64
	Kind      string
	A, B      int // processes: voters, then relays, then nodes
}

// Shape is who there is.
type Shape struct {
	Voters, Relays, Nodes, Regions int
	Tenants                        int // lines of the document
	Kept                           int // changes kept; 0 is the usual
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// proc is a process: a voter has a voter and a server, a relay a follower and a server, a node a follower.
type proc struct {
	id           int
	name, region string
	clock        float64 // ahead of the true time
	life         int
	up, frozen   bool
	busy         bool     // it waits for its disk
	queue        []func() // what comes meanwhile

	voter    *controlplane.Voter
	store    *controlplane.StoredState
	waits    map[uint64]func(controlplane.Result)
	follower *controlplane.Follower
	copy     controlplane.VersionedDocument // on disk
	applies  bool
	next     *controlplane.DocumentUpdate
	server   *controlplane.Server
	dial     int // counts them
	conn     *conn
}

// conn is a connection between a follower and a member. Frames that a cut link holds up come later, in their order.
type conn struct {
	id    uint64
	ends  [2]int // follower, member
	lives [2]int
	open  [2]bool
	last  [2]float64 // latest arrival, from either end
	held  [2][]func()
}

// Plane is the processes and the links between them.
type Plane struct {
	Trace func(format string, args ...any) // is told what happens; nil is nobody

	// Flaw is left out in voters, and in nodes as followers; not in relays, whose own History would not hold together.
	Flaw controlplane.InjectedBug
	// Mangle loses, doubles, swaps and corrupts frames, which TCP doesn't: only digests, versions and heartbeats are left then.
	Mangle bool
	// Unsynced is a store that says a write is done 3 s before it is.
	Unsynced bool

	Conflicts, Acknowledged, Wholes int

	t       Shape
	now     float64
	seq     int
	events  events
	rng     *rand.Rand
	procs   []*proc
	cut     [][]int // how many faults cut it
	slow    [][]float64
	thin    [][]float64 // bytes a ms; 0 is no limit
	arrives [][]float64 // latest arrival between two voters, so that a link keeps its order
	conns   []*conn
	ids     uint64
	judge   *judge
	acked   func(voter int) // is told of each acknowledgement; nil is nobody
	calm    bool            // from the wind-down on
}

// New makes one whose delays, load and clocks follow from a seed.
func New(seed uint64, t Shape) *Plane {
	s := &Plane{t: t, rng: rand.New(rand.NewPCG(seed, 23)), now: 1e6}
	s.judge = newJudge(s)
	for k := range t.Voters + t.Relays + t.Nodes {
		p := &proc{id: k, clock: s.rng.Float64() * 3.6e6}
		switch at := k - t.Voters; {
		case at < 0:
			p.name, p.region = fmt.Sprintf("v%d", k+1), fmt.Sprintf("r%d", k%t.Regions)
		case at < t.Relays:
			p.name, p.region = fmt.Sprintf("m%d", at), fmt.Sprintf("r%d", at%t.Regions)
		default:
			p.name, p.region = fmt.Sprintf("n%d", at-t.Relays), fmt.Sprintf("r%d", (at-t.Relays)%t.Regions)
		}
		s.procs = append(s.procs, p)
		n := t.Voters + t.Relays + t.Nodes
		s.cut, s.slow, s.thin = append(s.cut, make([]int, n)), append(s.slow, make([]float64, n)), append(s.thin, make([]float64, n))
		s.arrives = append(s.arrives, make([]float64, n))
	}
	return s
}

func (s *Plane) members() int { return s.t.Voters + s.t.Relays }

func (s *Plane) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace("%.0f "+format, append([]any{s.now}, args...)...)
	}
}

func (s *Plane) after(ms float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + ms, s.seq, do})
}

// at is a process's own clock.
func (s *Plane) at(p *proc) float64 { return s.now + p.clock }

// in runs something in a process, when it can run.
func (s *Plane) in(k, life int, do func()) {
	p := s.procs[k]
	switch {
	case !p.up || p.life != life:
	case p.frozen || p.busy:
		p.queue = append(p.queue, do)
	default:
		do()
		s.pump(p)
	}
}

// resume runs what came while a process could not.
func (s *Plane) resume(p *proc) {
	for p.up && !p.frozen && !p.busy && len(p.queue) > 0 {
		do := p.queue[0]
		p.queue = p.queue[1:]
		do()
		s.pump(p)
	}
}

func (s *Plane) start(p *proc) {
	p.life++
	p.up, p.frozen, p.busy, p.queue = true, false, false, nil
	p.waits, p.conn, p.applies, p.next = map[uint64]func(controlplane.Result){}, nil, false, nil
	seed := s.rng.Uint64()
	if p.id < s.t.Voters {
		var voters []uint64
		for k := range s.t.Voters {
			voters = append(voters, uint64(k+1))
		}
		if p.store == nil {
			p.store = controlplane.Bootstrap(voters)
		}
		var err error
		p.voter, err = controlplane.NewVoter(controlplane.VoterConfig{ID: uint64(p.id + 1), Voters: voters, Seed: seed, SnapshotThreshold: 4000, RetainedChanges: s.t.Kept, InjectedBug: s.Flaw}, p.store, s.at(p))
		if err != nil {
			panic(err)
		}
	} else {
		t := controlplane.FollowerConfig{Name: p.name, Region: p.region, Kind: controlplane.KindNode, RetainedChanges: s.t.Kept, Seed: seed, InjectedBug: s.Flaw}
		most := s.members()
		if p.id < s.members() {
			t.Kind, t.InjectedBug, most = controlplane.KindMember, controlplane.NoInjectedBug, s.t.Voters
		}
		for _, m := range s.procs[:most] {
			t.Members = append(t.Members, controlplane.Target{Name: m.name, Region: m.region})
		}
		p.follower = controlplane.NewFollower(t, p.copy, s.at(p))
		s.judge.started(p)
		if p.copy.Version > 0 && p.id >= s.members() {
			s.judge.inForce(p, p.copy)
			p.follower.VersionApplied(s.at(p), p.copy.Version)
		}
	}
	if p.id < s.members() {
		p.server = controlplane.NewServer(controlplane.ServerConfig{Seed: seed}, s.at(p))
	}
	s.pump(p)
	life := p.life
	var tick func()
	tick = func() {
		if p.up && p.life == life {
			s.in(p.id, life, func() {
				if p.voter != nil {
					p.voter.Tick(s.at(p))
				}
				if p.follower != nil {
					p.follower.Tick(s.at(p))
				}
				if p.server != nil {
					p.server.Tick(s.at(p))
				}
			})
			s.after(controlplane.TickIntervalMs, tick)
		}
	}
	s.after(s.rng.Float64()*controlplane.TickIntervalMs, tick)
}

// pump carries out what a process has to do, in order; a write stops all else until it is done.
func (s *Plane) pump(p *proc) {
	life := p.life
	for p.voter != nil {
		o, more := p.voter.Next()
		if !more {
			break
		}
		switch {
		case o.Persist != nil:
			if s.Unsynced {
				s.after(3000, func() {
					if p.up && p.life == life {
						p.store.ApplyPersist(o.Persist)
					}
				})
				break
			}
			p.busy = true
			s.after(0.2+s.rng.Float64()*s.rng.Float64()*20, func() {
				if p.up && p.life == life {
					p.store.ApplyPersist(o.Persist)
					p.busy = false
					s.pump(p)
					s.resume(p)
				}
			})
			return
		case o.Send != nil:
			s.message(p, o.Send)
		case o.Reply != nil:
			if f := p.waits[o.Reply.ID]; f != nil {
				delete(p.waits, o.Reply.ID)
				f(o.Reply.Result)
			}
		case o.Committed != nil:
			s.trace("%s commits %d", p.name, o.Committed.Version)
		}
	}
	if p.voter != nil {
		p.server.SetHistory(s.at(p), p.voter.History(), p.voter.FreshAsOf())
	}
	for p.follower != nil {
		o, more := p.follower.Next()
		if !more {
			break
		}
		switch {
		case o.Dial:
			s.dialled(p, o.Member)
		case o.Disconnect:
			p.dial++
			s.hangup(p.conn, 0)
			p.conn = nil
		case o.Frame != nil:
			s.carry(p.conn, 0, o.Frame)
		case o.Update != nil:
			s.take(p, o.Update)
		}
	}
	if p.server == nil {
		return
	}
	if p.follower != nil {
		p.server.SetHistory(s.at(p), p.follower.History(), p.follower.FreshAsOf())
	}
	version, doc := p.history().Head()
	s.judge.holds(p, version, doc)
	for {
		o, more := p.server.Next()
		if !more {
			return
		}
		c := s.conn(o.Conn)
		if o.Disconnect {
			s.trace("%s hangs up: %s", p.name, o.DisconnectReason)
			s.hangup(c, 1)
		} else {
			s.carry(c, 1, o.Frame)
		}
	}
}

func (p *proc) history() *controlplane.History {
	if p.voter != nil {
		return p.voter.History()
	}
	return p.follower.History()
}

// take puts a copy in force, newest only, and on disk.
func (s *Plane) take(p *proc, t *controlplane.DocumentUpdate) {
	if t.Changes == nil {
		s.Wholes++
	}
	if p.id < s.members() { // a relay only keeps it
		p.copy = controlplane.VersionedDocument{Version: t.Version, Document: t.Document}
		return
	}
	if p.applies {
		p.next = t
		return
	}
	p.applies = true
	life := p.life
	s.after(1+s.rng.Float64()*30, func() {
		s.in(p.id, life, func() {
			p.copy = controlplane.VersionedDocument{Version: t.Version, Document: t.Document}
			s.judge.inForce(p, p.copy)
			p.follower.VersionApplied(s.at(p), t.Version)
			p.applies = false
			if next := p.next; next != nil {
				p.next = nil
				s.take(p, next)
			}
		})
	})
}

// way is how long something takes from one process to another.
func (s *Plane) way(a, b, size int) float64 {
	ms := 0.2 + s.rng.Float64()*0.8
	if s.procs[a].region != s.procs[b].region {
		ms = 15 + s.rng.Float64()*25
	}
	ms += s.slow[a][b]
	if rate := s.thin[a][b]; rate > 0 {
		ms += float64(size) / rate
	}
	return ms
}

// message is one between voters: a cut link loses it.
func (s *Plane) message(from *proc, m *controlplane.VoterMessage) {
	to := s.procs[m.To-1]
	life, sender := to.life, from.life
	if s.cut[from.id][to.id] > 0 || s.rng.Float64() < 0.001 {
		return
	}
	at := max(s.now+s.way(from.id, to.id, len(m.Data)), s.arrives[from.id][to.id])
	s.arrives[from.id][to.id] = at
	s.after(at-s.now, func() {
		if s.cut[from.id][to.id] > 0 || from.life != sender { // a link ends with its sender
			return
		}
		s.in(to.id, life, func() { to.voter.HandleMessage(s.at(to), uint64(from.id+1), m.Data) })
	})
}

// dialled opens a connection, by a handshake there and back.
func (s *Plane) dialled(p *proc, member int) {
	p.dial++
	dial, life, m := p.dial, p.life, s.procs[member]
	current := func() bool { return p.dial == dial }
	s.after(s.way(p.id, m.id, 100), func() {
		if s.cut[p.id][m.id] > 0 {
			return // nobody hears of it
		}
		if !m.up {
			s.after(s.way(m.id, p.id, 100), func() {
				if s.cut[m.id][p.id] == 0 {
					s.in(p.id, life, func() {
						if current() {
							p.follower.Disconnected(s.at(p))
						}
					})
				}
			})
			return
		}
		s.in(m.id, m.life, func() {
			s.ids++
			c := &conn{id: s.ids, ends: [2]int{p.id, m.id}, lives: [2]int{life, m.life}, open: [2]bool{true, true}}
			s.conns = append(s.conns, c)
			m.server.AddConnection(s.at(m), c.id, p.name)
			s.after(s.way(m.id, p.id, 100), func() {
				if s.cut[m.id][p.id] > 0 {
					return
				}
				s.in(p.id, life, func() {
					if !current() {
						s.hangup(c, 0)
						return
					}
					p.conn = c
					p.follower.Connected(s.at(p), member)
				})
			})
		})
	})
}

func (s *Plane) conn(id uint64) *conn {
	for _, c := range s.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

// over sends something along a connection; what a cut link has held up goes before it.
func (s *Plane) over(c *conn, side, size int, do func()) {
	from, to := c.ends[side], c.ends[1-side]
	at := max(s.now+s.way(from, to, size), c.last[side])
	if rate := s.thin[from][to]; rate > 0 {
		at = max(at, c.last[side]+float64(size)/rate)
	}
	c.last[side] = at
	if rate := s.thin[from][to]; rate > 0 && side == 1 { // it comes in parts
		for part := at - 1000; part > at-float64(size)/rate; part -= 1000 {
			s.after(part-s.now, func() { s.part(c) })
		}
	}
	s.after(at-s.now, func() {
		if s.cut[from][to] > 0 || len(c.held[side]) > 0 {
			c.held[side] = append(c.held[side], do)
			return
		}
		do()
	})
}

// part tells a follower that a part of a frame has come.
func (s *Plane) part(c *conn) {
	p := s.procs[c.ends[0]]
	if s.cut[c.ends[1]][p.id] > 0 {
		return
	}
	s.in(p.id, c.lives[0], func() {
		if p.conn == c {
			p.follower.BytesReceived(s.at(p))
		}
	})
}

// release lets go of what a link has held up.
func (s *Plane) release(from, to int) {
	for _, c := range s.conns {
		for side := range 2 {
			if c.ends[side] == from && c.ends[1-side] == to && len(c.held[side]) > 0 {
				held := c.held[side]
				c.held[side] = nil
				for _, do := range held {
					s.over(c, side, 0, do)
				}
			}
		}
	}
}

func (s *Plane) carry(c *conn, side int, frame []byte) {
	if c == nil || !c.open[side] {
		return
	}
	size := len(frame)
	times := 1
	if s.Mangle && !s.calm {
		switch x := s.rng.Float64(); {
		case x < 0.01:
			times = 0
		case x < 0.02:
			times = 2
		case x < 0.03:
			frame = s.corrupt(frame, side)
		case x < 0.05 && side == 1: // behind the next
			late := frame
			s.after(1+s.rng.Float64()*30, func() { s.deliver(c, side, late, size) })
			return
		}
	}
	for range times {
		s.deliver(c, side, frame, size)
	}
	if times == 0 {
		s.in(c.ends[side], c.lives[side], func() { s.sent(c, side, size) })
	}
}

// corrupt turns a bit of what a member sends, behind what says which change it is: lines, or a piece of a whole.
func (s *Plane) corrupt(frame []byte, side int) []byte {
	if side == 0 || len(frame) < 100 {
		return frame
	}
	frame = slices.Clone(frame)
	frame[60+s.rng.IntN(len(frame)-60)] ^= 1 << s.rng.IntN(8)
	return frame
}

func (s *Plane) deliver(c *conn, side int, frame []byte, size int) {
	s.over(c, side, size, func() {
		to := 1 - side
		p := s.procs[c.ends[to]]
		s.in(p.id, c.lives[to], func() {
			if c.open[to] {
				if side == 0 {
					if err := p.server.HandleFrame(s.at(p), c.id, frame); err != nil {
						s.hangup(c, 1)
					}
				} else if p.conn == c {
					p.follower.HandleFrame(s.at(p), frame)
				}
			}
			s.sent(c, side, size)
		})
	})
}

// sent tells a member that its frame has left: here, that it was read.
func (s *Plane) sent(c *conn, side, size int) {
	if side == 1 {
		m := s.procs[c.ends[1]]
		s.in(m.id, c.lives[1], func() { m.server.BytesWritten(s.at(m), c.id, size) })
	}
}

// hangup ends a connection at one side; the other hears of it behind what was sent before, if the link carries anything.
func (s *Plane) hangup(c *conn, side int) {
	if c == nil || !c.open[side] {
		return
	}
	c.open[side] = false
	s.over(c, side, 0, func() {
		p := s.procs[c.ends[1-side]]
		s.in(p.id, c.lives[1-side], func() { s.ended(c, 1-side) })
	})
	s.forget(c)
}

// ended tells a side that the connection is over.
func (s *Plane) ended(c *conn, side int) {
	if !c.open[side] {
		return
	}
	c.open[side] = false
	p := s.procs[c.ends[side]]
	if side == 1 {
		p.server.RemoveConnection(s.at(p), c.id)
	} else if p.conn == c {
		p.conn = nil
		p.follower.Disconnected(s.at(p))
	}
	s.forget(c)
}

func (s *Plane) forget(c *conn) {
	if !c.open[0] && !c.open[1] {
		s.conns = slices.DeleteFunc(s.conns, func(x *conn) bool { return x == c })
	}
}

// kill ends a process: its machine ends its connections.
func (s *Plane) kill(p *proc) {
	p.up = false
	for _, c := range slices.Clone(s.conns) {
		for side := range 2 {
			if c.ends[side] == p.id && c.lives[side] == p.life {
				s.hangup(c, side)
			}
		}
	}
	p.voter, p.follower, p.server = nil, nil, nil
}
