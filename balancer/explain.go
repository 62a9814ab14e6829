package balancer

// Explanations show why a backend was passed over for a request, and what the balancer believed of it at that moment.
// Decisions do not depend on them; `pearknot explain` sets OnConsidered on a replayed balancer.

// Reason is why a backend was passed over for a request.
type Reason uint8

// The reasons.
const (
	Eligible              Reason = iota // it was not
	ReasonAlreadyTried                  // the request was sent there before
	ReasonEjected                       // suspected, against its fellows
	ReasonAtCapacity                    // it has all that this node sends there at once, is paused, or is not used by this node
	ReasonBusy                          // a long request needs one with none of this node's work
	ReasonWarmingUp                     // a long request needs one that has warmed up
	ReasonCrossZoneCost                 // crossing zones costs more than the request is worth
	ReasonTooSlow                       // the answer would come too late, or the wait be longer than the class's patience
	ReasonRequestDone                   // rule 1: the request is over, its deadline has passed, or its attempts are used up
	ReasonNoHedging                     // hedging is not allowed, and an attempt is in flight
	ReasonMayHaveRun                    // rule 2: an earlier attempt may have run, and the class does not allow another there
	ReasonNotReady                      // rule 3: it drains or is gone
	ReasonSlowStartBudget               // rule 4: this node's share of what it bears while it warms up is used up
	ReasonOutOfOrder                    // rule 5: an earlier request of its key is not over, or the key's cooldown runs
	ReasonPoisonRequest                 // of no backend: a client's retry, after a backend crashed under an attempt
	ReasonQueued                        // of no backend: the request is queued
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

// recordReason returns the reason, and passes it to OnConsidered where that is set.
func (lb *Balancer) recordReason(request *Request, backend *Backend, reason Reason) Reason {
	if lb.OnConsidered != nil {
		lb.OnConsidered(request, backend, reason)
	}
	return reason
}

// Belief is what the balancer believes of a backend for a request. Times are in ms.
type Belief struct {
	IsNear          bool    // using it costs no crossing of zones
	AnswerTime      float64 // the answer time expected
	Alone           float64 // and with nothing else there
	InFlight        int     // this node's attempts in flight there
	MaxInFlight     float64 // that it sends there at once
	Suspicion       float64 // suspicion; ejected from 2 on
	SlowStartFactor float64 // share of its capacity that it is sure to have
	RotationShare   float64 // its share of the rotation
	AnsweredAgo     float64 // how long ago the latest attempt was sent that has been answered; below 0 none was
	RotationPass    float64 // its place in the rotation: the lowest goes first
}

// Belief is what is believed at this moment.
func (lb *Balancer) Belief(request *Request, backend *Backend) Belief {
	heard := -1.0
	if backend.lastAnsweredSentAt > 0 {
		heard = lb.now - backend.lastAnsweredSentAt
	}
	return Belief{
		IsNear:          lb.isNear(backend),
		AnswerTime:      lb.predictAnswerTime(backend, request),
		Alone:           request.work * lb.paceOf(backend),
		InFlight:        len(backend.inFlight),
		MaxInFlight:     backend.maxInFlight,
		Suspicion:       lb.suspicionOf(backend),
		SlowStartFactor: lb.slowStartFactor(backend),
		RotationShare:   lb.rotationShare(backend),
		AnsweredAgo:     heard,
		RotationPass:    backend.rotationPass - lb.rotation.position,
	}
}
