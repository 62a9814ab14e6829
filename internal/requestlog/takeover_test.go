package requestlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// A member fails with a request in flight, and its successor decides by the request's idempotency and by the attempts in the
// log. A request that is not idempotent and may have run must not run again; one with an idempotency key may run again within
// the deduplication window of its first attempt; one that never ran is continued in any case.
func TestTakeoverAction(t *testing.T) {
	const (
		attemptStartedAt = 1000.0
		dedupWindow      = 800.0
		deadline         = 5000.0
	)
	inFlight := Attempt{Backend: "b", StartedAt: attemptStartedAt}
	neverRan := Attempt{Backend: "b", StartedAt: attemptStartedAt, Ended: true, Outcome: balancer.OutcomeConnectFailed}
	timedOut := Attempt{Backend: "b", StartedAt: attemptStartedAt, Ended: true, Outcome: balancer.OutcomeTimedOut}
	for name, c := range map[string]struct {
		idempotency balancer.Idempotency
		attempts    []Attempt
		now         float64
		want        TakeoverAction
	}{
		"idempotent, in flight":                        {balancer.Idempotent, []Attempt{inFlight}, 1500, ContinueRequest},
		"at most once, in flight":                      {balancer.AtMostOnce, []Attempt{inFlight}, 1500, FailRequest},
		"at most once, timed out":                      {balancer.AtMostOnce, []Attempt{timedOut}, 1500, FailRequest},
		"at most once, never ran":                      {balancer.AtMostOnce, []Attempt{neverRan}, 1500, ContinueRequest},
		"at most once, never ran and then in flight":   {balancer.AtMostOnce, []Attempt{neverRan, inFlight}, 1500, FailRequest},
		"idempotency key, within its window":           {balancer.IdempotentWithKey, []Attempt{inFlight}, 1700, ContinueRequest},
		"idempotency key, after its window":            {balancer.IdempotentWithKey, []Attempt{inFlight}, 1801, FailRequest},
		"idempotency key, never ran, after its window": {balancer.IdempotentWithKey, []Attempt{neverRan}, 1900, ContinueRequest},
		"idempotent, just before its deadline":         {balancer.Idempotent, []Attempt{inFlight}, 4990, RejectRequest},
		"at most once, after its deadline":             {balancer.AtMostOnce, []Attempt{inFlight}, 6000, FailRequest},
		"at most once, never ran, after its deadline":  {balancer.AtMostOnce, []Attempt{neverRan}, 6000, RejectRequest},
	} {
		entry := Entry{
			Request:  Request{Idempotency: c.idempotency, DedupWindow: dedupWindow, Deadline: deadline},
			Attempts: c.attempts,
		}
		action, reason := entry.TakeoverAction(c.now)
		require.Equal(t, c.want, action, "%s: %s", name, reason)
	}
}

// A request with an idempotency key, of which attempts may have run on two backends, is continued only if the backends share
// their keys within the request's deduplication scope.
func TestTakeoverActionByDedupScope(t *testing.T) {
	first := Attempt{Backend: "b", Zone: 0, Cell: 0, StartedAt: 1000}
	otherCell := Attempt{Number: 1, Backend: "c", Zone: 0, Cell: 1, StartedAt: 1100}
	otherZone := Attempt{Number: 1, Backend: "d", Zone: 1, Cell: 2, StartedAt: 1100}
	neverRan := Attempt{Number: 1, Backend: "d", Zone: 1, Cell: 2, StartedAt: 1100, Ended: true, Outcome: balancer.OutcomeConnectFailed}
	for name, c := range map[string]struct {
		scope  balancer.DedupScope
		second Attempt
		want   TakeoverAction
	}{
		"all, another zone":             {balancer.DedupByAll, otherZone, ContinueRequest},
		"zone, another cell":            {balancer.DedupByZone, otherCell, ContinueRequest},
		"zone, another zone":            {balancer.DedupByZone, otherZone, FailRequest},
		"cell, another cell":            {balancer.DedupByCell, otherCell, FailRequest},
		"cell, another one, never ran":  {balancer.DedupByCell, neverRan, ContinueRequest},
		"zone, another zone, never ran": {balancer.DedupByZone, neverRan, ContinueRequest},
	} {
		entry := Entry{
			Request:  Request{Idempotency: balancer.IdempotentWithKey, DedupScope: c.scope, DedupWindow: 800, Deadline: 5000},
			Attempts: []Attempt{first, c.second},
		}
		action, reason := entry.TakeoverAction(1500)
		require.Equal(t, c.want, action, "%s: %s", name, reason)
	}
}
