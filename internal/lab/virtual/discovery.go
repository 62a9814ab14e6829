package virtual

import (
	"math"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/discoverystub"
)

// failedPollMs is the time after which a poll fails while the discovery service is down, in ms.
const failedPollMs = 200.

// applyEndpoints gives a node entries of the endpoint list: the complete list or changes, from the service or from
// its own cache.
func (s *simulation) applyEndpoints(n *node, entries []discoverystub.Entry, complete, cached bool) {
	endpoints := make([]balancer.Endpoint, 0, len(entries))
	present := make([]bool, len(s.backends))
	for _, entry := range entries {
		known := n.known[entry.Backend]
		if known == nil {
			if entry.State == balancer.BackendRemoved {
				continue
			}
			known = &balancer.Backend{ID: uint64(entry.Backend)}
			n.known[entry.Backend] = known
		}
		present[entry.Backend] = true
		b := s.backends[entry.Backend]
		s.setListedState(n, entry.Backend, entry.State, entry.Started)
		endpoints = append(endpoints, balancer.Endpoint{Backend: known, State: entry.State, Zone: b.zone, Cell: b.number, Kind: b.kind,
			Weight: 1, Started: entry.Started})
	}
	if complete {
		for number, known := range n.known {
			if known != nil && !present[number] {
				s.setListedState(n, number, balancer.BackendRemoved, 0)
			}
		}
	}
	n.decider.EndpointsChanged(s.now, endpoints, complete, cached)
}

// setListedState records what a node's endpoint list says of a backend. Where a removal isn't binding, the decider may
// go on using a backend that disappears while it is ready, since a list that is wrongly empty must not cause an outage;
// then the adapter doesn't stand in its way.
func (s *simulation) setListedState(n *node, backendNumber int, state balancer.BackendState, started float64) {
	isDoubtful := state == balancer.BackendRemoved && n.listed[backendNumber] == balancer.BackendReady && s.experiment.Rules.RemovalIsHint
	if !isDoubtful {
		n.listed[backendNumber] = state
	}
	if n.listed[backendNumber] == balancer.BackendRemoved {
		n.idle[backendNumber] = nil
	}
	s.recordEvent(invariants.Event{Kind: invariants.EndpointNotified, Node: n.number, Backend: backendNumber, State: state, Started: started})
}

// pollEndpoints has a node ask the discovery service for the changes since its version, and watch from then on. A node
// that watches or polls already does nothing.
func (s *simulation) pollEndpoints(n *node) {
	if n.watching || n.polling {
		return
	}
	n.polling = true
	incarnation := n.incarnation
	s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		done, ok := s.callDiscovery(n)
		if s.faults.ListDown() {
			done, ok = s.now+failedPollMs, false
		}
		s.schedule(done+s.experiment.Fleet.LocalDelayMs, func() {
			if n.incarnation == incarnation && n.alive {
				s.pollEnded(n, ok)
			}
		})
	})
}

// callDiscovery charges the discovery service with a response to a node. It returns when the service responds, in ms,
// and whether with success.
func (s *simulation) callDiscovery(n *node) (done float64, ok bool) {
	return s.discovery.Call(s.now, max(1, len(s.discovery.ChangesSince(n.version))))
}

// pollEnded gives a node the response of its poll.
func (s *simulation) pollEnded(n *node, ok bool) {
	n.polling = false
	if !ok || s.faults.ListDown() {
		n.decider.PollFailed(s.now)
	} else {
		n.watching = true
		s.sendChanges(n)
	}
	s.carryOutDecisions(n)
}

// sendChanges gives a node all changes of the endpoint list since its version.
func (s *simulation) sendChanges(n *node) {
	entries, version := s.discovery.ChangesSince(n.version), s.discovery.Version()
	n.version = version
	s.applyEndpoints(n, entries, false, false)
}

// schedulePublish schedules publish for the time at which the discovery service learns of its next change.
func (s *simulation) schedulePublish() {
	if due := s.discovery.NextPublish(); !math.IsInf(due, 1) {
		s.schedule(due, s.publish)
	}
}

// publish has the discovery service send what it learned to all nodes that watch.
func (s *simulation) publish() {
	if !s.discovery.Advance(s.now) {
		return
	}
	s.schedulePublish()
	if s.faults.ListDown() {
		return
	}
	for _, n := range s.nodes {
		if !n.alive || !n.watching {
			continue
		}
		incarnation := n.incarnation
		done, ok := s.callDiscovery(n)
		s.schedule(done+s.experiment.Fleet.LocalDelayMs, func() {
			if n.incarnation == incarnation && n.watching {
				s.watchEvent(n, ok)
			}
		})
	}
}

// watchEvent gives a node the next event of its watch, or ends the watch where the service failed.
func (s *simulation) watchEvent(n *node, ok bool) {
	if !ok {
		n.watching = false
		n.decider.PollFailed(s.now)
	} else if n.version < s.discovery.Version() {
		s.sendChanges(n)
	}
	s.carryOutDecisions(n)
}

// breakWatch ends a node's watch when the discovery service goes down; the node notices one network delay later.
func (s *simulation) breakWatch(n *node) {
	if !n.alive || !n.watching {
		return
	}
	n.watching = false
	incarnation := n.incarnation
	s.schedule(s.now+s.experiment.Fleet.LocalDelayMs, func() {
		if n.incarnation == incarnation && n.alive {
			n.decider.PollFailed(s.now)
			s.carryOutDecisions(n)
		}
	})
}

// updateList tells the discovery service of a backend's new state. While the list is wrongly empty nothing is recorded:
// the list is built anew from the backends' states when that fault ends.
func (s *simulation) updateList(b *backend, state balancer.BackendState) {
	if s.faults.ListEmpty() {
		return
	}
	s.discovery.Update(s.now, s.faults.ListLag(), discoverystub.Entry{Backend: b.number, State: state, Started: b.StartTime()})
	s.schedulePublish()
}

// emptyList has the discovery service list all backends as removed, or, when that fault ends, those that are up as
// ready.
func (s *simulation) emptyList(empty bool) {
	for _, b := range s.backends {
		state := balancer.BackendRemoved
		if !empty && b.Up() {
			state = balancer.BackendReady
		}
		s.discovery.Update(s.now, 0, discoverystub.Entry{Backend: b.number, State: state, Started: b.StartTime()})
	}
	s.schedulePublish()
}
