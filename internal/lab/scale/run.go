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

// Options are how an experiment is played.
type Options struct {
	Pearknot      string    // the node's program, which is the members' too
	HollowCommand []string  // starts a process of hollow nodes; its configuration file is added
	Out           io.Writer // for progress
	Fair          bool      // eight hollow nodes beside eight real ones, which must cost the same
	Dir           string    // for files and logs, which stay; a temporary one, removed, if empty
}

// fairNodes is how many nodes of each kind Options.Fair compares.
const fairNodes = 8

// run is one experiment as it is played.
type run struct {
	experiment *Experiment
	options    Options
	clock      *clock.Clock
	site       *site
	operator   *client.ControlPlane // as operators reach it
	document   *document
	failures   chan error
	background sync.WaitGroup

	lateness         timerLateness
	startedProcessor processorTime
	hollowClients    []*hollowClient
	realSockets      []*controlsocket.Client // by node

	mu              sync.Mutex
	processes       []*process // all that were ever started
	members         []*process // by number; nil while killed
	auditor         *Auditor
	appliedVersions []uint64 // by node
	newestVersion   uint64   // acknowledged
	activeFaults    []Fault
	cutOffs         []cutOff
	maxRSSBytes     int64 // of all processes together
	maxProcesses    int
	report          Report
}

// cutOff is a fault that cuts nodes off, and when it was active.
type cutOff struct {
	Fault
	Span
}

// Run plays an experiment. It returns when the experiment is over, ctx ends, or something of the lab's own failed. Whatever ends it, its
// processes end before. An experiment that this machine can't play is a *TooBigError.
func Run(ctx context.Context, e *Experiment, options Options) (_ *Report, err error) {
	if options.Fair {
		e = e.fairVariant()
	}
	machineMB, err := machineMemoryMB()
	if err != nil {
		return nil, err
	}
	if err := e.Fits(machineMB); err != nil {
		return nil, &TooBigError{err}
	}
	estimate := e.Estimate()
	fmt.Fprintf(options.Out, "%s: up to %d processes and %.0f MB of %.0f expected\n", e.Name, estimate.Processes, estimate.MemoryMB, machineMB)
	dir, removeDir, err := runDir(options.Dir)
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
	if r.site, err = newSite(e, dir); err == nil {
		err = r.play(ctx)
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

// fairVariant is an experiment with as many hollow nodes as real ones, and without faults.
func (e *Experiment) fairVariant() *Experiment {
	fair := *e
	fair.Name, fair.Nodes, fair.RealNodes, fair.Faults = e.Name+" --fair", 2*fairNodes, fairNodes, nil
	return &fair
}

// runDir makes the directory for a run's files. remove removes it if it is temporary.
func runDir(dir string) (path string, remove func(), err error) {
	if dir == "" {
		path, err = os.MkdirTemp("", "pkscale") // short: the length of a socket's path is bounded
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
		report:           Report{Experiment: e, MachineMB: machineMB, Fair: options.Fair},
	}
	r.report.LoadAverageBegin = loadAverage()
	return r
}

// fail ends the run with an error. The first one counts.
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
	if r.site != nil {
		r.site.close()
	}
}

// start starts a process of the run. Nothing starts after ctx has ended, or it could outlive close.
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
	p, err := startProcess(kind, name, r.site.dir, command...)
	if err == nil {
		r.processes = append(r.processes, p)
	}
	return p, err
}

func (r *run) startMember(ctx context.Context, member int, flags ...string) error {
	name := memberName(member)
	command := append([]string{r.options.Pearknot, "control-plane", r.site.filePath(name), "--name", name}, flags...)
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := r.startLocked(ctx, KindMember, name, command...)
	if err == nil {
		r.members[member] = p
	}
	return err
}

// nodesAt counts the nodes that have applied a version or a later one.
func (r *run) nodesAt(version uint64) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, applied := range r.appliedVersions {
		if applied >= version {
			count++
		}
	}
	return count
}
