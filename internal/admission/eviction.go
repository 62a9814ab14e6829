package admission

import "slices"

// makeRoom finds the connection that a new one of a standing displaces, if one has to go. isFull reports that one has
// to go and none may.
//
// The reserve is kept free for known sources: an unknown source displaces others before it takes of the reserve, and
// one over its share before it takes of half the reserve.
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

// evictionRank orders connections for eviction, the highest first: by what the connection has shown and its standing,
// then by how many its source has, then by how long it has been quiet.
type evictionRank [3]float64

const (
	rankIdle   = 1.0 // connections with an answered request
	rankSilent = 2.0 // connections without

	// rankPerStanding keeps a silent connection above an idle one, whatever their standings.
	rankPerStanding = 0.25
)

// rankForEviction is a connection's rank. mayGo reports whether it may be evicted for a new connection of a standing,
// whose source has ownUnproven connections without an answered request.
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
