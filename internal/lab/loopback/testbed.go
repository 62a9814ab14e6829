package loopback

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

// preLoadOffsetMs is longer than any testbed takes to start. Until the load begins, the run's start is set that far in the future, so that
// all times are before the run and nothing that happens during the start is counted.
const preLoadOffsetMs = 3600e3

// testbed holds everything of one run: the node processes, and the simulated clients, backends and discovery service.
type testbed struct {
	*monitor
	options     Options
	seed        uint64
	dir         string
	transitions []faults.Transition

	backends  []*backend
	discovery *discoveryServer
	nodes     []*node
	clients   *clients
	tls       *tlsSetup // nil for plain HTTP

	failed chan error // the first failure of the testbed itself
	wg     sync.WaitGroup
}

func newTestbed(e *experiment.Experiment, seed uint64, options Options) *testbed {
	t := &testbed{
		monitor: &monitor{
			experiment: e,
			ip:         newRunIP(),
			clock:      clock.New(),
			watch:      options.Watch,
			auditor:    e.NewAuditor(slackMs),
			recorder:   metrics.NewRecorder(e, seed),
			faults:     faults.NewState(e),
			tries:      map[uint64]acceptedTry{},
		},
		options:     options,
		seed:        seed,
		dir:         options.Dir,
		transitions: faults.Schedule(e, seed),
		failed:      make(chan error, 1),
	}
	t.setStartTime(t.clock.Now() + preLoadOffsetMs)
	return t
}

// reportFailure ends the run with an error. Only the first error is kept.
func (t *testbed) reportFailure(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// start starts everything except the load, and waits until all nodes are ready.
func (t *testbed) start(ctx context.Context) error {
	if err := t.addBackends(); err != nil {
		return err
	}
	t.discovery = newDiscoveryServer(t.monitor, t.backends, faults.JoiningBackends(t.experiment, t.transitions))
	if t.options.TLS != nil {
		var err error
		if t.tls, err = newTLSSetup(t, *t.options.TLS); err != nil {
			return err
		}
	}
	if err := t.addNodes(); err != nil {
		return err
	}
	if t.options.StartNodes != nil {
		return t.startExternalNodes()
	}
	if err := t.startNodes(); err != nil {
		return err
	}
	if t.tls != nil {
		return t.tls.waitUntilReady(ctx)
	}
	return nil
}

// addBackends opens the listeners of all backends. Their processes start when the load begins.
func (t *testbed) addBackends() error {
	for number := range t.experiment.Fleet.Backends {
		rng := rand.New(rand.NewPCG(t.seed, uint64(number)+1000))
		b, err := newBackend(t.monitor, number, backendmodel.New(t.experiment.BackendSpec(number), rng))
		if err != nil {
			return err
		}
		t.backends = append(t.backends, b)
	}
	return nil
}

// addNodes assigns all nodes their addresses and files. A node's address is unused but not reserved until the node listens on it.
// Everything else of the run must therefore listen before, or it would occasionally take one of these addresses.
func (t *testbed) addNodes() error {
	var nodes []*node
	for number := range t.experiment.Fleet.Nodes {
		n := &node{
			monitor:       t.monitor,
			discovery:     t.discovery,
			number:        number,
			zone:          number % len(t.experiment.Fleet.Zones),
			dir:           t.dir,
			command:       t.options.Command,
			diedAt:        neverDied,
			reportFailure: t.reportFailure,
		}
		var err error
		if n.discoveryAddress, err = t.discovery.open(number, n.zone); err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		t.nodes = append(t.nodes, n)
		if err := t.assignAddresses(n); err != nil {
			return err
		}
	}
	return nil
}

// assignAddresses sets the addresses that a node listens on, its TLS arguments and its temporary directory.
func (t *testbed) assignAddresses(n *node) (err error) {
	if n.address, err = t.addressForNode(); err != nil {
		return err
	}
	if t.tls != nil {
		if n.tlsAddress, err = t.addressForNode(); err != nil {
			return err
		}
		if n.arguments, err = t.tls.configureNode(n); err != nil {
			return err
		}
	}
	if t.experiment.NeedsOperator() {
		if n.adminAddress, err = unusedAddress(t.ip); err != nil {
			return err
		}
		// Not in the run's directory, whose name may be long: a Unix socket's path is limited to about 100 bytes.
		if n.tempDir, err = os.MkdirTemp("", "pk"); err != nil {
			return err
		}
	}
	return nil
}

func (t *testbed) startExternalNodes() error {
	var external []ExternalNode
	for _, n := range t.nodes {
		config, err := n.config(t.now())
		if err != nil {
			return err
		}
		external = append(external, ExternalNode{Name: n.name(), Address: n.address, Config: config})
	}
	return t.options.StartNodes(external)
}

// startNodes starts all nodes at the same time, and waits until each is ready or has failed.
func (t *testbed) startNodes() error {
	var wg sync.WaitGroup
	errs := make([]error, len(t.nodes))
	for i, n := range t.nodes {
		wg.Go(func() { errs[i] = n.start(t.now()) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// beginLoad starts the run's clock and the backends, and then everything that is scheduled by the clock except the load itself.
func (t *testbed) beginLoad(ctx context.Context) error {
	t.setStartTime(t.clock.Now())
	joining := faults.JoiningBackends(t.experiment, t.transitions)
	for _, b := range t.backends {
		if joining[b.number] { // it listened only so that its addresses are known
			b.stop(false)
			continue
		}
		if err := b.start(true); err != nil {
			return err
		}
	}
	source := workload.New(t.experiment, t.faults, t.seed)
	t.clients = newClients(t.monitor, source, t.nodes, t.tls, t.options.Devices)
	if t.options.OnLoadStarted != nil {
		t.options.OnLoadStarted()
	}
	if t.options.StartNodes != nil {
		for _, n := range t.nodes {
			n.ready = true // StartNodes has returned
			t.wg.Go(func() { n.pollHealth(ctx) })
		}
	}
	t.wg.Go(func() { t.runFaultSchedule(ctx) })
	if t.tls != nil {
		t.wg.Go(func() { t.tls.renew(ctx) })
	}
	t.wg.Go(func() { t.sampleLoad(ctx) })
	return nil
}

// runLoad runs the load until it is complete, the context ends or the testbed fails. It then cancels the context and waits until all
// goroutines that use it have ended.
func (t *testbed) runLoad(ctx context.Context, cancel context.CancelFunc) error {
	loadEnded := make(chan struct{})
	go func() {
		t.clients.run(ctx)
		close(loadEnded)
	}()
	var err error
	select {
	case <-loadEnded:
	case err = <-t.failed:
	case <-ctx.Done():
	}
	wasInterrupted := ctx.Err() != nil
	if wasInterrupted {
		err = context.Cause(ctx)
	}
	cancel()
	<-loadEnded
	t.wg.Wait()
	if t.tls != nil && !wasInterrupted {
		t.tls.reportStats(context.Background())
	}
	for _, n := range t.nodes {
		n.expectExit()
	}
	return err
}

// finish returns the metrics of the run.
func (t *testbed) finish() metrics.Run {
	workDone := 0.0
	for _, b := range t.backends {
		workDone += b.workDone()
	}
	var spans []metrics.FaultSpan
	for _, transition := range t.transitions {
		if !transition.On {
			continue
		}
		fault := t.experiment.Faults[transition.Index]
		spans = append(spans, metrics.FaultSpan{Kind: fault.Kind, From: fault.StartSeconds * 1e3, To: fault.EndMs(), Targets: transition.Targets})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.auditor.Finish(t.now()) // all requests except those interrupted by the end of the run have reached their deadline
	return t.recorder.Finish(t.auditor, workDone, t.overloaded, spans)
}

// nodeCPUPerRequest returns the processor time of all nodes from start to end, divided by the number of requests, in µs.
func (t *testbed) nodeCPUPerRequest(requests int) float64 {
	total := time.Duration(0)
	for _, n := range t.nodes {
		total += n.cpu
	}
	return float64(total.Microseconds()) / float64(max(requests, 1))
}

// close stops all processes and closes all ports.
func (t *testbed) close() {
	var wg sync.WaitGroup
	for _, n := range t.nodes {
		wg.Go(func() { n.stop(syscall.SIGTERM, gracefulStopTimeout) })
	}
	wg.Wait()
	for _, n := range t.nodes {
		if n.tempDir != "" {
			_ = os.RemoveAll(n.tempDir)
		}
	}
	if t.discovery != nil {
		t.discovery.close()
	}
	if t.tls != nil {
		t.tls.server.Close()
	}
	for _, b := range t.backends {
		b.close()
	}
}
