package balancer

import "math"

// Slow start bounds the work that a backend receives while it warms up. After its announced start its capacity grows
// linearly from Config.SlowStartShare to 1 within Config.SlowStartWindow. Within any Config.OverloadWindow, all nodes
// together may send it at most Config.OverloadMultiple times what it can do in that window: the bound. Each node keeps to
// its own share of the bound, which it computes without messages, so that the bound holds even if no node learns of the
// others.

const (
	// slowStartSafety is the part of the bound that the nodes' shares use. The rest covers cost hints that are too low, and
	// the work of opening connections.
	slowStartSafety = 0.6
	// drawBudgetShare is the part of the bound that is allotted, on average, by random draws to nodes whose share is less
	// than one request: each node draws once for each backend and window (slotDraw), and a winner may send one request. By
	// chance the winners of one window may take about three times this part.
	drawBudgetShare = 0.3
	// maxDrawShare is the largest part of the bound that one request sent after a win may take, so that only many winners in
	// the same window could exceed the bound.
	maxDrawShare = 1. / 16
	// unknownKindPace is the pace, in ms for a unit of work, that is assumed of a kind of machine before it is known, for a
	// backend of mean weight: twice that of a standard core, so half as fast.
	unknownKindPace = 2
)

// slowStartState holds the values from which a node's share of the bound is computed.
type slowStartState struct {
	usageByZone byIndex[zoneUsage]
	processes   int     // the most processes that this node has consisted of; it counts only until splitUntil
	splitUntil  float64 // time until which the node's share is divided between them
}

// zoneUsage sums over the warmed-up backends of a zone.
type zoneUsage struct {
	work  float64 // the work a ms that they lately completed for this node
	speed float64 // their weights, each divided by its backend's pace
}

// slowStartFactor returns the fraction of its full capacity that a backend has reached by now: 1 once it has warmed up.
//
// A backend that restarts accepts connections before it can answer, so its first responses fail and its attempt count
// looks idle, which would draw the whole rotation to it. The time therefore counts from its announced start, or from when
// an operator put it back into service, and not from its first success.
func (lb *Balancer) slowStartFactor(backend *Backend) float64 {
	started := math.Max(backend.Started, backend.uncordonedAt)
	if age := lb.now - started; started > 0 && age < lb.config.SlowStartWindow {
		return lb.config.SlowStartShare + (1-lb.config.SlowStartShare)*math.Max(age, 0)/lb.config.SlowStartWindow
	}
	return 1
}

// slowStartCost returns the work that a request counts for in slow start: its expected work, but at least half the mean of
// its class, since a cost hint far below the mean may be wrong.
func slowStartCost(request *Request) float64 {
	return math.Max(request.work, request.class.meanWork.value/2)
}

// hasSlowStartBudget reports whether this node may send a backend that warms up the given work now, by what it has sent there
// within the OverloadWindow that ends now. A backend that has warmed up has no such bound.
//
// The bound is what the backend can do in the window, by the pace of its kind of machine. Until that pace is known the kind
// is assumed to be half as fast as a standard core, and it never counts as faster than one: such an estimate may be
// wrong.
//
// This node's share is the larger of two, each of which adds up to slowStartSafety of the bound over all nodes:
//   - an equal share: slowStartSafety of the bound, divided by the number of nodes;
//   - a usage share: slowStartSafety of the part of the zone's warmed-up backends that this node lately used, applied to
//     this backend. A node that carries much traffic thereby has a larger share.
//
// With many nodes the share is less than one request. Then a hashed draw for each node, backend and window decides: a node
// that has spent nothing in the window may send one request if it wins (see winsSlowStartDraw).
func (lb *Balancer) hasSlowStartBudget(backend *Backend, work float64) bool {
	factor := lb.slowStartFactor(backend)
	if factor == 1 {
		return true
	}
	// windowTime is the bound as ms of the backend's own capacity; budget is the same as work.
	windowTime := lb.config.OverloadMultiple * factor * lb.config.OverloadWindow
	budget := windowTime / math.Max(lb.slowStartKindPace(backend), 1)

	share := slowStartSafety * lb.perNodeShare(budget) / lb.activeProcesses() // the equal share
	if usage := lb.slowStart.usageByZone.entry(backend.Zone); usage.speed > 0 {
		// The backend's own pace, since a slow machine can take less than a fast one.
		usageShare := slowStartSafety * windowTime * usage.work / usage.speed * backend.Weight / lb.paceOf(backend) / lb.activeProcesses()
		share = math.Max(share, usageShare)
	}

	spent := backend.recentWork.sumWithin(lb.now, lb.config.OverloadWindow)
	if spent+work <= share {
		return true
	}
	return spent == 0 && lb.winsSlowStartDraw(backend, work, budget)
}

// slowStartKindPace returns the pace of a backend's kind of machine. Before it is known it is unknownKindPace for a backend of
// mean weight, and in inverse proportion for other weights.
func (lb *Balancer) slowStartKindPace(backend *Backend) float64 {
	knownWork := pacePriorRequests * math.Max(lb.estimates.work.value, 1)
	assumedPace := unknownKindPace * lb.rotation.meanWeight / backend.Weight
	return lb.estimates.paces.byKind.entry(backend.Kind).blend(assumedPace, knownWork)
}

// winsSlowStartDraw reports whether this node's draw for the backend in the present OverloadWindow allows it one request of
// the given work. The chance to win is drawBudgetShare of the node's equal share of the budget, in requests of that work,
// so that the winners of all nodes send drawBudgetShare of the budget on average. A request of more than maxDrawShare of
// the budget never wins.
func (lb *Balancer) winsSlowStartDraw(backend *Backend, work, budget float64) bool {
	if work > maxDrawShare*budget {
		return false
	}
	draw := lb.slotDraw(backend, lb.config.OverloadWindow)
	return draw*lb.activeProcesses() < drawBudgetShare*lb.perNodeShare(budget)/work
}

// reviewZoneUsage recomputes zoneUsage for each zone, over the usable backends that have warmed up.
func (lb *Balancer) reviewZoneUsage() {
	clear(lb.slowStart.usageByZone)
	for _, backend := range lb.backends {
		if !lb.isUsable(backend) {
			continue
		}
		usage := lb.slowStart.usageByZone.entry(backend.Zone)
		if lb.slowStartFactor(backend) == 1 {
			usage.work += backend.completionRate.throughput(lb.now)
			usage.speed += backend.Weight / lb.paceOf(backend)
		}
	}
}

// ProcessesChanged records how many processes this node consists of: two during a hot restart, else one. Only the node's
// share of slow start is divided between them; no other limit is, since one process has nearly all of the requests at any
// time. After the other process has ended, what it sent counts until the OverloadWindow has passed.
func (lb *Balancer) ProcessesChanged(now float64, processes int) {
	lb.now = now
	lb.slowStart.processes = max(processes, lb.slowStart.processes)
	lb.slowStart.splitUntil = math.Inf(1)
	if processes == 1 {
		lb.slowStart.splitUntil = now + lb.config.OverloadWindow
	}
}

// activeProcesses returns the number of processes between which this node's share is divided at present.
func (lb *Balancer) activeProcesses() float64 {
	if lb.now < lb.slowStart.splitUntil {
		return float64(max(lb.slowStart.processes, 1))
	}
	return 1
}
