package balancer

import (
	"math"
	"slices"
)

// Retries and hedges. A request whose attempts have all ended without an answer is retried at another backend. A request
// whose attempt is overdue is hedged: it is sent to a second backend while the first attempt is still in flight. Both
// spend tokens of one retry budget. Each arriving request adds a tenth of a token, so that retries can't turn a failure
// into an overload. When the budget is spent, or no backend is expected to answer in time, the request is rejected or
// failed.
//
// The overrun of an answer is its answer time divided by its predicted answer time. An attempt is overdue when its time in
// flight exceeds its predicted answer time multiplied by a high quantile of the overruns seen, plus overdueBaseMs, so that
// nearly all answers come before their attempts are overdue.

const (
	// retryTokensPerRequest is the number of tokens that each arriving request adds. Retries and hedges thereby add at most a
	// tenth to the load.
	retryTokensPerRequest = 0.1
	// maxRetryTokens is the most that the budget holds: about as many as one backend's requests in flight when it fails.
	maxRetryTokens = 20.0
	// overdueBaseMs is added to the time after which an attempt is overdue. It covers the setup of a connection and the
	// resolution of the host's clock.
	overdueBaseMs = 20
	// unknownOverrun is the overrun that is assumed before the first answer.
	unknownOverrun = 4
	// minOverrun and maxOverrun bound the learned overrun, so that with unusual traffic the balancer neither hedges
	// nearly every request nor stops hedging.
	minOverrun = 2
	maxOverrun = 8
	// overrunQuantile is the quantile of the overruns that is learned: 95 of 100 answers come before they are overdue.
	overrunQuantile = 0.95
	// overrunStep is the relative step by which the estimate of that quantile follows each answer. It is small, so that a
	// short burst of slow answers does not raise it much.
	overrunStep = 0.02
	// moveSuspicion is a backend's lowest suspicion at which an overdue attempt is canceled so that its request can be moved
	// to another backend. It applies if hedging is not allowed.
	moveSuspicion = ejectionThreshold / 2
)

// retryState holds the retry budget and the estimates that determine when an attempt is overdue.
type retryState struct {
	tokens               float64          // tokens left in the budget
	overrun              quantileEstimate // the overrunQuantile of answer time over predicted answer time
	latestAnsweredSentAt float64          // latest SentAt of all answered attempts
}

// retryOrEnd decides on a request whose attempts have all ended without an answer. It retries the request at another
// backend, or ends it.
//
// A retry costs one token. It is free if none of the attempts can have run, since they caused the backends no work: when
// many backends are replaced at the same time, those that shut down reject many attempts, and retrying these must not use
// up the budget.
//
// A request of which an attempt was reset is not retried while suspectsPoisonRequest holds, even if it is idempotent. One
// reset at any backend thereby blocks such retries for poisonWindowMs, unless an answer shows that resets are isolated.
func (lb *Balancer) retryOrEnd(request *Request) {
	cost := 1.0
	if request.UncertainAttempt() == nil {
		cost = 0
	}
	wasReset := func(a *Attempt) bool { return a.outcome == OutcomeConnectionReset }
	mayBePoison := lb.suspectsPoisonRequest() && slices.ContainsFunc(request.Attempts, wasReset)
	mayRetry := !mayBePoison && lb.timeLeft(request) > 0 && lb.retries.tokens >= cost
	if mayRetry {
		backend := lb.selectByRotation(request)
		if backend != nil && lb.predictAnswerTime(backend, request) < lb.timeLeft(request) && lb.sendAttempt(request, backend) {
			lb.retries.tokens -= cost
			return
		}
	}
	lb.rejectOrFail(request)
}

// handleOverdue records that an attempt is overdue, and decides whether to send its request to another backend. A missing
// answer is the first sign of a backend that accepts requests and answers none, long before the time-out.
func (lb *Balancer) handleOverdue(attempt *Attempt) {
	request := attempt.Request
	backend := attempt.Backend
	if request.stage != stageInFlight || attempt.canceled {
		return
	}
	attempt.isOverdue = true
	if attempt.isOvertaken() {
		// The backend has answered an attempt that was sent later, so the connection is at fault and not the backend. The
		// attempt no longer counts toward the backend's attempts in flight.
		backend.removeInFlight(lb.now, attempt)
		lb.queue.hasFreedCapacity = true
	} else {
		// It counts as a wait at this backend only, not in its zone: a few silent backends are no overload of the zone.
		backend.lastWait.record(attempt.SentAt, lb.now-attempt.SentAt)
		lb.addSuspicion(backend, overdueFault)
	}
	if lb.mayHedgeOrMove(attempt) {
		lb.hedgeOrMove(attempt)
	}
}

// mayHedgeOrMove reports whether the request of an overdue attempt may be sent to another backend. If hedging is not
// allowed, the attempt has to be canceled first, although its backend keeps working on it. That is only worth it if no other
// backend is silent, which two signs must show: some backend has answered an attempt that was sent later, and the attempt's
// own backend is suspected.
func (lb *Balancer) mayHedgeOrMove(attempt *Attempt) bool {
	request := attempt.Request
	if request.class.Idempotency == AtMostOnce || lb.retries.tokens < 1 || request.inFlightCount() > 1 {
		return false
	}
	return request.Config.AllowHedging ||
		lb.retries.latestAnsweredSentAt > attempt.SentAt && lb.suspicionOf(attempt.Backend) >= moveSuspicion
}

// hedgeOrMove acts on the request of an overdue attempt if another backend is expected to answer in time. If hedging is
// allowed, it also sends the request to that backend if the request is Idempotent, and otherwise leaves it alone. If hedging
// is not allowed, it moves the request: it cancels the attempt, and when that has ended, retryOrEnd decides on the request
// again.
func (lb *Balancer) hedgeOrMove(attempt *Attempt) {
	request := attempt.Request
	request.assumesCanceled = !request.Config.AllowHedging
	backend := lb.selectByRotation(request)
	request.assumesCanceled = false
	switch {
	case backend == nil || lb.predictAnswerTime(backend, request) > lb.timeLeft(request):
	case !request.Config.AllowHedging:
		lb.cancelAttempt(attempt)
	case request.class.Idempotency == Idempotent && lb.sendAttempt(request, backend):
		lb.retries.tokens--
	}
}

// recordOverrun records the overrun of an answer that took elapsed ms.
func (lb *Balancer) recordOverrun(attempt *Attempt, elapsed float64) {
	overrun := math.Max(elapsed, minAnswerTimeMs) / math.Max(attempt.expectedTime, 1)
	lb.retries.overrun.add(overrun, overrunQuantile, overrunStep)
}
