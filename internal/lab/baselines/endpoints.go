package baselines

import (
	"math"
	"slices"

	"pearknot/balancer"
)

const (
	pollBackoffMin = 500.0 // ms, after the first poll that failed; doubled after each
	pollBackoffMax = 4e3   // ms, before jitter
)

// EndpointsChanged applies the complete endpoint list, or changes to it.
func (p *policy) EndpointsChanged(now float64, endpoints []balancer.Endpoint, complete, cached bool) {
	p.now = now
	if !cached {
		p.isWatching, p.failedPolls = true, 0
	}
	if complete {
		for _, backend := range p.backends {
			backend.MarkRemoved(now)
		}
	}
	for _, endpoint := range endpoints {
		backend := endpoint.Backend
		if !slices.Contains(p.backends, backend) {
			p.backends = append(p.backends, backend)
		}
		backend.UpdateEndpoint(now, endpoint)
	}
}

// PollFailed schedules the next poll, with exponential backoff and jitter. A timer that is set may fire later than
// that, so it is set again.
func (p *policy) PollFailed(now float64) {
	p.now, p.isWatching, p.timerAt = now, false, 0
	p.pollAt = now + math.Min(pollBackoffMin*math.Exp2(float64(p.failedPolls)), pollBackoffMax)*(0.5+p.rng.Float64())
	p.failedPolls++
}

// TimerFired clears the timer for the next poll.
func (p *policy) TimerFired(now float64) {
	p.now = now
	p.timerAt = 0
}

// nextPoll returns the decision to poll the endpoint list, or to set the timer for that, if either is due.
func (p *policy) nextPoll() (balancer.Decision, bool) {
	if p.isWatching || math.IsInf(p.pollAt, 1) {
		return balancer.Decision{}, false
	}
	if p.now >= p.pollAt {
		p.pollAt = p.now + p.config.PollInterval/2
		return balancer.Decision{Kind: balancer.DoPoll}, true
	}
	if p.timerAt == 0 {
		p.timerAt = p.pollAt
		return balancer.Decision{Kind: balancer.DoSetTimer, Wait: p.pollAt - p.now}, true
	}
	return balancer.Decision{}, false
}
