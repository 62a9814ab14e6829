// Package loopback plays an experiment on sockets: real processes of the program, with stand-ins for backends, the discovery
// service and clients around them, all on loopback addresses. The stand-ins run the same models as internal/lab/virtual does in
// virtual time. However a run ends, its processes and ports end with it.
package loopback

import (
	"context"
	"errors"
	"os"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
)

// ErrNeedsVirtualTime is returned by Run for an experiment with faults that only the simulation has.
var ErrNeedsVirtualTime = errors.New(
	"an endpoint list that empties, stuck load reports, poison requests and connection limits: only in virtual time")

// Options are how a run is played. Callbacks must not block.
type Options struct {
	Command       []string               // that starts a node; --config FILE is added
	Dir           string                 // for the nodes' files; if empty a temporary one, which is removed
	Watch         func(invariants.Event) // if set, receives every event before the auditor does
	OnProgress    func(Progress)         // if set, is called once a second
	OnLoadStarted func()                 // if set, is called when everything is up, right before the load begins

	TLS     *TLS // if nil, clients speak plain HTTP
	Devices int  // that clients are spread over, each with connections of its own; 0 is one

	// StartNodes, if set, starts the nodes in place of the testbed and returns when all are ready. Whoever gave it also ends them.
	StartNodes func([]ExternalNode) error
}

// ExternalNode is a node that the caller of Run starts and ends.
type ExternalNode struct {
	Name    string
	Address string // that it is to serve
	Config  string // its configuration file's text
}

// Run plays one seed. It returns when the experiment is over, when the context ends, or when something of the testbed itself has
// failed, such as a node that ended by itself. With an error the run holds what was measured until then.
func Run(ctx context.Context, e *experiment.Experiment, seed uint64, options Options) (run metrics.Run, err error) {
	if e.NeedsVirtualTime() {
		return run, ErrNeedsVirtualTime
	}
	t := newTestbed(e, seed, options)
	if t.dir == "" {
		if t.dir, err = os.MkdirTemp("", "pearknot-lab"); err != nil {
			return run, err
		}
		defer func() { _ = os.RemoveAll(t.dir) }()
	} else if err = os.MkdirAll(t.dir, 0o755); err != nil {
		return run, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		t.close()
		run.NodeCPUPerRequest = t.nodeCPUPerRequest(run.Requests)
	}()
	defer cancel()
	if err = t.start(ctx); err != nil {
		return run, err
	}
	if err = t.beginLoad(ctx); err != nil {
		return run, err
	}
	err = t.playLoad(ctx, cancel)
	return t.finish(), err
}
