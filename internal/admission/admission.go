// Package admission decides which clients' connections a node accepts, and which it closes first when file descriptors
// run short. Here "admission" is that of connections, by address; the balancer's admission.go decides on requests.
//
// The rule: a client whose requests are answered is preferred to one that has shown nothing yet, and that one to a client
// that misbehaves. What happens on the connections counts, not the address alone, since many clients may share an address.
//
// The package does no I/O and has no clock: events come in with their time in ms of any clock that does not go back,
// and the same events give the same verdicts.
package admission

import (
	"net/netip"
	"slices"
	"strings"
)

// Limits are a node's limits. Times are in ms.
type Limits struct {
	MaxConnections      int            // of all clients
	ReservedShare       float64        // of MaxConnections, for known clients alone
	PressureStart       float64        // share of MaxConnections from which connections are limited by address
	PressureEnd         float64        // and below which they no longer are
	MaxUnproven         int            // connections without an answered request of one address under pressure; each one with an answered request allows another
	MaxMisbehavior      float64        // misbehavior that one address may have beyond its answered requests
	MisbehaviorHalfLife float64        // in which the count of misbehavior halves
	KnownAfter          float64        // answered requests, decayed, from which an address is known
	KnownHalfLife       float64        // in which the count of answered requests halves
	SilentGrace         float64        // how long a connection without an answered request can't be evicted
	IdleGrace           float64        // how long a connection can't be evicted after an answered request
	MaxRemembered       int            // known addresses that are remembered without a connection
	TrustedNetworks     []netip.Prefix // addresses that are known whatever they do
}

// DefaultLimits are the limits of a node with maxConnections descriptors for clients.
func DefaultLimits(maxConnections int) Limits {
	return Limits{
		MaxConnections:      maxConnections,
		ReservedShare:       0.25,
		PressureStart:       0.75,
		PressureEnd:         0.6,
		MaxUnproven:         16,
		MaxMisbehavior:      32,
		MisbehaviorHalfLife: 10e3,
		KnownAfter:          3,
		KnownHalfLife:       600e3,
		SilentGrace:         100,
		IdleGrace:           2000,
		MaxRemembered:       4096,
	}
}

// Reason is why a connection is refused or evicted. The texts are keys of the JSON that the control socket returns
// (docs/edge.md), so they keep their earlier words.
type Reason string

// The reasons. Misbehaving, OverShare and Full refuse a connection, Silent and Idle evict one.
const (
	Admitted    Reason = ""
	Misbehaving Reason = "too much that was odd came from there" // the address's misbehavior exceeds its limit
	OverShare   Reason = "too many from there without an op"     // the address has too many connections without an answered request
	Full        Reason = "full"                                  // all connections are taken and none may be evicted
	Silent      Reason = "silent while others wait"              // had no answered request and made room for another
	Idle        Reason = "idle while others wait"                // had answered requests, was idle and made room for another
)

// Verdict is the decision on a new connection.
type Verdict struct {
	Reason    Reason     // Admitted, or why the connection is refused
	Evictions []Eviction // connections to close for it
}

// Eviction is a connection to close.
type Eviction struct {
	ID     uint64
	Reason Reason
}

// Controller decides on a node's connections. It is not safe for concurrent use.
type Controller struct {
	Refused map[Reason]uint64 // connections since the start
	Evicted map[Reason]uint64 // connections since the start

	limits          Limits
	conns           map[uint64]*connection
	order           []*connection // by arrival; some are closed already
	closedInOrder   int           // of order
	countByStanding [standingKnown + 1]int
	underPressure   bool

	sources      map[netip.Prefix]*source // with a connection, or remembered
	remembered   []*source                // a ring of at most MaxRemembered
	nextReplaced int                      // where in the ring the next replacement is looked for
	forgotten    *countMinSketch          // misbehavior of sources that are not in sources
}

// standing is what a connection was admitted as. A higher one is evicted later.
type standing int

const (
	standingUnknown   standing = iota // of an unknown source
	standingOverShare                 // of a known source that has its part of the reserve already
	standingKnown                     // of a known source; counts to the reserve
)

// connection is a client's connection.
type connection struct {
	id            uint64
	source        *source
	since         float64 // when it arrived, or its latest request was answered
	hasAnswered   bool    // a request was answered on it
	hasRequest    bool    // a request is in flight
	standing      standing
	malformed     int // malformed requests
	healthChecked bool
	closed        bool
}

// New makes a controller.
func New(limits Limits) *Controller {
	return &Controller{
		Refused:   map[Reason]uint64{},
		Evicted:   map[Reason]uint64{},
		limits:    limits,
		conns:     map[uint64]*connection{},
		sources:   map[netip.Prefix]*source{},
		forgotten: newCountMinSketch(),
	}
}

// MaxConnections is how many connections there may be.
func (c *Controller) MaxConnections() int { return c.limits.MaxConnections }

// SetLimits puts other limits in force, except MaxConnections. It closes no connection: connections beyond the new limits
// remain until they end or are evicted for others.
func (c *Controller) SetLimits(limits Limits) {
	limits.MaxConnections = c.limits.MaxConnections
	c.limits = limits
	c.updatePressure()
}

// OpenConnections is the number of connections.
func (c *Controller) OpenConnections() int { return len(c.conns) }

// UnderPressure reports whether connections are limited by address.
func (c *Controller) UnderPressure() bool { return c.underPressure }

// updatePressure begins and ends pressure at two different shares, so that it does not change with each connection.
func (c *Controller) updatePressure() {
	share := float64(len(c.conns)) / float64(c.limits.MaxConnections)
	switch {
	case share >= c.limits.PressureStart:
		c.underPressure = true
	case share < c.limits.PressureEnd:
		c.underPressure = false
	}
}

// Connect decides on a new connection. The caller gives it an id that is never used twice.
func (c *Controller) Connect(now float64, id uint64, from netip.Addr) Verdict {
	prefix := SourceOf(from)
	src := c.sources[prefix]
	isKnown := c.IsKnown(now, from)
	granted := c.standingFor(src, isKnown)
	verdict := Verdict{Reason: c.judgeSource(now, prefix, src)}
	if verdict.Reason == Admitted {
		eviction, isFull := c.makeRoom(now, src, granted)
		if eviction != nil {
			verdict.Evictions = append(verdict.Evictions, *eviction)
		} else if isFull {
			verdict.Reason = Full
		}
	}
	if verdict.Reason != Admitted {
		c.Refused[verdict.Reason]++
		return verdict
	}
	for _, eviction := range verdict.Evictions {
		c.Evicted[eviction.Reason]++
		c.remove(now, c.conns[eviction.ID], false)
	}
	c.add(now, id, prefix, granted)
	return verdict
}

// standingFor returns the standing that a new connection would be admitted with. A known source has standingKnown for at most
// half the reserve's worth of connections. So an attacker who first has a few requests answered and then opens as many
// connections as it can gets no more than that half.
func (c *Controller) standingFor(src *source, isKnown bool) standing {
	maxTrusted := c.limits.ReservedShare * float64(c.limits.MaxConnections) / 2
	switch {
	case !isKnown:
		return standingUnknown
	case src == nil || float64(src.trustedConns) < maxTrusted:
		return standingKnown
	default:
		return standingOverShare
	}
}

// judgeSource decides on a new connection by its source alone: Admitted, or why it is refused.
func (c *Controller) judgeSource(now float64, prefix netip.Prefix, src *source) Reason {
	if c.isTrusted(prefix) {
		return Admitted
	}
	var answered, misbehavior float64
	var unproven, proven int
	if src != nil {
		answered = src.answered.get(now, c.limits.KnownHalfLife)
		misbehavior = src.misbehavior.get(now, c.limits.MisbehaviorHalfLife)
		unproven, proven = src.unproven, src.conns-src.unproven
	} else {
		misbehavior = c.forgotten.get(now, c.limits.MisbehaviorHalfLife, prefix)
	}
	// Many clients may share an address. If the address has answered requests, misbehavior therefore does not shut it out:
	// it may still have a few unproven connections at a time, which well-behaved clients turn into proven ones as soon as
	// their requests are answered.
	if misbehavior > c.limits.MaxMisbehavior+answered &&
		(answered < c.limits.KnownAfter || unproven >= c.limits.MaxUnproven/4) {
		return Misbehaving
	}
	if c.underPressure && unproven >= c.limits.MaxUnproven+proven {
		return OverShare
	}
	return Admitted
}

// add adds an admitted connection.
func (c *Controller) add(now float64, id uint64, prefix netip.Prefix, granted standing) {
	src := c.sources[prefix]
	if src == nil { // never seen, or forgotten with its last connection, which may just have been evicted
		misbehavior := c.forgotten.get(now, c.limits.MisbehaviorHalfLife, prefix)
		src = &source{prefix: prefix, misbehavior: decayingCounter{misbehavior, now}}
		c.sources[prefix] = src
	}
	src.conns++
	src.unproven++
	if granted == standingKnown {
		src.trustedConns++
	}
	added := &connection{id: id, source: src, since: now, standing: granted}
	c.conns[id] = added
	c.order = append(c.order, added)
	c.countByStanding[granted]++
	c.updatePressure()
}

// RequestBegan records that a complete request has arrived on a connection. It reports false if the connection has been
// evicted meanwhile; the caller must then not serve the request.
func (c *Controller) RequestBegan(id uint64) bool {
	conn := c.conns[id]
	if conn == nil {
		return false
	}
	conn.hasRequest = true
	return true
}

// RequestAnswered records that a connection's request has its response. That proves the connection and counts for its source.
func (c *Controller) RequestAnswered(now float64, id uint64) {
	conn := c.conns[id]
	if conn == nil {
		return
	}
	conn.hasRequest, conn.since = false, now
	if !conn.hasAnswered {
		conn.hasAnswered = true
		conn.source.unproven--
	}
	conn.source.answered.add(now, c.limits.KnownHalfLife, 1)
}

// HealthChecked records that a connection was used for a health check. That does not prove the connection, but its end
// without a request does not count as misbehavior.
func (c *Controller) HealthChecked(_ float64, id uint64) {
	if conn := c.conns[id]; conn != nil {
		conn.healthChecked = true
	}
}

// RequestMalformed records a malformed request, which counts as misbehavior.
func (c *Controller) RequestMalformed(now float64, id uint64) {
	conn := c.conns[id]
	if conn == nil {
		return
	}
	conn.hasRequest = false
	conn.malformed++
	conn.source.misbehavior.add(now, c.limits.MisbehaviorHalfLife, 1)
}

// Closed records the end of a connection, by whichever side.
func (c *Controller) Closed(now float64, id uint64) {
	if conn := c.conns[id]; conn != nil {
		c.remove(now, conn, true)
	}
}

// compactAfter is how many closed connections order may have before it is compacted.
const compactAfter = 64

// remove removes a connection. byItself is false for an eviction. A connection that ends by itself without an answered
// request counts as misbehavior, unless a malformed request has been counted or it was for a health check.
func (c *Controller) remove(now float64, removed *connection, byItself bool) {
	src := removed.source
	if !removed.hasAnswered {
		src.unproven--
		if byItself && removed.malformed == 0 && !removed.healthChecked {
			src.misbehavior.add(now, c.limits.MisbehaviorHalfLife, 1)
		}
	}
	src.conns--
	if removed.standing == standingKnown {
		src.trustedConns--
	}
	c.countByStanding[removed.standing]--
	removed.closed = true
	delete(c.conns, removed.id)
	c.closedInOrder++
	if c.closedInOrder > compactAfter && c.closedInOrder > len(c.order)/2 {
		c.order = slices.DeleteFunc(c.order, func(other *connection) bool { return other.closed })
		c.closedInOrder = 0
	}
	if src.conns == 0 {
		c.remember(now, src)
	}
	c.updatePressure()
}

// AddressStats is what operators see of one address.
type AddressStats struct {
	Address     string  `json:"address"`
	Known       bool    `json:"known"`
	Connections int     `json:"connections"`
	Unproven    int     `json:"unproven"` // connections without an answered request
	Answered    float64 `json:"good"`     // requests, decayed
	Misbehavior float64 `json:"odd"`      // decayed
}

// Addresses returns the addresses with connections, at most limit of them, in descending order of their connections.
func (c *Controller) Addresses(now float64, limit int) []AddressStats {
	var stats []AddressStats
	for prefix, src := range c.sources {
		if src.conns == 0 {
			continue
		}
		stats = append(stats, AddressStats{
			Address:     prefix.Addr().String(),
			Known:       c.IsKnown(now, prefix.Addr()),
			Connections: src.conns,
			Unproven:    src.unproven,
			Answered:    src.answered.get(now, c.limits.KnownHalfLife),
			Misbehavior: src.misbehavior.get(now, c.limits.MisbehaviorHalfLife),
		})
	}
	slices.SortFunc(stats, func(a, b AddressStats) int {
		if a.Connections != b.Connections {
			return b.Connections - a.Connections
		}
		return strings.Compare(a.Address, b.Address)
	})
	return stats[:min(limit, len(stats))]
}
