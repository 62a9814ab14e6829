package fleet

import (
	"maps"
	"slices"
)

// Fleet plans the steps for the instances of one host. It is not safe for concurrent use.
type Fleet struct {
	State
	timing             Timing
	observations       map[string]Observation  // by name, also outdated ones: see Observation
	sourceDigests      map[string]SourceDigest // by address of the endpoint list's source
	orderIndex         map[string]int          // positions of names in Change.Order, see orderPosition
	orderIndexChangeID uint64                  // ID of the change that orderIndex belongs to
}

// New returns a fleet that continues from stored state; the zero State is an empty fleet.
func New(state State, timing Timing) *Fleet {
	if len(state.Generations) == 0 {
		state.Generations = []Generation{{Set: Set{}}}
	}
	if state.Records == nil {
		state.Records = map[string]Record{}
	}
	return &Fleet{
		State:         state,
		timing:        timing,
		observations:  map[string]Observation{},
		sourceDigests: map[string]SourceDigest{},
	}
}

// Current returns the generation that was declared last.
func (f *Fleet) Current() Generation { return f.Generations[len(f.Generations)-1] }

// Generation returns a generation by its number, if it is still stored.
func (f *Fleet) Generation(number uint64) (Generation, bool) {
	for _, generation := range f.Generations {
		if generation.Number == number {
			return generation, true
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

// nextID returns the ID of the next change.
func (f *Fleet) nextID() uint64 {
	if latest := f.Latest(); latest != nil {
		return latest.ID + 1
	}
	return 1
}

// dropOldHistory keeps the latest generations and changes, within maxGenerations and maxChanges.
func (f *Fleet) dropOldHistory() {
	f.Generations = f.Generations[max(0, len(f.Generations)-maxGenerations):]
	f.Changes = f.Changes[max(0, len(f.Changes)-maxChanges):]
}

// Names returns the names of all instances that are declared, have a record, or are part of the change in progress,
// sorted.
func (f *Fleet) Names() []string {
	names := make([]string, 0, len(f.Records)+len(f.Current().Set))
	for name := range f.Current().Set {
		names = append(names, name)
	}
	for name := range f.Records {
		if _, declared := f.Current().Set[name]; !declared {
			names = append(names, name)
		}
	}
	if change := f.Latest(); change != nil && !change.Status.IsFinal() {
		// An instance that was declared, never ran, and is to be removed has no record and is no longer declared.
		for _, name := range change.Order {
			if _, declared := f.Current().Set[name]; !declared && f.Records[name].Name == "" {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// DeclareRunning makes the instances that were found running the declared set, after the stored state was lost.
// Nothing is rolled out for it.
func (f *Fleet) DeclareRunning(now float64, set Set, reason string) {
	number := f.Current().Number + 1
	if latest := f.Latest(); latest != nil && !latest.Status.IsFinal() {
		latest.Status, latest.EndedAt, latest.Failure = Stuck, now, "the state was lost on the way"
	}
	f.Generations = append(f.Generations, Generation{number, set})
	f.Changes = append(f.Changes, Change{
		ID:        f.nextID(),
		StartedAt: now,
		Author:    "agent",
		Reason:    reason,
		Command:   "recover",
		From:      number - 1,
		To:        number,
		Status:    Succeeded,
		EndedAt:   now,
	})
	f.Revision++
	f.dropOldHistory()
}

// CopyState returns a copy of the state. RestoreState restores it if what followed could not be stored.
func (f *Fleet) CopyState() State {
	state := f.State
	state.Generations = slices.Clone(state.Generations)
	state.Changes = slices.Clone(state.Changes)
	state.Records = maps.Clone(state.Records)
	if count := len(state.Changes); count > 0 { // those before the latest are over and no longer written to
		state.Changes[count-1] = state.Changes[count-1].Clone()
	}
	return state
}

// RestoreState replaces the state by a copy.
func (f *Fleet) RestoreState(state State) { f.State, f.orderIndex = state, nil }
