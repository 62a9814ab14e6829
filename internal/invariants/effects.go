package invariants

import "pearknot/balancer"

// The rule NoEffectTwice: a request whose effect must not happen twice is not sent again after an attempt that may have
// run, except where an idempotency key makes backends drop the repetition: within the deduplication window, and to a
// backend that shares its record of keys with the first one. It is not rejected after such an attempt either, because its
// client would send it again. No request has more attempts than allowed.

// checkAttemptCount checks the number of attempts, including the one that starts now.
func (a *Auditor) checkAttemptCount(r *request) {
	if a.config.MaxAttempts > 0 && len(r.attempts) >= a.config.MaxAttempts {
		a.addViolation(NoEffectTwice, r.events, "op %d pushed %d times, %d allowed", r.id, len(r.attempts)+1, a.config.MaxAttempts)
	}
}

// checkRetry checks whether an attempt may start, given that earlier attempts may have run.
func (a *Auditor) checkRetry(r *request, e Event) {
	first := r.firstUncertainAttempt()
	if first == nil {
		return
	}
	class := &a.config.Classes[r.class]
	if class.Idempotency == balancer.AtMostOnce {
		a.addViolation(NoEffectTwice, r.events, "at-most-once op %d pushed again, though push %d may have run", r.id, first.number)
		return
	}
	if !a.config.AllowHedging {
		for _, t := range r.attempts {
			if t.inFlight {
				a.addViolation(NoEffectTwice, r.events, "op %d pushed while push %d is out, where no second copies are allowed", r.id, t.number)
				return
			}
		}
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		a.checkDedup(r, class, first, e)
	}
}

// checkDedup checks a retry that relies on backends to recognize the request's idempotency key.
func (a *Auditor) checkDedup(r *request, class *balancer.Class, first *attempt, e Event) {
	sinceFirst := e.At - first.started
	if sinceFirst >= class.DedupWindow+a.config.Tolerance {
		a.addViolation(NoEffectTwice, r.events, "deduplicated op %d pushed again after %.1f ms, its mark is kept for %.1f", r.id, sinceFirst, class.DedupWindow)
		return
	}
	if class.DedupScope == balancer.DedupByAll {
		return
	}
	from, to := a.backends[first.backend], a.backends[e.Backend]
	if from == nil || to == nil {
		a.addViolation(NoEffectTwice, r.events, "deduplicated op %d pushed again to a backend of an unknown group", r.id)
		return
	}
	otherZone := class.DedupScope == balancer.DedupByZone && from.zone != to.zone
	otherCell := class.DedupScope == balancer.DedupByCell && from.cell != to.cell
	if otherZone || otherCell {
		a.addViolation(NoEffectTwice, r.events, "deduplicated op %d pushed again outside its group", r.id)
	}
}

// checkRejectable checks a rejection, after which the client sends the request again.
func (a *Auditor) checkRejectable(r *request) {
	if r.firstUncertainAttempt() == nil {
		return
	}
	class := &a.config.Classes[r.class]
	recognized := class.Idempotency == balancer.IdempotentWithKey && class.DedupScope == balancer.DedupByAll
	if class.Idempotency != balancer.Idempotent && !recognized {
		a.addViolation(NoEffectTwice, r.events, "op %d nacked after a push that may have run: its client would send it again", r.id)
	}
}

// attemptRan counts the effects that really happened, whatever the node concluded from the attempts' outcomes.
func (a *Auditor) attemptRan(e Event) {
	r := a.requests[e.Request]
	if r == nil {
		return
	}
	r.addEvent(e)
	r.runs++
	if r.runs > 1 && a.config.Classes[r.class].Idempotency == balancer.AtMostOnce {
		a.addViolation(NoEffectTwice, r.events, "at-most-once op %d ran %d times", e.Request, r.runs)
	}
}
