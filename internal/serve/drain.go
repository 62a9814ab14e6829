package serve

import (
	"context"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/hotrestart"
)

// The contract with whoever ends a node (docs/oncall.md, "Node told to end"; docs/operations.md) is that after SIGTERM it
// has the longest deadline of a class, 3 s at most, and another 0.7 s, before SIGKILL may follow: 3.7 s in all. A request
// that is open at SIGTERM must have its response by then.
const (
	// maxRequestWaitMs is what of the longest deadline counts for the contract.
	maxRequestWaitMs = 3000.0

	// killDelayMs is the time that the contract gives beyond it.
	killDelayMs = 700.0

	// drainMarginMs is kept of that time for the last responses to be written and the process to exit.
	drainMarginMs = 300.0

	// lastRequestMs is the part of the drain in which the node no longer waits for new requests. The requests that came
	// last are answered in it: most need less, and none is open longer than its deadline. Before it the node goes on
	// serving, so that one whose requests are all short does not end before the load balancer in front has noticed that
	// the health check fails.
	lastRequestMs = 700.0

	// After the node's drain the server has serverMarginMs to write the last responses. In a handoff it has
	// handoffMarginMs, so that responses that are still being streamed get nearly all the time that there is.
	serverMarginMs  = drainMarginMs / 3
	handoffMarginMs = drainMarginMs * 2 / 3
)

// drain answers all open requests and stops the node. lifetime is the context of the node's parts, which run on meanwhile.
func (p *process) drain(lifetime context.Context) {
	longestRequest := min(p.deployment.Load().MaxDeadline, maxRequestWaitMs)
	within := longestRequest + killDelayMs - drainMarginMs
	p.log.Info("draining", "within_ms", within)
	startedAt := p.clock.Now()
	p.node.Drain(startedAt + within)
	if p.peers != nil {
		p.peers.Shutdown()
	}
	serverDeadline, cancel := context.WithTimeout(lifetime, clock.Duration(within+serverMarginMs))
	defer cancel()
	successor := p.serveUntilQuiet(clock.Duration(within - min(lastRequestMs, longestRequest)))
	var unanswered int64
	if successor == nil {
		unanswered = p.server.Drain(serverDeadline)
	} else {
		p.log.Info("handing off to the successor process")
		untilEnd := startedAt + within + handoffMarginMs - p.clock.Now()
		handoffDeadline, cancel := context.WithTimeout(lifetime, clock.Duration(untilEnd))
		defer cancel()
		go p.restart.releaseDescriptors(handoffDeadline, successor)
		unanswered = p.server.DrainForHandoff(handoffDeadline)
	}
	p.budget.Close()
	p.node.Stop()
	p.log.Info("node stopped", "unanswered", unanswered)
}

// serveUntilQuiet serves while clients come, for maxWait at most, and returns the successor that serves in this
// process's place, or nil. A successor may become ready only now; closing the listener without handing off to it would
// lose the connections in this process's queue.
func (p *process) serveUntilQuiet(maxWait time.Duration) *hotrestart.Link {
	successor := p.restart.readySuccessor()
	if successor != nil {
		return successor
	}
	p.server.ServeUntilQuiet(maxWait, func() bool {
		successor = p.restart.readySuccessor()
		return successor != nil
	})
	return successor
}
