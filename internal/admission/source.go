package admission

import (
	"math"
	"net/netip"
	"slices"
)

// source identifies where connections come from, by an IPv4 address or the /64 prefix of an IPv6 address, which belongs to
// one customer (RFC 6177), and holds their counts.
type source struct {
	prefix         netip.Prefix
	conns          int
	unproven       int // connections without an answered request
	tierKnownConns int // connections of tierKnown
	answered       decayingCounter
	misbehavior    decayingCounter
	isRemembered   bool
}

// SourceOf returns the prefix that identifies an address's source.
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

// IsKnown reports whether an address is known: enough of its requests were answered recently, or it is in a trusted network.
func (c *Controller) IsKnown(now float64, address netip.Addr) bool {
	prefix := SourceOf(address)
	src := c.sources[prefix]
	return src != nil && src.answered.get(now, c.limits.KnownHalfLife) >= c.limits.KnownAfter || c.isTrusted(prefix)
}

const (
	// minAnsweredToRemember is the decayed count of answered requests from which a source is remembered. It is below 1,
	// because the count of a single request has decayed a little by the time its connection ends. Otherwise a client with
	// a connection for each request would never become known.
	minAnsweredToRemember = 0.5

	// replacementCandidates is the number of remembered sources among which the one to replace is chosen.
	replacementCandidates = 8
)

// remember keeps the counts of a source whose last connection has ended. A source with answered requests is kept in the ring;
// of any other only the misbehavior is kept, in the sketch.
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
	c.replacementCursor = (c.replacementCursor + replacementCandidates) % len(c.remembered)
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
		i := (c.replacementCursor + offset) % len(c.remembered)
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
	c.forgottenMisbehavior.raise(now, halfLife, src.prefix, src.misbehavior.get(now, halfLife))
}

// decayingCounter holds a count that decays exponentially. Package balancer has a counter of its own, since these packages
// don't import each other. Half-lives and times are in ms.
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
