package baselines

import (
	"math"

	"pearknot/balancer"
)

// CompletionEstimate returns the time in which a backend would complete a request, in ms, or +Inf if it never would. Only
// a simulation can provide it.
type CompletionEstimate func(now float64, backend *balancer.Backend, request *balancer.Request) float64

// pickRandom picks any of the candidates.
func (p *policy) pickRandom(candidates []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
	return candidates[p.rng.IntN(len(candidates))]
}

// pickNext picks the candidates in turn.
func (p *policy) pickNext(candidates []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
	p.rotation++
	return candidates[p.rotation%len(candidates)]
}

// pickFewestInFlight picks the candidate with the fewest attempts in flight from this node. It begins at a random one,
// so that equals are equally likely.
func (p *policy) pickFewestInFlight(candidates []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
	start := p.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if p.inFlight[candidate] < p.inFlight[best] {
			best = candidate
		}
	}
	return best
}

// pickOfTwo draws two candidates and picks the one with fewer attempts in flight from this node.
func (p *policy) pickOfTwo(candidates []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
	first := candidates[p.rng.IntN(len(candidates))]
	second := candidates[p.rng.IntN(len(candidates))]
	if p.inFlight[second] < p.inFlight[first] {
		return second
	}
	return first
}

// pickByEstimate picks the candidate that completes the request first. It returns nil if no candidate would
// complete it by its deadline and, if its class gives late answers no weight, within the class's latency objective: the
// request would earn nothing and only take capacity from others.
func (p *policy) pickByEstimate(candidates []*balancer.Backend, request *balancer.Request) *balancer.Backend {
	start := p.rng.IntN(len(candidates))
	var best *balancer.Backend
	shortest := math.Inf(1)
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if estimate := p.estimate(p.now, candidate, request); estimate < shortest {
			best, shortest = candidate, estimate
		}
	}
	timeLeft := request.Deadline - p.now
	if class := &p.config.Classes[request.Class]; class.LateWeight == 0 {
		timeLeft = math.Min(timeLeft, request.ArrivedAt+class.LatencyObjective-p.now)
	}
	if shortest > timeLeft {
		return nil
	}
	return best
}
