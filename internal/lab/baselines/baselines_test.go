package baselines

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

func terms() *balancer.Config {
	return &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 2, AllowHedging: true, CancelAttempts: true, PollEndpoints: true, PollInterval: 1000,
		Classes: []balancer.Class{{LatencyObjective: 100}, {Idempotency: balancer.AtMostOnce, LatencyObjective: 100},
			{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupByZone, DedupWindow: 50, LatencyObjective: 100}}}
}

func desk(t *testing.T, name string, sight Sight) (balancer.Decider, []*balancer.Backend) {
	d, err := New(name, terms(), 0, sight)
	require.NoError(t, err)
	all := []*balancer.Backend{{ID: 1}, {ID: 2}, {ID: 3}}
	var lines []balancer.Endpoint
	for k, b := range all {
		lines = append(lines, balancer.Endpoint{Backend: b, State: balancer.BackendReady, Zone: k / 2, Weight: 1})
	}
	d.EndpointsChanged(0, lines, true, false)
	return d, all
}

func kinds(d balancer.Decider) (all []balancer.Decision) {
	for x, more := d.Next(); more; x, more = d.Next() {
		all = append(all, x)
	}
	return all
}

func TestBaselines(t *testing.T) {
	for _, name := range []string{"random", "rotation", "fewest", "two-choices"} {
		d, all := desk(t, name, nil)
		count := map[*balancer.Backend]int{}
		for k := range 300 {
			op := &balancer.Request{ID: uint64(k), Deadline: 1e6}
			d.RequestArrived(float64(k), op)
			x := kinds(d)
			require.Len(t, x, 1, name)
			count[x[0].Attempt.Backend]++
			d.AttemptEnded(float64(k), x[0].Attempt, balancer.OutcomeAnswered, 1, true)
			assert.Empty(t, kinds(d), name)
		}
		for _, b := range all {
			assert.InDelta(t, 100, count[b], 35, name)
		}
	}
	_, err := New("best", terms(), 0, nil)
	assert.Error(t, err)
	_, err = New("all-seeing", terms(), 0, nil)
	assert.Error(t, err)
}

// Baselines keep what any program must: drains, and repeats only as the category allows.
func TestBaselinesKeepRepeats(t *testing.T) {
	for _, c := range []struct {
		category int
		how      balancer.Outcome
		want     balancer.DecisionKind
	}{{0, balancer.OutcomeConnectionReset, balancer.DoAttempt}, {1, balancer.OutcomeConnectionReset, balancer.DoFail}, {1, balancer.OutcomeRejected, balancer.DoAttempt},
		{2, balancer.OutcomeTimedOut, balancer.DoFail}, {2, balancer.OutcomeNotSent, balancer.DoAttempt}} {
		d, all := desk(t, "rotation", nil)
		op := &balancer.Request{Class: c.category, Deadline: 1e6}
		d.RequestArrived(0, op)
		x := kinds(d)
		d.AttemptEnded(60, x[0].Attempt, c.how, 60, false)
		x = kinds(d)
		require.Len(t, x, 1)
		assert.Equal(t, c.want, x[0].Kind, "%+v", c)
		var lines []balancer.Endpoint
		for _, b := range all {
			lines = append(lines, balancer.Endpoint{Backend: b, State: balancer.BackendDraining, Weight: 1})
		}
		d.EndpointsChanged(70, lines, false, false)
		next := &balancer.Request{Deadline: 1e6}
		d.RequestArrived(71, next)
		assert.Equal(t, balancer.DoReject, kinds(d)[0].Kind)
	}
}

func TestAllSeeing(t *testing.T) {
	d, all := desk(t, "all-seeing", func(_ float64, b *balancer.Backend, _ *balancer.Request) float64 {
		return map[uint64]float64{1: 50, 2: 20, 3: math.Inf(1)}[b.ID]
	})
	d.RequestArrived(0, &balancer.Request{Deadline: 100})
	assert.Equal(t, all[1], kinds(d)[0].Attempt.Backend)
	d.RequestArrived(0, &balancer.Request{Deadline: 10})
	assert.Equal(t, balancer.DoReject, kinds(d)[0].Kind, "none could answer in time")
}

// Where the list must be asked for, a failed call is made again after a growing wait.
func TestAsks(t *testing.T) {
	d, err := New("random", terms(), 5, nil)
	require.NoError(t, err)
	d.TimerFired(5)
	assert.Equal(t, balancer.DoPoll, kinds(d)[0].Kind)
	d.PollFailed(6)
	x := kinds(d)
	assert.Equal(t, balancer.DoSetTimer, x[0].Kind)
	assert.Greater(t, x[0].Wait, 100.0)
}
