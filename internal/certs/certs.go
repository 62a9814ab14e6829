// Package certs decides when a certificate is ordered, from whom, and when it is tried again. It does no I/O, knows no
// sockets and holds no clock: times are Unix ms of the caller's. What it must not forget is in its State, which the caller
// keeps; a restart goes on with the order that is open.
package certs

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const (
	minute = 60e3
	hour   = 60 * minute
)

// Limits are how an instance behaves towards authorities.
type Limits struct {
	Instance      string  // spreads instances of one name apart
	Authorities   int     // 0 is the first choice, the others stand in for it
	OrdersPerHour int     // of all names together; far below any public limit
	FallBackAfter int     // failures in a row of one authority until the next is tried
	ReturnAfter   float64 // after so long the first choice is tried again, in ms
	Backoff       float64 // after the first failure; doubled with each
	BackoffMost   float64
	InfoEvery     float64 // between looks at the renewal information, where the authority says nothing of it
}

// Defaults are those of a service with a few names.
func Defaults() Limits {
	return Limits{Authorities: 1, OrdersPerHour: 6, FallBackAfter: 4, ReturnAfter: 24 * hour, Backoff: minute, BackoffMost: hour, InfoEvery: 6 * hour}
}

// Held is a certificate that can be served.
type Held struct {
	ID        string  `json:"id"` // of RFC 9773, or empty
	Serial    string  `json:"serial"`
	NotBefore float64 `json:"not_before"`
	NotAfter  float64 `json:"not_after"`
	Authority int     `json:"authority"` // that issued it
	// The window that the authority suggests for its renewal, where it offers one (RFC 9773, 4.2).
	WindowFrom float64 `json:"window_from,omitempty"`
	WindowTo   float64 `json:"window_to,omitempty"`
	Now        bool    `json:"now,omitempty"` // an operator, or a revocation, wants it renewed at once
}

// Order is one that is open at an authority: there is never a second one of its name.
type Order struct {
	Authority int     `json:"authority"`
	URL       string  `json:"url,omitempty"` // empty until the authority has answered
	At        float64 `json:"at"`
}

// Name is all that is known of one name.
type Name struct {
	Held     *Held   `json:"held,omitempty"`
	Order    *Order  `json:"order,omitempty"`
	Failures int     `json:"failures,omitempty"` // in a row
	NextAt   float64 `json:"next_at,omitempty"`  // not before then
	InfoAt   float64 `json:"info_at,omitempty"`  // when the renewal information is looked at next
	Fault    string  `json:"fault,omitempty"`    // the latest
	FaultAt  float64 `json:"fault_at,omitempty"`
}

// Authority is what is known of one.
type Authority struct {
	Failures int     `json:"failures,omitempty"` // in a row, of any name, where it did not do its part
	NextAt   float64 `json:"next_at,omitempty"`  // it said, or we decided, not before
	LeftAt   float64 `json:"left_at,omitempty"`  // when another was tried in its place
}

// State is what outlives a process.
type State struct {
	Names       map[string]*Name `json:"names"`
	Authorities []Authority      `json:"authorities"`
	Orders      []float64        `json:"orders"` // when the latest were made, within the hour
}

// Core decides. It is not for use by several at once.
type Core struct {
	State
	limits Limits
}

// New begins with what was kept and the names that are wanted now; what else was kept is let go of.
func New(s State, wanted []string, l Limits) *Core {
	c := &Core{State: State{Names: map[string]*Name{}, Authorities: make([]Authority, max(l.Authorities, 1)), Orders: s.Orders}, limits: l}
	copy(c.Authorities, s.Authorities)
	for _, w := range wanted {
		n := s.Names[w]
		if n == nil {
			n = &Name{}
		}
		if n.Order != nil && n.Order.Authority >= len(c.Authorities) { // an authority that is no more
			n.Order = nil
		}
		c.Names[w] = n
	}
	return c
}

// Kind is what is to be done.
type Kind string

// Kinds of an Action.
const (
	Begin Kind = "order"    // make an order
	Go    Kind = "continue" // go on with the one that is open
	Ask   Kind = "info"     // read the renewal information
)

// Action is one thing to do about a name.
type Action struct {
	Kind      Kind
	Name      string
	Authority int
	URL       string // of the order, for Go; empty where its making was cut off
}

// Next gives what is due first, if anything is. The caller does one thing at a time for a name.
func (c *Core) Next(now float64) (Action, bool) {
	names := make([]string, 0, len(c.Names))
	for name := range c.Names {
		names = append(names, name)
	}
	// Who expires first goes first: where the ceiling bites, it bites the others.
	slices.SortFunc(names, func(a, b string) int {
		x, y := c.expiry(a), c.expiry(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	for _, name := range names {
		if a, due := c.due(now, name); due {
			return a, true
		}
	}
	return Action{}, false
}

func (c *Core) expiry(name string) float64 {
	if h := c.Names[name].Held; h != nil {
		return h.NotAfter
	}
	return 0 // nothing is held: before all
}

func (c *Core) due(now float64, name string) (Action, bool) {
	n := c.Names[name]
	if n.Order != nil {
		if now < n.NextAt || now < c.Authorities[n.Order.Authority].NextAt {
			return Action{}, false
		}
		return Action{Go, name, n.Order.Authority, n.Order.URL}, true
	}
	if at := c.RenewAt(name); now >= math.Max(at, n.NextAt) {
		if a, ok := c.choose(now); ok && c.room(now) {
			return Action{Begin, name, a, ""}, true
		}
		return Action{}, false
	}
	if n.Held != nil && n.Held.ID != "" && now >= n.InfoAt && now >= c.Authorities[n.Held.Authority%len(c.Authorities)].NextAt {
		return Action{Ask, name, n.Held.Authority % len(c.Authorities), ""}, true
	}
	return Action{}, false
}

// Wait is the time until something may be due, in ms; +Inf where nothing will by itself.
func (c *Core) Wait(now float64) float64 {
	if _, due := c.Next(now); due {
		return 0
	}
	at := math.Inf(1)
	for name, n := range c.Names {
		next := math.Max(c.RenewAt(name), n.NextAt)
		if n.Order != nil {
			next = math.Max(n.NextAt, c.Authorities[n.Order.Authority].NextAt)
		} else if next <= now { // due, but for an authority or the ceiling
			next = math.Inf(1)
			for _, a := range c.Authorities {
				if a.NextAt > now {
					next = math.Min(next, a.NextAt)
				}
			}
			if !c.room(now) {
				next = math.Min(next, c.Orders[0]+hour)
			}
		}
		if n.Order == nil && n.Held != nil && n.Held.ID != "" {
			next = math.Min(next, math.Max(n.InfoAt, c.Authorities[n.Held.Authority%len(c.Authorities)].NextAt))
		}
		at = math.Min(at, next)
	}
	return math.Max(at-now, 0)
}

// RenewAt is when a name's certificate is renewed: within the window that its authority suggests, or else from two thirds
// of its life on, spread over a tenth of it so that instances don't meet. A name without one is due at once.
func (c *Core) RenewAt(name string) float64 {
	h := c.Names[name].Held
	if h == nil || h.Now {
		return 0
	}
	u := c.spread(name, h.Serial)
	if h.WindowTo > h.WindowFrom {
		return math.Min(h.WindowFrom+u*(h.WindowTo-h.WindowFrom), h.NotAfter) // RFC 9773, 4.2: a time chosen within it
	}
	life := h.NotAfter - h.NotBefore
	return h.NotBefore + (2.0/3+0.1*u)*life
}

// Renew has a name's certificate renewed at once.
func (c *Core) Renew(name string) {
	if n := c.Names[name]; n.Held != nil {
		n.Held.Now, n.NextAt, n.Failures = true, 0, 0
	}
}

// spread is a number in [0, 1) that is an instance's own for a name and an occasion.
func (c *Core) spread(name, occasion string) float64 {
	f := fnv.New64a()
	fmt.Fprintf(f, "%s\x00%s\x00%s", c.limits.Instance, name, occasion)
	x := f.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64((x^x>>33)>>11) / (1 << 53)
}

// choose gives the authority for a new order: the first choice, unless it has failed too often or said to wait.
func (c *Core) choose(now float64) (int, bool) {
	for i := range c.Authorities {
		a := &c.Authorities[i]
		last := i == len(c.Authorities)-1
		if a.Failures >= c.limits.FallBackAfter && !last && now < a.LeftAt+c.limits.ReturnAfter {
			continue
		}
		if now < a.NextAt {
			if last || a.NextAt-now < hour { // worth the wait: the others are for when it is gone
				return 0, false
			}
			continue
		}
		return i, true
	}
	return 0, false
}

// room tells whether the ceiling of orders leaves one.
func (c *Core) room(now float64) bool {
	c.Orders = slices.DeleteFunc(c.Orders, func(at float64) bool { return now-at >= hour })
	return len(c.Orders) < c.limits.OrdersPerHour
}

// Begun notes that an order is being made; it is to be kept before the authority is called.
func (c *Core) Begun(now float64, a Action) {
	c.Names[a.Name].Order = &Order{Authority: a.Authority, At: now}
	c.Orders = append(c.Orders, now)
}

// Opened notes where the order is found from now on.
func (c *Core) Opened(name, url string) {
	if o := c.Names[name].Order; o != nil {
		o.URL = url
	}
}

// Issued takes a certificate that was proven to fit its key, its name and the time.
func (c *Core) Issued(now float64, name string, h Held) {
	n := c.Names[name]
	if n.Order != nil {
		h.Authority = n.Order.Authority
		c.Authorities[h.Authority].Failures, c.Authorities[h.Authority].LeftAt = 0, 0
	}
	*n = Name{Held: &h, InfoAt: now + c.limits.InfoEvery*(0.5+c.spread(name, h.Serial))}
}

// Informed takes the renewal information of RFC 9773; wait is when the authority wants to be asked again, 0 where it did
// not say.
func (c *Core) Informed(now float64, name string, from, to, wait float64) {
	n := c.Names[name]
	if n.Held == nil {
		return
	}
	n.Held.WindowFrom, n.Held.WindowTo = from, to
	if wait <= 0 {
		wait = c.limits.InfoEvery
	}
	n.InfoAt = now + math.Min(math.Max(wait, minute), 24*hour)
}

// Fault is whose a failure is.
type Fault string

// Faults of an order, by who is at fault.
const (
	Away     Fault = "away"    // the authority did not answer, or by an error of its own
	Limited  Fault = "limited" // it said that there are too many
	Refused  Fault = "refused" // it said no to this name: a challenge that did not hold, or a name that it does not do
	Unfit    Fault = "unfit"   // it issued what does not fit key, name or time
	Pending  Fault = "pending" // it is not done yet
	OwnFault Fault = "own"     // the disk, the store, a challenge that could not be put up
)

// Failed takes the end of an action that came to nothing. After says when the authority wants to be called again, 0 where
// it did not. An order that is over is let go of; one that is not is gone on with.
func (c *Core) Failed(now float64, name string, f Fault, why string, after float64, over bool) {
	n := c.Names[name]
	authority := 0
	switch {
	case n.Order != nil:
		authority = n.Order.Authority
	case n.Held != nil:
		authority = n.Held.Authority % len(c.Authorities)
	}
	a := &c.Authorities[authority]
	if over {
		n.Order = nil
	}
	if f == Pending {
		n.NextAt = now + math.Max(after, 2e3)
		return
	}
	n.Failures++
	n.Fault, n.FaultAt = why, now
	wait := c.backoff(name, n.Failures, now)
	switch f {
	case Away:
		a.Failures++
		// All names wait for an authority that is away, not each for itself: else ten names call ten times as often.
		a.NextAt = math.Max(a.NextAt, now+math.Max(c.backoff("", a.Failures, now), after))
	case Limited:
		a.NextAt = math.Max(a.NextAt, now+math.Max(wait, after))
	}
	if a.Failures == c.limits.FallBackAfter {
		a.LeftAt = now
	}
	n.NextAt = now + math.Max(wait, after)
	n.InfoAt = math.Max(n.InfoAt, n.NextAt)
}

func (c *Core) backoff(name string, failures int, now float64) float64 {
	wait := math.Min(c.limits.Backoff*math.Exp2(float64(failures-1)), c.limits.BackoffMost)
	return wait * (0.5 + c.spread(name, fmt.Sprint(failures, now)))
}

// Stage is what a name's certificate is, in the operator's words.
type Stage string

// Stages of a certificate.
const (
	Fine    Stage = "fine"
	Due     Stage = "renewal due"
	Late    Stage = "late"    // under a tenth of its life is left
	Expired Stage = "expired" // and served all the same
	Missing Stage = "missing"
	Early   Stage = "not yet valid"
)

// Stage tells it.
func (c *Core) Stage(now float64, name string) Stage {
	h := c.Names[name].Held
	switch {
	case h == nil:
		return Missing
	case now >= h.NotAfter:
		return Expired
	case now < h.NotBefore:
		return Early
	case h.NotAfter-now < 0.1*(h.NotAfter-h.NotBefore):
		return Late
	case now >= c.RenewAt(name):
		return Due
	}
	return Fine
}
