package serve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/admin"
	"pearknot/internal/clock"
	"pearknot/internal/descriptors"
	"pearknot/internal/hotrestart"
	"pearknot/internal/node"
	"pearknot/internal/server"
)

const (
	collect = 400 // percent that the live heap of a few MB may grow by before it is collected; the limit holds

	// While two processes are the node, the one that was there before keeps so much of the descriptors: its clients are
	// still there. As it ends it tells what it has, and the other has the rest, but for some that are on their way.
	olderShare = 0.6
	onTheWay   = 8
	usingEvery = 50 * time.Millisecond
)

// pair is what the processes of one node know of each other: one that was there before, one that follows.
type pair struct {
	place  *Config
	path   string // where a process offers itself; empty where none does
	limit  int    // of descriptors, for both together
	budget *descriptors.Budget
	clock  *clock.Clock
	log    *slog.Logger
	node   *node.Node
	front  *server.Server
	serves atomic.Bool

	mu     sync.Mutex
	before *hotrestart.Link // nil where there is none
	offer  *hotrestart.Listener
	closed bool
}

// handoverPath is where the node's processes meet: a directory that both have to themselves.
func handoverPath(p *Config, log *slog.Logger) string {
	dir := os.Getenv("TMPDIR")
	if p.control == "" || dir == "" || strings.HasSuffix(p.listen, ":0") {
		return ""
	}
	path := hotrestart.SocketPath(dir, p.name+"-"+strings.NewReplacer(":", "_", "/", "_").Replace(p.listen))
	if len(path) > 100 { // a socket's path is bounded
		log.Warn("no next process will find this one: TMPDIR is too long", "path", path)
		return ""
	}
	return path
}

// remember bounds the collector's memory by this process's share of the limit.
func (p *pair) remember(processes int64) {
	if p.place.memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare*float64(p.place.memory)) / processes)
	}
	debug.SetGCPercent(collect / int(processes*processes))
}

// follow takes over from a process that runs, if there is one.
func (p *pair) follow(ctx context.Context) *hotrestart.State {
	if p.path == "" {
		return nil
	}
	link, s, err := hotrestart.Connect(ctx, p.path, p.place.name, p.do, func(used int) { p.budget.SetLimit(p.limit - used) })
	if err != nil {
		p.log.Warn("nothing taken over from the process before, this one starts fresh", "error", err)
	}
	if link == nil {
		return nil
	}
	p.mu.Lock()
	p.before = link
	p.mu.Unlock()
	p.budget.SetLimit(p.limit - int(olderShare*float64(p.limit)) - admin.MaxDescriptors) // the other has a second address, too
	p.remember(2)
	if !reflect.DeepEqual(s.Zones, p.place.names.Zones) || !reflect.DeepEqual(s.Kinds, p.place.names.Kinds) {
		p.log.Warn("what the process before has learned is of other zones or kinds and not taken")
		return &hotrestart.State{KnownNames: s.KnownNames, CordonedNames: s.CordonedNames, QuiescedMs: s.QuiescedMs}
	}
	return s
}

// learn has the node begin with what was taken over; from then on both are one node.
func (p *pair) learn(s *hotrestart.State) {
	err := p.node.Restore(&node.LearnedState{BackendNames: s.BackendNames, BalancerSnapshot: s.BalancerSnapshot, KnownNames: s.KnownNames, CordonedNames: s.CordonedNames})
	if err != nil {
		p.log.Warn("what the process before has learned is not taken, this one starts fresh", "error", err)
	}
	if s.QuiescedMs != nil {
		p.front.SetQuiescedSince(true, time.Now().Add(-clock.Duration(*s.QuiescedMs)))
	}
	p.log.Info("following the process before", "backends", len(s.BackendNames), "taken_out", len(s.CordonedNames), "away", s.QuiescedMs != nil, "learned_bytes", len(s.BalancerSnapshot))
}

// begin tells that this process serves, and offers it to the next once it is alone.
func (p *pair) begin() {
	p.serves.Store(true)
	if p.before == nil {
		p.open()
		return
	}
	if err := p.before.SendReady(); err != nil {
		p.log.Warn("the process before can't be told", "error", err)
	}
	go func() {
		<-p.before.Done()
		p.log.Info("the process before has ended")
		p.mu.Lock()
		p.before = nil
		p.mu.Unlock()
		p.alone()
		p.open()
	}()
}

func (p *pair) alone() {
	p.budget.SetLimit(p.limit)
	p.remember(1)
	p.node.ProcessesChanged(1)
}

func (p *pair) open() {
	if p.path == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	o, err := hotrestart.Listen(p.path, hotrestart.Predecessor{Name: p.place.name, CollectState: p.state, HandleCall: p.do, Log: p.log,
		OnSuccessorGone: func() {
			p.log.Info("the next process has ended, this one goes on")
			p.alone()
		}})
	if err != nil { // a system that gives no Unix sockets: the node serves all the same
		p.log.Warn("no next process will find this one", "error", err)
		return
	}
	p.offer = o
}

// state gives back what the next process needs, then tells it what there is to know.
func (p *pair) state(ctx context.Context) (*hotrestart.State, error) {
	p.log.Info("another process follows this one")
	p.budget.SetLimit(int(olderShare * float64(p.limit)))
	p.remember(2)
	p.node.ProcessesChanged(2)
	l, err := p.node.LearnedState(ctx)
	if err != nil {
		return nil, err
	}
	s := &hotrestart.State{Zones: p.place.names.Zones, Kinds: p.place.names.Kinds, List: l.Endpoints, BackendNames: l.BackendNames, BalancerSnapshot: l.BalancerSnapshot,
		KnownNames: l.KnownNames, CordonedNames: l.CordonedNames}
	if passed, away := p.front.QuiescedFor(); away {
		ms := float64(passed.Microseconds()) / 1e3
		s.QuiescedMs = &ms
	}
	return s, nil
}

// other is the node's other process, or nil.
func (p *pair) other() *hotrestart.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.before != nil:
		return p.before
	case p.offer != nil:
		return p.offer.Successor()
	}
	return nil
}

// succeeded gives the process that serves in this one's place, or nil.
func (p *pair) succeeded() *hotrestart.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offer != nil {
		if next := p.offer.Successor(); next != nil {
			select {
			case <-next.PeerReady():
				return next
			default:
			}
		}
	}
	return nil
}

// giveBack has this process take no more, and tells the other what it still has, until ctx ends.
func (p *pair) giveBack(ctx context.Context, to *hotrestart.Link) {
	for {
		used := p.budget.Used() + onTheWay
		p.budget.SetLimit(used)
		to.SendDescriptorLimit(used + admin.MaxDescriptors)
		select {
		case <-ctx.Done():
			return
		case <-time.After(usingEvery):
		}
	}
}

func (p *pair) close() {
	p.mu.Lock()
	p.closed = true
	o, before := p.offer, p.before
	p.mu.Unlock()
	if o != nil {
		o.Close()
	}
	if before != nil {
		before.Close()
	}
}

// call is an operator's, carried out here and in the other process.
func (p *pair) call(ctx context.Context, c admin.Command) (string, error) {
	if !p.serves.Load() {
		return "", errors.New("not serving yet")
	}
	if c.Verb == admin.Health {
		return p.health()
	}
	there := hotrestart.Call{Verb: string(c.Verb), ID: c.Backend}
	text, err := p.do(ctx, there)
	other := p.other()
	if other == nil || err != nil && !errors.Is(err, node.ErrNeverListed) {
		return text, err
	}
	there.Force = err == nil // a list is at one of them before it is at the other
	if _, fault := other.Call(ctx, there); fault != nil && !errors.Is(fault, hotrestart.ErrNoPeer) {
		return "", fault
	} else if fault != nil || err == nil {
		return text, err
	}
	there.Force = true
	return p.do(ctx, there)
}

func (p *pair) health() (string, error) {
	select {
	case <-p.node.Ready():
	default:
		return "", errors.New("no list of backends yet")
	}
	p.mu.Lock()
	follows := p.before != nil
	p.mu.Unlock()
	switch in, ending := p.front.ServiceState(); {
	case ending:
		return "", errEnding
	case !in && follows: // ready to take over a node whose clients are sent away
		return "ready, clients are sent away", nil
	case !in:
		return "", errors.New("clients are sent away")
	}
	return "ready", nil
}

var errEnding = errors.New("the node is about to end")

// do carries a call out in this process.
func (p *pair) do(ctx context.Context, c hotrestart.Call) (string, error) {
	switch v := admin.Verb(c.Verb); v {
	case admin.Cordon, admin.Uncordon:
		if err := p.node.Cordon(ctx, c.ID, v == admin.Cordon, c.Force); err != nil {
			return "", fmt.Errorf("%.80q: %w", c.ID, err)
		}
		return map[admin.Verb]string{admin.Cordon: "out", admin.Uncordon: "back"}[v], nil
	case admin.Quiesce:
		if p.front.SetQuiesced(true) {
			p.log.Info("clients sent away")
		}
		return "clients are sent away", nil
	case admin.Resume:
		if _, ending := p.front.ServiceState(); ending && p.other() == nil {
			return "", errEnding
		}
		if p.front.SetQuiesced(false) {
			p.log.Info("clients taken again")
		}
		return "clients are taken", nil
	}
	return "", errors.New("unknown call")
}
