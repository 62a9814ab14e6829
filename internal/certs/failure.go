package certs

import (
	"fmt"
	"math"
)

// FailureKind is the cause of an action's failure.
type FailureKind string

// The kinds of failures, by cause.
const (
	AuthorityUnavailable FailureKind = "away"    // no answer, or an internal error of the authority
	RateLimited          FailureKind = "limited" // the authority's rate limit is exceeded
	OrderRejected        FailureKind = "refused" // a challenge failed, or the authority does not issue for the name
	CertificateUnusable  FailureKind = "unfit"   // the certificate does not match its key or names, or is not valid now
	OrderPending         FailureKind = "pending" // no failure: the order is not complete yet
	LocalFailure         FailureKind = "own"     // the disk, the store, or a challenge that could not be served
)

// ActionFailed records the failure of an action. retryAfter is the wait that the authority requests, in ms; 0 if it
// requests none. The order is discarded if dropOrder is set, and continues otherwise.
func (s *Scheduler) ActionFailed(now float64, name string, kind FailureKind, reason string, retryAfter float64, dropOrder bool) {
	state := s.Names[name]
	authority := s.authorityOf(state)
	if dropOrder {
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
		// All names share one backoff for an unavailable authority: with one each, ten names would call ten times as often.
		authorityWait := math.Max(s.backoff("", authority.Failures, now), retryAfter)
		authority.RetryAt = math.Max(authority.RetryAt, now+authorityWait)
	case RateLimited:
		authority.RetryAt = math.Max(authority.RetryAt, now+wait)
	}
	if authority.Failures == s.limits.FallbackAfter {
		authority.FallbackStartedAt = now
	}
	state.RetryAt = now + wait
	state.RenewalInfoAt = math.Max(state.RenewalInfoAt, state.RetryAt)
}

// authorityOf returns the state of the authority that a name's action was for.
func (s *Scheduler) authorityOf(state *NameState) *AuthorityState {
	switch {
	case state.Order != nil:
		return &s.Authorities[state.Order.Authority]
	case state.Certificate != nil:
		return &s.Authorities[s.issuer(state)]
	}
	return &s.Authorities[0]
}

// backoff returns the wait after a number of consecutive failures, in ms, with jitter so that instances don't retry at the
// same time.
func (s *Scheduler) backoff(name string, failures int, now float64) float64 {
	wait := math.Min(s.limits.MinBackoff*math.Exp2(float64(failures-1)), s.limits.MaxBackoff)
	return wait * (0.5 + s.jitter(name, fmt.Sprint(failures, now)))
}
