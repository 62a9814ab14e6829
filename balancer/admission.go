package balancer

import "math"

// Admission decides how long a request may wait for a backend before it is rejected. The patience is a share of the time
// left to its latency objective: more for classes of higher priority weight, less for requests that are likely beyond
// their tenant's quota, and next to none for clients' retries. A rejection carries Retry-After, in ms, where the
// configuration says so; a request that may have run and can't be repeated is failed instead.

const (
	// clientRetryPatience is the share of a first try's patience that a client's retry has: most of the client's time is
	// gone, and under overload retries are what keeps it up.
	clientRetryPatience = 0.1
	// rateHalfLife in ms of request rates: a flood is seen within its first seconds, also by nodes of a request a second.
	rateHalfLifeMs = 3e3
	// quotaMixPrior is how many requests, spread over the tenants as their quotas are, count beside those seen: a few
	// requests say little of who is over quota.
	quotaMixPrior = 8.0
	// minRetryAfterShare and retryAfterSpread spread Retry-After from a quarter to three quarters of the queue time, which
	// is about when half of the queue has gone: a retry too late is lost, and all at once are a storm.
	minRetryAfterShare = 0.25
	retryAfterSpread   = 0.5
)

// patienceOf is the wait behind others in ms above which a request is rejected.
func (lb *Balancer) patienceOf(request *Request) float64 {
	share := request.class.patienceShare * lb.quotaFactor(request)
	if request.IsClientRetry {
		share *= clientRetryPatience
	}
	return share * lb.timeToObjective(request)
}

// quotaFactor is the share of a request's priority that is left by how likely it is beyond its tenant's quota.
func (lb *Balancer) quotaFactor(request *Request) float64 {
	return 1 - request.overQuota*(1-lb.config.OverQuotaWeight)
}

// estimateOverQuota estimates how likely a request is beyond its tenant's quota, from two things, whichever says less: the
// tenant's part of this node's requests against its part of all quotas, and its rate here against an equal part of its
// quota. Nodes carry very unlike parts of the traffic: by the rate alone, a busy node would always see a flood.
func (lb *Balancer) estimateOverQuota(request *Request) {
	if request.Tenant >= len(lb.config.Tenants) {
		return
	}
	tenant := &lb.config.Tenants[request.Tenant]
	tenant.rate.set(lb.now, tenant.rate.get(lb.now, rateHalfLifeMs)+1)
	lb.config.tenantRate.set(lb.now, lb.config.tenantRate.get(lb.now, rateHalfLifeMs)+1) // all decay alike, and so does their sum
	if tenant.Quota == 0 {
		return
	}
	quotas := lb.config.totalQuota()
	own, all := tenant.rate.sum+quotaMixPrior*tenant.Quota/quotas, lb.config.tenantRate.sum+quotaMixPrior
	odds := own * (quotas - tenant.Quota) / math.Max((all-own)*tenant.Quota, 1e-9)
	if quotas == tenant.Quota {
		odds = math.Inf(1)
	}
	odds = math.Min(odds, tenant.rate.sum*1e3*math.Ln2/rateHalfLifeMs*float64(lb.config.Nodes)/tenant.Quota)
	request.overQuota = math.Max(0, 1-1/odds)
}

// rejectOrFail ends a request with an answer of the node's own, and at once: a rejection where the client may
// safely send it again, else a failure. All such answers pass here.
func (lb *Balancer) rejectOrFail(request *Request) {
	if request.stage == stageEnded || request.stage == stageStreaming {
		return
	}
	kind := DoFail
	if request.UncertainAttempt() == nil || request.class.Idempotency == Idempotent ||
		request.class.Idempotency == IdempotentWithKey && request.class.DedupScope == DedupByAll {
		kind = DoReject
	}
	decision := Decision{Kind: kind, Request: request}
	if kind == DoReject && request.Config.SendRetryAfter {
		decision.Wait = lb.retryAfter(request)
	}
	lb.decisions = append(lb.decisions, decision)
	lb.endRequest(request)
}

// retryAfter is in how many ms a rejected client is to come back.
func (lb *Balancer) retryAfter(request *Request) float64 {
	wait := math.Min(request.class.LatencyObjective, lb.queueTime(request, false))
	wait *= minRetryAfterShare + retryAfterSpread*lb.random.nextUnit()
	return math.Min(request.Config.MaxRetryAfter, wait)
}
