package scale

import (
	"pearknot/internal/clock"
	"pearknot/internal/lab/faultproxy"
)

// noMember is the caller of a link that is not a member's.
const noMember = -1

// link is a relay from the nodes of one kind in one zone, or from one member, to a member.
type link struct {
	*faultproxy.Proxy
	callerKind           ProcessKind
	callerZone, toZone   int
	callerMember, member int // callerMember is noMember for nodes
}

// openLinks opens the links from one place to all members but the caller, and returns their addresses by member.
func (s *site) openLinks(kind ProcessKind, zone, caller int) ([]string, error) {
	addresses := make([]string, len(s.memberAddresses))
	for member, target := range s.memberAddresses {
		if member == caller {
			continue
		}
		proxy, err := faultproxy.Open(target)
		if err != nil {
			return nil, err
		}
		s.links = append(s.links, &link{
			Proxy:        proxy,
			callerKind:   kind,
			callerZone:   zone,
			toZone:       s.experiment.zoneOf(member),
			callerMember: caller,
			member:       member,
		})
		addresses[member] = proxy.Address()
	}
	return addresses, nil
}

// setFaults applies the faults that are active to all links.
func (s *site) setFaults(active []Fault) {
	for _, l := range s.links {
		l.SetFault(l.proxyFault(s.experiment, active))
	}
}

// proxyFault is what the active faults do to a link.
func (l *link) proxyFault(e *Experiment, active []Fault) (result faultproxy.Fault) {
	for _, fault := range active {
		fromPlace, toPlace := fault.affectsZone(e, l.callerZone), fault.affectsZone(e, l.toZone)
		switch fault.Kind {
		case FaultCut:
			if fromPlace != toPlace {
				result = stall(result, faultproxy.BothDirections)
			}
		case FaultCutInbound, FaultCutOutbound:
			if fromPlace == toPlace {
				continue
			}
			// The caller sends towards the target: out of the place if the caller is in it, into it if the target is.
			if fromPlace == (fault.Kind == FaultCutOutbound) {
				result = stall(result, faultproxy.ToTarget)
			} else {
				result = stall(result, faultproxy.FromTarget)
			}
		case FaultSlow:
			if fromPlace || l.callerKind == KindMember && toPlace {
				result.BytesPerSecond, result.Delay = fault.BytesPerSecond, clock.Duration(fault.DelayMs)
			}
		case FaultLoseMembers:
			result.RefuseConnections = result.RefuseConnections || l.callerKind != KindMember && fromPlace && toPlace
		case FaultDeaf:
			switch fault.Member {
			case memberName(l.member):
				result = stall(result, faultproxy.ToTarget)
			case memberName(l.callerMember):
				result = stall(result, faultproxy.FromTarget)
			}
		}
	}
	return result
}

// stall adds a direction in which nothing passes to a fault.
func stall(fault faultproxy.Fault, direction faultproxy.Direction) faultproxy.Fault {
	if fault.Stalled && fault.Direction != direction {
		direction = faultproxy.BothDirections
	}
	fault.Stalled, fault.Direction = true, direction
	return fault
}

// resetLinks resets the connections of the nodes at a fault's place to the members there.
func (s *site) resetLinks(fault Fault) {
	for _, l := range s.links {
		if l.callerKind != KindMember && fault.affectsZone(s.experiment, l.callerZone) && fault.affectsZone(s.experiment, l.toZone) {
			l.ResetConnections()
		}
	}
}

// bytesOf is the bytes that links of callers of a kind have carried, both ways.
func (s *site) bytesOf(kind ProcessKind) (sum int64) {
	for _, l := range s.links {
		if l.callerKind == kind {
			sum += l.BytesForwarded()
		}
	}
	return sum
}

// memberBytes is the bytes that a member's links have carried, whoever opened them.
func (s *site) memberBytes(member int) (sum int64) {
	for _, l := range s.links {
		if l.member == member || l.callerMember == member {
			sum += l.BytesForwarded()
		}
	}
	return sum
}
