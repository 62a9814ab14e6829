package balancer

import (
	"math"
	"slices"
)

// A request whose attempts have all ended without an answer is sent to another backend, and one that is overdue is hedged,
// both on a budget: each request earns a tenth of a retry, so that retries can't turn a failure into an overload. An
// attempt is overdue when it is in flight for longer than nearly all answers against their predicted time. Where the budget
// is spent or no backend can answer in time, the request is rejected or failed.

const (
	// retryTokensPerRequest is what a request earns for the budget: a storm of retries adds no more load than this.
	retryTokensPerRequest = 0.1
	// maxRetryTokens may be saved up: one backend's requests in flight when it fails.
	maxRetryTokens = 20.0
	// overdueBase in ms is for setting up a connection and some ticks of the host's clock.
	overdueBaseMs = 20
	// unknownOverrun is how much longer than predicted answers are taken to need before any came.
	unknownOverrun = 4
	// minOverrun and maxOverrun bound what was learned of it: unusual days must not end all patience or leave none.
	minOverrun = 2
	maxOverrun = 8
	// overrunQuantile of the answers count as not overdue.
	overrunQuantile = 0.95
	// overrunStep is how fast the quantile follows, in proportion: it must outlast a short burst of slow answers.
	overrunStep = 0.02
	// hedgeSuspicion is from when on a silent backend is left where only one attempt may be in flight.
	hedgeSuspicion = ejectionThreshold / 2
)

// retryState is the budget, and what tells an overdue attempt.
type retryState struct {
	tokens               float64
	overrun              quantileEstimate // how much longer than predicted answers take, at the high end
	latestAnsweredSentAt float64          // when the latest attempt was sent that has been answered
}

// retryOrEnd decides on a request whose attempts have all ended without an answer: another backend within the budget, or
// the end. An attempt that never ran costs nothing of the budget, since it was no work for the backends: when a fleet is
// replaced in bulk, many are rejected.
func (lb *Balancer) retryOrEnd(request *Request) {
	cost := 1.0
	if request.UncertainAttempt() == nil {
		cost = 0
	}
	wasReset := func(a *Attempt) bool { return a.outcome == OutcomeConnectionReset }
	isPoison := lb.suspectsPoisonRequest() && slices.ContainsFunc(request.Attempts, wasReset)
	if !isPoison && lb.timeLeft(request) > 0 && lb.retries.tokens >= cost {
		backend := lb.selectByRotation(request)
		if backend != nil && lb.predictAnswerTime(backend, request) < lb.timeLeft(request) && lb.sendAttempt(request, backend) {
			lb.retries.tokens -= cost
			return
		}
	}
	lb.rejectOrFail(request)
}

// handleOverdue decides on an attempt that is in flight for longer than nearly all others would be. Silence is the first
// sign of a backend that accepts requests and answers none, long before a time-out.
func (lb *Balancer) handleOverdue(attempt *Attempt) {
	request, backend := attempt.Request, attempt.Backend
	if request.stage != stageInFlight || attempt.canceled {
		return
	}
	attempt.isOverdue = true
	if attempt.isOvertaken() {
		backend.removeInFlight(lb.now, attempt)
		lb.queue.hasFreedCapacity = true
	} else {
		backend.lastWait.record(attempt.SentAt, lb.now-attempt.SentAt) // of itself alone: the silence of a few is no overload
		lb.addSuspicion(backend, overdueFault)
	}
	if lb.mayLeaveOverdue(attempt) {
		lb.hedgeOrMove(attempt)
	}
}

// mayLeaveOverdue reports whether an overdue attempt's request may be sent to another backend. Where only one attempt
// may be in flight, the first must end before, and its work goes on there: then only where others are answered
// meanwhile, so that the backend is silent and not all of them are crowded.
func (lb *Balancer) mayLeaveOverdue(attempt *Attempt) bool {
	request := attempt.Request
	if request.class.Idempotency == AtMostOnce || lb.retries.tokens < 1 || request.inFlightCount() > 1 {
		return false
	}
	return request.Config.AllowHedging ||
		lb.retries.latestAnsweredSentAt > attempt.SentAt && lb.suspicionOf(attempt.Backend) >= hedgeSuspicion
}

// hedgeOrMove sends an overdue attempt's request to another backend too, where hedging is allowed; else it cancels the
// attempt, whose end brings the request back to retryOrEnd.
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

// recordOverrun records by how much an answer took longer than predicted.
func (lb *Balancer) recordOverrun(attempt *Attempt, elapsed float64) {
	lb.retries.overrun.add(math.Max(elapsed, minAnswerTimeMs)/math.Max(attempt.expectedTime, 1), overrunQuantile, overrunStep)
}
