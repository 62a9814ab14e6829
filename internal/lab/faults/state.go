package faults

import (
	"slices"

	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
)

// State holds which faults are active. It is not safe for concurrent use.
type State struct {
	experiment *experiment.Experiment
	active     map[int][]int // targets by the fault's index in the experiment
}

// NewState returns a state without active faults.
func NewState(e *experiment.Experiment) *State {
	return &State{experiment: e, active: map[int][]int{}}
}

// Apply begins or ends a fault.
func (s *State) Apply(transition Transition) {
	if transition.On {
		s.active[transition.Index] = transition.Targets
	} else {
		delete(s.active, transition.Index)
	}
}

// forEach calls a function for each active fault of a kind, in the order of the experiment, so that products of
// factors are rounded alike on every run.
func (s *State) forEach(kind string, visit func(fault experiment.Fault, targets []int)) {
	for i, fault := range s.experiment.Faults {
		if targets, active := s.active[i]; active && fault.Kind == kind {
			visit(fault, targets)
		}
	}
}

// isActive reports whether a fault of a kind is active.
func (s *State) isActive(kind string) (active bool) {
	s.forEach(kind, func(experiment.Fault, []int) { active = true })
	return active
}

// BackendFaults returns the combined effects of all faults that are active on a backend's machine.
func (s *State) BackendFaults(backend int) (combined backendmodel.Faults) {
	combine := func(kind string, add func(fault experiment.Fault)) {
		s.forEach(kind, func(fault experiment.Fault, targets []int) {
			if slices.Contains(targets, backend) {
				add(fault)
			}
		})
	}
	combine(experiment.FaultSwallow, func(experiment.Fault) { combined.NoResponse = true })
	combine(experiment.FaultErrors, func(fault experiment.Fault) {
		combined.ErrorShare = 1 - (1-combined.ErrorShare)*(1-fault.Chance)
	})
	combine(experiment.FaultSlow, func(fault experiment.Fault) {
		combined.Slowdown = max(combined.Slowdown, 1) * fault.Factor
	})
	combine(experiment.FaultStuckReports, func(fault experiment.Fault) {
		combined.Slowdown = max(combined.Slowdown, 1) * fault.Factor
		combined.ReportFrozen = true
	})
	combine(experiment.FaultPauses, func(fault experiment.Fault) {
		combined.PauseInterval, combined.PauseDuration = fault.EveryMs, fault.PauseMs
	})
	combine(experiment.FaultWrongReports, func(fault experiment.Fault) { combined.ReportFactor = fault.Factor })
	return combined
}

// MaxConnections returns the number of connections that a backend accepts, or 0 without a limit.
func (s *State) MaxConnections(backend int) (limit int) {
	s.forEach(experiment.FaultConnectionLimit, func(fault experiment.Fault, targets []int) {
		if slices.Contains(targets, backend) {
			limit = max(int(fault.Factor), 1)
		}
	})
	return limit
}

// LoadFactor returns the factor of the active bursts on the rate of requests.
func (s *State) LoadFactor() float64 {
	factor := 1.0
	s.forEach(experiment.FaultBurst, func(fault experiment.Fault, _ []int) { factor *= fault.Factor })
	return factor
}

// MaxLoadFactor returns an upper bound of LoadFactor over the whole experiment.
func MaxLoadFactor(e *experiment.Experiment) float64 {
	factor := 1.0
	for _, fault := range e.Faults {
		if fault.Kind == experiment.FaultBurst && fault.Factor > 1 {
			factor *= fault.Factor
		}
	}
	return factor
}

// CostIncrease returns the probability that a request of a class costs more than its hint says, and the factor.
func (s *State) CostIncrease(class int) (chance, factor float64) {
	s.forEach(experiment.FaultCostly, func(fault experiment.Fault, _ []int) {
		if s.experiment.Classes[class].Name == fault.Class {
			chance, factor = fault.Chance, fault.Factor
		}
	})
	return chance, factor
}

// PoisonChance returns the probability that a request of a class crashes the backend that starts it.
func (s *State) PoisonChance(class int) (chance float64) {
	s.forEach(experiment.FaultPoisonRequests, func(fault experiment.Fault, _ []int) {
		if s.experiment.Classes[class].Name == fault.Class {
			chance = fault.Chance
		}
	})
	return chance
}

// PoisonDowntime returns the time that a backend stays down after a poison request, in ms. It doesn't depend on whether
// the fault is active: a poison request may be retried after the fault has ended.
func (s *State) PoisonDowntime() (downtime float64) {
	for _, fault := range s.experiment.Faults {
		if fault.Kind == experiment.FaultPoisonRequests {
			downtime = fault.PauseMs
		}
	}
	return downtime
}

// IsPartitioned reports whether two zones can't reach each other.
func (s *State) IsPartitioned(a, b int) (partitioned bool) {
	if a == b {
		return false
	}
	s.forEach(experiment.FaultZonePartition, func(fault experiment.Fault, _ []int) {
		zone := slices.Index(s.experiment.Fleet.Zones, fault.Zone)
		partitioned = partitioned || a == zone || b == zone
	})
	return partitioned
}

// ListEmpty reports whether the endpoint list wrongly lists every backend as removed.
func (s *State) ListEmpty() bool { return s.isActive(experiment.FaultListEmpty) }

// ListDown reports whether the discovery service is down.
func (s *State) ListDown() bool { return s.isActive(experiment.FaultListDown) }

// ListLag returns the lag of the endpoint list behind the actual state, in ms.
func (s *State) ListLag() float64 {
	lag := s.experiment.EndpointList.LagMs
	s.forEach(experiment.FaultListDelay, func(fault experiment.Fault, _ []int) { lag *= fault.Factor })
	return lag
}
