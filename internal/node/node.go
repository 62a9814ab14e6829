// Package node runs the decision module on sockets: an actor that alone calls it. Events from the front, the
// backends' actors, the list and the timer come in through its mailbox; after each batch it pulls decisions until
// there is none and hands them on.
package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"runtime/debug"
	"time"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/discovery"
	"pearknot/internal/mailbox"
	"pearknot/internal/peers"
	"pearknot/internal/upstream"
)

// abandonAfter is how long past the end of their time ops wait for the module when the node ends, in ms: their
// pushes time out and it answers them; what it holds for a later moment has none.
const abandonAfter = 50.0

// Decide makes a decider; now is the node's clock.
type NewDecider func(t *balancer.Config, now float64) balancer.Decider

// Module makes the decision module.
func NewBalancer(t *balancer.Config, now float64) balancer.Decider { return balancer.New(t, now) }

// follower is a decider that keeps account of what a host does beside the module's inputs, as a capture has to.
type follower interface {
	Dropped(b *balancer.Backend) // the backend was let go of
}

// Node is the module's actor. Its fields below box are its own.
type Node struct {
	clock *clock.Clock
	log   *slog.Logger
	told  *config.Deployment
	peers *upstream.Config
	ask   func() // begins a watch on the list
	box   *mailbox.Box[func()]
	ready chan struct{} // closed once a list is held that may be gone by

	decide   NewDecider
	module   balancer.Decider
	now      float64 // the batch's
	ops      map[uint64]*Request
	seq      uint64
	backends map[string]*backend            // by name
	behind   map[*balancer.Backend]*backend // the same, as the module knows them
	names    names
	had      bool   // there is a list, if only that of a process before
	held     bool   // and it may be gone by
	version  uint64 // of that list
	timer    *time.Timer
	until    float64 // when the node ends; 0 while it goes on
	keeper   *peers.Peers
	after    []func() // what waits for the batch's end
	done     chan struct{}
}

// backend is one that the list has named.
type backend struct {
	*balancer.Backend
	member discovery.Endpoint
	peer   *upstream.Backend // nil while the list holds it for gone
}

// New makes a node; ask is how it begins a watch on the list, and must not block.
func New(told *config.Deployment, decide NewDecider, c *clock.Clock, peers *upstream.Config, ask func(), log *slog.Logger) *Node {
	return &Node{decide: decide, clock: c, log: log, told: told, peers: peers, ask: ask, box: mailbox.New[func()](),
		ready: make(chan struct{}), ops: map[uint64]*Request{}, backends: map[string]*backend{},
		behind: map[*balancer.Backend]*backend{}, names: newNames(), timer: time.NewTimer(time.Hour), done: make(chan struct{})}
}

// Start runs the actor, with the list as the node last had it, if it had one.
func (n *Node) Start(known *discovery.List) {
	n.now = n.clock.Now()
	if n.module == nil { // none of a process before it
		n.module = n.decide(n.told.Balancer, n.now)
	}
	if known != nil {
		n.listed(known, true)
	}
	if !n.told.Balancer.PollEndpoints { // where changes come by themselves, on sockets a watch brings them
		n.ask()
	}
	n.box.Put(func() {}) // a first look at what the module wants, before anything comes in
	go n.run()
}

// Ready is closed once the node holds a list.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Take hands an op in; its answer comes on the op's channel.
func (n *Node) Submit(op *Request) {
	n.box.Put(func() {
		n.seq++
		op.ID = n.seq
		if n.until > 0 {
			op.Deadline = min(op.Deadline, n.until)
		}
		n.ops[op.ID] = op
		n.module.RequestArrived(n.now, &op.Request)
	})
}

// Leave tells that the op's client is gone: no answer is owed to it any more. One that others keep goes on all the same where a
// push of it has begun, for whoever comes with its key; no further push begins.
func (n *Node) Cancel(op *Request) {
	op.gone.Store(true) // counts at once: the actor may be at a batch that takes long
	n.box.Put(func() {
		if n.ops[op.ID] == op && !op.answered && !n.goesOn(op) {
			n.letGo(op)
			n.module.ClientGone(n.now, &op.Request)
			n.forget(op)
		}
		op.discard()
	})
}

// Listed takes news of the list.
func (n *Node) EndpointsChanged(list *discovery.List) { n.box.Put(func() { n.listed(list, false) }) }

// ListFailed takes a failed call for the list.
func (n *Node) PollFailed() {
	n.box.Put(func() {
		n.module.PollFailed(n.now)
		n.hold()
	})
}

// Look is what the node holds.
type Status struct {
	HasList  bool
	Version  uint64 // of the list
	Digest   string // of the list
	Backends int
	Open     int // ops
}

// Look asks the actor; one that does not answer in ctx's time is no state to guess.
func (n *Node) Status(ctx context.Context) (l Status, err error) {
	told := make(chan Status, 1)
	n.box.Put(func() {
		states := make(map[string]balancer.BackendState, len(n.backends))
		for name, b := range n.backends {
			if b.member.State != balancer.BackendRemoved {
				states[name] = b.member.State
			}
		}
		told <- Status{n.held, n.version, discovery.Digest(states), len(states), len(n.ops)}
	})
	select {
	case l = <-told:
		return l, nil
	case <-n.done:
		return l, errors.New("the node has ended")
	case <-ctx.Done():
		return l, fmt.Errorf("the node does not answer: %w", ctx.Err())
	}
}

// Shed has idle connections to backends closed.
func (n *Node) Shed() {
	n.box.Put(func() {
		for _, b := range n.backends {
			if b.peer != nil {
				b.peer.Shed()
			}
		}
	})
}

// Drain has everything answered until then: no client can wait longer for a node that ends.
func (n *Node) Drain(until float64) {
	n.box.Put(func() {
		n.until = until
		for _, op := range n.ops {
			if op.Deadline > until {
				op.Deadline = until
				n.module.DeadlineShortened(n.now, &op.Request)
			}
			for _, c := range op.calls {
				c.ShortenDeadline(n.clock.At(until))
			}
		}
		time.AfterFunc(clock.Span(until+abandonAfter-n.now), func() { n.box.Put(n.abandon) })
	})
}

// Stop ends the actor and those of the backends.
func (n *Node) Stop() {
	n.box.Put(func() {
		for _, b := range n.backends {
			if b.peer != nil {
				b.peer.Close()
			}
		}
		close(n.done)
	})
}

func (n *Node) run() {
	var notes []func()
	for {
		select {
		case <-n.done:
			return
		case <-n.box.Some():
			notes = n.box.Take(notes)
		case <-n.timer.C:
			notes = append(notes[:0], func() { n.module.TimerFired(n.now) })
		}
		n.now = n.clock.Now()
		for _, note := range notes {
			n.guard(note)
		}
		n.guard(n.pull)
		for _, f := range n.after {
			f()
		}
		n.after = n.after[:0]
	}
}

// guard keeps a fault of the module from taking the node's ops with it: each is dead-lettered, which claims
// nothing, and the module starts anew, as after a restart.
func (n *Node) guard(f func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		n.log.Error("module fault, starting it anew", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
		n.module = n.decide(n.told.Balancer, n.now)
		for ref, op := range n.ops {
			n.finish(op, Answer{Status: Failed})
			for _, c := range op.calls {
				c.Cancel()
			}
			delete(n.ops, ref)
		}
		known := &discovery.List{Version: n.version, Complete: true}
		clear(n.behind)
		for _, b := range n.backends {
			b.Backend = &balancer.Backend{ID: b.ID}
			n.behind[b.Backend] = b
			if b.member.State != balancer.BackendRemoved {
				known.Endpoints = append(known.Endpoints, b.member)
			}
		}
		if n.had {
			n.listed(known, true)
		}
	}()
	f()
}

// abandon dead-letters what the module still has open when the node ends.
func (n *Node) abandon() {
	for _, op := range n.ops {
		n.finish(op, Answer{Status: Failed})
		n.module.ClientGone(n.now, &op.Request)
		n.forget(op)
	}
}

func (n *Node) listed(list *discovery.List, cached bool) {
	lines := make([]balancer.Endpoint, 0, len(list.Endpoints))
	named := map[*backend]bool{}
	for _, m := range list.Endpoints {
		b := n.backends[m.Name]
		if b == nil && (m.State == balancer.BackendRemoved || m.Invalid != 0) {
			continue // never had, or let go of long since; or not known and not to be read whole
		}
		if b == nil {
			b = &backend{Backend: &balancer.Backend{ID: ref(m.Name)}}
			n.backends[m.Name], n.behind[b.Backend] = b, b
			n.log.Info("backend listed", "backend", m.Name, "ref", fmt.Sprintf("%x", b.ID), "address", m.Address)
		}
		if m.Invalid != 0 {
			m = m.MergeInto(b.member)
		}
		if list.Complete && named[b] {
			// Changes are told in their order, and the last counts. A whole list has none: whichever of two entries came
			// last, neither may hide that the other calls the backend draining, or newly started.
			m.State, m.Started = min(m.State, b.member.State), max(m.Started, b.member.Started)
		}
		named[b] = true
		n.names.listed(m.Name)
		n.tell(b, m)
		lines = append(lines, n.line(b))
	}
	if list.Complete {
		for _, b := range n.backends {
			if !named[b] {
				m := b.member
				m.State = balancer.BackendRemoved
				n.tell(b, m)
			}
		}
	}
	n.module.EndpointsChanged(n.now, lines, list.Complete, cached)
	for name, b := range n.backends {
		if !b.IsTracked() && b.member.State == balancer.BackendRemoved {
			n.close(b)
			delete(n.backends, name)
			delete(n.behind, b.Backend)
			if f, ok := n.module.(follower); ok {
				f.Dropped(b.Backend)
			}
		}
	}
	n.had, n.version = true, list.Version
	n.log.Debug("list", "version", list.Version, "whole", list.Complete, "entries", len(lines))
	// Where changes come by themselves, what there is to tell counts as told from a new process's first moment: a backend
	// that the list of before calls ready may be draining by now, and nothing may go there on that word.
	if !cached || n.told.Balancer.PollEndpoints {
		n.hold()
	}
}

// hold has the node go by the list that there is: one just told, or where none can be had.
func (n *Node) hold() {
	if n.had && !n.held {
		n.held = true
		close(n.ready)
	}
}

// line is a backend's as the module gets it: what the list says, and whether it was taken out by hand.
func (n *Node) line(b *backend) balancer.Endpoint {
	m := b.member
	return balancer.Endpoint{Backend: b.Backend, State: m.State, Zone: m.Zone, Cell: m.Cell, Kind: m.Kind, Weight: m.Weight,
		Started: m.Started, Cordoned: n.names.banned[m.Name]}
}

// tell passes an entry on to the backend's actor, which lives while the list names the backend, or, where a list that does
// not is no proof, while the module remembers it. By then the module still has the state before.
func (n *Node) tell(b *backend, m discovery.Endpoint) {
	b.member = m
	switch {
	case m.State != balancer.BackendRemoved:
		if b.peer == nil {
			b.peer = upstream.NewBackend(m.Name, n.peers)
		}
		b.peer.Tell(m.Address, m.State == balancer.BackendReady && !n.names.banned[m.Name])
	case b.peer != nil && (b.State == balancer.BackendDraining || !n.told.Balancer.RemovalIsHint):
		n.close(b)
	}
}

// close ends a backend's actor.
func (n *Node) close(b *backend) {
	if b.peer != nil {
		b.peer.Close()
		b.peer = nil
	}
}

// ref names a backend to the module, the same at every node.
func ref(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64() >> 16
}

// pull hands on the module's decisions until it has none left.
func (n *Node) pull() {
	for {
		d, more := n.module.Next()
		if !more {
			return
		}
		switch d.Kind {
		case balancer.DoAttempt:
			n.push(d)
		case balancer.DoReject:
			n.final(d.Request, Answer{Status: Rejected, RetryAfter: d.Wait})
		case balancer.DoFail:
			n.final(d.Request, Answer{Status: Failed})
		case balancer.DoCancel:
			if op := n.ops[d.Request.ID]; op != nil {
				op.calls[d.Attempt.Number].Cancel()
			}
		case balancer.DoPoll:
			n.ask()
		case balancer.DoSetTimer:
			n.timer.Reset(clock.Span(d.Wait))
		case balancer.DoLog:
			n.logEvent(d.Event)
		}
	}
}

// logEvent logs what the balancer found worth a line.
func (n *Node) logEvent(e balancer.Event) {
	switch e.Kind {
	case balancer.EventBackendEjected:
		n.log.Info("backend ejected", "ref", fmt.Sprintf("%x", e.Backend), "in_flight", e.Count)
	case balancer.EventPollFailed:
		n.log.Info("endpoint list poll failed", "failures_in_a_row", e.Count)
	}
}

func (n *Node) push(d balancer.Decision) {
	op, p := n.ops[d.Request.ID], d.Attempt
	until := op.Deadline
	if d.Wait > 0 {
		until = min(until, n.now+d.Wait)
	}
	module := n.module
	call := upstream.NewCall(op.Message, n.clock.At(until), func(out upstream.Result) {
		n.box.Put(func() {
			if n.module == module {
				n.ended(op, p, out)
			} else { // a push of a module that had a fault is nobody's
				out.Reply.Release()
			}
		})
	})
	if op.Streamed {
		call.Sent = func(until time.Time) {
			left := time.Until(until)
			n.box.Put(func() {
				if n.module == module && !op.answered {
					op.Deadline = n.now + float64(left.Microseconds())/1e3
					n.module.RequestBodySent(n.now, p)
				}
			})
		}
	}
	call.Left = &op.gone
	op.calls = append(op.calls, call)
	op.out++
	if op.gone.Load() { // no connection and no record for it; of a kept one the module soon has no pushes left
		call.Done(upstream.Result{Outcome: balancer.OutcomeNotSent})
		return
	}
	if op.Logged != nil {
		n.keepBegin(op, p, call)
		return
	}
	n.send(p, call)
}

func (n *Node) send(p *balancer.Attempt, call *upstream.Call) {
	if peer := n.behind[p.Backend].peer; peer != nil {
		peer.Send(call)
		return
	}
	call.Done(upstream.Result{Outcome: balancer.OutcomeNotSent})
}

// ended takes a push's ending. The first answer acks its op.
func (n *Node) ended(op *Request, p *balancer.Attempt, out upstream.Result) {
	op.out--
	if out.Reply != nil && out.Report.HasValues() {
		n.module.LoadReported(n.now, p.Backend, out.Report)
	}
	if out.Outcome == balancer.OutcomeAnswered && !op.answered {
		n.finish(op, Answer{Status: Served, Reply: out.Reply})
	} else {
		out.Reply.Release()
		n.keepEnd(op, p, out.Outcome)
	}
	// The backend's work was done when its answer began: some take long to send it, and some to be read.
	elapsed := max(n.now-p.SentAt-float64(out.First.Microseconds())/1e3, 0)
	n.module.AttemptEnded(n.now, p, out.Outcome, elapsed, op.answered)
	n.traceEnded(op, p, out)
	n.forget(op)
}

func (n *Node) final(o *balancer.Request, a Answer) {
	if op := n.ops[o.ID]; op != nil {
		n.traceGivenUp(op, a)
		n.finish(op, a)
		n.forget(op)
	}
}

// traceEnded and traceGivenUp write what a count over a whole fleet needs; without -log debug they cost next to nothing.
func (n *Node) traceEnded(op *Request, p *balancer.Attempt, out upstream.Result) {
	if n.log.Enabled(context.Background(), slog.LevelDebug) {
		n.log.Debug("push ended", "op", op.ID, "category", op.Class, "work", op.CostHint, "push", p.Number,
			"backend", fmt.Sprintf("%x", p.Backend.ID), "zone", p.Backend.Zone, "kind", p.Backend.Kind,
			"sent_ms", p.SentAt-op.ArrivedAt, "after_ms", n.now-p.SentAt, "first_ms", float64(out.First.Microseconds())/1e3, "at_ms", n.now, "ending", out.Outcome.String())
	}
}

func (n *Node) traceGivenUp(op *Request, a Answer) {
	if n.log.Enabled(context.Background(), slog.LevelDebug) {
		n.log.Debug("op given up", "op", op.ID, "category", op.Class, "work", op.CostHint, "pushes", len(op.Attempts),
			"age_ms", n.now-op.ArrivedAt, "left_ms", op.Deadline-n.now, "final", a.Status.String())
	}
}

// forget lets go of an op that is over. The module's due times hold its part for as long as its TTL: not what it
// carried as well.
func (n *Node) forget(op *Request) {
	if op.answered && op.out == 0 {
		delete(n.ops, op.ID)
		op.Message, op.calls = nil, nil
	}
}
