package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Waits in a zone count for a backend there of which this node has seen nothing, and are forgotten in time.
func TestWaitsOfAZoneArePredicted(t *testing.T) {
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
	assert.InDelta(t, quiet, h.balancer.predictAnswerTime(fresh, request), 50, "and is forgotten")
	h.balancer.estimates.waits.add(fresh, h.now, 1000)
	assert.InDelta(t, 100, h.balancer.zoneWait(1), 2, "a zone never used counts for half of the wait in all")
}

// A node of few requests must not take its first hints for the mean: reported service times would seem tenfold.
func TestReportedServiceTimes(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.requestArrives("a", 0, 5)
	for range 20 {
		h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: 100, InFlight: NotReported})
	}
	assert.Less(t, h.balancer.paceOf(nil), 2.0)
}

// What a backend reports to be queued there is known before any attempt of this node is queued: the rotation avoids it, and
// comes back once it reports none.
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
	assert.InDelta(t, 300, fresh.waits.mean(h.now, 0, 0), 60, "two at work, twelve of 50 ms wait")
	assert.InDelta(t, 10, placeRound(), 3)
	for range 3 {
		h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: NotReported, InFlight: 14, Queued: 12})
	}
	assert.Less(t, placeRound(), 8)
	h.advance(60e3)
	assert.InDelta(t, 10, placeRound(), 3, "and is forgotten")
}

// One silent backend's time-out says nothing of the waits elsewhere. Counted whole, and again for being overdue, it had
// nodes reject for seconds while all but a few backends were idle.
func TestSilenceCountsOnceAndForTheObjectiveAtMost(t *testing.T) {
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
	p := late.Attempts[0]
	p.isOverdue = true // so that the answer alone is looked at
	h.advance(3500).endAttempt(p, OutcomeAnswered)
	left := decayFactor(before.at, h.now, waitHalfLifeMs)
	assert.InDelta(t, before.sum*left+1000, h.balancer.estimates.waits.all.sum, 1e-6, "a wait counts for the objective at most")
}

// Queues behind heavy requests come and go within a second: of two backends, the one that was just found without a queue
// goes first, also for a small request, and that is soon forgotten.
func TestLatestWaitCountsMost(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	a, b := h.backends[0], h.backends[1]
	for k, x := range []*Backend{a, b} { // the usual waits are the other way round
		for range 10 {
			x.waits.add(h.now, 200*float64(k))
		}
	}
	pa, pb := h.sendShort(a), h.sendShort(b)
	h.now += 20
	h.balancer.now = h.now
	h.balancer.recordWait(pa, 600)
	h.balancer.recordWait(pb, 0)
	request := h.requestArrives("a", 0, 10)
	assert.Greater(t, h.balancer.expectedTimeSteps(a, request), h.balancer.expectedTimeSteps(b, request))
	h.now += 3000
	request = h.requestArrives("b", 0, 10)
	assert.Less(t, h.balancer.expectedTimeSteps(a, request), h.balancer.expectedTimeSteps(b, request))
	before := b.lastWait
	h.balancer.recordWait(&Attempt{Request: request, Backend: b, SentAt: before.at - 1}, 400)
	assert.Equal(t, before, b.lastWait, "one sent earlier tells nothing new")
}

// What a report says is in flight beyond what its throughput keeps at work waits there.
func TestQueueGuessedFromThroughput(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	h.learnHints()
	h.balancer.LoadReported(h.now, h.backends[0], LoadReport{ServiceTime: 50, InFlight: 9, Queued: NotReported, Throughput: 20})
	h.balancer.LoadReported(h.now, h.backends[1], LoadReport{ServiceTime: 50, InFlight: 1, Queued: NotReported, Throughput: 20})
	assert.Greater(t, h.backends[0].expectedWait(h.now, 0), 100.0)
	assert.Zero(t, h.backends[1].expectedWait(h.now, 0))
	assert.Zero(t, h.balancer.zoneWait(0), "a guess of one says nothing of the others")
}
