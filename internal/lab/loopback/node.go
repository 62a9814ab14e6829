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
	operatorCallTimeout  = time.Second
	hotRestartTimeout    = 6 * time.Second // until a process that takes over from another one is ready
	gracefulStopTimeout  = 5 * time.Second // after SIGTERM; then the process is killed
	diedAtWhileAlive     = -1.0
	successorPollTimeout = time.Second
)

// node is one node: a process of the program, or two during a hot restart.
type node struct {
	monitor   *monitor
	discovery *discoveryServer
	number    int
	zone      int
	dir       string   // for its files
	command   []string // that starts its process; --config FILE is added
	arguments []string // more of them

	address          string
	tlsAddress       string // "" without TLS
	operatorAddress  string // of the admin calls; "" without any
	discoveryAddress string // its own endpoint of the discovery service
	tempDir          string // TMPDIR of its processes, which a hot restart shares; "" is the machine's

	incarnation   int         // counts its processes from 1
	reportFailure func(error) // told of a process that ended by itself

	mu      sync.Mutex
	process *process // the latest
	ready   bool
	diedAt  float64       // ms, or diedAtWhileAlive
	cpu     time.Duration // of its processes that have ended
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.number) }

func (n *node) file(suffix string) string { return filepath.Join(n.dir, n.name()+suffix) }

// start starts a process with the endpoint list as it was at a time, and waits until it is ready.
func (n *node) start(listAt float64) error {
	p, err := n.startProcess(listAt)
	if err != nil {
		return err
	}
	n.mu.Lock()
	former := n.process
	n.process = p
	n.mu.Unlock()
	go n.waitForEnd(p)
	if former != nil && !former.hasEnded() {
		return n.waitUntilTakenOver(p)
	}
	return n.waitUntilReady(p)
}

// waitForEnd waits for the end of a process, which is a failure unless the testbed caused it.
func (n *node) waitForEnd(p *process) {
	err := p.wait()
	n.mu.Lock()
	isLatest, isExpected := n.process == p, p.endExpected
	if isLatest { // otherwise another one goes on as this node
		n.ready, n.diedAt = false, n.monitor.now()
	}
	n.cpu += p.cpu()
	n.mu.Unlock()
	if isExpected && isLatest {
		n.monitor.recordEvent(invariants.Event{Kind: invariants.NodeKilled, Node: n.number})
	}
	close(p.ended)
	if !isExpected {
		n.reportFailure(fmt.Errorf("node %d ended by itself: %w, see %s", n.number, err, p.logName()))
	}
}

// waitUntilReady waits until a process that has no predecessor serves.
func (n *node) waitUntilReady(p *process) error {
	client := newHealthClient()
	for begun := time.Now(); time.Since(begun) < readyTimeout; {
		if n.isHealthy(client) {
			n.mu.Lock()
			n.ready, n.diedAt = true, diedAtWhileAlive
			n.mu.Unlock()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("node %d ended before it was ready", n.number)
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("node %d not ready within %v", n.number, readyTimeout)
}

// waitUntilTakenOver waits until a process has taken over from its predecessor. It asks at the operators' address, which is the
// process's own: the health of the node is the predecessor's until then.
func (n *node) waitUntilTakenOver(p *process) error {
	for begun := time.Now(); time.Since(begun) < hotRestartTimeout; {
		ctx, cancel := context.WithTimeout(context.Background(), successorPollTimeout)
		_, isHealthy, err := admin.SendLine(ctx, n.operatorAddress, "health")
		cancel()
		if err == nil && isHealthy {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("node %d: its next process ended before it was ready", n.number)
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("node %d: its next process not ready within %v", n.number, hotRestartTimeout)
}

// upgrade is a hot restart: it starts the next process beside the current one, and ends that one once the next has taken over.
func (n *node) upgrade() error {
	n.mu.Lock()
	former := n.process
	n.mu.Unlock()
	var err error
	if n.operatorAddress, err = unusedAddress(n.monitor.ip); err != nil {
		return err
	}
	if err := n.start(n.monitor.now()); err != nil {
		return err
	}
	n.mu.Lock()
	former.endExpected = true
	n.mu.Unlock()
	_ = former.signal(syscall.SIGTERM)
	select {
	case <-former.ended:
		return nil
	case <-time.After(gracefulStopTimeout):
		return fmt.Errorf("node %d: its former process did not end within %v", n.number, gracefulStopTimeout)
	}
}

// callOperator makes an operator's call, and returns an error unless the node confirms it.
func (n *node) callOperator(line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer cancel()
	reply, confirmed, err := admin.SendLine(ctx, n.operatorAddress, line)
	if err == nil && !confirmed {
		err = errors.New(reply)
	}
	if err != nil {
		return fmt.Errorf("node %d: %s: %w", n.number, line, err)
	}
	return nil
}

// setQuiesced has the node send its clients to other nodes, or take them again. Clients follow at once.
func (n *node) setQuiesced(quiesced bool) error {
	call := "resume"
	if quiesced {
		call = "quiesce"
	}
	if err := n.callOperator(call); err != nil {
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

// followHealth checks the health of an external node, as the clients' load balancer does, until the context ends.
func (n *node) followHealth(ctx context.Context) {
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

// kill kills the node's process, and waits until it has ended.
func (n *node) kill() { n.stop(syscall.SIGKILL, 0) }

// stop sends a signal to the node's process, kills it if it doesn't end within a time, and waits until it has ended.
func (n *node) stop(signal syscall.Signal, timeout time.Duration) {
	n.mu.Lock()
	p := n.process
	if p != nil {
		p.endExpected = true
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.signal(signal)
	if timeout > 0 {
		select {
		case <-p.ended:
			return
		case <-time.After(timeout):
			_ = p.signal(syscall.SIGKILL)
		}
	}
	<-p.ended
}

// expectEnd notes that the node's process may end from now on.
func (n *node) expectEnd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.endExpected = true
	}
}

// isBelievedAlive reports whether clients may be sent to the node: it is ready, or is dead and nobody has noticed yet.
func (n *node) isBelievedAlive(now float64) bool {
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
