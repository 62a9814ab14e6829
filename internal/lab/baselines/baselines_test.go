package baselines

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// Classes of testConfig.
const (
	classIdempotent = iota
	classAtMostOnce
	classWithKey
)

// testConfig returns a configuration with a class of each kind of idempotency.
func testConfig() *balancer.Config {
	return &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 2, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 1000,
		Classes: []balancer.Class{
			classIdempotent: {LatencyObjective: 100},
			classAtMostOnce: {Idempotency: balancer.AtMostOnce, LatencyObjective: 100},
			classWithKey: {Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupByZone, DedupWindow: 50,
				LatencyObjective: 100},
		}}
}

// newPolicy returns a policy with three ready backends.
func newPolicy(t *testing.T, name string, estimate CompletionEstimate) (balancer.Decider, []*balancer.Backend) {
	t.Helper()
	decider, err := New(name, testConfig(), 0, estimate)
	require.NoError(t, err)
	backends := []*balancer.Backend{{ID: 1}, {ID: 2}, {ID: 3}}
	var endpoints []balancer.Endpoint
	for i, backend := range backends {
		endpoints = append(endpoints, balancer.Endpoint{Backend: backend, State: balancer.BackendReady, Zone: i / 2, Weight: 1})
	}
	decider.EndpointsChanged(0, endpoints, true, false)
	return decider, backends
}

// pullDecisions returns all decisions that a policy has made.
func pullDecisions(decider balancer.Decider) (decisions []balancer.Decision) {
	for decision, more := decider.Next(); more; decision, more = decider.Next() {
		decisions = append(decisions, decision)
	}
	return decisions
}

// With equal backends and one request at a time, each baseline must distribute the load evenly: comparing the balancer
// with an uneven baseline would overstate its benefit.
func TestBaselinesSpreadEvenly(t *testing.T) {
	for _, name := range []string{"random", "rotation", "fewest", "two-choices"} {
		decider, backends := newPolicy(t, name, nil)
		attempts := map[*balancer.Backend]int{}
		for i := range 300 {
			request := &balancer.Request{ID: uint64(i), Deadline: 1e6}
			decider.RequestArrived(float64(i), request)
			decisions := pullDecisions(decider)
			require.Len(t, decisions, 1, name)
			attempts[decisions[0].Attempt.Backend]++
			decider.AttemptEnded(float64(i), decisions[0].Attempt, balancer.OutcomeAnswered, 1, true)
			assert.Empty(t, pullDecisions(decider), name)
		}
		for _, backend := range backends {
			assert.InDelta(t, 100, attempts[backend], 35, name)
		}
	}
	_, err := New("best", testConfig(), 0, nil)
	assert.Error(t, err)
	_, err = New("all-seeing", testConfig(), 0, nil)
	assert.Error(t, err)
}

// A baseline sends nothing to draining backends, and retries only as the class allows.
func TestBaselinesRetrySafely(t *testing.T) {
	for name, c := range map[string]struct {
		class   int
		outcome balancer.Outcome
		want    balancer.DecisionKind
	}{
		"idempotent":                 {classIdempotent, balancer.OutcomeConnectionReset, balancer.DoAttempt},
		"may have run":               {classAtMostOnce, balancer.OutcomeConnectionReset, balancer.DoFail},
		"never ran":                  {classAtMostOnce, balancer.OutcomeRejected, balancer.DoAttempt},
		"after deduplication window": {classWithKey, balancer.OutcomeTimedOut, balancer.DoFail},
		"with a key, but never ran":  {classWithKey, balancer.OutcomeNotSent, balancer.DoAttempt},
	} {
		decider, backends := newPolicy(t, "rotation", nil)
		request := &balancer.Request{Class: c.class, Deadline: 1e6}
		decider.RequestArrived(0, request)
		decisions := pullDecisions(decider)
		decider.AttemptEnded(60, decisions[0].Attempt, c.outcome, 60, false)
		decisions = pullDecisions(decider)
		require.Len(t, decisions, 1, name)
		assert.Equal(t, c.want, decisions[0].Kind, name)
		var draining []balancer.Endpoint
		for _, backend := range backends {
			draining = append(draining, balancer.Endpoint{Backend: backend, State: balancer.BackendDraining, Weight: 1})
		}
		decider.EndpointsChanged(70, draining, false, false)
		decider.RequestArrived(71, &balancer.Request{Deadline: 1e6})
		assert.Equal(t, balancer.DoReject, pullDecisions(decider)[0].Kind, name)
	}
}

// The all-seeing policy is an upper bound for all policies: it picks the backend that completes first, and uses no
// capacity for a request that no backend completes in time.
func TestAllSeeing(t *testing.T) {
	decider, backends := newPolicy(t, "all-seeing", func(_ float64, backend *balancer.Backend, _ *balancer.Request) float64 {
		return map[uint64]float64{1: 50, 2: 20, 3: math.Inf(1)}[backend.ID]
	})
	decider.RequestArrived(0, &balancer.Request{Deadline: 100})
	assert.Equal(t, backends[1], pullDecisions(decider)[0].Attempt.Backend)
	decider.RequestArrived(0, &balancer.Request{Deadline: 10})
	assert.Equal(t, balancer.DoReject, pullDecisions(decider)[0].Kind, "no backend completes it in time")
}

// While the discovery service is down, nodes must not poll it in a tight loop: a failed poll is repeated after a backoff.
func TestFailedPollBacksOff(t *testing.T) {
	decider, err := New("random", testConfig(), 5, nil)
	require.NoError(t, err)
	decider.TimerFired(5)
	assert.Equal(t, balancer.DoPoll, pullDecisions(decider)[0].Kind)
	decider.PollFailed(6)
	decisions := pullDecisions(decider)
	assert.Equal(t, balancer.DoSetTimer, decisions[0].Kind)
	assert.Greater(t, decisions[0].Wait, 100.0)
}
