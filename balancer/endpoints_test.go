package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The list is polled, again after failures with growing waits, and not once its changes are pushed.
func TestPollingTheEndpointList(t *testing.T) {
	config := testConfig()
	config.PollEndpoints = true
	h := &harness{t: t, now: 1000, requests: map[string]*Request{}, balancer: New(config, 1000)}
	assert.Empty(t, h.decisions(), "not in the first instant: nodes restarted together spread their calls")
	assert.Equal(t, "poll", h.advance(200).decisions())
	last := 0.0
	for range 4 {
		h.balancer.PollFailed(h.now)
		asked := h.now
		h.decisions()
		for h.advance(10).decisions() != "poll" {
			require.Less(t, h.now-asked, config.PollInterval)
		}
		assert.Greater(t, h.now-asked, last/2)
		last = h.now - asked
	}
	assert.Greater(t, last, 1000.0)
	// A list that stays away must not be asked ever more often: each failure sets the one time anew.
	asked := 0
	for until := h.now + 120e3; h.now < until; {
		if h.advance(10).decisions() == "poll" {
			asked++
			h.balancer.PollFailed(h.now)
		}
	}
	assert.InDelta(t, 120e3/maxPollBackoffMs, asked, 15)
	h.balancer.EndpointsChanged(h.now, nil, false, false)
	assert.Empty(t, h.advance(20e3).decisions())
}

// However many polls have failed and whatever the configuration says, the next one comes soon enough for its answer to be
// had 6 s after the latest failure, with 2.2 s for the answer and 0.2 s for the way.
func TestPollBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := testConfig()
		config.Seed, config.PollEndpoints = rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "poll endpoints")
		config.PollInterval = rapid.Float64Range(1, 3600e3).Draw(rt, "poll interval")
		h := &harness{t: t, now: 1000, requests: map[string]*Request{}, balancer: New(config, 1000)}
		for range rapid.IntRange(1, 40).Draw(rt, "failures") {
			h.balancer.PollFailed(h.now)
		}
		asked := false
		for failed := h.now; h.now <= failed+3600; h.advance(10) {
			asked = asked || h.decisions() == "poll"
		}
		require.True(rt, asked)
	})
}

// An empty list rejects at once; a list that flaps leaves the other backends in use.
func TestEmptyFullAndFlappingList(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.balancer.EndpointsChanged(h.now, nil, true, false)
	h.requestArrives("a", 0, 10)
	assert.Equal(t, "reject:a", h.decisions(), "no backend: at once")
	for range 3 {
		h.setState(BackendReady, 0, h.backends...)
		h.setState(BackendRemoved, 0, h.backends[0])
	}
	for k := range 4 {
		request := h.requestArrives(fmt.Sprint(k), 0, 10)
		h.decisions()
		assert.Equal(t, h.backends[1], request.Attempts[0].Backend)
		h.advance(10).endAttempt(request.Attempts[0], OutcomeAnswered)
	}
}

// A fleet that replaces its machines all day must not leave them in every decision's way. But what one was sent counts
// against its slow start budget when it comes back soon.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	p := h.sendShort(h.backends[1])
	h.setState(BackendRemoved, 0, h.backends[:2]...)
	require.Len(t, h.balancer.backends, 2, "one has an attempt in flight")
	require.False(t, h.backends[0].IsTracked())
	h.endAttempt(p, OutcomeAnswered)
	h.advance(h.balancer.config.OverloadWindow - 1).decisions()
	require.True(t, h.backends[1].IsTracked())
	h.advance(1)
	h.balancer.reviewBackends()
	require.Equal(t, h.backends[2:], h.balancer.backends)
	h.setState(BackendReady, 0, h.backends[0])
	require.Len(t, h.balancer.backends, 2)
}

// An operator takes a backend out of service. It counts as draining whatever the list says, also when it goes and comes
// back; put back it warms up, and nothing of its former process keeps it from being used.
func TestCordonedBackend(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	a, b := h.backends[0], h.backends[1]
	line := func(state BackendState, started float64, out bool) {
		h.balancer.EndpointsChanged(h.now, []Endpoint{{Backend: a, State: state, Weight: 1, Started: started, Cordoned: out}}, false, true)
	}
	h.balancer.addSuspicion(a, 5)
	h.decisions()
	a.pausedUntil, a.maxInFlight = h.now+1e6, 0.1
	require.GreaterOrEqual(t, h.balancer.suspicionOf(a), ejectionThreshold)
	line(BackendReady, 0, true)
	for _, listed := range []BackendState{BackendReady, BackendDraining, BackendRemoved, BackendReady} {
		line(listed, 0, true)
		assert.Less(t, a.State, BackendReady)
		request := h.requestArrives("a", 0, 10)
		require.Equal(t, "attempt:a", h.decisions())
		assert.Same(t, b, request.Attempts[0].Backend)
		assert.Equal(t, ReasonNotReady, h.balancer.checkRules(request, a))
		h.endAttempt(request.Attempts[0], OutcomeAnswered)
		h.advance(10).decisions()
	}
	line(BackendDraining, 0, false) // what the list says still holds
	assert.Equal(t, BackendDraining, a.State)
	line(BackendReady, 0, false)
	assert.Equal(t, h.balancer.config.SlowStartShare, h.balancer.slowStartFactor(a), "nothing tells of its restart but the cordon")
	assert.Zero(t, a.suspicion.get(h.now, suspicionHalfLifeMs))
	used := 0
	for k := range 100 {
		request := h.requestArrives(fmt.Sprint("c", k), 0, 10)
		h.decisions()
		if request.Attempts[0].Backend == a {
			used++
		}
		h.advance(10).endAttempt(request.Attempts[0], OutcomeAnswered)
		h.decisions()
	}
	assert.Positive(t, used)
	assert.LessOrEqual(t, a.recentWork.sumWithin(h.now, 2000), 3*0.3*2000.0, "within its budget")
	h.advance(10e3)
	assert.Equal(t, 1.0, h.balancer.slowStartFactor(a))

	// Where the list tells of the restart, before or after it is put back, its warming up counts from that.
	for _, before := range []bool{true, false} {
		line(BackendReady, 0, true)
		restart := h.advance(1000).now
		h.advance(3000)
		if before {
			line(BackendReady, restart, true)
		}
		line(BackendReady, map[bool]float64{true: restart}[before], false)
		if !before {
			assert.Equal(t, h.balancer.config.SlowStartShare, h.balancer.slowStartFactor(a))
			line(BackendReady, restart, false)
		}
		assert.InDelta(t, 0.25+0.75*0.3, h.balancer.slowStartFactor(a), 1e-9)
		h.advance(10e3)
	}
}

// configWithRemovalAsHint is testConfig where a list that does not name a backend is no proof.
func configWithRemovalAsHint() *Config {
	t := testConfig()
	t.RemovalIsHint = true
	return t
}

// backendsInUse are the backends that a few hundred short requests, answered at once, were sent to.
func (h *harness) backendsInUse() map[*Backend]bool {
	on := map[*Backend]bool{}
	for range 300 {
		request := h.requestArrives("x", 0, 10)
		h.decisions()
		h.now += 2
		if len(request.Attempts) > 0 {
			on[request.Attempts[0].Backend] = true
			h.endAttempt(request.Attempts[0], OutcomeAnswered)
		}
		h.decisions()
	}
	return on
}

// Reported: for seconds the list called every backend gone while all served, and nine in ten requests were rejected.
func TestListThatEmptiesIsDoubted(t *testing.T) {
	for name, empty := range map[string]func(h *harness){
		"a complete list without entries": func(h *harness) { h.balancer.EndpointsChanged(h.now, nil, true, false) },
		"removed one by one":              func(h *harness) { h.setState(BackendRemoved, 0, h.backends...) },
	} {
		h := newHarness(t, configWithRemovalAsHint(), 10)
		h.setState(BackendDraining, 0, h.backends[0]) // drained and then gone stays out
		empty(h)
		require.Len(t, h.backendsInUse(), 9, name)
		learned := h.backends[3].completionRate
		h.setState(BackendReady, 0, h.backends[1:]...) // its return is no restart of all backends
		require.Equal(t, learned, h.backends[3].completionRate, name)
		require.Equal(t, 1.0, h.balancer.slowStartFactor(h.backends[3]), name)

		bound := newHarness(t, testConfig(), 10)
		empty(bound)
		require.Empty(t, bound.backendsInUse(), "where removal is no hint")
	}
}

// The opposite case: what crashes or restarts together is less than half, and the list is believed.
func TestListThatTakesLessThanHalfIsBelieved(t *testing.T) {
	h := newHarness(t, configWithRemovalAsHint(), 10)
	h.setState(BackendRemoved, 0, h.backends[:5]...)
	require.Len(t, h.backendsInUse(), 5)
	h.setState(BackendRemoved, 0, h.backends[5])
	require.Len(t, h.backendsInUse(), 10)
	h.setState(BackendReady, 0, h.backends[5])
	require.Len(t, h.backendsInUse(), 5)
}

// What is really gone shows within a few connects, and is forgotten after the stated time.
func TestReallyGoneBackendsAreEjectedAndForgotten(t *testing.T) {
	h := newHarness(t, configWithRemovalAsHint(), 10)
	h.balancer.EndpointsChanged(h.now, nil, true, false)
	h.failAttempts(3, OutcomeConnectFailed, h.backends[0], h.backends[1])
	on := h.backendsInUse()
	require.GreaterOrEqual(t, len(on), 5)
	require.False(t, on[h.backends[0]] || on[h.backends[1]])
	h.advance(removedRetentionMs)
	require.Empty(t, h.backendsInUse())
	require.Empty(t, h.balancer.backends)
}
