// Package baselines holds the simple policies that the balancer is compared with, in the lab only. They choose a
// backend as a request arrives and retry after a failure if the class allows it. They know nothing of slow start,
// queueing or timely rejection. All times are in ms.
package baselines

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pearknot/balancer"
)

const (
	// rngStream separates the baselines' random draws from others with the same seed.
	rngStream = 9
	// rotationStarts bounds the position at which a node's rotation starts: a prime above the usual numbers of
	// backends, so that nodes with different seeds start at different ones.
	rotationStarts = 1009
)

// New returns the policy with the given name: the balancer itself for "cda", or a baseline. Only "all-seeing" uses the
// estimate, which may be nil for the others. New returns an error for an unknown name, and for "all-seeing" without an
// estimate.
func New(name string, config *balancer.Config, now float64, estimate CompletionEstimate) (balancer.Decider, error) {
	if name == "cda" {
		return balancer.New(config, now), nil
	}
	p := &policy{
		config:   config,
		rng:      rand.New(rand.NewPCG(config.Seed, rngStream)),
		inFlight: map[*balancer.Backend]int{},
		requests: map[*balancer.Request]*requestState{},
		rotation: int(config.Seed % rotationStarts),
		pollAt:   math.Inf(1),
	}
	if config.PollEndpoints {
		p.pollAt = now
	}
	switch name {
	case "random":
		p.pick = p.pickRandom
	case "rotation":
		p.pick = p.pickNext
	case "fewest":
		p.pick = p.pickFewestInFlight
	case "two-choices":
		p.pick = p.pickOfTwo
	case "all-seeing":
		if estimate == nil {
			return nil, fmt.Errorf("policy %q is available only in virtual time", name)
		}
		p.estimate = estimate
		p.pick = p.pickByEstimate
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
	return p, nil
}

// policy is a baseline. It implements balancer.Decider, and is not safe for concurrent use.
type policy struct {
	config    *balancer.Config
	now       float64 // of the latest input
	decisions []balancer.Decision

	rng      *rand.Rand
	pick     func(candidates []*balancer.Backend, request *balancer.Request) *balancer.Backend // nil if none is worth it
	rotation int                                                                               // position of "rotation"
	estimate CompletionEstimate                                                                // of "all-seeing"

	backends []*balancer.Backend
	inFlight map[*balancer.Backend]int // this node's attempts
	requests map[*balancer.Request]*requestState

	isWatching  bool // a watch on the endpoint list is active
	pollAt      float64
	timerAt     float64 // 0 if no timer is set
	failedPolls int     // in a row
}

// requestState holds a baseline's state of a request that isn't answered.
type requestState struct {
	inFlight map[*balancer.Attempt]bool
	outcomes map[*balancer.Attempt]balancer.Outcome
	firstRun *balancer.Attempt // the first attempt that may have run; nil if none may have
}

// RequestArrived starts a request's first attempt, or rejects it.
func (p *policy) RequestArrived(now float64, request *balancer.Request) {
	p.now = now
	request.ArrivedAt = now
	p.requests[request] = &requestState{
		inFlight: map[*balancer.Attempt]bool{},
		outcomes: map[*balancer.Attempt]balancer.Outcome{},
	}
	p.startAttempt(request)
}

// RequestAbandoned ends a request whose client disconnected.
func (p *policy) RequestAbandoned(now float64, request *balancer.Request) {
	p.now = now
	p.endRequest(request)
}

// AttemptEnded ends a finished request, or retries one that has no attempt in flight.
func (p *policy) AttemptEnded(now float64, attempt *balancer.Attempt, outcome balancer.Outcome, _ float64, finished bool) {
	p.now = now
	p.inFlight[attempt.Backend]--
	state := p.requests[attempt.Request]
	if state == nil {
		return
	}
	delete(state.inFlight, attempt)
	state.outcomes[attempt] = outcome
	if outcome.NeverRan() && state.firstRun == attempt {
		state.firstRun = firstPossiblyExecuted(attempt.Request, state)
	}
	if finished {
		p.endRequest(attempt.Request)
	} else if len(state.inFlight) == 0 {
		p.startAttempt(attempt.Request)
	}
}

// firstPossiblyExecuted returns a request's first attempt that may have run, or nil.
func firstPossiblyExecuted(request *balancer.Request, state *requestState) *balancer.Attempt {
	for _, attempt := range request.Attempts {
		if outcome, ended := state.outcomes[attempt]; !ended || !outcome.NeverRan() {
			return attempt
		}
	}
	return nil
}

// ConfigChanged sets a new configuration, which also applies to open requests.
func (p *policy) ConfigChanged(now float64, config *balancer.Config, _ []int) {
	p.now, p.config = now, config
}

// RequestBodySent has no effect on a baseline.
func (p *policy) RequestBodySent(now float64, _ *balancer.Attempt) { p.now = now }

// ProcessesChanged has no effect on a baseline.
func (p *policy) ProcessesChanged(now float64, _ int) { p.now = now }

// DeadlineShortened has no effect on a baseline: its host ends requests that are past their deadline.
func (p *policy) DeadlineShortened(now float64, _ *balancer.Request) { p.now = now }

// ResponseStarted has no effect on a baseline.
func (p *policy) ResponseStarted(now float64, _ *balancer.Attempt) { p.now = now }

// LoadReported has no effect on a baseline.
func (p *policy) LoadReported(now float64, _ *balancer.Backend, _ balancer.LoadReport) { p.now = now }

// Next returns the next decision, if there is one.
func (p *policy) Next() (balancer.Decision, bool) {
	if len(p.decisions) > 0 {
		next := p.decisions[0]
		p.decisions = p.decisions[1:]
		return next, true
	}
	return p.nextPoll()
}

// startAttempt sends a request to a backend, preferably one without an earlier attempt of it. A request that can't be sent
// is rejected or failed.
func (p *policy) startAttempt(request *balancer.Request) {
	state := p.requests[request]
	backend := p.selectBackend(request, state)
	if backend == nil {
		p.giveFinalAnswer(request, state)
		return
	}
	attempt := &balancer.Attempt{Request: request, Backend: backend, Number: len(request.Attempts), SentAt: p.now}
	request.Attempts = append(request.Attempts, attempt)
	state.inFlight[attempt] = true
	if state.firstRun == nil {
		state.firstRun = attempt
	}
	p.inFlight[backend]++
	p.decisions = append(p.decisions, balancer.Decision{Kind: balancer.DoAttempt, Request: request, Attempt: attempt})
}

// selectBackend returns the backend for a request's next attempt, or nil.
func (p *policy) selectBackend(request *balancer.Request, state *requestState) *balancer.Backend {
	var candidates, untried []*balancer.Backend
	for _, backend := range p.backends {
		if !p.isAllowed(request, state, backend) {
			continue
		}
		candidates = append(candidates, backend)
		wasTried := slices.ContainsFunc(request.Attempts, func(a *balancer.Attempt) bool { return a.Backend == backend })
		if !wasTried {
			untried = append(untried, backend)
		}
	}
	if len(untried) > 0 {
		candidates = untried
	}
	if len(candidates) == 0 || len(request.Attempts) >= p.config.MaxAttempts {
		return nil
	}
	return p.pick(candidates, request)
}

// isAllowed reports whether a request may be sent to a backend without breaking the rules on draining and on repeated
// effects. A baseline doesn't know the rule on cold backends.
func (p *policy) isAllowed(request *balancer.Request, state *requestState, backend *balancer.Backend) bool {
	isReady := backend.State == balancer.BackendReady && !backend.IsWithdrawn(p.config.RemovalIsHint)
	if !isReady || request.Deadline <= p.now {
		return false
	}
	if state.firstRun == nil {
		return true
	}
	class := &p.config.Classes[request.Class]
	switch class.Idempotency {
	case balancer.AtMostOnce:
		return false
	case balancer.IdempotentWithKey:
		return p.now-state.firstRun.SentAt < class.DedupWindow && isDeduplicated(class.DedupScope, state.firstRun.Backend, backend)
	}
	return true
}

// isDeduplicated reports whether a backend recognizes the idempotency key of a request that ran on another one.
func isDeduplicated(scope balancer.DedupScope, first, backend *balancer.Backend) bool {
	switch scope {
	case balancer.DedupByAll:
		return true
	case balancer.DedupByZone:
		return backend.Zone == first.Zone
	case balancer.DedupByCell:
		return backend.Cell == first.Cell
	}
	return false
}

// giveFinalAnswer rejects a request if the client may safely retry it, and fails it otherwise.
func (p *policy) giveFinalAnswer(request *balancer.Request, state *requestState) {
	class := &p.config.Classes[request.Class]
	isRetryable := state.firstRun == nil || class.Idempotency == balancer.Idempotent ||
		class.Idempotency == balancer.IdempotentWithKey && class.DedupScope == balancer.DedupByAll
	answer := balancer.Decision{Kind: balancer.DoFail, Request: request}
	if isRetryable {
		answer.Kind = balancer.DoReject
		if p.config.SendRetryAfter {
			answer.Wait = math.Min(p.config.MaxRetryAfter, class.LatencyObjective) * (0.5 + 0.5*p.rng.Float64())
		}
	}
	p.decisions = append(p.decisions, answer)
	p.endRequest(request)
}

// endRequest deletes a request and cancels its attempts in flight, in the order in which they started.
func (p *policy) endRequest(request *balancer.Request) {
	state := p.requests[request]
	if state == nil {
		return
	}
	delete(p.requests, request)
	if !p.config.CancelAttempts {
		return
	}
	for _, attempt := range request.Attempts {
		if state.inFlight[attempt] {
			p.decisions = append(p.decisions, balancer.Decision{Kind: balancer.DoCancel, Request: request, Attempt: attempt})
		}
	}
}
