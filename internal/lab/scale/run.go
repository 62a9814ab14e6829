package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// Options configures how an experiment is run.
type Options struct {
	Pearknot      string    // program of nodes and members
	HollowCommand []string  // command that starts a process of hollow nodes, without its argument, the configuration file
	Out           io.Writer // for progress
	CompareHollow bool      // run eight hollow nodes and eight real ones, whose costs must be equal
	Dir           string    // for files and logs, which are kept; if empty, a temporary directory that is removed
}

// comparedNodes is the number of nodes of each kind that Options.CompareHollow compares.
const comparedNodes = 8

// run holds the state of a running experiment.
type run struct {
	experiment *Experiment
	options    Options
	clock      *clock.Clock
	testbed    *testbed
	operator   *client.ControlPlane // the operator's connection to the members
	document   *document
	failures   chan error
	background sync.WaitGroup

	lateness         timerLateness
	startedProcessor processorTime
	hollowClients    []*hollowClient
	realSockets      []*controlsocket.Client // by node

	mu              sync.Mutex
	processes       []*process // all that have been started, running or not
	members         []*process // by number; nil while killed
	auditor         *Auditor
	appliedVersions []uint64 // by node
	newestVersion   uint64   // newest acknowledged version
	activeFaults    []Fault
	cutOffs         []cutOff
	maxRSSBytes     int64 // peak of all processes together
	maxProcesses    int
	report          Report
}

// cutOff is a fault that cuts nodes off, and the span in which it was active.
type cutOff struct {
	Fault
	Span
}

// Run runs an experiment. It returns when the experiment has finished, ctx ends, or a part of the lab itself has failed. All of its
// processes have ended by then. It returns a *TooBigError for an experiment that this machine can't run.
func Run(ctx context.Context, e *Experiment, options Options) (_ *Report, err error) {
	if options.CompareHollow {
		e = e.comparisonVariant()
	}
	machineMB, err := machineMemoryMB()
	if err != nil {
		return nil, err
	}
	if err := e.CheckLimits(machineMB); err != nil {
		return nil, &TooBigError{err}
	}
	estimate := e.Estimate()
	fmt.Fprintf(options.Out, "%s: expecting up to %d processes and %.0f MB of memory, of %.0f MB\n",
		e.Name, estimate.Processes, estimate.MemoryMB, machineMB)
	dir, removeDir, err := createRunDir(options.Dir)
	if err != nil {
		return nil, err
	}
	defer removeDir()
	r := newRun(e, options, machineMB)
	ctx, cancel := context.WithCancelCause(ctx)
	defer func() {
		cancel(nil)
		r.background.Wait()
		r.close()
	}()
	r.background.Go(func() {
		select {
		case err := <-r.failures:
			cancel(err)
		case <-ctx.Done():
		}
	})
	if r.testbed, err = newTestbed(e, dir); err == nil {
		err = r.execute(ctx)
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, err
	}
	r.report.checkBounds()
	return &r.report, nil
}

// comparisonVariant returns a copy of an experiment with as many hollow nodes as real ones, and without faults.
func (e *Experiment) comparisonVariant() *Experiment {
	variant := *e
	variant.Name, variant.Nodes, variant.RealNodes, variant.Faults = e.Name+" --fair", 2*comparedNodes, comparedNodes, nil
	return &variant
}

// createRunDir creates the directory for a run's files. The returned remove deletes it if it is temporary.
func createRunDir(dir string) (path string, remove func(), err error) {
	if dir == "" {
		path, err = os.MkdirTemp("", "pkscale") // short, because the length of a socket's path is limited
		return path, func() { _ = os.RemoveAll(path) }, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, err
	}
	path, err = filepath.Abs(dir)
	return path, func() {}, err
}

func newRun(e *Experiment, options Options, machineMB float64) *run {
	r := &run{
		experiment:       e,
		options:          options,
		clock:            clock.New(),
		failures:         make(chan error, 16),
		startedProcessor: readProcessorTime(),
		members:          make([]*process, e.Members.Count),
		auditor:          NewAuditor(e.Bounds.P99StalenessMs, e.Bounds.MaxStalenessMs),
		appliedVersions:  make([]uint64, e.Nodes),
		report:           Report{Experiment: e, MachineMB: machineMB, ComparesHollow: options.CompareHollow},
	}
	r.report.LoadAverageStart = loadAverage()
	return r
}

// fail ends the run with an error. Only the first error is reported.
func (r *run) fail(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

// close ends all processes and links.
func (r *run) close() {
	r.mu.Lock()
	processes := slices.Clone(r.processes)
	r.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
	if r.testbed != nil {
		r.testbed.close()
	}
}

// start starts a process of the run. It starts nothing after ctx has ended, since such a process could outlive close.
func (r *run) start(ctx context.Context, kind ProcessKind, name string, command ...string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.startLocked(ctx, kind, name, command...)
	return err
}

func (r *run) startLocked(ctx context.Context, kind ProcessKind, name string, command ...string) (*process, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p, err := startProcess(kind, name, r.testbed.dir, command...)
	if err == nil {
		r.processes = append(r.processes, p)
	}
	return p, err
}

func (r *run) startMember(ctx context.Context, member int, flags ...string) error {
	name := memberName(member)
	command := append([]string{r.options.Pearknot, "control-plane", r.testbed.filePath(name), "--name", name}, flags...)
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := r.startLocked(ctx, KindMember, name, command...)
	if err == nil {
		r.members[member] = p
	}
	return err
}

// countNodesAt returns the number of nodes that have applied the version or a later one.
func (r *run) countNodesAt(version uint64) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, applied := range r.appliedVersions {
		if applied >= version {
			count++
		}
	}
	return count
}
