package balancer

import "math"

// A request is one that a client sent to this node. It arrives, waits or is sent to backends, and ends with an answer, a
// rejection or a failure. Its work is its cost hint, in ms on a standard core, or the mean of its class's hints where it
// has none; it counts as long where the hint lies above the cutoff, a high quantile of the latest hints.

const (
	// cutoffQuantile of the latest hints is the cutoff between short and long requests, c in the paper's design.
	cutoffQuantile = 0.96
	// minHints is how many hints must have been seen before any request counts as long, by the design.
	minHints = 50
	// unknownWorkDivisor makes the work of a request of which nothing is known a small part of its latency objective.
	unknownWorkDivisor = 20
)

// requestStage is where a request stands.
type requestStage uint8

const (
	stageNew       requestStage = iota // not placed yet
	stageQueued                        // waits for a backend
	stageInFlight                      // was sent to a backend
	stageStreaming                     // its answer has begun to go to the client
	stageEnded                         // answered, rejected, failed or abandoned by the client
)

// Request is one client request taken by this node. The host fills the exported fields before RequestArrived.
type Request struct {
	ID            uint64 // the host's name for it
	Class         int    // index into the configuration's classes
	Tenant        int    // index into the configuration's tenants
	CostHint      float64
	HasCostHint   bool
	IsClientRetry bool    // the client sent it before
	Key           uint64  // what it is about; 0 is none
	ArrivedAt     float64 // ms; set by RequestArrived
	Deadline      float64 // ms; when the client stops waiting
	Attempts      []*Attempt
	Config        *Config // that it came under; where nil, RequestArrived sets the present one
	Streamed      bool    // its body is passed on in pieces and not stored: it can be sent once

	class     *Class
	work      float64 // expected, in ms on a standard core
	isLong    bool
	estimate  float64 // its place among queued requests
	overQuota float64 // how likely it is beyond its tenant's quota, from 0 to 1
	stage     requestStage
	affinity  *Backend  // where its key has affinity to, if anywhere
	isPending bool      // a decision on it is due
	keyQueue  *keyQueue // of its key, where its class keeps order, until it is over
	// assumesCanceled is set while a place is looked for on the assumption that the attempt in flight is canceled.
	assumesCanceled bool
}

// AddEarlierAttempt records, before RequestArrived, an attempt that another node made; it counts as ended.
func (r *Request) AddEarlierAttempt(backend *Backend, at float64, how Outcome) {
	r.Attempts = append(r.Attempts, &Attempt{Request: r, Backend: backend, Number: len(r.Attempts), SentAt: at, outcome: how})
}

// IsDone reports whether the request has ended and nothing of it is in flight, so that the host may forget it.
func (r *Request) IsDone() bool { return r.stage == stageEnded && r.inFlightCount() == 0 }

// IsLong reports whether the request counts as long, and what work is expected of it, in ms on a standard core.
func (r *Request) IsLong() (isLong bool, work float64) { return r.isLong, r.work }

// UncertainAttempt returns the first attempt that may have run; nil where all are known not to have.
func (r *Request) UncertainAttempt() *Attempt {
	for _, attempt := range r.Attempts {
		if attempt.inFlight || !attempt.outcome.NeverRan() {
			return attempt
		}
	}
	return nil
}

func (r *Request) inFlightCount() (count int) {
	for _, attempt := range r.Attempts {
		if attempt.inFlight {
			count++
		}
	}
	return count
}

// maxAttempts is how many attempts it may have in all.
func (r *Request) maxAttempts() int {
	if r.Streamed {
		return min(r.Config.MaxAttempts, 1)
	}
	return r.Config.MaxAttempts
}

// objectiveTime is the time until which an answer has its full value.
func (r *Request) objectiveTime() float64 {
	return min(r.Deadline, r.ArrivedAt+r.class.LatencyObjective)
}

func (r *Request) hasTried(backend *Backend) bool {
	for _, attempt := range r.Attempts {
		if attempt.Backend == backend {
			return true
		}
	}
	return false
}

// RequestArrived takes a request.
func (lb *Balancer) RequestArrived(now float64, request *Request) {
	lb.now = now
	if request.Config == nil {
		request.Config = lb.config
	}
	class := &request.Config.Classes[request.Class]
	request.class, request.ArrivedAt = class, now
	lb.estimateWork(request)
	lb.estimateOverQuota(request)
	lb.review.hasNews = true
	lb.estimates.priority.add(lb.priorityOf(request))
	lb.estimates.work.add(request.work)
	lb.retries.tokens = math.Min(lb.retries.tokens+retryTokensPerRequest, maxRetryTokens)
	if class.Ordered && request.Key != 0 {
		lb.addToKeyQueue(request)
	}
	lb.schedule(request)
}

// estimateWork sets a request's work and whether it counts as long. A hint that is no positive finite number counts as
// none.
func (lb *Balancer) estimateWork(request *Request) {
	class := request.class
	request.HasCostHint = request.HasCostHint && request.CostHint > 0 && !math.IsInf(request.CostHint, 0)
	if request.HasCostHint {
		if len(lb.cutoff.ring) >= minHints {
			request.isLong = request.CostHint > lb.cutoff.quantile(cutoffQuantile)
		}
		lb.cutoff.add(request.CostHint)
		request.work = request.CostHint
	} else {
		request.work = class.meanWork.value
	}
	class.meanWork.add(request.work)
	if request.work == 0 {
		request.work = class.LatencyObjective / unknownWorkDivisor
	}
}

// ClientGone records that the request's client has gone: the request ends, and what is in flight is canceled.
func (lb *Balancer) ClientGone(now float64, request *Request) {
	lb.now = now
	lb.endRequest(request)
}

// DeadlineShortened takes a request whose Deadline the host has moved to earlier: what it waits for may be too late now, so
// that it is decided on anew.
func (lb *Balancer) DeadlineShortened(now float64, request *Request) {
	lb.now = now
	lb.dequeue(request)
	lb.schedule(request)
}

// schedule has Next decide on a request.
func (lb *Balancer) schedule(request *Request) {
	if !request.isPending && request.stage != stageEnded {
		request.isPending = true
		lb.pending = append(lb.pending, request)
	}
}

// decideRequest decides on a request that has nothing in flight.
func (lb *Balancer) decideRequest(request *Request) {
	switch {
	case request.stage == stageEnded || request.stage == stageStreaming || request.inFlightCount() > 0:
	case !lb.isKeysTurn(request):
		lb.awaitKeysTurn(request)
	case request.stage == stageInFlight:
		lb.retryOrEnd(request)
	case request.IsClientRetry && request.class.Idempotency != AtMostOnce && lb.suspectsPoisonRequest():
		lb.recordReason(request, nil, ReasonPoisonRequest)
		lb.rejectOrFail(request)
	case !lb.placeRequest(request):
		lb.enqueue(request)
	}
}

// endRequest closes a request and cancels what is in flight for it. A streaming answer goes on: it is the client's.
func (lb *Balancer) endRequest(request *Request) {
	if request.stage == stageQueued {
		lb.dequeue(request)
	}
	if request.stage != stageStreaming {
		for _, attempt := range request.Attempts {
			lb.cancelAttempt(attempt)
		}
	}
	request.stage = stageEnded
	lb.removeFromKeyQueue(request)
}

// timeLeft is the time in ms in which an answer still has a value.
func (lb *Balancer) timeLeft(request *Request) float64 {
	if request.class.LateWeight == 0 {
		return request.objectiveTime() - lb.now
	}
	return request.Deadline - lb.now
}

// timeToObjective is the time in ms in which an answer has its full value; 1 where that has passed.
func (lb *Balancer) timeToObjective(request *Request) float64 {
	return math.Max(1, request.objectiveTime()-lb.now)
}

// priorityOf is the value of an answer to the request in time.
func (lb *Balancer) priorityOf(request *Request) float64 {
	priority := request.class.PriorityWeight
	if lb.config.WeightByWork {
		priority *= request.work
	}
	return priority * lb.quotaFactor(request)
}
