package balancer

import "math"

// Slow start bounds the work that a backend gets while it warms up. From its announced start on, its capacity grows
// from SlowStartShare to all within SlowStartWindow, and within any OverloadWindow all nodes together may send it no
// more than OverloadMultiple times what it can do. Each node keeps to its own share of that, which it knows without a
// message, so that the bound holds when no node hears of the others.

const (
	// slowStartSafety is the share of the bound that is used: cost hints are rough, and connections are work too.
	slowStartSafety = 0.6
	// drawBudgetShare of the bound, on average, goes to nodes whose share is less than one request, by a draw; chance may
	// bring three times that.
	drawBudgetShare = 0.3
	// maxDrawShare of the bound may be one such request, so that many must win at once to exceed it.
	maxDrawShare = 1. / 16
	// unknownSlowness is the pace of a kind of machine until it is known, against a standard core's by weight: half as fast.
	unknownSlowness = 2
)

// slowStartState is what the shares go by.
type slowStartState struct {
	usageByZone byPlace[zoneUsage]
	processes   int     // of this node, at most, lately
	splitUntil  float64 // until then the node's share is divided between them
}

// zoneUsage is the work that a zone's warmed-up backends lately did for this node a ms, and the speed of all their cores.
type zoneUsage struct{ work, speed float64 }

// slowStartFactor is the share of its capacity that a backend is sure to have. A backend that restarts accepts connections
// before it can answer, so that its first failures would make it look idle: the time therefore counts from its announced
// start, or from when an operator put it back, not from its first success.
func (lb *Balancer) slowStartFactor(backend *Backend) float64 {
	started := math.Max(backend.Started, backend.uncordonedAt)
	if age := lb.now - started; started > 0 && age < lb.config.SlowStartWindow {
		return lb.config.SlowStartShare + (1-lb.config.SlowStartShare)*math.Max(age, 0)/lb.config.SlowStartWindow
	}
	return 1
}

// slowStartCost is the work that a request counts for: a hint far below its class's mean may be untrue.
func slowStartCost(request *Request) float64 {
	return math.Max(request.work, request.class.meanWork.value/2)
}

// hasSlowStartBudget reports whether this node's share of what a backend bears that warms up has room for the work, in the
// window that ends now.
//
// The bound counts half a standard core until its kind's speed is known, and one at most: what looks faster may be
// untrue. The node's share is the larger of two: an equal one, and the one that it takes of the zone's warmed-up
// backends, whose shares add up to what those do. Where nodes are many, a share is less than one request: a node that
// has spent nothing in the window may send a whole one if its draw for this window wins.
func (lb *Balancer) hasSlowStartBudget(backend *Backend, work float64) bool {
	factor := lb.slowStartFactor(backend)
	if factor == 1 {
		return true
	}
	known := pacePriorRequests * math.Max(lb.estimates.work.value, 1)
	window := lb.config.OverloadMultiple * factor * lb.config.OverloadWindow
	kindPace := lb.estimates.paces.byKind.at(backend.Kind).blend(unknownSlowness*lb.rotation.meanWeight/backend.Weight, known)
	budget := window / math.Max(kindPace, 1)
	share := slowStartSafety * lb.perNodeShare(budget) / lb.activeProcesses()
	if usage := lb.slowStart.usageByZone.at(backend.Zone); usage.speed > 0 { // a slow machine bears less than a fast one takes
		share = math.Max(share, slowStartSafety*window*usage.work/usage.speed*backend.Weight/lb.paceOf(backend)/lb.activeProcesses())
	}
	spent := backend.recentWork.sumWithin(lb.now, lb.config.OverloadWindow)
	return spent+work <= share ||
		spent == 0 && work <= maxDrawShare*budget &&
			lb.slotDraw(backend, lb.config.OverloadWindow)*lb.activeProcesses() < drawBudgetShare*lb.perNodeShare(budget)/work
}

// reviewZoneUsage adds up what each zone's warmed-up backends do for this node.
func (lb *Balancer) reviewZoneUsage() {
	clear(lb.slowStart.usageByZone)
	for _, backend := range lb.backends {
		if !lb.isUsable(backend) {
			continue
		}
		usage := lb.slowStart.usageByZone.at(backend.Zone)
		if lb.slowStartFactor(backend) == 1 {
			usage.work, usage.speed = usage.work+backend.completionRate.throughput(lb.now), usage.speed+backend.Weight/lb.paceOf(backend)
		}
	}
}

// ProcessesChanged tells of how many processes this node is made up, as in a hot restart. Only shares of slow start are
// divided between them: one has nearly all of the requests at any time. What the other spent counts until the overload
// window after its end has passed.
func (lb *Balancer) ProcessesChanged(now float64, processes int) {
	lb.now, lb.slowStart.processes, lb.slowStart.splitUntil = now, max(processes, lb.slowStart.processes), math.Inf(1)
	if processes == 1 {
		lb.slowStart.splitUntil = now + lb.config.OverloadWindow
	}
}

// activeProcesses is between how many processes this node's share is divided.
func (lb *Balancer) activeProcesses() float64 {
	if lb.now < lb.slowStart.splitUntil {
		return float64(max(lb.slowStart.processes, 1))
	}
	return 1
}
