package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Which faults eject a backend, and which are not its own: load, old faults, and what all backends show.
func TestSuspicionAndEjection(t *testing.T) {
	for name, c := range map[string]struct {
		trouble   func(*harness, *Backend)
		isEjected bool
	}{
		"errors":        {func(h *harness, b *Backend) { h.failAttempts(3, OutcomeFailed, b) }, true},
		"no connection": {func(h *harness, b *Backend) { h.failAttempts(3, OutcomeConnectFailed, b) }, true},
		"silence": {func(h *harness, b *Backend) {
			for range 4 {
				h.sendShort(b)
			}
			h.advance(900)
		}, true},
		"rejections are load": {func(h *harness, b *Backend) { h.failAttempts(1, OutcomeRejected, b) }, false},
		"decays":              {func(h *harness, b *Backend) { h.failAttempts(2, OutcomeFailed, b); h.advance(20e3) }, false},
		"a failed zone, half the fleet": {func(h *harness, _ *Backend) {
			h.balancer.retries.tokens = -100 // no retries, which would stay unanswered here
			h.failAttempts(3, OutcomeConnectFailed, h.backends[:2]...)
			h.advance(200)
		}, true},
		"all alike": {func(h *harness, _ *Backend) { h.failAttempts(3, OutcomeFailed, h.backends...); h.advance(200) }, false},
	} {
		h := newHarness(t, testConfig(), 4)
		b := h.backends[0]
		c.trouble(h, b)
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
			for _, p := range request.Attempts {
				assert.False(t, c.isEjected && p.Backend == b, name)
			}
		}
	}
}

// A backend that answers with quick errors turns idle at once, and must not draw every queued long request.
func TestQuickErrorsDrawNoLongRequests(t *testing.T) {
	for seed := range 20 {
		config := testConfig()
		config.Seed = uint64(seed)
		h := newHarness(t, config, 3)
		h.learnHints()
		h.balancer.addSuspicion(h.backends[0], ejectionThreshold/2) // by one error; TestSuspicionAndEjection has where it comes from
		request := h.requestArrives("a", 0, 200)
		require.Equal(t, "attempt:a", h.decisions())
		assert.NotEqual(t, h.backends[0], request.Attempts[0].Backend)
	}
}

// A request that can't be repeated was lost to each error of a faulty backend, at each of many nodes; requests that can be
// repeated find out for it.
func TestOneErrorKeepsAtMostOnceRequestsAway(t *testing.T) {
	for class, want := range []bool{true, false} {
		h := newHarness(t, testConfig(), 2)
		h.balancer.addSuspicion(h.backends[0], 1)
		met := false
		for k := range 12 {
			request := h.requestArrives(fmt.Sprint(k), class, 10)
			h.decisions()
			require.NotEmpty(t, request.Attempts)
			met = met || request.Attempts[0].Backend == h.backends[0]
			h.endAttempt(request.Attempts[0], OutcomeAnswered)
			h.decisions()
		}
		assert.Equal(t, want, met, "class %d", class)
	}
}
