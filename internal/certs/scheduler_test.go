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

func testLimits(authorities int) Limits {
	limits := DefaultLimits()
	limits.Instance, limits.AuthorityCount = "i", authorities
	return limits
}

// testCertificate returns a certificate that is valid for a number of days.
func testCertificate(from, days float64) Certificate {
	return Certificate{RenewalID: "x.y", Serial: fmt.Sprint(from), NotBefore: from, NotAfter: from + days*day}
}

// reportSuccess reports an action's success.
func reportSuccess(scheduler *Scheduler, now float64, action Action) {
	switch action.Kind {
	case CreateOrder:
		scheduler.OrderBegun(now, action)
		scheduler.OrderCreated(action.Name, "order")
	case ContinueOrder:
		scheduler.CertificateIssued(now, action.Name, testCertificate(now, 90))
	case FetchRenewalInfo:
		scheduler.RenewalInfoFetched(now, action.Name, 0, 0, 0)
	}
}

func TestCertificateLifetime(t *testing.T) {
	scheduler := New(State{}, []string{"a"}, testLimits(1))
	now := 1e12
	action, due := scheduler.Next(now)
	require.True(t, due)
	assert.Equal(t, Action{CreateOrder, "a", 0, ""}, action)
	reportSuccess(scheduler, now, action)
	action, _ = scheduler.Next(now)
	assert.Equal(t, Action{ContinueOrder, "a", 0, "order"}, action, "never an order while one is open")
	reportSuccess(scheduler, now, action)
	assert.Equal(t, StageFine, scheduler.Stage(now, "a"))
	assert.InDelta(t, now+(60+4.5)*day, scheduler.RenewAt("a"), 4.6*day)
	for at, want := range map[float64]Stage{now + 59*day: StageFine, now + 70*day: StageRenewalDue, now + 82*day: StageLate, now + 91*day: StageExpired, now - 1: StageNotYetValid} {
		assert.Equal(t, want, scheduler.Stage(at, "a"))
	}
	scheduler.RenewalInfoFetched(now, "a", now+10*day, now+12*day, 0)
	assert.InDelta(t, now+11*day, scheduler.RenewAt("a"), day, "the authority's window comes first")
}

// After any failure the retry waits at least as long as the authority requests, and an open order continues.
func TestRetryAfterFailure(t *testing.T) {
	now := 1e12
	for name, test := range map[string]struct {
		kind       FailureKind
		retryAfter float64
		dropOrder  bool
		minWait    float64
		next       ActionKind
	}{
		"unavailable":              {AuthorityUnavailable, 0, false, minute / 2, ContinueOrder},
		"unavailable, Retry-After": {AuthorityUnavailable, hour, false, hour, ContinueOrder},
		"rate limited":             {RateLimited, 3 * hour, true, 3 * hour, CreateOrder},
		"rejected":                 {OrderRejected, 0, true, minute / 2, CreateOrder},
		"unusable":                 {CertificateUnusable, 0, true, minute / 2, CreateOrder},
		"pending":                  {OrderPending, 0, false, 2e3, ContinueOrder},
		"pending, Retry-After":     {OrderPending, 9e3, false, 9e3, ContinueOrder},
		"local":                    {LocalFailure, 0, false, minute / 2, ContinueOrder},
	} {
		scheduler := New(State{}, []string{"a"}, testLimits(1))
		action, _ := scheduler.Next(now)
		scheduler.OrderBegun(now, action)
		scheduler.OrderCreated("a", "url")
		scheduler.ActionFailed(now, "a", test.kind, "why", test.retryAfter, test.dropOrder)
		_, due := scheduler.Next(now + test.minWait - 1)
		assert.False(t, due, name)
		wait := scheduler.WaitMs(now)
		assert.GreaterOrEqual(t, wait, test.minWait-1, name)
		next, due := scheduler.Next(now + wait)
		require.True(t, due, name)
		assert.Equal(t, test.next, next.Kind, name)
	}
}

func TestBackoffGrows(t *testing.T) {
	scheduler := New(State{}, []string{"a"}, testLimits(1))
	now, last, waits := 1e12, 0.0, []float64{}
	for range 30 {
		action, due := scheduler.Next(now)
		require.True(t, due)
		if action.Kind == CreateOrder {
			scheduler.OrderBegun(now, action)
		}
		scheduler.ActionFailed(now, "a", AuthorityUnavailable, "down", 0, false)
		last = scheduler.WaitMs(now)
		waits = append(waits, last)
		now += last
	}
	assert.Less(t, waits[0], 1.6*minute)
	assert.Greater(t, waits[20], 0.5*hour)
	assert.LessOrEqual(t, last, 1.5*hour)
	_, due := scheduler.Next(now + 1)
	assert.True(t, due, "retries never end")
}

// Orders fall back to a second authority when the first stays unavailable, and the first one is tried again after a time.
func TestFallbackAuthority(t *testing.T) {
	scheduler := New(State{}, []string{"a"}, testLimits(2))
	now, ordersBy := 1e12, map[int]int{}
	for scheduler.Names["a"].Certificate == nil {
		action, due := scheduler.Next(now)
		if !due {
			now += math.Max(scheduler.WaitMs(now), 1)
			continue
		}
		ordersBy[action.Authority]++
		if action.Kind == CreateOrder {
			scheduler.OrderBegun(now, action)
		}
		if action.Authority == 0 {
			scheduler.ActionFailed(now, "a", AuthorityUnavailable, "down", 0, true)
		} else {
			scheduler.CertificateIssued(now, "a", testCertificate(now, 90))
		}
		require.Less(t, now, 1e12+day)
	}
	assert.Equal(t, 4, ordersBy[0])
	assert.Equal(t, 1, scheduler.Names["a"].Certificate.Authority)
	now = scheduler.RenewAt("a")
	action, due := scheduler.Next(now)
	require.True(t, due)
	assert.Zero(t, action.Authority, "the first one is tried again after that long")
}

// The rate limit of orders holds whatever the number of names.
func TestOrderRateLimit(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	scheduler := New(State{}, names, testLimits(1))
	now := 1e12
	scheduler.Names["n39"].Certificate = &Certificate{Serial: "1", NotBefore: now - 90*day, NotAfter: now - 1}
	var orderedAt []float64
	for len(orderedAt) < 40 {
		action, due := scheduler.Next(now)
		if !due {
			wait := scheduler.WaitMs(now)
			require.Positive(t, wait)
			require.False(t, math.IsInf(wait, 1))
			now += wait
			continue
		}
		if action.Kind == CreateOrder {
			orderedAt = append(orderedAt, now)
		}
		reportSuccess(scheduler, now, action)
	}
	for i := range orderedAt {
		if i >= 6 {
			assert.GreaterOrEqual(t, orderedAt[i]-orderedAt[i-6], float64(hour)-1)
		}
	}
}

// A stored state continues after a restart. Names that are no longer wanted are dropped, and so are orders at an authority that is
// no longer configured.
func TestStoredStateContinues(t *testing.T) {
	scheduler := New(State{}, []string{"a", "b"}, testLimits(2))
	now := 1e12
	for range 2 {
		action, _ := scheduler.Next(now)
		action.Authority = 1
		scheduler.OrderBegun(now, action)
		scheduler.OrderCreated(action.Name, "url-"+action.Name)
	}
	data, err := json.Marshal(scheduler.State)
	require.NoError(t, err)
	var state State
	require.NoError(t, json.Unmarshal(data, &state))
	restarted := New(state, []string{"a"}, testLimits(2))
	action, due := restarted.Next(now)
	require.True(t, due)
	assert.Equal(t, Action{ContinueOrder, "a", 1, "url-a"}, action)
	action, _ = New(state, []string{"a"}, testLimits(1)).Next(now)
	assert.Equal(t, CreateOrder, action.Kind)
}

// Whatever happens in whatever order: a name never has two open orders, the rate limit holds, there is a wait where nothing is due,
// and no action is due again at the moment at which it failed.
func TestInvariantsInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(State{}, []string{"a", "b", "c"}, testLimits(2))
		now := 1e12
		var orders []float64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			action, due := scheduler.Next(now)
			if !due {
				wait := scheduler.WaitMs(now)
				if !(wait > 0) {
					t.Fatalf("nothing due, and no wait")
				}
				now += math.Min(wait, 400*day)
				continue
			}
			name := scheduler.Names[action.Name]
			if action.Kind == CreateOrder {
				if name.Order != nil {
					t.Fatal("a second order")
				}
				scheduler.OrderBegun(now, action)
				orders = append(orders, now)
				if len(orders) > 6 && now-orders[len(orders)-7] < hour {
					t.Fatal("above the rate limit")
				}
				if rapid.Bool().Draw(t, "opened") {
					scheduler.OrderCreated(action.Name, "url")
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				reportSuccess(scheduler, now, Action{Kind: map[bool]ActionKind{true: FetchRenewalInfo, false: ContinueOrder}[action.Kind == FetchRenewalInfo], Name: action.Name})
			default:
				failure := rapid.SampledFrom([]FailureKind{AuthorityUnavailable, RateLimited, OrderRejected, CertificateUnusable, OrderPending, LocalFailure}).Draw(t, "fault")
				scheduler.ActionFailed(now, action.Name, failure, "why", rapid.Float64Range(0, 5*hour).Draw(t, "after"), rapid.Bool().Draw(t, "over"))
				if next, due := scheduler.Next(now); due && next.Name == action.Name && next.Kind != FetchRenewalInfo {
					t.Fatalf("%v again at once after %s", next, failure)
				}
			}
		}
	})
}

// A hundred instances with one name renew at different times: no hour has more than a few renewals.
func TestInstancesSpreadRenewals(t *testing.T) {
	renewalsByHour := map[int]int{}
	for i := range 100 {
		limits := testLimits(1)
		limits.Instance = fmt.Sprint("node-", i)
		scheduler := New(State{}, []string{"a"}, limits)
		scheduler.Names["a"].Certificate = &Certificate{Serial: "7", NotBefore: 1e12, NotAfter: 1e12 + 90*day}
		renewalsByHour[int((scheduler.RenewAt("a")-1e12)/hour)]++
	}
	for _, n := range renewalsByHour {
		assert.LessOrEqual(t, n, 6)
	}
	assert.Greater(t, len(renewalsByHour), 50)
}
