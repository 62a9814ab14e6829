// Package loopback runs an experiment on sockets: real node processes with simulated backends, discovery service and clients, all
// on loopback addresses. The simulations use the same models as internal/lab/virtual does in virtual time. However a run ends, its
// processes are ended and its ports closed.
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

// Options holds the settings of a run. Callbacks must not block.
type Options struct {
	Command       []string               // command that starts a node; --config FILE is appended
	Dir           string                 // directory of the nodes' files; if empty, a temporary one that is removed afterwards
	Watch         func(invariants.Event) // if set, receives every event before the auditor does
	OnProgress    func(Progress)         // if set, is called once a second
	OnLoadStarted func()                 // if set, is called when everything is ready, right before the load begins

	TLS     *TLS // if nil, clients speak plain HTTP
	Devices int  // number of devices that clients are spread over, each with its own connections; 0 means one

	// StartNodes, if set, starts the nodes in place of the testbed and returns when all are ready. The caller of Run must end them.
	StartNodes func([]ExternalNode) error
}

// ExternalNode is a node that the caller of Run starts and ends.
type ExternalNode struct {
	Name    string
	Address string // address on which it must listen
	Config  string // text of its configuration file
}

// Run runs the experiment with one seed. It returns when the experiment is over, when the context ends, or when the testbed itself has
// failed, for instance because a node exited unexpectedly. With an error, the returned run holds what was measured until then.
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
	err = t.runLoad(ctx, cancel)
	return t.finish(), err
}
