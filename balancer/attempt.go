package balancer

import (
	"fmt"
	"math"
)

// An attempt is one send of a request to a backend. Every attempt passes sendAttempt, and checkRules in it, which holds
// the rules that bind whatever the reason to send; the host reports by AttemptEnded how the attempt ended. An attempt that
// timed out or was canceled may still run at its backend, and counts there for as long again.

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Their numbers are stored.
const (
	OutcomeAnswered        Outcome = iota // a whole answer came
	OutcomeFailed                         // an answer came that is none, or not by the protocol
	OutcomeRejected                       // the backend refused it with proof that it did not run
	OutcomeTimedOut                       // no answer within the time given
	OutcomeConnectFailed                  // no connection could be opened, or not all of the request was written
	OutcomeConnectionReset                // the connection ended before the answer
	OutcomeCanceled                       // the balancer or the host canceled it
	OutcomeNotSent                        // the host kept it back, for a reason that is not the backend's
)

// outcomeNames are the texts of outcomes in captures' explanations and in logs, which keep the words of earlier builds.
var outcomeNames = [...]string{"answered", "failed", "rejected", "timed out", "no connection", "reset", "revoked", "not sent"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("ending %d", uint8(o))
}

// NeverRan reports whether the outcome proves that the backend did not run the request.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Request *Request
	Backend *Backend
	Number  int     // its index among the request's attempts
	SentAt  float64 // ms

	expectedTime float64 // ms; predicted answer time
	inFlight     bool
	hasStarted   bool // it counts at its backend and toward the node's limit
	canceled     bool
	isOverdue    bool
	wasAlone     bool // sent with at most one other of this node's in flight there
	outcome      Outcome
}

// Outcome is how the attempt ended, once it has.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// InFlight reports whether the attempt has not ended yet.
func (a *Attempt) InFlight() bool { return a.inFlight }

// countedInFlight is 1 while the attempt counts toward the node's limit, else 0.
func (a *Attempt) countedInFlight() int {
	if a.inFlight && a.hasStarted {
		return 1
	}
	return 0
}

// isOvertaken reports whether its backend has answered an attempt sent later: then the connection is at fault, not the
// backend.
func (a *Attempt) isOvertaken() bool { return a.Backend.lastAnsweredSentAt > a.SentAt }

// mayStillRun reports whether an attempt that ended so may still run at its backend, for as long again as it was given.
func (o Outcome) mayStillRun() bool { return o == OutcomeTimedOut || o == OutcomeCanceled }

// checkRules holds the rules that bind every attempt, and returns the one by which the request may not be sent to the
// backend now:
//  1. not after the request's end or deadline, and not more often than allowed;
//  2. not where an earlier attempt may have run, unless the class allows that;
//  3. only to a backend that the endpoint list calls ready;
//  4. within the node's share of what a backend bears that warms up;
//  5. in order, where the class keeps order.
func (lb *Balancer) checkRules(request *Request, backend *Backend) Reason {
	switch {
	case request.stage == stageEnded || request.stage == stageStreaming ||
		request.Deadline <= lb.now || len(request.Attempts) >= request.maxAttempts():
		return ReasonRequestDone
	case !lb.isUsable(backend): // from the moment that the list says so: there is no grace period
		return ReasonNotReady
	case request.inFlightCount() > 0 && !request.Config.AllowHedging && !request.assumesCanceled:
		return ReasonNoHedging
	case !lb.isKeysTurn(request):
		return ReasonOutOfOrder
	case !lb.mayRepeat(request, backend):
		return ReasonMayHaveRun
	}
	if !lb.hasSlowStartBudget(backend, slowStartCost(request)) {
		return ReasonSlowStartBudget
	}
	return Eligible
}

// mayRepeat reports whether the class allows the request at the backend after an attempt that may have run: where there
// was none, always; with an idempotency key, while the first attempt's backends still recognize it.
func (lb *Balancer) mayRepeat(request *Request, backend *Backend) bool {
	first := request.UncertainAttempt()
	if first == nil {
		return true
	}
	class := request.class
	switch class.Idempotency {
	case AtMostOnce:
		return false
	case IdempotentWithKey:
		return !(lb.now-first.SentAt >= class.DedupWindow ||
			class.DedupScope == DedupByZone && first.Backend.Zone != backend.Zone ||
			class.DedupScope == DedupByCell && first.Backend.Cell != backend.Cell)
	}
	return true
}

// sendAttempt sends a request to a backend unless a rule forbids it. All attempts pass here.
func (lb *Balancer) sendAttempt(request *Request, backend *Backend) bool {
	if lb.checkRules(request, backend) != Eligible {
		return false
	}
	attempt := &Attempt{Request: request, Backend: backend, Number: len(request.Attempts), SentAt: lb.now,
		expectedTime: lb.predictAnswerTime(backend, request), inFlight: true, wasAlone: len(backend.inFlight) < 2}
	request.Attempts, request.stage = append(request.Attempts, attempt), stageInFlight
	backend.recentWork.add(lb.now, lb.config.OverloadWindow, slowStartCost(request))
	lb.advanceRotation(backend)
	timeout := 0.0
	if request.class.LateWeight == 0 && !request.Streamed {
		timeout = math.Max(lb.timeLeft(request), minTimeoutMs)
	}
	lb.decisions = append(lb.decisions, Decision{Kind: DoAttempt, Request: request, Attempt: attempt, Wait: timeout})
	if !request.Streamed { // else the client may take long to send it, which says nothing of the backend
		lb.startAttempt(attempt)
	}
	return true
}

// minTimeout in ms is the shortest time-out of an attempt: 0 would mean none.
const minTimeoutMs = 0.1

// startAttempt has an attempt count at its backend, and sets a timer for when it will be overdue.
func (lb *Balancer) startAttempt(attempt *Attempt) {
	attempt.hasStarted, lb.concurrency.inFlight = true, lb.concurrency.inFlight+1
	attempt.Backend.addInFlight(lb.now, attempt)
	overrun := math.Min(math.Max(lb.retries.overrun.valueOr(unknownOverrun), minOverrun), maxOverrun)
	patience := overdueBaseMs + attempt.expectedTime*overrun
	if patience < lb.timeLeft(attempt.Request) {
		lb.setTimer(timer{at: lb.now + patience, attempt: attempt})
	}
}

// cancelAttempt cancels an attempt in flight, where the host can; AttemptEnded follows.
func (lb *Balancer) cancelAttempt(attempt *Attempt) {
	if attempt.Request.Config.CancelAttempts && attempt.inFlight && !attempt.canceled {
		attempt.canceled = true
		lb.decisions = append(lb.decisions, Decision{Kind: DoCancel, Request: attempt.Request, Attempt: attempt})
	}
}

// ResponseStarted records the start of a streamed answer: from now on the attempt is the client's, and no other may
// take its place.
func (lb *Balancer) ResponseStarted(now float64, attempt *Attempt) {
	lb.now = now
	if attempt.Request.stage != stageEnded {
		attempt.Request.stage = stageStreaming
	}
}

// RequestBodySent records the moment at which the last byte of a streamed request has been passed on: its times count from
// here, since the client may have taken long.
func (lb *Balancer) RequestBodySent(now float64, attempt *Attempt) {
	lb.now = now
	request := attempt.Request
	if request.stage == stageInFlight && attempt.inFlight {
		attempt.SentAt, request.ArrivedAt = now, now
		attempt.expectedTime = lb.predictAnswerTime(attempt.Backend, request)
		lb.startAttempt(attempt)
	}
}

// AttemptEnded records the end of an attempt, elapsed ms after it was sent; finished says that the request has ended
// with it or before.
func (lb *Balancer) AttemptEnded(now float64, attempt *Attempt, how Outcome, elapsed float64, finished bool) {
	lb.now = now
	request, backend := attempt.Request, attempt.Backend
	lb.review.hasNews = true
	backend.removeInFlight(now, attempt)
	counted := attempt.countedInFlight()
	attempt.inFlight, attempt.outcome = false, how
	if counted > 0 && how.mayStillRun() {
		lb.setTimer(timer{at: now + elapsed, isWorkAbandoned: true})
	} else {
		lb.concurrency.inFlight -= counted
	}
	lb.recordOutcomeWait(attempt, how, elapsed)
	lb.recordOutcome(attempt, how, elapsed)
	if how.mayStillRun() { // the backend is not idle before the work could be done
		backend.busyUntil = math.Max(backend.busyUntil, now+request.work*lb.paceOf(backend))
	}
	lb.queue.hasFreedCapacity = true
	if request.keyQueue != nil && (how.mayStillRun() || how == OutcomeConnectionReset) {
		lb.startCooldown(request)
	}
	lb.removeFromKeyQueue(request)
	if finished {
		lb.endRequest(request)
	} else if request.stage == stageInFlight && request.inFlightCount() == 0 {
		lb.schedule(request)
	}
}

// recordOutcome records what an outcome tells of the backend: its speed, its faults, whether it accepts connections.
func (lb *Balancer) recordOutcome(attempt *Attempt, how Outcome, elapsed float64) {
	backend := attempt.Backend
	switch how {
	case OutcomeAnswered:
		lb.recordAnswer(backend, attempt, elapsed)
	case OutcomeTimedOut:
		if !attempt.isOvertaken() { // else a connection fell silent, not the backend
			lb.lowerBackendLimit(backend, 0)
			lb.addSuspicion(backend, clearFault)
		}
	case OutcomeConnectFailed:
		lb.recordConnectFailure(backend)
		lb.addSuspicion(backend, clearFault)
	case OutcomeConnectionReset:
		lb.recordReset(backend)
	case OutcomeFailed:
		lb.addSuspicion(backend, clearFault)
	case OutcomeRejected: // it is a sign of load, not of a fault; and an end so quick would draw more requests
		lb.lowerBackendLimit(backend, 0)
		lb.adjustInFlightLimit(true)
		backend.pausedUntil = lb.now + lb.estimates.work.value*lb.paceOf(backend)
	}
	backend.isConnected = how != OutcomeConnectFailed && how != OutcomeConnectionReset &&
		(backend.isConnected || how == OutcomeAnswered || how == OutcomeRejected)
}

// recordOutcomeWait records what an outcome tells of how long the attempt waited behind others at its backend.
func (lb *Balancer) recordOutcomeWait(attempt *Attempt, how Outcome, elapsed float64) {
	switch {
	case how == OutcomeAnswered:
		lb.recordWait(attempt, elapsed-attempt.Request.work*lb.paceOf(attempt.Backend))
	case how == OutcomeTimedOut && !attempt.isOvertaken():
		lb.recordWait(attempt, elapsed)
	case how == OutcomeRejected: // a queue as long as can be
		lb.recordWait(attempt, math.Inf(1))
	}
}
