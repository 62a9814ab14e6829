package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Long requests are queued until a backend has no attempt of this node in flight, and are sent smallest estimate first.
func TestQueuedLongRequests(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	attempt := h.sendShort(h.backends[0])
	h.requestArrives("large", 0, 120)
	assert.Empty(t, h.decisions())
	h.advance(10)
	h.requestArrives("small", 0, 100)
	assert.Empty(t, h.decisions())
	h.endAttempt(attempt, OutcomeAnswered)
	assert.Equal(t, "attempt:small", h.decisions(), "the smaller long request, to the backend that became idle")
	h.requestArrives("short", 0, 10)
	assert.Equal(t, "attempt:short", h.decisions(), "short requests go to the least loaded backend if all run a long request")
}

// Waiting lowers the estimate of a request, so that an older large request is sent before a new one that is a little
// smaller.
func TestWaitingLowersTheEstimate(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	first := h.requestArrives("first", 0, 90)
	h.decisions()
	h.requestArrives("old", 0, 160)
	h.decisions()
	h.advance(100).decisions()
	h.requestArrives("new", 0, 150)
	h.decisions()
	h.endAttempt(first.Attempts[0], OutcomeAnswered)
	assert.Equal(t, "attempt:old", h.decisions())
}

// A queued request is sent to the least loaded backend when a quarter of its time to the latency objective is left.
func TestLateSend(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	h.sendShort(h.backends[0])
	h.requestArrives("a", 1, 200)
	assert.Empty(t, h.decisions())
	assert.NotContains(t, h.advance(740).decisions(), "attempt:a")
	assert.Contains(t, h.advance(10).decisions(), "attempt:a", "sent with a quarter of its time left")
}

// A short request that finds all backends at capacity is queued; one that would wait too long is rejected.
func TestShortRequestsQueuedAndRejected(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	var attempts []*Attempt
	for !h.balancer.isAtCapacity(h.backends[0]) {
		attempts = append(attempts, h.sendShort(h.backends[0]))
	}
	h.requestArrives("a", 0, 10)
	assert.Empty(t, h.decisions())
	h.advance(5).endAttempt(attempts[0], OutcomeAnswered)
	assert.Equal(t, "attempt:a", h.decisions())
	h.requestArrives("b", 0, 9000)
	assert.Equal(t, "reject:b", h.decisions(), "rejected at once: it cannot be answered in time")
}

// No backend of the node's own zone is usable, or hardly any, because of the endpoint list or an operator. Requests
// whose value pays for crossing zones are queued for backends of other zones; the others are rejected at once.
func TestQueuedForOtherZones(t *testing.T) {
	config := testConfig()
	config.CrossZoneCost, config.WeightByWork = 0.06, true
	h := newHarness(t, config, 0)
	for k, zone := range []int{0, 1, 1} {
		h.backends = append(h.backends, &Backend{ID: uint64(k), Zone: zone})
	}
	h.setState(BackendReady, 0, h.backends...)
	h.learnHints()
	h.balancer.estimates.priority = runningMean{50, 50}
	h.setState(BackendDraining, 0, h.backends[0])
	var attempts []*Attempt
	for _, backend := range h.backends[1:] {
		backend.maxInFlight = 1
		attempts = append(attempts, h.sendShort(backend), h.sendShort(backend))
	}
	worth := h.requestArrives("worth", 0, 60)
	assert.Empty(t, h.decisions(), "queued: both backends are at capacity for a short time")
	assert.Equal(t, stageQueued, worth.stage)
	h.requestArrives("dear", 0, 1)
	assert.Equal(t, "reject:dear", h.decisions())
	h.advance(5)
	for _, attempt := range attempts {
		h.endAttempt(attempt, OutcomeAnswered)
	}
	assert.Equal(t, "attempt:worth", h.decisions())

	// The own zone has one backend again, which answers hardly any requests: requests that may cross zones do not wait
	// for it.
	h.setState(BackendReady, 0, h.backends[0])
	h.balancer.queue.requests = append(h.balancer.queue.requests, worth)
	h.backends[0].completionRate = completionRateEstimate{done: 1, busyTime: 1e6, at: h.now}
	allZonesTime, nearOnlyTime := h.balancer.queueTime(worth, true), h.balancer.queueTime(worth, false)
	assert.Less(t, 5*allZonesTime, nearOnlyTime)
}
