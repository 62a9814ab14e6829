// Package certs decides when a certificate is ordered, from which authority, and when a failed order is retried. A
// certificate is renewed in the window that its authority suggests, or else from two thirds of its lifetime on; retries
// back off, and a second authority is the fallback for a first one that stays unavailable.
//
// The package does no I/O and has no clock: times are Unix ms that the caller passes in. What must persist across
// restarts is in State, which the caller stores; after a restart an open order continues.
package certs

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	minute = 60e3
	hour   = 60 * minute
)

const (
	// minOrderPollDelay is the minimum wait until an order that is not complete is polled again, in ms.
	minOrderPollDelay = 2e3

	// Renewal information is fetched again no sooner than minRenewalInfoDelay and no later than maxRenewalInfoDelay,
	// in ms, whatever the authority states.
	minRenewalInfoDelay = minute
	maxRenewalInfoDelay = 24 * hour
)

// Limits holds the rate limit, the fallback and the retry intervals for calls to authorities. Times are in ms.
type Limits struct {
	Instance            string  // seeds the jitter, so that instances with the same names renew at different times
	AuthorityCount      int     // the first is preferred, the others are its fallbacks
	OrdersPerHour       int     // for all names together; far below any authority's public limit
	FallbackAfter       int     // consecutive failures of one authority until the next is used
	RetryPreferredAfter float64 // until an authority is tried again after the fallback from it
	MinBackoff          float64 // after the first failure; doubles with each
	MaxBackoff          float64
	RenewalInfoInterval float64 // between fetches of the renewal information, if the authority states no other
}

// DefaultLimits returns the limits for a service with a few names.
func DefaultLimits() Limits {
	return Limits{
		AuthorityCount:      1,
		OrdersPerHour:       6,
		FallbackAfter:       4,
		RetryPreferredAfter: 24 * hour,
		MinBackoff:          minute,
		MaxBackoff:          hour,
		RenewalInfoInterval: 6 * hour,
	}
}

// Scheduler decides which action is due for which name, and when. It is not safe for concurrent use.
type Scheduler struct {
	State
	limits Limits
}

// New creates a scheduler from a stored state for the wanted names; other names are dropped.
func New(stored State, wanted []string, limits Limits) *Scheduler {
	s := &Scheduler{limits: limits}
	s.Names = map[string]*NameState{}
	s.Authorities = make([]AuthorityState, max(limits.AuthorityCount, 1))
	s.OrderTimes = stored.OrderTimes
	copy(s.Authorities, stored.Authorities)
	for _, name := range wanted {
		state := stored.Names[name]
		if state == nil {
			state = &NameState{}
		}
		if state.Order != nil && state.Order.Authority >= len(s.Authorities) { // the authority is no longer configured
			state.Order = nil
		}
		s.Names[name] = state
	}
	return s
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of an Action.
const (
	CreateOrder      ActionKind = "order"
	ContinueOrder    ActionKind = "continue"
	FetchRenewalInfo ActionKind = "info" // RFC 9773
)

// Action is a call to an authority for one name.
type Action struct {
	Kind      ActionKind
	Name      string
	Authority int
	URL       string // of the order, for ContinueOrder; empty if the process ended while it was being created
}

// Next returns the action that is due first, if any is. The caller executes one action at a time for a name, and reports
// its outcome.
func (s *Scheduler) Next(now float64) (Action, bool) {
	for _, name := range s.namesByExpiry() {
		if action, isDue := s.dueAction(now, name); isDue {
			return action, true
		}
	}
	return Action{}, false
}

// namesByExpiry returns the names in order of their certificates' expiry: the rate limit of orders delays those that
// expire last.
func (s *Scheduler) namesByExpiry() []string {
	names := make([]string, 0, len(s.Names))
	for name := range s.Names {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.expiry(a), s.expiry(b)), strings.Compare(a, b))
	})
	return names
}

// expiry returns the time at which a name's certificate expires; 0, which sorts first, for a name without one.
func (s *Scheduler) expiry(name string) float64 {
	if certificate := s.Names[name].Certificate; certificate != nil {
		return certificate.NotAfter
	}
	return 0
}

func (s *Scheduler) dueAction(now float64, name string) (Action, bool) {
	state := s.Names[name]
	if order := state.Order; order != nil {
		isDue := now >= state.RetryAt && now >= s.Authorities[order.Authority].RetryAt
		if !isDue {
			return Action{}, false
		}
		return Action{ContinueOrder, name, order.Authority, order.URL}, true
	}
	if now >= math.Max(s.RenewAt(name), state.RetryAt) {
		authority, ok := s.chooseAuthority(now)
		if !ok || !s.mayOrder(now) {
			return Action{}, false
		}
		return Action{CreateOrder, name, authority, ""}, true
	}
	if state.hasRenewalInfo() && now >= state.RenewalInfoAt && now >= s.Authorities[s.issuer(state)].RetryAt {
		return Action{FetchRenewalInfo, name, s.issuer(state), ""}, true
	}
	return Action{}, false
}

// issuer returns the index of the authority to ask about a name's certificate; fewer may be configured now than when it
// was issued.
func (s *Scheduler) issuer(state *NameState) int {
	return state.Certificate.Authority % len(s.Authorities)
}

// WaitMs returns the time until an action may be due, in ms; +Inf if none will be due without a call.
func (s *Scheduler) WaitMs(now float64) float64 {
	if _, isDue := s.Next(now); isDue {
		return 0
	}
	at := math.Inf(1)
	for name, state := range s.Names {
		at = math.Min(at, s.nextDueAt(now, name, state))
	}
	return math.Max(at-now, 0)
}

// nextDueAt returns the time at which an action may be due for a name for which none is due now.
func (s *Scheduler) nextDueAt(now float64, name string, state *NameState) float64 {
	if state.Order != nil {
		return math.Max(state.RetryAt, s.Authorities[state.Order.Authority].RetryAt)
	}
	at := math.Max(s.RenewAt(name), state.RetryAt)
	if at <= now { // due, but delayed by an authority or the rate limit
		at = s.nextOrderAt(now)
	}
	if state.hasRenewalInfo() {
		at = math.Min(at, math.Max(state.RenewalInfoAt, s.Authorities[s.issuer(state)].RetryAt))
	}
	return at
}

// nextOrderAt returns the time at which an authority or the rate limit may allow an order again.
func (s *Scheduler) nextOrderAt(now float64) float64 {
	at := math.Inf(1)
	for _, authority := range s.Authorities {
		if authority.RetryAt > now {
			at = math.Min(at, authority.RetryAt)
		}
	}
	if !s.mayOrder(now) {
		at = math.Min(at, s.OrderTimes[0]+hour)
	}
	return at
}

// chooseAuthority returns the authority for a new order: the first one, unless it has failed too often or requests a long
// wait. ok is false if the order must wait.
func (s *Scheduler) chooseAuthority(now float64) (index int, ok bool) {
	for i := range s.Authorities {
		authority := &s.Authorities[i]
		isLast := i == len(s.Authorities)-1
		isFallenBack := authority.Failures >= s.limits.FallbackAfter && now < authority.FallbackStartedAt+s.limits.RetryPreferredAfter
		if isFallenBack && !isLast {
			continue
		}
		if now >= authority.RetryAt {
			return i, true
		}
		if isLast || authority.RetryAt-now < hour { // a short wait is no reason to fall back
			return 0, false
		}
	}
	return 0, false
}

// mayOrder reports whether the rate limit allows an order.
func (s *Scheduler) mayOrder(now float64) bool {
	s.OrderTimes = slices.DeleteFunc(s.OrderTimes, func(at float64) bool { return now-at >= hour })
	return len(s.OrderTimes) < s.limits.OrdersPerHour
}

// OrderBegun records that an order is about to be created. The caller stores the state before it calls the authority, so
// that a restart does not create a second order.
func (s *Scheduler) OrderBegun(now float64, action Action) {
	s.Names[action.Name].Order = &Order{Authority: action.Authority, CreatedAt: now}
	s.OrderTimes = append(s.OrderTimes, now)
}

// OrderCreated records the order's URL.
func (s *Scheduler) OrderCreated(name, url string) {
	if order := s.Names[name].Order; order != nil {
		order.URL = url
	}
}

// CertificateIssued records a certificate that the caller has checked against its key, its names and the time.
func (s *Scheduler) CertificateIssued(now float64, name string, certificate Certificate) {
	state := s.Names[name]
	if state.Order != nil {
		certificate.Authority = state.Order.Authority
		authority := &s.Authorities[certificate.Authority]
		authority.Failures, authority.FallbackStartedAt = 0, 0
	}
	*state = NameState{
		Certificate:   &certificate,
		RenewalInfoAt: now + s.limits.RenewalInfoInterval*(0.5+s.jitter(name, certificate.Serial)),
	}
}

// RenewalInfoFetched records the renewal information of RFC 9773. wait is the time until the next fetch that the authority
// requests, in ms; 0 if it requests none.
func (s *Scheduler) RenewalInfoFetched(now float64, name string, windowStart, windowEnd, wait float64) {
	state := s.Names[name]
	if state.Certificate == nil {
		return
	}
	state.Certificate.WindowStart, state.Certificate.WindowEnd = windowStart, windowEnd
	if wait <= 0 {
		wait = s.limits.RenewalInfoInterval
	}
	state.RenewalInfoAt = now + math.Min(math.Max(wait, minRenewalInfoDelay), maxRenewalInfoDelay)
}
