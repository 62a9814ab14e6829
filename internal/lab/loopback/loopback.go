// Package loopback plays an experiment on sockets: real processes of the program between stand-ins for backends, list
// and clients, all on 127.0.0.1. The stand-ins run the same models as virtual time does. Whatever ends a run, its
// processes and ports end with it.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

// Options are how a run is played.
type Options struct {
	Command       []string               // starts a node; -config FILE is added
	Dir           string                 // for the nodes' files; a temporary one, removed, where empty
	Watch         func(invariants.Event) // is told every event that the auditor is
	OnProgress    func(Progress)         // is told once a second
	OnLoadStarted func()                 // called when all is up and load begins

	TLS     *TLS // nil is plain
	Devices int  // that clients are spread over, each with connections of its own; 0 is one

	// StartNodes, where given, starts the nodes in the lab's place and returns when they serve. It ends them too.
	StartNodes func([]ExternalNode) error
}

// ExternalNode is a node that somebody else starts and ends.
type ExternalNode struct {
	Name    string
	Address string
	Config  string // its text
}

// startUp is longer than any start takes, in ms.
const startUp = 3600e3

// worlds counts this process's runs.
var worlds atomic.Uint32

// home is a loopback address of a run's own. Ports there are taken by nobody's outgoing connections, which would else
// now and then sit on the port of a node or backend that is to come back.
func home() string {
	pid, n := os.Getpid(), worlds.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, pid/200%250, 1+n%250)
}

// world is one run.
type world struct {
	*hub
	o        Options
	random   uint64
	dir      string
	list     *list
	backends []*backend
	nodes    []*node
	crowd    *crowd
	switches []faults.Transition
	secure   *secure // nil is plain
	failed   chan error
	wg       sync.WaitGroup
}

func (h *hub) seed() uint64 { return uint64(h.from()) } // nodes' chance differs with each run, as in service

// Run plays one seed. It returns when the experiment is over, ctx ends, or something of the lab's own failed.
func Run(ctx context.Context, e *experiment.Experiment, seed uint64, o Options) (run metrics.Run, err error) {
	if e.NeedsVirtualTime() {
		return run, errors.New("a list that empties, reports that stand still, ops that fell backends and squeezed connections: only in virtual time")
	}
	c := clock.New()
	// Until the load begins all times are long before the run's: nothing of the start counts in it.
	w := &world{o: o, random: seed, dir: o.Dir, failed: make(chan error, 64), switches: faults.Schedule(e, seed),
		hub: &hub{e: e, clock: c, auditor: e.NewAuditor(slackMs), rec: metrics.NewRecorder(e, seed),
			state: faults.NewState(e), home: home(), tries: map[uint64]known{}, watch: o.Watch}}
	w.startAt(c.Now() + startUp)
	if w.dir == "" {
		if w.dir, err = os.MkdirTemp("", "pearknot-lab"); err != nil {
			return run, err
		}
		defer func() { _ = os.RemoveAll(w.dir) }()
	} else if err = os.MkdirAll(w.dir, 0o755); err != nil {
		return run, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		w.close()
		spent := time.Duration(0)
		for _, n := range w.nodes {
			spent += n.cpu
		}
		run.NodeCPUPerRequest = float64(spent.Microseconds()) / float64(max(run.Requests, 1))
	}()
	defer cancel()
	if err = w.build(ctx); err != nil {
		return run, err
	}
	if err = w.begin(ctx); err != nil {
		return run, err
	}
	over := make(chan struct{})
	go func() {
		w.crowd.run(ctx)
		close(over)
	}()
	select {
	case <-over:
	case err = <-w.failed:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	whole := ctx.Err() == nil
	cancel()
	<-over
	w.wg.Wait()
	if w.secure != nil && whole {
		w.secure.look(context.Background())
	}
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.process != nil {
			n.process.expect = true
		}
		n.mu.Unlock()
	}
	return w.finish(), err
}

// build starts backends, list and nodes, and waits until all nodes are ready.
func (w *world) build(ctx context.Context) error {
	joining := faults.JoiningBackends(w.e, w.switches)
	for k := range w.e.Fleet.Backends {
		m := backendmodel.New(w.e.BackendSpec(k), rand.New(rand.NewPCG(w.random, uint64(k)+1000)))
		b, err := newBackend(w.hub, k, k%len(w.e.Fleet.Zones), w.e.MachineOf(k), len(w.e.Fleet.Zones), m)
		if err != nil {
			return err
		}
		w.backends = append(w.backends, b)
	}
	w.list = newList(w.hub, w.backends, joining)
	if w.o.TLS != nil {
		var err error
		if w.secure, err = w.newSecure(*w.o.TLS); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	errs := make(chan error, w.e.Fleet.Nodes)
	var external []ExternalNode
	var all []*node
	for k := range w.e.Fleet.Nodes {
		n := &node{hub: w.hub, number: k, zone: k % len(w.e.Fleet.Zones), dir: w.dir, command: w.o.Command, list: w.list, deadAt: -1,
			crashed: func(err error) {
				select {
				case w.failed <- err:
				default:
				}
			}}
		var err error
		if n.from, err = w.list.listen(k, n.zone); err != nil {
			return err
		}
		all = append(all, n)
	}
	// A node's address is only known to be free: whatever else of this run listens does so by now, or would now and then take one.
	for _, n := range all {
		var err error
		if n.address, err = w.free(n); err != nil {
			return err
		}
		if w.secure != nil {
			if n.secure, err = w.free(n); err != nil {
				return err
			}
			if n.more, err = w.secure.arguments(n); err != nil {
				return err
			}
		}
		if w.e.NeedsOperator() {
			if n.control, err = freeAddress(w.home); err != nil {
				return err
			}
			if n.shared, err = os.MkdirTemp("", "pk"); err != nil { // short: a socket's path is bounded
				return err
			}
		}
		w.nodes = append(w.nodes, n)
		if w.o.StartNodes != nil {
			config, err := n.config(w.now())
			if err != nil {
				return err
			}
			external = append(external, ExternalNode{fmt.Sprintf("n%d", n.number), n.address, config})
			continue
		}
	}
	if w.o.StartNodes != nil {
		return w.o.StartNodes(external)
	}
	for _, n := range w.nodes {
		wg.Go(func() { errs <- n.start(w.now()) })
	}
	wg.Wait()
	for range w.nodes {
		if err := <-errs; err != nil {
			return err
		}
	}
	if w.secure != nil {
		return w.secure.ready(ctx)
	}
	return nil
}

// begin starts the clock of the experiment: the load, the troubles, the looks.
func (w *world) begin(ctx context.Context) error {
	w.startAt(w.clock.Now())
	joining := faults.JoiningBackends(w.e, w.switches)
	for _, b := range w.backends {
		if joining[b.number] { // its ports were held until all others had theirs
			b.stop(false)
			continue
		}
		if err := b.start(true); err != nil {
			return err
		}
	}
	w.crowd = newCrowd(w.hub, workload.New(w.e, w.state, w.random), w.nodes, w.secure, w.o.Devices)
	if w.o.OnLoadStarted != nil {
		w.o.OnLoadStarted()
	}
	if w.o.StartNodes != nil {
		for _, n := range w.nodes {
			n.ready = true // StartNodes said so
			w.wg.Go(func() { n.follow(ctx) })
		}
	}
	w.wg.Go(func() { w.trouble(ctx) })
	if w.secure != nil {
		w.wg.Go(func() { w.secure.renew(ctx) })
	}
	w.wg.Go(func() { w.look(ctx) })
	return nil
}

// look samples the backends and tells the live counts.
func (w *world) look(ctx context.Context) {
	worked := make([]float64, len(w.backends))
	for tick := 1; ; tick++ {
		wait(ctx, time.Until(w.time(float64(tick)*metrics.LoadInterval)))
		if ctx.Err() != nil {
			return
		}
		busy := make([]float64, len(w.backends))
		letters := make([]byte, len(w.backends))
		for k, b := range w.backends {
			b.turn()
			b.mu.Lock()
			all, _ := b.m.WorkDone()
			busy[k] = (all - worked[k]) / (b.m.Capacity() * metrics.LoadInterval)
			worked[k] = all
			switch {
			case b.silent:
				letters[k] = '?'
			case !b.m.Up():
				letters[k] = '-'
			case b.m.Draining():
				letters[k] = 'd'
			default:
				letters[k] = "0123456789"[min(max(int(busy[k]*10), 0), 9)]
			}
			b.mu.Unlock()
		}
		w.forget()
		nodes := make([]byte, len(w.nodes))
		for k, n := range w.nodes {
			nodes[k] = n.letter()
		}
		w.mu.Lock()
		w.rec.RecordLoad(w.now(), busy)
		w.live.Second, w.live.Nodes, w.live.Backends = int(w.now()/1e3), string(nodes), string(letters)
		w.live.Violations = len(w.auditor.Violations())
		w.live.Faults = w.live.Faults[:0]
		for _, t := range w.e.Faults {
			if s := w.now() / 1e3; s >= t.StartSeconds && s < t.StartSeconds+t.DurationSeconds {
				w.live.Faults = append(w.live.Faults, t.Kind)
			}
		}
		live := w.live
		live.Faults = slices.Clone(live.Faults)
		w.mu.Unlock()
		if w.o.OnProgress != nil && tick%2 == 0 {
			w.o.OnProgress(live)
		}
	}
}

// trouble carries out the schedule.
func (w *world) trouble(ctx context.Context) {
	for _, s := range w.switches {
		wait(ctx, time.Until(w.time(s.At)))
		if ctx.Err() != nil {
			return
		}
		if err := w.put(ctx, s); err != nil {
			select {
			case w.failed <- err:
			default:
			}
			return
		}
	}
}

func (w *world) put(ctx context.Context, s faults.Transition) error {
	w.mu.Lock()
	w.state.Apply(s)
	w.mu.Unlock()
	t := w.e.Faults[s.Index]
	for _, k := range s.Targets {
		var err error
		switch t.Kind {
		case experiment.FaultSwallow, experiment.FaultErrors, experiment.FaultSlow, experiment.FaultPauses, experiment.FaultWrongReports:
			w.backends[k].trouble()
		case experiment.FaultCrash, experiment.FaultMachineLoss:
			err = w.crash(w.backends[k], s.On, t.Kind == experiment.FaultMachineLoss)
		case experiment.FaultScaleDown:
			err = w.shrink(ctx, w.backends[k], s.On)
		case experiment.FaultScaleUp:
			if s.On {
				err = w.crash(w.backends[k], false, false)
			}
		case experiment.FaultNodeCrash:
			n := w.nodes[k]
			if s.On {
				n.kill()
			} else if n.letter() == '-' {
				listAt := n.deadAt - w.e.EndpointList.StaleByMs
				w.wg.Go(func() {
					if err := n.start(listAt); err != nil && ctx.Err() == nil {
						n.crashed(err)
					}
				})
			}
		case experiment.FaultCordon:
			err = w.cordon(w.backends[k], s.On)
		case experiment.FaultQuiesce:
			err = w.nodes[k].send(s.On)
		case experiment.FaultUpgrade:
			if s.On {
				err = w.nodes[k].upgrade()
			}
		}
		if err != nil {
			return err
		}
	}
	switch t.Kind {
	case experiment.FaultZonePartition:
		for _, b := range w.backends {
			for _, d := range b.doors {
				w.mu.Lock()
				cut := w.state.IsPartitioned(d.zone, b.zone)
				w.mu.Unlock()
				if cut != d.cut {
					if err := d.setCut(cut); err != nil {
						return err
					}
				}
			}
		}
	case experiment.FaultListDown:
		w.list.wake()
	}
	return nil
}

// cordon takes a backend out at all nodes, or puts it back. To the judge a node has been told of a drain with its yes.
func (w *world) cordon(b *backend, out bool) error {
	line, state := fmt.Sprintf("uncordon s-%d", b.number), balancer.BackendReady
	if out {
		line, state = fmt.Sprintf("cordon s-%d", b.number), balancer.BackendDraining
	}
	for _, n := range w.nodes {
		if !out { // the node may push there before its yes is read here
			w.tell(invariants.Event{Kind: invariants.EndpointNotified, Node: n.number, Backend: b.number, State: state})
		}
		if err := n.call(line); err != nil {
			return err
		}
		if out {
			w.tell(invariants.Event{Kind: invariants.EndpointNotified, Node: n.number, Backend: b.number, State: state})
		}
	}
	return nil
}

func (w *world) crash(b *backend, on, silent bool) error {
	b.mu.Lock()
	up, draining, fallen := b.m.Up(), b.m.Draining(), b.m.Overloaded()
	b.mu.Unlock()
	if on {
		if up {
			b.stop(silent)
			w.list.set(b, balancer.BackendRemoved)
		}
		return nil
	}
	if fallen || up && !draining {
		return nil
	}
	if up {
		b.stop(false)
	}
	if err := b.start(false); err != nil {
		return err
	}
	w.list.set(b, balancer.BackendReady)
	return nil
}

func (w *world) shrink(ctx context.Context, b *backend, on bool) error {
	if !on {
		return w.crash(b, false, false)
	}
	b.mu.Lock()
	up := b.m.Up()
	if up {
		b.m.Drain(w.now())
	}
	b.mu.Unlock()
	if !up {
		return nil
	}
	w.list.set(b, balancer.BackendDraining)
	w.wg.Go(func() {
		wait(ctx, time.Duration(w.e.EndpointList.DrainNoticeMs*float64(time.Millisecond)))
		b.mu.Lock()
		still := b.m.Up() && b.m.Draining()
		b.mu.Unlock()
		if still && ctx.Err() == nil {
			b.stop(false)
			w.list.set(b, balancer.BackendRemoved)
		}
	})
	return nil
}

func (w *world) finish() metrics.Run {
	worked := 0.0
	for _, b := range w.backends {
		b.turn()
		b.mu.Lock()
		all, _ := b.m.WorkDone()
		b.mu.Unlock()
		worked += all
	}
	var spans []metrics.FaultSpan
	for _, s := range w.switches {
		if t := w.e.Faults[s.Index]; s.On {
			spans = append(spans, metrics.FaultSpan{Kind: t.Kind, From: t.StartSeconds * 1e3, To: t.EndMs(), Targets: s.Targets})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.auditor.Finish(w.now()) // what is open was cut off with the run; all others have had their time
	return w.rec.Finish(w.auditor, worked, w.fallen, spans)
}

// close ends all processes and ports.
func (w *world) close() {
	var wg sync.WaitGroup
	for _, n := range w.nodes {
		wg.Go(func() { n.end(syscall.SIGTERM, endWithin) })
	}
	wg.Wait()
	for _, n := range w.nodes {
		if n.shared != "" {
			_ = os.RemoveAll(n.shared)
		}
	}
	if w.list != nil {
		w.list.close()
	}
	if w.secure != nil {
		w.secure.server.Close()
	}
	for _, b := range w.backends {
		b.close()
	}
}
