package controlplane

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// LeaseDurationMs is the time after its last status for which a follower is reported. It covers two lost statuses and some delay.
	LeaseDurationMs = 6000.0

	// maxLeases bounds the number of leases: ten times the largest fleet.
	maxLeases = 16 << 10
	// maxArrivals bounds the number of versions whose time of arrival is recorded. It equals defaultRetainedChanges.
	maxArrivals = 4096
)

// renewLease updates a follower's lease from a status. All fields are set each time, because a lease may have expired, and been
// removed, while the connection stayed up.
func (s *Server) renewLease(now float64, c *followerConn, st *status) error {
	lease := s.leases[c.name]
	if lease == nil {
		if len(s.leases) >= maxLeases {
			return fmt.Errorf("too many followers, %d at most", maxLeases)
		}
		lease = &Lease{}
		s.leases[c.name] = lease
	}
	*lease = Lease{
		Name:            c.name,
		Region:          c.region,
		Kind:            c.kind,
		StoredVersion:   st.StoredVersion,
		AppliedVersion:  st.AppliedVersion,
		RejectedVersion: st.RejectedVersion,
		RejectReason:    st.RejectReason,
		StalenessMs:     st.StalenessMs,
		LastSeenAt:      now,
	}
	return nil
}

func (l *Lease) isExpired(now float64) bool { return now-l.LastSeenAt > LeaseDurationMs }

func (s *Server) expireLeases(now float64) {
	for name, lease := range s.leases {
		if lease.isExpired(now) {
			delete(s.leases, name)
		}
	}
}

// Leases returns the leases that have not expired, sorted by the followers' names.
func (s *Server) Leases(now float64) []Lease {
	var leases []Lease
	for _, lease := range s.leases {
		if lease.isExpired(now) {
			continue
		}
		l := *lease
		l.StalenessMs += now - l.LastSeenAt
		if l.AppliedVersion < s.headVersion {
			l.BehindMs = now - s.arrivalOf(l.AppliedVersion+1)
		}
		leases = append(leases, l)
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return leases
}

// recordArrivals records now as the time of arrival of each version after the last call's head, up to the new head.
func (s *Server) recordArrivals(now float64, head uint64) {
	if head > maxArrivals {
		s.headVersion = max(s.headVersion, head-maxArrivals)
	}
	for ; s.headVersion < head; s.headVersion++ {
		s.arrivals = append(s.arrivals, now)
	}
	if excess := len(s.arrivals) - maxArrivals; excess > 0 {
		s.arrivals = slices.Delete(s.arrivals, 0, excess)
	}
}

// arrivalOf returns the time at which a version arrived here. For a version before the oldest recorded one it returns the time of that
// one.
func (s *Server) arrivalOf(version uint64) float64 {
	i := int(version) - int(s.headVersion) + len(s.arrivals) - 1
	return s.arrivals[max(i, 0)]
}
