package invariants

import "math"

// The rules on slow start. A backend that has just started has a share of its capacity (Config.ColdCapacity), which grows to
// the full capacity over Config.WarmUp. It fails if, within one Config.OverloadWindow, it gets more than
// Config.OverloadFactor times the work that it has capacity for.
//
// SlowStartPerNode adds up the work from nodes that had been notified of the start, because a node can't respect a start
// that it doesn't know of. SlowStartFleetwide adds up the work from all nodes and allows for chance, since they don't
// coordinate; it is broken if the backend fails and most of that work came from nodes that had been notified.

// slowStartState holds the work that a backend's process gets while it is cold.
type slowStartState struct {
	notifiedNodes map[int]bool // nodes that were notified of this start; nil once the backend is warm

	// Attempts within the window by nodes in notifiedNodes, for SlowStartPerNode.
	notifiedAttempts []Event
	notifiedWork     float64 // their sum
	overloaded       bool    // an overload was reported, once for each start

	// Attempts within the window by all nodes, for SlowStartFleetwide.
	attempts         []coldAttempt
	work             float64 // their sum
	workFromNotified float64 // the sum of those that were fromNotified
	failed           bool    // it was overloaded and is down until its next start
}

// coldAttempt is an attempt that was sent to a cold backend.
type coldAttempt struct {
	Event
	fromNotified bool // its node had been notified of the start when it started
}

func newSlowStartState() slowStartState { return slowStartState{notifiedNodes: map[int]bool{}} }

// startNotified records that a node was notified of a backend's start.
func (a *Auditor) startNotified(e Event) {
	b := a.backends[e.Backend]
	if b != nil && b.started > 0 && e.Started >= b.started && b.notifiedNodes != nil {
		b.notifiedNodes[e.Node] = true
	}
}

func (a *Auditor) checkSlowStart(e Event) {
	b := a.backends[e.Backend]
	if b == nil {
		a.addViolation(DrainRespected, []Event{e}, "push to backend %d, which was never started or is retired", e.Backend)
		return
	}
	age := e.At - b.started
	isWarm := b.started <= 0 || age >= a.config.WarmUp
	if isWarm {
		b.notifiedAttempts, b.attempts, b.notifiedNodes = nil, nil, nil
		return
	}
	capacity := a.config.ColdCapacity + (1-a.config.ColdCapacity)*math.Max(age, 0)/a.config.WarmUp
	allowed := a.config.OverloadFactor * capacity * b.speed * a.config.OverloadWindow
	a.checkSlowStartFleetwide(b, e, age, allowed)
	a.checkSlowStartPerNode(b, e, age, allowed)
}

// checkSlowStartPerNode adds an attempt to the work in the window that ends now, if its node had been notified.
func (a *Auditor) checkSlowStartPerNode(b *backend, e Event, age, allowed float64) {
	if !b.notifiedNodes[e.Node] {
		return
	}
	windowStart := e.At - a.config.OverloadWindow
	for len(b.notifiedAttempts) > 0 && b.notifiedAttempts[0].At <= windowStart {
		b.notifiedWork -= b.notifiedAttempts[0].Work
		b.notifiedAttempts = b.notifiedAttempts[1:]
	}
	b.notifiedAttempts = append(b.notifiedAttempts, e)
	b.notifiedWork += e.Work
	if b.notifiedWork <= allowed || b.overloaded {
		return
	}
	b.overloaded = true
	nodes := map[int]bool{}
	for _, attempt := range b.notifiedAttempts {
		nodes[attempt.Node] = true
	}
	a.addViolation(SlowStartPerNode, b.notifiedAttempts[max(0, len(b.notifiedAttempts)-maxEvidence):],
		"backend %d, started %.1f ms ago, was sent %.1f ms of work in %.1f ms by %d nodes, and stands %.1f", e.Backend, age,
		b.notifiedWork, a.config.OverloadWindow, len(nodes), allowed)
}

// OverloadThreshold returns the work in one window above which a cold backend fails, given the allowed work and the mean work
// of requests, all in ms of a standard core. Counted in requests of mean work it is N + 2 sqrt(N) + 2, where N is the
// allowed number: the part beyond N is the excess that nodes may cause by chance since they don't coordinate.
func OverloadThreshold(allowed, meanWork float64) float64 {
	return allowed + 2*math.Sqrt(allowed*meanWork) + 2*meanWork
}

// checkSlowStartFleetwide adds an attempt to the work in the window that ends now. A backend that gets more than the
// threshold fails, and the attempts that it gets until its next start are not checked. The rule is broken if over two thirds
// of the work came from nodes that had been notified of the start.
func (a *Auditor) checkSlowStartFleetwide(b *backend, e Event, age, allowed float64) {
	if b.failed {
		return
	}
	b.slideWindow(e.At - a.config.OverloadWindow)
	fromNotified := b.notifiedNodes[e.Node]
	b.attempts = append(b.attempts, coldAttempt{e, fromNotified})
	b.work += e.Work
	if fromNotified {
		b.workFromNotified += e.Work
	}
	threshold := OverloadThreshold(allowed, a.config.MeanWork)
	if b.work <= threshold {
		return
	}
	b.failed = true
	if 3*b.workFromNotified <= 2*b.work {
		return
	}
	nodes, evidence := map[int]bool{}, make([]Event, 0, maxEvidence)
	for k, attempt := range b.attempts {
		nodes[attempt.Node] = true
		if k >= len(b.attempts)-maxEvidence {
			evidence = append(evidence, attempt.Event)
		}
	}
	a.addViolation(SlowStartFleetwide, evidence, "backend %d, started %.1f ms ago, fell: %.1f ms of work in %.1f ms by %d nodes, %.1f of it by those told of the "+
		"start; it is allowed %.1f, and with chance %.1f", e.Backend, age, b.work, a.config.OverloadWindow, len(nodes), b.workFromNotified, allowed, threshold)
}

// slideWindow removes the attempts up to the start of the window.
func (s *slowStartState) slideWindow(start float64) {
	for len(s.attempts) > 0 && s.attempts[0].At <= start {
		s.work -= s.attempts[0].Work
		if s.attempts[0].fromNotified {
			s.workFromNotified -= s.attempts[0].Work
		}
		s.attempts = s.attempts[1:]
	}
	if len(s.attempts) == 0 {
		s.work, s.workFromNotified = 0, 0 // removes accumulated rounding errors
	}
}
