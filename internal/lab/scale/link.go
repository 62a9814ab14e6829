package scale

import (
	"pearknot/internal/clock"
	"pearknot/internal/lab/faultproxy"
)

// noMember is the calling member of a link that nodes open.
const noMember = -1

// link is a relay from the nodes of one kind in one zone, or from one member, to a member.
type link struct {
	*faultproxy.Proxy
	callerKind           ProcessKind
	callerZone, toZone   int
	callerMember, member int // callerMember is noMember for nodes
}

// openLinks opens the links from one place to all members but the caller, and returns their addresses by member.
func (t *testbed) openLinks(kind ProcessKind, zone, caller int) ([]string, error) {
	addresses := make([]string, len(t.memberAddresses))
	for member, target := range t.memberAddresses {
		if member == caller {
			continue
		}
		proxy, err := faultproxy.Open(target)
		if err != nil {
			return nil, err
		}
		t.links = append(t.links, &link{
			Proxy:        proxy,
			callerKind:   kind,
			callerZone:   zone,
			toZone:       t.experiment.zoneOf(member),
			callerMember: caller,
			member:       member,
		})
		addresses[member] = proxy.Address()
	}
	return addresses, nil
}

// setFaults applies the active faults to all links.
func (t *testbed) setFaults(active []Fault) {
	for _, l := range t.links {
		l.SetFault(l.proxyFault(t.experiment, active))
	}
}

// proxyFault returns the combined effect of the active faults on a link.
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
			// The caller sends towards the target: outbound if the caller is in the affected place, inbound if the target is.
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

// stall returns the fault with traffic in the given direction stalled too.
func stall(fault faultproxy.Fault, direction faultproxy.Direction) faultproxy.Fault {
	if fault.Stalled && fault.Direction != direction {
		direction = faultproxy.BothDirections
	}
	fault.Stalled, fault.Direction = true, direction
	return fault
}

// resetLinks resets the connections between nodes and members that are both in the fault's region or zone.
func (t *testbed) resetLinks(fault Fault) {
	for _, l := range t.links {
		if l.callerKind != KindMember && fault.affectsZone(t.experiment, l.callerZone) && fault.affectsZone(t.experiment, l.toZone) {
			l.ResetConnections()
		}
	}
}

// callerBytes returns the bytes that the links of callers of a kind have carried, in both directions.
func (t *testbed) callerBytes(kind ProcessKind) (sum int64) {
	for _, l := range t.links {
		if l.callerKind == kind {
			sum += l.BytesForwarded()
		}
	}
	return sum
}

// memberBytes returns the bytes that a member's links have carried, whichever side opened them.
func (t *testbed) memberBytes(member int) (sum int64) {
	for _, l := range t.links {
		if l.member == member || l.callerMember == member {
			sum += l.BytesForwarded()
		}
	}
	return sum
}
