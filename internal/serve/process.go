package serve

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/acme"
	"pearknot/internal/admin"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/memory"
	"pearknot/internal/node"
	"pearknot/internal/peers"
	"pearknot/internal/server"
	"pearknot/internal/upstream"
)

const (
	// idleConnectionShare is the share of a backend's idle timeout after which the node closes an idle connection to it. It
	// is below 1, so that the backend does not close the connection at the moment when a request is sent on it.
	idleConnectionShare = 0.8

	// shortageCheckInterval is the time between two rounds of closing idle connections while clients wait for a
	// descriptor.
	shortageCheckInterval = 100 * time.Millisecond
)

// process is a node's process, with its components in the order in which they are opened. Components that the options
// disable are nil.
type process struct {
	config  *Config
	options Options
	log     *slog.Logger
	clock   *clock.Clock

	reload   <-chan os.Signal // SIGHUP
	dumps    chan os.Signal   // SIGUSR1
	shortage chan struct{}    // signals a shortage of descriptors
	closers  []func()

	settings       *controlPlaneSettings
	budget         *descriptors.Budget
	memory         *memory.Budget
	restart        *restartCoordinator
	adminAddress   string
	dumpCapture    func() (string, error)
	upstreamConfig *upstream.Config
	deployment     atomic.Pointer[config.Deployment] // the active one
	watch          *discovery.Watch
	node           *node.Node
	server         *server.Server
	peers          *peers.Peers
	certificates   *acme.Instance
}

// onClose registers a function that closes a component when the process ends.
func (p *process) onClose(closePart func()) { p.closers = append(p.closers, closePart) }

// close closes all components in the reverse order.
func (p *process) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// openBudget creates the budget of file descriptors for clients and backends. It first subtracts what other components need,
// and also opens those components that must be open to know their need.
func (p *process) openBudget() error {
	limit := p.config.maxDescriptors
	if p.options.TLS != nil {
		limit -= tlsDescriptors
	}
	if p.config.adminAddress != "" {
		limit -= admin.MaxDescriptors
	}
	if p.options.Peers != nil {
		if err := p.options.Peers.bind(p.config); err != nil {
			return err
		}
		limit -= p.options.Peers.config.Descriptors()
	}
	if p.options.ControlPlane != nil {
		settings, err := openControlPlaneSettings(p.config, p.options.ControlPlane, p.clock, p.log)
		if err != nil {
			return err
		}
		p.settings = settings
		p.onClose(settings.stop)
		limit -= client.MaxDescriptors
	}
	signalShortage := func() {
		select {
		case p.shortage <- struct{}{}:
		default:
		}
	}
	p.budget = descriptors.New(limit, signalShortage)
	p.memory = memory.NewBudget(signalShortage)
	p.restart = &restartCoordinator{
		config:         p.config,
		socketPath:     restartSocketPath(p.config, p.log),
		maxDescriptors: limit,
		budget:         p.budget,
		memory:         p.memory,
		programPages:   memory.FindProgramPages(),
		servesTLS:      p.options.TLS != nil,
		clock:          p.clock,
		log:            p.log,
	}
	p.restart.setMemoryLimit()
	p.restart.releaseProgramPages()
	return nil
}

// openAdmin opens the admin address, if the configuration has one.
func (p *process) openAdmin() error {
	if p.config.adminAddress != "" {
		adminServer, err := admin.Start(p.config.adminAddress, p.restart.handleAdminCall, p.log)
		if err != nil {
			return fmt.Errorf("admin address: %w", err)
		}
		p.onClose(func() { _ = adminServer.Close() })
		p.adminAddress = adminServer.Address()
	}
	p.onClose(p.restart.close)
	return nil
}

// openCapture opens the capture. It must be called before the node creates its balancer, whose inputs are recorded.
func (p *process) openCapture() error {
	options := p.options.Capture
	if options == nil {
		return nil
	}
	session, err := openCapture(options, p.config.name, p.clock, p.log)
	if err != nil {
		return err
	}
	p.onClose(session.close)
	p.dumpCapture = session.dump
	session.recordDecider(&p.options)
	p.log.Info("capture started", "dir", options.Ring.Dir, "memory_mb", options.MemoryMB)
	return nil
}

// makeNode creates the node, the server and the links to peers, without starting any of them.
func (p *process) makeNode() error {
	p.watch = &discovery.Watch{
		Address:     p.config.discoveryAddress,
		Deployment:  p.config.deploymentNames,
		LocalSource: !p.config.deployment.BalancerConfig.PollEndpoints,
		Log:         p.log,
	}
	if cached := p.config.cachedEndpoints; cached != nil {
		p.watch.Version, p.watch.HasList = cached.Version, true
	}
	p.upstreamConfig = &upstream.Config{SetReportValue: config.SetReportValue, Budget: p.budget, Memory: p.memory, Log: p.log, TrustAfter: upstream.DefaultTrustAfter}
	p.applyDeployment(p.config.deployment)
	p.node = node.New(p.config.deployment, p.options.NewDecider, p.clock, p.upstreamConfig, p.watch.StartSession, p.log)
	p.watch.OnList, p.watch.OnFailure = p.node.EndpointsChanged, p.node.PollFailed
	p.server = server.New(p.node, p.config.deployment, p.clock, p.budget, p.log)
	p.server.LimitMemory(p.memory)
	p.server.ShareIDs(p.restart)
	if err := p.enableAdmission(); err != nil {
		return err
	}
	p.restart.node, p.restart.server, p.restart.upstreamConfig = p.node, p.server, p.upstreamConfig
	if p.options.Peers != nil {
		p.peers = peers.New(p.options.Peers.config, p.clock, p.node.TakeOver, p.log)
		p.node.SetRequestLog(p.peers)
		p.server.LogRequests(p.options.Peers.requestLogging(p.peers))
	}
	return nil
}

// applyDeployment activates a deployment and applies its timeouts for connections to backends.
func (p *process) applyDeployment(deployment *config.Deployment) {
	p.deployment.Store(deployment)
	p.upstreamConfig.ConnectTimeout.Set(clock.Duration(deployment.ConnectTimeout))
	p.upstreamConfig.IdleTimeout.Set(clock.Duration(idleConnectionShare * deployment.ConnectionIdleTimeout))
}

// enableAdmission limits clients' connections by address during a shortage of descriptors, if there is a file of admission
// limits.
func (p *process) enableAdmission() error {
	if p.options.AdmissionFile == "" {
		return nil
	}
	limits, err := ReadAdmission(p.options.AdmissionFile)
	if err != nil {
		return err
	}
	p.server.EnableAdmission(*limits, func(underPressure bool) {
		if underPressure {
			p.log.Warn("file descriptors are running out, limiting connections by client address")
		} else {
			p.log.Info("file descriptor shortage ended")
		}
	})
	return nil
}

// connectPredecessor connects to the predecessor process, if there is one, and restores its state.
func (p *process) connectPredecessor(ctx context.Context) {
	if state := p.restart.connect(ctx); state != nil {
		p.restart.restore(state)
		if state.List.Endpoints != nil {
			p.config.cachedEndpoints = &state.List
			p.watch.Version, p.watch.HasList = state.List.Version, true
		}
	}
	p.server.SetOutOfService(p.options.OutOfService)
}

// serveTLS opens the TLS listener and the certificate store, if the node serves TLS. Certificates are renewed until lifetime
// is done; endLifetime cancels it.
func (p *process) serveTLS(lifetime context.Context, endLifetime func()) error {
	if p.options.TLS == nil {
		return nil
	}
	wait, err := p.openTLS(lifetime)
	if err != nil {
		return err
	}
	p.onClose(func() {
		endLifetime()
		wait()
	})
	return nil
}

// startNode starts the watch and the node. If there is a predecessor, which continues to serve, startNode waits until the node
// has an endpoint list; isReady is false if ctx is done before that. Without a predecessor it does not wait, because no other
// process serves the clients.
func (p *process) startNode(ctx, lifetime context.Context) (isReady bool) {
	p.watch.Start(lifetime)
	p.node.Start(p.config.cachedEndpoints)
	if !p.restart.hasPredecessor() {
		return true
	}
	p.node.ProcessesChanged(2)
	select {
	case <-p.node.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}

// listen starts the links to peers and opens the clients' address and the control socket.
func (p *process) listen() error {
	if p.peers != nil {
		p.peers.Start()
		p.onClose(p.peers.Stop)
	}
	reusePort := p.config.adminAddress != "" // a successor may listen there as well
	if err := p.server.Listen(p.config.address, reusePort); err != nil {
		return err
	}
	if p.options.ControlSocket == "" {
		return nil
	}
	controlSocket, err := p.openControlSocket(p.clock.Now())
	if err != nil {
		return err
	}
	p.onClose(func() { _ = controlSocket.Close() })
	return nil
}

// beginServing starts to serve clients. The returned channel receives the error with which the server ends.
func (p *process) beginServing(lifetime context.Context) <-chan error {
	go p.freeDescriptors(lifetime)
	go p.restart.followMemory(lifetime)
	p.log.Info("serving", "name", p.config.name, "address", p.server.Address(), "control", p.adminAddress, "version", p.options.Version)
	ended := make(chan error, 1)
	go func() { ended <- p.server.Serve() }()
	p.restart.beginServing()
	if p.settings != nil {
		p.settings.client.Start()
	}
	return ended
}

// freeDescriptors closes idle connections at each shortage of descriptors or memory, and repeats that while clients wait for it.
func (p *process) freeDescriptors(ctx context.Context) {
	for {
		var again <-chan time.Time
		if p.budget.HasWaitingClient() || p.memory.HasWaitingConnection() || p.memory.Excess() != (memory.Limits{}) {
			again = time.After(shortageCheckInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-p.shortage:
		}
		if p.budget.ShouldCloseIdleBackends() {
			p.node.CloseIdleConnections()
		}
		p.server.CloseIdleConnections()
	}
}

// handleEvents starts a goroutine that handles SIGHUP, SIGUSR1 and updates from the control plane until the process is closed.
// It continues while the node drains, because even then an endpoint list from an address that is no longer configured must
// not be used.
func (p *process) handleEvents(lifetime context.Context, endLifetime func()) {
	var updates <-chan settingsUpdate
	if p.settings != nil {
		updates = p.settings.updates
	}
	reconfigure := func(deployment *config.Deployment) error { return p.reconfigure(lifetime, deployment) }
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-lifetime.Done():
				return
			case update := <-updates:
				update.result <- p.settings.activate(update, reconfigure)
			case <-p.reload:
				p.config.reload(p.watch.SetAddress, reconfigure, p.log)
				p.reloadAdmission()
			case <-p.dumps:
				go p.logDump() // the disk may be slow
			}
		}
	})
	p.onClose(func() {
		endLifetime()
		running.Wait()
	})
}

// reconfigure activates a deployment. The node's actor decides whether that is possible; if it returns an error, nothing has
// changed.
func (p *process) reconfigure(ctx context.Context, deployment *config.Deployment) error {
	if err := p.node.Reconfigure(ctx, deployment); err != nil {
		return err
	}
	p.server.Reconfigure(deployment)
	p.applyDeployment(deployment)
	return nil
}

// reloadAdmission reads the file of admission limits again. After an error the previous limits stay active.
func (p *process) reloadAdmission() {
	if p.options.AdmissionFile == "" {
		return
	}
	limits, err := ReadAdmission(p.options.AdmissionFile)
	if err != nil {
		p.log.Error("reloading admission limits failed, keeping the previous ones", "error", err)
		return
	}
	p.server.SetAdmissionLimits(*limits)
}

// logDump writes the capture in memory to a file and logs the file's name.
func (p *process) logDump() {
	name, err := p.dumpCapture()
	if err != nil {
		p.log.Error("writing the capture failed", "error", err)
		return
	}
	p.log.Info("capture written", "file", name)
}
