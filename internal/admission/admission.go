// Package admission decides which clients' connections a node accepts, and which it closes first when file descriptors
// run short. Here "admission" means admission of connections, by address; the balancer's admission.go decides on requests.
//
// A client whose requests are answered is preferred to one without an answered request, and that one to a client that
// misbehaves. The behavior of each connection counts, not the address alone, since many clients may share an address.
//
// The package does no I/O and has no clock. The caller passes each event's time, in ms of any monotonic clock; the same
// events give the same verdicts.
package admission

import (
	"net/netip"
	"slices"
	"strings"
)

// Limits holds a node's connection limits. Times are in ms.
type Limits struct {
	MaxConnections      int            // connections of all clients
	ReservedShare       float64        // share of MaxConnections that only known clients may use
	PressureStart       float64        // share of MaxConnections from which connections are limited by address
	PressureEnd         float64        // share of MaxConnections below which that limit ends
	MaxUnproven         int            // connections without an answered request per address under pressure; each one with an answered request allows another
	MaxMisbehavior      float64        // decayed count of misbehavior that one address may have beyond its answered requests
	MisbehaviorHalfLife float64        // half-life of the misbehavior count
	KnownAfter          float64        // decayed count of answered requests from which an address is known
	KnownHalfLife       float64        // half-life of the count of answered requests
	SilentGrace         float64        // time during which a connection without an answered request can't be evicted
	IdleGrace           float64        // time after an answered request during which a connection can't be evicted
	MaxRemembered       int            // known addresses kept without an open connection
	TrustedNetworks     []netip.Prefix // networks whose addresses are always known
}

// DefaultLimits returns the limits of a node with maxConnections descriptors for clients.
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

// Reason says why a connection is refused or evicted. The texts are keys of the JSON that the control socket returns
// (docs/edge.md), so they must not change.
type Reason string

// The reasons. Misbehaving, OverShare and Full refuse a connection, Silent and Idle evict one.
const (
	Admitted    Reason = ""
	Misbehaving Reason = "too much that was odd came from there" // the address's misbehavior exceeds its limit
	OverShare   Reason = "too many from there without an op"     // the address has too many connections without an answered request
	Full        Reason = "full"                                  // MaxConnections is reached and no connection may be evicted
	Silent      Reason = "silent while others wait"              // had no answered request and was evicted for another connection
	Idle        Reason = "idle while others wait"                // had answered requests, was idle and was evicted for another connection
)

// Verdict is the decision on a new connection.
type Verdict struct {
	Reason    Reason     // Admitted, or the reason for the refusal
	Evictions []Eviction // connections to close in its favor
}

// Eviction identifies a connection to close.
type Eviction struct {
	ID     uint64
	Reason Reason
}

// Controller decides on a node's connections. It is not safe for concurrent use.
type Controller struct {
	Refused map[Reason]uint64 // connections refused since the start
	Evicted map[Reason]uint64 // connections evicted since the start

	limits               Limits
	conns                map[uint64]*connection
	arrivalOrder         []*connection // may still contain closed connections
	closedInArrivalOrder int           // closed connections in arrivalOrder
	countByTier          [tierKnown + 1]int
	underPressure        bool

	sources              map[netip.Prefix]*source // those with a connection or in remembered
	remembered           []*source                // ring buffer of at most MaxRemembered
	replacementCursor    int                      // index in the ring where the next search for a replacement starts
	forgottenMisbehavior *countMinSketch          // misbehavior of sources that are not in sources
}

// tier ranks a connection by its source at the time of admission. Higher tiers are evicted later.
type tier int

const (
	tierUnknown   tier = iota // unknown source
	tierOverShare             // known source that has used up its part of the reserve
	tierKnown                 // known source; counts towards the reserve
)

// connection holds the state of one client connection.
type connection struct {
	id            uint64
	source        *source
	since         float64 // ms; time of arrival or of the latest answered request
	hasAnswered   bool    // at least one request was answered
	hasRequest    bool    // a request is in flight
	tier          tier
	malformed     int // number of malformed requests
	healthChecked bool
	closed        bool
}

// New returns a controller with no connections.
func New(limits Limits) *Controller {
	return &Controller{
		Refused:              map[Reason]uint64{},
		Evicted:              map[Reason]uint64{},
		limits:               limits,
		conns:                map[uint64]*connection{},
		sources:              map[netip.Prefix]*source{},
		forgottenMisbehavior: newCountMinSketch(),
	}
}

// MaxConnections returns the maximum number of connections.
func (c *Controller) MaxConnections() int { return c.limits.MaxConnections }

// SetLimits replaces the limits, except MaxConnections. It closes no connection: connections beyond the new limits
// remain until they end or are evicted for others.
func (c *Controller) SetLimits(limits Limits) {
	limits.MaxConnections = c.limits.MaxConnections
	c.limits = limits
	c.updatePressure()
}

// OpenConnections returns the number of open connections.
func (c *Controller) OpenConnections() int { return len(c.conns) }

// UnderPressure reports whether connections are limited by address.
func (c *Controller) UnderPressure() bool { return c.underPressure }

// updatePressure updates underPressure with hysteresis, so that it does not change with each connection.
func (c *Controller) updatePressure() {
	share := float64(len(c.conns)) / float64(c.limits.MaxConnections)
	switch {
	case share >= c.limits.PressureStart:
		c.underPressure = true
	case share < c.limits.PressureEnd:
		c.underPressure = false
	}
}

// Connect decides on a new connection. The caller passes an id that is never reused.
func (c *Controller) Connect(now float64, id uint64, from netip.Addr) Verdict {
	prefix := SourceOf(from)
	src := c.sources[prefix]
	isKnown := c.IsKnown(now, from)
	granted := c.tierFor(src, isKnown)
	verdict := Verdict{Reason: c.checkSource(now, prefix, src)}
	if verdict.Reason == Admitted {
		eviction, isFull := c.chooseEviction(now, src, granted)
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

// tierFor returns the tier that a new connection would be admitted with. A known source has tierKnown for at most half as
// many connections as are reserved. This bounds an attacker who first has a few requests answered and then opens as many
// connections as possible to half the reserve.
func (c *Controller) tierFor(src *source, isKnown bool) tier {
	maxTierKnown := c.limits.ReservedShare * float64(c.limits.MaxConnections) / 2
	switch {
	case !isKnown:
		return tierUnknown
	case src == nil || float64(src.tierKnownConns) < maxTierKnown:
		return tierKnown
	default:
		return tierOverShare
	}
}

// checkSource decides on a new connection by its source alone. It returns Admitted or the reason for the refusal.
func (c *Controller) checkSource(now float64, prefix netip.Prefix, src *source) Reason {
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
		misbehavior = c.forgottenMisbehavior.get(now, c.limits.MisbehaviorHalfLife, prefix)
	}
	// Many clients may share an address. Misbehavior therefore does not block an address with answered requests: it may
	// still have a few unproven connections at a time, which become proven as soon as the requests of well-behaved
	// clients are answered.
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
func (c *Controller) add(now float64, id uint64, prefix netip.Prefix, granted tier) {
	src := c.sources[prefix]
	if src == nil { // not seen before, or removed with its last connection, which may just have been evicted
		misbehavior := c.forgottenMisbehavior.get(now, c.limits.MisbehaviorHalfLife, prefix)
		src = &source{prefix: prefix, misbehavior: decayingCounter{misbehavior, now}}
		c.sources[prefix] = src
	}
	src.conns++
	src.unproven++
	if granted == tierKnown {
		src.tierKnownConns++
	}
	added := &connection{id: id, source: src, since: now, tier: granted}
	c.conns[id] = added
	c.arrivalOrder = append(c.arrivalOrder, added)
	c.countByTier[granted]++
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

// RequestAnswered records that a connection's request has been answered. The connection is then proven, and the answer counts
// for its source.
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

// HealthChecked records that a connection was used for a health check. The connection remains unproven, but does not count as
// misbehavior if it ends without a request.
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

// Closed records that a connection was closed, by either side.
func (c *Controller) Closed(now float64, id uint64) {
	if conn := c.conns[id]; conn != nil {
		c.remove(now, conn, true)
	}
}

// compactAfter is the number of closed connections that arrivalOrder may hold before it is compacted.
const compactAfter = 64

// remove removes a connection. byItself is false for an eviction. A connection that was not evicted and ends without an
// answered request counts as misbehavior, unless one of its requests was already counted as malformed or it was used for a
// health check.
func (c *Controller) remove(now float64, removed *connection, byItself bool) {
	src := removed.source
	if !removed.hasAnswered {
		src.unproven--
		if byItself && removed.malformed == 0 && !removed.healthChecked {
			src.misbehavior.add(now, c.limits.MisbehaviorHalfLife, 1)
		}
	}
	src.conns--
	if removed.tier == tierKnown {
		src.tierKnownConns--
	}
	c.countByTier[removed.tier]--
	removed.closed = true
	delete(c.conns, removed.id)
	c.closedInArrivalOrder++
	if c.closedInArrivalOrder > compactAfter && c.closedInArrivalOrder > len(c.arrivalOrder)/2 {
		c.arrivalOrder = slices.DeleteFunc(c.arrivalOrder, func(other *connection) bool { return other.closed })
		c.closedInArrivalOrder = 0
	}
	if src.conns == 0 {
		c.remember(now, src)
	}
	c.updatePressure()
}

// AddressStats holds the statistics of one address that operators see.
type AddressStats struct {
	Address     string  `json:"address"`
	Known       bool    `json:"known"`
	Connections int     `json:"connections"`
	Unproven    int     `json:"unproven"` // connections without an answered request
	Answered    float64 `json:"good"`     // decayed count of answered requests
	Misbehavior float64 `json:"odd"`      // decayed count
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
