package fleet

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
)

// Fleet is the core. It is not for use by several at once.
type Fleet struct {
	State
	timing  Timing
	seen    map[string]Seen
	witness map[string]Witness // by source of the list
	places  map[string]int     // of names in the order of the change whose id is placed
	placed  uint64
}

// New begins with what was durable; a zero State is an empty fleet.
func New(s State, t Timing) *Fleet {
	if len(s.Generations) == 0 {
		s.Generations = []Generation{{Set: Set{}}}
	}
	if s.Records == nil {
		s.Records = map[string]Record{}
	}
	return &Fleet{State: s, timing: t, seen: map[string]Seen{}, witness: map[string]Witness{}}
}

// Current is the latest generation that was declared.
func (f *Fleet) Current() Generation { return f.Generations[len(f.Generations)-1] }

// Generation finds one by its number.
func (f *Fleet) Generation(number uint64) (Generation, bool) {
	for _, g := range f.Generations {
		if g.Number == number {
			return g, true
		}
	}
	return Generation{}, false
}

// Latest is the latest change; nil before the first.
func (f *Fleet) Latest() *Change {
	if len(f.Changes) == 0 {
		return nil
	}
	return &f.Changes[len(f.Changes)-1]
}

// Conflict is a write that was made from another revision than the present one.
type Conflict struct {
	Wanted, Present uint64
	Since           []Change // what changed in between
}

func (c *Conflict) Error() string {
	var by []string
	for _, x := range c.Since {
		by = append(by, fmt.Sprintf("change %d by %s (%s: %s)", x.ID, x.Author, x.What, x.Reason))
	}
	return fmt.Sprintf("made from revision %d, the fleet is at %d: %s", c.Wanted, c.Present, strings.Join(by, ", "))
}

// Busy is a write while a change is on its way.
type Busy struct{ Change Change }

func (b *Busy) Error() string {
	return fmt.Sprintf("change %d by %s is %s, %d of %d instances done: wait, or roll it back", b.Change.ID, b.Change.Author,
		b.Change.Status, len(b.Change.Done), len(b.Change.Order))
}

// ErrNothing is a change that changes nothing.
var ErrNothing = errors.New("nothing to change")

// Propose takes a change. Of two made from one revision exactly one is taken.
func (f *Fleet) Propose(now float64, revision uint64, to Set, c Change) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	if l := f.Latest(); l != nil && !l.Status.Over() {
		return Change{}, &Busy{l.Clone()}
	}
	if err := check(to); err != nil {
		return Change{}, err
	}
	from := f.Current()
	if l := f.Latest(); l != nil && l.Status == Stuck { // what stands is neither of its generations
		from = Generation{from.Number + 1, f.effective()}
	}
	order := Differences(from.Set, to)
	for name := range to { // what has failed for good is given another chance, though nothing in it changes
		if f.Records[name].Halted && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	if len(order) == 0 {
		return Change{}, ErrNothing
	}
	slices.Sort(order)
	if from.Number > f.Current().Number {
		f.Generations = append(f.Generations, from)
	}
	c.ID, c.At, c.From, c.To = f.nextID(), now, from.Number, from.Number+1
	c.Order, c.Status, c.Well, c.Done = order, Rolling, map[string]float64{}, map[string]bool{}
	c.Options.AtOnce = max(c.Options.AtOnce, 1)
	for _, name := range order { // what the operator changes is given another chance
		if r, ok := f.Records[name]; ok {
			r.Halted, r.Tries, r.NextAt = false, nil, 0
			f.Records[name] = r
		}
	}
	f.Generations = append(f.Generations, Generation{Number: c.To, Set: to.Clone()})
	f.Changes = append(f.Changes, c)
	f.Revision++
	f.trim()
	f.advance(now)
	return f.Latest().Clone(), nil
}

// Revert turns a change that is on its way.
func (f *Fleet) Revert(now float64, revision uint64, author, reason string) (Change, error) {
	if revision != f.Revision {
		return Change{}, f.conflict(revision)
	}
	l := f.Latest()
	if l == nil || l.Status.Over() {
		return Change{}, errors.New("no change is on its way: roll back to a generation by its number")
	}
	if l.Status == Reverting {
		return Change{}, &Busy{l.Clone()}
	}
	f.Revision++
	f.turn(now, fmt.Sprintf("rolled back by %s: %s", author, reason))
	return l.Clone(), nil
}

func (f *Fleet) conflict(revision uint64) *Conflict {
	c := &Conflict{Wanted: revision, Present: f.Revision}
	if missed := int(f.Revision) - int(revision); missed > 0 {
		c.Since = slices.Clone(f.Changes[max(0, len(f.Changes)-missed):])
	}
	return c
}

func (f *Fleet) nextID() uint64 {
	if l := f.Latest(); l != nil {
		return l.ID + 1
	}
	return 1
}

func (f *Fleet) trim() {
	f.Generations = f.Generations[max(0, len(f.Generations)-mostGenerations):]
	f.Changes = f.Changes[max(0, len(f.Changes)-mostChanges):]
}

// check refuses a set in which two would get in each other's way.
func check(s Set) error {
	at := map[string]string{}
	for _, name := range s.Names() {
		i := s[name]
		if name == "" || name != i.Name || strings.ContainsAny(name, "/ \x00") || strings.HasPrefix(name, ".") {
			return fmt.Errorf("instance %q: no name for a file", name)
		}
		if i.Wanted != Running && i.Wanted != Stopped {
			return fmt.Errorf("instance %s: wanted is %q, not running or stopped", name, i.Wanted)
		}
		if i.Wanted == Running {
			if other, taken := at[i.Listen]; taken && !strings.HasSuffix(i.Listen, ":0") {
				return fmt.Errorf("instance %s: listens on %s, as %s does", name, i.Listen, other)
			}
			at[i.Listen] = name
		}
	}
	return nil
}

// Differences are the names of which two sets say different things, in order.
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

// See takes what was seen of an instance.
func (f *Fleet) See(name string, s Seen) {
	f.seen[name] = s
	if r, ok := f.Records[name]; ok && s.Phase == Ready && !r.WasReady { // from now on silence is no start
		r.WasReady = true
		f.Records[name] = r
	}
}

// Attest takes what the agent itself read from a list's source.
func (f *Fleet) Attest(source string, w Witness) { f.witness[source] = w }

// Look gives what is known of an instance now: what was seen too long ago is unknown.
func (f *Fleet) Look(now float64, name string) Seen {
	s, ok := f.seen[name]
	switch {
	case !ok:
		return Seen{Phase: Unknown, Why: "never seen"}
	case now-s.At > f.timing.SeenWithin:
		return Seen{Phase: Unknown, At: s.At, Why: "not seen lately"}
	}
	return s
}

// target is what an instance is to be now, within the change that is on its way, or got stuck there. None is false.
func (f *Fleet) target(name string) (Instance, bool) {
	now := f.Current()
	if c := f.Latest(); c != nil && (!c.Status.Over() || c.Status == Stuck) {
		if k, in := f.place(c, name); in && k >= c.Reached {
			if from, ok := f.Generation(c.From); ok {
				i, has := from.Set[name]
				return i, has
			}
		}
	}
	i, has := now.Set[name]
	return i, has
}

// effective is what all instances are to be now.
func (f *Fleet) effective() Set {
	set := Set{}
	for _, name := range f.Names() {
		if i, declared := f.target(name); declared {
			set[name] = i
		}
	}
	return set
}

// place finds a name in a change's order.
func (f *Fleet) place(c *Change, name string) (int, bool) {
	if f.placed != c.ID || f.places == nil {
		f.placed, f.places = c.ID, make(map[string]int, len(c.Order))
		for k, n := range c.Order {
			f.places[n] = k
		}
	}
	k, in := f.places[name]
	return k, in
}

// Verdict is what an instance is against what it is to be.
type Verdict string

// Verdicts on an instance.
const (
	AsWanted   Verdict = "as wanted"
	OnTheWay   Verdict = "on the way"
	NotWanted  Verdict = "not as wanted"
	WrongList  Verdict = "wrong list"
	WrongFile  Verdict = "wrong configuration"
	CrashLoop  Verdict = "crash loop"
	NotKnown   Verdict = "unknown"
	CantProve  Verdict = "alien process"
	Undeclared Verdict = "not declared"
)

// Judge tells what an instance is, and why in the operator's words.
func (f *Fleet) Judge(now float64, name string) (v Verdict, why string) {
	t, declared := f.target(name)
	s, r := f.Look(now, name), f.Records[name]
	want := declared && t.Wanted == Running
	switch {
	case s.Phase == Alien:
		return CantProve, s.Why
	case s.Phase == Unknown:
		return NotKnown, s.Why
	case s.Phase == Down && !declared:
		return Undeclared, ""
	case s.Phase == Down && !want:
		return AsWanted, ""
	case s.Phase == Down && r.Halted:
		return CrashLoop, r.Fault
	case s.Phase == Down:
		return OnTheWay, r.Fault
	case !want:
		return OnTheWay, "to end"
	case s.Phase == Ending:
		return OnTheWay, "ending"
	case s.Phase == Starting:
		return OnTheWay, strings.TrimSuffix("starting: "+s.Why, ": ")
	case s.Digest != t.Digest:
		return WrongFile, fmt.Sprintf("declared %s, runs %s", short(t.Digest), short(s.Digest))
	case s.Epoch != t.Epoch:
		return NotWanted, "a restart is due"
	}
	if why := f.wrongList(t, s); why != "" {
		return WrongList, why
	}
	if !s.InService {
		return OnTheWay, "out of service"
	}
	return AsWanted, ""
}

// wrongList holds an instance's list against the declared one: by its source, and at the same version by its content.
func (f *Fleet) wrongList(t Instance, s Seen) string {
	if s.List != t.List {
		return fmt.Sprintf("declared %s (%s), asks %s (%s)", t.List, short(f.witness[t.List].Sum), s.List, short(s.ListSum))
	}
	if w, ok := f.witness[t.List]; ok && s.ListSum != "" && w.Version == s.ListAt && w.Sum != s.ListSum {
		return fmt.Sprintf("declared %s, holds %s at version %d of %s", short(w.Sum), short(s.ListSum), w.Version, t.List)
	}
	return ""
}

func short(digest string) string {
	if digest == "" {
		return "unknown"
	}
	return digest[:min(len(digest), 12)]
}

// Action is one step about one instance.
type Action struct {
	Step     Step
	Name     string
	Instance Instance // for Start
	Why      string
	Vain     bool // a Terminate of what never came up
}

// Plan gives the steps that are due, in the order of names, and advances the change that is on its way. Nothing is due
// for what can't be known.
func (f *Fleet) Plan(now float64) []Action {
	f.advance(now)
	names := f.Names()
	actions := make([]Action, 0, 16)
	for _, name := range names {
		if a, due := f.next(now, name); due {
			actions = append(actions, a)
		}
	}
	return actions
}

// Names are of all that is declared, was, or has a record, in order.
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
	if c := f.Latest(); c != nil && !c.Status.Over() { // one that was declared, never ran, and is to go
		for _, name := range c.Order {
			if _, declared := f.Current().Set[name]; !declared && f.Records[name].Name == "" {
				all = append(all, name)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// next is the step due for one instance.
func (f *Fleet) next(now float64, name string) (Action, bool) {
	t, declared := f.target(name)
	s, r := f.Look(now, name), f.Records[name]
	want := declared && t.Wanted == Running
	do := func(step Step, why string) (Action, bool) {
		return Action{Step: step, Name: name, Instance: t, Why: why}, true
	}
	switch s.Phase {
	case Unknown, Alien:
		if !s.Proven || want && r.TermAt == 0 {
			return Action{}, false
		} // it says nothing, but it is the one: it can be ended, and nothing else
	case Down:
		switch {
		case !declared:
			if _, has := f.Records[name]; has && !f.onTheWay(name) {
				return do(Forget, "not declared")
			}
		case want && !r.Halted && now >= r.NextAt:
			return do(Start, "declared")
		}
		return Action{}, false
	}
	if r.Doing == Terminate { // the agent ended between writing it down and doing it, or just after: it may not know
		return do(Terminate, "to be told again")
	}
	if r.TermAt > 0 { // told to end: it has its full time
		if now-r.TermAt >= f.timing.EndWithin {
			return do(Kill, fmt.Sprintf("still there %.1f s after SIGTERM", (now-r.TermAt)/1e3))
		}
		return Action{}, false
	}
	if !want {
		return do(Terminate, "not wanted")
	}
	if s.Phase == Unknown {
		return Action{}, false
	}
	if s.Phase == Starting {
		if now-r.StartedAt >= f.timing.StartWithin {
			a, due := do(Terminate, strings.TrimSuffix(fmt.Sprintf("not ready within %.1f s: %s", f.timing.StartWithin/1e3, s.Why), ": "))
			a.Vain = true
			return a, due
		}
		return Action{}, false
	}
	if s.Phase != Ready {
		return Action{}, false
	}
	v, why := f.Judge(now, name)
	switch {
	case (v == WrongFile || v == NotWanted) && s.Digest == r.Digest && s.Epoch == r.Epoch:
		return do(Terminate, why) // as it was started, and that is over
	case v == WrongFile && s.InService: // it runs what the agent never gave it: the operator is to look
		return do(Withhold, why)
	case v == WrongList && s.InService:
		return do(Withhold, why)
	case v == OnTheWay && !s.InService:
		return do(Admit, "as declared")
	}
	return Action{}, false
}

// onTheWay tells whether the present change has to do with an instance.
func (f *Fleet) onTheWay(name string) bool {
	c := f.Latest()
	if c == nil || c.Status.Over() {
		return false
	}
	_, in := f.place(c, name)
	return in
}

// advance lets the change go on: the next instances are reached when those before them are well.
func (f *Fleet) advance(now float64) {
	c := f.Latest()
	if c == nil || c.Status.Over() {
		return
	}
	if c.Status == Reverting {
		f.back(now, c)
		return
	}
	for _, name := range c.Order[:c.Reached] {
		if c.Done[name] { // one that was well and did not stay so stops the change too
			if fault := f.failed(now, name); fault != "" {
				f.fail(now, name+": "+fault)
				return
			}
			continue
		}
		if !f.well(now, name) {
			delete(c.Well, name)
			if fault := f.failed(now, name); fault != "" {
				f.fail(now, name+": "+fault)
				return
			}
			continue
		}
		if _, was := c.Well[name]; !was {
			c.Well[name] = now
		}
		if now-c.Well[name] >= c.Options.HealthMs {
			c.Done[name] = true
		}
	}
	if len(c.Done) == len(c.Order) {
		c.Status, c.Ended = Succeeded, now
		return
	}
	most := len(c.Order)
	if canary := min(c.Options.Canary, most); len(c.Done) < canary {
		most = canary
	}
	for c.Reached < most && c.Reached-len(c.Done) < c.Options.AtOnce {
		c.Reached++
	}
}

// back lets the change go back, no more at once than it went forward.
func (f *Fleet) back(now float64, c *Change) {
	out := 0
	for _, name := range c.Order[c.Reached:c.Most] {
		if f.well(now, name) {
			continue
		}
		out++
		if v, why := f.Judge(now, name); v == CrashLoop || v == WrongList || v == CantProve {
			c.Status, c.Ended = Stuck, now
			c.Failure += fmt.Sprintf("; and back: %s: %s: %s", name, v, why)
			return
		}
	}
	for c.Reached > 0 && out < c.Options.AtOnce {
		c.Reached--
		out++
	}
	if out == 0 {
		c.Status, c.Ended = RolledBack, now
		if from, ok := f.Generation(c.From); ok { // declared anew: numbers only grow
			f.Generations = append(f.Generations, Generation{Number: f.Current().Number + 1, Set: from.Set.Clone()})
			f.trim()
		}
	}
}

// well tells whether an instance is what it is to be.
func (f *Fleet) well(now float64, name string) bool {
	v, _ := f.Judge(now, name)
	return v == AsWanted || v == Undeclared
}

// failed tells what stops a change at an instance.
func (f *Fleet) failed(now float64, name string) string {
	switch v, why := f.Judge(now, name); v {
	case WrongList, CrashLoop, CantProve:
		return string(v) + ": " + why
	}
	c := f.Latest()
	if r := f.Records[name]; len(r.Tries) > 0 && r.Tries[len(r.Tries)-1] > c.At { // it failed since the change began
		return "did not stay up: " + r.Fault
	}
	return ""
}

// fail stops the change, and turns it unless the operator said no.
func (f *Fleet) fail(now float64, why string) {
	c := f.Latest()
	if c.Options.NoRevert {
		c.Status, c.Failure, c.Ended = Stuck, why, now
		return
	}
	f.turn(now, why)
}

// turn has all that was reached go back: at once what is not well, since nobody is served by it; the others in their turn.
func (f *Fleet) turn(now float64, why string) {
	c := f.Latest()
	c.Status, c.Failure, c.Most = Reverting, why, c.Reached
	var well, not []string
	for _, name := range c.Order[:c.Reached] {
		if f.well(now, name) {
			well = append(well, name)
		} else {
			not = append(not, name)
		}
		if r, ok := f.Records[name]; ok {
			r.Halted, r.Tries, r.NextAt = false, nil, 0
			f.Records[name] = r
		}
	}
	copy(c.Order, append(well, not...))
	c.Reached, f.places = len(well), nil
	f.advance(now)
}

// Begin notes a step before it is taken; what it changes must be durable first. Token is for a Start.
func (f *Fleet) Begin(now float64, a Action, token string) {
	r := f.Records[a.Name]
	r.Name, r.Doing = a.Name, a.Step
	switch a.Step {
	case Start:
		r.Token, r.Pid, r.Digest, r.Epoch, r.StartedAt, r.TermAt = token, 0, a.Instance.Digest, a.Instance.Epoch, now, 0
		r.WasReady = false
	case Terminate:
		r.TermAt = now
		if r.Fault = a.Why; a.Vain {
			f.count(now, &r, a.Why)
		}
	}
	f.Records[a.Name] = r
}

// End notes how a step went. What was seen before it no longer holds.
func (f *Fleet) End(now float64, a Action, pid int, err error) {
	if a.Step == Forget {
		delete(f.Records, a.Name)
		delete(f.seen, a.Name)
		return
	}
	r := f.Records[a.Name]
	r.Doing = ""
	if a.Step == Start {
		r.Pid = pid
		if err != nil {
			f.count(now, &r, err.Error())
			r.StartedAt = 0 // nothing was started that could be found gone
		}
	}
	f.Records[a.Name] = r
	f.seen[a.Name] = Seen{Phase: Unknown, At: now, Why: "just told to " + string(a.Step)}
}

// Gone takes the news that an instance that was to run is down without having been told to end.
func (f *Fleet) Gone(now float64, name, why string) {
	r, ok := f.Records[name]
	if !ok || r.StartedAt == 0 {
		return
	}
	if r.TermAt == 0 && r.Doing != Start { // a start that the agent's own end cut off came to nothing by no fault
		f.count(now, &r, why)
	}
	r.Doing = ""
	r.StartedAt, r.TermAt, r.Pid, r.Token = 0, 0, 0, ""
	f.Records[name] = r
}

// Adopt takes an instance that runs and has proven its token, though no record of its start was whole.
func (f *Fleet) Adopt(now float64, name, token string, pid int, digest string, epoch uint64) {
	r := f.Records[name]
	r.Name, r.Token, r.Pid, r.Digest, r.Epoch, r.Doing = name, token, pid, digest, epoch, ""
	if r.StartedAt == 0 {
		r.StartedAt = now
	}
	f.Records[name] = r
}

// count books a start that came to nothing: the next one waits, longer each time and not in step with others, and a
// loop is halted.
func (f *Fleet) count(now float64, r *Record, why string) {
	r.Fault = why
	r.Tries = append(slices.DeleteFunc(slices.Clone(r.Tries), func(at float64) bool { return now-at > f.timing.LoopWithin }), now)
	if len(r.Tries) >= f.timing.LoopCount {
		r.Halted = true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %v", r.Name, len(r.Tries), now)
	spread := 0.5 + float64(h.Sum64()>>11)/(1<<53)
	r.NextAt = now + math.Min(f.timing.BackoffMs*math.Exp2(float64(len(r.Tries)-1)), f.timing.BackoffMost)*spread
}

// Recover declares what was found to run, where the state was lost. It is no change that rolls.
func (f *Fleet) Recover(now float64, set Set, why string) {
	number := f.Current().Number + 1
	if l := f.Latest(); l != nil && !l.Status.Over() {
		l.Status, l.Ended, l.Failure = Stuck, now, "the state was lost on the way"
	}
	f.Generations = append(f.Generations, Generation{number, set})
	f.Changes = append(f.Changes, Change{ID: f.nextID(), At: now, Author: "agent", Reason: why, What: "recover", From: number - 1, To: number,
		Status: Succeeded, Ended: now})
	f.Revision++
	f.trim()
}

// Copy is the state as it is; Restore takes it back, where what followed could not be written down.
func (f *Fleet) Copy() State {
	s := f.State
	s.Generations, s.Changes, s.Records = slices.Clone(s.Generations), slices.Clone(s.Changes), maps.Clone(s.Records)
	if n := len(s.Changes); n > 0 { // the others are over
		s.Changes[n-1] = s.Changes[n-1].Clone()
	}
	return s
}

// Restore takes a copy back.
func (f *Fleet) Restore(s State) { f.State, f.places = s, nil }
