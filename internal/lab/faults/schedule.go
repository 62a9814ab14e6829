// Package faults turns an experiment's faults into a schedule of transitions, each with its targets, and holds which
// faults are active. Faults may overlap, also on one machine. It does no I/O and holds no clock.
package faults

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"pearknot/internal/lab/experiment"
)

// Transition is the beginning or the end of a fault.
type Transition struct {
	At      float64 // ms
	On      bool    // true if the fault begins, false if it ends
	Index   int     // of the fault in the experiment
	Targets []int   // numbers of backends or nodes, by the kind of fault
}

// Schedule selects the targets of each fault by the seed, and returns all transitions in order of time.
func Schedule(e *experiment.Experiment, seed uint64) []Transition {
	var transitions []Transition
	for i, fault := range e.Faults {
		targets := selectTargets(e, fault, rand.New(rand.NewPCG(seed, uint64(i)+77)))
		transitions = append(transitions,
			Transition{At: fault.StartSeconds * 1e3, On: true, Index: i, Targets: targets},
			Transition{At: fault.EndMs(), On: false, Index: i, Targets: targets})
	}
	slices.SortStableFunc(transitions, compareTransitions)
	return transitions
}

// compareTransitions orders transitions by time. Of those at the same time, ends come first: a backend restarted by the end of
// one fault can then be hit by the next.
func compareTransitions(a, b Transition) int {
	switch {
	case a.At != b.At:
		return cmp.Compare(a.At, b.At)
	case a.On == b.On:
		return 0
	case b.On:
		return -1
	}
	return 1
}

// selectTargets draws a fault's targets among the nodes or backends in its zone and with its kind of machine, and
// returns them in ascending order.
func selectTargets(e *experiment.Experiment, fault experiment.Fault, rng *rand.Rand) []int {
	population, zone := e.Fleet.Backends, slices.Index(e.Fleet.Zones, fault.Zone)
	if fault.Kind == experiment.FaultNodeCrash || fault.Kind == experiment.FaultQuiesce || fault.Kind == experiment.FaultUpgrade {
		population = e.Fleet.Nodes
	}
	var candidates []int
	for number := range population {
		inZone := zone < 0 || number%len(e.Fleet.Zones) == zone
		if inZone && (fault.Machine == "" || e.Machines[e.MachineOf(number)].Name == fault.Machine) {
			candidates = append(candidates, number)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	targets := candidates[:min(targetCount(fault, len(candidates)), len(candidates))]
	slices.Sort(targets)
	return targets
}

// targetCount returns the number of targets of a fault: its count, or its share of the candidates, rounded to at least one.
func targetCount(fault experiment.Fault, candidates int) int {
	if fault.Count != 0 {
		return fault.Count
	}
	count := int(fault.Share*float64(candidates) + 0.5)
	if count == 0 && fault.Share > 0 {
		return 1
	}
	return count
}

// JoiningBackends returns the backends that don't exist from the start, but join during the experiment.
func JoiningBackends(e *experiment.Experiment, schedule []Transition) map[int]bool {
	joining := map[int]bool{}
	for _, transition := range schedule {
		if e.Faults[transition.Index].Kind != experiment.FaultScaleUp {
			continue
		}
		for _, backend := range transition.Targets {
			joining[backend] = true
		}
	}
	return joining
}
