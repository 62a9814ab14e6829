package balancer

import "math"

// Ejection keeps requests away from backends that fail. Each backend has a suspicion: each fault adds to it, each answer in
// time lowers it, and it halves every suspicionHalfLifeMs. Suspicion that three quarters of the backends share does not
// count, since its cause must lie elsewhere. After about three clear faults within a few seconds a backend is ejected until
// its suspicion has decayed again, which takes seconds. Requests that may have crashed a backend (poison requests) are not
// sent to another.

const (
	// suspicionHalfLifeMs is short enough that an ejected backend is tried again within seconds.
	suspicionHalfLifeMs = 4e3
	// ejectionThreshold is the suspicion from which on a backend is ejected. Since suspicion decays between faults, two clear
	// faults at different times stay just below it: it takes a third fault, or an overdue attempt as well, within a few
	// seconds.
	ejectionThreshold = 2.0
	// atMostOnceThreshold is the lower threshold for AtMostOnce requests, which can't be retried if the backend fails: one
	// clear fault within the last three seconds reaches it.
	atMostOnceThreshold = 0.6
	// maxSuspicion bounds the suspicion, and thereby the time until an ejected backend is tried again, to a few half-lives.
	maxSuspicion = 3 * ejectionThreshold
	// clearFault is the suspicion that is added for an error, a failed connect or a time-out.
	clearFault = 1
	// overdueFault is the suspicion that is added for an overdue attempt. It is less, since an answer may still come.
	overdueFault = 0.5
	// suspicionLeftByAnswer is the factor by which an answer in time lowers the suspicion.
	suspicionLeftByAnswer = 0.8
	// commonSuspicionQuantile is the quantile of all backends' suspicions that is taken for common to all of them. As long as
	// a quarter of the backends work, the cause is not common, even if a failed zone holds most of the backends.
	commonSuspicionQuantile = 0.25

	// answerRatioQuantile is the quantile of a backend's answer ratios (answer time over work) that is compared with those
	// of the other backends.
	answerRatioQuantile = 0.9
	// answerRatioStep is the relative step by which the estimate of that quantile follows each answer. At a tenth, a dozen
	// answers show a slow backend.
	answerRatioStep = 0.1
	// minAnswerRatios is the number of answers above which a backend is compared. With fewer, one slow answer alone could
	// make an outlier.
	minAnswerRatios = 5
	// outlierRatio is the multiple of the backends' median answer ratio above which a backend is an outlier. Differences
	// between kinds of machine are smaller than that.
	outlierRatio = 4
	// answerRatioReversion moves a backend's answer ratio toward the median of the backends at each review, so that
	// slowness that is not seen again expires within seconds: ratio becomes ratio * (median/ratio)^answerRatioReversion.
	answerRatioReversion = 0.03

	// poisonWindowMs is how long after a reset the balancer acts as if a request had caused it. Within that time a backend
	// that crashed is back and has half warmed up.
	poisonWindowMs = 10e3
	// minRestartTimeMs is less than a crashed process needs until it answers again. A backend that answers sooner after a
	// reset did not crash.
	minRestartTimeMs = 1e3
)

// ejectionThresholds holds the threshold of suspicion by the idempotency of the request's class.
var ejectionThresholds = [...]float64{
	Idempotent:        ejectionThreshold,
	IdempotentWithKey: ejectionThreshold,
	AtMostOnce:        atMostOnceThreshold,
}

// ejectionState holds the state of ejection that concerns all backends together.
type ejectionState struct {
	commonSuspicion      float64 // the suspicion that at least three quarters of the backends have
	lastResetAt          float64 // time of the last reset of a connection, at any backend
	answeredAfterResetAt float64 // time of the last answer that proved that a reset was not a crash; see recordAnswerAfterReset
}

// suspicionOf returns a backend's suspicion, less what is common to the backends. It is never negative.
func (lb *Balancer) suspicionOf(backend *Backend) float64 {
	return math.Max(0, backend.suspicion.get(lb.now, suspicionHalfLifeMs)-lb.ejection.commonSuspicion)
}

// addSuspicion adds a fault to a backend's suspicion, and logs the event if that ejects it.
func (lb *Balancer) addSuspicion(backend *Backend, fault float64) {
	before := lb.suspicionOf(backend)
	backend.suspicion.set(lb.now, math.Min(backend.suspicion.get(lb.now, suspicionHalfLifeMs)+fault, maxSuspicion))
	if after := lb.suspicionOf(backend); before < ejectionThreshold && after >= ejectionThreshold {
		lb.logEvent(Event{Kind: EventBackendEjected, Backend: backend.ID, Count: len(backend.inFlight)})
	}
}

// reviewOutliers compares the usable backends with each other. It computes the common suspicion, and raises the suspicion of
// each backend whose answer ratio is more than outlierRatio times the median, to at least the multiple of the median divided
// by outlierRatio and at most ejectionThreshold: to 1 at 4 times the median, to ejection from 8 times on.
func (lb *Balancer) reviewOutliers() {
	suspicions := make([]float64, 0, len(lb.backends))
	ratios := make([]float64, 0, len(lb.backends))
	for _, backend := range lb.backends {
		if !lb.isUsable(backend) {
			continue
		}
		suspicions = append(suspicions, backend.suspicion.get(lb.now, suspicionHalfLifeMs))
		if backend.answerRatio.samples > minAnswerRatios {
			ratios = append(ratios, backend.answerRatio.value)
		}
	}
	lb.ejection.commonSuspicion = quantileOf(suspicions, commonSuspicionQuantile)
	median := quantileOf(ratios, 0.5)
	for _, backend := range lb.backends {
		if backend.answerRatio.samples <= minAnswerRatios || median == 0 {
			continue
		}
		if multiple := backend.answerRatio.value / median; multiple > outlierRatio {
			suspicion := math.Min(multiple/outlierRatio, ejectionThreshold)
			backend.suspicion.set(lb.now, math.Max(backend.suspicion.get(lb.now, suspicionHalfLifeMs), suspicion))
		}
		backend.answerRatio.value *= math.Pow(median/backend.answerRatio.value, answerRatioReversion)
	}
}

// recordReset records that a connection to the backend was reset before the answer. The request may have crashed the
// backend.
func (lb *Balancer) recordReset(backend *Backend) {
	backend.lastResetAt = lb.now
	lb.ejection.lastResetAt = lb.now
	if !lb.resetsAreIsolated() {
		lb.addSuspicion(backend, clearFault)
	}
}

// recordAnswerAfterReset records an answer for resetsAreIsolated. A backend that answers sooner after a reset than a crashed
// process could, or that answers an attempt which was in flight during the reset, has not crashed: only the connection
// broke.
func (lb *Balancer) recordAnswerAfterReset(backend *Backend, attempt *Attempt) {
	if backend.lastResetAt > 0 && (lb.now-backend.lastResetAt < minRestartTimeMs || attempt.SentAt < backend.lastResetAt) {
		lb.ejection.answeredAfterResetAt = lb.now
	}
}

// suspectsPoisonRequest reports whether a request may have crashed a backend within the last poisonWindowMs: a connection was
// reset, and no answer has shown that resets are isolated.
//
// While it is true, for up to 10 s after one reset anywhere, two things are blocked, since each could crash one more
// backend: retryOrEnd does not retry a request of which an attempt was reset, even an idempotent one, and decideRequest
// rejects clients' retries. Requests that clients send for the first time are still placed.
func (lb *Balancer) suspectsPoisonRequest() bool {
	return lb.now-lb.ejection.lastResetAt < poisonWindowMs && !lb.resetsAreIsolated()
}

// resetsAreIsolated reports whether an answer has shown, within the last poisonWindowMs, that a reset was not a crash (see
// recordAnswerAfterReset). Resets are then taken for the breaking of single connections, and count as no fault.
func (lb *Balancer) resetsAreIsolated() bool {
	return lb.now-lb.ejection.answeredAfterResetAt < poisonWindowMs
}
