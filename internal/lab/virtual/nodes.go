package virtual

import (
	"math"
	"math/rand/v2"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/baselines"
	"pearknot/internal/lab/discoverystub"
	"pearknot/internal/lab/workload"
)

// node is a load balancer process: the decider, and the state that the adapter on sockets would have.
type node struct {
	number      int
	zone        int
	alive       bool
	incarnation int // counts its processes from 0; whatever waits for an earlier one is void
	diedAt      float64

	decider  balancer.Decider
	requests map[uint64]*request // not answered, or with attempts in flight
	timer    uint64              // generation of the decider's timer: setting it anew voids the one before

	lastAttempt uint64                  // sequence number within the incarnation's attempts
	known       []*balancer.Backend     // by number of the backend; nil if never on the list
	listed      []balancer.BackendState // by number of the backend, as the endpoint list says
	idle        [][]idleConnection      // by number of the backend, the latest used last

	watching bool // has a watch on the endpoint list
	polling  bool // waits for the response of a poll
	version  int  // of the endpoint list that it has
}

// idleConnection is a pooled connection to a backend.
type idleConnection struct {
	since       float64 // ms, when it became idle
	incarnation int     // of the backend that it leads to
}

// request is a client's request as its node handles it.
type request struct {
	balancer.Request
	node             *node
	try              *clientTry
	answered         bool
	attempts         []*attempt // by number
	attemptsInFlight int
}

// clientOutcomes maps a node's answer to what it means to the client.
var clientOutcomes = [...]workload.Outcome{
	invariants.Served:   workload.OutcomeServed,
	invariants.Rejected: workload.OutcomeRejected,
	invariants.Failed:   workload.OutcomeLost,
}

// startNode starts a node's process with an endpoint list cached earlier. It returns an error if the experiment's
// policy can't be built.
func (s *simulation) startNode(n *node, cached []discoverystub.Entry, version int) error {
	size := len(s.backends)
	n.alive, n.watching, n.polling = true, false, false
	n.known = make([]*balancer.Backend, size)
	n.listed = make([]balancer.BackendState, size)
	n.idle = make([][]idleConnection, size)
	n.requests = map[uint64]*request{}
	n.version = version
	seed := rand.New(rand.NewPCG(s.seed, uint64(n.number)<<20+uint64(n.incarnation)+5)).Uint64()
	config := s.experiment.BalancerConfig(n.zone, seed)
	config.NodeIndex = n.number
	decider, err := baselines.New(s.experiment.Policy, config, s.now, s.omniscientEstimate(n))
	if err != nil {
		return err
	}
	n.decider = decider
	if s.options.Wrap != nil {
		n.decider = s.options.Wrap(n.number, n.incarnation, n.decider, config, s.now)
	}
	s.applyEndpoints(n, cached, true, true)
	if !s.experiment.EndpointList.PollOnly {
		s.pollEndpoints(n)
	}
	s.carryOutDecisions(n)
	return nil
}

// omniscientEstimate returns the function that tells the all-seeing baseline a request's true completion time on a
// backend, in ms, infinite where it would not complete.
func (s *simulation) omniscientEstimate(n *node) baselines.CompletionEstimate {
	return func(now float64, target *balancer.Backend, r *balancer.Request) float64 {
		b := s.backends[target.ID]
		if s.isUnreachable(n, b) {
			return math.Inf(1)
		}
		work := n.requests[r.ID].try.request.Work
		if !b.HasColdCapacity(now, work) {
			return math.Inf(1)
		}
		estimate := b.Backlog(now) + work/b.CoreRate() + 2*s.oneWayDelay(n.zone, b.zone)
		if n.zone != b.zone { // cross-zone traffic costs money: its price in terms of the latency objective
			estimate += s.experiment.Fleet.CrossZoneCost * s.experiment.Classes[r.Class].LatencyObjectiveMs
		}
		return estimate
	}
}

// killNode ends a node's process: its attempts are abandoned and its clients' connections break. Requests are visited
// in the order of their IDs, since the order of a map would differ between runs.
func (s *simulation) killNode(n *node) {
	if !n.alive {
		return
	}
	n.alive, n.diedAt = false, s.now
	n.incarnation++
	s.recordEvent(invariants.Event{Kind: invariants.NodeKilled, Node: n.number})
	ids := make([]uint64, 0, len(n.requests))
	for id := range n.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		lost := n.requests[id]
		for _, a := range lost.attempts {
			if !a.ended {
				a.ended = true
				s.closeAttemptConnection(a)
			}
		}
		if !lost.answered {
			s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() { s.finishTry(lost.try, workload.OutcomeLost, 0) })
		}
	}
	n.requests = map[uint64]*request{}
}

// restartNode starts a node that was killed, from the endpoint list that it had on disk: one somewhat older than its
// end, or the initial one.
func (s *simulation) restartNode(n *node) {
	if n.alive {
		return
	}
	cached, version := s.discovery.ListAt(n.diedAt - s.experiment.EndpointList.StaleByMs)
	if version == 0 {
		cached, version = s.discovery.ListAt(0)
	}
	if err := s.startNode(n, cached, version); err != nil {
		panic(err) // the same policy was built when the simulation began
	}
}

// carryOutDecisions pulls a node's decisions and carries them out, until there are none.
func (s *simulation) carryOutDecisions(n *node) {
	for {
		decision, more := n.decider.Next()
		if !more {
			return
		}
		switch decision.Kind {
		case balancer.DoAttempt:
			s.startAttempt(n, decision)
		case balancer.DoReject:
			s.answerRequest(n.requests[decision.Request.ID], invariants.Rejected, decision.Wait)
		case balancer.DoFail:
			s.answerRequest(n.requests[decision.Request.ID], invariants.Failed, 0)
		case balancer.DoCancel:
			if r := n.requests[decision.Request.ID]; r != nil {
				s.endAttemptSoon(r.attempts[decision.Attempt.Number], balancer.OutcomeCanceled)
			}
		case balancer.DoPoll:
			s.pollEndpoints(n)
		case balancer.DoSetTimer:
			s.setTimer(n, decision.Wait)
		}
	}
}

// setTimer replaces the decider's timer by one that fires after a wait in ms.
func (s *simulation) setTimer(n *node, wait float64) {
	n.timer++
	timer, incarnation := n.timer, n.incarnation
	s.schedule(s.now+math.Max(wait, 0), func() {
		if n.timer == timer && n.incarnation == incarnation && n.alive {
			n.decider.TimerFired(s.now)
			s.carryOutDecisions(n)
		}
	})
}

// answerRequest sends a request's final answer to its client, unless it has one; retryAfter in ms goes with a
// rejection.
func (s *simulation) answerRequest(r *request, answer invariants.Answer, retryAfter float64) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.recorder.NodeAnswered(s.now, answer)
	s.recordEvent(invariants.Event{Kind: invariants.RequestAnswered, Node: r.node.number, Request: r.ID, Answer: answer, Attempt: invariants.AnyAttempt})
	s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() { s.finishTry(r.try, clientOutcomes[answer], retryAfter) })
	s.removeFinished(r)
}

// removeFinished removes a request from its node once it is answered and no attempt is in flight.
func (s *simulation) removeFinished(r *request) {
	if r.answered && r.attemptsInFlight == 0 {
		delete(r.node.requests, r.ID)
	}
}
