// Package balancer decides what a node does with its requests: which backend gets an attempt, what is queued, retried or
// rejected. It is pure: a host starts a Balancer with its Config, tells it what happens through the inputs, which only
// update what is known, and after each batch of them pulls decisions with Next, one by one, until there is none. Times are
// the host's clock in ms; no method may be called concurrently with another. Each rule has a file of its own; the
// ordinary path is CDA(c), see docs/design.md.
package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// reviewInterval in ms between reviews of all backends: several within the shortest latency objective of services that
// people wait for.
const reviewIntervalMs = 100.0

// Decider is what a host asks: a Balancer, or what stands round one or in its place.
type Decider interface {
	EndpointsChanged(now float64, endpoints []Endpoint, full, cached bool)
	PollFailed(now float64)
	RequestArrived(now float64, request *Request)
	ClientGone(now float64, request *Request)
	DeadlineShortened(now float64, request *Request)
	ResponseStarted(now float64, attempt *Attempt)
	RequestBodySent(now float64, attempt *Attempt)
	AttemptEnded(now float64, attempt *Attempt, how Outcome, elapsed float64, finished bool)
	LoadReported(now float64, backend *Backend, report LoadReport)
	ProcessesChanged(now float64, processes int)
	ConfigChanged(now float64, config *Config, from []int)
	TimerFired(now float64)
	Next() (Decision, bool)
}

// DecisionKind is what a decision asks the host to do.
type DecisionKind uint8

// The kinds of decision. Their numbers are stored.
const (
	DoAttempt  DecisionKind = iota // send the request to the attempt's backend
	DoReject                       // answer the client that it may safely send the request again
	DoFail                         // answer the client that the request may have run
	DoCancel                       // cancel the attempt
	DoPoll                         // poll the endpoint list
	DoSetTimer                     // call TimerFired after Wait, in place of any timer set before
	DoLog                          // log the event
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind    DecisionKind
	Request *Request
	Attempt *Attempt
	Wait    float64 // ms; DoAttempt: its time-out, 0 for none; DoReject: Retry-After; DoSetTimer: how far from now
	Event   Event   // DoLog
}

// EventKind is what happened that is worth a log line.
type EventKind uint8

// The kinds of event.
const (
	EventBackendEjected EventKind = iota + 1 // Backend; Count is its attempts in flight
	EventPollFailed                          // Count is the failures in a row
)

// Event is something for the log, with the values that its kind has.
type Event struct {
	Kind    EventKind
	Backend uint64 // its ID
	Count   int
}

func (e Event) String() string {
	switch e.Kind {
	case EventBackendEjected:
		return fmt.Sprintf("backend %x ejected, %d attempts in flight", e.Backend, e.Count)
	case EventPollFailed:
		return fmt.Sprintf("endpoint list poll failed, %d in a row", e.Count)
	}
	return fmt.Sprintf("event %d", uint8(e.Kind))
}

// Balancer decides for one node. Nothing is shared between nodes: what one needs of the others it computes from the
// configuration and its own answers. All fields belong to the goroutine that calls the methods.
type Balancer struct {
	config    *Config
	now       float64 // of the latest input
	random    multiplyWithCarry
	backends  []*Backend // all that the list named, in the order of their first naming
	pending   []*Request // those that a decision is due on
	decisions []Decision // not yet pulled
	review    reviewSchedule

	cutoff      hintWindow // between short and long requests
	endpoints   endpointState
	rotation    rotationState
	queue       requestQueue
	keyQueues   map[uint64]*keyQueue // of classes that keep order, by key
	retries     retryState
	ejection    ejectionState
	slowStart   slowStartState
	concurrency concurrencyState
	estimates   estimates
	timers      timerState

	// OnConsidered is called for each backend considered for a request, with why it was passed over; nil where nobody asks.
	OnConsidered func(request *Request, backend *Backend, reason Reason)
}

// reviewSchedule is when all backends are reviewed next.
type reviewSchedule struct {
	at      float64
	hasNews bool // since the last review: without, a fleet of idle nodes spends nothing
}

// New starts a balancer; now is the host's clock.
func New(config *Config, now float64) *Balancer {
	lb := &Balancer{
		config:      config,
		now:         now,
		random:      newMultiplyWithCarry(config.Seed),
		review:      reviewSchedule{at: now},
		timers:      timerState{armedFor: math.Inf(1)},
		rotation:    rotationState{meanWeight: 1},
		retries:     retryState{tokens: maxRetryTokens / 2},
		concurrency: concurrencyState{limit: math.Inf(1)},
		endpoints:   endpointState{pollAt: math.Inf(1)},
		keyQueues:   map[uint64]*keyQueue{},
		ejection:    ejectionState{lastResetAt: math.Inf(-1), answeredAfterResetAt: math.Inf(-1)},
	}
	lb.setPatience()
	if config.PollEndpoints {
		lb.endpoints.pollAt = now + pollSpreadMs*lb.random.nextUnit()
	}
	return lb
}

// Next returns the next decision, if there is one. The clock is that of the latest input. After the last decision the
// host's timer is set to when there is something to do without an input.
func (lb *Balancer) Next() (Decision, bool) {
	for len(lb.decisions) == 0 {
		if lb.step() {
			continue
		}
		at := lb.nextWakeUp()
		if at >= lb.timers.armedFor {
			return Decision{}, false
		}
		lb.timers.armedFor = at
		return Decision{Kind: DoSetTimer, Wait: at - lb.now}, true
	}
	decision := lb.decisions[0]
	lb.decisions = lb.decisions[1:]
	return decision, true
}

// step does the first thing that is due, and reports whether there was one. The order counts: arrivals go before timers,
// and both before freed capacity is offered to the queue.
func (lb *Balancer) step() bool {
	switch {
	case len(lb.pending) > 0:
		request := lb.pending[0]
		lb.pending = lb.pending[1:]
		request.isPending = false
		lb.decideRequest(request)
	case lb.isPollDue():
		lb.poll()
	case len(lb.timers.entries) > 0 && lb.timers.entries[0].at <= lb.now:
		lb.handleTimer(heap.Pop(&lb.timers.entries).(timer))
	case lb.queue.hasFreedCapacity:
		lb.queue.hasFreedCapacity = false
		lb.placeQueued()
	case lb.review.hasNews && lb.now >= lb.review.at:
		lb.review.at = lb.now + reviewIntervalMs
		lb.reviewBackends()
	default:
		return false
	}
	return true
}

// reviewBackends compares the backends with each other, and forgets those that are gone for good. It runs periodically
// while there is news, and with each change of the endpoint list.
func (lb *Balancer) reviewBackends() {
	lb.backends = slices.DeleteFunc(lb.backends, func(b *Backend) bool { return b.forgetIfGone(lb.now, lb.config) })
	if math.IsInf(lb.concurrency.limit, 1) && len(lb.backends) > 0 { // all nodes may start at once, without news of a queue
		lb.concurrency.limit = lb.minInFlightLimit()
	}
	lb.reviewEndpointList()
	if lb.config.ConnectionCost > 0 {
		lb.chooseSubset()
	}
	lb.review.hasNews = len(lb.queue.requests) > 0
	lb.reviewZoneUsage()
	lb.reviewOutliers()
	lb.reviewMeanWeight()
	lb.queue.hasFreedCapacity = true
}

func (lb *Balancer) logEvent(event Event) {
	lb.decisions = append(lb.decisions, Decision{Kind: DoLog, Event: event})
}
