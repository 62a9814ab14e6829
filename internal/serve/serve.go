// Package serve assembles a node from its configuration and the operator's files, and runs it until it is told to shut down.
package serve

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/node"
)

// Options holds the settings of a node that are given on the command line or in the environment rather than in its
// configuration. NewDecider is required; the zero value of any other field disables its feature.
type Options struct {
	NewDecider    node.NewDecider
	Version       string               // version of the program
	ControlSocket string               // path of the control socket
	OutOfService  bool                 // start out of service, until a call to the control socket puts the node in service
	Token         string               // returned in the control socket's status, so that the agent recognizes its process
	Epoch         uint64               // number of restarts, counted by the agent
	Capture       *Capture             // nil disables the capture
	TLS           *TLS                 // nil serves no TLS
	AdmissionFile string               // empty admits all connections
	Peers         *Peers               // nil disables the request log
	ControlPlane  *client.ControlPlane // source of the node's settings; nil uses the configuration file
}

// Run runs a node until ctx is done or the node can no longer serve. The caller ends ctx on SIGTERM and gets reload from
// NotifyReload. Both must be set up before the configuration is read, or a signal that arrives meanwhile ends the process.
//
// The node's components are opened in the order of the calls here and closed in the reverse order.
func Run(ctx context.Context, reload chan os.Signal, cfg *Config, options Options, log *slog.Logger) error {
	defer signal.Stop(reload)
	if ctx.Err() != nil { // SIGTERM arrived before anything was started
		return nil
	}
	p := &process{config: cfg, options: options, log: log, clock: clock.New(), reload: reload, shortage: make(chan struct{}, 1)}
	if err := p.readFiles(); err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	defer p.close()
	p.notifyDumps()
	if err := p.openBudget(); err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	if err := p.openCapture(); err != nil {
		return err
	}
	if err := p.makeNode(); err != nil {
		return err
	}
	p.connectPredecessor(ctx)
	lifetime, endLifetime := context.WithCancel(context.Background())
	p.onClose(endLifetime)
	if err := p.serveTLS(lifetime, endLifetime); err != nil {
		return err
	}
	if isReady := p.startNode(ctx, lifetime); !isReady {
		return nil
	}
	if err := p.listen(); err != nil {
		return err
	}
	failed := p.beginServing(lifetime)
	p.handleEvents(lifetime, endLifetime)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain(lifetime)
	return nil
}

// readFiles reads the operator's files that are named in the configuration but not on the command line, which takes
// precedence.
func (p *process) readFiles() error {
	if p.options.TLS == nil && p.config.tlsFile != "" {
		options, err := ReadTLS(p.config.tlsFile)
		if err != nil {
			return err
		}
		p.options.TLS = options
	}
	p.options.AdmissionFile = cmp.Or(p.options.AdmissionFile, p.config.admissionFile)
	return nil
}

// notifyDumps makes SIGUSR1 write the capture in memory to a file. Without such a capture the signal keeps its default action,
// which ends the process.
func (p *process) notifyDumps() {
	p.dumps = make(chan os.Signal, 1)
	if p.options.Capture == nil || p.options.Capture.MemoryMB <= 0 {
		return
	}
	signal.Notify(p.dumps, syscall.SIGUSR1)
	p.onClose(func() { signal.Stop(p.dumps) })
}
