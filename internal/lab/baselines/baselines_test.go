package baselines

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

func terms() *balancer.Terms {
	return &balancer.Terms{Seed: 1, Nodes: 1, MaxPushes: 2, SecondCopies: true, Cancel: true, MustAsk: true, AskWithin: 1000,
		Categories: []balancer.Category{{TargetLatency: 100}, {Effect: balancer.AtMostOnce, TargetLatency: 100},
			{Effect: balancer.Deduplicated, Group: balancer.GroupZone, Remembered: 50, TargetLatency: 100}}}
}

func desk(t *testing.T, name string, sight Sight) (balancer.Decider, []*balancer.Backend) {
	d, err := New(name, terms(), 0, sight)
	require.NoError(t, err)
	all := []*balancer.Backend{{Ref: 1}, {Ref: 2}, {Ref: 3}}
	var lines []balancer.Listing
	for k, b := range all {
		lines = append(lines, balancer.Listing{Backend: b, State: balancer.Ready, Zone: k / 2, Weight: 1})
	}
	d.Listed(0, lines, true, false)
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
			op := &balancer.Op{Ref: uint64(k), GiveUp: 1e6}
			d.Arrived(float64(k), op)
			x := kinds(d)
			require.Len(t, x, 1, name)
			count[x[0].Push.Backend]++
			d.Ended(float64(k), x[0].Push, balancer.Answered, 1, true)
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
		how      balancer.Ending
		want     balancer.Kind
	}{{0, balancer.Reset, balancer.DoPush}, {1, balancer.Reset, balancer.DoDeadLetter}, {1, balancer.Rejected, balancer.DoPush},
		{2, balancer.TimedOut, balancer.DoDeadLetter}, {2, balancer.NotSent, balancer.DoPush}} {
		d, all := desk(t, "rotation", nil)
		op := &balancer.Op{Category: c.category, GiveUp: 1e6}
		d.Arrived(0, op)
		x := kinds(d)
		d.Ended(60, x[0].Push, c.how, 60, false)
		x = kinds(d)
		require.Len(t, x, 1)
		assert.Equal(t, c.want, x[0].Kind, "%+v", c)
		var lines []balancer.Listing
		for _, b := range all {
			lines = append(lines, balancer.Listing{Backend: b, State: balancer.Draining, Weight: 1})
		}
		d.Listed(70, lines, false, false)
		next := &balancer.Op{GiveUp: 1e6}
		d.Arrived(71, next)
		assert.Equal(t, balancer.DoNack, kinds(d)[0].Kind)
	}
}

func TestAllSeeing(t *testing.T) {
	d, all := desk(t, "all-seeing", func(_ float64, b *balancer.Backend, _ *balancer.Op) float64 {
		return map[uint64]float64{1: 50, 2: 20, 3: math.Inf(1)}[b.Ref]
	})
	d.Arrived(0, &balancer.Op{GiveUp: 100})
	assert.Equal(t, all[1], kinds(d)[0].Push.Backend)
	d.Arrived(0, &balancer.Op{GiveUp: 10})
	assert.Equal(t, balancer.DoNack, kinds(d)[0].Kind, "none could answer in time")
}

// Where the list must be asked for, a failed call is made again after a growing wait.
func TestAsks(t *testing.T) {
	d, err := New("random", terms(), 5, nil)
	require.NoError(t, err)
	d.Due(5)
	assert.Equal(t, balancer.DoWatch, kinds(d)[0].Kind)
	d.ListFailed(6)
	x := kinds(d)
	assert.Equal(t, balancer.DoTimer, x[0].Kind)
	assert.Greater(t, x[0].Wait, 100.0)
}
