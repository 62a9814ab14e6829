package balancer

import (
	"fmt"
	"math"
)

// An attempt is one send of a request to a backend. Every attempt is sent by sendAttempt, which first calls checkRules for
// the rules that hold whatever the reason to send. The host reports by AttemptEnded how the attempt ended. An attempt that
// timed out or was canceled may still run at its backend. It therefore counts toward the node's concurrency limit for as
// long again as it took.

// Outcome classifies the end of an attempt.
type Outcome uint8

// The outcomes. Their numbers are stored.
const (
	OutcomeAnswered        Outcome = iota // the complete answer was received
	OutcomeFailed                         // the backend answered with an error: a status other than 200 that does not prove that the request never ran
	OutcomeRejected                       // the backend refused the request and stated that it did not run
	OutcomeTimedOut                       // no answer within the attempt's time-out
	OutcomeConnectFailed                  // no connection could be opened, or the request could not be written completely
	OutcomeConnectionReset                // the connection ended, or sent no valid response, after the request was sent and before the answer was complete
	OutcomeCanceled                       // the balancer or the host canceled it
	OutcomeNotSent                        // the host did not send it completely, for a reason other than the backend
)

// outcomeNames are the texts of outcomes in the explanations of captures and in logs. They keep the words of earlier builds,
// since operators' scripts read them; "revoked" is canceled, and "no connection" a failed connect.
var outcomeNames = [...]string{"answered", "failed", "rejected", "timed out", "no connection", "reset", "revoked", "not sent"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// NeverRan reports whether the outcome proves that the backend did not run the request.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Request *Request
	Backend *Backend
	Number  int     // index among the request's attempts
	SentAt  float64 // time in ms

	expectedTime float64 // predicted answer time in ms
	inFlight     bool
	hasStarted   bool // it counts as in flight at its backend and toward the node's limit
	canceled     bool
	isOverdue    bool
	wasAlone     bool // when it was sent, this node had at most one other attempt in flight at the backend
	outcome      Outcome
}

// Outcome returns how the attempt ended. It is meaningless while the attempt is in flight.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// InFlight reports whether the attempt has not ended yet.
func (a *Attempt) InFlight() bool { return a.inFlight }

// countedInFlight returns 1 while the attempt counts toward the node's limit, else 0.
func (a *Attempt) countedInFlight() int {
	if a.inFlight && a.hasStarted {
		return 1
	}
	return 0
}

// isOvertaken reports whether the backend has answered an attempt that was sent later. Then a missing answer is the fault of
// the connection and not of the backend.
func (a *Attempt) isOvertaken() bool { return a.Backend.lastAnsweredSentAt > a.SentAt }

// mayStillRun reports whether an attempt with this outcome may still be running at its backend.
func (o Outcome) mayStillRun() bool { return o == OutcomeTimedOut || o == OutcomeCanceled }

// checkRules checks the five rules that hold for every attempt. It returns the reason of a rule that forbids sending the
// request to the backend now, or Eligible:
//  1. No attempt is sent after the request's end or deadline, nor more attempts than allowed, nor a hedge unless hedging is
//     allowed.
//  2. No attempt is sent after one that may have run, unless the request's class allows that at this backend.
//  3. An attempt is only sent to a backend that the endpoint list reports as ready. There is no grace period after a change.
//  4. A backend that warms up is sent no more than this node's share of what it can serve.
//  5. If the class keeps order, no attempt is sent before the request's turn.
func (lb *Balancer) checkRules(request *Request, backend *Backend) Reason {
	switch {
	case request.stage == stageEnded || request.stage == stageStreaming ||
		request.Deadline <= lb.now || len(request.Attempts) >= request.maxAttempts():
		return ReasonRequestDone
	case !lb.isUsable(backend):
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

// mayRepeat reports whether rule 2 allows sending the request to the backend. It always does if no attempt may have run, and
// for Idempotent classes. For IdempotentWithKey classes it does while the backend recognizes the key: within DedupWindow of
// the first attempt that may have run, and in the same DedupScope as that attempt's backend.
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

// sendAttempt sends a request to a backend unless a rule forbids it, and reports whether it did. All attempts are sent here.
func (lb *Balancer) sendAttempt(request *Request, backend *Backend) bool {
	if lb.checkRules(request, backend) != Eligible {
		return false
	}
	attempt := &Attempt{
		Request:      request,
		Backend:      backend,
		Number:       len(request.Attempts),
		SentAt:       lb.now,
		expectedTime: lb.predictAnswerTime(backend, request),
		inFlight:     true,
		wasAlone:     len(backend.inFlight) < 2,
	}
	request.Attempts = append(request.Attempts, attempt)
	request.stage = stageInFlight
	backend.recentWork.add(lb.now, lb.config.OverloadWindow, slowStartCost(request))
	lb.advanceRotation(backend)
	timeout := 0.0 // no time-out: a late answer still has a value, or the client may take long to send the body
	if request.class.LateWeight == 0 && !request.Streamed {
		timeout = math.Max(lb.timeLeft(request), minTimeoutMs)
	}
	lb.decisions = append(lb.decisions, Decision{Kind: DoAttempt, Request: request, Attempt: attempt, Wait: timeout})
	// The time to send a streamed body depends on the client and not on the backend. Such an attempt is counted in
	// flight from RequestBodySent on.
	if !request.Streamed {
		lb.startAttempt(attempt)
	}
	return true
}

// minTimeoutMs is the shortest time-out of an attempt, since 0 would mean none.
const minTimeoutMs = 0.1

// startAttempt counts an attempt as in flight, at its backend and toward the node's limit. It sets a timer for the time from
// which on the attempt is overdue, unless the answer would have no value by then.
func (lb *Balancer) startAttempt(attempt *Attempt) {
	attempt.hasStarted = true
	lb.concurrency.inFlight++
	attempt.Backend.addInFlight(lb.now, attempt)
	overrun := math.Min(math.Max(lb.retries.overrun.valueOr(unknownOverrun), minOverrun), maxOverrun)
	overdueAfter := overdueBaseMs + attempt.expectedTime*overrun
	if overdueAfter < lb.timeLeft(attempt.Request) {
		lb.setTimer(timer{at: lb.now + overdueAfter, attempt: attempt})
	}
}

// cancelAttempt cancels an attempt in flight if the host can do that. The host then reports its end by AttemptEnded.
func (lb *Balancer) cancelAttempt(attempt *Attempt) {
	if attempt.Request.Config.CancelAttempts && attempt.inFlight && !attempt.canceled {
		attempt.canceled = true
		lb.decisions = append(lb.decisions, Decision{Kind: DoCancel, Request: attempt.Request, Attempt: attempt})
	}
}

// ResponseStarted records that a streamed answer has begun to go to the client. From then on no other attempt can replace
// this one. internal/node never calls it; only internal/simprotocol and replays of its captures do.
func (lb *Balancer) ResponseStarted(now float64, attempt *Attempt) {
	lb.now = now
	if attempt.Request.stage != stageEnded {
		attempt.Request.stage = stageStreaming
	}
}

// RequestBodySent records that the whole body of a streamed request has been sent to the attempt's backend. The times of the
// attempt and of the request count from now on, since the client may have taken long to send the body.
func (lb *Balancer) RequestBodySent(now float64, attempt *Attempt) {
	lb.now = now
	request := attempt.Request
	if request.stage == stageInFlight && attempt.inFlight {
		attempt.SentAt = now
		request.ArrivedAt = now
		attempt.expectedTime = lb.predictAnswerTime(attempt.Backend, request)
		lb.startAttempt(attempt)
	}
}

// AttemptEnded records that an attempt ended with the outcome, elapsed ms after it was sent. finished says that the
// request has ended, with this attempt or before it, and must not be decided on again.
func (lb *Balancer) AttemptEnded(now float64, attempt *Attempt, outcome Outcome, elapsed float64, finished bool) {
	lb.now = now
	request := attempt.Request
	backend := attempt.Backend
	lb.review.isPending = true
	backend.removeInFlight(now, attempt)
	counted := attempt.countedInFlight()
	attempt.inFlight = false
	attempt.outcome = outcome
	if counted > 0 && outcome.mayStillRun() {
		lb.setTimer(timer{at: now + elapsed, isWorkAbandoned: true})
	} else {
		lb.concurrency.inFlight -= counted
	}
	lb.recordOutcomeWait(attempt, outcome, elapsed)
	lb.recordOutcome(attempt, outcome, elapsed)
	if outcome.mayStillRun() { // the backend counts as busy until the work is expected to be done
		backend.busyUntil = math.Max(backend.busyUntil, now+request.work*lb.paceOf(backend))
	}
	lb.queue.hasFreedCapacity = true
	if request.keyQueue != nil && (outcome.mayStillRun() || outcome == OutcomeConnectionReset) {
		lb.startCooldown(request)
	}
	lb.removeFromKeyQueue(request)
	if finished {
		lb.endRequest(request)
	} else if request.stage == stageInFlight && request.inFlightCount() == 0 {
		lb.schedule(request)
	}
}

// recordOutcome updates what is known of the backend by an outcome: its speed, its faults, and whether it accepts
// connections.
func (lb *Balancer) recordOutcome(attempt *Attempt, outcome Outcome, elapsed float64) {
	backend := attempt.Backend
	switch outcome {
	case OutcomeAnswered:
		lb.recordAnswer(backend, attempt, elapsed)
	case OutcomeTimedOut:
		if !attempt.isOvertaken() { // the connection of an overtaken attempt is at fault
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
	case OutcomeRejected:
		// A rejection is a sign of load and not a fault. The backend looks idle after such a quick end; the pause keeps
		// it from being sent the next requests.
		lb.lowerBackendLimit(backend, 0)
		lb.adjustInFlightLimit(true)
		backend.pausedUntil = lb.now + lb.estimates.work.value*lb.paceOf(backend)
	}
	backend.isConnected = outcome != OutcomeConnectFailed && outcome != OutcomeConnectionReset &&
		(backend.isConnected || outcome == OutcomeAnswered || outcome == OutcomeRejected)
}

// recordOutcomeWait records the wait behind other work at the backend that the attempt's outcome indicates.
func (lb *Balancer) recordOutcomeWait(attempt *Attempt, outcome Outcome, elapsed float64) {
	switch {
	case outcome == OutcomeAnswered:
		lb.recordWait(attempt, elapsed-attempt.Request.work*lb.paceOf(attempt.Backend))
	case outcome == OutcomeTimedOut && !attempt.isOvertaken():
		lb.recordWait(attempt, elapsed)
	case outcome == OutcomeRejected: // the backend is full: recordWait bounds this to the latency objective
		lb.recordWait(attempt, math.Inf(1))
	}
}
