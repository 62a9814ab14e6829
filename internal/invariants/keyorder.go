package invariants

import (
	"math"
	"slices"

	"pearknot/balancer"
)

// The rule KeyOrder: the requests of one key at one node, in classes that require ordering, are sent one after the other, in
// the order in which they were accepted. After an attempt that may still run the key pauses for a cooldown. The cooldown
// applies to the requests behind it, while the request itself may be retried at once.

// nodeKey identifies a key at one node.
type nodeKey struct {
	node int
	key  uint64
}

// keyQueue holds a key's unfinished requests at one node, in the order in which they were accepted.
type keyQueue struct {
	requests      []*request
	cooldownUntil float64
}

func (a *Auditor) joinKeyQueue(r *request, e Event) {
	id := nodeKey{e.Node, e.Key}
	if a.keyQueues[id] == nil {
		a.keyQueues[id] = &keyQueue{}
	}
	r.queue = a.keyQueues[id]
	r.queue.requests = append(r.queue.requests, r)
}

// leaveQueueIfOver removes the request from its key's queue if it is over, which means closed with no attempt in flight.
func (r *request) leaveQueueIfOver() {
	if r.closed && !r.hasAttemptInFlight() {
		r.leaveQueue()
	}
}

func (r *request) leaveQueue() {
	if r.queue == nil {
		return
	}
	r.queue.requests = slices.DeleteFunc(r.queue.requests, func(other *request) bool { return other == r })
	r.queue = nil
}

// checkKeyOrder checks an attempt against the requests of its key that were accepted earlier.
func (a *Auditor) checkKeyOrder(r *request, e Event) {
	if r.queue == nil {
		return
	}
	if first := r.queue.requests[0]; first != r {
		a.addViolation(KeyOrder, append(slices.Clone(first.events), r.events...), "op %d pushed while op %d of its key, taken earlier, is not over",
			r.id, first.id)
		return
	}
	isRetry := len(r.attempts) > 0
	if !isRetry && e.At < r.queue.cooldownUntil-a.config.Tolerance {
		a.addViolation(KeyOrder, r.events, "op %d pushed %.1f ms before the end of its key's rest", r.id, r.queue.cooldownUntil-e.At)
	}
}

// beginKeyCooldown pauses the key of an attempt that ended without a response and may still run.
func (a *Auditor) beginKeyCooldown(r *request, e Event) {
	if r.queue == nil {
		return
	}
	switch e.Outcome {
	case balancer.OutcomeTimedOut, balancer.OutcomeConnectionReset, balancer.OutcomeCanceled:
		r.queue.cooldownUntil = math.Max(r.queue.cooldownUntil, e.At+a.config.KeyCooldown)
	}
}

// sweepKeyQueues removes the queues that hold nothing and whose cooldown is over.
func (a *Auditor) sweepKeyQueues() {
	for id, queue := range a.keyQueues {
		if len(queue.requests) == 0 && queue.cooldownUntil < a.now {
			delete(a.keyQueues, id)
		}
	}
}
