// Package virtual runs an experiment in virtual time: a single event loop, nodes that are the balancer itself, and
// the lab's models of clients, backends and the discovery service around them. A seed determines the result to the
// byte: there are no goroutines, the only clock is the event loop's, and every random draw comes from a seeded
// generator.
package virtual

import (
	"errors"
	"math"
	"math/rand/v2"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/discoverystub"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

// ErrOperated is returned by Run for an experiment with operators' calls or upgrades: these act on real processes.
var ErrOperated = errors.New("operators' calls and upgrades are of real processes: only on sockets")

// requestsSettledMs is added to the end of a run, in ms, when the auditor closes its books: it lies past every
// deadline, so that a request without an answer by then counts as lost.
const requestsSettledMs = 1e7

// Options are hooks into a run. They must not change what the run decides.
type Options struct {
	// Watch, if set, receives every event before the auditor does.
	Watch func(invariants.Event)
	// Wrap, if set, wraps the decider of each node's process. Incarnation counts the processes of a node from 0.
	Wrap func(node, incarnation int, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider
}

// Run runs an experiment on one seed. It returns ErrOperated for an experiment that needs real processes, and an
// error if the experiment's policy can't be built.
func Run(e *experiment.Experiment, seed uint64, options Options) (metrics.Run, error) {
	if e.NeedsOperator() {
		return metrics.Run{}, ErrOperated
	}
	s, err := newSimulation(e, seed, options)
	if err != nil {
		return metrics.Run{}, err
	}
	return s.run(), nil
}

// simulation is one run of an experiment. All its fields belong to the event loop; all times are in ms.
type simulation struct {
	experiment *experiment.Experiment
	options    Options
	seed       uint64

	now             float64
	events          eventQueue
	lastSequence    uint64 // of the event scheduled last
	eventsProcessed uint64

	auditor  *invariants.Auditor
	recorder *metrics.Recorder

	faults      *faults.State
	transitions []faults.Transition

	source    *workload.Source
	discovery *discoverystub.Service

	backends    []*backend
	sampledWork []float64 // by backend, up to the latest sample
	overloaded  int       // backends that went down under their load

	nodes       []*node
	nodesByZone [][]*node
	nextNode    []int // by zone, the position of the round robin among its nodes
}

// newSimulation builds the fleet: first the backends, then the nodes, which start with the complete endpoint list.
func newSimulation(e *experiment.Experiment, seed uint64, options Options) (*simulation, error) {
	zones := len(e.Fleet.Zones)
	s := &simulation{
		experiment:  e,
		options:     options,
		seed:        seed,
		auditor:     e.NewAuditor(0),
		recorder:    metrics.NewRecorder(e, seed),
		faults:      faults.NewState(e),
		transitions: faults.Schedule(e, seed),
		discovery:   discoverystub.New(e.EndpointList.UpdatesPerSecond),
		nodesByZone: make([][]*node, zones),
		nextNode:    make([]int, zones),
		sampledWork: make([]float64, e.Fleet.Backends),
	}
	s.source = workload.New(e, s.faults, seed)
	s.addBackends()
	s.discovery.Advance(0)
	for number := range e.Fleet.Nodes {
		n := &node{number: number, zone: number % zones}
		s.nodes = append(s.nodes, n)
		s.nodesByZone[n.zone] = append(s.nodesByZone[n.zone], n)
		if err := s.startNode(n, s.discovery.List(), s.discovery.Version()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addBackends creates all backends and starts those that don't join later.
func (s *simulation) addBackends() {
	joining := faults.JoiningBackends(s.experiment, s.transitions)
	for number := range s.experiment.Fleet.Backends {
		rng := rand.New(rand.NewPCG(s.seed, uint64(number)+1000))
		b := &backend{
			Machine:  backendmodel.New(s.experiment.BackendSpec(number), rng),
			number:   number,
			zone:     number % len(s.experiment.Fleet.Zones),
			kind:     s.experiment.MachineOf(number),
			inFlight: map[uint64]*attempt{},
		}
		s.backends = append(s.backends, b)
		if joining[number] {
			continue
		}
		b.Start(0, true)
		s.recordEvent(invariants.Event{Kind: invariants.BackendStarted, Backend: number, Zone: b.zone, Cell: number, Speed: b.Capacity()})
		s.discovery.Update(0, 0, discoverystub.Entry{Backend: number, State: balancer.BackendReady})
	}
}

// run processes events until the experiment's end, and from there until no request is open.
func (s *simulation) run() metrics.Run {
	spans := s.scheduleFaults()
	s.schedule(s.source.NextArrival(), s.requestArrives)
	s.schedule(metrics.LoadInterval, s.sampleLoad)
	s.processEvents()
	s.auditor.Finish(s.now + requestsSettledMs)
	worked := 0.0
	for _, b := range s.backends {
		all, _ := b.WorkDone()
		worked += all
	}
	run := s.recorder.Finish(s.auditor, worked, s.overloaded, spans)
	run.Events = s.eventsProcessed
	return run
}

// recordEvent stamps an event with the current time and passes it to the watcher and the auditor.
func (s *simulation) recordEvent(e invariants.Event) {
	e.At = s.now
	if s.options.Watch != nil {
		s.options.Watch(e)
	}
	s.auditor.Record(e)
}

// sampleLoad records each backend's utilization since the sample before, and schedules the next sample.
func (s *simulation) sampleLoad() {
	busy := make([]float64, len(s.backends))
	for number, b := range s.backends {
		s.advanceBackend(b) // its work is accounted up to its latest event, which may be long ago
		all, _ := b.WorkDone()
		busy[number] = math.Round((all-s.sampledWork[number])/(b.Capacity()*metrics.LoadInterval)*1e3) / 1e3
		s.sampledWork[number] = all
	}
	s.recorder.RecordLoad(s.now, busy)
	if s.now+metrics.LoadInterval <= s.experiment.LengthMs() {
		s.schedule(s.now+metrics.LoadInterval, s.sampleLoad)
	}
}

// oneWayDelay returns the network delay from one zone to another, in ms.
func (s *simulation) oneWayDelay(from, to int) float64 {
	if from == to {
		return s.experiment.Fleet.LocalDelayMs
	}
	return s.experiment.Fleet.CrossZoneDelayMs
}

// isUnreachable reports whether packets between a node and a backend get lost without an error.
func (s *simulation) isUnreachable(n *node, b *backend) bool {
	return b.silent || s.faults.IsPartitioned(n.zone, b.zone)
}
