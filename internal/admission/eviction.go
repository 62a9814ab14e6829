package admission

import "slices"

// chooseEviction returns the connection to evict for a new one of the tier granted, or nil if there is a free place. isFull
// reports that there is neither a free place nor a connection that may be evicted.
//
// The reserve is for connections of tierKnown. Once connections of the other tiers fill everything but the reserve, a
// connection of tierUnknown needs an eviction; one of tierOverShare may still use half of the reserve.
func (c *Controller) chooseEviction(now float64, src *source, granted tier) (eviction *Eviction, isFull bool) {
	reservedFrom := [...]float64{
		tierUnknown:   c.limits.ReservedShare,
		tierOverShare: c.limits.ReservedShare / 2,
		tierKnown:     0,
	}
	reserved := int(reservedFrom[granted] * float64(c.limits.MaxConnections))
	notTierKnown := len(c.conns) - c.countByTier[tierKnown]
	hasRoom := len(c.conns) < c.limits.MaxConnections
	if hasRoom && (granted == tierKnown || notTierKnown < c.limits.MaxConnections-reserved) {
		return nil, false
	}
	ownUnproven := 0
	if src != nil {
		ownUnproven = src.unproven
	}
	var best *connection
	var bestRank evictionRank
	for _, candidate := range c.arrivalOrder {
		rank, isEvictable := c.rankForEviction(now, candidate, granted, ownUnproven)
		if isEvictable && (best == nil || slices.Compare(rank[:], bestRank[:]) > 0) {
			best, bestRank = candidate, rank
		}
	}
	if best == nil {
		return nil, true
	}
	if best.hasAnswered {
		return &Eviction{best.id, Idle}, false
	}
	return &Eviction{best.id, Silent}, false
}

// evictionRank orders connections for eviction, the highest first. Its parts are compared in order: whether the connection
// has an answered request, and its tier; then the number of connections of its source; then the time that it has been idle,
// in ms.
type evictionRank [3]float64

const (
	rankIdle   = 1.0 // connections with an answered request
	rankSilent = 2.0 // connections without an answered request

	// rankPerTier keeps a silent connection above an idle one, whatever their tiers.
	rankPerTier = 0.25
)

// rankForEviction returns a connection's rank. isEvictable reports whether it may be evicted for a new connection that would
// be admitted with the tier granted and whose source has ownUnproven connections without an answered request.
func (c *Controller) rankForEviction(now float64, candidate *connection, granted tier, ownUnproven int) (rank evictionRank, isEvictable bool) {
	if candidate.closed || candidate.hasRequest || candidate.tier == tierKnown && granted != tierKnown {
		return rank, false
	}
	idleMs := now - candidate.since
	penalty := rankPerTier * float64(candidate.tier)
	if candidate.hasAnswered {
		return evictionRank{rankIdle - penalty, float64(candidate.source.conns), idleMs}, idleMs >= c.limits.IdleGrace
	}
	isEvictable = idleMs >= c.limits.SilentGrace ||
		candidate.malformed > 0 ||
		candidate.source.unproven > ownUnproven+1 ||
		candidate.tier == tierUnknown && granted == tierKnown
	return evictionRank{rankSilent - penalty, float64(candidate.source.unproven), idleMs}, isEvictable
}
