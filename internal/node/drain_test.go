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

// A node drains while requests are queued, for room or for their turn, with deadlines beyond the drain's. Once they
// were left until the node's end and then failed, though nothing of them was ever sent. Each must be rejected as soon
// as it can't be served in time.
func TestQueuedRequestsAreRejectedByDrain(t *testing.T) {
	for name, ordered := range map[string]bool{"for room": false, "for its turn": true} {
		silent := startSilentBackend(t)
		c, log := clock.New(), slog.New(slog.DiscardHandler)
		deployment := &config.Deployment{BalancerConfig: &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, OverloadMultiple: 3, OverloadWindow: 1000, SendRetryAfter: true,
			MaxRetryAfter: 2000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1, Ordered: ordered}}}}
		peers := &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}
		peers.ConnectTimeout.Set(time.Second)
		peers.IdleTimeout.Set(time.Minute)
		n := New(deployment, NewBalancer, c, peers, func() {}, log)
		n.Start(&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: silent.address, State: balancer.BackendReady, Weight: 1}}})
		var requests []*Request
		inFlight := 4 // the limit at a backend of which the node knows nothing yet
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
			assert.Less(t, c.Now(), deadline+drainGraceMs, "%s: not left until the node's end", name)
		}
		n.Stop()
	}
}

// The balancer panics before there is any endpoint list. Restarting it once made an empty list of that, by which the
// node became ready. The version of a list that is there must not get lost either.
func TestBalancerPanicMakesNoEndpointList(t *testing.T) {
	c, log := clock.New(), slog.New(slog.DiscardHandler)
	deployment := &config.Deployment{BalancerConfig: &balancer.Config{Seed: 1, Nodes: 1, PollEndpoints: true, Classes: []balancer.Class{{LatencyObjective: 1}}}}
	n := New(deployment, NewBalancer, c, &upstream.Config{Budget: descriptors.New(64, func() {}), Log: log}, func() {}, log)
	n.Start(nil)
	defer n.Stop()
	panicAndLook := func() Status {
		n.mailbox.Put(func() { panic("fault") })
		status, err := n.Status(t.Context())
		assert.NoError(t, err)
		return status
	}
	assert.False(t, panicAndLook().Ready)
	n.EndpointsChanged(&discovery.List{Version: 7, Complete: true})
	assert.Equal(t, Status{Ready: true, Version: 7, Digest: discovery.Digest(nil)}, panicAndLook())
}

// The client of a logged request leaves. With an attempt begun the request continues, so that whoever asks with its key
// gets the outcome. One that is still queued must not be sent any more; once it was.
func TestLoggedRequestWhoseClientLeaves(t *testing.T) {
	silent := startSilentBackend(t)
	n, c := startNode(t, silent.address)
	var inFlight []*Request
	for range 4 {
		request := newTestRequest(c, 0)
		request.CostHint, request.HasCostHint = 1, true
		n.Submit(request)
		inFlight = append(inFlight, request)
		_, err := (<-silent.accepted).Read(make([]byte, 1))
		assert.NoError(t, err) // the attempt has begun
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
	assert.Equal(t, 4, <-open, "requests with an attempt continue, the queued one is gone")
	assert.Empty(t, inFlight[0].Answer())
	n.mailbox.Put(func() {
		for _, request := range inFlight {
			request.Logged = nil
		}
	})
	n.Cancel(inFlight[0]) // makes room, which the queued request must not take
	n.mailbox.Put(func() {
		assert.Empty(t, queued.Attempts)
		open <- 0
	})
	<-open
	for _, request := range inFlight[1:] {
		n.Cancel(request)
	}
}

// Requests come after the node began to drain, from clients that have no other node yet. Each is answered by the drain's
// deadline, whatever its own is, and not left until the node's end. One that must run at most once is sent once.
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
	assert.Len(t, silent.accepted, 2, "an attempt each")
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
		_, err := conn.Read(make([]byte, 4096)) // the attempt has begun
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
