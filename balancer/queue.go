package balancer

import (
	"cmp"
	"math"
	"slices"
)

// The queue holds long requests for which no backend is idle, and short ones for which all backends are at capacity. When
// capacity is freed, the requests are placed in the order of their estimates, the smallest first. The estimate is a
// request's work times the share of its time to the latency objective that is left. Small requests thereby go first, and a
// request moves forward while it waits. When a quarter of the time that was left at its arrival in the queue remains, a
// request is sent late: to the least loaded backend that may take it, or else it is rejected or failed.

const (
	// lateSendShare is the share of the time to its latency objective, as of when a request is queued, that is kept for its
	// late send, as in the paper.
	lateSendShare = 0.25
	// maxPlacementMisses is the number of requests without an eligible backend after which a pass over the queue ends. If some
	// of the smallest requests have no eligible backend, the others rarely have one, and each search costs CPU time.
	maxPlacementMisses = 4
	// maxQueuedCrossZoneCost is the cost of crossing zones, as a share of the request's value, below which the backends of all
	// zones count when its queue time is predicted. Above it, crossing zones is rarely worth it.
	maxQueuedCrossZoneCost = 0.5
)

// requestQueue holds the queued requests.
type requestQueue struct {
	requests         []*Request
	hasFreedCapacity bool // a backend may have free capacity that has not been offered to the queue yet
}

// enqueue queues a request, and sets a timer for its late send. If the predicted wait is longer than the request's patience,
// or its answer would come too late, it is rejected or failed at once, since queueing it would only delay that.
func (lb *Balancer) enqueue(request *Request) {
	wait := lb.queueTime(request, lb.crossZoneCost(request) < maxQueuedCrossZoneCost)
	if wait > lb.patienceOf(request) || wait+request.work*lb.paceOf(nil) > lb.timeLeft(request) {
		lb.rejectOrFail(request)
		return
	}
	lb.recordReason(request, nil, ReasonQueued)
	request.stage = stageQueued
	lb.queue.requests = append(lb.queue.requests, request)
	lb.setTimer(timer{at: lb.now + (1-lateSendShare)*lb.timeToObjective(request), request: request})
}

// dequeue removes a request from the queue.
func (lb *Balancer) dequeue(request *Request) {
	lb.queue.requests = slices.DeleteFunc(lb.queue.requests, func(other *Request) bool { return other == request })
}

// placeQueued offers freed capacity to the queued requests, smallest estimate first.
func (lb *Balancer) placeQueued() {
	if len(lb.queue.requests) == 0 {
		return
	}
	for _, request := range lb.queue.requests {
		totalTime := math.Max(request.objectiveTime()-request.ArrivedAt, 1)
		request.estimate = request.work * lb.timeToObjective(request) / totalTime
	}
	slices.SortStableFunc(lb.queue.requests, func(a, b *Request) int { return cmp.Compare(a.estimate, b.estimate) })
	remaining := lb.queue.requests[:0]
	misses := 0
	for _, request := range lb.queue.requests {
		if misses < maxPlacementMisses {
			if lb.placeRequest(request) {
				continue
			}
			misses++
		}
		remaining = append(remaining, request)
	}
	lb.queue.requests = remaining
}

// sendLate sends a queued request to the least loaded backend when its late send is due, or rejects or fails it.
func (lb *Balancer) sendLate(request *Request) {
	lb.dequeue(request)
	if backend := lb.leastLoaded(request); backend == nil || !lb.sendAttempt(request, backend) {
		lb.rejectOrFail(request)
	}
}

// leastLoaded returns the eligible backend with the lowest load, or nil if none may take the request. The load is this node's
// attempts in flight there divided by the rotation share; the cost of crossing zones is added, up to 1.
func (lb *Balancer) leastLoaded(request *Request) (best *Backend) {
	minLoad := math.Inf(1)
	for _, backend := range lb.backends {
		load := float64(len(backend.inFlight)) / lb.rotationShare(backend)
		if !lb.isNear(backend) {
			load += math.Min(lb.crossZoneCost(request), 1)
		}
		// The rotation decides between equal loads. In list order, the late sends of all nodes would go to the same
		// backend.
		if (load < minLoad || load == minLoad && backend.rotationPass < best.rotationPass) &&
			lb.recordReason(request, backend, lb.whyUnfit(request, backend)) == Eligible {
			best, minLoad = backend, load
		}
	}
	return best
}

// queueTime returns how long in ms a request would be queued behind the others: the work ahead of it, divided by the total
// completion rate of the near backends, or of all backends with mayCross, plus the wait in the node's zone. The request's
// own work is included only if others are queued, so that a heavy request alone is not rejected for its own size.
func (lb *Balancer) queueTime(request *Request, mayCross bool) float64 {
	rate := lb.totalCompletionRate(mayCross)
	workAhead := 0.0
	for _, queued := range lb.queue.requests {
		workAhead += queued.work
	}
	if workAhead > 0 {
		workAhead += request.work
	}
	if rate == 0 {
		return math.Inf(1)
	}
	return workAhead/rate + lb.zoneWait(lb.config.Zone)
}
