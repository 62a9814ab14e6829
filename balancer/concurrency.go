package balancer

import "math"

// Concurrency limits bound the number of attempts that this node has in flight: one limit for each backend and one for all
// backends together. Both follow additive increase and multiplicative decrease: a limit rises by about one for as many
// answers as it allows attempts, while answers show no queue, and falls by a fifth when an answer shows a queue or a
// backend rejects an attempt. A time-out lowers the limit of its backend only. A node sees only its own attempts in flight,
// so that work of other nodes shows only in answer times. While a limit is reached, requests are queued.

const (
	// initialInFlight is a number of attempts in flight that is divided between all nodes. Each node's initial limit for a
	// backend is one attempt plus the node's share of this.
	initialInFlight = 3.0
	// minInFlightPerBackend is a number of attempts in flight, of all nodes together, that overloads no backend.
	minInFlightPerBackend = 7.0
	// toleratedWaitShare is the wait that affordableInFlight allows for each answer, as a share of the latency objective.
	toleratedWaitShare = 0.4
	// backendQueueTolerance is the time in a queue, as a share of the latency objective, above which an answer lowers the
	// limit of its backend.
	backendQueueTolerance = 0.03
	// nodeQueueTolerance is the same for the node's limit, and for a backend's limit of 1 or less. Such a limit is lowered by
	// pauses between attempts, which cost more throughput than one attempt in flight less, so that more queueing is tolerated.
	nodeQueueTolerance = 0.2
	// paceTolerance is how many times longer than at the backend's best pace an answer may take before the rest of its time
	// counts as time in a queue.
	paceTolerance = 1.5
	// limitDecrease is the factor by which a limit falls.
	limitDecrease = 0.8
	// limitGrowthDivisor bounds the rise of a limit by one answer to the limit divided by this, so that a limit of 1 does not
	// double by a single answer.
	limitGrowthDivisor = 4
	// maxRoundingUp bounds what is added to a limit before it is rounded down. It is just below 1, so that a whole number is
	// not raised.
	maxRoundingUp = 0.99
	// minNodeInFlight is the lowest limit of the node, so that one silent backend does not block all requests.
	minNodeInFlight = 2
)

// concurrencyState holds the node's limit over all backends.
type concurrencyState struct {
	// inFlight is the number of attempts in flight, with those that timed out or were canceled and may still run.
	inFlight int
	// limit is the maximum of inFlight; infinite until the first backend is known.
	limit float64
	// answeredTime is the decaying sum, over answered attempts, of the ms that each could have taken and still been good
	// enough: its work at the backend's pace, and toleratedWaitShare of its latency objective. See affordableInFlight.
	answeredTime decayingCounter
}

// perNodeShare returns this node's equal share of a limit or a budget that is for all nodes together.
func (lb *Balancer) perNodeShare(total float64) float64 {
	return total / float64(max(lb.config.Nodes, 1))
}

// isAtCapacity reports whether this node may not send the backend another attempt now: the node's limit or the backend's
// limit is reached, the backend is paused, or the node does not use it at present (see mayUse). Further attempts would be
// queued at the backend, and an overloaded backend may become slower for all nodes.
//
// The backend's limit is a fraction. With few nodes it is rounded up. With many it is rounded down, since the fractions of
// all of them would add up to many attempts.
func (lb *Balancer) isAtCapacity(backend *Backend) bool {
	if float64(lb.concurrency.inFlight) >= lb.concurrency.limit || backend.pausedUntil > lb.now || !lb.mayUse(backend) {
		return true
	}
	limit := math.Floor(backend.maxInFlight + math.Min(lb.perNodeShare(initialInFlight), maxRoundingUp))
	return float64(len(backend.inFlight)) >= max(limit, 1)
}

// adjustLimits adjusts the limits after an answer that took elapsed ms. A queue that one node causes lengthens the answers
// of all nodes, so that each lowers its limits and they share the backend without exchanging messages. Time in a queue is
// measured against the best pace seen of the backend: the present pace already includes a queue that has lasted.
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
		backend.maxInFlight += math.Min(backend.maxInFlight/limitGrowthDivisor, 1/backend.maxInFlight)
	}
}

// lowerBackendLimit lowers a backend's limit after an attempt that took elapsed ms. A limit below 1 means one attempt at a
// time. Each time the limit is lowered to such a value, a pause of 1/limit - 1 times the answer time begins: with 0.25,
// three answer times. An answer that does not lower the limit starts no pause. This is needed where nodes are many: one
// attempt of each at all times can be more than a backend can serve.
func (lb *Balancer) lowerBackendLimit(backend *Backend, elapsed float64) {
	backend.maxInFlight = math.Max(backend.maxInFlight*limitDecrease, math.Min(1, lb.perNodeShare(initialInFlight)))
	if backend.maxInFlight < 1 {
		backend.pausedUntil = math.Max(backend.pausedUntil, lb.now+(1/backend.maxInFlight-1)*elapsed)
	}
}

// adjustInFlightLimit lowers or raises the node's limit after an answer; wasQueued says that the answer showed a queue. The
// limits of single backends are not enough where nodes are many and each has few requests: none of them reaches such a
// limit, and each learns of a queue only after it has added to it. Under the node's limit, attempts that are not answered
// yet hold back further ones.
func (lb *Balancer) adjustInFlightLimit(wasQueued bool) {
	minLimit := lb.minInFlightLimit()
	switch {
	case wasQueued:
		lb.concurrency.limit = math.Max(minLimit, limitDecrease*math.Min(lb.concurrency.limit, float64(lb.concurrency.inFlight+1)))
	case float64(lb.concurrency.inFlight+1) >= lb.concurrency.limit:
		lb.concurrency.limit += math.Min(lb.concurrency.limit/limitGrowthDivisor, 1/lb.concurrency.limit)
	}
}

// minInFlightLimit returns the lower bound of the node's limit: the largest of minNodeInFlight, this node's share of
// minInFlightPerBackend over all backends, and affordableInFlight.
func (lb *Balancer) minInFlightLimit() float64 {
	return max(minNodeInFlight, lb.perNodeShare(minInFlightPerBackend*float64(len(lb.backends))), lb.affordableInFlight())
}

// affordableInFlight returns how many attempts would be in flight if each of the latest answers had taken as long as is
// acceptable (concurrencyState.answeredTime). By Little's law that is the answer rate times the acceptable time. It falls
// when backends become slow, since then fewer answers come, and it is larger at a node with more traffic. With all nodes
// at this number, waits stay within the acceptable time.
func (lb *Balancer) affordableInFlight() float64 {
	return lb.concurrency.answeredTime.get(lb.now, rateHalfLifeMs) * math.Ln2 / rateHalfLifeMs
}

// recordAnsweredTime adds the acceptable time of an answered request to concurrencyState.answeredTime.
func (lb *Balancer) recordAnsweredTime(backend *Backend, request *Request) {
	counter := &lb.concurrency.answeredTime
	sum := counter.get(lb.now, rateHalfLifeMs)
	sum += request.work * lb.paceOf(backend)
	sum += toleratedWaitShare * request.class.LatencyObjective
	counter.set(lb.now, sum)
}
