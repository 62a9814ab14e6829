package loopback

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pearknot/internal/admin"
	"pearknot/internal/invariants"
)

const (
	healthCheckInterval  = 50 * time.Millisecond // of external nodes
	healthCheckTimeout   = time.Second
	readyPollInterval    = 5 * time.Millisecond
	readyTimeout         = 10 * time.Second
	adminCallTimeout     = time.Second
	hotRestartTimeout    = 6 * time.Second // until a process that takes over from another one is ready
	gracefulStopTimeout  = 5 * time.Second // from SIGTERM until the process is killed
	neverDied            = -1.0            // diedAt of a node that is alive
	successorPollTimeout = time.Second
)

// node represents one node: one process of the program, or two during a hot restart.
type node struct {
	monitor   *monitor
	discovery *discoveryServer
	number    int
	zone      int
	dir       string   // directory of its files
	command   []string // command that starts its process; --config FILE is appended
	arguments []string // further arguments

	address          string
	tlsAddress       string // "" without TLS
	adminAddress     string // of the admin calls; "" if the experiment has none
	discoveryAddress string // HTTP endpoint of the discovery service for this node
	tempDir          string // TMPDIR of its processes, shared in a hot restart; "" means the inherited one

	incarnation   int         // number of its latest process, from 1
	reportFailure func(error) // called when a process exits unexpectedly

	mu      sync.Mutex
	process *process // the latest one
	ready   bool
	diedAt  float64       // ms, or neverDied
	cpu     time.Duration // processor time of its processes that have exited
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.number) }

func (n *node) file(suffix string) string { return filepath.Join(n.dir, n.name()+suffix) }

// start starts a process with the endpoint list as of the given time, in ms, and waits until it is ready.
func (n *node) start(listAt float64) error {
	p, err := n.startProcess(listAt)
	if err != nil {
		return err
	}
	n.mu.Lock()
	predecessor := n.process
	n.process = p
	n.mu.Unlock()
	go n.waitForExit(p)
	if predecessor != nil && !predecessor.hasExited() {
		return n.waitForTakeover(p)
	}
	return n.waitUntilReady(p)
}

// waitForExit waits until a process exits. It reports a failure unless the testbed caused the exit.
func (n *node) waitForExit(p *process) {
	err := p.wait()
	n.mu.Lock()
	isLatest, exitExpected := n.process == p, p.exitExpected
	if isLatest { // otherwise its successor continues as this node
		n.ready, n.diedAt = false, n.monitor.now()
	}
	n.cpu += p.cpu()
	n.mu.Unlock()
	if exitExpected && isLatest {
		n.monitor.recordEvent(invariants.Event{Kind: invariants.NodeKilled, Node: n.number})
	}
	close(p.exited)
	if !exitExpected {
		n.reportFailure(fmt.Errorf("node %d exited unexpectedly: %w, see %s", n.number, err, p.logName()))
	}
}

// waitUntilReady waits until a process that has no predecessor is serving.
func (n *node) waitUntilReady(p *process) error {
	client := newHealthClient()
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; {
		if n.isHealthy(client) {
			n.mu.Lock()
			n.ready, n.diedAt = true, neverDied
			n.mu.Unlock()
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("node %d exited before it was ready", n.number)
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("node %d is not ready within %v", n.number, readyTimeout)
}

// waitForTakeover waits until a process has taken over from its predecessor. It queries the admin address, which each process has of
// its own: until the takeover, the predecessor answers the node's health checks.
func (n *node) waitForTakeover(p *process) error {
	for startedAt := time.Now(); time.Since(startedAt) < hotRestartTimeout; {
		ctx, cancel := context.WithTimeout(context.Background(), successorPollTimeout)
		_, isHealthy, err := admin.SendLine(ctx, n.adminAddress, "health")
		cancel()
		if err == nil && isHealthy {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("node %d: successor process exited before it was ready", n.number)
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("node %d: successor process is not ready within %v", n.number, hotRestartTimeout)
}

// upgrade does a hot restart: it starts a successor process, and stops the current one after the successor has taken over.
func (n *node) upgrade() error {
	n.mu.Lock()
	predecessor := n.process
	n.mu.Unlock()
	var err error
	if n.adminAddress, err = unusedAddress(n.monitor.ip); err != nil {
		return err
	}
	if err := n.start(n.monitor.now()); err != nil {
		return err
	}
	n.mu.Lock()
	predecessor.exitExpected = true
	n.mu.Unlock()
	_ = predecessor.signal(syscall.SIGTERM)
	select {
	case <-predecessor.exited:
		return nil
	case <-time.After(gracefulStopTimeout):
		return fmt.Errorf("node %d: predecessor process did not exit within %v", n.number, gracefulStopTimeout)
	}
}

// callAdmin makes an admin call, and returns an error unless the node confirms it.
func (n *node) callAdmin(line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminCallTimeout)
	defer cancel()
	reply, confirmed, err := admin.SendLine(ctx, n.adminAddress, line)
	if err == nil && !confirmed {
		err = errors.New(reply)
	}
	if err != nil {
		return fmt.Errorf("node %d: %s: %w", n.number, line, err)
	}
	return nil
}

// setQuiesced makes the node direct its clients to other nodes, or accept them again. The simulated clients comply at once.
func (n *node) setQuiesced(quiesced bool) error {
	call := "resume"
	if quiesced {
		call = "quiesce"
	}
	if err := n.callAdmin(call); err != nil {
		return err
	}
	n.mu.Lock()
	n.ready = !quiesced
	n.mu.Unlock()
	return nil
}

func newHealthClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: healthCheckTimeout}
}

func (n *node) isHealthy(client *http.Client) bool {
	response, err := client.Get("http://" + n.address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pollHealth checks the health of an external node, as the clients' load balancer does, until the context ends.
func (n *node) pollHealth(ctx context.Context) {
	client := newHealthClient()
	for ctx.Err() == nil {
		isHealthy := n.isHealthy(client)
		n.mu.Lock()
		if n.ready && !isHealthy {
			n.diedAt = n.monitor.now()
		}
		n.ready = isHealthy
		n.mu.Unlock()
		sleep(ctx, healthCheckInterval)
	}
}

// kill kills the node's process, and waits until it has exited.
func (n *node) kill() { n.stop(syscall.SIGKILL, 0) }

// stop sends a signal to the node's process, kills it if it doesn't exit within the timeout, and waits until it has exited. A timeout of
// 0 means no limit.
func (n *node) stop(signal syscall.Signal, timeout time.Duration) {
	n.mu.Lock()
	p := n.process
	if p != nil {
		p.exitExpected = true
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.signal(signal)
	if timeout > 0 {
		select {
		case <-p.exited:
			return
		case <-time.After(timeout):
			_ = p.signal(syscall.SIGKILL)
		}
	}
	<-p.exited
}

// expectExit marks the exit of the node's process as expected from now on.
func (n *node) expectExit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.exitExpected = true
	}
}

// isPresumedAlive reports whether clients still use the node: it is ready, or its death has not been detected yet.
func (n *node) isPresumedAlive(now float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hasDied := n.diedAt >= 0 && n.incarnation > 0
	return n.ready || hasDied && now < n.diedAt+n.monitor.experiment.Clients.DeadNodeMs
}

func (n *node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}
