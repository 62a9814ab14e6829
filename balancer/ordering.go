package balancer

import (
	"math"
	"slices"
)

// In classes that keep order, the requests with one key run one at a time, in order of arrival at this node. A key's next
// request starts when the one before is over, with nothing in flight, and the key's cooldown has passed: after
// an attempt that timed out, was canceled or whose connection was reset, a backend may still be running it.
// A request whose turn can't come in time is rejected or failed.

// keyQueue is the requests of one key that are not over, in order of arrival.
type keyQueue struct {
	key           uint64
	requests      []*Request
	cooldownUntil float64
}

// addToKeyQueue puts a request behind the others of its key.
func (lb *Balancer) addToKeyQueue(request *Request) {
	queue := lb.keyQueues[request.Key]
	if queue == nil {
		queue = &keyQueue{key: request.Key}
		lb.keyQueues[request.Key] = queue
	}
	queue.requests, request.keyQueue = append(queue.requests, request), queue
}

// removeFromKeyQueue takes a request that is over, with nothing in flight, from its key's queue; the next one's turn may
// have come.
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

// wakeKeyQueue schedules a key's first request, and forgets a key without requests whose cooldown is over: the table
// holds no more keys than requests are open and cooldowns run.
func (lb *Balancer) wakeKeyQueue(queue *keyQueue) {
	switch {
	case len(queue.requests) > 0:
		lb.schedule(queue.requests[0])
	case queue.cooldownUntil <= lb.now && lb.keyQueues[queue.key] == queue:
		delete(lb.keyQueues, queue.key)
	}
}

// startCooldown keeps a key from its next request, since the attempt that just ended may still run. The clock's
// resolution is added, so that a timer that fires early does not shorten it.
func (lb *Balancer) startCooldown(request *Request) {
	queue := request.keyQueue
	queue.cooldownUntil = math.Max(queue.cooldownUntil, lb.now+request.Config.UncertainCooldown+clockResolutionMs)
}

// isKeysTurn reports whether no earlier request of the key is open or in flight and, before the request's own first
// attempt, the key's cooldown is over.
func (lb *Balancer) isKeysTurn(request *Request) bool {
	queue := request.keyQueue
	if queue == nil {
		return true
	}
	return queue.requests[0] == request && (len(request.Attempts) > 0 || lb.now >= queue.cooldownUntil)
}

// awaitKeysTurn keeps a request until those before it of the same key are over. It ends the request at once where they are
// foreseen to take too long, else when it could no longer be answered in time.
func (lb *Balancer) awaitKeysTurn(request *Request) {
	alone := request.work * lb.paceOf(nil)
	wait := math.Max(0, request.keyQueue.cooldownUntil-lb.now)
	for _, earlier := range request.keyQueue.requests[:slices.Index(request.keyQueue.requests, request)] {
		wait += earlier.work*lb.paceOf(nil) + lb.zoneWait(lb.config.Zone)
		if len(earlier.Attempts) > 0 {
			wait = math.Max(wait-lb.now+earlier.Attempts[0].SentAt, 0)
		}
	}
	if last := lb.timeLeft(request) - alone; wait > last {
		lb.rejectOrFail(request)
	} else {
		lb.setTimer(timer{at: lb.now + last, request: request})
	}
}
