package workload

import (
	"math"
	"math/rand/v2"

	"pearknot/balancer"
)

// maxTries bounds the tries of a request, so that tries of different requests never have the same ID.
const maxTries = 32

// TryID returns the ID that a request has on the wire in one of its tries, counted from 0.
func TryID(request uint64, number int) uint64 { return request*maxTries + uint64(number) }

// Outcome is the result of a try for the client.
type Outcome uint8

// Outcomes of a try.
const (
	OutcomeServed Outcome = iota
	OutcomeRejected
	OutcomeLost        // failed, reset or timed out: it may have run
	OutcomeUnreachable // no node accepted it
)

// Behavior holds how a client behaves in one try. Times are in ms.
type Behavior struct {
	Timeout         float64 // time that the client waits for the response
	DisconnectAfter float64 // time until the client disconnects and doesn't retry; 0 means never
}

// Behavior draws the client's behavior in a try.
func (s *Source) Behavior(request *Request, number int) Behavior {
	rng := rand.New(rand.NewPCG(s.seed, request.ID<<8+1+uint64(number)))
	clients := s.experiment.Clients
	from, to := clients.TimeoutShare[0], clients.TimeoutShare[1]
	ttl := s.experiment.Classes[request.Class].DeadlineMs
	behavior := Behavior{Timeout: math.Max(1, math.Floor(ttl*(from+(to-from)*rng.Float64())))}
	if rng.Float64() < clients.LeaveShare {
		behavior.DisconnectAfter = behavior.Timeout * rng.Float64()
	}
	return behavior
}

// Retry returns whether the client retries after a try, and the wait before that in ms. It honors the Retry-After of a
// rejection, in ms, if the experiment's clients do. A request that may have run is only retried if it is idempotent.
func (s *Source) Retry(request *Request, number int, outcome Outcome, retryAfter float64) (wait float64, retry bool) {
	clients := s.experiment.Clients
	if number >= clients.Retries || outcome == OutcomeServed {
		return 0, false
	}
	if outcome == OutcomeLost && s.experiment.Classes[request.Class].Idempotency != "redeliverable" {
		return 0, false
	}
	rng := rand.New(rand.NewPCG(s.seed, request.ID<<8+101+uint64(number)))
	if outcome == OutcomeRejected && clients.HonorRetryAfter && retryAfter > 0 {
		return retryAfter, true
	}
	return clients.RetryBackoffMs * (0.5 + rng.Float64()), true
}

// EarnedShare returns the share of its priority weight that a request earns when it is served after the elapsed time.
func EarnedShare(class *balancer.Class, elapsed, ttl float64) float64 {
	switch {
	case elapsed <= class.LatencyObjective:
		return 1
	case elapsed <= ttl:
		return class.LateWeight
	}
	return 0
}
