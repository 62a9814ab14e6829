package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// reviewIntervalMs is the time between two reviews of all backends. It is short enough for several reviews within the
// latency objective of an interactive service.
const reviewIntervalMs = 100.0

// Decider is the interface through which a host uses a Balancer. The other implementers either wrap a Balancer, such as a
// recorder of its inputs and decisions, or replace it, such as a simpler policy to compare it with.
type Decider interface {
	EndpointsChanged(now float64, endpoints []Endpoint, full, cached bool)
	PollFailed(now float64)
	RequestArrived(now float64, request *Request)
	RequestAbandoned(now float64, request *Request)
	DeadlineShortened(now float64, request *Request)
	ResponseStarted(now float64, attempt *Attempt)
	RequestBodySent(now float64, attempt *Attempt)
	AttemptEnded(now float64, attempt *Attempt, outcome Outcome, elapsed float64, finished bool)
	LoadReported(now float64, backend *Backend, report LoadReport)
	ProcessesChanged(now float64, processes int)
	ConfigChanged(now float64, config *Config, oldIndexes []int)
	TimerFired(now float64)
	Next() (Decision, bool)
}

// DecisionKind specifies the action that a decision asks of the host.
type DecisionKind uint8

// The kinds of decision. Their numbers are stored.
const (
	DoAttempt  DecisionKind = iota // send the request to the attempt's backend
	DoReject                       // answer the client that it may repeat the request safely; see isSafeToRepeat
	DoFail                         // answer the client that the request may have run and must not be repeated blindly
	DoCancel                       // cancel the attempt
	DoPoll                         // poll the endpoint list
	DoSetTimer                     // call TimerFired after Wait, in place of any timer set before
	DoLog                          // log the event
)

// Decision is one action for the host to carry out.
type Decision struct {
	Kind    DecisionKind
	Request *Request
	Attempt *Attempt
	// Wait is a duration in ms: of DoAttempt the attempt's time-out, or 0 for none; of DoReject the Retry-After, or 0 for
	// none; of DoSetTimer the time from now until TimerFired is to be called.
	Wait  float64
	Event Event // of DoLog
}

// EventKind identifies the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	EventBackendEjected EventKind = iota + 1 // Backend was ejected; Count is the number of its attempts in flight
	EventPollFailed                          // a poll of the endpoint list failed; Count is the failures in a row
)

// Event is an occurrence for the host to log. Its kind determines which of the other fields are set.
type Event struct {
	Kind    EventKind
	Backend uint64 // the backend's ID
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

// Balancer makes the decisions of one node. Nodes exchange no messages: a balancer accounts for the other nodes by the
// configuration and by the answers that it receives itself. All fields belong to the goroutine that calls the methods.
type Balancer struct {
	config    *Config
	now       float64 // time of the latest input
	random    multiplyWithCarry
	backends  []*Backend // all tracked backends, in the order in which the endpoint list first named them
	pending   []*Request // requests that must be decided on
	decisions []Decision // decisions that Next has not returned yet
	review    reviewSchedule

	cutoff      hintWindow // the latest cost hints, which determine the cutoff between short and long requests
	endpoints   endpointState
	rotation    rotationState
	queue       requestQueue
	keyQueues   map[uint64]*keyQueue // by Request.Key, for requests of classes that keep order
	retries     retryState
	ejection    ejectionState
	slowStart   slowStartState
	concurrency concurrencyState
	estimates   estimates
	timers      timerState

	// OnConsidered, if not nil, is called for each backend that is considered for a request, with the reason why the backend
	// was passed over, or Eligible. It does not influence decisions.
	OnConsidered func(request *Request, backend *Backend, reason Reason)
}

// reviewSchedule determines when reviewBackends runs next.
type reviewSchedule struct {
	at        float64 // earliest time of the next review
	isPending bool    // an input came since the last review, or requests are queued; else none runs, so that an idle node uses no CPU
}

// New returns a balancer that starts at the time now, without any backends.
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

// Next returns the next decision, or false if there is none. It decides as of the time of the latest input. The last
// decision of a batch is DoSetTimer if there is something to do, without a further input, earlier than the host's timer.
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

// step carries out the first action that is due, and reports whether any was due. Requests that must be decided on come
// before timers, and both come before freed capacity is offered to the queue. Replays depend on this order.
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
	case lb.review.isPending && lb.now >= lb.review.at:
		lb.review.at = lb.now + reviewIntervalMs
		lb.reviewBackends()
	default:
		return false
	}
	return true
}

// reviewBackends stops tracking the backends that are gone for good, and updates everything that is computed over all
// backends. It runs every reviewIntervalMs while reviewSchedule.isPending, and after each change of the endpoint list.
func (lb *Balancer) reviewBackends() {
	lb.backends = slices.DeleteFunc(lb.backends, func(b *Backend) bool { return b.untrackIfGone(lb.now, lb.config) })
	// Without a limit, nodes that all start at the same time could overload the backends before the first answers show it.
	if math.IsInf(lb.concurrency.limit, 1) && len(lb.backends) > 0 {
		lb.concurrency.limit = lb.minInFlightLimit()
	}
	lb.reviewEndpointList()
	if lb.config.ConnectionCost > 0 {
		lb.chooseSubset()
	}
	lb.review.isPending = len(lb.queue.requests) > 0
	lb.reviewZoneUsage()
	lb.reviewOutliers()
	lb.reviewMeanWeight()
	lb.queue.hasFreedCapacity = true
}

func (lb *Balancer) logEvent(event Event) {
	lb.decisions = append(lb.decisions, Decision{Kind: DoLog, Event: event})
}
