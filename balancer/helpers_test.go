package balancer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness holds a balancer, its backends and the requests of a test, and drives them with a simulated clock.
type harness struct {
	t        *testing.T
	balancer *Balancer
	now      float64
	backends []*Backend
	requests map[string]*Request
	events   []Event // events of all DoLog decisions so far
}

// testConfig returns a configuration with a class of each kind: 0 idempotent, 1 at most once, 2 idempotent with a key in
// a zone, 3 idempotent with a key everywhere.
func testConfig() *Config {
	config := &Config{Seed: 7, Nodes: 1, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SendRetryAfter: true, MaxRetryAfter: 2000,
		PollInterval: 10e3, SlowStartShare: 0.25, SlowStartWindow: 10e3, OverloadMultiple: 3, OverloadWindow: 2000}
	for _, c := range []Class{{Idempotency: Idempotent}, {Idempotency: AtMostOnce},
		{Idempotency: IdempotentWithKey, DedupScope: DedupByZone, DedupWindow: 500}, {Idempotency: IdempotentWithKey, DedupWindow: 500}} {
		c.LatencyObjective, c.PriorityWeight, c.LateWeight = 1000, 1, 0.5
		config.Classes = append(config.Classes, c)
	}
	return config
}

// newHarness starts a balancer at 1000 ms with the given number of ready backends, all warmed up.
func newHarness(t *testing.T, config *Config, backends int) *harness {
	h := &harness{t: t, now: 1000, requests: map[string]*Request{}}
	h.balancer = New(config, h.now)
	for k := range backends {
		h.backends = append(h.backends, &Backend{ID: uint64(k)})
	}
	h.setState(BackendReady, 0, h.backends...)
	h.decisions()
	return h
}

// setState reports a state and a start time of backends, as a change of the endpoint list.
func (h *harness) setState(state BackendState, started float64, backends ...*Backend) {
	var endpoints []Endpoint
	for _, b := range backends {
		endpoints = append(endpoints, Endpoint{Backend: b, State: state, Zone: b.Zone, Cell: b.Cell, Kind: b.Kind,
			Weight: 1, Started: started})
	}
	h.balancer.EndpointsChanged(h.now, endpoints, false, false)
}

// requestArrives reports the arrival of a request; a hint of 0 means none.
func (h *harness) requestArrives(name string, class int, hint float64) *Request {
	request := &Request{Class: class, CostHint: hint, HasCostHint: hint != 0, Deadline: h.now + 4000}
	h.requests[name] = request
	h.balancer.RequestArrived(h.now, request)
	return request
}

// learnHints adds cost hints from 1 to 100, so that the cutoff is 96.
func (h *harness) learnHints() {
	for k := range 100 {
		h.balancer.cutoff.add(float64(k + 1))
	}
	h.balancer.estimates.work = runningMean{50, 50}
}

// endAttempt ends an attempt in flight at the present time.
func (h *harness) endAttempt(attempt *Attempt, outcome Outcome) {
	require.True(h.t, attempt.inFlight)
	h.balancer.AttemptEnded(h.now, attempt, outcome, h.now-attempt.SentAt, outcome == OutcomeAnswered)
}

// failAttempts sends the given number of attempts to each of the backends, and ends them with the outcome.
func (h *harness) failAttempts(times int, outcome Outcome, backends ...*Backend) {
	for k := range times * len(backends) {
		h.endAttempt(h.sendShort(backends[k/times]), outcome)
	}
}

// advance moves the clock forward and fires the timer.
func (h *harness) advance(ms float64) *harness {
	h.now += ms
	h.balancer.TimerFired(h.now)
	return h
}

// decisions consumes all decisions and returns them as words, without DoSetTimer. Events of DoLog are added to h.events.
func (h *harness) decisions() string {
	var words []string
	for n := 0; ; n++ {
		require.Less(h.t, n, 10000, "endless decisions")
		decision, more := h.balancer.Next()
		if !more {
			return strings.Join(words, " ")
		}
		switch decision.Kind {
		case DoAttempt:
			words = append(words, fmt.Sprintf("attempt:%s", h.nameOf(decision.Request)))
		case DoReject:
			words = append(words, "reject:"+h.nameOf(decision.Request))
		case DoFail:
			words = append(words, "fail:"+h.nameOf(decision.Request))
		case DoCancel:
			words = append(words, "cancel:"+h.nameOf(decision.Request))
		case DoPoll:
			words = append(words, "poll")
		case DoLog:
			h.events = append(h.events, decision.Event)
		}
	}
}

// nameOf returns the name that the test gave to a request.
func (h *harness) nameOf(request *Request) string {
	for name, named := range h.requests {
		if named == request {
			return name
		}
	}
	return "?"
}

// sendShort sends a new short request to a backend.
func (h *harness) sendShort(b *Backend) *Attempt {
	request := &Request{Class: 0, CostHint: 10, HasCostHint: true, Deadline: h.now + 4000, ArrivedAt: h.now}
	request.class, request.work, request.Config = &h.balancer.config.Classes[0], 10, h.balancer.config
	require.True(h.t, h.balancer.sendAttempt(request, b))
	h.decisions()
	return request.Attempts[0]
}
