package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Selection picks the backend for a request. A short request is sent by rotation, in which each backend takes turns in
// proportion to its rotation share. A long request is sent to a backend with no attempt of this node in flight, picked at
// random among the best. Backends of the node's own zone come first; a backend of another zone is picked if the gain in
// predicted answer time is worth more than crossing zones costs. If no backend may take the request, it is queued. The
// rotation and the treatment of long requests are those of the paper (see the package comment).

const (
	// loadMarginFactor is the multiple of the mean load above which the rotation passes over a backend, as in the paper.
	// The load of a backend is its attempts in flight divided by its rotation share.
	loadMarginFactor = 2.0
	// longRequestLoad is added to the load of a backend that runs a long request, so that a short one is sent there last.
	longRequestLoad = 2

	// timeStepCount is the number of time steps that the time left to the latency objective is divided into. Expected times
	// are compared in whole steps, so that a small difference does not make all nodes pick the same backend.
	timeStepCount = 32
	// affinityPenaltySteps is added for a backend other than the one that the request's key has affinity to, since it must do
	// all of the work anew.
	affinityPenaltySteps = 8
	// connectPenaltySteps is added for a backend without an open connection, since a handshake costs both ends time.
	connectPenaltySteps = 2
	// ownZoneHalfSteps is the advantage of near backends for long requests, in half time steps, the unit of placeLong's
	// rank. Four half steps are two of the 32 time steps: a backend of another zone must save a sixteenth of the time
	// left.
	ownZoneHalfSteps = 4
	// maxLongCrossZoneCost is the largest cost of crossing zones, as a share of the request's value, for a long request to be
	// sent to another zone.
	maxLongCrossZoneCost = 0.5
	// longSuspicion is the suspicion from which on a backend receives no long request. It is lower than ejectionThreshold,
	// since a backend that fails quickly is idle at once and would otherwise attract all long requests.
	longSuspicion = ejectionThreshold / 2

	// minRotationShare is the least rotation share of a backend. Every backend is sent a request from time to time, so
	// that a recovery is noticed.
	minRotationShare = 1e-3

	// subsetPeriodMs is the time after which a node changes which backends of other zones it uses. It is long enough to
	// receive a few answers, and short enough to try all of these backends within half a minute.
	subsetPeriodMs = 4e3
	// minCrossZoneShare is the least share of the other zones' backends that a node uses at a time.
	minCrossZoneShare = 0.2

	// subsetSizeOwnZone is the number of near backends that a node connects to if connections cost (Config.ConnectionCost).
	// It is small, so that each connection is used often and the backends do not reach their limits of connections.
	subsetSizeOwnZone = 4
	// subsetSizeOtherZones is the number of backends of other zones that a node connects to in addition.
	subsetSizeOtherZones = 2
	// subsetNodeStep and subsetTryStep are the distances on the hash ring, as parts of its length, from one node's position to
	// the next node's and from one try of a node to its next. Both are irrational numbers that are far from simple fractions,
	// so that the positions of any set of nodes spread evenly and do not coincide.
	subsetNodeStep = 0.6180339887
	subsetTryStep  = 0.7548776662

	// connectBackoffBaseMs is the mean time after which a backend that refused a connection is tried again. It doubles with
	// each further refusal.
	connectBackoffBaseMs = 1e3
	// maxConnectRefusals bounds the number of refusals that count, and thereby the backoff to 8 s on average. A restart, or a
	// backend at its limit of connections, is over within about ten seconds.
	maxConnectRefusals = 4
)

// rotationState holds the state of the rotation.
type rotationState struct {
	position   float64 // the highest rotation pass of a backend that has been sent an attempt
	meanWeight float64 // mean weight of the usable backends
}

// placeRequest sends a request to a backend, and reports whether a backend could take it.
func (lb *Balancer) placeRequest(request *Request) bool {
	if request.isLong {
		return lb.placeLong(request)
	}
	backend := lb.selectByRotation(request)
	return backend != nil && lb.sendAttempt(request, backend)
}

// placeLong sends a long request to a backend with no attempt of this node in flight, and reports whether there was one. It
// picks at random among the eligible backends of the highest rank. The rank is in half time steps: minus twice the
// expected time steps, plus ownZoneHalfSteps for a near backend.
func (lb *Balancer) placeLong(request *Request) bool {
	lb.findAffinity(request)
	patience := lb.patienceOf(request)
	var candidates []*Backend
	bestRank := 0
	for _, backend := range lb.backends {
		if lb.recordReason(request, backend, lb.whyUnfitForLong(request, backend, patience)) != Eligible {
			continue
		}
		rank := -2 * lb.expectedTimeSteps(backend, request)
		if lb.isNear(backend) {
			rank += ownZoneHalfSteps
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

// selectByRotation picks a backend by the rotation; nil if none may take the request. It compares the best near backend
// with the best one of the other zones, by the risk of missing the latency objective: the predicted answer time as a share
// of the time left, at most 1. The other zone's is picked if it lowers the risk by more than the cost of crossing zones, as
// a share of the request's value. If no near backend may take the request, the alternative is the queue; if its
// wait would be longer than the request's patience, the alternative is a rejection, which is a risk of 1.
func (lb *Balancer) selectByRotation(request *Request) *Backend {
	lb.findAffinity(request)
	patience := lb.patienceOf(request)
	near := lb.nextInRotation(request, true, patience)
	far := lb.nextInRotation(request, false, patience)
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

// nextInRotation returns the next backend of the rotation over the near backends, or over the others; nil if none may take
// the request. Of the backends within the load margin and without a long request of this node, it is the one with the
// fewest expected time steps, and among equals the one with the lowest rotation pass. If there is none, it is the
// backend with the lowest load.
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
			load += longRequestLoad
		}
		if leastLoaded == nil || load < minLoad || load == minLoad && backend.rotationPass < leastLoaded.rotationPass {
			leastLoaded, minLoad = backend, load
		}
		if backend.longInFlight > 0 {
			continue
		}
		if steps := lb.expectedTimeSteps(backend, request); load <= margin &&
			(next == nil || steps < nextSteps || steps == nextSteps && backend.rotationPass < next.rotationPass) {
			next, nextSteps = backend, steps
		}
	}
	return cmp.Or(next, leastLoaded)
}

// loadMargin returns the load above which the rotation passes over a near backend, or one of the others: loadMarginFactor
// times the attempts in flight at all of them, divided by the sum of their rotation shares.
func (lb *Balancer) loadMargin(near bool) float64 {
	inFlight := 0.0
	shares := 0.0
	for _, backend := range lb.backends {
		if lb.isUsable(backend) && lb.isNear(backend) == near {
			inFlight += float64(len(backend.inFlight))
			shares += lb.rotationShare(backend)
		}
	}
	return loadMarginFactor * inFlight / shares
}

// advanceRotation counts a turn of a backend: its rotation pass rises by one over its rotation share. A backend that was
// passed over for some time takes its next turn soon, but does not make up for all the turns that it missed: if its
// pass is more than one below the position, it is first raised to one below it.
func (lb *Balancer) advanceRotation(backend *Backend) {
	lb.rotation.position = math.Max(lb.rotation.position, backend.rotationPass)
	backend.rotationPass = math.Max(backend.rotationPass, lb.rotation.position-1) + 1/lb.rotationShare(backend)
}

// rotationShare returns how often a backend takes a turn, against 1 for an average one: its weight and its speed in relation
// to the mean, lowered while it warms up and by its suspicion.
func (lb *Balancer) rotationShare(backend *Backend) float64 {
	capacity := backend.Weight / lb.rotation.meanWeight * lb.slowStartFactor(backend) / (1 + lb.suspicionOf(backend))
	return math.Max(capacity*lb.paceOf(nil)/lb.paceOf(backend), minRotationShare)
}

// reviewMeanWeight sets the mean weight of the usable backends.
func (lb *Balancer) reviewMeanWeight() {
	weight := 0.0
	usable := 0
	for _, backend := range lb.backends {
		if lb.isUsable(backend) {
			weight += backend.Weight
			usable++
		}
	}
	lb.rotation.meanWeight = max(weight, 1e-9) / max(float64(usable), 1)
}

// whyUnfit returns why a backend may not be sent a request now, or Eligible. It holds for late sends, and is part of what the
// rotation requires (whyPassedOver). Long requests have requirements of their own (whyUnfitForLong).
func (lb *Balancer) whyUnfit(request *Request, backend *Backend) Reason {
	switch {
	case lb.suspicionOf(backend) >= ejectionThresholds[request.class.Idempotency]:
		return ReasonEjected
	case lb.isAtCapacity(backend):
		return ReasonAtCapacity
	}
	return lb.checkRules(request, backend)
}

// whyPassedOver returns why the rotation passes over a backend for a request, or Eligible.
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

// whyUnfitForLong returns why a backend may not be sent a long request, or Eligible.
//
// A backend that fails quickly is idle again at once, and one that has just started is idle too. Neither may attract the
// long requests, so that both a lower suspicion (longSuspicion) and warming up exclude a backend here. With many nodes,
// a backend without attempts of this node may still have a queue of other nodes' requests. Therefore the predicted
// answer time counts as well.
//
// Unlike whyUnfit it does not ask isAtCapacity: the node's limit, a pause and the period's cross-zone share do not hold a long
// request back, and a backend without attempts of this node is below its own limit. Of mayUse only the subset counts.
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

// isTooSlow reports whether the backend's answer would come too late to have a value, or the request would wait behind other
// work for longer than its patience, in ms. Only the wait counts against the patience, not the request's own time.
//
// The predicted time of a long request is bounded by its own time plus the zone's wait. The prediction by the completion
// rate would be too long, because that rate was measured with smaller requests.
//
// If the answer is expected after the latency objective, the value at stake is lower, and so is the patience: it is
// multiplied by LateWeight + (1-LateWeight) * (time to the objective / predicted time). The patience is lowered gradually
// and the request not rejected outright, since cost hints are rough: a quarter of heavy requests take less than half of
// the predicted time.
func (lb *Balancer) isTooSlow(backend *Backend, request *Request, patience float64) bool {
	alone := request.work * lb.paceOf(backend)
	predicted := lb.predictAnswerTime(backend, request)
	if request.isLong {
		predicted = math.Min(predicted, alone+lb.zoneWait(backend.Zone))
	}
	inTimeShare := math.Min(1, lb.timeToObjective(request)/predicted)
	patience *= request.class.LateWeight + (1-request.class.LateWeight)*inTimeShare
	wait := predicted - alone
	return predicted > lb.timeLeft(request) || wait > patience
}

// expectedTimeSteps returns the time that a request is expected to take at a backend, in whole steps of the time left to
// its latency objective divided by timeStepCount, and at most timeStepCount. The expected time is the request's work at
// the backend's pace plus the expected wait; penalties for a new connection and for a lost affinity are added. The own
// time matters most for heavy requests, which a slow machine might not complete in time.
func (lb *Balancer) expectedTimeSteps(backend *Backend, request *Request) int {
	penalty := 0.0
	if lb.config.ConnectionCost > 0 && !backend.isConnected {
		penalty = connectPenaltySteps
	}
	if request.affinity != nil && request.affinity != backend {
		penalty += affinityPenaltySteps
	}
	expected := request.work*lb.paceOf(backend) + backend.expectedWait(lb.now, lb.zoneWait(backend.Zone))
	return int(math.Min(penalty+timeStepCount*expected/lb.timeToObjective(request), timeStepCount))
}

// isNear reports whether a backend is in the node's own zone, or crossing zones costs nothing.
func (lb *Balancer) isNear(backend *Backend) bool {
	return lb.config.CrossZoneCost == 0 || backend.Zone == lb.config.Zone
}

// crossZoneCost returns the cost of crossing zones as a share of the request's value: Config.CrossZoneCost times the mean
// priority of requests, divided by the priority of this one.
func (lb *Balancer) crossZoneCost(request *Request) float64 {
	return lb.config.CrossZoneCost * lb.estimates.priority.value / math.Max(lb.priorityOf(request), 1e-9)
}

// findAffinity sets the backend that a request's key has affinity to, since a backend that has lately served a key has less
// work with it. It uses rendezvous hashing (highest random weight), so that all nodes with the same endpoint list agree
// without messages. Keys move away from a backend that warms up or is ejected, and return later.
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

// mayUse reports whether this node uses a backend at present. If connections cost, it uses those of its subset. Else it uses
// all near backends, and a share of the other zones' that changes every subsetPeriodMs. The share is larger for a backend
// whose limit has risen, which means that its answers come without a queue. It is bounded because in a burst all nodes
// would send requests to the other zones at the same time.
func (lb *Balancer) mayUse(backend *Backend) bool {
	if lb.config.ConnectionCost > 0 {
		return backend.inSubset
	}
	if lb.isNear(backend) {
		return true
	}
	usedShare := max(minCrossZoneShare, lb.perNodeShare(initialInFlight), backend.maxInFlight-1)
	return lb.slotDraw(backend, subsetPeriodMs) <= usedShare
}

// chooseSubset picks the backends that this node connects to, if connections cost. Each node starts at a position on a hash
// ring that is the same at all nodes, so that the subsets spread evenly over the backends without messages. While a
// backend is ejected or refuses connections, the next try on the ring adds a replacement for it.
func (lb *Balancer) chooseSubset() {
	lb.chooseSubsetOf(false, subsetSizeOtherZones)
	lb.chooseSubsetOf(true, subsetSizeOwnZone)
}

// chooseSubsetOf adds size working backends to the subset, and the failing ones that it passes on the ring: from the near
// backends, or from the others.
func (lb *Balancer) chooseSubsetOf(near bool, size int) {
	missing := size
	ring := lb.hashRing(near)
	for try := 0; missing > 0 && try < 2*len(ring); try++ {
		_, position := math.Modf(float64(lb.config.NodeIndex)*subsetNodeStep + float64(try)*subsetTryStep)
		backend := ring[int(position*float64(len(ring)))]
		isPaused := backend.refusals != 0 && backend.pausedUntil > lb.now
		if !backend.inSubset && lb.isUsable(backend) && lb.suspicionOf(backend) < ejectionThreshold && !isPaused {
			missing--
		}
		backend.inSubset = true
	}
}

// hashRing returns the near backends, or the others, ordered by a hash of their IDs, which is the same at all nodes. It
// takes them out of the subset.
func (lb *Balancer) hashRing(near bool) (ring []*Backend) {
	for _, backend := range lb.backends {
		if lb.isNear(backend) == near {
			backend.inSubset = false
			ring = append(ring, backend)
		}
	}
	slices.SortFunc(ring, func(a, b *Backend) int { return cmp.Compare(hashUnit(a.ID, 1), hashUnit(b.ID, 1)) })
	return ring
}

// recordConnectFailure records a failed connect: the backend is down, or at its limit of connections, and neither is over
// soon. If connections cost, the backend is paused for an exponential backoff with random spread.
func (lb *Balancer) recordConnectFailure(backend *Backend) {
	backend.refusals = math.Min(backend.refusals+1, maxConnectRefusals)
	if lb.config.ConnectionCost > 0 {
		backend.pausedUntil = lb.now + connectBackoffBaseMs*math.Exp2(backend.refusals-1)*(0.5+lb.random.nextUnit())
	}
}
