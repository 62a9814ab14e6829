package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/upstream"
)

// A node drains while requests with later deadlines than the drain's are queued, for capacity or in order. Each must be
// rejected as soon as it can't be served in time. The failure was that they stayed queued until the node stopped and then
// failed, although nothing of them had been sent.
func TestQueuedRequestsAreRejectedByDrain(t *testing.T) {
	for name, ordered := range map[string]bool{"for capacity": false, "in order": true} {
		silent := startSilentBackend(t)
		c, log := clock.New(), slog.New(slog.DiscardHandler)
		deployment := &config.Deployment{BalancerConfig: &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, OverloadMultiple: 3, OverloadWindow: 1000, SendRetryAfter: true,
			MaxRetryAfter: 2000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1, Ordered: ordered}}}}
		upstreamConfig := &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}
		upstreamConfig.ConnectTimeout.Set(time.Second)
		upstreamConfig.IdleTimeout.Set(time.Minute)
		n := New(deployment, NewBalancer, c, upstreamConfig, func() {}, log)
		n.Start(&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: silent.address, State: balancer.BackendReady, Weight: 1}}})
		var requests []*Request
		inFlight := 4 // the limit at a backend without any measurements yet
		if ordered {
			inFlight = 1
		}
		for range 8 {
			request := newTestRequest(c, 0)
			request.CostHint, request.HasCostHint, request.Key = 1, true, 7
			n.Submit(request)
			requests = append(requests, request)
		}
		for range inFlight {
			<-silent.accepted
		}
		deadline := c.Now() + 400
		n.Drain(deadline)
		for _, request := range requests[inFlight:] {
			answer := <-request.Answer()
			assert.Equal(t, Rejected, answer.Status, name)
			assert.Less(t, c.Now(), deadline+drainGraceMs, "%s: must not stay queued until the node stops", name)
		}
		n.Stop()
	}
}

// The balancer panics before there is an endpoint list. Restarting it must not create an empty list, which would make the
// node ready. The version of an existing list must not be lost either.
func TestBalancerPanicCreatesNoEndpointList(t *testing.T) {
	c, log := clock.New(), slog.New(slog.DiscardHandler)
	deployment := &config.Deployment{BalancerConfig: &balancer.Config{Seed: 1, Nodes: 1, PollEndpoints: true, Classes: []balancer.Class{{LatencyObjective: 1}}}}
	n := New(deployment, NewBalancer, c, &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}, func() {}, log)
	n.Start(nil)
	defer n.Stop()
	statusAfterPanic := func() Status {
		n.mailbox.Put(func() { panic("fault") })
		status, err := n.Status(t.Context())
		assert.NoError(t, err)
		return status
	}
	assert.False(t, statusAfterPanic().Ready)
	n.EndpointsChanged(&discovery.List{Version: 7, Complete: true})
	assert.Equal(t, Status{Ready: true, Version: 7, Digest: discovery.Digest(nil)}, statusAfterPanic())
}

// The client of a logged request disconnects. If an attempt has started, the request continues, so that a client that
// sends its key gets the outcome. A request that is still queued must not be sent any more; the failure was that it was.
func TestLoggedRequestWhenClientDisconnects(t *testing.T) {
	silent := startSilentBackend(t)
	n, c := startNode(t, silent.address)
	var inFlight []*Request
	for range 4 {
		request := newTestRequest(c, 0)
		request.CostHint, request.HasCostHint = 1, true
		n.Submit(request)
		inFlight = append(inFlight, request)
		_, err := (<-silent.accepted).Read(make([]byte, 1))
		assert.NoError(t, err) // the attempt has started
	}
	queued := newTestRequest(c, 0)
	queued.CostHint, queued.HasCostHint, queued.Logged = 1, true, &LoggedRequest{IdempotencyKey: "a"}
	n.Submit(queued)
	n.Cancel(queued)
	open := make(chan int)
	n.mailbox.Put(func() {
		for _, request := range inFlight {
			request.Logged = &LoggedRequest{IdempotencyKey: "b"}
		}
	})
	n.Cancel(inFlight[0])
	n.mailbox.Put(func() { open <- len(n.requests) })
	assert.Equal(t, 4, <-open, "requests with an attempt continue, the queued one is removed")
	assert.Empty(t, inFlight[0].Answer())
	n.mailbox.Put(func() {
		for _, request := range inFlight {
			request.Logged = nil
		}
	})
	n.Cancel(inFlight[0]) // frees capacity, which the queued request must not use
	n.mailbox.Put(func() {
		assert.Empty(t, queued.Attempts)
		open <- 0
	})
	<-open
	for _, request := range inFlight[1:] {
		n.Cancel(request)
	}
}

// Requests arrive after the node has started to drain, from clients that have no other node yet. Each is answered by the
// drain's deadline, even if its own is later, and does not stay queued until the node stops. An at-most-once request is
// sent once.
func TestRequestsSubmittedDuringDrain(t *testing.T) {
	silent := startSilentBackend(t)
	n, c := startNode(t, silent.address)
	deadline := c.Now() + 300
	n.Drain(deadline)
	idempotent, atMostOnce := newTestRequest(c, 0), newTestRequest(c, 1)
	for _, request := range []*Request{idempotent, atMostOnce} {
		request.CostHint, request.HasCostHint = 1, true
	}
	n.Submit(idempotent)
	n.Submit(atMostOnce)
	assert.Equal(t, Rejected, (<-idempotent.Answer()).Status)
	assert.Equal(t, Failed, (<-atMostOnce.Answer()).Status)
	assert.Less(t, c.Now(), deadline+drainGraceMs)
	assert.Len(t, silent.accepted, 2, "one attempt for each request")
}

// The balancer panics with an attempt in flight, and the node drains with another: each connection must close and
// return its file descriptor to the budget.
func TestPanicAndDrainReturnDescriptors(t *testing.T) {
	silent := startSilentBackend(t)
	n, c := startNode(t, silent.address)
	budget := n.upstreamConfig.Budget
	before := budget.Used()
	for _, event := range []func(){func() { n.mailbox.Put(func() { panic("fault") }) }, func() { n.Drain(c.Now()) }} {
		request := newTestRequest(c, 0)
		n.Submit(request)
		conn := <-silent.accepted
		_, err := conn.Read(make([]byte, 4096)) // the attempt has started
		assert.NoError(t, err)
		assert.Equal(t, before+1, budget.Used())
		event()
		<-request.Answer()
		for err == nil {
			_, err = conn.Read(make([]byte, 4096))
		}
		assert.Eventually(t, func() bool { return budget.Used() == before }, 10*time.Second, time.Millisecond)
	}
}
