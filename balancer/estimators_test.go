package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Waits in a zone count for a backend there of which this node has no measurements, and decay with time.
func TestZoneWaitIsPredicted(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	fresh := h.backends[2]
	quiet := h.balancer.predictAnswerTime(fresh, &Request{class: &h.balancer.config.Classes[0], work: 10})
	for range 10 {
		h.endAttempt(h.sendShort(h.backends[0]), OutcomeRejected)
		h.advance(200).decisions()
	}
	request := &Request{Config: h.balancer.config, class: &h.balancer.config.Classes[0], work: 10, Deadline: h.now + 4000, ArrivedAt: h.now}
	assert.Greater(t, h.balancer.predictAnswerTime(fresh, request), quiet+300)
	assert.Greater(t, h.balancer.queueTime(request, false), 300.0)
	h.advance(60e3)
	assert.InDelta(t, quiet, h.balancer.predictAnswerTime(fresh, request), 50, "the waits have decayed")
	h.balancer.estimates.waits.add(fresh, h.now, 1000)
	assert.InDelta(t, 100, h.balancer.zoneWait(1), 2, "a zone that was never used counts with half of the mean wait")
}

// A node with few requests must not take its first cost hints for the mean work: reported service times would make backends
// appear ten times slower.
func TestReportedServiceTimes(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.requestArrives("a", 0, 5)
	for range 20 {
		h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: 100, InFlight: NotReported})
	}
	assert.Less(t, h.balancer.paceOf(nil), 2.0)
}

// The queue that a backend reports is known before any attempt of this node is queued there. The rotation avoids the
// backend, and uses it again once the reported queue has decayed.
func TestRotationFollowsReportedQueues(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.balancer.estimates.work = runningMean{50, 50}
	placeRound := func() (first int) {
		for range 20 {
			request := h.requestArrives("a", 1, 50)
			require.Equal(t, "attempt:a", h.decisions())
			if request.Attempts[0].Backend == h.backends[0] {
				first++
			}
			h.advance(60).endAttempt(request.Attempts[0], OutcomeAnswered)
			h.advance(500).decisions()
		}
		return first
	}
	fresh := &Backend{}
	h.balancer.LoadReported(h.now, fresh, LoadReport{ServiceTime: NotReported, InFlight: 14, Queued: 12})
	assert.InDelta(t, 300, fresh.waits.mean(h.now, 0, 0), 60, "two requests running, twelve of 50 ms queued")
	assert.InDelta(t, 10, placeRound(), 3)
	for range 3 {
		h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: NotReported, InFlight: 14, Queued: 12})
	}
	assert.Less(t, placeRound(), 8)
	h.advance(60e3)
	assert.InDelta(t, 10, placeRound(), 3, "the report has decayed")
}

// The time-out of one backend that does not answer is no evidence of waits elsewhere. Counted in full, and once more for
// being overdue, it made nodes reject requests for seconds while all but a few backends were idle.
func TestTimeOutWaitCountsOnceAndAtMostTheObjective(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	request := h.requestArrives("a", 1, 10)
	h.decisions()
	for range 40 {
		h.advance(100).decisions()
	}
	require.True(t, request.Attempts[0].isOverdue)
	h.endAttempt(request.Attempts[0], OutcomeTimedOut)
	require.Equal(t, "fail:a", h.decisions())
	assert.Equal(t, 1.0, h.balancer.estimates.waits.all.count, "the time-out adds nothing")
	late := h.requestArrives("b", 1, 10)
	h.decisions()
	before := h.balancer.estimates.waits.all
	attempt := late.Attempts[0]
	attempt.isOverdue = true // so that only the answer records a wait
	h.advance(3500).endAttempt(attempt, OutcomeAnswered)
	decay := decayFactor(before.at, h.now, waitHalfLifeMs)
	assert.InDelta(t, before.sum*decay+1000, h.balancer.estimates.waits.all.sum, 1e-6, "a wait counts for the objective at most")
}

// Queues behind heavy requests form and dissolve within a second. Of two backends, the one whose latest attempt met no
// queue is preferred, also for a small request. The preference decays within seconds.
func TestLatestWaitOutweighsMeanWait(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	a, b := h.backends[0], h.backends[1]
	for k, x := range []*Backend{a, b} { // the mean waits suggest the opposite order
		for range 10 {
			x.waits.add(h.now, 200*float64(k))
		}
	}
	attemptA, attemptB := h.sendShort(a), h.sendShort(b)
	h.now += 20
	h.balancer.now = h.now
	h.balancer.recordWait(attemptA, 600)
	h.balancer.recordWait(attemptB, 0)
	request := h.requestArrives("a", 0, 10)
	assert.Greater(t, h.balancer.expectedTimeSteps(a, request), h.balancer.expectedTimeSteps(b, request))
	h.now += 3000
	request = h.requestArrives("b", 0, 10)
	assert.Less(t, h.balancer.expectedTimeSteps(a, request), h.balancer.expectedTimeSteps(b, request))
	before := b.lastWait
	h.balancer.recordWait(&Attempt{Request: request, Backend: b, SentAt: before.at - 1}, 400)
	assert.Equal(t, before, b.lastWait, "an attempt that was sent earlier does not replace the latest wait")
}

// Requests in flight beyond those that the reported throughput keeps running are queued at the backend.
func TestQueueInferredFromThroughput(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: 50, InFlight: 9, Queued: NotReported, Throughput: 20})
	h.balancer.LoadReported(h.now, h.backends[1], LoadReport{ServiceTime: 50, InFlight: 1, Queued: NotReported, Throughput: 20})
	assert.Greater(t, h.backends[0].expectedWait(h.now, 0), 100.0)
	assert.Zero(t, h.backends[1].expectedWait(h.now, 0))
	assert.Zero(t, h.balancer.zoneWait(0), "an inferred queue of one backend does not count for its zone")
}
