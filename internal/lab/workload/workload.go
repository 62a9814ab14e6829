// Package workload is the model of who asks: ops that arrive whether or not the service keeps up, what they cost, what
// hint they carry, and what a client does when its try ends badly. What an op is like hangs on the seed alone, so that
// policies are compared on the same ops. It holds no clock and does no I/O.
package workload

import (
	"math"
	"math/rand/v2"

	"pearknot/balancer"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
)

// Request is what one client wants, through all its tries.
type Request struct {
	ID       uint64
	Category int
	Zone     int
	Work     float64 // ms of a standard core
	Hint     float64
	HasHint  bool
	Key      uint64  // 0 is none
	Fells    bool    // it brings down the backend that begins it
	At       float64 // when it was to be sent first
}

// Outcome is how a try ended for its client.
type Outcome uint8

// How an answer reads to the client.
const (
	Acked Outcome = iota
	Nacked
	Lost      // dead-lettered, reset, or no answer in time: it may have run
	Unreached // nobody took it
)

// Try is one sending.
type Try struct {
	Patience float64 // how long the client waits for the answer, ms
	Leaves   float64 // after so long it is gone; 0 it stays
}

// Source makes the ops of an experiment.
type Source struct {
	e     *experiment.Experiment
	state *faults.State
	rng   *rand.Rand
	seed  uint64
	next  float64
	rate  float64 // ops a ms at multiple 1
	peak  float64 // and at most
	count uint64
	zones []float64
	kinds []float64
}

const mostTries = 32 // a try's id is its op's times this, and its number

// TryID names a try.
func TryID(op uint64, number int) uint64 { return op*mostTries + uint64(number) }

// New makes a source; state tells of bursts and costly ops.
func New(e *experiment.Experiment, state *faults.State, seed uint64) *Source {
	s := &Source{e: e, state: state, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, rate: e.Rate() / 1e3}
	s.peak = s.rate * e.MostMultiple() * faults.MostBurst(e)
	for z := range e.Fleet.Zones {
		w := 1.0
		if len(e.Fleet.NodeWeights) > 0 {
			w = e.Fleet.NodeWeights[z]
		}
		if z >= e.Fleet.Nodes { // a zone without a node has its clients elsewhere
			w = 0
		}
		s.zones = append(s.zones, w)
	}
	for _, k := range e.Category {
		s.kinds = append(s.kinds, k.Share)
	}
	s.step()
	return s
}

func (s *Source) step() { s.next += s.rng.ExpFloat64() / s.peak }

// Next is when to call Arrive.
func (s *Source) Next() float64 { return s.next }

// Arrive gives the op that arrives at Next, or nil where the load of that moment is under its peak.
func (s *Source) Arrive() *Request {
	at := s.next
	keep := s.rng.Float64()*s.peak <= s.rate*s.e.Multiple(at)*s.state.Burst()
	s.step()
	if !keep {
		return nil
	}
	s.count++
	rng := rand.New(rand.NewPCG(s.seed, s.count<<8)) // an op's own, whatever came before
	op := &Request{ID: s.count, At: at, Zone: choose(rng, s.zones), Category: choose(rng, s.kinds)}
	k := s.e.Category[op.Category]
	op.Work = logNormal(rng, k.WorkMs, k.Spread)
	noise, other, costly := rng.NormFloat64(), logNormal(rng, k.WorkMs, 1), rng.Float64()
	switch s.e.Clients.Hints {
	case "exact":
		op.Hint, op.HasHint = op.Work, true
	case "rough":
		op.Hint, op.HasHint = op.Work*math.Exp(s.e.Clients.HintNoise*noise), true
	case "misleading": // of some other op
		op.Hint, op.HasHint = other, true
	}
	if s.e.Clients.Keys > 0 { // half of the ops are about a sixteenth of the keys
		op.Key = 1 + uint64(math.Pow(rng.Float64(), 4)*float64(s.e.Clients.Keys))
	}
	op.Fells = s.state.Fells(op.Category) > 0 && rng.Float64() < s.state.Fells(op.Category)
	if chance, factor := s.state.Costly(op.Category); costly < chance { // which no hint foresees
		op.Work *= factor
	}
	return op
}

func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
}

func choose(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, x := range shares {
		sum += x
	}
	x := rng.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Try tells how long the client waits in one of its tries.
func (s *Source) Try(op *Request, number int) Try {
	rng := rand.New(rand.NewPCG(s.seed, op.ID<<8+1+uint64(number)))
	from, to := s.e.Clients.GiveUp[0], s.e.Clients.GiveUp[1]
	t := Try{Patience: math.Max(1, math.Floor(s.e.Category[op.Category].TTLMs*(from+(to-from)*rng.Float64())))}
	if rng.Float64() < s.e.Clients.Leave {
		t.Leaves = t.Patience * rng.Float64()
	}
	return t
}

// Again tells after how long the client tries once more, if it does. It never repeats what may have run and may not
// run twice.
func (s *Source) Again(op *Request, number int, how Outcome, comeBack float64) (wait float64, again bool) {
	c := s.e.Clients
	if number >= c.Retries || how == Acked ||
		how == Lost && s.e.Category[op.Category].Effect != "redeliverable" {
		return 0, false
	}
	rng := rand.New(rand.NewPCG(s.seed, op.ID<<8+101+uint64(number)))
	if how == Nacked && c.HeedsWait && comeBack > 0 {
		return comeBack, true
	}
	return c.RetryWaitMs * (0.5 + rng.Float64()), true
}

// Earned is the share of its benefit that an op answered after so long earns.
func Earned(c *balancer.Class, elapsed, ttl float64) float64 {
	switch {
	case elapsed <= c.LatencyObjective:
		return 1
	case elapsed <= ttl:
		return c.LateWeight
	}
	return 0
}
