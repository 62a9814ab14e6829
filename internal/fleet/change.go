package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Propose begins a change to another set of instances. Of two changes that are based on one revision exactly one is accepted;
// the other gets a *ConflictError. The instances that differ are changed in the order of their names.
func (f *Fleet) Propose(now float64, revision uint64, to Set, change Change) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	latest := f.Latest()
	if latest != nil && !latest.Status.IsFinal() {
		return Change{}, &BusyError{latest.Clone()}
	}
	if err := validate(to); err != nil {
		return Change{}, err
	}
	from := f.Current()
	if latest != nil && latest.Status == Stuck { // what runs is a mixture of two generations: it becomes one of its own
		from = Generation{from.Number + 1, f.effective()}
	}
	order := f.changeOrder(from.Set, to)
	if len(order) == 0 {
		return Change{}, ErrNoChange
	}
	if from.Number > f.Current().Number {
		f.Generations = append(f.Generations, from)
	}
	change.ID, change.StartedAt, change.From, change.To = f.nextID(), now, from.Number, from.Number+1
	change.Order, change.Status = order, Rolling
	change.HealthySince, change.Healthy = map[string]float64{}, map[string]bool{}
	change.Options.MaxUnavailable = max(change.Options.MaxUnavailable, 1)
	for _, name := range order {
		f.forgetFailures(name)
	}
	f.Generations = append(f.Generations, Generation{Number: change.To, Set: to.Clone()})
	f.Changes = append(f.Changes, change)
	f.Revision++
	f.dropOldHistory()
	f.advanceChange(now)
	return f.Latest().Clone(), nil
}

// changeOrder returns the instances that a change touches: those that differ, and those in a crash loop, which are started
// again even where nothing in them changes.
func (f *Fleet) changeOrder(from, to Set) []string {
	order := Differences(from, to)
	for name := range to {
		if f.Records[name].CrashLooping && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	slices.Sort(order)
	return order
}

// forgetFailures lets an instance be started again at once, whatever its failures: an operator has changed it.
func (f *Fleet) forgetFailures(name string) {
	if record, ok := f.Records[name]; ok {
		record.CrashLooping, record.Failures, record.NextStartAt = false, nil, 0
		f.Records[name] = record
	}
}

// RollBack turns the change in progress: what it has reached goes back to the generation before.
func (f *Fleet) RollBack(now float64, revision uint64, author, reason string) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	l := f.Latest()
	if l == nil || l.Status.IsFinal() {
		return Change{}, errors.New("no change is on its way: roll back to a generation by its number")
	}
	if l.Status == RollingBack {
		return Change{}, &BusyError{l.Clone()}
	}
	f.Revision++
	f.startRollback(now, fmt.Sprintf("rolled back by %s: %s", author, reason))
	return l.Clone(), nil
}

// validate refuses a set in which two instances would get in each other's way.
func validate(s Set) error {
	at := map[string]string{}
	for _, name := range s.Names() {
		i := s[name]
		if name == "" || name != i.Name || strings.ContainsAny(name, "/ \x00") || strings.HasPrefix(name, ".") {
			return fmt.Errorf("instance %q: no name for a file", name)
		}
		if i.Desired != Running && i.Desired != Stopped {
			return fmt.Errorf("instance %s: wanted is %q, not running or stopped", name, i.Desired)
		}
		if i.Desired == Running {
			if other, taken := at[i.Listen]; taken && !strings.HasSuffix(i.Listen, ":0") {
				return fmt.Errorf("instance %s: listens on %s, as %s does", name, i.Listen, other)
			}
			at[i.Listen] = name
		}
	}
	return nil
}

// Differences returns the names of the instances that differ between two sets, sorted.
func Differences(a, b Set) []string {
	var names []string
	for name, i := range b {
		if was, had := a[name]; !had || was != i {
			names = append(names, name)
		}
	}
	for name := range a {
		if _, has := b[name]; !has {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// target returns what an instance is to be now. Within a change in progress, or one that is stuck, instances that it has not
// reached are still to be as in the generation before. The second result is false if the instance is not to exist.
func (f *Fleet) target(name string) (Instance, bool) {
	now := f.Current()
	if c := f.Latest(); c != nil && (!c.Status.IsFinal() || c.Status == Stuck) {
		if k, in := f.orderOf(c, name); in && k >= c.Reached {
			if from, ok := f.Generation(c.From); ok {
				i, has := from.Set[name]
				return i, has
			}
		}
	}
	i, has := now.Set[name]
	return i, has
}

// effective returns what all instances are to be now.
func (f *Fleet) effective() Set {
	set := Set{}
	for _, name := range f.Names() {
		if i, declared := f.target(name); declared {
			set[name] = i
		}
	}
	return set
}

// orderOf returns an instance's position in a change's order. The index is rebuilt when another change is asked about.
func (f *Fleet) orderOf(c *Change, name string) (int, bool) {
	if f.orderIndexOf != c.ID || f.orderIndex == nil {
		f.orderIndexOf, f.orderIndex = c.ID, make(map[string]int, len(c.Order))
		for k, n := range c.Order {
			f.orderIndex[n] = k
		}
	}
	k, in := f.orderIndex[name]
	return k, in
}

// isChanging reports whether an instance is part of the change in progress.
func (f *Fleet) isChanging(name string) bool {
	c := f.Latest()
	if c == nil || c.Status.IsFinal() {
		return false
	}
	_, in := f.orderOf(c, name)
	return in
}

// advanceChange lets the change in progress reach the next instances once those before them are healthy, within
// MaxUnavailable and Canary. An instance that fails stops the change, also one that was healthy before.
func (f *Fleet) advanceChange(now float64) {
	change := f.Latest()
	if change == nil || change.Status.IsFinal() {
		return
	}
	if change.Status == RollingBack {
		f.advanceRollback(now, change)
		return
	}
	for _, name := range change.Order[:change.Reached] {
		if !change.Healthy[name] && f.isHealthy(now, name) {
			change.noteHealthy(now, name)
			continue
		}
		if !change.Healthy[name] {
			delete(change.HealthySince, name)
		}
		if failure := f.failureOf(now, name); failure != "" {
			f.failChange(now, name+": "+failure)
			return
		}
	}
	if len(change.Healthy) == len(change.Order) {
		change.Status, change.EndedAt = Succeeded, now
		return
	}
	limit := len(change.Order)
	if canary := min(change.Options.Canary, limit); len(change.Healthy) < canary {
		limit = canary
	}
	for change.Reached < limit && change.Reached-len(change.Healthy) < change.Options.MaxUnavailable {
		change.Reached++
	}
}

// noteHealthy records that an instance is healthy now; after HealthMs of it the next ones may follow.
func (c *Change) noteHealthy(now float64, name string) {
	if _, known := c.HealthySince[name]; !known {
		c.HealthySince[name] = now
	}
	if now-c.HealthySince[name] >= c.Options.HealthMs {
		c.Healthy[name] = true
	}
}

// advanceRollback takes further instances back, no more at once than the change went forward.
func (f *Fleet) advanceRollback(now float64, c *Change) {
	out := 0
	for _, name := range c.Order[c.Reached:c.MaxReached] {
		if f.isHealthy(now, name) {
			continue
		}
		out++
		if v, why := f.Verdict(now, name); v == VerdictCrashLoop || v == VerdictWrongList || v == VerdictForeign {
			c.Status, c.EndedAt = Stuck, now
			c.Failure += fmt.Sprintf("; and back: %s: %s: %s", name, v, why)
			return
		}
	}
	for c.Reached > 0 && out < c.Options.MaxUnavailable {
		c.Reached--
		out++
	}
	if out == 0 {
		c.Status, c.EndedAt = RolledBack, now
		if from, ok := f.Generation(c.From); ok { // declared anew: numbers only grow
			f.Generations = append(f.Generations, Generation{Number: f.Current().Number + 1, Set: from.Set.Clone()})
			f.dropOldHistory()
		}
	}
}

// failureOf returns what stops the change at an instance, or nothing.
func (f *Fleet) failureOf(now float64, name string) string {
	switch v, why := f.Verdict(now, name); v {
	case VerdictWrongList, VerdictCrashLoop, VerdictForeign:
		return string(v) + ": " + why
	}
	c := f.Latest()
	if r := f.Records[name]; len(r.Failures) > 0 && r.Failures[len(r.Failures)-1] > c.StartedAt { // it failed since the change began
		return "did not stay up: " + r.LastFailure
	}
	return ""
}

// failChange stops the change, and rolls it back unless the operator has ruled that out.
func (f *Fleet) failChange(now float64, why string) {
	c := f.Latest()
	if c.Options.NoRollback {
		c.Status, c.Failure, c.EndedAt = Stuck, why, now
		return
	}
	f.startRollback(now, why)
}

// startRollback has all reached instances go back. Those that are not healthy go at once, since they serve nobody; the others
// follow in their turn.
func (f *Fleet) startRollback(now float64, why string) {
	c := f.Latest()
	c.Status, c.Failure, c.MaxReached = RollingBack, why, c.Reached
	var well, not []string
	for _, name := range c.Order[:c.Reached] {
		if f.isHealthy(now, name) {
			well = append(well, name)
		} else {
			not = append(not, name)
		}
		f.forgetFailures(name)
	}
	copy(c.Order, append(well, not...))
	c.Reached, f.orderIndex = len(well), nil
	f.advanceChange(now)
}
