package balancer

import "slices"

// Backend is a server of the endpoint list, with this node's measurements of it. The exported fields hold the values of the
// list. The unexported fields belong to the rule whose file is named above them. Times are in ms.
type Backend struct {
	ID      uint64 // identifier given by the host, the same at all nodes
	Zone    int
	Cell    int
	Kind    int          // kind of machine
	State   BackendState // in the endpoint list; whether an operator has cordoned it is recorded apart
	Weight  float64      // capacity in relation to other backends
	Started float64      // time of its latest start; 0 if that is long ago

	// attempt.go
	inFlight           []*Attempt // attempts in flight, oldest first, without those that are overdue and overtaken
	longInFlight       int        // number of them that belong to long requests
	workInFlight       float64    // sum of their work
	lastAnsweredSentAt float64    // latest SentAt of the attempts that it has answered
	busyUntil          float64    // time until which attempts that timed out or were canceled may still run

	// estimators.go
	pace           paceEstimate
	bestPace       float64 // the lowest pace seen, rising slowly so that an old one expires
	completionRate completionRateEstimate
	waits          decayingMean // ms that attempts there waited behind other work
	lastWait       latestWait
	maxCoresSeen   float64 // the most requests that were running there at once, by its load reports

	// endpoints.go
	tracked bool // it is in Balancer.backends

	// availability.go
	availability

	// selection.go
	rotationPass float64 // place in the rotation: the backend with the lowest has the next turn
	isConnected  bool    // the latest attempt there showed that a connection to it works
	inSubset     bool    // it is one of the backends that this node connects to, if connections cost
	refusals     float64 // failed connects in a row, at most maxConnectRefusals

	// ejection.go
	suspicion   decayingCounter
	answerRatio quantileEstimate // the answerRatioQuantile of answer time over work
	lastResetAt float64          // time at which an attempt there last ended in a reset

	// concurrency.go
	maxInFlight float64 // limit of attempts in flight; below 1 it means pauses, see lowerBackendLimit
	pausedUntil float64 // time until which it is sent nothing

	// slowstart.go
	recentWork slidingSum // work sent to it, by slowStartCost, within the last Config.OverloadWindow
}

// IsTracked reports whether the balancer still tracks the backend. When it no longer does, the host may discard it too.
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

// removeInFlight stops counting an attempt as in flight at the backend. An attempt that is not counted is ignored.
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

// releaseOvertaken stops counting, after an answer, the attempts that are overdue and were sent before the answered one. Their
// connections are broken while the backend works: no answer comes, or it stopped halfway. Until they timed out they would
// take up capacity, lower the completion rate and keep long requests away.
func (b *Backend) releaseOvertaken(now float64, answered *Attempt) {
	b.lastAnsweredSentAt = max(b.lastAnsweredSentAt, answered.SentAt)
	for _, attempt := range slices.Clone(b.inFlight) {
		if attempt.isOverdue && attempt.isOvertaken() {
			b.removeInFlight(now, attempt)
		}
	}
}
