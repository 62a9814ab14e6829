package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Long requests are queued until a backend has none of this node's work; the smallest estimate goes first.
func TestQueuedLongRequests(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	p := h.sendShort(h.backends[0])
	h.requestArrives("large", 0, 120)
	assert.Empty(t, h.decisions())
	h.advance(10)
	h.requestArrives("small", 0, 100)
	assert.Empty(t, h.decisions())
	h.endAttempt(p, OutcomeAnswered)
	assert.Equal(t, "attempt:small", h.decisions(), "one long request, the smaller, to the backend that turned idle")
	h.requestArrives("short", 0, 10)
	assert.Equal(t, "attempt:short", h.decisions(), "where all have a long request, the least loaded takes short ones")
}

// Waiting lowers an estimate: an older large request goes before a new one that is a little smaller.
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

// A queued request is sent to the least loaded backend when a quarter of its time is left.
func TestLateSend(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	h.sendShort(h.backends[0])
	h.requestArrives("a", 1, 200)
	assert.Empty(t, h.decisions())
	assert.NotContains(t, h.advance(740).decisions(), "attempt:a")
	assert.Contains(t, h.advance(10).decisions(), "attempt:a", "at a quarter of its time left")
}

// A short request that finds all backends at capacity is queued; one that would wait too long is rejected.
func TestShortRequestsQueuedAndRejected(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	var out []*Attempt
	for !h.balancer.isAtCapacity(h.backends[0]) {
		out = append(out, h.sendShort(h.backends[0]))
	}
	h.requestArrives("a", 0, 10)
	assert.Empty(t, h.decisions())
	h.advance(5).endAttempt(out[0], OutcomeAnswered)
	assert.Equal(t, "attempt:a", h.decisions())
	h.requestArrives("b", 0, 9000)
	assert.Equal(t, "reject:b", h.decisions(), "it can't be in time: at once")
}

// None of the own zone's backends can be used, by the list or by an operator, or hardly any. What may cross is queued
// for the others; what is not worth crossing is rejected at once.
func TestQueuedForAnotherZone(t *testing.T) {
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
	var out []*Attempt
	for _, b := range h.backends[1:] {
		b.maxInFlight = 1
		out = append(out, h.sendShort(b), h.sendShort(b))
	}
	worth := h.requestArrives("worth", 0, 60)
	assert.Empty(t, h.decisions(), "queued: both are at capacity, and will not be for long")
	assert.Equal(t, stageQueued, worth.stage)
	h.requestArrives("dear", 0, 1)
	assert.Equal(t, "reject:dear", h.decisions())
	h.advance(5)
	for _, p := range out {
		h.endAttempt(p, OutcomeAnswered)
	}
	assert.Equal(t, "attempt:worth", h.decisions())

	// Its own zone is back, with one backend that answers next to nothing: what may cross does not wait for that one.
	h.setState(BackendReady, 0, h.backends[0])
	h.balancer.queue.requests = append(h.balancer.queue.requests, worth)
	h.backends[0].completionRate = completionRateEstimate{done: 1, busyTime: 1e6, at: h.now}
	may, mayNot := h.balancer.queueTime(worth, true), h.balancer.queueTime(worth, false)
	assert.Less(t, 5*may, mayNot)
}
