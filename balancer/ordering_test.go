package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// keyCooldown in ms is the cooldown of orderedConfig's keys.
const keyCooldown = 200.0

// orderedConfig is testConfig where classes 2 and 3 keep their key's order, without hedging.
func orderedConfig() *Config {
	t := testConfig()
	t.AllowHedging, t.UncertainCooldown = false, keyCooldown
	t.Classes[2].Ordered, t.Classes[3].Ordered = true, true
	return t
}

// requestWithKey has a request with a key arrive.
func (h *harness) requestWithKey(key uint64, name string, class int) *Request {
	request := &Request{Class: class, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, Key: key}
	h.requests[name] = request
	h.balancer.RequestArrived(h.now, request)
	return request
}

// What the end of a key's request means for the next one of the key.
func TestOrderOfAKey(t *testing.T) {
	for _, c := range []struct {
		name string
		how  Outcome // of a's attempt, 30 ms after it went out
		then string  // at once
		rest string  // after the key's cooldown, and not sooner
	}{
		{"an answer gives the turn to the next", OutcomeAnswered, "attempt:b", ""},
		{"so does what never ran, once it is rejected", OutcomeRejected, "reject:a attempt:b", ""},
		// Reported: a request was sent 25 ms after an attempt of its key's earlier request had ended without proof that
		// it runs no more.
		{"after a time-out the cooldown runs", OutcomeTimedOut, "reject:a", "attempt:b"},
		{"after a reset the cooldown runs", OutcomeConnectionReset, "reject:a", "attempt:b"},
		{"an error ends the work", OutcomeFailed, "reject:a attempt:b", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := orderedConfig()
			config.MaxAttempts = 1
			h := newHarness(t, config, 4)
			a := h.requestWithKey(7, "a", 3)
			h.requestWithKey(7, "b", 3)
			h.requestWithKey(0, "free", 3) // without a key
			h.requestWithKey(7, "other", 0)
			h.requestWithKey(8, "else", 3)
			// Reported: a request of a key was sent while an earlier one of it was not over.
			require.Equal(t, "attempt:a attempt:free attempt:other attempt:else", h.decisions())
			h.now += 30
			h.endAttempt(a.Attempts[0], c.how)
			require.Equal(t, c.then, h.decisions())
			require.Empty(t, h.advance(keyCooldown-1).decisions())
			require.Equal(t, c.rest, h.advance(2).decisions())
		})
	}
}

// All classes that keep order share their keys. A request whose client leaves gives up its turn; its attempt outlives
// it and keeps the key.
func TestOrderAcrossClassesAndAbandonedRequests(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	a := h.requestWithKey(7, "a", 3)
	b := h.requestWithKey(7, "b", 2) // all that keep order share their keys
	c := h.requestWithKey(7, "c", 3)
	require.Equal(t, "attempt:a", h.decisions())
	h.balancer.RequestAbandoned(h.now, b) // leaves the queue of the key before its turn
	require.Empty(t, h.decisions())
	h.balancer.RequestAbandoned(h.now, a) // a's attempt outlives it and orders the key
	require.Equal(t, "cancel:a", h.decisions())
	require.Empty(t, h.advance(100).decisions())
	h.endAttempt(a.Attempts[0], OutcomeCanceled)
	require.Empty(t, h.decisions())
	require.Equal(t, "attempt:c", h.advance(keyCooldown+1).decisions())
	h.endAttempt(c.Attempts[0], OutcomeAnswered)
	require.Empty(t, h.balancer.keyQueues, "a key without requests and cooldown is forgotten")
}

// A request that has its turn may be retried without a cooldown. One whose turn does not come in time is rejected then;
// a third, for which the two before it are predicted to take too long, at once.
func TestWaitingForTheKeyEndsInTime(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	a := h.requestWithKey(7, "a", 3)
	require.Equal(t, "attempt:a", h.decisions())
	h.now += 30
	h.endAttempt(a.Attempts[0], OutcomeTimedOut)
	require.Equal(t, "attempt:a", h.decisions())
	h.requestWithKey(7, "b", 3).Deadline = h.now + 500
	require.Empty(t, h.decisions())
	for _, name := range []string{"heavy", "behind"} {
		request := &Request{Class: 3, CostHint: 600, HasCostHint: true, Deadline: h.now + 1000, Key: 9}
		h.requests[name] = request
		h.balancer.RequestArrived(h.now, request)
	}
	require.Equal(t, "attempt:heavy reject:behind", h.decisions())
	now := h.now
	for h.now < now+495 && h.balancer.keyQueues[7].requests[0] == a && len(h.balancer.keyQueues[7].requests) > 1 {
		h.advance(5)
		require.NotContains(t, h.decisions(), "attempt:b")
	}
	require.Len(t, h.balancer.keyQueues[7].requests, 1, "rejected when it could no longer be in time")
	require.Greater(t, h.now, now+300)
}

// No attempt out of order and no key kept for good, whatever comes: time-outs, resets, cancels, clients that leave,
// snapshots, restarts.
func TestOrderUnderRandomEvents(t *testing.T) {
	endings := []Outcome{OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeConnectFailed, OutcomeConnectionReset, OutcomeCanceled, OutcomeNotSent}
	rapid.Check(t, func(r *rapid.T) {
		n := New(orderedConfig(), 1000)
		now := 1000.0
		var backends []*Backend
		var endpoints []Endpoint
		for k := range 5 {
			backends = append(backends, &Backend{ID: uint64(k)})
			endpoints = append(endpoints, Endpoint{Backend: backends[k], State: BackendReady, Weight: 1})
		}
		n.EndpointsChanged(now, endpoints, true, true)
		var requests []*Request // arrived, not over, in order
		cooldowns := map[uint64]float64{}
		isOrdered := func(o *Request) bool { return o.Key != 0 && o.Class >= 2 }
		pull := func() {
			for {
				d, more := n.Next()
				if !more {
					break
				}
				if d.Kind != DoAttempt || !isOrdered(d.Request) {
					continue
				}
				for _, o := range requests {
					if o == d.Request {
						break
					}
					if isOrdered(o) && o.Key == d.Request.Key && !o.IsDone() {
						r.Fatalf("request %d sent before %d of its key was over", d.Request.ID, o.ID)
					}
				}
				if len(d.Request.Attempts) == 1 && now < cooldowns[d.Request.Key] {
					r.Fatalf("request %d sent while its key's cooldown runs until %v, at %v", d.Request.ID, cooldowns[d.Request.Key], now)
				}
			}
			open := requests[:0]
			for _, o := range requests {
				if !o.IsDone() {
					open = append(open, o)
				}
			}
			requests = open
		}
		end := func(o *Request, how Outcome) {
			for _, p := range o.Attempts {
				if p.inFlight {
					if isOrdered(o) && (how == OutcomeTimedOut || how == OutcomeConnectionReset || how == OutcomeCanceled) {
						cooldowns[o.Key] = now + keyCooldown
					}
					n.AttemptEnded(now, p, how, now-p.SentAt, how == OutcomeAnswered || o.stage == stageEnded)
					return
				}
			}
		}
		one := func() *Request { return requests[rapid.IntRange(0, len(requests)-1).Draw(r, "request")] }
		for k := range rapid.IntRange(1, 80).Draw(r, "steps") {
			now += rapid.SampledFrom([]float64{0, 5, 50, 300}).Draw(r, "pass")
			n.TimerFired(now)
			pull()
			switch step := rapid.IntRange(0, 9).Draw(r, "step"); {
			case step < 4 || len(requests) == 0:
				o := &Request{ID: uint64(k), Class: rapid.IntRange(0, 3).Draw(r, "class"), CostHint: 20, HasCostHint: true, Deadline: now + 2000,
					Key: uint64(rapid.IntRange(0, 2).Draw(r, "key"))}
				requests = append(requests, o)
				n.RequestArrived(now, o)
			case step < 8:
				end(one(), rapid.SampledFrom(endings).Draw(r, "how"))
			case step == 8:
				n.RequestAbandoned(now, one())
			default:
				pull()
				s, err := n.Snapshot(requests, backends)
				require.NoError(r, err)
				if n, requests, backends, err = Restore(orderedConfig(), s); err != nil {
					r.Fatal(fmt.Sprint(err))
				}
			}
			pull()
		}
		for k := 0; len(requests) > 0; k++ { // everything ends
			if k > 1000 {
				r.Fatalf("%d requests never end", len(requests))
			}
			for _, o := range append([]*Request{}, requests...) {
				end(o, OutcomeTimedOut)
			}
			now += 50
			n.TimerFired(now)
			pull()
		}
		now += keyCooldown + 1
		n.TimerFired(now)
		pull()
		if len(n.keyQueues) > 0 {
			r.Fatalf("%d keys are kept for good", len(n.keyQueues))
		}
	})
}

// Another process takes over the cooldowns of keys, each to its own end, whatever the order of the keys.
func TestCooldownsAreHandedOver(t *testing.T) {
	h := newHarness(t, orderedConfig(), 4)
	for k, key := range []uint64{9, 5, 7} {
		request := h.requestWithKey(key, "request", 2)
		h.decisions()
		h.now += float64(10 * k)
		h.balancer.AttemptEnded(h.now, request.Attempts[0], OutcomeTimedOut, 10, true)
	}
	s, err := h.balancer.HandoffSnapshot(h.backends)
	require.NoError(t, err)
	n, _, backends, err := Restore(orderedConfig(), s)
	require.NoError(t, err)
	next := &harness{t: t, balancer: n, now: h.now, backends: backends, requests: map[string]*Request{}}
	next.setState(BackendReady, 0, backends...)
	for _, name := range []string{"nine", "five"} {
		next.requestWithKey(map[string]uint64{"nine": 9, "five": 5}[name], name, 2)
	}
	require.NotContains(t, next.decisions(), "attempt")
	require.Contains(t, next.advance(keyCooldown-29).decisions(), "attempt:nine")
	require.Contains(t, next.advance(11).decisions(), "attempt:five")
	next.advance(keyCooldown).decisions()
	require.Empty(t, next.balancer.keyQueues[7])
}
