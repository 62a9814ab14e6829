package client

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pearknot/internal/controlplane"
)

// hedgeDelay is the time without a response after which the next member is called concurrently.
const hedgeDelay = 250 * time.Millisecond

// callFreshest calls members until a response contains everything that had been acknowledged when callFreshest was called. That holds
// for a version that is requested by its number, since versions never change, and for a response whose staleness is at most the time
// since the call. Without a majority of voters no member can give such a response; after statusTimeout the freshest one is returned.
func (p *ControlPlane) callFreshest(ctx context.Context, request *CallRequest) (*CallResponse, []byte, error) {
	start := time.Now()
	isFreshEnough := func(response *CallResponse) bool {
		if response.Code == controlplane.CodeDone && request.Version > 0 {
			return true // a version never changes
		}
		return stalenessMs(response) <= float64(time.Since(start).Microseconds())/1e3
	}
	best, err := p.callFreshestUntil(ctx, request, start, isFreshEnough)
	switch {
	case best == nil:
		return nil, nil, err
	case best.response.Code != controlplane.CodeDone:
		return nil, nil, ErrVersionNotFound
	}
	return best.response, best.text, nil
}

// callFreshestUntil repeats rounds of calls until a response is fresh enough, statusTimeout has passed or ctx ends. It returns the last
// round's best result.
func (p *ControlPlane) callFreshestUntil(
	ctx context.Context, request *CallRequest, start time.Time, isFreshEnough func(*CallResponse) bool,
) (*callResult, error) {
	for {
		best, err := p.callRound(ctx, request, isFreshEnough)
		if best != nil {
			isTimeUp := best.response.Code == controlplane.CodeDone && time.Since(start) > statusTimeout
			if isFreshEnough(best.response) || isTimeUp {
				return best, nil
			}
		}
		select {
		case <-time.After(failureRetryInterval):
		case <-ctx.Done():
			return best, err
		}
	}
}

// callResult is a member's response, or the error of the call.
type callResult struct {
	response *CallResponse
	text     []byte
	err      error
}

// isBetterThan prefers a response to none, a success to a failure, and then the fresher response.
func (r *callResult) isBetterThan(best *callResult) bool {
	switch {
	case best == nil:
		return true
	case r.response.Code == best.response.Code:
		return stalenessMs(r.response) < stalenessMs(best.response)
	}
	return best.response.Code != controlplane.CodeDone && r.response.Code == controlplane.CodeDone
}

// callRound calls each member at most once until a response is fresh enough, and returns the best one; the error is that of the last
// call that failed. Voters are called first, in random order, and relays only if no voter has responded.
func (p *ControlPlane) callRound(ctx context.Context, request *CallRequest, isFreshEnough func(*CallResponse) bool) (best *callResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	voters, relays := p.Voters(), p.relays()
	rand.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	order := slices.Concat(voters, relays)
	results := make(chan *callResult, len(order))
	called, outstanding := 0, 0
	for {
		mayCall := called < len(voters) || called < len(order) && best == nil
		if mayCall {
			member := order[called]
			called++
			outstanding++
			go func() {
				response, text, err := p.callMember(ctx, member, statusTimeout, request, nil)
				results <- &callResult{response, text, err}
			}()
		} else if outstanding == 0 {
			return best, err
		}
		select {
		case result := <-results:
			outstanding--
			if result.err != nil {
				err = result.err
				continue
			}
			if result.isBetterThan(best) {
				best = result
			}
			if isFreshEnough(best.response) {
				return best, nil
			}
		case <-time.After(hedgeDelay):
		}
	}
}

// stalenessMs returns the upper bound of a response's staleness. It is infinite if the member doesn't know one.
func stalenessMs(response *CallResponse) float64 {
	if response.StalenessMs == nil {
		return math.Inf(1)
	}
	return *response.StalenessMs
}
