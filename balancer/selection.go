package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Selection picks the backend for a request. Short requests go by rotation, each backend taking turns in proportion to
// its share; long ones go to a backend with none of this node's work in flight, picked at random. The node's own zone
// comes first; another is crossed to where the predicted time, in ms, falls by more than the crossing costs. Where no
// backend may take a request, it is queued. The rotation and the treatment of long requests are those of CDA(c), see
// docs/design.md.

const (
	// skipMargin: the rotation passes over a backend above this many times the mean load of its zone, by the design.
	skipMargin = 2.0
	// behindLongLoad is the load that a long request adds to a backend's: behind one is the last place for a short one.
	behindLongLoad = 2

	// timeStepsInAll: expected times are compared in thirty-seconds of the time left, so that small differences do not
	// draw all nodes to the same backend.
	timeStepsInAll = 32
	// affinityPenaltySteps is for a backend other than the key's own: it does all the work anew.
	affinityPenaltySteps = 8
	// connectPenaltySteps is for a new connection: a handshake costs both ends.
	connectPenaltySteps = 2
	// ownZoneSteps: long requests stay in their own zone for half an eighth of the time left; the rank counts half steps.
	ownZoneSteps = 4
	// maxLongCrossZoneCost is the share of its value that crossing zones may cost a long request.
	maxLongCrossZoneCost = 0.5
	// longSuspicion keeps long requests away: a quick error makes a backend idle at once.
	longSuspicion = ejectionThreshold / 2

	// minRotationShare keeps every backend in the rotation, so that it can be found well again.
	minRotationShare = 1e-3

	// subsetPeriod in ms after which a node uses other backends of other zones: long enough to see a few answers, short
	// enough to try all within half a minute.
	subsetPeriodMs = 4e3
	// minCrossZoneShare of other zones' backends are used at a time at least.
	minCrossZoneShare = 0.2

	// subsetSizeOwnZone backends are connected to where connections cost: each is used often, and the tables of
	// connections at backends stay half empty.
	subsetSizeOwnZone = 4
	// subsetSizeOtherZones of other zones are connected to beside them.
	subsetSizeOtherZones = 2
	// subsetNodeStep and subsetTryStep are steps on the ring of backends for each node, and for each replacement: far from
	// any fraction, so that no two nodes' numbers meet and any subset of the nodes spreads evenly.
	subsetNodeStep = 0.6180339887
	subsetTryStep  = 0.7548776662

	// connectBackoffBase in ms: a backend that refused a connection is tried again after this, doubled with each refusal.
	connectBackoffBaseMs = 1e3
	// maxConnectRefusals bounds the doubling: a full table and a restart are over within some ten seconds.
	maxConnectRefusals = 4
)

// rotationState is where the rotation stands.
type rotationState struct {
	position   float64
	meanWeight float64 // of the usable backends
}

// placeRequest sends a request to a backend, if one may take it.
func (lb *Balancer) placeRequest(request *Request) bool {
	if request.isLong {
		return lb.placeLong(request)
	}
	backend := lb.selectByRotation(request)
	return backend != nil && lb.sendAttempt(request, backend)
}

// placeLong sends a long request to a backend with none of this node's work in flight, picked at random among the best;
// its own zone first, others where the request's value pays for crossing.
func (lb *Balancer) placeLong(request *Request) bool {
	lb.findAffinity(request)
	patience := lb.patienceOf(request)
	var candidates []*Backend
	bestRank := 0
	for _, backend := range lb.backends {
		if lb.recordReason(request, backend, lb.whyUnfitForLong(request, backend, patience)) != Eligible {
			continue
		}
		rank := -2 * lb.timeSteps(backend, request)
		if lb.isNear(backend) {
			rank += ownZoneSteps
		}
		if candidates == nil || rank > bestRank {
			candidates, bestRank = candidates[:0], rank
		}
		if rank == bestRank {
			candidates = append(candidates, backend)
		}
	}
	return len(candidates) > 0 && lb.sendAttempt(request, candidates[lb.random.nextBelow(len(candidates))])
}

// selectByRotation picks a backend by the rotation: the own zone first, another where that gains more than it costs.
// What would stay without a backend for longer than it may wait is rejected, which counts as lost for sure.
func (lb *Balancer) selectByRotation(request *Request) *Backend {
	lb.findAffinity(request)
	patience := lb.patienceOf(request)
	near, far := lb.nextInRotation(request, true, patience), lb.nextInRotation(request, false, patience)
	if far == nil {
		return near
	}
	time := lb.timeToObjective(request)
	risk := func(wait float64) float64 { return math.Min(1, wait/time) }
	riskOfStaying := 1.0
	if near != nil {
		riskOfStaying = risk(lb.predictAnswerTime(near, request))
	} else if wait := lb.queueTime(request, false); wait <= patience {
		riskOfStaying = risk(wait + request.work*lb.paceOf(nil))
	}
	if riskOfStaying-risk(lb.predictAnswerTime(far, request)) > lb.crossZoneCost(request) {
		return far
	}
	return near
}

// nextInRotation is the rotation over the own zone's backends, or over the others: of those within the margin and without
// a long request of this node's, the one whose answer takes the fewest steps of time, and of those the one whose turn is
// longest due. Where none is within the margin, it is the least loaded.
func (lb *Balancer) nextInRotation(request *Request, near bool, patience float64) *Backend {
	margin := lb.loadMargin(near)
	var next, leastLoaded *Backend
	nextSteps, minLoad := 0, 0.0
	for _, backend := range lb.backends {
		if lb.isNear(backend) != near || lb.recordReason(request, backend, lb.whyPassedOver(request, backend, patience)) != Eligible {
			continue
		}
		load := float64(len(backend.inFlight)) / lb.rotationShare(backend)
		if backend.longInFlight > 0 {
			load += behindLongLoad
		}
		if leastLoaded == nil || load < minLoad || load == minLoad && backend.rotationPass < leastLoaded.rotationPass {
			leastLoaded, minLoad = backend, load
		}
		if backend.longInFlight > 0 {
			continue
		}
		if steps := lb.timeSteps(backend, request); load <= margin &&
			(next == nil || steps < nextSteps || steps == nextSteps && backend.rotationPass < next.rotationPass) {
			next, nextSteps = backend, steps
		}
	}
	return cmp.Or(next, leastLoaded)
}

// loadMargin is the load above which the rotation passes over a backend of the own zone, or of the others.
func (lb *Balancer) loadMargin(near bool) float64 {
	inFlight, shares := 0.0, 0.0
	for _, backend := range lb.backends {
		if lb.isUsable(backend) && lb.isNear(backend) == near {
			inFlight, shares = inFlight+float64(len(backend.inFlight)), shares+lb.rotationShare(backend)
		}
	}
	return skipMargin * inFlight / shares
}

// advanceRotation counts a turn of a backend. One that comes back from being skipped takes its next turn, not all those
// that it missed.
func (lb *Balancer) advanceRotation(backend *Backend) {
	lb.rotation.position = math.Max(lb.rotation.position, backend.rotationPass)
	backend.rotationPass = math.Max(backend.rotationPass, lb.rotation.position-1) + 1/lb.rotationShare(backend)
}

// rotationShare is a backend's share of the rotation: its weight and speed against the mean, less while it warms up or is
// suspected.
func (lb *Balancer) rotationShare(backend *Backend) float64 {
	capacity := backend.Weight / lb.rotation.meanWeight * lb.slowStartFactor(backend) / (1 + lb.suspicionOf(backend))
	return math.Max(capacity*lb.paceOf(nil)/lb.paceOf(backend), minRotationShare)
}

// reviewMeanWeight sets the mean weight of the usable backends.
func (lb *Balancer) reviewMeanWeight() {
	weight, usable := 0.0, 0
	for _, backend := range lb.backends {
		if lb.isUsable(backend) {
			weight += backend.Weight
			usable++
		}
	}
	lb.rotation.meanWeight = max(weight, 1e-9) / max(float64(usable), 1)
}

// whyUnfit returns why a backend may not be sent a request now, whichever way it was picked; Eligible where it may. The
// rotation and long requests ask for more.
func (lb *Balancer) whyUnfit(request *Request, backend *Backend) Reason {
	switch {
	case lb.suspicionOf(backend) >= ejectionThresholds[request.class.Idempotency]:
		return ReasonEjected
	case lb.isAtCapacity(backend):
		return ReasonAtCapacity
	}
	return lb.checkRules(request, backend)
}

// whyPassedOver returns why the rotation passes over a backend.
func (lb *Balancer) whyPassedOver(request *Request, backend *Backend, patience float64) Reason {
	if request.hasTried(backend) {
		return ReasonAlreadyTried
	}
	if reason := lb.whyUnfit(request, backend); reason != Eligible {
		return reason
	}
	if lb.isTooSlow(backend, request, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// whyUnfitForLong returns why a backend may be sent no long request; Eligible where it may. A quick error makes one
// idle at once, and one that warms up is idle by nature: neither draws long requests. Idle of this node's work says
// little where there are many nodes: others' requests may be queued there, so that the predicted time counts too.
func (lb *Balancer) whyUnfitForLong(request *Request, backend *Backend, patience float64) Reason {
	switch {
	case lb.config.ConnectionCost > 0 && !backend.inSubset:
		return ReasonAtCapacity
	case len(backend.inFlight) > 0 || backend.busyUntil > lb.now:
		return ReasonBusy
	case lb.suspicionOf(backend) >= math.Min(longSuspicion, ejectionThresholds[request.class.Idempotency]):
		return ReasonEjected
	case lb.slowStartFactor(backend) < 1:
		return ReasonWarmingUp
	}
	if reason := lb.checkRules(request, backend); reason != Eligible {
		return reason
	}
	if !lb.isNear(backend) && lb.crossZoneCost(request) >= maxLongCrossZoneCost {
		return ReasonCrossZoneCost
	}
	if lb.isTooSlow(backend, request, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// isTooSlow reports whether an answer would come too late, or the request would wait behind others for longer than its
// patience. A heavy request's own time is not held against it, and its wait does not grow with it, as the drain rate
// seen with small requests would have it. The patience falls by how much later than its objective it is likely to come:
// cost hints are rough, and a quarter of heavy requests take less than half of what is predicted.
func (lb *Balancer) isTooSlow(backend *Backend, request *Request, patience float64) bool {
	time, alone := lb.predictAnswerTime(backend, request), request.work*lb.paceOf(backend)
	if request.isLong {
		time = math.Min(time, alone+lb.zoneWait(backend.Zone))
	}
	patience *= request.class.LateWeight + (1-request.class.LateWeight)*math.Min(1, lb.timeToObjective(request)/time)
	return time > lb.timeLeft(request) || time-alone > patience
}

// timeSteps is how many thirty-seconds of its time left a request is expected to take at a backend, by its work and what
// lately waited there, all of them at most. Heavy requests are worth the most, and a slow machine may not do one in time.
func (lb *Balancer) timeSteps(backend *Backend, request *Request) int {
	penalty := 0.0
	if lb.config.ConnectionCost > 0 && !backend.isConnected {
		penalty = connectPenaltySteps
	}
	if request.affinity != nil && request.affinity != backend {
		penalty += affinityPenaltySteps
	}
	expected := request.work*lb.paceOf(backend) + backend.expectedWait(lb.now, lb.zoneWait(backend.Zone))
	return int(math.Min(penalty+timeStepsInAll*expected/lb.timeToObjective(request), timeStepsInAll))
}

// isNear reports whether using a backend costs no crossing of zones.
func (lb *Balancer) isNear(backend *Backend) bool {
	return lb.config.CrossZoneCost == 0 || backend.Zone == lb.config.Zone
}

// crossZoneCost is what crossing zones costs, as a share of the request's value.
func (lb *Balancer) crossZoneCost(request *Request) float64 {
	return lb.config.CrossZoneCost * lb.estimates.priority.value / math.Max(lb.priorityOf(request), 1e-9)
}

// findAffinity finds the backend that a request's key has affinity to, by highest random weight: the same at all nodes that
// see the same fleet. A backend that met a key lately has less work with it. Keys leave one that warms up or is ejected,
// and come back.
func (lb *Balancer) findAffinity(request *Request) {
	request.affinity = nil
	if !lb.config.KeyAffinity || request.Key == 0 {
		return
	}
	best := math.Inf(1)
	for _, backend := range lb.backends {
		score := -math.Log(hashUnit(request.Key, backend.ID)) / (backend.Weight * lb.slowStartFactor(backend))
		if score < best && lb.isUsable(backend) && lb.suspicionOf(backend) < ejectionThreshold {
			request.affinity, best = backend, score
		}
	}
}

// mayUse reports whether this node uses a backend at present. Where connections cost, it uses its subset. Else it uses
// all of its own zone and some of the others, different ones in each period, more of them where answers come promptly: in a
// burst all nodes cross at once.
func (lb *Balancer) mayUse(backend *Backend) bool {
	if lb.config.ConnectionCost > 0 {
		return backend.inSubset
	}
	if lb.isNear(backend) {
		return true
	}
	used := max(minCrossZoneShare, lb.perNodeShare(initialInFlight), backend.maxInFlight-1)
	return lb.slotDraw(backend, subsetPeriodMs) <= used
}

// chooseSubset picks the backends that this node connects to, where connections cost. By the node's index on a ring that is
// the same at all nodes, the subsets spread evenly without a message. One that is ejected or refuses connections is
// replaced by the next for as long as it does.
func (lb *Balancer) chooseSubset() {
	for side, missing := range [...]int{subsetSizeOtherZones, subsetSizeOwnZone} {
		ring := lb.hashRing(side == 1)
		for try := 0; missing > 0 && try < 2*len(ring); try++ {
			_, at := math.Modf(float64(lb.config.NodeIndex)*subsetNodeStep + float64(try)*subsetTryStep)
			backend := ring[int(at*float64(len(ring)))]
			if !backend.inSubset && lb.isUsable(backend) && lb.suspicionOf(backend) < ejectionThreshold &&
				(backend.refusals == 0 || backend.pausedUntil <= lb.now) {
				missing--
			}
			backend.inSubset = true
		}
	}
}

// hashRing returns the backends of the own zone, or the others, in an order that is the same at all nodes, and takes
// them out of the subset.
func (lb *Balancer) hashRing(near bool) (ring []*Backend) {
	for _, backend := range lb.backends {
		if lb.isNear(backend) == near {
			backend.inSubset, ring = false, append(ring, backend)
		}
	}
	slices.SortFunc(ring, func(a, b *Backend) int { return cmp.Compare(hashUnit(a.ID, 1), hashUnit(b.ID, 1)) })
	return ring
}

// recordConnectFailure records a connect that failed: the backend is down or accepts no more connections, and neither
// is over soon. Where connections cost, it is left alone for twice as long with each failure in a row.
func (lb *Balancer) recordConnectFailure(backend *Backend) {
	backend.refusals = math.Min(backend.refusals+1, maxConnectRefusals)
	if lb.config.ConnectionCost > 0 {
		backend.pausedUntil = lb.now + connectBackoffBaseMs*math.Exp2(backend.refusals-1)*(0.5+lb.random.nextUnit())
	}
}
