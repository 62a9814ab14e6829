package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Cost holds the cost of a role at the target's size, and its limit.
type Cost struct {
	Role          string
	Event         string
	Description   string
	Unit          string
	Value         float64 // NaN if one of its slopes was not measured
	Limit         float64 // 0 if none is stated
	Extrapolation float64 // the largest extrapolation of its slopes, as a multiple of the largest size measured
	SlopeKeys     string  // of its slopes, separated by commas
	Mechanism     string  // the part of the program that causes it
	IsWallClock   bool    // affected by other load on the machine
}

// LimitShare returns the cost as a share of its limit: 0 if there is no limit, NaN if the cost was not measured.
func (c Cost) LimitShare() float64 {
	if c.Limit == 0 {
		return 0
	}
	return c.Value / c.Limit
}

// ExceedsLimit reports whether the cost is above its limit.
func (c Cost) ExceedsLimit() bool { return c.LimitShare() > 1 }

// Mechanisms, as written in the tables.
const (
	mechanismWatch        = "each node asks discovery, a call held for 1.2 s"
	mechanismFile         = "a file and SIGHUP for each process, read whole"
	mechanismMesh         = "links between all members of a peers file"
	mechanismScan         = "the module looks at each backend for a request"
	mechanismTenantSums   = "sums kept as requests come, tenants by a sorted order of names"
	mechanismRing         = "a ring on disk, here before 30 backends"
	mechanismMissing      = "missing"
	mechanismControlPlane = "the control plane tells differences in its place: section 6"
	mechanismFullList     = "the list told whole at a start"
	mechanismProcess      = "one process"
	mechanismAgentPoll    = "one look at each instance a second"
	mechanismTakeover     = "replicated logs, outcomes kept for a minute"
	mechanismFleetStatus  = "pearknot fleet status"
	mechanismCheck        = "pearknot check"
)

// Roles and events that several functions use.
const (
	roleNodeControl  = "a node, control"
	roleNodeRequests = "a node, requests"

	eventQuiet         = "quiet"
	eventDayOfChanges  = "a day's changes of configuration"
	eventConfigChange  = "one change of configuration"
	eventDayOfFailures = "failures and restarts of a day"
	eventZoneFails     = "a zone goes"
)

const (
	secondsPerDay  = 86400.0
	secondsPerHour = 3600.0
	hoursPerDay    = 24.0

	secondsPerMs     = 1e-3
	msPerUs          = 1e-3
	msPerSecond      = 1e3
	megabytesPerByte = 1.0 / (1 << 20)
)

// costSheet collects costs by role and event.
type costSheet struct {
	slopes slopeSet
	target *Target
	role   string
	event  string
	costs  []Cost
}

// Costs estimates the costs of a target's fleet by role and event.
func Costs(slopes []*Slope, target *Target) []Cost {
	s := &costSheet{slopes: newSlopeSet(slopes), target: target}
	s.addNodeControl()
	s.addNodeChanges()
	s.addNodeStart()
	s.addNodeRequests()
	s.addNodeRecords()
	s.addAgent()
	s.addDiscovery()
	s.addControlMachines()
	s.addOperatorCommands()
	s.addServices()
	return s.costs
}

// beginSection sets the role and event of the costs added next.
func (s *costSheet) beginSection(role, event string) { s.role, s.event = role, event }

func (s *costSheet) add(description string, value estimate, unit string, limit float64, mechanism string) {
	s.costs = append(s.costs, Cost{
		Role:          s.role,
		Event:         s.event,
		Description:   description,
		Unit:          unit,
		Value:         value.value,
		Limit:         limit,
		Extrapolation: value.extrapolation,
		SlopeKeys:     strings.Join(deduplicate(value.slopeKeys), ", "),
		Mechanism:     mechanism,
		IsWallClock:   value.isWallClock,
	})
}

func deduplicate(keys []string) (distinct []string) {
	for _, key := range keys {
		if !slices.Contains(distinct, key) {
			distinct = append(distinct, key)
		}
	}
	return distinct
}

// MissingParts returns the parts of a target that the program does not support.
func MissingParts() []Cost {
	missing := func(role, description string) Cost {
		return Cost{Role: role, Event: "always", Description: description, Value: math.NaN(), Mechanism: mechanismMissing}
	}
	return []Cost{
		missing(roleNodeRequests, "routes: the program knows none"),
		missing(roleNodeRequests, "services: the program knows one list"),
	}
}

// OverLimit returns the costs that exceed their limits, those of wall-clock time included, largest share first.
func OverLimit(costs []Cost) (over []Cost) {
	for _, c := range costs {
		if c.ExceedsLimit() {
			over = append(over, c)
		}
	}
	slices.SortStableFunc(over, func(a, b Cost) int { return cmp.Compare(b.LimitShare(), a.LimitShare()) })
	return over
}
