package serve

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pearknot/internal/acme"
	"pearknot/internal/admin"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/node"
	"pearknot/internal/peers"
	"pearknot/internal/server"
	"pearknot/internal/upstream"
)

const (
	// A node that was told to end is killed no sooner than the longest TTL, longestWait at most, and killAfter
	// later; margin is kept for the last answers' way.
	longestWait = 3000.0 // ms
	killAfter   = 700.0
	margin      = 300.0
	lastOps     = 700.0 // of that time at most, for the ops taken last: most are answered sooner, and none takes longer than a TTL

	shedEvery   = 100 * time.Millisecond // while clients wait for a descriptor
	idleShare   = 0.8                    // of the time after which a backend closes idle connections
	memoryShare = 0.7                    // of the limit, for the collector; the rest holds stacks and what the kernel books
)

// Options are how a node is run; zero is a node that stands alone.
type Options struct {
	Decide  node.NewDecider // makes its decision module
	Version string
	Control string               // path of its control socket; none is served where empty
	Held    bool                 // out of service until the control socket says otherwise
	Token   string               // that the control socket answers with
	Epoch   uint64               // the agent's count of its restarts
	Capture *Capture             // where all that the module is told goes; nil is nowhere
	TLS     *TLS                 // nil is none
	Edge    string               // file of admission; all clients are let in where empty
	Peers   *Peers               // nil shares nothing
	Plane   *client.ControlPlane // the control plane that it follows; nil is none
}

// Hear has SIGHUP wait for Run, from before the configuration is read: one that nobody heard would end the process. One that
// waits stands for all that come meanwhile.
func Hear() (again chan os.Signal) {
	again = make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	return again
}

// Run runs a node until ctx, which SIGTERM has to end from before the configuration is read, too; again is Hear's.
func Run(ctx context.Context, again chan os.Signal, p *Config, o Options, log *slog.Logger) error {
	defer signal.Stop(again)
	if ctx.Err() != nil { // told to end before it was there
		return nil
	}
	if o.TLS == nil && p.tls != "" {
		var err error
		if o.TLS, err = ReadTLS(p.tls); err != nil {
			return err
		}
	}
	o.Edge = cmp.Or(o.Edge, p.edge)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.cores))))
	now, pressed := clock.New(), make(chan struct{}, 1)
	dumps := make(chan os.Signal, 1)
	if o.Capture != nil && o.Capture.MemoryMB > 0 { // else it ends the process, as it always did
		signal.Notify(dumps, syscall.SIGUSR1)
		defer signal.Stop(dumps)
	}
	limit := p.sockets
	if o.TLS != nil {
		limit -= tlsReserve
	}
	if p.control != "" {
		limit -= admin.MaxDescriptors
	}
	if o.Peers != nil {
		if err := o.Peers.fits(p); err != nil {
			return err
		}
		limit -= o.Peers.terms.Descriptors()
	}
	var settings *shared
	var asks chan ask
	if o.Plane != nil {
		var err error
		if settings, err = openShared(p, o.Plane, now, log); err != nil {
			return err
		}
		asks = settings.asks
		defer settings.stop()
		limit -= client.MaxDescriptors
	}
	budget := descriptors.New(limit, func() {
		select {
		case pressed <- struct{}{}:
		default:
		}
	})
	both := &pair{place: p, path: handoverPath(p, log), limit: limit, budget: budget, clock: now, log: log}
	both.remember(1)
	second := ""
	if p.control != "" {
		c, err := admin.Start(p.control, both.call, log)
		if err != nil {
			return fmt.Errorf("second address: %w", err)
		}
		defer c.Close()
		second = c.Address()
	}
	defer both.close()
	watch := &discovery.Watch{Address: p.discovery, Deployment: p.names, LocalSource: !p.told.Balancer.PollEndpoints, Log: log}
	if p.known != nil {
		watch.Version, watch.HasList = p.known.Version, true
	}
	var dump func() (string, error)
	if o.Capture != nil {
		var end func()
		var err error
		if end, dump, err = captured(p, &o, now, log); err != nil {
			return err
		}
		defer end()
	}
	backends := &upstream.Config{SetReportValue: config.SetReportValue, Budget: budget, Log: log}
	var told atomic.Pointer[config.Deployment]
	retime := func(d *config.Deployment) {
		told.Store(d)
		backends.ConnectTimeout.Set(clock.Duration(d.ConnectTimeout))
		backends.IdleTimeout.Set(clock.Duration(idleShare * d.ConnectionIdleTimeout))
	}
	retime(p.told)
	n := node.New(p.told, o.Decide, now, backends, watch.Poll, log)
	watch.OnList, watch.OnFailure = n.EndpointsChanged, n.PollFailed
	f := server.New(n, p.told, now, budget, log)
	if o.Edge != "" {
		limits, err := ReadEdge(o.Edge)
		if err != nil {
			return err
		}
		f.EnableAdmission(*limits, func(pressed bool) {
			if pressed {
				log.Warn("descriptors run short: clients are chosen among")
			} else {
				log.Info("descriptors suffice again")
			}
		})
	}
	both.node, both.front = n, f
	var links *peers.Peers
	if o.Peers != nil {
		links = peers.New(o.Peers.terms, now, n.TakeOver, log)
		n.LogRequests(links)
		f.LogRequests(o.Peers.keep(links))
	}
	if before := both.follow(ctx); before != nil {
		both.learn(before)
		if before.List.Endpoints != nil {
			p.known = &before.List
			watch.Version, watch.HasList = before.List.Version, true
		}
	}
	f.SetOutOfService(o.Held)
	over, end := context.WithCancel(context.Background())
	defer end()
	var certificates *acme.Instance
	if o.TLS != nil {
		var wait func()
		var err error
		if certificates, wait, err = secured(over, p, o.TLS, f, log); err != nil {
			return err
		}
		defer func() { end(); wait() }()
	}
	watch.Start(over)
	n.Start(p.known)
	if both.before != nil {
		n.ProcessesChanged(2)
		select { // the one before serves on until this one can
		case <-n.Ready():
		case <-ctx.Done():
			return nil
		}
	}
	if links != nil {
		links.Start()
		defer links.Stop()
	}
	if err := f.Listen(p.listen, p.control != ""); err != nil {
		return err
	}
	if o.Control != "" {
		c, err := openControl(p, o, n, f, dump, certificates, links, settings, now.Now(), log)
		if err != nil {
			return err
		}
		defer c.Close()
	}
	go shed(over, budget, pressed, n.CloseIdleConnections, f.CloseIdleConnections)
	log.Info("serving", "name", p.name, "address", f.Address(), "control", second, "version", o.Version)
	failed := make(chan error, 1)
	go func() { failed <- f.Serve() }()
	both.begin()
	retune := func(d *config.Deployment) error {
		if err := n.Reconfigure(over, d); err != nil {
			return err
		}
		f.Reconfigure(d)
		retime(d)
		return nil
	}
	if settings != nil {
		settings.client.Start()
	}
	var heeding sync.WaitGroup
	defer func() { end(); heeding.Wait() }()
	heeding.Go(func() { // through the drain, too: what a list that is followed no more would tell counts all the same
		for {
			select {
			case <-over.Done():
				return
			case a := <-asks:
				a.told <- settings.take(a, retune)
			case <-again:
				p.reread(watch.SetAddress, retune, log)
				if o.Edge != "" {
					if limits, err := ReadEdge(o.Edge); err != nil {
						log.Error("new limits of clients not taken, the old ones hold", "error", err)
					} else {
						f.SetAdmissionLimits(*limits)
					}
				}
			case <-dumps:
				go func() { // the disk may be slow
					if name, err := dump(); err != nil {
						log.Error("capture not written out", "error", err)
					} else {
						log.Info("capture written out", "file", name)
					}
				}()
			}
		}
	})
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	longest := min(told.Load().MaxDeadline, longestWait)
	left := longest + killAfter - margin
	log.Info("draining", "within_ms", left)
	began := now.Now()
	n.Drain(began + left)
	if links != nil {
		links.Shutdown()
	}
	last, cancel := context.WithTimeout(over, clock.Duration(left+margin/3))
	defer cancel()
	var unanswered int64
	next := both.succeeded()
	if next == nil {
		// By lastOps alone a node whose ops are all short would end before clients have heard of its end. A process that follows may
		// be ready only now: closing the listener beside it would lose what the kernel has put in the queue here.
		f.ServeUntilQuiet(clock.Duration(left-min(lastOps, longest)), func() bool {
			next = both.succeeded()
			return next != nil
		})
	}
	if next != nil {
		log.Info("handing over to the next process")
		whole, cancel := context.WithTimeout(over, clock.Duration(began+left+margin*2/3-now.Now())) // what streams has all the time there is
		defer cancel()
		go both.giveBack(whole, next)
		unanswered = f.DrainForHandoff(whole)
	} else {
		unanswered = f.Drain(last)
	}
	budget.Close()
	n.Stop()
	log.Info("ended", "unanswered", unanswered)
	return nil
}

// shed frees descriptors whenever they run out, and goes on while clients wait.
func shed(ctx context.Context, budget *descriptors.Budget, pressed <-chan struct{}, backends, clients func()) {
	for {
		var again <-chan time.Time
		if budget.HasWaitingClient() {
			again = time.After(shedEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-pressed:
		}
		if budget.ShouldCloseIdleBackends() {
			backends()
		}
		clients()
	}
}
