package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Hints that are constant, missing or unrelated to the work must leave plain rotation, without requests stuck in the queue.
func TestMeaninglessHintsLeaveRotation(t *testing.T) {
	for name, hint := range map[string]func(int) float64{
		"constant": func(int) float64 { return 20 }, "none": func(int) float64 { return 0 },
		"unrelated": func(k int) float64 { return float64(k*7919%997) + 1 },
	} {
		h := newHarness(t, testConfig(), 4)
		count := map[*Backend]int{}
		for k := range 400 {
			request := h.requestArrives(fmt.Sprint(k), 0, hint(k))
			h.decisions()
			require.NotEmpty(t, request.Attempts, name)
			count[request.Attempts[0].Backend]++
			h.advance(20).endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
			h.advance(20).decisions()
		}
		for _, b := range h.backends {
			assert.InDelta(t, 100, count[b], 90, name) // the rotation goes by waits, which meaningless hints make up
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

// Requests stay in the own zone, and cross to another where the own one is lost.
func TestOwnZoneFirst(t *testing.T) {
	for lost, name := range map[bool]string{false: "own zone first", true: "own zone lost"} {
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

// All nodes cross zones at once in a burst: where they are many, each uses a share of the other zones' backends, others
// in each period.
func TestOtherZonesBackendsByPeriod(t *testing.T) {
	for _, c := range []struct {
		nodes int
		zone  int
		share float64
	}{{1, 0, 1}, {1, 1, 1}, {300, 0, 1}, {300, 1, minCrossZoneShare}} {
		config := testConfig()
		config.Nodes, config.CrossZoneCost, config.Zone = c.nodes, 0.2, c.zone
		h := newHarness(t, config, 50)
		opened, used := 0.0, map[*Backend]bool{}
		for range 40 {
			for _, b := range h.backends {
				if !h.balancer.isAtCapacity(b) {
					opened, used[b] = opened+1, true
				}
			}
			h.advance(subsetPeriodMs).decisions()
		}
		assert.InDelta(t, 50*c.share, opened/40, 4, "%+v", c)
		assert.Greater(t, len(used), 47, "%+v", c)
	}
}

// Kinds of one weight differ in speed. The rotation follows, also for backends never used, and a heavy request goes to
// a fast machine though the slow one is next.
func TestRotationFollowsTheKindsSpeed(t *testing.T) {
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

// A request that is likely to come late is worth a part, more where it may still make it, and waits for that part of its
// patience. All that were predicted past the objective were rejected, though half of them take less than that.
func TestLateRequestsWaitLess(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	for range 20 {
		h.balancer.estimates.waits.add(h.backends[0], h.now, 300)
	}
	for work, want := range map[float64]bool{500: false, 900: false, 1800: true} {
		request := h.requestArrives("a", 1, work)
		assert.Equal(t, want, h.balancer.isTooSlow(h.backends[0], request, 350), "work of %v", work)
	}
}

// Where many nodes have one attempt in flight or none, each backend is idle of a node's own work, and long requests went to
// them however long all waited there: most of an overloaded fleet's work was requests that came too late.
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

// What small requests took at a backend, with the set-up of connections, does not grow with the work: taken in proportion,
// one slow answer of a small request had the long ones of a quiet fleet rejected.
func TestWaitsDoNotGrowWithTheRequest(t *testing.T) {
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

// Long requests stay in their zone for half an eighth of their time left: a wait that is gone before the request is there
// sent it across.
func TestLongRequestsStayNearForALittle(t *testing.T) {
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

// A key's requests meet at one backend, the same at all nodes, while it serves and has capacity.
func TestKeyAffinity(t *testing.T) {
	homes := map[uint64]map[uint64]bool{}
	for seed := range uint64(5) {
		config := testConfig()
		config.Seed, config.KeyAffinity = seed, true
		h := newHarness(t, config, 10)
		for key := range uint64(20) {
			request := h.requestWithKey(key+1, "request", 0)
			h.decisions()
			if homes[key] == nil {
				homes[key] = map[uint64]bool{}
			}
			homes[key][request.Attempts[0].Backend.ID] = true
			h.advance(5).endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
		}
		request := h.requestWithKey(3, "request", 0)
		h.decisions()
		home := request.Attempts[0].Backend
		h.endAttempt(request.Attempts[0], OutcomeAnswered)
		h.setState(BackendDraining, 0, home)
		request = h.requestWithKey(3, "request", 0)
		h.decisions()
		require.NotEqual(t, home, request.Attempts[0].Backend, "no affinity to a backend that drains")
	}
	all := map[uint64]bool{}
	for key, at := range homes {
		require.Len(t, at, 1, "key %d", key)
		for ref := range at {
			all[ref] = true
		}
	}
	require.Greater(t, len(all), 5, "keys spread")
}
