// Package serve puts a node together from its configuration and the operator's files, and runs it until it is told to
// end.
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

// Options are what the command line says of a node besides its configuration. NewDecider is required; the zero value of any
// other field leaves its part out.
type Options struct {
	NewDecider    node.NewDecider
	Version       string               // of the program
	ControlSocket string               // path of the control socket
	OutOfService  bool                 // at the start, until a call to the control socket puts the node in service
	Token         string               // that the control socket's status returns, so that the agent recognizes its process
	Epoch         uint64               // the agent's count of restarts
	Capture       *Capture             // nil captures nothing
	TLS           *TLS                 // nil serves no TLS
	AdmissionFile string               // empty admits all connections
	Peers         *Peers               // nil logs no requests
	ControlPlane  *client.ControlPlane // whose settings the node follows; nil uses the file's
}

// Run runs a node until ctx is done or the node can't serve any more. The caller ends ctx on SIGTERM and gets reload from
// NotifyReload. Both must be set up before the configuration is read, or a signal that arrives meanwhile ends the process.
//
// The node's parts are opened in the order of the calls here and closed in the reverse order.
func Run(ctx context.Context, reload chan os.Signal, cfg *Config, options Options, log *slog.Logger) error {
	defer signal.Stop(reload)
	if ctx.Err() != nil { // SIGTERM came before there was anything to stop
		return nil
	}
	p := &process{config: cfg, options: options, log: log, clock: clock.New(), reload: reload, scarce: make(chan struct{}, 1)}
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

// readFiles reads the operator's files that only the configuration names. One that the command line names takes precedence.
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

// notifyDumps has SIGUSR1 write out a capture in memory. Without such a capture the signal keeps its default action, which
// ends the process.
func (p *process) notifyDumps() {
	p.dumps = make(chan os.Signal, 1)
	if p.options.Capture == nil || p.options.Capture.MemoryMB <= 0 {
		return
	}
	signal.Notify(p.dumps, syscall.SIGUSR1)
	p.onClose(func() { signal.Stop(p.dumps) })
}
