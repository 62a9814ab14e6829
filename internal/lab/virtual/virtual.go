// Package virtual plays an experiment in virtual time: one event loop, nodes that are the decision module itself, the
// lab's model of everything round them. One seed gives one history, to the byte: there are no goroutines, no clock
// but the loop's, and no chance but the seeded.
package virtual

import (
	"container/heap"
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/baselines"
	"pearknot/internal/lab/discoverystub"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

const (
	marginMs  = 2.0  // of an op's TTL that a node keeps for the answer's way
	idleShare = 0.8  // of the time after which a backend closes an idle connection, as the node on sockets has it
	quickMs   = 1.0  // a backend's quick error
	failMs    = 200. // a call for the list that fails
	loopMs    = 0.01 // between a decision and a host's own ending of a push
)

// Options are what a run may do beside its figures.
type Options struct {
	Watch func(invariants.Event) // is told every event that the auditor is
	// Wrap, where given, stands between a node and what decides for it; life counts the node's processes from 0.
	Wrap func(node, life int, d balancer.Decider, t *balancer.Config, now float64) balancer.Decider
}

// Run plays one seed.
func Run(e *experiment.Experiment, seed uint64, o Options) (metrics.Run, error) {
	if e.Operated() {
		return metrics.Run{}, errors.New("operators' calls and upgrades are of real processes: only on sockets")
	}
	h := newHost(e, seed, o)
	if h.err != nil {
		return metrics.Run{}, h.err
	}
	return h.run(), nil
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last].do = nil
	*q = (*q)[:last]
	return x
}

type host struct {
	e        *experiment.Experiment
	o        Options
	now      float64
	queue    events
	seq      uint64
	handled  uint64
	err      error
	auditor  *invariants.Auditor
	rec      *metrics.Recorder
	state    *faults.State
	switches []faults.Switch
	source   *workload.Source
	roll     *discoverystub.Roll
	backends []*backend
	nodes    []*node
	byZone   [][]*node
	turn     []int
	worked   []float64 // at the latest look
	fallen   int
	seed     uint64
}

type backend struct {
	*backendmodel.Machine
	number int
	zone   int
	kind   int
	life   int // counts its processes
	silent bool
	wake   uint64
	inHand map[uint64]*push
}

type node struct {
	number   int
	zone     int
	alive    bool
	life     int
	deadAt   float64
	module   balancer.Decider
	known    []*balancer.Backend     // by number of the backend
	view     []balancer.BackendState // as the list told it
	pools    [][]conn
	ops      map[uint64]*op
	watching bool
	asking   bool
	version  int
	timer    uint64
	pushSeq  uint64
}

// conn is an idle connection: since when, and to which process.
type conn struct {
	since float64
	life  int
}

type op struct {
	balancer.Request
	node     *node
	try      *try
	answered bool
	calls    []*push
	out      int
}

type push struct {
	id     uint64
	op     *op
	p      *balancer.Attempt
	target *backend
	life   int // of the target, when its connection came up
	fresh  bool
	begun  bool
	ended  bool
}

type try struct {
	of     *workload.Request
	number int
	node   *node
	closed bool // the client has its answer, or is gone
	op     *op
}

func newHost(e *experiment.Experiment, seed uint64, o Options) *host {
	h := &host{e: e, o: o, seed: seed, auditor: e.Auditor(0), rec: metrics.New(e, seed), state: faults.NewState(e),
		switches: faults.Schedule(e, seed), roll: discoverystub.New(e.List.LinesPerSecond)}
	h.source = workload.New(e, h.state, seed)
	zones := len(e.Fleet.Zones)
	h.byZone, h.turn = make([][]*node, zones), make([]int, zones)
	h.worked = make([]float64, e.Fleet.Backends)
	joining := faults.Joining(e, h.switches)
	for k := range e.Fleet.Backends {
		kind := e.MachineOf(k)
		b := &backend{Machine: backendmodel.New(e.MachineKind(k), rand.New(rand.NewPCG(seed, uint64(k)+1000))), number: k,
			zone: k % zones, kind: kind, inHand: map[uint64]*push{}}
		h.backends = append(h.backends, b)
		if joining[k] {
			continue
		}
		b.Start(0, true)
		h.tell(invariants.Event{Kind: invariants.BackendStarted, Backend: k, Zone: b.zone, Cell: k, Speed: b.Standing()})
		h.roll.Set(0, 0, discoverystub.Entry{Backend: k, State: balancer.BackendReady})
	}
	h.roll.Advance(0)
	for k := range e.Fleet.Nodes {
		n := &node{number: k, zone: k % zones}
		h.nodes = append(h.nodes, n)
		h.byZone[n.zone] = append(h.byZone[n.zone], n)
		h.start(n, h.roll.Whole(), h.roll.Version())
		if h.err != nil {
			return h
		}
	}
	return h
}

func (h *host) at(t float64, do func()) {
	h.seq++
	heap.Push(&h.queue, event{math.Max(t, h.now), h.seq, do})
}

func (h *host) tell(e invariants.Event) {
	e.At = h.now
	if h.o.Watch != nil {
		h.o.Watch(e)
	}
	h.auditor.Record(e)
}

// run handles events until the experiment's end, and then until no op is open.
func (h *host) run() metrics.Run {
	var spans []metrics.Trouble
	for _, w := range h.switches {
		h.at(w.At, func() { h.put(w) })
		if t := h.e.Trouble[w.Index]; w.On {
			spans = append(spans, metrics.Trouble{Kind: t.Kind, From: t.At * 1e3, To: t.Ends(), Targets: w.Targets})
		}
	}
	h.at(h.source.Next(), h.arrive)
	h.at(metrics.Look, h.look)
	for len(h.queue) > 0 {
		ev := heap.Pop(&h.queue).(event)
		if ev.at > h.e.Length() && h.rec.Open() == 0 {
			break
		}
		h.now = ev.at
		h.handled++
		ev.do()
	}
	h.auditor.Finish(h.now + 1e7)
	worked := 0.0
	for _, b := range h.backends {
		all, _ := b.Worked()
		worked += all
	}
	run := h.rec.Finish(h.auditor, worked, h.fallen, spans)
	run.Events = h.handled
	return run
}

// look samples what the backends do.
func (h *host) look() {
	busy := make([]float64, len(h.backends))
	for k, b := range h.backends {
		h.turnOf(b) // its work stands as of its latest event, which may be long ago
		all, _ := b.Worked()
		busy[k] = math.Round((all-h.worked[k])/(b.Standing()*metrics.Look)*1e3) / 1e3
		h.worked[k] = all
	}
	h.rec.Load(h.now, busy)
	if h.now+metrics.Look <= h.e.Length() {
		h.at(h.now+metrics.Look, h.look)
	}
}

// way is the time one way between zones.
func (h *host) way(a, b int) float64 {
	if a == b {
		return h.e.Fleet.NearMs
	}
	return h.e.Fleet.DelayMs
}

// Clients.

func (h *host) arrive() {
	if o := h.source.Arrive(); o != nil && o.At < h.e.Length() {
		h.rec.Asked(o)
		h.send(o, 0)
	}
	if next := h.source.Next(); next < h.e.Length() {
		h.at(next, h.arrive)
	}
}

// front deals ops out among the nodes of a zone that it takes for alive.
func (h *host) front(zone int) *node {
	all := h.byZone[zone]
	for range all {
		n := all[h.turn[zone]%len(all)]
		h.turn[zone]++
		if n.alive || h.now < n.deadAt+h.e.Clients.DeadNodeMs {
			return n
		}
	}
	return nil
}

func (h *host) send(o *workload.Request, number int) {
	h.rec.Tried()
	t := &try{of: o, number: number, node: h.front(o.Zone)}
	near := h.e.Fleet.NearMs
	if t.node == nil {
		h.at(h.now+near, func() { h.result(t, workload.Unreached, 0) })
		return
	}
	told := h.source.Try(o, number)
	sent := h.now
	h.at(h.now+near, func() { h.take(t, sent, told.Patience) })
	if told.Leaves > 0 {
		h.at(h.now+told.Leaves, func() {
			if !t.closed {
				t.closed = true
				h.rec.Over(o)
				h.tell(invariants.Event{Kind: invariants.ClientGone, Request: workload.TryID(o.ID, number)})
				h.left(t)
			}
		})
	}
	h.at(h.now+told.Patience, func() {
		if !t.closed {
			h.rec.GaveUp()
			h.left(t)
			h.result(t, workload.Lost, 0)
		}
	})
}

// left tells the node that its client is gone, or waits no longer.
func (h *host) left(t *try) {
	h.at(h.now+h.e.Fleet.NearMs, func() {
		if o := t.op; o != nil && !o.answered && o.node.ops[o.ID] == o {
			o.answered = true
			o.node.module.ClientGone(h.now, &o.Request)
			h.forget(o)
			h.pull(o.node)
		}
	})
}

// result ends a try for its client.
func (h *host) result(t *try, how workload.Outcome, comeBack float64) {
	if t.closed {
		return
	}
	t.closed = true
	switch how {
	case workload.Acked:
		h.rec.Served(t.of, h.now)
		return
	case workload.Unreached:
		h.rec.Unreached()
	}
	if wait, again := h.source.Again(t.of, t.number, how, comeBack); again {
		h.at(h.now+wait, func() { h.send(t.of, t.number+1) })
		return
	}
	h.rec.Over(t.of)
}

func (h *host) take(t *try, sent, patience float64) {
	n := t.node
	if t.closed {
		return
	}
	if !n.alive {
		h.at(h.now+h.e.Fleet.NearMs, func() { h.result(t, workload.Unreached, 0) })
		return
	}
	c := t.of
	o := &op{node: n, try: t}
	o.ID, o.Class, o.CostHint, o.HasCostHint = workload.TryID(c.ID, t.number), c.Category, c.Hint, c.HasHint
	o.IsClientRetry, o.Deadline, o.Key = t.number > 0, sent+patience-marginMs, c.Key
	t.op = o
	n.ops[o.ID] = o
	h.tell(invariants.Event{Kind: invariants.RequestAccepted, Node: n.number, Request: o.ID, Class: c.Category, Key: c.Key, Deadline: sent + patience})
	n.module.RequestArrived(h.now, &o.Request)
	h.pull(n)
}

// Nodes.

func (h *host) start(n *node, known []discoverystub.Entry, version int) {
	size := len(h.backends)
	n.alive, n.watching, n.asking = true, false, false
	n.known, n.view, n.pools = make([]*balancer.Backend, size), make([]balancer.BackendState, size), make([][]conn, size)
	n.ops = map[uint64]*op{}
	n.version = version
	seed := rand.New(rand.NewPCG(h.seed, uint64(n.number)<<20+uint64(n.life)+5)).Uint64()
	terms := h.e.Terms(n.zone, seed)
	terms.NodeIndex = n.number
	n.module, h.err = baselines.New(h.e.Policy, terms, h.now, h.sight(n))
	if h.err != nil {
		return
	}
	if h.o.Wrap != nil {
		n.module = h.o.Wrap(n.number, n.life, n.module, terms, h.now)
	}
	h.listed(n, known, true, true)
	if !h.e.List.MustAsk {
		h.ask(n)
	}
	h.pull(n)
}

// sight is what an all-seeing policy knows.
func (h *host) sight(n *node) baselines.Sight {
	return func(now float64, b *balancer.Backend, o *balancer.Request) float64 {
		t := h.backends[b.ID]
		if t.silent || h.state.Cut(n.zone, t.zone) {
			return math.Inf(1)
		}
		work := n.ops[o.ID].try.of.Work
		if !t.ColdRoom(now, work) {
			return math.Inf(1)
		}
		time := t.Backlog(now) + work/t.Pace() + 2*h.way(n.zone, t.zone)
		if n.zone != t.zone { // the price of a crossing, in the target's time
			time += h.e.Fleet.CrossPrice * h.e.Category[o.Class].TargetMs
		}
		return time
	}
}

func (h *host) listed(n *node, entries []discoverystub.Entry, whole, cached bool) {
	lines := make([]balancer.Endpoint, 0, len(entries))
	named := make([]bool, len(h.backends))
	for _, e := range entries {
		b := n.known[e.Backend]
		if b == nil {
			if e.State == balancer.BackendRemoved {
				continue
			}
			b = &balancer.Backend{ID: uint64(e.Backend)}
			n.known[e.Backend] = b
		}
		named[e.Backend] = true
		t := h.backends[e.Backend]
		h.see(n, e.Backend, e.State, e.Started)
		lines = append(lines, balancer.Endpoint{Backend: b, State: e.State, Zone: t.zone, Cell: t.number, Kind: t.kind,
			Weight: 1, Started: e.Started})
	}
	if whole {
		for k, b := range n.known {
			if b != nil && !named[k] {
				h.see(n, k, balancer.BackendRemoved, 0)
			}
		}
	}
	n.module.EndpointsChanged(h.now, lines, whole, cached)
}

func (h *host) see(n *node, b int, s balancer.BackendState, started float64) {
	if s != balancer.BackendRemoved || n.view[b] != balancer.BackendReady || !h.e.Rules.RemovalNotBinding { // else the module decides
		n.view[b] = s
	}
	if n.view[b] == balancer.BackendRemoved {
		n.pools[b] = nil
	}
	h.tell(invariants.Event{Kind: invariants.EndpointNotified, Node: n.number, Backend: b, State: s, Started: started})
}

func (h *host) kill(n *node) {
	if !n.alive {
		return
	}
	n.alive, n.deadAt = false, h.now
	n.life++
	h.tell(invariants.Event{Kind: invariants.NodeKilled, Node: n.number})
	refs := make([]uint64, 0, len(n.ops))
	for ref := range n.ops {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	for _, ref := range refs {
		o := n.ops[ref]
		for _, c := range o.calls {
			if !c.ended {
				c.ended = true
				h.abandon(c)
			}
		}
		if !o.answered {
			h.at(h.now+h.e.Fleet.NearMs, func() { h.result(o.try, workload.Lost, 0) })
		}
	}
	n.ops = map[uint64]*op{}
}

// pull carries out a node's decisions.
func (h *host) pull(n *node) {
	for {
		d, more := n.module.Next()
		if !more {
			return
		}
		switch d.Kind {
		case balancer.DoAttempt:
			h.push(n, d)
		case balancer.DoReject:
			h.final(n.ops[d.Request.ID], invariants.Rejected, d.Wait)
		case balancer.DoFail:
			h.final(n.ops[d.Request.ID], invariants.Failed, 0)
		case balancer.DoCancel:
			if o := n.ops[d.Request.ID]; o != nil {
				h.endSoon(o.calls[d.Attempt.Number], balancer.OutcomeCanceled)
			}
		case balancer.DoPoll:
			h.ask(n)
		case balancer.DoSetTimer:
			n.timer++
			timer, life := n.timer, n.life
			h.at(h.now+math.Max(d.Wait, 0), func() {
				if n.timer == timer && n.life == life && n.alive {
					n.module.TimerFired(h.now)
					h.pull(n)
				}
			})
		}
	}
}

// outcomes are what the final answers mean to a client.
var outcomes = [...]workload.Outcome{invariants.Served: workload.Acked, invariants.Rejected: workload.Nacked, invariants.Failed: workload.Lost}

func (h *host) final(o *op, f invariants.Answer, comeBack float64) {
	if o == nil || o.answered {
		return
	}
	o.answered = true
	h.rec.Final(h.now, f)
	h.tell(invariants.Event{Kind: invariants.RequestAnswered, Node: o.node.number, Request: o.ID, Answer: f, Attempt: invariants.AnyAttempt})
	h.at(h.now+h.e.Fleet.NearMs, func() { h.result(o.try, outcomes[f], comeBack) })
	h.forget(o)
}

func (h *host) forget(o *op) {
	if o.answered && o.out == 0 {
		delete(o.node.ops, o.ID)
	}
}

// Pushes.

func (h *host) push(n *node, d balancer.Decision) {
	o := n.ops[d.Request.ID]
	t := h.backends[d.Attempt.Backend.ID]
	n.pushSeq++
	c := &push{id: uint64(n.number)<<40 | uint64(n.life)<<32 | n.pushSeq, op: o, p: d.Attempt, target: t}
	o.calls = append(o.calls, c)
	o.out++
	if n.view[t.number] == balancer.BackendRemoved {
		h.endSoon(c, balancer.OutcomeNotSent)
		return
	}
	until := o.Deadline
	if d.Wait > 0 {
		until = math.Min(until, h.now+d.Wait)
	}
	h.at(until, func() { h.timeOut(c) })
	pool := n.pools[t.number]
	for len(pool) > 0 {
		last := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		n.pools[t.number] = pool
		if h.now-last.since < idleShare*h.e.Fleet.IdleMs && last.life == t.life {
			c.life = last.life
			h.begin(c)
			return
		}
	}
	c.fresh = true
	way := h.way(n.zone, t.zone)
	switch {
	case t.silent || h.state.Cut(n.zone, t.zone):
		h.at(h.now+h.e.Fleet.ConnectMs, func() { h.end(c, balancer.OutcomeConnectFailed) })
	case !t.Up():
		h.at(h.now+2*way, func() { h.end(c, balancer.OutcomeConnectFailed) })
	default:
		life := t.life
		h.at(h.now+2*way, func() {
			if !c.ended && (t.life != life || !t.Up()) {
				h.end(c, balancer.OutcomeConnectFailed)
			} else if most := h.state.Connections(t.number); most > 0 && !c.ended && h.connections(t) >= most {
				h.end(c, balancer.OutcomeConnectFailed)
			} else if !c.ended {
				c.life = life
				h.begin(c)
			}
		})
	}
}

// connections counts those that a backend has, in use or idle.
func (h *host) connections(t *backend) int {
	open := len(t.inHand)
	for _, n := range h.nodes {
		for _, c := range n.pools[t.number] {
			if c.life == t.life && h.now-c.since < idleShare*h.e.Fleet.IdleMs {
				open++
			}
		}
	}
	return open
}

// begin is the one gate before a push's first byte, as the node on sockets has it.
func (h *host) begin(c *push) {
	n, t := c.op.node, c.target
	if c.op.answered || n.view[t.number] != balancer.BackendReady {
		h.endSoon(c, balancer.OutcomeNotSent)
		return
	}
	c.begun = true
	h.rec.Pushed(h.now, t.number, n.zone != t.zone)
	h.tell(invariants.Event{Kind: invariants.AttemptStarted, Node: n.number, Request: c.op.ID, Attempt: c.p.Number, Backend: t.number, Work: c.op.try.of.Work})
	if t.silent || h.state.Cut(n.zone, t.zone) {
		return // on an open connection: silence
	}
	h.at(h.now+h.way(n.zone, t.zone), func() { h.reach(c) })
}

func (h *host) reach(c *push) {
	t := c.target
	if c.life != t.life || !t.Up() {
		h.answer(c, balancer.OutcomeConnectionReset, 0)
		return
	}
	if t.silent {
		return
	}
	switch t.Arrive(h.now, c.id, c.op.try.of.Work, c.fresh) {
	case backendmodel.Taken:
		t.inHand[c.id] = c
	case backendmodel.Rejected:
		h.answer(c, balancer.OutcomeRejected, 0)
	case backendmodel.Failed:
		h.answer(c, balancer.OutcomeFailed, quickMs)
	case backendmodel.Down: // this push was too much for it
		h.fallen++
		h.stop(t, false)
		h.answer(c, balancer.OutcomeConnectionReset, 0)
		h.roll.Set(h.now, h.state.Lag(), discoverystub.Entry{Backend: t.number, State: balancer.BackendRemoved})
		h.publishLater()
	}
	h.turnOf(t)
}

// turnOf takes what a backend has done and sees to it again when more will be.
func (h *host) turnOf(t *backend) {
	for _, d := range t.Advance(h.now) {
		if c := t.inHand[d.ID]; c != nil {
			delete(t.inHand, d.ID)
			h.answer(c, balancer.OutcomeAnswered, 0)
		}
	}
	for _, id := range t.Begun() {
		if c := t.inHand[id]; c != nil {
			h.tell(invariants.Event{Kind: invariants.AttemptRan, Request: c.op.ID, Attempt: c.p.Number, Backend: t.number})
			if c.op.try.of.Fells {
				h.crash(t, true, false)
				h.at(h.now+h.state.DownFor(), func() { h.comeBack(t) })
				return
			}
		}
	}
	t.wake++
	wake := t.wake
	if next := t.Next(); !math.IsInf(next, 1) {
		h.at(next, func() {
			if t.wake == wake {
				h.turnOf(t)
			}
		})
	}
}

// answer sends a push's ending back to its node.
func (h *host) answer(c *push, how balancer.Outcome, after float64) {
	n, t := c.op.node, c.target
	if h.state.Cut(n.zone, t.zone) {
		return
	}
	report := balancer.EmptyLoadReport()
	report.ServiceTime = t.Report(h.now).Service
	life := n.life
	h.at(h.now+after+h.way(n.zone, t.zone), func() {
		if n.life != life || c.ended {
			return
		}
		if h.e.Backend.Report && how == balancer.OutcomeAnswered && report.ServiceTime > 0 {
			n.module.LoadReported(h.now, c.p.Backend, report)
		}
		h.end(c, how)
	})
}

func (h *host) timeOut(c *push) {
	if c.ended || !c.op.node.alive {
		return
	}
	h.abandon(c)
	if c.begun {
		h.end(c, balancer.OutcomeTimedOut)
	} else {
		h.end(c, balancer.OutcomeConnectFailed)
	}
}

func (h *host) endSoon(c *push, how balancer.Outcome) {
	life := c.op.node.life
	h.at(h.now+loopMs, func() {
		if c.ended || c.op.node.life != life {
			return
		}
		if how == balancer.OutcomeCanceled {
			h.abandon(c)
			if !c.begun {
				how = balancer.OutcomeNotSent
			}
		}
		h.end(c, how)
	})
}

// abandon closes a push's connection from the node's side.
func (h *host) abandon(c *push) {
	n, t := c.op.node, c.target
	if !c.begun || t.silent || h.state.Cut(n.zone, t.zone) {
		return
	}
	h.at(h.now+h.way(n.zone, t.zone), func() {
		if t.inHand[c.id] == c {
			t.Revoke(h.now, c.id)
			delete(t.inHand, c.id)
			h.turnOf(t)
		}
	})
}

// end tells the module of a push's ending.
func (h *host) end(c *push, how balancer.Outcome) {
	o := c.op
	n := o.node
	if c.ended || !n.alive || n.ops[o.ID] != o {
		return
	}
	c.ended = true
	o.out--
	if c.begun {
		h.tell(invariants.Event{Kind: invariants.AttemptEnded, Request: o.ID, Attempt: c.p.Number, Outcome: how})
		switch how {
		case balancer.OutcomeAnswered, balancer.OutcomeFailed, balancer.OutcomeRejected:
			n.pools[c.target.number] = append(n.pools[c.target.number], conn{h.now, c.life})
		}
	}
	if how == balancer.OutcomeAnswered {
		h.final(o, invariants.Served, 0) // the first one; what comes later changes nothing
	}
	n.module.AttemptEnded(h.now, c.p, how, h.now-c.p.SentAt, o.answered)
	h.forget(o)
	h.pull(n)
}

// The list.

func (h *host) ask(n *node) {
	if n.watching || n.asking {
		return
	}
	n.asking = true
	life := n.life
	h.at(h.now+h.e.Fleet.NearMs, func() {
		if n.life != life || !n.alive {
			return
		}
		done, ok := h.roll.Call(h.now, max(1, len(h.roll.Since(n.version))))
		if h.state.ListDown() {
			done, ok = h.now+failMs, false
		}
		h.at(done+h.e.Fleet.NearMs, func() {
			if n.life != life || !n.alive {
				return
			}
			n.asking = false
			if !ok || h.state.ListDown() {
				n.module.PollFailed(h.now)
			} else {
				n.watching = true
				h.news(n)
			}
			h.pull(n)
		})
	})
}

// news tells a watching node what it does not have.
func (h *host) news(n *node) {
	entries, version := h.roll.Since(n.version), h.roll.Version()
	n.version = version
	h.listed(n, entries, false, false)
}

// publishLater has the service's next news told when they are known.
func (h *host) publishLater() {
	if due := h.roll.Due(); !math.IsInf(due, 1) {
		h.at(due, h.publish)
	}
}

func (h *host) publish() {
	if !h.roll.Advance(h.now) {
		return
	}
	h.publishLater()
	if h.state.ListDown() {
		return
	}
	for _, n := range h.nodes {
		if !n.alive || !n.watching {
			continue
		}
		life := n.life
		done, ok := h.roll.Call(h.now, max(1, len(h.roll.Since(n.version))))
		h.at(done+h.e.Fleet.NearMs, func() {
			if n.life != life || !n.watching {
				return
			}
			if !ok {
				n.watching = false
				n.module.PollFailed(h.now)
			} else if n.version < h.roll.Version() {
				h.news(n)
			}
			h.pull(n)
		})
	}
}

// Troubles.

func (h *host) put(w faults.Switch) {
	t := h.e.Trouble[w.Index]
	h.state.Put(w)
	switch t.Kind {
	case experiment.Swallow, experiment.Errors, experiment.Slow, experiment.Pauses, experiment.Lies, experiment.Stuck:
		for _, k := range w.Targets {
			h.backends[k].Put(h.now, h.state.Machine(k))
			h.turnOf(h.backends[k])
		}
	case experiment.Crash, experiment.Vanish:
		for _, k := range w.Targets {
			h.crash(h.backends[k], w.On, t.Kind == experiment.Vanish)
		}
	case experiment.Shrink:
		for _, k := range w.Targets {
			h.shrink(h.backends[k], w.On)
		}
	case experiment.Join:
		for _, k := range w.Targets {
			if w.On {
				h.comeBack(h.backends[k])
			}
		}
	case experiment.Nodes:
		for _, k := range w.Targets {
			if n := h.nodes[k]; w.On {
				h.kill(n)
			} else if !n.alive {
				old, version := h.roll.WholeAt(n.deadAt - h.e.List.OldByMs)
				if version == 0 {
					old, version = h.roll.WholeAt(0)
				}
				h.start(n, old, version)
			}
		}
	case experiment.ListEmpty:
		for _, b := range h.backends {
			s := balancer.BackendRemoved
			if !w.On && b.Up() {
				s = balancer.BackendReady
			}
			h.roll.Set(h.now, 0, discoverystub.Entry{Backend: b.number, State: s, Started: b.Started()})
		}
		h.publishLater()
	case experiment.Squeeze:
		for _, n := range h.nodes {
			for _, k := range w.Targets {
				n.pools[k] = nil
			}
		}
	case experiment.ListDown:
		for _, n := range h.nodes {
			if w.On && n.alive && n.watching {
				n.watching = false
				life := n.life
				h.at(h.now+h.e.Fleet.NearMs, func() {
					if n.life == life && n.alive {
						n.module.PollFailed(h.now)
						h.pull(n)
					}
				})
			}
		}
	}
}

func (h *host) lists(t *backend, s balancer.BackendState) {
	if h.state.Emptied() { // the list learns of it when it is right again
		return
	}
	h.roll.Set(h.now, h.state.Lag(), discoverystub.Entry{Backend: t.number, State: s, Started: t.Started()})
	h.publishLater()
}

// stop ends a backend's process: its connections break, or fall silent with the machine.
func (h *host) stop(t *backend, silent bool) {
	h.turnOf(t) // what was done by now goes out
	lost := t.Stop(h.now)
	t.life++
	for _, id := range lost {
		if c := t.inHand[id]; c != nil && !silent {
			h.answer(c, balancer.OutcomeConnectionReset, 0)
		}
	}
	t.inHand = map[uint64]*push{}
}

func (h *host) crash(t *backend, on, silent bool) {
	if on {
		if !t.Up() {
			return
		}
		h.stop(t, silent)
		t.silent = silent
		h.lists(t, balancer.BackendRemoved)
		return
	}
	h.comeBack(t)
}

// comeBack starts a backend cold; one that fell over stays down.
func (h *host) comeBack(t *backend) {
	if t.Fallen() || t.Up() && !t.Draining() {
		return
	}
	if t.Up() {
		h.stop(t, false)
	}
	t.silent = false
	t.Start(h.now, false)
	t.Put(h.now, h.state.Machine(t.number))
	h.tell(invariants.Event{Kind: invariants.BackendStarted, Backend: t.number, Zone: t.zone, Cell: t.number, Speed: t.Standing(), Started: h.now})
	h.lists(t, balancer.BackendReady)
}

func (h *host) shrink(t *backend, on bool) {
	if !on {
		h.comeBack(t)
		return
	}
	if !t.Up() {
		return
	}
	t.Drain(h.now)
	h.lists(t, balancer.BackendDraining)
	life := t.life
	h.at(h.now+h.e.List.DrainNoticeMs, func() {
		if t.life == life && t.Draining() {
			h.stop(t, false)
			h.lists(t, balancer.BackendRemoved)
		}
	})
}
