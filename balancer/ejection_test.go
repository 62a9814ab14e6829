package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Checks which faults eject a backend, and which do not: rejections due to load, old faults, and faults that all backends
// have in common.
func TestSuspicionAndEjection(t *testing.T) {
	for name, c := range map[string]struct {
		inject    func(*harness, *Backend)
		isEjected bool
	}{
		"errors":          {func(h *harness, b *Backend) { h.failAttempts(3, OutcomeFailed, b) }, true},
		"failed connects": {func(h *harness, b *Backend) { h.failAttempts(3, OutcomeConnectFailed, b) }, true},
		"silence": {func(h *harness, b *Backend) {
			for range 4 {
				h.sendShort(b)
			}
			h.advance(900)
		}, true},
		"rejections are load": {func(h *harness, b *Backend) { h.failAttempts(1, OutcomeRejected, b) }, false},
		"decays":              {func(h *harness, b *Backend) { h.failAttempts(2, OutcomeFailed, b); h.advance(20e3) }, false},
		"a failed zone, half the fleet": {func(h *harness, _ *Backend) {
			h.balancer.retries.tokens = -100 // prevents retries, which would remain unanswered in this test
			h.failAttempts(3, OutcomeConnectFailed, h.backends[:2]...)
			h.advance(200)
		}, true},
		"same faults at all backends": {func(h *harness, _ *Backend) { h.failAttempts(3, OutcomeFailed, h.backends...); h.advance(200) }, false},
	} {
		h := newHarness(t, testConfig(), 4)
		b := h.backends[0]
		c.inject(h, b)
		h.decisions()
		assert.Equal(t, c.isEjected, h.balancer.suspicionOf(b) >= ejectionThreshold, name)
		if c.isEjected {
			require.NotEmpty(t, h.events, name)
			assert.Equal(t, EventBackendEjected, h.events[0].Kind, name)
			assert.Equal(t, b.ID, h.events[0].Backend, name)
		}
		for k := range 8 {
			request := h.requestArrives(fmt.Sprint(k), 0, 10)
			h.decisions()
			for _, attempt := range request.Attempts {
				assert.False(t, c.isEjected && attempt.Backend == b, name)
			}
		}
	}
}

// A backend that answers with fast errors becomes idle at once, and must not attract every queued long request.
func TestFastErrorsAttractNoLongRequests(t *testing.T) {
	for seed := range 20 {
		config := testConfig()
		config.Seed = uint64(seed)
		h := newHarness(t, config, 3)
		h.learnHints()
		h.balancer.addSuspicion(h.backends[0], ejectionThreshold/2) // as after one error; TestSuspicionAndEjection covers its sources
		request := h.requestArrives("a", 0, 200)
		require.Equal(t, "attempt:a", h.decisions())
		assert.NotEqual(t, h.backends[0], request.Attempts[0].Backend)
	}
}

// At each of many nodes, each error of a faulty backend cost one request that could not be repeated. One error therefore
// keeps such requests away from the backend, while requests that can be repeated still test it.
func TestOneErrorEjectsForAtMostOnceRequests(t *testing.T) {
	for class, want := range []bool{true, false} {
		h := newHarness(t, testConfig(), 2)
		h.balancer.addSuspicion(h.backends[0], 1)
		wasUsed := false
		for k := range 12 {
			request := h.requestArrives(fmt.Sprint(k), class, 10)
			h.decisions()
			require.NotEmpty(t, request.Attempts)
			wasUsed = wasUsed || request.Attempts[0].Backend == h.backends[0]
			h.endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
		}
		assert.Equal(t, want, wasUsed, "class %d", class)
	}
}
