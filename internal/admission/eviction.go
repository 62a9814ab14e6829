package admission

import "slices"

// makeRoom returns the connection to evict for a new one of this standing, or nil if there is room. isFull reports that
// there is no room and no connection that may be evicted.
//
// The reserve is for connections of standingKnown. Once all others together fill everything but the reserve, a connection of
// an unknown source needs an eviction; one of a source over its share may still take half of the reserve.
func (c *Controller) makeRoom(now float64, src *source, granted standing) (eviction *Eviction, isFull bool) {
	reservedFrom := [...]float64{
		standingUnknown:   c.limits.ReservedShare,
		standingOverShare: c.limits.ReservedShare / 2,
		standingKnown:     0,
	}
	reserved := int(reservedFrom[granted] * float64(c.limits.MaxConnections))
	notTrusted := len(c.conns) - c.countByStanding[standingKnown]
	hasRoom := len(c.conns) < c.limits.MaxConnections
	if hasRoom && (granted == standingKnown || notTrusted < c.limits.MaxConnections-reserved) {
		return nil, false
	}
	ownUnproven := 0
	if src != nil {
		ownUnproven = src.unproven
	}
	var best *connection
	var bestRank evictionRank
	for _, candidate := range c.order {
		rank, mayGo := c.rankForEviction(now, candidate, granted, ownUnproven)
		if mayGo && (best == nil || slices.Compare(rank[:], bestRank[:]) > 0) {
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
// has an answered request, and its standing; then how many connections its source has; then how long it has been quiet, in
// ms.
type evictionRank [3]float64

const (
	rankIdle   = 1.0 // connections with an answered request
	rankSilent = 2.0 // connections without an answered request

	// rankPerStanding keeps a silent connection above an idle one, whatever their standings.
	rankPerStanding = 0.25
)

// rankForEviction returns a connection's rank. mayGo reports whether it may be evicted for a new connection that would be
// admitted with the standing granted and whose source has ownUnproven connections without an answered request.
func (c *Controller) rankForEviction(now float64, candidate *connection, granted standing, ownUnproven int) (rank evictionRank, mayGo bool) {
	if candidate.closed || candidate.hasRequest || candidate.standing == standingKnown && granted != standingKnown {
		return rank, false
	}
	quiet := now - candidate.since
	penalty := rankPerStanding * float64(candidate.standing)
	if candidate.hasAnswered {
		return evictionRank{rankIdle - penalty, float64(candidate.source.conns), quiet}, quiet >= c.limits.IdleGrace
	}
	mayGo = quiet >= c.limits.SilentGrace ||
		candidate.malformed > 0 ||
		candidate.source.unproven > ownUnproven+1 ||
		candidate.standing == standingUnknown && granted == standingKnown
	return evictionRank{rankSilent - penalty, float64(candidate.source.unproven), quiet}, mayGo
}
