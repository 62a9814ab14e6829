package policy

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balance"
)

func terms() *balance.Terms {
	return &balance.Terms{Seed: 1, Nodes: 1, MaxPushes: 2, SecondCopies: true, Cancel: true, MustAsk: true, AskWithin: 1000,
		Categories: []balance.Category{{TargetLatency: 100}, {Effect: balance.AtMostOnce, TargetLatency: 100},
			{Effect: balance.Deduplicated, Group: balance.GroupZone, Remembered: 50, TargetLatency: 100}}}
}

func desk(t *testing.T, name string, sight Sight) (balance.Decider, []*balance.Backend) {
	d, err := New(name, terms(), 0, sight)
	require.NoError(t, err)
	all := []*balance.Backend{{Ref: 1}, {Ref: 2}, {Ref: 3}}
	var lines []balance.Listing
	for k, b := range all {
		lines = append(lines, balance.Listing{Backend: b, State: balance.Ready, Zone: k / 2, Weight: 1})
	}
	d.Listed(0, lines, true, false)
	return d, all
}

func kinds(d balance.Decider) (all []balance.Decision) {
	for x, more := d.Next(); more; x, more = d.Next() {
		all = append(all, x)
	}
	return all
}

func TestBaselines(t *testing.T) {
	for _, name := range []string{"random", "rotation", "fewest", "two-choices"} {
		d, all := desk(t, name, nil)
		count := map[*balance.Backend]int{}
		for k := range 300 {
			op := &balance.Op{Ref: uint64(k), GiveUp: 1e6}
			d.Arrived(float64(k), op)
			x := kinds(d)
			require.Len(t, x, 1, name)
			count[x[0].Push.Backend]++
			d.Ended(float64(k), x[0].Push, balance.Answered, 1, true)
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
		how      balance.Ending
		want     balance.Kind
	}{{0, balance.Reset, balance.DoPush}, {1, balance.Reset, balance.DoDeadLetter}, {1, balance.Rejected, balance.DoPush},
		{2, balance.TimedOut, balance.DoDeadLetter}, {2, balance.NotSent, balance.DoPush}} {
		d, all := desk(t, "rotation", nil)
		op := &balance.Op{Category: c.category, GiveUp: 1e6}
		d.Arrived(0, op)
		x := kinds(d)
		d.Ended(60, x[0].Push, c.how, 60, false)
		x = kinds(d)
		require.Len(t, x, 1)
		assert.Equal(t, c.want, x[0].Kind, "%+v", c)
		var lines []balance.Listing
		for _, b := range all {
			lines = append(lines, balance.Listing{Backend: b, State: balance.Draining, Weight: 1})
		}
		d.Listed(70, lines, false, false)
		next := &balance.Op{GiveUp: 1e6}
		d.Arrived(71, next)
		assert.Equal(t, balance.DoNack, kinds(d)[0].Kind)
	}
}

func TestAllSeeing(t *testing.T) {
	d, all := desk(t, "all-seeing", func(_ float64, b *balance.Backend, _ *balance.Op) float64 {
		return map[uint64]float64{1: 50, 2: 20, 3: math.Inf(1)}[b.Ref]
	})
	d.Arrived(0, &balance.Op{GiveUp: 100})
	assert.Equal(t, all[1], kinds(d)[0].Push.Backend)
	d.Arrived(0, &balance.Op{GiveUp: 10})
	assert.Equal(t, balance.DoNack, kinds(d)[0].Kind, "none could answer in time")
}

// Where the list must be asked for, a failed call is made again after a growing wait.
func TestAsks(t *testing.T) {
	d, err := New("random", terms(), 5, nil)
	require.NoError(t, err)
	d.Due(5)
	assert.Equal(t, balance.DoWatch, kinds(d)[0].Kind)
	d.ListFailed(6)
	x := kinds(d)
	assert.Equal(t, balance.DoTimer, x[0].Kind)
	assert.Greater(t, x[0].Wait, 100.0)
}
