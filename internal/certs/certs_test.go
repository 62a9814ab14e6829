package certs

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const day = 24 * hour

func limits(authorities int) Limits {
	l := Defaults()
	l.Instance, l.Authorities = "i", authorities
	return l
}

func held(from, days float64) Held {
	return Held{ID: "x.y", Serial: fmt.Sprint(from), NotBefore: from, NotAfter: from + days*day}
}

// act plays one action that succeeds.
func act(c *Core, now float64, a Action) {
	switch a.Kind {
	case Begin:
		c.Begun(now, a)
		c.Opened(a.Name, "order")
	case Go:
		c.Issued(now, a.Name, held(now, 90))
	case Ask:
		c.Informed(now, a.Name, 0, 0, 0)
	}
}

func TestLife(t *testing.T) {
	c := New(State{}, []string{"a"}, limits(1))
	now := 1e12
	a, due := c.Next(now)
	require.True(t, due)
	assert.Equal(t, Action{Begin, "a", 0, ""}, a)
	act(c, now, a)
	a, _ = c.Next(now)
	assert.Equal(t, Action{Go, "a", 0, "order"}, a, "never an order while one is open")
	act(c, now, a)
	assert.Equal(t, Fine, c.Stage(now, "a"))
	assert.InDelta(t, now+(60+4.5)*day, c.RenewAt("a"), 4.6*day)
	for at, want := range map[float64]Stage{now + 59*day: Fine, now + 70*day: Due, now + 82*day: Late, now + 91*day: Expired, now - 1: Early} {
		assert.Equal(t, want, c.Stage(at, "a"))
	}
	c.Informed(now, "a", now+10*day, now+12*day, 0)
	assert.InDelta(t, now+11*day, c.RenewAt("a"), day, "the authority's window comes first")
}

// Whatever fails, the waits grow, heed the authority, and the open order is gone on with.
func TestFailures(t *testing.T) {
	now := 1e12
	for name, c := range map[string]struct {
		fault Fault
		after float64
		over  bool
		least float64
		next  Kind
	}{
		"away":            {Away, 0, false, minute / 2, Go},
		"away, said when": {Away, hour, false, hour, Go},
		"limited":         {Limited, 3 * hour, true, 3 * hour, Begin},
		"refused":         {Refused, 0, true, minute / 2, Begin},
		"unfit":           {Unfit, 0, true, minute / 2, Begin},
		"pending":         {Pending, 0, false, 2e3, Go},
		"pending, said":   {Pending, 9e3, false, 9e3, Go},
		"own":             {OwnFault, 0, false, minute / 2, Go},
	} {
		x := New(State{}, []string{"a"}, limits(1))
		a, _ := x.Next(now)
		x.Begun(now, a)
		x.Opened("a", "url")
		x.Failed(now, "a", c.fault, "why", c.after, c.over)
		_, due := x.Next(now + c.least - 1)
		assert.False(t, due, name)
		wait := x.Wait(now)
		assert.GreaterOrEqual(t, wait, c.least-1, name)
		next, due := x.Next(now + wait)
		require.True(t, due, name)
		assert.Equal(t, c.next, next.Kind, name)
	}
}

func TestBackoffGrows(t *testing.T) {
	c := New(State{}, []string{"a"}, limits(1))
	now, last, waits := 1e12, 0.0, []float64{}
	for range 30 {
		a, due := c.Next(now)
		require.True(t, due)
		if a.Kind == Begin {
			c.Begun(now, a)
		}
		c.Failed(now, "a", Away, "down", 0, false)
		last = c.Wait(now)
		waits = append(waits, last)
		now += last
	}
	assert.Less(t, waits[0], 1.6*minute)
	assert.Greater(t, waits[20], 0.5*hour)
	assert.LessOrEqual(t, last, 1.5*hour)
	_, due := c.Next(now + 1)
	assert.True(t, due, "it is never given up")
}

// A second authority stands in for one that stays away, and the first is tried again after a time.
func TestFallBack(t *testing.T) {
	c := New(State{}, []string{"a"}, limits(2))
	now, used := 1e12, map[int]int{}
	for c.Names["a"].Held == nil {
		a, due := c.Next(now)
		if !due {
			now += math.Max(c.Wait(now), 1)
			continue
		}
		used[a.Authority]++
		if a.Kind == Begin {
			c.Begun(now, a)
		}
		if a.Authority == 0 {
			c.Failed(now, "a", Away, "down", 0, true)
		} else {
			c.Issued(now, "a", held(now, 90))
		}
		require.Less(t, now, 1e12+day)
	}
	assert.Equal(t, 4, used[0])
	assert.Equal(t, 1, c.Names["a"].Held.Authority)
	now = c.RenewAt("a")
	a, due := c.Next(now)
	require.True(t, due)
	assert.Zero(t, a.Authority, "after that long the first choice again")
}

// The ceiling holds whatever the number of names, and who expires first goes first.
func TestCeiling(t *testing.T) {
	var names []string
	for k := range 40 {
		names = append(names, fmt.Sprintf("n%02d", k))
	}
	c := New(State{}, names, limits(1))
	now := 1e12
	c.Names["n39"].Held = &Held{Serial: "1", NotBefore: now - 90*day, NotAfter: now - 1}
	var at []float64
	for len(at) < 40 {
		a, due := c.Next(now)
		if !due {
			wait := c.Wait(now)
			require.Positive(t, wait)
			require.False(t, math.IsInf(wait, 1))
			now += wait
			continue
		}
		if a.Kind == Begin {
			at = append(at, now)
		}
		act(c, now, a)
	}
	for i := range at {
		if i >= 6 {
			assert.GreaterOrEqual(t, at[i]-at[i-6], float64(hour)-1)
		}
	}
}

// A state that was kept goes on; what is no longer wanted, or at an authority that is no more, is let go of.
func TestKept(t *testing.T) {
	c := New(State{}, []string{"a", "b"}, limits(2))
	now := 1e12
	for range 2 {
		a, _ := c.Next(now)
		a.Authority = 1
		c.Begun(now, a)
		c.Opened(a.Name, "url-"+a.Name)
	}
	data, err := json.Marshal(c.State)
	require.NoError(t, err)
	var s State
	require.NoError(t, json.Unmarshal(data, &s))
	again := New(s, []string{"a"}, limits(2))
	a, due := again.Next(now)
	require.True(t, due)
	assert.Equal(t, Action{Go, "a", 1, "url-a"}, a)
	a, _ = New(s, []string{"a"}, limits(1)).Next(now)
	assert.Equal(t, Begin, a.Kind)
}

// Whatever happens in whatever order: no two orders of a name are open, the ceiling holds, waits are told, and no call is
// due again at the moment at which it failed.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(State{}, []string{"a", "b", "c"}, limits(2))
		now := 1e12
		var orders []float64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			a, due := c.Next(now)
			if !due {
				wait := c.Wait(now)
				if !(wait > 0) {
					t.Fatalf("nothing due, and no wait")
				}
				now += math.Min(wait, 400*day)
				continue
			}
			n := c.Names[a.Name]
			if a.Kind == Begin {
				if n.Order != nil {
					t.Fatal("a second order")
				}
				c.Begun(now, a)
				orders = append(orders, now)
				if len(orders) > 6 && now-orders[len(orders)-7] < hour {
					t.Fatal("above the ceiling")
				}
				if rapid.Bool().Draw(t, "opened") {
					c.Opened(a.Name, "url")
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				act(c, now, Action{Kind: map[bool]Kind{true: Ask, false: Go}[a.Kind == Ask], Name: a.Name})
			default:
				f := rapid.SampledFrom([]Fault{Away, Limited, Refused, Unfit, Pending, OwnFault}).Draw(t, "fault")
				c.Failed(now, a.Name, f, "why", rapid.Float64Range(0, 5*hour).Draw(t, "after"), rapid.Bool().Draw(t, "over"))
				if b, due := c.Next(now); due && b.Name == a.Name && b.Kind != Ask {
					t.Fatalf("%v again at once after %s", b, f)
				}
			}
		}
	})
}

// Instances of one name don't meet: over a hundred, no hour has more than its few.
func TestSpread(t *testing.T) {
	hours := map[int]int{}
	for k := range 100 {
		l := limits(1)
		l.Instance = fmt.Sprint("node-", k)
		c := New(State{}, []string{"a"}, l)
		c.Names["a"].Held = &Held{Serial: "7", NotBefore: 1e12, NotAfter: 1e12 + 90*day}
		hours[int((c.RenewAt("a")-1e12)/hour)]++
	}
	for _, n := range hours {
		assert.LessOrEqual(t, n, 6)
	}
	assert.Greater(t, len(hours), 50)
}
