package serve

import (
	"context"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/hotrestart"
)

// A node that gets SIGTERM may be killed (SIGKILL) after the longest deadline of a class, of which at most 3 s count, and
// another 0.7 s: after at most 3.7 s in all. A request that is open at SIGTERM must have its response by then. This is a
// contract with operators (docs/oncall.md, "Node told to end"; docs/operations.md).
const (
	// maxDeadlineMs bounds the part of the longest deadline that counts for the contract.
	maxDeadlineMs = 3000.0

	// killGraceMs is the additional time that the contract allows.
	killGraceMs = 700.0

	// drainMarginMs is the part of that time that is reserved for writing the last responses and for the process to exit.
	drainMarginMs = 300.0

	// finalPhaseMs is the last part of the drain, in which the node no longer waits for new requests and answers the requests
	// that arrived last: most need less time, and none is open longer than its deadline. Before that the node continues to
	// serve, so that a node whose requests are all short does not end before the load balancer in front has noticed that the
	// health check fails.
	finalPhaseMs = 700.0

	// After the node's drain the server has serverMarginMs to write the last responses. In a handoff it has
	// handoffMarginMs, so that responses that are still being streamed get nearly all of the remaining time.
	serverMarginMs  = drainMarginMs / 3
	handoffMarginMs = drainMarginMs * 2 / 3

	// Clients that still wait for something that other nodes know get their answers within waitsMarginMs after the node's drain.
	waitsMarginMs = serverMarginMs / 2
)

// drain answers all open requests and stops the node. lifetime is the context of the node's components, which continue to run
// meanwhile.
func (p *process) drain(lifetime context.Context) {
	longestRequest := min(p.deployment.Load().MaxDeadline, maxDeadlineMs)
	within := longestRequest + killGraceMs - drainMarginMs
	p.log.Info("draining", "within_ms", within)
	startedAt := p.clock.Now()
	p.node.Drain(startedAt + within)
	p.server.EndWaitsAt(startedAt + within + waitsMarginMs)
	if p.peers != nil {
		p.peers.Shutdown()
	}
	serverDeadline, cancel := context.WithTimeout(lifetime, clock.Duration(within+serverMarginMs))
	defer cancel()
	successor := p.serveUntilQuiet(clock.Duration(within - min(finalPhaseMs, longestRequest)))
	var unanswered int64
	if successor == nil {
		unanswered = p.server.Drain(serverDeadline)
	} else {
		p.log.Info("handing off to the successor process")
		untilEnd := startedAt + within + handoffMarginMs - p.clock.Now()
		handoffDeadline, cancel := context.WithTimeout(lifetime, clock.Duration(untilEnd))
		defer cancel()
		go p.restart.releaseDescriptors(handoffDeadline, successor)
		p.server.PassResponses(&responsePasser{link: successor})
		unanswered = p.server.DrainForHandoff(handoffDeadline)
	}
	p.budget.Close()
	p.node.Stop()
	p.log.Info("node stopped", "unanswered", unanswered, "passed_responses", p.server.PassedResponses())
}

// serveUntilQuiet serves while clients connect, for maxWait at most, and returns the successor that serves in place of this
// process, or nil. A successor may become ready during this time; closing the listener without handing off to it would lose
// the connections in this process's queue.
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
