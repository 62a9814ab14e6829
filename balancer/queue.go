package balancer

import (
	"cmp"
	"math"
	"slices"
)

// The queue keeps long requests for which no backend is idle, and short ones for which all backends are at capacity.
// Whenever capacity is freed, they are placed in order of their estimate: cost hint times the share of the time left, so
// that small requests go first and waiting moves a request forward. When a quarter of its time is left, a request
// is sent late, to the least loaded backend that may take it, or is rejected.

const (
	// lateSendShare of its time left when it was queued is kept for a request's late send, by the paper's design.
	lateSendShare = 0.25
	// maxPlacementMisses ends a pass over the queue: where some of the smallest requests find no backend, the
	// others hardly do, and a node has little processor time for looking on.
	maxPlacementMisses = 4
	// maxQueuedCrossZoneCost is the share of its value that crossing zones may cost a request for other zones'
	// backends to count in the time that it is foreseen to be queued: above it, crossing hardly ever pays.
	maxQueuedCrossZoneCost = 0.5
)

// requestQueue is the requests without a backend.
type requestQueue struct {
	requests         []*Request
	hasFreedCapacity bool // a backend may have capacity that was not offered to the queue yet
}

// enqueue queues a request. Where the wait is foreseen to be too long, it is rejected at once: queueing it would only
// delay that.
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

// dequeue takes a request out of the queue.
func (lb *Balancer) dequeue(request *Request) {
	lb.queue.requests = slices.DeleteFunc(lb.queue.requests, func(other *Request) bool { return other == request })
}

// placeQueued offers freed capacity to the queue, smallest estimate first.
func (lb *Balancer) placeQueued() {
	if len(lb.queue.requests) == 0 {
		return
	}
	for _, request := range lb.queue.requests {
		request.estimate = request.work * lb.timeToObjective(request) / math.Max(request.objectiveTime()-request.ArrivedAt, 1)
	}
	slices.SortStableFunc(lb.queue.requests, func(a, b *Request) int { return cmp.Compare(a.estimate, b.estimate) })
	remaining, misses := lb.queue.requests[:0], 0
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

// sendLate sends a queued request whose time runs out to the least loaded backend, or ends it.
func (lb *Balancer) sendLate(request *Request) {
	lb.dequeue(request)
	if backend := lb.leastLoaded(request); backend == nil || !lb.sendAttempt(request, backend) {
		lb.rejectOrFail(request)
	}
}

// leastLoaded is the backend with the fewest attempts of this node in flight for its share of the rotation; crossing zones
// counts as up to one more. It is nil where none may take the request.
func (lb *Balancer) leastLoaded(request *Request) (best *Backend) {
	minLoad := math.Inf(1)
	for _, backend := range lb.backends {
		load := float64(len(backend.inFlight)) / lb.rotationShare(backend)
		if !lb.isNear(backend) {
			load += math.Min(lb.crossZoneCost(request), 1)
		}
		// Equals by the rotation: by the list's order the late sends of all nodes would meet at one backend.
		if (load < minLoad || load == minLoad && backend.rotationPass < best.rotationPass) &&
			lb.recordReason(request, backend, lb.whyUnfit(request, backend)) == Eligible {
			best, minLoad = backend, load
		}
	}
	return best
}

// queueTime is how long in ms a request would be queued behind the others, at the rate at which the backends of its zone,
// or of all zones where it may cross, lately did this node's work. Its own work counts only where others are
// queued: a heavy request alone is no cause for a rejection.
func (lb *Balancer) queueTime(request *Request, mayCross bool) float64 {
	rate, ahead := lb.totalCompletionRate(mayCross), 0.0
	for _, queued := range lb.queue.requests {
		ahead += queued.work
	}
	if ahead > 0 {
		ahead += request.work
	}
	if rate == 0 {
		return math.Inf(1)
	}
	return ahead/rate + lb.zoneWait(lb.config.Zone)
}
