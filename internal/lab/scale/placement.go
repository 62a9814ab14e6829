package scale

import (
	"fmt"
	"strconv"
	"strings"
)

// Zones are assigned to regions round-robin, and members and nodes to zones.

// regionOf returns the region of a zone.
func (e *Experiment) regionOf(zone int) string { return fmt.Sprintf("r%d", zone%e.Regions+1) }

// zoneOf returns the zone of the member or node with the given number.
func (e *Experiment) zoneOf(number int) int { return number % e.Zones }

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone+1) }

func memberName(member int) string { return fmt.Sprintf("m%d", member+1) }

// memberNumber returns the number of the member with a validated name.
func memberNumber(name string) int {
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "m"))
	return number - 1
}

// affectsZone reports whether a fault applies to the zone or to its region.
func (f Fault) affectsZone(e *Experiment, zone int) bool {
	return f.Zone == zoneName(zone) || f.Region == e.regionOf(zone)
}

// cutsOff reports whether the fault stops the traffic of nodes in its region or zone with members elsewhere.
func (f Fault) cutsOff() bool {
	return f.Kind == FaultCut || f.Kind == FaultCutInbound || f.Kind == FaultCutOutbound
}
