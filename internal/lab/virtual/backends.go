package virtual

import (
	"math"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/discoverystub"
)

// errorDelayMs is the time that a backend takes to respond with an error, in ms.
const errorDelayMs = 1.0

// backend is a backend's machine and its connections.
type backend struct {
	*backendmodel.Machine
	number      int
	zone        int
	kind        int    // of machine, by its place in the experiment
	incarnation int    // counts its processes from 0
	silent      bool   // its machine is gone from the network: no connection to it shows an error
	wakeup      uint64 // generation of its next wakeup: scheduling it anew voids the one before
	inFlight    map[uint64]*attempt
}

// attemptReachesBackend hands an attempt to the backend's model, one network delay after it was sent.
func (s *simulation) attemptReachesBackend(a *attempt) {
	b := a.target
	if a.targetIncarnation != b.incarnation || !b.Up() {
		s.respond(a, balancer.OutcomeConnectionReset, 0)
		return
	}
	if b.silent {
		return
	}
	switch b.Accept(s.now, a.id, a.request.try.request.Work, a.newConnection) {
	case backendmodel.VerdictAccepted:
		b.inFlight[a.id] = a
	case backendmodel.VerdictRejected:
		s.respond(a, balancer.OutcomeRejected, 0)
	case backendmodel.VerdictFailed:
		s.respond(a, balancer.OutcomeFailed, errorDelayMs)
	case backendmodel.VerdictDown: // this attempt overloaded it for good
		s.overloaded++
		s.stopBackend(b, false)
		s.respond(a, balancer.OutcomeConnectionReset, 0)
		s.discovery.Update(s.now, s.faults.ListLag(), discoverystub.Entry{Backend: b.number, State: balancer.BackendRemoved})
		s.schedulePublish()
	}
	s.advanceBackend(b)
}

// advanceBackend brings a backend's model up to the current time, responds for what it finished, and schedules the
// next time at which it will have something to do.
func (s *simulation) advanceBackend(b *backend) {
	for _, done := range b.Advance(s.now) {
		if a := b.inFlight[done.ID]; a != nil {
			delete(b.inFlight, done.ID)
			s.respond(a, balancer.OutcomeAnswered, 0)
		}
	}
	for _, id := range b.TakeStarted() {
		a := b.inFlight[id]
		if a == nil {
			continue
		}
		s.recordEvent(invariants.Event{Kind: invariants.AttemptRan, Request: a.request.ID, Attempt: a.decided.Number, Backend: b.number})
		if a.request.try.request.IsPoison { // a poison request
			s.crashBackend(b, false)
			s.schedule(s.now+s.faults.PoisonDowntime(), func() { s.restartBackend(b) })
			return
		}
	}
	b.wakeup++
	wakeup := b.wakeup
	if next := b.NextEvent(); !math.IsInf(next, 1) {
		s.schedule(next, func() {
			if b.wakeup == wakeup {
				s.advanceBackend(b)
			}
		})
	}
}

// respond sends an attempt's outcome from the backend to its node, after a delay in ms and the network's. A load
// report goes with a response if the experiment's backends send them.
func (s *simulation) respond(a *attempt, outcome balancer.Outcome, delay float64) {
	n, b := a.request.node, a.target
	if s.faults.IsPartitioned(n.zone, b.zone) {
		return
	}
	report := balancer.EmptyLoadReport()
	report.ServiceTime = b.Report(s.now).Service
	incarnation := n.incarnation
	s.schedule(s.now+delay+s.oneWayDelay(n.zone, b.zone), func() {
		if n.incarnation != incarnation || a.ended {
			return
		}
		if s.experiment.Backend.SendsReports && outcome == balancer.OutcomeAnswered && report.ServiceTime > 0 {
			n.decider.LoadReported(s.now, a.decided.Backend, report)
		}
		s.endAttempt(a, outcome)
	})
}

// stopBackend ends a backend's process. Its connections are reset, or fall silent together with the machine.
func (s *simulation) stopBackend(b *backend, silent bool) {
	s.advanceBackend(b) // responses that are finished by now still go out
	lost := b.Stop(s.now)
	b.incarnation++
	for _, id := range lost {
		if a := b.inFlight[id]; a != nil && !silent {
			s.respond(a, balancer.OutcomeConnectionReset, 0)
		}
	}
	b.inFlight = map[uint64]*attempt{}
}

// crashBackend stops a backend that is up, with its machine if silent, and has it removed from the endpoint list.
func (s *simulation) crashBackend(b *backend, silent bool) {
	if !b.Up() {
		return
	}
	s.stopBackend(b, silent)
	b.silent = silent
	s.updateList(b, balancer.BackendRemoved)
}

// restartBackend starts a backend that is down or draining; its caches are cold, so it is warming up. One that went
// down under its load stays down.
func (s *simulation) restartBackend(b *backend) {
	if b.Overloaded() || b.Up() && !b.Draining() {
		return
	}
	if b.Up() {
		s.stopBackend(b, false)
	}
	b.silent = false
	b.Start(s.now, false)
	b.SetFaults(s.now, s.faults.BackendFaults(b.number))
	s.recordEvent(invariants.Event{Kind: invariants.BackendStarted, Backend: b.number, Zone: b.zone, Cell: b.number, Speed: b.Capacity(), Started: s.now})
	s.updateList(b, balancer.BackendReady)
}

// drainBackend shuts a backend down gracefully: it is listed as draining, and stops after the notice period unless it
// was restarted meanwhile.
func (s *simulation) drainBackend(b *backend) {
	if !b.Up() {
		return
	}
	b.Drain(s.now)
	s.updateList(b, balancer.BackendDraining)
	incarnation := b.incarnation
	s.schedule(s.now+s.experiment.EndpointList.DrainNoticeMs, func() {
		if b.incarnation == incarnation && b.Draining() {
			s.stopBackend(b, false)
			s.updateList(b, balancer.BackendRemoved)
		}
	})
}
