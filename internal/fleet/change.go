package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Propose begins a change to another set of instances. Of two changes that are based on one revision exactly one is
// accepted; the other gets a *ConflictError. The instances that differ are changed in the order of their names.
func (f *Fleet) Propose(now float64, revision uint64, target Set, change Change) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	latest := f.Latest()
	if latest != nil && !latest.Status.IsFinal() {
		return Change{}, &BusyError{latest.Clone()}
	}
	if err := validate(target); err != nil {
		return Change{}, err
	}
	from := f.Current()
	if latest != nil && latest.Status == Stuck {
		// What runs is a mixture of two generations. It becomes a generation of its own, to which a rollback may
		// return.
		from = Generation{from.Number + 1, f.effectiveSet()}
	}
	order := f.changeOrder(from.Set, target)
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
		f.clearFailures(name)
	}
	f.Generations = append(f.Generations, Generation{Number: change.To, Set: target.Clone()})
	f.Changes = append(f.Changes, change)
	f.Revision++
	f.dropOldHistory()
	f.advanceChange(now)
	return f.Latest().Clone(), nil
}

// changeOrder returns the instances that a change touches: those that differ, and those in a crash loop, which are
// started again even where nothing in them changes.
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

// clearFailures lets an instance be started again at once in spite of its failures, since an operator has changed it.
func (f *Fleet) clearFailures(name string) {
	if record, ok := f.Records[name]; ok {
		record.CrashLooping, record.Failures, record.NextStartAt = false, nil, 0
		f.Records[name] = record
	}
}

// RollBack reverses the change in progress: the instances that it has reached go back to the generation before. It
// fails with a *ConflictError for another revision than the current one, and with a *BusyError during a rollback.
func (f *Fleet) RollBack(now float64, revision uint64, author, reason string) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	latest := f.Latest()
	if latest == nil || latest.Status.IsFinal() {
		return Change{}, errors.New("no change in progress: roll back to a generation by its number")
	}
	if latest.Status == RollingBack {
		return Change{}, &BusyError{latest.Clone()}
	}
	f.Revision++
	f.startRollback(now, fmt.Sprintf("rolled back by %s: %s", author, reason))
	return latest.Clone(), nil
}

// validate refuses a set with a name that is not valid as a file name, an unknown desired state, or two running
// instances at one address. Port 0 is exempt: the kernel gives each instance its own.
func validate(set Set) error {
	nameByAddress := map[string]string{}
	for _, name := range set.Names() {
		instance := set[name]
		if name == "" || name != instance.Name || strings.ContainsAny(name, "/ \x00") || strings.HasPrefix(name, ".") {
			return fmt.Errorf("instance %q: not a valid file name", name)
		}
		if instance.Desired != Running && instance.Desired != Stopped {
			return fmt.Errorf("instance %s: wanted is %q, not running or stopped", name, instance.Desired)
		}
		if instance.Desired == Running {
			if other, taken := nameByAddress[instance.Listen]; taken && !strings.HasSuffix(instance.Listen, ":0") {
				return fmt.Errorf("instance %s: listens on %s, as %s does", name, instance.Listen, other)
			}
			nameByAddress[instance.Listen] = name
		}
	}
	return nil
}

// Differences returns the names of the instances that differ between two sets, sorted.
func Differences(from, to Set) []string {
	var names []string
	for name, instance := range to {
		if former, existed := from[name]; !existed || former != instance {
			names = append(names, name)
		}
	}
	for name := range from {
		if _, exists := to[name]; !exists {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// target returns the declaration that applies to an instance now. Within a change in progress, or one that is stuck,
// that of an instance that it has not reached is still the one of the generation before. The second result is false
// if the instance is not to exist.
func (f *Fleet) target(name string) (Instance, bool) {
	current := f.Current()
	if change := f.Latest(); change != nil && (!change.Status.IsFinal() || change.Status == Stuck) {
		if position, isPart := f.orderPosition(change, name); isPart && position >= change.Reached {
			if from, ok := f.Generation(change.From); ok {
				instance, exists := from.Set[name]
				return instance, exists
			}
		}
	}
	instance, exists := current.Set[name]
	return instance, exists
}

// effectiveSet returns the declarations that apply to all instances now.
func (f *Fleet) effectiveSet() Set {
	set := Set{}
	for _, name := range f.Names() {
		if instance, declared := f.target(name); declared {
			set[name] = instance
		}
	}
	return set
}

// orderPosition returns an instance's position in a change's order. The index is rebuilt if it belongs to another
// change.
func (f *Fleet) orderPosition(change *Change, name string) (int, bool) {
	if f.orderIndexChangeID != change.ID || f.orderIndex == nil {
		f.orderIndexChangeID, f.orderIndex = change.ID, make(map[string]int, len(change.Order))
		for position, ordered := range change.Order {
			f.orderIndex[ordered] = position
		}
	}
	position, isPart := f.orderIndex[name]
	return position, isPart
}

// isChanging reports whether an instance is part of the change in progress.
func (f *Fleet) isChanging(name string) bool {
	change := f.Latest()
	if change == nil || change.Status.IsFinal() {
		return false
	}
	_, isPart := f.orderPosition(change, name)
	return isPart
}

// advanceChange extends the change in progress to the next instances once those before them are healthy, within
// MaxUnavailable and Canary. An instance that fails stops the change, even one that was healthy before.
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
			change.markHealthy(now, name)
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

// markHealthy records that an instance is healthy now. Once it has been so for HealthMs, the next ones may follow.
func (c *Change) markHealthy(now float64, name string) {
	if _, known := c.HealthySince[name]; !known {
		c.HealthySince[name] = now
	}
	if now-c.HealthySince[name] >= c.Options.HealthMs {
		c.Healthy[name] = true
	}
}

// advanceRollback rolls back further instances, at most MaxUnavailable at a time, as the change did.
func (f *Fleet) advanceRollback(now float64, change *Change) {
	unavailable := 0
	for _, name := range change.Order[change.Reached:change.MaxReached] {
		if f.isHealthy(now, name) {
			continue
		}
		unavailable++
		if verdict, reason := f.Verdict(now, name); verdict.needsOperator() {
			change.Status, change.EndedAt = Stuck, now
			change.Failure += fmt.Sprintf("; and back: %s: %s: %s", name, verdict, reason)
			return
		}
	}
	for change.Reached > 0 && unavailable < change.Options.MaxUnavailable {
		change.Reached--
		unavailable++
	}
	if unavailable == 0 {
		change.Status, change.EndedAt = RolledBack, now
		if from, ok := f.Generation(change.From); ok { // declared under a new number, since numbers only grow
			f.Generations = append(f.Generations, Generation{Number: f.Current().Number + 1, Set: from.Set.Clone()})
			f.dropOldHistory()
		}
	}
}

// failureOf returns the failure of an instance that stops the change, or an empty string.
func (f *Fleet) failureOf(now float64, name string) string {
	if verdict, reason := f.Verdict(now, name); verdict.needsOperator() {
		return string(verdict) + ": " + reason
	}
	record := f.Records[name]
	if count := len(record.Failures); count > 0 && record.Failures[count-1] > f.Latest().StartedAt {
		return "did not stay up: " + record.LastFailure
	}
	return ""
}

// failChange stops the change, and rolls it back unless NoRollback is set.
func (f *Fleet) failChange(now float64, reason string) {
	change := f.Latest()
	if change.Options.NoRollback {
		change.Status, change.Failure, change.EndedAt = Stuck, reason, now
		return
	}
	f.startRollback(now, reason)
}

// startRollback begins to roll back all reached instances. Those that are not healthy are rolled back at once, since
// they serve no requests; the others follow within MaxUnavailable.
func (f *Fleet) startRollback(now float64, reason string) {
	change := f.Latest()
	change.Status, change.Failure, change.MaxReached = RollingBack, reason, change.Reached
	var healthy, unhealthy []string
	for _, name := range change.Order[:change.Reached] {
		if f.isHealthy(now, name) {
			healthy = append(healthy, name)
		} else {
			unhealthy = append(unhealthy, name)
		}
		f.clearFailures(name)
	}
	copy(change.Order, append(healthy, unhealthy...))
	change.Reached, f.orderIndex = len(healthy), nil
	f.advanceChange(now)
}
