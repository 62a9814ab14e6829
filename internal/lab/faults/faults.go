// Package faults turns an experiment's schedule into switches, each with whom it hits, and keeps what is on at a
// moment. Troubles may overlap, on one machine too. It holds no clock and does no I/O.
package faults

import (
	"math/rand/v2"
	"slices"

	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/lab/experiment"
)

// Switch is a trouble's beginning or end.
type Switch struct {
	At      float64 // ms
	On      bool
	Index   int   // of the trouble in the experiment
	Targets []int // backends or nodes by number
}

// Schedule picks whom each trouble hits, by seed, and orders the switches by time.
func Schedule(e *experiment.Experiment, seed uint64) []Switch {
	var all []Switch
	for i, t := range e.Trouble {
		targets := pick(e, t, rand.New(rand.NewPCG(seed, uint64(i)+77)))
		all = append(all, Switch{t.At * 1e3, true, i, targets}, Switch{t.Ends(), false, i, targets})
	}
	slices.SortStableFunc(all, func(a, b Switch) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		case a.On != b.On && b.On: // what ends makes room for what begins
			return -1
		case a.On != b.On:
			return 1
		}
		return 0
	})
	return all
}

func pick(e *experiment.Experiment, t experiment.Trouble, rng *rand.Rand) []int {
	of, zone := e.Fleet.Backends, slices.Index(e.Fleet.Zones, t.Zone)
	if t.Kind == experiment.Nodes || t.Kind == experiment.Quiesce || t.Kind == experiment.Upgrade {
		of = e.Fleet.Nodes
	}
	var all []int
	for k := range of {
		if (zone < 0 || k%len(e.Fleet.Zones) == zone) && (t.Machine == "" || e.Machines[e.MachineOf(k)].Name == t.Machine) {
			all = append(all, k)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := t.Count
	if n == 0 {
		n = int(t.Share*float64(len(all)) + 0.5)
		if n == 0 && t.Share > 0 {
			n = 1
		}
	}
	all = all[:min(n, len(all))]
	slices.Sort(all)
	return all
}

// Joining are the backends that are not there from the start.
func Joining(e *experiment.Experiment, switches []Switch) map[int]bool {
	all := map[int]bool{}
	for _, s := range switches {
		if e.Trouble[s.Index].Kind == experiment.Join {
			for _, k := range s.Targets {
				all[k] = true
			}
		}
	}
	return all
}

// State is what is on.
type State struct {
	e  *experiment.Experiment
	on map[int][]int // targets, by index of the trouble
}

// NewState begins with nothing on.
func NewState(e *experiment.Experiment) *State { return &State{e, map[int][]int{}} }

// Put takes a switch.
func (s *State) Put(w Switch) {
	if w.On {
		s.on[w.Index] = w.Targets
	} else {
		delete(s.on, w.Index)
	}
}

// each goes over what is on, in the order of the file: the same sums on every run.
func (s *State) each(kind string, f func(experiment.Trouble, []int)) {
	for i, t := range s.e.Trouble {
		if targets, on := s.on[i]; on && t.Kind == kind {
			f(t, targets)
		}
	}
}

// Machine is all that is on for one backend.
func (s *State) Machine(b int) (m backendmodel.Faults) {
	hit := func(kind string, f func(experiment.Trouble)) {
		s.each(kind, func(t experiment.Trouble, targets []int) {
			if slices.Contains(targets, b) {
				f(t)
			}
		})
	}
	hit(experiment.Swallow, func(experiment.Trouble) { m.NoResponse = true })
	hit(experiment.Errors, func(t experiment.Trouble) { m.ErrorShare = 1 - (1-m.ErrorShare)*(1-t.Chance) })
	hit(experiment.Slow, func(t experiment.Trouble) { m.Slowdown = max(m.Slowdown, 1) * t.Factor })
	hit(experiment.Stuck, func(t experiment.Trouble) { m.Slowdown, m.ReportFrozen = max(m.Slowdown, 1)*t.Factor, true })
	hit(experiment.Pauses, func(t experiment.Trouble) { m.PauseInterval, m.PauseDuration = t.EveryMs, t.PauseMs })
	hit(experiment.Lies, func(t experiment.Trouble) { m.ReportFactor = t.Factor })
	return m
}

// Burst is the factor on the load.
func (s *State) Burst() float64 {
	f := 1.0
	s.each(experiment.Burst, func(t experiment.Trouble, _ []int) { f *= t.Factor })
	return f
}

// MostBurst bounds Burst at any time.
func MostBurst(e *experiment.Experiment) float64 {
	f := 1.0
	for _, t := range e.Trouble {
		if t.Kind == experiment.Burst && t.Factor > 1 {
			f *= t.Factor
		}
	}
	return f
}

// Costly is the chance that an op of a category costs more, and by how much.
func (s *State) Costly(category int) (chance, factor float64) {
	s.each(experiment.Costly, func(t experiment.Trouble, _ []int) {
		if s.e.Category[category].Name == t.Category {
			chance, factor = t.Chance, t.Factor
		}
	})
	return chance, factor
}

// Fells is the chance that an op of a category brings down the backend that begins it.
func (s *State) Fells(category int) (chance float64) {
	s.each(experiment.Fell, func(t experiment.Trouble, _ []int) {
		if s.e.Category[category].Name == t.Category {
			chance = t.Chance
		}
	})
	return chance
}

// DownFor is how long a backend that was brought down stays so, in ms.
func (s *State) DownFor() (ms float64) {
	for _, t := range s.e.Trouble { // an op may come again after the trouble's end
		if t.Kind == experiment.Fell {
			ms = t.PauseMs
		}
	}
	return ms
}

// Connections is how many a backend takes at most; 0 is no limit.
func (s *State) Connections(b int) (most int) {
	s.each(experiment.Squeeze, func(t experiment.Trouble, targets []int) {
		if slices.Contains(targets, b) {
			most = max(int(t.Factor), 1)
		}
	})
	return most
}

// Emptied tells whether the list calls every backend gone.
func (s *State) Emptied() (empty bool) {
	s.each(experiment.ListEmpty, func(experiment.Trouble, []int) { empty = true })
	return empty
}

// Cut tells whether two zones have no way to each other.
func (s *State) Cut(a, b int) (cut bool) {
	if a == b {
		return false
	}
	s.each(experiment.Cut, func(t experiment.Trouble, _ []int) {
		z := slices.Index(s.e.Fleet.Zones, t.Zone)
		cut = cut || a == z || b == z
	})
	return cut
}

// Lag is how far the list runs behind, in ms.
func (s *State) Lag() float64 {
	lag := s.e.List.LagMs
	s.each(experiment.ListLate, func(t experiment.Trouble, _ []int) { lag *= t.Factor })
	return lag
}

// ListDown tells whether the list's service answers nobody.
func (s *State) ListDown() (down bool) {
	s.each(experiment.ListDown, func(experiment.Trouble, []int) { down = true })
	return down
}
