package balancer

import "math"

// Ejection keeps requests from backends that fail. Each has a suspicion that faults raise, answers lower and time
// halves; what three in four backends show is not their fault and does not count. From two clear faults in a row on a
// backend is ejected until its suspicion has decayed, within seconds. Requests that may be what brings backends down are
// not sent to another one.

const (
	// suspicionHalfLife in ms: an ejected backend is tried again within seconds.
	suspicionHalfLifeMs = 4e3
	// ejectionThreshold of suspicion: two clear faults in a row.
	ejectionThreshold = 2.0
	// atMostOnceThreshold ejects for requests that can't be repeated: an error within the last seconds.
	atMostOnceThreshold = 0.6
	// maxSuspicion bounds the time until a backend is tried again: a few half-lives.
	maxSuspicion = 3 * ejectionThreshold
	// clearFault is the suspicion for an error, a failed connect or a time-out.
	clearFault = 1
	// overdueFault is that for an attempt that is overdue, which may still be answered.
	overdueFault = 0.5
	// answerForgiveness is the share of suspicion that an answer in time leaves.
	suspicionLeftByAnswer = 0.8
	// commonSuspicionQuantile: a sound quarter of the fleet tells that the fault is not elsewhere, also where a failed zone
	// is most of it.
	commonSuspicionQuantile = 0.25

	// answerRatioQuantile of a backend's answer times is compared with its fellows'.
	answerRatioQuantile = 0.9
	// answerRatioStep is how fast that follows, in proportion: a dozen answers show a slow backend.
	answerRatioStep = 0.1
	// minAnswerRatios is how many answers must be known, else one slow answer alone would be an outlier.
	minAnswerRatios = 5
	// outlierRatio to the fellows' median: slower than the slowest of unlike machines would be.
	outlierRatio = 4
	// answerRatioReturn is by what power the ratio returns to the fellows' at each review: what isn't seen again is
	// forgotten within seconds.
	answerRatioReversion = 0.03

	// poisonWindow in ms is how long a reset is held against requests that may have caused it: until a backend is back and
	// half warmed up.
	poisonWindowMs = 10e3
	// minRestartTime in ms: a process that crashed answers nothing for longer.
	minRestartTimeMs = 1e3
)

// ejectionThresholds are by idempotency of the request's class.
var ejectionThresholds = [...]float64{
	Idempotent:        ejectionThreshold,
	IdempotentWithKey: ejectionThreshold,
	AtMostOnce:        atMostOnceThreshold,
}

// ejectionState is what is known of faults that are not one backend's own.
type ejectionState struct {
	commonSuspicion      float64 // what three in four backends show
	lastResetAt          float64 // when an attempt last ended in a reset
	answeredAfterResetAt float64 // when a backend last answered right after one
}

// suspicionOf is a backend's suspicion against its fellows'.
func (lb *Balancer) suspicionOf(backend *Backend) float64 {
	return math.Max(0, backend.suspicion.get(lb.now, suspicionHalfLifeMs)-lb.ejection.commonSuspicion)
}

// addSuspicion records a fault of a backend.
func (lb *Balancer) addSuspicion(backend *Backend, fault float64) {
	before := lb.suspicionOf(backend)
	backend.suspicion.set(lb.now, math.Min(backend.suspicion.get(lb.now, suspicionHalfLifeMs)+fault, maxSuspicion))
	if after := lb.suspicionOf(backend); before < ejectionThreshold && after >= ejectionThreshold {
		lb.logEvent(Event{Kind: EventBackendEjected, Backend: backend.ID, Count: len(backend.inFlight)})
	}
}

// reviewOutliers compares the backends with each other: what most of them show is no fault of any, and one whose answers
// take several times as long as its fellows' is suspected.
func (lb *Balancer) reviewOutliers() {
	suspicions, ratios := make([]float64, 0, len(lb.backends)), make([]float64, 0, len(lb.backends))
	for _, backend := range lb.backends {
		if !lb.isUsable(backend) {
			continue
		}
		suspicions = append(suspicions, backend.suspicion.get(lb.now, suspicionHalfLifeMs))
		if backend.answerRatio.seen > minAnswerRatios {
			ratios = append(ratios, backend.answerRatio.value)
		}
	}
	lb.ejection.commonSuspicion = valueAtShare(suspicions, commonSuspicionQuantile)
	usual := valueAtShare(ratios, 0.5)
	for _, backend := range lb.backends {
		if backend.answerRatio.seen <= minAnswerRatios || usual == 0 {
			continue
		}
		if ratio := backend.answerRatio.value / usual; ratio > outlierRatio {
			suspicion := math.Min(ratio/outlierRatio, ejectionThreshold)
			backend.suspicion.set(lb.now, math.Max(backend.suspicion.get(lb.now, suspicionHalfLifeMs), suspicion))
		}
		backend.answerRatio.value *= math.Pow(usual/backend.answerRatio.value, answerRatioReversion)
	}
}

// recordReset records a connection that was reset before the answer: the request may have brought the backend down.
func (lb *Balancer) recordReset(backend *Backend) {
	backend.lastResetAt, lb.ejection.lastResetAt = lb.now, lb.now
	if !lb.resetsAreIsolated() {
		lb.addSuspicion(backend, clearFault)
	}
}

// recordAnswerAfterReset records an answer: a backend that answers right after a reset, or answers an attempt that was in
// flight at it, has not been brought down.
func (lb *Balancer) recordAnswerAfterReset(backend *Backend, attempt *Attempt) {
	if backend.lastResetAt > 0 && (lb.now-backend.lastResetAt < minRestartTimeMs || attempt.SentAt < backend.lastResetAt) {
		lb.ejection.answeredAfterResetAt = lb.now
	}
}

// suspectsPoisonRequest reports whether requests may lately have brought down the backends that began them. Then one
// that met a reset is not retried, nor are clients' retries placed: each would cost one more backend. First tries go
// on.
func (lb *Balancer) suspectsPoisonRequest() bool {
	return lb.now-lb.ejection.lastResetAt < poisonWindowMs && !lb.resetsAreIsolated()
}

// resetsAreIsolated tells that connections lately broke by themselves: a backend answered right after a reset.
func (lb *Balancer) resetsAreIsolated() bool {
	return lb.now-lb.ejection.answeredAfterResetAt < poisonWindowMs
}
