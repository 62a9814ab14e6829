package serve

import (
	"context"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/hotrestart"
)

// A node that was told to end is killed no sooner than killDelayMs after the longest time to live of a request, of which
// maxRequestWaitMs counts at most. drainMarginMs of that is kept for the last responses' way.
const (
	maxRequestWaitMs = 3000.0
	killDelayMs      = 700.0
	drainMarginMs    = 300.0

	// lastRequestMs is kept of the drain for the requests that come last: most are answered sooner, and none takes longer
	// than its time to live. Without it a node whose requests are all short would end before clients have heard that it
	// ends.
	lastRequestMs = 700.0

	// The server may take a part of the margin beyond the node's drain, and more in a handoff: streamed responses have
	// all the time there is.
	serverMarginMs  = drainMarginMs / 3
	handoffMarginMs = drainMarginMs * 2 / 3
)

// drain answers all open requests and ends the node.
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
