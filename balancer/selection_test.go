package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// With hints that are constant, missing or unrelated to the work, requests are sent by rotation and none stays queued.
func TestUninformativeHintsKeepRotation(t *testing.T) {
	for name, hint := range map[string]func(int) float64{
		"constant": func(int) float64 { return 20 }, "none": func(int) float64 { return 0 },
		"unrelated": func(k int) float64 { return float64(k*7919%997) + 1 },
	} {
		h := newHarness(t, testConfig(), 4)
		attemptCounts := map[*Backend]int{}
		for k := range 400 {
			request := h.requestArrives(fmt.Sprint(k), 0, hint(k))
			h.decisions()
			require.NotEmpty(t, request.Attempts, name)
			attemptCounts[request.Attempts[0].Backend]++
			h.advance(20).endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
			h.advance(20).decisions()
		}
		for _, backend := range h.backends {
			assert.InDelta(t, 100, attemptCounts[backend], 90, name) // such hints distort the waits that the rotation uses
		}
		assert.Empty(t, h.balancer.queue.requests, name)
	}
}

// The rotation passes over a backend with a long request of this node, and over one above the load margin.
func TestRotationPassesOverLongAndLoaded(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.learnHints()
	long := h.requestArrives("long", 0, 200)
	require.Equal(t, "attempt:long", h.decisions())
	loaded := h.backends[0]
	if long.Attempts[0].Backend == loaded {
		loaded = h.backends[1]
	}
	h.sendShort(loaded)
	short := h.requestArrives("short", 0, 10)
	h.decisions()
	assert.NotEqual(t, long.Attempts[0].Backend, short.Attempts[0].Backend, "passes over a backend with a long request of this node")
	assert.NotEqual(t, loaded, short.Attempts[0].Backend, "passes over a backend above the margin")
}

// Requests stay in the node's own zone, and cross to another zone only if the own zone has no backend.
func TestOwnZoneFirst(t *testing.T) {
	for lost, name := range map[bool]string{false: "own zone usable", true: "own zone removed"} {
		config := testConfig()
		config.CrossZoneCost, config.Zone = 0.2, 1
		h := newHarness(t, config, 4)
		h.backends[1].Zone, h.backends[3].Zone = 1, 1
		h.setState(BackendReady, 0, h.backends...)
		if lost {
			h.setState(BackendRemoved, 0, h.backends[1], h.backends[3])
		}
		for range 6 {
			request := h.requestArrives("a", 0, 10)
			h.decisions()
			require.NotEmpty(t, request.Attempts, name)
			assert.Equal(t, lost, request.Attempts[0].Backend.Zone != 1, name)
			h.advance(10).endAttempt(request.Attempts[0], OutcomeAnswered)
		}
	}
}

// In a burst all nodes cross zones at the same time. With many nodes, each may therefore use only a share of the other
// zones' backends, and different ones in each period.
func TestCrossZoneShareChangesByPeriod(t *testing.T) {
	for _, c := range []struct {
		nodes int
		zone  int
		share float64
	}{{1, 0, 1}, {1, 1, 1}, {300, 0, 1}, {300, 1, minCrossZoneShare}} {
		config := testConfig()
		config.Nodes, config.CrossZoneCost, config.Zone = c.nodes, 0.2, c.zone
		h := newHarness(t, config, 50)
		usableCount, everUsable := 0.0, map[*Backend]bool{}
		for range 40 {
			for _, b := range h.backends {
				if !h.balancer.isAtCapacity(b) {
					usableCount, everUsable[b] = usableCount+1, true
				}
			}
			h.advance(subsetPeriodMs).decisions()
		}
		assert.InDelta(t, 50*c.share, usableCount/40, 4, "%+v", c)
		assert.Greater(t, len(everUsable), 47, "%+v", c)
	}
}

// Kinds of machine with equal weight may differ in speed. The rotation share follows the speed, also for backends never
// used, and a heavy request goes to a fast machine even if a slow one is next in the rotation.
func TestRotationFollowsMachineSpeed(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	fast, slow := h.backends[0], h.backends[1]
	slow.Kind, slow.rotationPass, fast.rotationPass = 1, 0, 1
	h.balancer.LoadReported(h.now, &Backend{Kind: 1}, LoadReport{ServiceTime: 3e4, InFlight: NotReported})
	h.balancer.LoadReported(h.now, &Backend{}, LoadReport{ServiceTime: 1e4, InFlight: NotReported})
	assert.Greater(t, h.balancer.rotationShare(fast), 1.5*h.balancer.rotationShare(slow))
	for hint, want := range map[float64]*Backend{1: slow, 200: fast} {
		assert.Equal(t, want, h.balancer.selectByRotation(h.requestArrives("a", 1, hint)), "hint %v", hint)
	}
}

// A request predicted to miss its latency objective has only a part of its patience, the larger the more likely it still
// is to be in time. Regression: all requests predicted to miss it were rejected, although half of them take less than
// that.
func TestLateRequestsHaveLessPatience(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	for range 20 {
		h.balancer.estimates.waits.add(h.backends[0], h.now, 300)
	}
	for work, want := range map[float64]bool{500: false, 900: false, 1800: true} {
		request := h.requestArrives("a", 1, work)
		assert.Equal(t, want, h.balancer.isTooSlow(h.backends[0], request, 350), "work of %v", work)
	}
}

// With many nodes, each has one attempt in flight or none, so that every backend looks idle to a node. Regression: long
// requests were sent there however long the waits were, and most of an overloaded fleet's work was for requests answered
// too late.
func TestLongRequestsWaitNoLongerThanShortOnes(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.learnHints()
	request := h.requestArrives("a", 1, 100)
	require.Equal(t, "attempt:a", h.decisions())
	require.True(t, request.isLong)
	h.advance(100).endAttempt(request.Attempts[0], OutcomeAnswered)
	for range 20 {
		for _, b := range h.backends {
			h.balancer.estimates.waits.add(b, h.now, 3000)
		}
	}
	h.requestArrives("b", 1, 100)
	assert.Equal(t, "reject:b", h.decisions())
}

// The time of small requests includes a part, such as opening connections, that does not grow with the work. Regression:
// when it was scaled with the work, one slow answer to a small request got the long requests of an idle fleet rejected.
func TestWaitDoesNotScaleWithWork(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.learnHints()
	small := h.requestArrives("small", 1, 10)
	require.Equal(t, "attempt:small", h.decisions())
	h.advance(80).endAttempt(small.Attempts[0], OutcomeAnswered)
	h.decisions()
	require.Less(t, h.balancer.completionRate(h.backends[0]), 0.8)
	h.requestArrives("long", 1, 700)
	assert.Equal(t, "attempt:long", h.decisions())
}

// A backend of another zone must save a sixteenth of the time left for a long request to cross zones. Regression: a wait
// that would have been over when the request arrived made it cross.
func TestLongRequestsPreferOwnZone(t *testing.T) {
	for wait, near := range map[float64]bool{50: true, 300: false} {
		config := testConfig()
		config.CrossZoneCost = 0.06
		h := newHarness(t, config, 2)
		h.learnHints()
		h.backends[1].Zone = 1
		h.setState(BackendReady, 0, h.backends...)
		h.backends[0].lastWait, h.backends[1].lastWait = latestWait{wait, h.now}, latestWait{0, h.now}
		request := h.requestArrives("a", 0, 200)
		require.Equal(t, "attempt:a", h.decisions())
		require.True(t, request.isLong)
		assert.Equal(t, near, request.Attempts[0].Backend == h.backends[0], "a wait of %v", wait)
	}
}

// All requests of a key go to the same backend, from all nodes, while it is ready and has capacity.
func TestKeyAffinity(t *testing.T) {
	backendsByKey := map[uint64]map[uint64]bool{}
	for seed := range uint64(5) {
		config := testConfig()
		config.Seed, config.KeyAffinity = seed, true
		h := newHarness(t, config, 10)
		for key := range uint64(20) {
			request := h.requestWithKeyArrives(key+1, "request", 0)
			h.decisions()
			if backendsByKey[key] == nil {
				backendsByKey[key] = map[uint64]bool{}
			}
			backendsByKey[key][request.Attempts[0].Backend.ID] = true
			h.advance(5).endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
		}
		request := h.requestWithKeyArrives(3, "request", 0)
		h.decisions()
		preferred := request.Attempts[0].Backend
		h.endAttempt(request.Attempts[0], OutcomeAnswered)
		h.setState(BackendDraining, 0, preferred)
		request = h.requestWithKeyArrives(3, "request", 0)
		h.decisions()
		require.NotEqual(t, preferred, request.Attempts[0].Backend, "no affinity to a draining backend")
	}
	allBackends := map[uint64]bool{}
	for key, at := range backendsByKey {
		require.Len(t, at, 1, "key %d", key)
		for id := range at {
			allBackends[id] = true
		}
	}
	require.Greater(t, len(allBackends), 5, "the keys are spread over the backends")
}
