package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// keyCooldown is Config.UncertainCooldown in orderedConfig, in ms.
const keyCooldown = 200.0

// orderedConfig returns testConfig without hedging, and with classes 2 and 3 ordered by key.
func orderedConfig() *Config {
	config := testConfig()
	config.AllowHedging, config.UncertainCooldown = false, keyCooldown
	config.Classes[2].Ordered, config.Classes[3].Ordered = true, true
	return config
}

// requestWithKeyArrives has a request with a key arrive.
func (h *harness) requestWithKeyArrives(key uint64, name string, class int) *Request {
	request := &Request{Class: class, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, Key: key}
	h.requests[name] = request
	h.balancer.RequestArrived(h.now, request)
	return request
}

// The outcome of a request determines when the next request of its key is sent: at once, or after the key's cooldown.
func TestNextRequestOfKeyByOutcome(t *testing.T) {
	for _, c := range []struct {
		name          string
		outcome       Outcome // of a's attempt, 30 ms after it was sent
		atOnce        string  // decisions made at once
		afterCooldown string  // decisions made after the key's cooldown, and not earlier
	}{
		{"an answer starts the next request", OutcomeAnswered, "attempt:b", ""},
		{"a rejection starts the next request", OutcomeRejected, "reject:a attempt:b", ""},
		// Regression: a request was sent 25 ms after an attempt of an earlier request of its key had ended without proof
		// that it no longer runs.
		{"a time-out starts the cooldown", OutcomeTimedOut, "reject:a", "attempt:b"},
		{"a reset starts the cooldown", OutcomeConnectionReset, "reject:a", "attempt:b"},
		{"an error starts the next request", OutcomeFailed, "reject:a attempt:b", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := orderedConfig()
			config.MaxAttempts = 1
			h := newHarness(t, config, 4)
			a := h.requestWithKeyArrives(7, "a", 3)
			h.requestWithKeyArrives(7, "b", 3)
			h.requestWithKeyArrives(0, "free", 3) // without a key
			h.requestWithKeyArrives(7, "other", 0)
			h.requestWithKeyArrives(8, "else", 3)
			// Regression: a request was sent while an earlier one of its key had not ended.
			require.Equal(t, "attempt:a attempt:free attempt:other attempt:else", h.decisions())
			h.now += 30
			h.endAttempt(a.Attempts[0], c.outcome)
			require.Equal(t, c.atOnce, h.decisions())
			require.Empty(t, h.advance(keyCooldown-1).decisions())
			require.Equal(t, c.afterCooldown, h.advance(2).decisions())
		})
	}
}

// All classes that keep order share their keys. An abandoned request gives up its turn, but an attempt of it that is still
// in flight blocks the key.
func TestOrderAcrossClassesAndAbandonedRequests(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	a := h.requestWithKeyArrives(7, "a", 3)
	b := h.requestWithKeyArrives(7, "b", 2) // another class, same key
	c := h.requestWithKeyArrives(7, "c", 3)
	require.Equal(t, "attempt:a", h.decisions())
	h.balancer.RequestAbandoned(h.now, b) // leaves the queue of the key before its turn
	require.Empty(t, h.decisions())
	h.balancer.RequestAbandoned(h.now, a) // a's attempt is still in flight and blocks the key
	require.Equal(t, "cancel:a", h.decisions())
	require.Empty(t, h.advance(100).decisions())
	h.endAttempt(a.Attempts[0], OutcomeCanceled)
	require.Empty(t, h.decisions())
	require.Equal(t, "attempt:c", h.advance(keyCooldown+1).decisions())
	h.endAttempt(c.Attempts[0], OutcomeAnswered)
	require.Empty(t, h.balancer.keyQueues, "a key without requests and cooldown is deleted")
}

// A request whose turn it is may be retried without a cooldown. One whose turn does not come in time is rejected when it
// can no longer be answered in time, and one for which the requests before it are predicted to take too long is rejected
// at once.
func TestKeyWaitIsBounded(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	a := h.requestWithKeyArrives(7, "a", 3)
	require.Equal(t, "attempt:a", h.decisions())
	h.now += 30
	h.endAttempt(a.Attempts[0], OutcomeTimedOut)
	require.Equal(t, "attempt:a", h.decisions())
	h.requestWithKeyArrives(7, "b", 3).Deadline = h.now + 500
	require.Empty(t, h.decisions())
	for _, name := range []string{"heavy", "behind"} {
		request := &Request{Class: 3, CostHint: 600, HasCostHint: true, Deadline: h.now + 1000, Key: 9}
		h.requests[name] = request
		h.balancer.RequestArrived(h.now, request)
	}
	require.Equal(t, "attempt:heavy reject:behind", h.decisions())
	start := h.now
	for h.now < start+495 && h.balancer.keyQueues[7].requests[0] == a && len(h.balancer.keyQueues[7].requests) > 1 {
		h.advance(5)
		require.NotContains(t, h.decisions(), "attempt:b")
	}
	require.Len(t, h.balancer.keyQueues[7].requests, 1, "rejected when it could no longer be answered in time")
	require.Greater(t, h.now, start+300)
}

// No attempt may be sent out of order and no key may be leaked, under random time-outs, resets, cancels, abandoned
// requests, snapshots and restarts.
func TestOrderUnderRandomEvents(t *testing.T) {
	outcomes := []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeConnectFailed, OutcomeConnectionReset, OutcomeCanceled, OutcomeNotSent}
	rapid.Check(t, func(rt *rapid.T) {
		lb := New(orderedConfig(), 1000)
		now := 1000.0
		var backends []*Backend
		var endpoints []Endpoint
		for k := range 5 {
			backends = append(backends, &Backend{ID: uint64(k)})
			endpoints = append(endpoints, Endpoint{Backend: backends[k], State: BackendReady, Weight: 1})
		}
		lb.EndpointsChanged(now, endpoints, true, true)
		var requests []*Request // requests that are not done, in order of arrival
		cooldowns := map[uint64]float64{}
		isOrdered := func(request *Request) bool { return request.Key != 0 && request.Class >= 2 }
		takeDecisions := func() {
			for {
				decision, more := lb.Next()
				if !more {
					break
				}
				if decision.Kind != DoAttempt || !isOrdered(decision.Request) {
					continue
				}
				for _, earlier := range requests {
					if earlier == decision.Request {
						break
					}
					if isOrdered(earlier) && earlier.Key == decision.Request.Key && !earlier.IsDone() {
						rt.Fatalf("request %d sent before request %d of its key was done", decision.Request.ID, earlier.ID)
					}
				}
				if len(decision.Request.Attempts) == 1 && now < cooldowns[decision.Request.Key] {
					rt.Fatalf("request %d sent during its key's cooldown until %v, at %v", decision.Request.ID, cooldowns[decision.Request.Key], now)
				}
			}
			remaining := requests[:0]
			for _, request := range requests {
				if !request.IsDone() {
					remaining = append(remaining, request)
				}
			}
			requests = remaining
		}
		endAttempt := func(request *Request, outcome Outcome) {
			for _, attempt := range request.Attempts {
				if attempt.inFlight {
					if isOrdered(request) && (outcome == OutcomeTimedOut || outcome == OutcomeConnectionReset || outcome == OutcomeCanceled) {
						cooldowns[request.Key] = now + keyCooldown
					}
					lb.AttemptEnded(now, attempt, outcome, now-attempt.SentAt, outcome == OutcomeAnswered || request.stage == stageEnded)
					return
				}
			}
		}
		drawRequest := func() *Request { return requests[rapid.IntRange(0, len(requests)-1).Draw(rt, "request")] }
		for k := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += rapid.SampledFrom([]float64{0, 5, 50, 300}).Draw(rt, "pass")
			lb.TimerFired(now)
			takeDecisions()
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step < 4 || len(requests) == 0:
				request := &Request{ID: uint64(k), Class: rapid.IntRange(0, 3).Draw(rt, "class"), CostHint: 20, HasCostHint: true, Deadline: now + 2000,
					Key: uint64(rapid.IntRange(0, 2).Draw(rt, "key"))}
				requests = append(requests, request)
				lb.RequestArrived(now, request)
			case step < 8:
				endAttempt(drawRequest(), rapid.SampledFrom(outcomes).Draw(rt, "how"))
			case step == 8:
				lb.RequestAbandoned(now, drawRequest())
			default:
				takeDecisions()
				snapshot, err := lb.Snapshot(requests, backends)
				require.NoError(rt, err)
				if lb, requests, backends, err = Restore(orderedConfig(), snapshot); err != nil {
					rt.Fatal(fmt.Sprint(err))
				}
			}
			takeDecisions()
		}
		for k := 0; len(requests) > 0; k++ { // end all requests
			if k > 1000 {
				rt.Fatalf("%d requests not done after all attempts ended", len(requests))
			}
			for _, request := range append([]*Request{}, requests...) {
				endAttempt(request, OutcomeTimedOut)
			}
			now += 50
			lb.TimerFired(now)
			takeDecisions()
		}
		now += keyCooldown + 1
		lb.TimerFired(now)
		takeDecisions()
		if len(lb.keyQueues) > 0 {
			rt.Fatalf("%d key queues leaked", len(lb.keyQueues))
		}
	})
}

// A handoff snapshot keeps the cooldown of each key with its own end, whatever the order of the keys.
func TestHandoffKeepsCooldowns(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	for k, key := range []uint64{9, 5, 7} {
		request := h.requestWithKeyArrives(key, "request", 2)
		h.decisions()
		h.now += float64(10 * k)
		h.balancer.AttemptEnded(h.now, request.Attempts[0], OutcomeTimedOut, 10, true)
	}
	snapshot, err := h.balancer.HandoffSnapshot(h.backends)
	require.NoError(t, err)
	lb, _, backends, err := Restore(orderedConfig(), snapshot)
	require.NoError(t, err)
	successor := &harness{t: t, balancer: lb, now: h.now, backends: backends, requests: map[string]*Request{}}
	successor.setState(BackendReady, 0, backends...)
	for _, name := range []string{"nine", "five"} {
		successor.requestWithKeyArrives(map[string]uint64{"nine": 9, "five": 5}[name], name, 2)
	}
	require.NotContains(t, successor.decisions(), "attempt")
	require.Contains(t, successor.advance(keyCooldown-29).decisions(), "attempt:nine")
	require.Contains(t, successor.advance(11).decisions(), "attempt:five")
	successor.advance(keyCooldown).decisions()
	require.Empty(t, successor.balancer.keyQueues[7])
}
