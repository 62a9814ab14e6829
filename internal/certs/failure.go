package certs

import (
	"fmt"
	"math"
)

// FailureKind is why an action came to nothing.
type FailureKind string

// The kinds of failures, by who is to blame.
const (
	AuthorityUnavailable FailureKind = "away"    // no answer, or an error of the authority's own
	RateLimited          FailureKind = "limited" // the authority has had too many orders
	OrderRejected        FailureKind = "refused" // a challenge did not hold, or the authority does not issue for the name
	CertificateUnusable  FailureKind = "unfit"   // the certificate does not fit its key, names or the time
	OrderPending         FailureKind = "pending" // no failure: the order is not complete yet
	LocalFailure         FailureKind = "own"     // the disk, the store, or a challenge that could not be served
)

// ActionFailed takes the end of an action that came to nothing. retryAfter is for how long the authority wants not to be
// called, in ms, 0 where it did not say. An order that isOver is dropped; any other continues.
func (s *Scheduler) ActionFailed(now float64, name string, kind FailureKind, reason string, retryAfter float64, isOver bool) {
	state := s.Names[name]
	authority := s.authorityOf(state)
	if isOver {
		state.Order = nil
	}
	if kind == OrderPending {
		state.RetryAt = now + math.Max(retryAfter, minOrderPollDelay)
		return
	}
	state.Failures++
	state.LastFailure, state.LastFailureAt = reason, now
	wait := math.Max(s.backoff(name, state.Failures, now), retryAfter)
	switch kind {
	case AuthorityUnavailable:
		authority.Failures++
		// All names wait for an unavailable authority together: each for itself, ten names would call ten times as often.
		authorityWait := math.Max(s.backoff("", authority.Failures, now), retryAfter)
		authority.RetryAt = math.Max(authority.RetryAt, now+authorityWait)
	case RateLimited:
		authority.RetryAt = math.Max(authority.RetryAt, now+wait)
	}
	if authority.Failures == s.limits.FallBackAfter {
		authority.ReplacedAt = now
	}
	state.RetryAt = now + wait
	state.RenewalInfoAt = math.Max(state.RenewalInfoAt, state.RetryAt)
}

// authorityOf is the authority that a name's action was about.
func (s *Scheduler) authorityOf(state *NameState) *AuthorityState {
	switch {
	case state.Order != nil:
		return &s.Authorities[state.Order.Authority]
	case state.Certificate != nil:
		return &s.Authorities[s.issuer(state)]
	}
	return &s.Authorities[0]
}

// backoff is the wait after so many failures in a row, in ms, spread so that instances don't retry at the same time.
func (s *Scheduler) backoff(name string, failures int, now float64) float64 {
	wait := math.Min(s.limits.MinBackoff*math.Exp2(float64(failures-1)), s.limits.MaxBackoff)
	return wait * (0.5 + s.spread(name, fmt.Sprint(failures, now)))
}
