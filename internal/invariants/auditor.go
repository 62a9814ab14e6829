// Package invariants checks the program's rules from outside: no request is lost, no effect happens twice, a draining backend
// gets no new attempts after the drain grace, a cold backend is not overloaded, neither by the nodes that were notified of
// its start nor by all nodes together, and the requests of one key run in order if their class requires it.
//
// The package does no I/O and is independent of the program under test. A test or the lab reports each event that it
// observes and gets violations, each with the events that prove it. docs/lab.md has the rules' wording.
package invariants

import (
	"container/heap"
	"fmt"
	"math"

	"pearknot/balancer"
)

const (
	// maxViolations is the number of violations that are stored with their evidence. Further ones are only counted.
	maxViolations = 50

	// maxEvidence limits the events and attempts that are stored for one request, so that a program that sends attempts
	// without end does not exhaust the memory.
	maxEvidence = 48

	// sweepInterval is the number of accepted requests between two removals of unused key queues.
	sweepInterval = 1024

	// ruleCount is the number of the Auditor's rules plus one, since the rules are numbered from 1.
	ruleCount = 7
)

// Config holds the parameters of the rules. Times are in milliseconds.
type Config struct {
	Classes      []balancer.Class
	MaxAttempts  int     // per request; 0 means no limit
	AllowHedging bool    // an attempt may start while another attempt of its request is in flight
	DrainGrace   float64 // after a node was notified of a drain

	ColdCapacity   float64 // share of its full capacity that a backend starts with
	WarmUp         float64 // time after which a backend has its full capacity
	OverloadFactor float64 // multiple of its current capacity by which a cold backend is overloaded
	OverloadWindow float64 // time over which its work is added up
	MeanWork       float64 // mean work of a request, in ms of a standard core, for the chance allowance; 0 means no allowance

	KeyCooldown       float64 // pause of a key after an attempt that may still run
	RemovalNotBinding bool    // a removal without a drain does not oblige nodes to stop sending

	Tolerance float64 // allowance for events that are observed late; 0 in virtual time
}

// Auditor checks events in the order of time. It stores what is in flight, and for each request its events until its
// deadline. Its memory is therefore bounded by the rate of requests times the longest deadline, whatever the length of the
// run. It is not safe for concurrent use.
type Auditor struct {
	config       Config
	now          float64
	requests     map[uint64]*request
	deadlines    deadlineQueue
	backends     map[int]*backend
	drainNotices map[drainNoticeID]Event // first notice that a node got of a backend's drain or removal
	keyQueues    map[nodeKey]*keyQueue
	violations   []Violation
	counts       [ruleCount]int // by rule
	requestCount int
}

// nodeBackend identifies a backend as one node knows it.
type nodeBackend struct{ node, backend int }

// backend holds the properties of a backend's process that the rules need.
type backend struct {
	started float64
	speed   float64
	zone    int
	cell    int
	slowStartState
}

// New returns an auditor that has recorded no events.
func New(config Config) *Auditor {
	return &Auditor{
		config:       config,
		now:          math.Inf(-1),
		requests:     map[uint64]*request{},
		backends:     map[int]*backend{},
		drainNotices: map[drainNoticeID]Event{},
		keyQueues:    map[nodeKey]*keyQueue{},
	}
}

// Record checks an event. An event that is older than the latest one is checked with its own time, but does not set the clock
// back. Events of unknown kinds are ignored.
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

// nodeKilled discards the requests that a node had accepted and the notices that it got. Its successor knows only the notices
// that it gets itself.
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

// Finish ends the audit: no further events are expected, and each request without an answer counts as lost.
func (a *Auditor) Finish(now float64) {
	a.advance(now)
	for len(a.deadlines) > 0 {
		a.expire(heap.Pop(&a.deadlines).(*request))
	}
}

// Violations returns the first maxViolations violations.
func (a *Auditor) Violations() []Violation { return a.violations }

// Count returns the number of violations of a rule.
func (a *Auditor) Count(r Rule) int { return a.counts[r] }

// AllKept reports whether no rule was broken.
func (a *Auditor) AllKept() bool { return a.counts == [ruleCount]int{} }

// RequestsChecked returns the number of requests that were accepted.
func (a *Auditor) RequestsChecked() int { return a.requestCount }

// OpenRequests returns the number of requests in memory.
func (a *Auditor) OpenRequests() int { return len(a.requests) }

// Verdict returns the result of the audit in one line.
func (a *Auditor) Verdict() string {
	if a.AllKept() {
		return fmt.Sprintf("rules kept: %d ops judged", a.requestCount)
	}
	return fmt.Sprintf("rules broken: no op lost %d, no effect twice %d, drains kept %d, cold starts %d, order kept %d, ramps kept %d, of %d ops judged",
		a.counts[NoRequestLost], a.counts[NoEffectTwice], a.counts[DrainRespected], a.counts[SlowStartPerNode], a.counts[KeyOrder],
		a.counts[SlowStartFleetwide], a.requestCount)
}

// addViolation counts a violation, and stores it if fewer than maxViolations are stored.
func (a *Auditor) addViolation(rule Rule, evidence []Event, format string, args ...any) {
	a.counts[rule]++
	if len(a.violations) >= maxViolations {
		return
	}
	a.violations = append(a.violations, Violation{
		Rule:     rule,
		At:       a.now,
		Message:  fmt.Sprintf(format, args...),
		Evidence: append([]Event{}, evidence...),
	})
}

// advance sets the clock forward and ends the requests whose deadline has passed.
func (a *Auditor) advance(now float64) {
	a.now = math.Max(a.now, now)
	for len(a.deadlines) > 0 && a.deadlines[0].deadline+a.config.Tolerance < a.now {
		a.expire(heap.Pop(&a.deadlines).(*request))
	}
}
