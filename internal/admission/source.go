package admission

import (
	"math"
	"net/netip"
	"slices"
)

// source is where connections come from: an IPv4 address, or the /64 of an IPv6 address, which is one customer's
// (RFC 6177).
type source struct {
	prefix       netip.Prefix
	conns        int
	unproven     int // connections without an answered request
	trustedConns int // connections of standingKnown
	answered     decayingCounter
	misbehavior  decayingCounter
	isRemembered bool
}

// SourceOf is the source of an address.
func SourceOf(address netip.Addr) netip.Prefix {
	address = address.Unmap()
	bits := 32
	if address.Is6() {
		bits = 64
	}
	prefix, _ := address.WithZone("").Prefix(bits) // can't fail: an address has these bits
	return prefix
}

func (c *Controller) isTrusted(prefix netip.Prefix) bool {
	return slices.ContainsFunc(c.limits.TrustedNetworks, func(network netip.Prefix) bool { return network.Contains(prefix.Addr()) })
}

// IsKnown reports whether an address is known: its requests were answered lately, or it is in a trusted network.
func (c *Controller) IsKnown(now float64, address netip.Addr) bool {
	prefix := SourceOf(address)
	src := c.sources[prefix]
	return src != nil && src.answered.get(now, c.limits.KnownHalfLife) >= c.limits.KnownAfter || c.isTrusted(prefix)
}

const (
	// minAnsweredToRemember remembers a source with a single answered request, whose count has decayed a little by the
	// time its connection ends. Otherwise a client with a connection for each request would never become known.
	minAnsweredToRemember = 0.5

	// replacementCandidates is among how many remembered sources the one to replace is chosen.
	replacementCandidates = 8
)

// remember keeps what is known of a source whose last connection has ended: a source with answered requests in the ring, and
// of any other only its misbehavior, in the sketch.
func (c *Controller) remember(now float64, src *source) {
	answered := src.answered.get(now, c.limits.KnownHalfLife)
	if answered < minAnsweredToRemember {
		c.forget(now, src)
		return
	}
	if src.isRemembered {
		return
	}
	src.isRemembered = true
	if len(c.remembered) < c.limits.MaxRemembered {
		c.remembered = append(c.remembered, src)
		return
	}
	index, leastAnswered := c.leastAnswered(now)
	c.nextReplaced = (c.nextReplaced + replacementCandidates) % len(c.remembered)
	if leastAnswered > answered {
		src.isRemembered = false
		c.forget(now, src)
		return
	}
	replaced := c.remembered[index]
	replaced.isRemembered = false
	c.remembered[index] = src
	if replaced.conns == 0 {
		c.forget(now, replaced)
	}
}

// leastAnswered returns the source with the fewest answered requests among the next replacementCandidates of the ring. Many
// sources that appear only once therefore replace each other and not the known ones.
func (c *Controller) leastAnswered(now float64) (index int, answered float64) {
	answered = math.Inf(1)
	for offset := range min(replacementCandidates, len(c.remembered)) {
		i := (c.nextReplaced + offset) % len(c.remembered)
		if count := c.remembered[i].answered.get(now, c.limits.KnownHalfLife); count < answered {
			index, answered = i, count
		}
	}
	return index, answered
}

// forget removes a source and keeps only its misbehavior, in the sketch.
func (c *Controller) forget(now float64, src *source) {
	delete(c.sources, src.prefix)
	halfLife := c.limits.MisbehaviorHalfLife
	c.forgotten.raise(now, halfLife, src.prefix, src.misbehavior.get(now, halfLife))
}

// decayingCounter is a count that decays exponentially. Package balancer has a counter of its own, since the cores don't
// import each other. Half-lives and times are in ms.
type decayingCounter struct {
	count     float64 // as of updatedAt
	updatedAt float64 // ms
}

func (d *decayingCounter) get(now, halfLife float64) float64 {
	return d.count * math.Exp2(-math.Max(now-d.updatedAt, 0)/halfLife)
}

func (d *decayingCounter) add(now, halfLife, amount float64) {
	d.count = d.get(now, halfLife) + amount
	d.updatedAt = math.Max(now, d.updatedAt)
}
