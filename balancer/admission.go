package balancer

import "math"

// Admission in this package decides how long a request may wait behind other work before the balancer rejects it. The
// server's limits on connections and requests are outside this package.
//
// The longest accepted wait is the request's patience, in ms. It is a share of the time left until the latency objective:
// a larger share for classes of higher priority weight, a smaller one for requests that are probably over their tenant's
// quota, and a very small one for clients' retries. A rejection carries a Retry-After if the configuration says so. A
// request that the client could not repeat safely is failed and not rejected.

const (
	// clientRetryPatience is the patience of a client's retry, as a share of that of the client's first try. Most of the
	// client's time has passed by then, and an overload lasts for as long as the retries that it causes are accepted.
	clientRetryPatience = 0.1
	// rateHalfLifeMs is the half-life of the counters of requests. Even a node that receives one request a second then
	// notices a flood of requests within its first seconds.
	rateHalfLifeMs = 3e3
	// quotaMixPrior is the number of assumed requests, divided between the tenants in proportion to their quotas, that are
	// added to those counted. A few counted requests alone are too small a sample to tell which tenant is over quota.
	quotaMixPrior = 8.0
	// minRetryAfterShare and retryAfterSpread give the range of Retry-After: from a quarter to three quarters of the queue
	// time, drawn evenly. On average clients come back when half of the queue is gone. Later could be too late for their
	// deadlines, and all at the same time would be the next overload.
	minRetryAfterShare = 0.25
	retryAfterSpread   = 0.5
)

// patienceOf returns the request's patience: the wait behind other work, in ms, above which it is rejected.
func (lb *Balancer) patienceOf(request *Request) float64 {
	share := request.class.patienceShare * lb.quotaFactor(request)
	if request.IsClientRetry {
		share *= clientRetryPatience
	}
	return share * lb.timeToObjective(request)
}

// quotaFactor returns the factor by which the request's priority and patience are reduced: 1 for a request that is surely
// within its tenant's quota, Config.OverQuotaWeight for one that is surely over it, and in proportion between them.
func (lb *Balancer) quotaFactor(request *Request) float64 {
	return 1 - request.overQuota*(1-lb.config.OverQuotaWeight)
}

// estimateOverQuota sets request.overQuota, an estimate of the probability that the request is over its tenant's quota.
//
// It compares two ratios and goes by the lower one:
//   - the odds of this tenant among the node's latest requests, divided by its odds among the quotas of all tenants;
//   - the tenant's request rate at this node, divided by an equal share for each node of the tenant's quota.
//
// The second ratio alone is not enough: nodes carry very different parts of the traffic, and a busy one would consider
// every tenant over quota. Of a tenant that sends x times its quota, the share 1-1/x is over quota.
//
// The tenant is one of the configuration under which the request arrived, which may have been replaced meanwhile.
func (lb *Balancer) estimateOverQuota(request *Request) {
	config := request.Config
	if request.Tenant >= len(config.Tenants) {
		return
	}
	tenant := &config.Tenants[request.Tenant]
	tenant.rate.set(lb.now, tenant.rate.get(lb.now, rateHalfLifeMs)+1)
	// All tenants' counters have the same half-life, so that the sum of all of them can be kept as one counter.
	config.tenantRate.set(lb.now, config.tenantRate.get(lb.now, rateHalfLifeMs)+1)
	if tenant.Quota == 0 {
		return
	}
	quotas := config.totalQuota()
	ownRequests := tenant.rate.sum + quotaMixPrior*tenant.Quota/quotas
	allRequests := config.tenantRate.sum + quotaMixPrior
	oddsRatio := ownRequests * (quotas - tenant.Quota) / math.Max((allRequests-ownRequests)*tenant.Quota, 1e-9)
	if quotas == tenant.Quota { // the only tenant with a quota: the mix of tenants gives no information
		oddsRatio = math.Inf(1)
	}
	// A decaying counter of steady requests holds rate * half-life / ln 2; 1e3 converts requests per ms to requests per s.
	rateRatio := tenant.rate.sum * 1e3 * math.Ln2 / rateHalfLifeMs * float64(config.Nodes) / tenant.Quota
	timesQuota := math.Min(oddsRatio, rateRatio)
	request.overQuota = math.Max(0, 1-1/timesQuota)
}

// rejectOrFail ends a request without a backend's answer: with a rejection if the client may repeat it safely, else with a
// failure. Every rejection and failure that the balancer decides on passes through this function.
//
// Some answers of a node do not come from the balancer. The server answers requests that it does not accept, or whose
// key is already in the request log; the node answers the requests that are still open when it shuts down; and for a
// logged request the node turns a rejection into a failure under a stricter rule (see isSafeToRepeat).
func (lb *Balancer) rejectOrFail(request *Request) {
	if request.stage == stageEnded || request.stage == stageStreaming {
		return
	}
	kind := DoFail
	if request.isSafeToRepeat() {
		kind = DoReject
	}
	decision := Decision{Kind: kind, Request: request}
	if kind == DoReject && request.Config.SendRetryAfter {
		decision.Wait = lb.retryAfter(request)
	}
	lb.decisions = append(lb.decisions, decision)
	lb.endRequest(request)
}

// isSafeToRepeat reports whether the client may repeat the request without the risk that it has an effect twice. That does
// not mean that no attempt has run. It is safe if one of these holds:
//   - no attempt may have run;
//   - the class is Idempotent, so that running it twice does no harm;
//   - the class is IdempotentWithKey with DedupByAll: whichever backend the client's repeat reaches recognizes the key. With
//     a narrower DedupScope the repeat could reach a backend that does not. This relies on the client coming back within
//     the class's DedupWindow, which is not checked here.
//
// For logged requests a stricter rule holds, in canRejectLogged of internal/node and CanReject of internal/requestlog: a
// rejection frees the request's key in the log, so that the client may come back long after the backends have forgotten
// it. They therefore never reject an IdempotentWithKey request that may have run.
func (r *Request) isSafeToRepeat() bool {
	return r.UncertainAttempt() == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupByAll
}

// retryAfter returns the Retry-After of a rejection in ms: a random share of the queue time, or of the latency objective if
// that is shorter, and at most Config.MaxRetryAfter (for the meaning of 0 see there).
func (lb *Balancer) retryAfter(request *Request) float64 {
	wait := math.Min(request.class.LatencyObjective, lb.queueTime(request, false))
	wait *= minRetryAfterShare + retryAfterSpread*lb.random.nextUnit()
	return math.Min(request.Config.MaxRetryAfter, wait)
}
