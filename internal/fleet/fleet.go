package fleet

import (
	"maps"
	"slices"
)

// Fleet decides what is to be done about the instances of one host. It is not safe for concurrent use.
type Fleet struct {
	State
	timing        Timing
	observations  map[string]Observation
	sourceDigests map[string]SourceDigest // by source of the list
	orderIndex    map[string]int          // of names in the order of the change whose id is placed
	orderIndexOf  uint64
}

// New returns a fleet that continues from stored state; the zero State is an empty fleet.
func New(s State, t Timing) *Fleet {
	if len(s.Generations) == 0 {
		s.Generations = []Generation{{Set: Set{}}}
	}
	if s.Records == nil {
		s.Records = map[string]Record{}
	}
	return &Fleet{State: s, timing: t, observations: map[string]Observation{}, sourceDigests: map[string]SourceDigest{}}
}

// Current returns the generation that was declared last.
func (f *Fleet) Current() Generation { return f.Generations[len(f.Generations)-1] }

// Generation returns a generation by its number, if it is still stored.
func (f *Fleet) Generation(number uint64) (Generation, bool) {
	for _, g := range f.Generations {
		if g.Number == number {
			return g, true
		}
	}
	return Generation{}, false
}

// Latest returns the latest change, or nil before the first.
func (f *Fleet) Latest() *Change {
	if len(f.Changes) == 0 {
		return nil
	}
	return &f.Changes[len(f.Changes)-1]
}

func (f *Fleet) nextID() uint64 {
	if l := f.Latest(); l != nil {
		return l.ID + 1
	}
	return 1
}

// dropOldHistory keeps the latest generations and changes, within maxGenerations and maxChanges.
func (f *Fleet) dropOldHistory() {
	f.Generations = f.Generations[max(0, len(f.Generations)-maxGenerations):]
	f.Changes = f.Changes[max(0, len(f.Changes)-maxChanges):]
}

// Names returns the names of all instances that are declared, have a record, or are part of the change in progress, sorted.
func (f *Fleet) Names() []string {
	all := make([]string, 0, len(f.Records)+len(f.Current().Set))
	for name := range f.Current().Set {
		all = append(all, name)
	}
	for name := range f.Records {
		if _, declared := f.Current().Set[name]; !declared {
			all = append(all, name)
		}
	}
	if c := f.Latest(); c != nil && !c.Status.IsFinal() { // one that was declared, never ran, and is to go
		for _, name := range c.Order {
			if _, declared := f.Current().Set[name]; !declared && f.Records[name].Name == "" {
				all = append(all, name)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// DeclareRunning makes the instances that were found running the declared set, after the stored state was lost. Nothing is
// rolled out for it.
func (f *Fleet) DeclareRunning(now float64, set Set, why string) {
	number := f.Current().Number + 1
	if l := f.Latest(); l != nil && !l.Status.IsFinal() {
		l.Status, l.EndedAt, l.Failure = Stuck, now, "the state was lost on the way"
	}
	f.Generations = append(f.Generations, Generation{number, set})
	f.Changes = append(f.Changes, Change{ID: f.nextID(), StartedAt: now, Author: "agent", Reason: why, Command: "recover", From: number - 1, To: number,
		Status: Succeeded, EndedAt: now})
	f.Revision++
	f.dropOldHistory()
}

// CopyState returns a copy of the state. RestoreState takes it back if what followed could not be stored.
func (f *Fleet) CopyState() State {
	s := f.State
	s.Generations, s.Changes, s.Records = slices.Clone(s.Generations), slices.Clone(s.Changes), maps.Clone(s.Records)
	if n := len(s.Changes); n > 0 { // the others are over
		s.Changes[n-1] = s.Changes[n-1].Clone()
	}
	return s
}

// RestoreState replaces the state by a copy.
func (f *Fleet) RestoreState(s State) { f.State, f.orderIndex = s, nil }
