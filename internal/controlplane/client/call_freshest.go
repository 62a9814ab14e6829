package client

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pearknot/internal/controlplane"
)

// hedgeDelay is how long one member may take before the next is asked beside it.
const hedgeDelay = 250 * time.Millisecond

// callFreshest asks members until an answer contains everything that had been acknowledged when callFreshest was called. That holds
// for a version that is asked for by its number, since versions never change, and for an answer whose staleness is at most the time
// since the call. Without a majority of voters no member can give such an answer; after statusTimeout the freshest one is returned.
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

// callFreshestUntil repeats rounds of calls until one is fresh enough, time is up or ctx ends. It returns the last round's best answer.
func (p *ControlPlane) callFreshestUntil(
	ctx context.Context, request *CallRequest, start time.Time, isFreshEnough func(*CallResponse) bool,
) (*answer, error) {
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

// answer is a member's response, or the error of the call.
type answer struct {
	response *CallResponse
	text     []byte
	err      error
}

// isBetterThan prefers an answer to none, a success to a failure, and then the fresher one.
func (a *answer) isBetterThan(best *answer) bool {
	switch {
	case best == nil:
		return true
	case a.response.Code == best.response.Code:
		return stalenessMs(a.response) < stalenessMs(best.response)
	}
	return best.response.Code != controlplane.CodeDone && a.response.Code == controlplane.CodeDone
}

// callRound asks each member once until an answer is fresh enough, and returns the best one; the error is that of the last call that
// failed. Voters are asked first, in random order, and relays only if none of the voters has answered.
func (p *ControlPlane) callRound(ctx context.Context, request *CallRequest, isFreshEnough func(*CallResponse) bool) (best *answer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	voters, relays := p.Voters(), p.relays()
	rand.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	order := slices.Concat(voters, relays)
	answers := make(chan *answer, len(order))
	called, outstanding := 0, 0
	for {
		mayCall := called < len(voters) || called < len(order) && best == nil
		if mayCall {
			member := order[called]
			called++
			outstanding++
			go func() {
				response, text, err := p.callMember(ctx, member, statusTimeout, request, nil)
				answers <- &answer{response, text, err}
			}()
		} else if outstanding == 0 {
			return best, err
		}
		select {
		case a := <-answers:
			outstanding--
			if a.err != nil {
				err = a.err
				continue
			}
			if a.isBetterThan(best) {
				best = a
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
