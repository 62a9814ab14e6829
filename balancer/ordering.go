package balancer

import (
	"math"
	"slices"
)

// In classes that keep order (Class.Ordered), the requests with the same key run one at a time, in the order of their
// arrival at this node. The next request of a key starts when two conditions hold: the previous one has ended with no
// attempt in flight, and the key's cooldown is over. A cooldown of Config.UncertainCooldown begins when an attempt times
// out, is canceled or loses its connection, since the backend may still be running it. A request whose turn can't come in
// time is rejected or failed.

// keyQueue holds the requests of one key that have not ended or have attempts in flight, in order of arrival.
type keyQueue struct {
	key           uint64
	requests      []*Request
	cooldownUntil float64 // time at which the cooldown ends
}

// addToKeyQueue adds a request behind the others of its key.
func (lb *Balancer) addToKeyQueue(request *Request) {
	queue := lb.keyQueues[request.Key]
	if queue == nil {
		queue = &keyQueue{key: request.Key}
		lb.keyQueues[request.Key] = queue
	}
	queue.requests = append(queue.requests, request)
	request.keyQueue = queue
}

// removeFromKeyQueue removes a request that is done (IsDone) from the queue of its key. If it was the first one, the next
// request's turn begins at once or after the cooldown.
func (lb *Balancer) removeFromKeyQueue(request *Request) {
	queue := request.keyQueue
	if queue == nil || !request.IsDone() {
		return
	}
	wasFirst := queue.requests[0] == request
	queue.requests = slices.DeleteFunc(queue.requests, func(other *Request) bool { return other == request })
	request.keyQueue = nil
	switch {
	case wasFirst && queue.cooldownUntil > lb.now:
		lb.setTimer(timer{at: queue.cooldownUntil, keyQueue: queue})
	case wasFirst:
		lb.wakeKeyQueue(queue)
	}
}

// wakeKeyQueue schedules the first request of a key. A key without requests whose cooldown is over is deleted, so that
// keyQueues does not grow with the number of keys ever seen.
func (lb *Balancer) wakeKeyQueue(queue *keyQueue) {
	switch {
	case len(queue.requests) > 0:
		lb.schedule(queue.requests[0])
	case queue.cooldownUntil <= lb.now && lb.keyQueues[queue.key] == queue:
		delete(lb.keyQueues, queue.key)
	}
}

// startCooldown starts the cooldown of the request's key, since the attempt that just ended may still run. The clock's
// resolution is added, since the host's timer may fire that much too early.
func (lb *Balancer) startCooldown(request *Request) {
	queue := request.keyQueue
	queue.cooldownUntil = math.Max(queue.cooldownUntil, lb.now+request.Config.UncertainCooldown+clockResolutionMs)
}

// isKeysTurn reports whether it is the request's turn among those of its key: no earlier one is in the queue and, unless the
// request has had an attempt, the key's cooldown is over. A cooldown that the request's own attempt started does not hold
// back its retry.
func (lb *Balancer) isKeysTurn(request *Request) bool {
	queue := request.keyQueue
	if queue == nil {
		return true
	}
	return queue.requests[0] == request && (len(request.Attempts) > 0 || lb.now >= queue.cooldownUntil)
}

// awaitKeysTurn lets a request wait for its turn among those of its key. If the wait is predicted to be too long, the request
// is rejected or failed at once. Else a timer does that at the last moment at which it could still be answered in time.
//
// The predicted wait is the rest of the cooldown and, for each earlier request, its work at the mean pace plus the wait in
// the node's zone, less the time since its first attempt was sent.
func (lb *Balancer) awaitKeysTurn(request *Request) {
	alone := request.work * lb.paceOf(nil)
	wait := math.Max(0, request.keyQueue.cooldownUntil-lb.now)
	for _, earlier := range request.keyQueue.requests[:slices.Index(request.keyQueue.requests, request)] {
		wait += earlier.work*lb.paceOf(nil) + lb.zoneWait(lb.config.Zone)
		if len(earlier.Attempts) > 0 {
			wait = math.Max(wait-lb.now+earlier.Attempts[0].SentAt, 0)
		}
	}
	maxWait := lb.timeLeft(request) - alone
	if wait > maxWait {
		lb.rejectOrFail(request)
		return
	}
	lb.setTimer(timer{at: lb.now + maxWait, request: request})
}
