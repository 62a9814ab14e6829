// Package workload models the clients: requests that arrive whether or not the service keeps up (an open loop), what
// they cost, which cost hint they carry, and what a client does when a try fails. A request's properties depend on the
// seed alone, so that policies are compared on the same requests. It does no I/O and holds no clock. All times are in
// ms.
package workload

import (
	"math"
	"math/rand/v2"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
)

const (
	// keySkew is the power of a uniform draw that picks a request's key: about half of the requests have one of a
	// sixteenth of the keys.
	keySkew = 4
	// misleadingHintSpread is the log-normal spread of the costs from which misleading hints are drawn.
	misleadingHintSpread = 1
)

// Request holds the properties of a client's request, which are the same in all its tries.
type Request struct {
	ID          uint64
	Class       int
	Zone        int
	Work        float64 // ms of a standard core
	CostHint    float64 // ms of a standard core
	HasCostHint bool
	Key         uint64  // idempotency key; 0 is none
	IsPoison    bool    // it crashes the backend that starts it
	ArrivesAt   float64 // time of the first try
}

// Source generates the requests of an experiment. It is not safe for concurrent use.
type Source struct {
	experiment *experiment.Experiment
	faults     *faults.State
	rng        *rand.Rand // for the arrivals
	seed       uint64

	next  float64 // next arrival
	rate  float64 // requests per ms at a load factor of 1
	peak  float64 // upper bound of the rate
	count uint64

	zoneWeights  []float64
	classWeights []float64
}

// New returns a source. The state provides the active bursts, and the probabilities of costly and poison requests.
func New(e *experiment.Experiment, state *faults.State, seed uint64) *Source {
	s := &Source{experiment: e, faults: state, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, rate: e.RequestsPerSecond() / 1e3}
	s.peak = s.rate * e.MaxLoadMultiple() * faults.MaxLoadFactor(e)
	for zone := range e.Fleet.Zones {
		weight := 1.0
		if len(e.Fleet.ZoneTraffic) > 0 {
			weight = e.Fleet.ZoneTraffic[zone]
		}
		if zone >= e.Fleet.Nodes { // the zone has no node, so its clients are in other zones
			weight = 0
		}
		s.zoneWeights = append(s.zoneWeights, weight)
	}
	for _, class := range e.Classes {
		s.classWeights = append(s.classWeights, class.Share)
	}
	s.drawNextArrival()
	return s
}

// drawNextArrival draws the time until the next arrival at the peak rate.
func (s *Source) drawNextArrival() { s.next += s.rng.ExpFloat64() / s.peak }

// NextArrival returns the time at which Arrive must be called next.
func (s *Source) NextArrival() float64 { return s.next }

// Arrive returns the request that arrives at NextArrival, or nil. Arrivals are drawn at the peak rate and thinned to the
// current rate.
func (s *Source) Arrive() *Request {
	at := s.next
	isKept := s.rng.Float64()*s.peak <= s.rate*s.experiment.LoadMultiple(at)*s.faults.LoadFactor()
	s.drawNextArrival()
	if !isKept {
		return nil
	}
	s.count++
	return s.newRequest(s.count, at)
}

// newRequest draws a request's properties. Each request has a generator of its own, so that it doesn't depend on what
// came before it. Draws that only some experiments make come after those that all make.
func (s *Source) newRequest(id uint64, at float64) *Request {
	rng := rand.New(rand.NewPCG(s.seed, id<<8))
	request := &Request{ID: id, ArrivesAt: at}
	request.Zone = choose(rng, s.zoneWeights)
	request.Class = choose(rng, s.classWeights)
	class := s.experiment.Classes[request.Class]
	request.Work = logNormal(rng, class.WorkMs, class.WorkSpread)
	hintNoise := rng.NormFloat64()
	otherWork := logNormal(rng, class.WorkMs, misleadingHintSpread)
	costDraw := rng.Float64()
	s.setHint(request, hintNoise, otherWork)
	if keys := s.experiment.Clients.Keys; keys > 0 {
		request.Key = 1 + uint64(math.Pow(rng.Float64(), keySkew)*float64(keys))
	}
	poisonChance := s.faults.PoisonChance(request.Class)
	request.IsPoison = poisonChance > 0 && rng.Float64() < poisonChance
	if chance, factor := s.faults.CostIncrease(request.Class); costDraw < chance { // after the hint, which must not include it
		request.Work *= factor
	}
	return request
}

// setHint sets a request's cost hint according to the experiment's hint quality.
func (s *Source) setHint(request *Request, noise, otherWork float64) {
	clients := s.experiment.Clients
	switch clients.Hints {
	case "exact":
		request.CostHint, request.HasCostHint = request.Work, true
	case "rough":
		request.CostHint, request.HasCostHint = request.Work*math.Exp(clients.HintNoise*noise), true
	case "misleading": // the cost of some other request
		request.CostHint, request.HasCostHint = otherWork, true
	}
}

// logNormal draws from a log-normal distribution with a mean, and a standard deviation of the logarithm.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
}

// choose draws an index with a probability in proportion to its weight.
func choose(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	x := rng.Float64() * sum
	for i, weight := range weights {
		x -= weight
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
