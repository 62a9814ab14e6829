package balancer

import "math"

// Concurrency limits bound how many attempts are in flight, at each backend and for the node in all. They follow the
// answers: up by one while answers come without a queue, down by a fifth where they were queued, timed out or were
// rejected. A node sees only its own work, so that queues of others show in answer times alone. At a limit, requests are
// queued.

const (
	// initialInFlight attempts may be in flight, by all nodes together, at a backend of which nothing is known, beyond one
	// of each node.
	initialInFlight = 3.0
	// minInFlightPerBackend attempts by all nodes together are not too many for any backend.
	minInFlightPerBackend = 7.0
	// toleratedWaitShare of the latency objective is what an answer may take beside its own work before it is too late.
	toleratedWaitShare = 0.4
	// backendQueueTolerance is the share of the latency objective from which on a queue lowers the backend's limit.
	backendQueueTolerance = 0.03
	// nodeQueueTolerance is that for the node's limit, and for a backend's where it stands for pauses: a pause gives up more
	// than an attempt in flight does.
	nodeQueueTolerance = 0.2
	// paceTolerance: an answer that takes longer than this many times the best pace was queued for the rest.
	paceTolerance = 1.5
	// limitDecrease is what a queue leaves of a limit.
	limitDecrease = 0.8
	// maxLimitGrowth is the part of a limit that one answer adds at most: small limits must not double at once.
	maxLimitGrowth = 4
	// maxRoundingUp is just below one, so that a whole limit is not raised by one.
	maxRoundingUp = 0.99
	// minNodeInFlight attempts may always be in flight, so that one silent backend does not stop a node.
	minNodeInFlight = 2
)

// concurrencyState is the limit of the node in all.
type concurrencyState struct {
	inFlight     int             // attempts, with those whose work may go on after their end
	limit        float64         // infinite before the first backend is known
	answeredTime decayingCounter // ms that each of the latest answered attempts might have taken
}

// perNodeShare is this node's share of what all nodes together may.
func (lb *Balancer) perNodeShare(total float64) float64 {
	return total / float64(max(lb.config.Nodes, 1))
}

// isAtCapacity reports whether a backend has all the attempts that this node sends there at once. Beyond that they
// would queue, and an overloaded backend may turn slower for all nodes. A part of an attempt is rounded up where nodes
// are few, and down where many of them would add up.
func (lb *Balancer) isAtCapacity(backend *Backend) bool {
	if float64(lb.concurrency.inFlight) >= lb.concurrency.limit || backend.pausedUntil > lb.now || !lb.mayUse(backend) {
		return true
	}
	limit := math.Floor(backend.maxInFlight + math.Min(lb.perNodeShare(initialInFlight), maxRoundingUp))
	return float64(len(backend.inFlight)) >= max(limit, 1)
}

// adjustLimits adjusts the limits after an answer. Queues that any node causes lengthen the answers of all: each lowers
// its limits, so that they share what there is without a message. The best pace seen is the measure: the present one
// holds queues that have come to stay.
func (lb *Balancer) adjustLimits(backend *Backend, attempt *Attempt, elapsed float64) {
	objective := attempt.Request.class.LatencyObjective
	queueing := elapsed - paceTolerance*attempt.Request.work*backend.bestPace
	tolerance := backendQueueTolerance
	if backend.maxInFlight <= 1 {
		tolerance = nodeQueueTolerance
	}
	lb.adjustInFlightLimit(queueing > nodeQueueTolerance*objective)
	if queueing > tolerance*objective {
		lb.lowerBackendLimit(backend, elapsed)
	} else if float64(len(backend.inFlight)+1) >= backend.maxInFlight {
		backend.maxInFlight += math.Min(backend.maxInFlight/maxLimitGrowth, 1/backend.maxInFlight)
	}
}

// lowerBackendLimit lowers a backend's limit. Below one it stands for pauses between attempts: with many nodes, one attempt
// of each at all times can be more than a backend bears.
func (lb *Balancer) lowerBackendLimit(backend *Backend, elapsed float64) {
	backend.maxInFlight = math.Max(backend.maxInFlight*limitDecrease, math.Min(1, lb.perNodeShare(initialInFlight)))
	if backend.maxInFlight < 1 {
		backend.pausedUntil = math.Max(backend.pausedUntil, lb.now+(1/backend.maxInFlight-1)*elapsed)
	}
}

// adjustInFlightLimit lowers or raises the limit of the node in all. Many nodes of few requests each reach no backend's
// limit, and learn of a queue too late to keep from feeding it: what is not answered yet holds back the next.
func (lb *Balancer) adjustInFlightLimit(wasQueued bool) {
	minLimit := lb.minInFlightLimit()
	switch {
	case wasQueued:
		lb.concurrency.limit = math.Max(minLimit, limitDecrease*math.Min(lb.concurrency.limit, float64(lb.concurrency.inFlight+1)))
	case float64(lb.concurrency.inFlight+1) >= lb.concurrency.limit:
		lb.concurrency.limit += math.Min(lb.concurrency.limit/maxLimitGrowth, 1/lb.concurrency.limit)
	}
}

// minInFlightLimit is the lowest that the node's limit falls: two, its share of what no backend minds, or what answers show
// to be affordable.
func (lb *Balancer) minInFlightLimit() float64 {
	return max(minNodeInFlight, lb.perNodeShare(minInFlightPerBackend*float64(len(lb.backends))), lb.affordableInFlight())
}

// affordableInFlight is how many attempts would be in flight if those lately answered had each taken as long as they
// may: by Little's law, at the rate at which answers come. Where backends turn slow it falls with that rate, and a node
// of much traffic has more of it than one of little; all nodes' together keep waits within that time.
func (lb *Balancer) affordableInFlight() float64 {
	return lb.concurrency.answeredTime.get(lb.now, rateHalfLifeMs) * math.Ln2 / rateHalfLifeMs
}

// recordAnsweredTime records an answer for affordableInFlight.
func (lb *Balancer) recordAnsweredTime(backend *Backend, request *Request) {
	counter := &lb.concurrency.answeredTime
	sum := counter.get(lb.now, rateHalfLifeMs) + request.work*lb.paceOf(backend) + toleratedWaitShare*request.class.LatencyObjective
	counter.set(lb.now, sum)
}
