package balancer

import "slices"

// A backend is a server of the endpoint list, with what this node has learned of it. The list's word is kept in the
// exported fields; the unexported ones belong to the rule whose file is named above them. Times are in ms.

// Backend is a server as the endpoint list gives it, with what this node has learned of it.
type Backend struct {
	ID      uint64 // the host's name for it, the same at every node
	Zone    int
	Cell    int
	Kind    int // of machine
	State   BackendState
	Weight  float64
	Started float64 // time of its latest start; 0 is long ago

	// In flight.
	inFlight           []*Attempt // not yet ended, oldest first, without those overdue and overtaken
	longInFlight       int        // of those, the ones of long requests
	workInFlight       float64    // their work
	lastAnsweredSentAt float64    // when the latest attempt was sent that has been answered
	busyUntil          float64    // until then, the work of attempts that timed out or were canceled may still run

	// estimators.go
	pace           paceEstimate
	bestPace       float64 // the lowest seen
	completionRate completionRateEstimate
	waits          decayingMean // how long attempts waited behind others there
	lastWait       latestWait
	maxCoresSeen   float64 // the most requests at work at once that it has reported

	// endpoints.go
	tracked      bool    // the balancer has it among its backends
	removedAt    float64 // when the list first said that it is gone
	wasDrained   bool    // the list said that it drains, and has not called it ready since
	isCordoned   bool    // taken out of service by an operator
	cordonedAt   float64 // when it was last
	uncordonedAt float64 // when it was put back, where nothing else tells of its restart

	// selection.go
	rotationPass float64 // its place in the rotation: the lowest goes first
	isConnected  bool    // a connection there has lately served
	inSubset     bool    // it is among the backends that this node connects to
	refusals     float64 // failed connects in a row

	// ejection.go
	suspicion   decayingCounter
	answerRatio quantileEstimate // answer time for a unit of work, at the high end
	lastResetAt float64          // when an attempt there last ended in a reset

	// concurrency.go
	maxInFlight float64 // below 1 it stands for pauses between attempts
	pausedUntil float64 // until then it is sent nothing

	// slowstart.go
	recentWork slidingSum // sent to it within the last overload window
}

// IsTracked reports whether the balancer keeps the backend; of one that is gone for good, the host may let go too.
func (b *Backend) IsTracked() bool { return b.tracked }

// addInFlight counts an attempt as in flight at the backend.
func (b *Backend) addInFlight(now float64, attempt *Attempt) {
	b.completionRate.advance(now, len(b.inFlight) > 0)
	b.inFlight = append(b.inFlight, attempt)
	b.workInFlight += attempt.Request.work
	if attempt.Request.isLong {
		b.longInFlight++
	}
}

// removeInFlight no longer counts an attempt; one that was removed before is not subtracted twice.
func (b *Backend) removeInFlight(now float64, attempt *Attempt) {
	b.completionRate.advance(now, len(b.inFlight) > 0)
	if k := slices.Index(b.inFlight, attempt); k >= 0 {
		b.inFlight = slices.Delete(b.inFlight, k, k+1)
		b.workInFlight -= attempt.Request.work
		if attempt.Request.isLong {
			b.longInFlight--
		}
	}
}

// releaseOvertaken is called for each answer. An attempt that is overdue by then and was sent before the answered one
// no longer counts: its connection fell silent, or its answer stopped short, while the backend works on. It would take
// capacity, lower the drain rate and keep long requests away until it timed out.
func (b *Backend) releaseOvertaken(now float64, answered *Attempt) {
	b.lastAnsweredSentAt = max(b.lastAnsweredSentAt, answered.SentAt)
	for _, attempt := range slices.Clone(b.inFlight) {
		if attempt.isOverdue && attempt.isOvertaken() {
			b.removeInFlight(now, attempt)
		}
	}
}
