package balancer

import "math"

// A client sends a request to this node. The request arrives, is queued or sent to backends, and ends with an answer, a
// rejection or a failure. Its work is its cost hint, in ms on a standard core, or the mean work of its class if it has no
// hint. It is long if its hint lies above the cutoff, which is a high quantile of the latest hints, and short otherwise.

const (
	// cutoffQuantile is the quantile of the latest cost hints that is the cutoff between short and long requests: the c of
	// the paper's CDA(c).
	cutoffQuantile = 0.96
	// minHints is the number of hints that must have been seen before a request can be long, as docs/design.md requires.
	minHints = 50
	// unknownWorkDivisor divides the latency objective to give the assumed work of a request whose class has no mean
	// work yet.
	unknownWorkDivisor = 20
)

// requestStage is the stage of a request's life. The numbers are stored in snapshots.
type requestStage uint8

const (
	stageNew       requestStage = iota // it has not been placed yet
	stageQueued                        // it is in the queue
	stageInFlight                      // it has been sent to a backend
	stageStreaming                     // its answer has begun to go to the client
	stageEnded                         // it was answered, rejected, failed or abandoned
)

// Request is a client's request. The host sets the exported fields before RequestArrived.
type Request struct {
	ID            uint64  // identifier given by the host
	Class         int     // index into the configuration's classes
	Tenant        int     // index into the configuration's tenants
	CostHint      float64 // expected work by the client, in ms on a standard core
	HasCostHint   bool
	IsClientRetry bool    // the client has sent the same request before
	Key           uint64  // key for affinity and order; 0 for none
	ArrivedAt     float64 // time in ms; set by RequestArrived
	Deadline      float64 // time in ms at which the client stops waiting
	Attempts      []*Attempt
	Config        *Config // configuration under which it arrived; if nil, RequestArrived sets the current one
	Streamed      bool    // its body is passed on as it arrives and not stored, so that it can be sent only once

	class     *Class
	work      float64 // expected work, in ms on a standard core
	isLong    bool
	estimate  float64 // order among the queued requests, smallest first
	overQuota float64 // probability that it is over its tenant's quota, 0 to 1
	stage     requestStage
	affinity  *Backend  // backend that its key has affinity to, if any
	isPending bool      // it is in Balancer.pending
	keyQueue  *keyQueue // queue of its key, if its class keeps order, until it is done
	// assumesCanceled is set while a backend is searched on the assumption that the attempt in flight will be canceled.
	assumesCanceled bool
}

// AddEarlierAttempt records an attempt that another node made, before a takeover. It must be called before RequestArrived. The
// attempt counts as ended.
func (r *Request) AddEarlierAttempt(backend *Backend, at float64, outcome Outcome) {
	r.Attempts = append(r.Attempts, &Attempt{Request: r, Backend: backend, Number: len(r.Attempts), SentAt: at, outcome: outcome})
}

// IsDone reports whether the request has ended and has no attempt in flight, so that the host may forget it.
func (r *Request) IsDone() bool { return r.stage == stageEnded && r.inFlightCount() == 0 }

// IsLong reports whether the request is long, and its expected work in ms on a standard core.
func (r *Request) IsLong() (isLong bool, work float64) { return r.isLong, r.work }

// UncertainAttempt returns the first attempt that may have run; nil if it is proved that none has.
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

// maxAttempts returns how many attempts the request may have in all.
func (r *Request) maxAttempts() int {
	if r.Streamed {
		return min(r.Config.MaxAttempts, 1)
	}
	return r.Config.MaxAttempts
}

// objectiveTime returns the time until which an answer has its full value.
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

// RequestArrived records the arrival of a request, which Next then decides on.
func (lb *Balancer) RequestArrived(now float64, request *Request) {
	lb.now = now
	if request.Config == nil {
		request.Config = lb.config
	}
	class := &request.Config.Classes[request.Class]
	request.class = class
	request.ArrivedAt = now
	lb.estimateWork(request)
	lb.estimateOverQuota(request)
	lb.review.isPending = true
	lb.estimates.priority.add(lb.priorityOf(request))
	lb.estimates.work.add(request.work)
	lb.retries.tokens = math.Min(lb.retries.tokens+retryTokensPerRequest, maxRetryTokens)
	if class.Ordered && request.Key != 0 {
		lb.addToKeyQueue(request)
	}
	lb.schedule(request)
}

// estimateWork sets a request's work, and whether it is long. A cost hint that is not a positive finite number is ignored.
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

// RequestAbandoned records that nobody waits for the request's answer any more: the request ends, and its attempts in flight are
// canceled. The host reports this when a client has closed its connection, and also for a client that is still there, when the
// host answers the request itself: because an attempt of it may not be sent (abortRequest in internal/node), or because the
// node shuts down.
func (lb *Balancer) RequestAbandoned(now float64, request *Request) {
	lb.now = now
	lb.endRequest(request)
}

// DeadlineShortened records that the host has moved the request's Deadline to an earlier time. The request is decided on
// again, since what it waits for may be too late now.
func (lb *Balancer) DeadlineShortened(now float64, request *Request) {
	lb.now = now
	lb.dequeue(request)
	lb.schedule(request)
}

// schedule makes Next decide on a request, unless the request has ended.
func (lb *Balancer) schedule(request *Request) {
	if !request.isPending && request.stage != stageEnded {
		request.isPending = true
		lb.pending = append(lb.pending, request)
	}
}

// decideRequest decides on a request. Nothing is done if the request has an attempt in flight, streams its answer or has ended.
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

// endRequest ends a request and cancels its attempts in flight. An answer that is streaming to the client is not canceled.
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

// timeLeft returns the time in ms for which an answer still has a value: until the deadline if late answers have one, else until
// the latency objective.
func (lb *Balancer) timeLeft(request *Request) float64 {
	if request.class.LateWeight == 0 {
		return request.objectiveTime() - lb.now
	}
	return request.Deadline - lb.now
}

// timeToObjective returns the time in ms for which an answer has its full value, and at least 1.
func (lb *Balancer) timeToObjective(request *Request) float64 {
	return math.Max(1, request.objectiveTime()-lb.now)
}

// priorityOf returns the value of an answer in time: the priority weight of the class, times the work if Config.WeightByWork is
// set, times the quota factor.
func (lb *Balancer) priorityOf(request *Request) float64 {
	priority := request.class.PriorityWeight
	if lb.config.WeightByWork {
		priority *= request.work
	}
	return priority * lb.quotaFactor(request)
}
