// Package invariants checks from outside whether the program kept its rules: no request is lost, no effect happens twice, a
// draining backend gets nothing new after its grace, a cold backend is not overloaded, neither by the nodes that were
// notified of its start nor by all together, and the requests of one key run in order if their class asks for it.
//
// It does no I/O and knows nothing of the program under test. A test or the lab reports what it observes, event by event,
// and gets violations, each with the events that prove it. docs/lab.md has the rules' wording.
package invariants

import (
	"container/heap"
	"fmt"
	"math"

	"pearknot/balancer"
)

const (
	// maxViolations is how many violations are stored with their evidence. Further ones are counted.
	maxViolations = 50

	// maxEvidence is how many events and attempts are stored of one request, so that a program that sends attempts without
	// end does not fill the memory.
	maxEvidence = 48

	// sweepInterval is after how many accepted requests unused key queues are removed.
	sweepInterval = 1024

	// ruleCount is the number of the Auditor's rules, and one more since they count from 1.
	ruleCount = 7
)

// Config holds the figures of the rules. Times are milliseconds.
type Config struct {
	Classes      []balancer.Class
	MaxAttempts  int     // of one request; 0 means no limit
	AllowHedging bool    // an attempt may start while another one of its request is in flight
	DrainGrace   float64 // after a node was notified of a drain

	ColdCapacity   float64 // the share of its capacity that a backend starts with
	WarmUp         float64 // after that time a backend has its full capacity
	OverloadFactor float64 // a cold backend is overloaded by this multiple of what it can do
	OverloadWindow float64 // the time over which its work is added up
	MeanWork       float64 // of a request, in ms of a standard core, for the allowance for chance; 0 means no allowance

	KeyCooldown       float64 // how long a key pauses after an attempt that may still run
	RemovalNotBinding bool    // only a drain binds nodes, a removal without one does not

	Tolerance float64 // for events that are observed late; 0 in virtual time
}

// Auditor judges events, in the order of time. It stores what is in flight, and of each request what happened until its
// deadline. Its memory is therefore bounded by the rate of requests times the longest deadline, whatever the length of the
// run. It is not safe for concurrent use.
type Auditor struct {
	config       Config
	now          float64
	requests     map[uint64]*request
	deadlines    deadlineQueue
	backends     map[int]*backend
	drainNotices map[nodeBackend]Event // of backends that drain or are removed: the first notice that the node got
	keyQueues    map[nodeKey]*keyQueue
	violations   []Violation
	counts       [ruleCount]int // by rule
	judged       int
}

// nodeBackend identifies a backend as one node knows it.
type nodeBackend struct{ node, backend int }

// backend is what the rules need to know of a backend's process.
type backend struct {
	started float64
	speed   float64
	zone    int
	cell    int
	slowStartState
}

// New returns an auditor that has seen nothing yet.
func New(config Config) *Auditor {
	return &Auditor{
		config:       config,
		now:          math.Inf(-1),
		requests:     map[uint64]*request{},
		backends:     map[int]*backend{},
		drainNotices: map[nodeBackend]Event{},
		keyQueues:    map[nodeKey]*keyQueue{},
	}
}

// Record judges an event. One that is older than the latest is judged as it stands, but turns no clock back. Events of
// unknown kinds are ignored.
func (a *Auditor) Record(e Event) {
	a.advance(e.At)
	switch e.Kind {
	case RequestAccepted:
		a.requestAccepted(e)
	case RequestAnswered:
		a.requestAnswered(e)
	case ClientGone:
		a.clientGone(e)
	case AttemptStarted:
		a.attemptStarted(e)
	case AttemptEnded:
		a.attemptEnded(e)
	case AttemptRan:
		a.attemptRan(e)
	case EndpointNotified:
		a.startNotified(e)
		a.drainNotified(e)
	case BackendStarted:
		a.backends[e.Backend] = &backend{started: e.Started, speed: e.Speed, zone: e.Zone, cell: e.Cell, slowStartState: newSlowStartState()}
	case BackendRetired:
		a.backendRetired(e)
	case NodeKilled:
		a.nodeKilled(e)
	}
}

func (a *Auditor) backendRetired(e Event) {
	delete(a.backends, e.Backend)
	for id := range a.drainNotices {
		if id.backend == e.Backend {
			delete(a.drainNotices, id)
		}
	}
}

// nodeKilled forgets what a node had accepted and was notified of. Its successor knows only what it is notified of itself.
func (a *Auditor) nodeKilled(e Event) {
	for _, r := range a.requests {
		if r.node == e.Node {
			r.closed, r.clientGone = true, true
		}
	}
	for id, queue := range a.keyQueues {
		if id.node != e.Node {
			continue
		}
		for _, r := range queue.requests {
			r.queue = nil
		}
		delete(a.keyQueues, id)
	}
	for _, b := range a.backends {
		delete(b.notifiedNodes, e.Node)
	}
	for id := range a.drainNotices {
		if id.node == e.Node {
			delete(a.drainNotices, id)
		}
	}
}

// Finish ends the audit: no event comes any more, and each request without an answer is lost.
func (a *Auditor) Finish(now float64) {
	a.advance(now)
	for len(a.deadlines) > 0 {
		a.expire(heap.Pop(&a.deadlines).(*request))
	}
}

// Violations returns the first maxViolations violations.
func (a *Auditor) Violations() []Violation { return a.violations }

// Count returns how often a rule was broken.
func (a *Auditor) Count(r Rule) int { return a.counts[r] }

// AllKept reports whether no rule was broken.
func (a *Auditor) AllKept() bool { return a.counts == [ruleCount]int{} }

// RequestsJudged returns the number of requests that were accepted.
func (a *Auditor) RequestsJudged() int { return a.judged }

// OpenRequests returns the number of requests in memory.
func (a *Auditor) OpenRequests() int { return len(a.requests) }

// Verdict returns one line for a result.
func (a *Auditor) Verdict() string {
	if a.AllKept() {
		return fmt.Sprintf("rules kept: %d ops judged", a.judged)
	}
	return fmt.Sprintf("rules broken: no op lost %d, no effect twice %d, drains kept %d, cold starts %d, order kept %d, ramps kept %d, of %d ops judged",
		a.counts[NoRequestLost], a.counts[NoEffectTwice], a.counts[DrainRespected], a.counts[SlowStartPerNode], a.counts[KeyOrder],
		a.counts[SlowStartFleetwide], a.judged)
}

// violation counts a violation, and stores it if there are not too many.
func (a *Auditor) violation(rule Rule, evidence []Event, format string, args ...any) {
	a.counts[rule]++
	if len(a.violations) >= maxViolations {
		return
	}
	a.violations = append(a.violations, Violation{
		Rule:     rule,
		At:       a.now,
		What:     fmt.Sprintf(format, args...),
		Evidence: append([]Event{}, evidence...),
	})
}

// advance moves the clock and ends the requests whose deadline has passed.
func (a *Auditor) advance(now float64) {
	a.now = math.Max(a.now, now)
	for len(a.deadlines) > 0 && a.deadlines[0].deadline+a.config.Tolerance < a.now {
		a.expire(heap.Pop(&a.deadlines).(*request))
	}
}
