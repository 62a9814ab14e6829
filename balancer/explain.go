package balancer

// Explanations show why a backend was passed over for a request, and the balancer's estimates of the backend at that
// moment. Decisions do not depend on them. `pearknot explain` sets Balancer.OnConsidered on a replayed balancer.

// Reason is why a backend was passed over for a request.
type Reason uint8

// The reasons. Where a reason stands for several causes, the functions that return it are named.
const (
	// Eligible means that the backend was not passed over.
	Eligible Reason = iota
	// ReasonAlreadyTried means that the request has been sent there before.
	ReasonAlreadyTried
	// ReasonEjected means that the backend's suspicion is at or above the threshold for the request. The threshold is
	// ejectionThreshold (2), or atMostOnceThreshold (0.6) for AtMostOnce requests; for long requests it is the lower of that
	// and longSuspicion (1). AtMostOnce and long requests therefore pass over some backends that other requests still use.
	// whyUnfit and whyUnfitForLong return it.
	ReasonEjected
	// ReasonAtCapacity means one of:
	//   - the node's limit of attempts in flight is reached (isAtCapacity);
	//   - the backend's limit of attempts in flight is reached (isAtCapacity);
	//   - the backend is paused, after a rejection, after a failed connect or because its limit is below 1 (isAtCapacity);
	//   - the backend is in another zone, and the node does not use it in this period (mayUse);
	//   - connections cost, and the backend is not in the node's subset (mayUse, whyUnfitForLong).
	ReasonAtCapacity
	// ReasonBusy means that the request is long and the backend has attempts of this node in flight, or may still run one that
	// timed out or was canceled.
	ReasonBusy
	// ReasonWarmingUp means that the request is long and the backend has not warmed up.
	ReasonWarmingUp
	// ReasonCrossZoneCost means that the request is long and its value does not justify the cost of crossing zones.
	ReasonCrossZoneCost
	// ReasonTooSlow means that the answer is expected after the deadline, or the expected wait is longer than the request's
	// patience.
	ReasonTooSlow
	// ReasonRequestDone (rule 1) means that the request has ended, its deadline has passed, or its attempts are used up.
	ReasonRequestDone
	// ReasonNoHedging means that an attempt is in flight and hedging is not allowed.
	ReasonNoHedging
	// ReasonMayHaveRun (rule 2) means that an earlier attempt may have run, and the request's class then does not allow an
	// attempt at this backend.
	ReasonMayHaveRun
	// ReasonNotReady (rule 3) means that the backend is draining in the endpoint list or removed from it, or that an operator has
	// cordoned it; see isUsable.
	ReasonNotReady
	// ReasonSlowStartBudget (rule 4) means that the backend is warming up, and this node has used up its own share of
	// the load that the backend can serve by now.
	ReasonSlowStartBudget
	// ReasonOutOfOrder (rule 5) means that an earlier request of the same key has not ended, or the key's cooldown runs.
	ReasonOutOfOrder
	// ReasonPoisonRequest is recorded without a backend: the request is a client's retry, and a request may lately have
	// crashed a backend (suspectsPoisonRequest).
	ReasonPoisonRequest
	// ReasonQueued is recorded without a backend: no backend could take the request, which was queued.
	ReasonQueued
)

// reasonNames are the reasons' texts in the output of `pearknot explain`. They are not stored.
var reasonNames = [...]string{
	Eligible:              "eligible",
	ReasonAlreadyTried:    "already tried",
	ReasonEjected:         "ejected",
	ReasonAtCapacity:      "at capacity",
	ReasonBusy:            "busy",
	ReasonWarmingUp:       "warming up",
	ReasonCrossZoneCost:   "crossing zones costs too much",
	ReasonTooSlow:         "too slow",
	ReasonRequestDone:     "request over (rule 1)",
	ReasonNoHedging:       "hedging not allowed",
	ReasonMayHaveRun:      "may have run (rule 2)",
	ReasonNotReady:        "not ready (rule 3)",
	ReasonSlowStartBudget: "slow start budget used up (rule 4)",
	ReasonOutOfOrder:      "out of order (rule 5)",
	ReasonPoisonRequest:   "client retry after a backend crashed",
	ReasonQueued:          "queued",
}

func (r Reason) String() string { return reasonNames[r] }

// recordReason passes the reason to OnConsidered, if that is set, and returns it.
func (lb *Balancer) recordReason(request *Request, backend *Backend, reason Reason) Reason {
	if lb.OnConsidered != nil {
		lb.OnConsidered(request, backend, reason)
	}
	return reason
}

// BackendEstimates holds the balancer's estimates of a backend for a request. Times are in ms.
type BackendEstimates struct {
	IsNear                bool    // it is in the node's own zone, or crossing zones costs nothing
	AnswerTime            float64 // predicted answer time
	AnswerTimeWithoutWait float64 // predicted answer time if the request doesn't have to wait
	InFlight              int     // attempts of this node in flight there
	MaxInFlight           float64 // this node's limit of them; below 1 it means pauses between attempts
	Suspicion             float64 // ejected from 2 on, for AtMostOnce requests from 0.6, and for long requests from 1
	SlowStartFactor       float64 // fraction of its full capacity that the backend has reached by now; 1 once it has warmed up
	RotationShare         float64 // how often it takes a turn in the rotation, against 1 for an average backend
	AnsweredAgo           float64 // time since the latest answered attempt was sent; -1 if none has been answered
	RotationPass          float64 // the backend's place in the rotation minus the rotation's position; the lowest has the next turn
}

// BackendEstimates returns the balancer's estimates of a backend for a request, as of the latest input.
func (lb *Balancer) BackendEstimates(request *Request, backend *Backend) BackendEstimates {
	answeredAgo := -1.0
	if backend.lastAnsweredSentAt > 0 {
		answeredAgo = lb.now - backend.lastAnsweredSentAt
	}
	return BackendEstimates{
		IsNear:                lb.isNear(backend),
		AnswerTime:            lb.predictAnswerTime(backend, request),
		AnswerTimeWithoutWait: request.work * lb.paceOf(backend),
		InFlight:              len(backend.inFlight),
		MaxInFlight:           backend.maxInFlight,
		Suspicion:             lb.suspicionOf(backend),
		SlowStartFactor:       lb.slowStartFactor(backend),
		RotationShare:         lb.rotationShare(backend),
		AnsweredAgo:           answeredAgo,
		RotationPass:          backend.rotationPass - lb.rotation.position,
	}
}
