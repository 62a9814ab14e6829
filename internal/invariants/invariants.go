package invariants

import (
	"container/heap"
	"fmt"
	"math"
	"slices"

	"pearknot/balancer"
)

const (
	mostKept     = 50 // breaches kept whole; the rest are counted
	mostEvidence = 48 // events kept of one op: a host that pushes without end fills no memory

	// An answer of the node's own that comes this late in the op's time, this long after the last push ended, was
	// sat on. Late sends go out at three quarters of the time to target, so that what is held fairly ends sooner.
	satOnFrom = 0.9
	satOnFor  = 0.1
)

// Auditor takes events in the order of time. It keeps what is open, and of each op what happened until its TTL
// ends; so its memory is bounded by the rate of ops times the longest TTL, whatever the length of the day.
type Auditor struct {
	t        Config
	now      float64
	ops      map[uint64]*op
	due      dues
	backends map[int]*backend
	told     map[pair]Event   // of backends that drain or are gone: the news, as each node first had it
	lines    map[lineOf]*line // of the keys of ops that keep order
	breaches []Violation
	counts   [7]int
	taken    int
}

type pair struct{ node, backend int }

type lineOf struct {
	node int
	key  uint64
}

// line is a key's ops at one node that are not over, in the order taken, and until when the key rests.
type line struct {
	ops  []*op
	rest float64
}

type op struct {
	id       uint64
	node     int
	category int
	taken    float64
	giveUp   float64
	closed   bool // answered, left, or gone with its node
	answered bool
	finalAt  float64 // its answer was seen
	left     bool
	ran      int
	quiet    float64 // when the latest push ended, or the op came
	pushes   []push
	events   []Event
	line     *line
}

type push struct {
	number  int
	backend int
	at      float64
	out     bool
	ending  balancer.Outcome
}

func (p push) mayHaveRun() bool { return p.out || !p.ending.NeverRan() }

type backend struct {
	started float64
	speed   float64
	zone    int
	cell    int
	spent   []Event      // pushes of nodes told of this start within the window, while it is cold
	work    float64      // their sum
	fallen  bool         // one breach for each start
	toldBy  map[int]bool // the nodes that were told of this start, while it is cold
	sent    []sent       // pushes of all nodes within the window, while it is cold
	ofAll   float64      // their sum
	ofTold  float64      // the sum of those whose nodes had been told of this start
	over    bool         // it fell by that sum, and stays down until its next start
}

// sent is a push to a cold backend, and whether its node had been told of the start by then.
type sent struct {
	Event
	told bool
}

// New makes an auditor.
func New(t Config) *Auditor {
	return &Auditor{t: t, now: math.Inf(-1), ops: map[uint64]*op{}, backends: map[int]*backend{}, told: map[pair]Event{}, lines: map[lineOf]*line{}}
}

// Feed takes an event. One that is older than the latest counts as it stands, but turns no clock back.
func (a *Auditor) Record(e Event) {
	a.advance(e.At)
	switch e.Kind {
	case RequestAccepted:
		a.take(e)
	case RequestAnswered:
		a.answer(e)
	case ClientGone:
		if o := a.ops[e.Request]; o != nil && !o.closed {
			o.note(e)
			o.closed, o.left = true, true
			o.passOn()
		}
	case AttemptStarted:
		a.begin(e)
	case AttemptEnded:
		a.end(e)
	case AttemptRan:
		a.run(e)
	case EndpointNotified:
		at := pair{e.Node, e.Backend}
		if b := a.backends[e.Backend]; b != nil && b.started > 0 && e.Started >= b.started && b.toldBy != nil {
			b.toldBy[e.Node] = true
		}
		if e.State == balancer.BackendReady {
			delete(a.told, at)
		} else if e.State == balancer.BackendRemoved && a.t.RemovalNotBinding { // without a drain it binds nobody, after one that does
		} else if _, known := a.told[at]; !known {
			a.told[at] = e // told again is no new grace
		}
	case BackendStarted:
		a.backends[e.Backend] = &backend{started: e.Started, speed: e.Speed, zone: e.Zone, cell: e.Cell, toldBy: map[int]bool{}}
	case BackendRetired:
		delete(a.backends, e.Backend)
		for at := range a.told {
			if at.backend == e.Backend {
				delete(a.told, at)
			}
		}
	case NodeKilled:
		for _, o := range a.ops {
			if o.node == e.Node {
				o.closed, o.left = true, true
			}
		}
		for at := range a.lines { // what the node had taken is void
			if at.node == e.Node {
				for _, o := range a.lines[at].ops {
					o.line = nil
				}
				delete(a.lines, at)
			}
		}
		for _, b := range a.backends {
			delete(b.toldBy, e.Node)
		}
		for at := range a.told { // the next process knows only what it is told itself
			if at.node == e.Node {
				delete(a.told, at)
			}
		}
	}
}

// Finish tells that no event comes any more; what is still owed by then is lost.
func (a *Auditor) Finish(now float64) {
	a.advance(now)
	for len(a.due) > 0 {
		a.expire(heap.Pop(&a.due).(*op))
	}
}

// Breaches are the first ones, whole.
func (a *Auditor) Violations() []Violation { return a.breaches }

// Count tells how often a rule was broken.
func (a *Auditor) Count(r Rule) int { return a.counts[r] }

// Kept tells that no rule was broken.
func (a *Auditor) AllKept() bool { return a.counts == [7]int{} }

// Taken is the number of ops judged.
func (a *Auditor) RequestsJudged() int { return a.taken }

// Open is the number of ops in memory.
func (a *Auditor) OpenRequests() int { return len(a.ops) }

// Verdict is one line.
func (a *Auditor) Verdict() string {
	if a.AllKept() {
		return fmt.Sprintf("rules kept: %d ops judged", a.taken)
	}
	return fmt.Sprintf("rules broken: no op lost %d, no effect twice %d, drains kept %d, cold starts %d, order kept %d, ramps kept %d, of %d ops judged",
		a.counts[NoRequestLost], a.counts[NoEffectTwice], a.counts[DrainRespected], a.counts[SlowStartPerNode], a.counts[KeyOrder],
		a.counts[SlowStartFleetwide], a.taken)
}

func (a *Auditor) breach(r Rule, evidence []Event, format string, args ...any) {
	a.counts[r]++
	if len(a.breaches) < mostKept {
		a.breaches = append(a.breaches, Violation{Rule: r, At: a.now, What: fmt.Sprintf(format, args...),
			Evidence: append([]Event{}, evidence...)})
	}
}

func (a *Auditor) advance(now float64) {
	a.now = math.Max(a.now, now)
	for len(a.due) > 0 && a.due[0].giveUp+a.t.Tolerance < a.now {
		a.expire(heap.Pop(&a.due).(*op))
	}
}

// expire ends an op's time: it must have been answered by then, and is forgotten.
func (a *Auditor) expire(o *op) {
	if !o.closed {
		a.breach(NoRequestLost, o.events, "op %d has no final answer by its TTL's end at %.1f", o.id, o.giveUp)
	}
	o.leave() // what is out of it can't be followed any more
	if a.ops[o.id] == o {
		delete(a.ops, o.id)
	}
}

func (a *Auditor) take(e Event) {
	if a.ops[e.Request] != nil {
		a.breach(NoRequestLost, append(a.ops[e.Request].events, e), "op %d taken twice", e.Request)
		return
	}
	if e.Class < 0 || e.Class >= len(a.t.Classes) {
		a.breach(NoRequestLost, []Event{e}, "op %d of category %d, which the terms don't name", e.Request, e.Class)
		return
	}
	if a.taken++; a.taken%1024 == 0 {
		for at, l := range a.lines {
			if len(l.ops) == 0 && l.rest < a.now {
				delete(a.lines, at)
			}
		}
	}
	o := &op{id: e.Request, node: e.Node, category: e.Class, taken: e.At, quiet: e.At, giveUp: e.Deadline}
	o.note(e)
	a.ops[e.Request] = o
	if a.t.Classes[e.Class].Ordered && e.Key != 0 {
		at := lineOf{e.Node, e.Key}
		if a.lines[at] == nil {
			a.lines[at] = &line{}
		}
		o.line = a.lines[at]
		o.line.ops = append(o.line.ops, o)
	}
	heap.Push(&a.due, o)
}

// passOn gives the turn on once an op is over: answered, or its client gone, with nothing out.
func (o *op) passOn() {
	out := false
	for _, p := range o.pushes {
		out = out || p.out
	}
	if o.closed && !out {
		o.leave()
	}
}

func (o *op) leave() {
	if o.line != nil {
		o.line.ops = slices.DeleteFunc(o.line.ops, func(x *op) bool { return x == o })
		o.line = nil
	}
}

// inOrder judges a push by those of its key that were taken before it. A key's rest is for the ops after the one that was
// in doubt: that one may go again at once.
func (a *Auditor) inOrder(o *op, e Event) {
	switch {
	case o.line == nil:
	case o.line.ops[0] != o:
		a.breach(KeyOrder, append(slices.Clone(o.line.ops[0].events), o.events...), "op %d pushed while op %d of its key, taken earlier, is not over",
			o.id, o.line.ops[0].id)
	case len(o.pushes) == 0 && e.At < o.line.rest-a.t.Tolerance:
		a.breach(KeyOrder, o.events, "op %d pushed %.1f ms before the end of its key's rest", o.id, o.line.rest-e.At)
	}
}

func (o *op) note(e Event) {
	if len(o.events) < mostEvidence {
		o.events = append(o.events, e)
	}
}

// firstMayHaveRun gives the first push that is not proven never to have run.
func (o *op) firstMayHaveRun() *push {
	for i := range o.pushes {
		if o.pushes[i].mayHaveRun() {
			return &o.pushes[i]
		}
	}
	return nil
}

func (a *Auditor) answer(e Event) {
	o := a.ops[e.Request]
	if o == nil {
		a.breach(NoRequestLost, []Event{e}, "op %d %s, though it is not open: answered before, never taken, or past its TTL", e.Request, e.Answer)
		return
	}
	o.note(e)
	if o.answered {
		a.breach(NoRequestLost, o.events, "op %d has a second final answer", e.Request)
		return
	}
	if o.left { // what crosses a client's leaving, or its node's end, is nobody's
		return
	}
	o.closed, o.answered, o.finalAt = true, true, e.At
	defer o.passOn()
	if e.At > o.giveUp+a.t.Tolerance {
		a.breach(NoRequestLost, o.events, "op %d %s %.1f ms after its TTL's end", e.Request, e.Answer, e.At-o.giveUp)
	}
	if e.Answer == Served {
		made := false
		for _, p := range o.pushes {
			made = made || !p.out && p.ending == balancer.OutcomeAnswered && (e.Attempt == AnyAttempt || e.Attempt == p.number)
		}
		if !made {
			a.breach(NoRequestLost, o.events, "op %d acked with an answer that no backend made", e.Request)
		}
		return
	}
	out, life := false, o.giveUp-o.taken
	for _, p := range o.pushes {
		out = out || p.out
	}
	if !out && e.At-o.taken > satOnFrom*life && e.At-o.quiet > satOnFor*life+a.t.Tolerance {
		a.breach(NoRequestLost, o.events, "op %d %s %.1f ms after its last push ended: sat on until its TTL was near", e.Request,
			e.Answer, e.At-o.quiet)
	}
	c := &a.t.Classes[o.category]
	if e.Answer == Rejected && o.firstMayHaveRun() != nil && (c.Idempotency == balancer.AtMostOnce ||
		c.Idempotency == balancer.IdempotentWithKey && c.DedupScope != balancer.DedupByAll) {
		a.breach(NoEffectTwice, o.events, "op %d nacked after a push that may have run: its client would send it again", e.Request)
	}
}

func (a *Auditor) begin(e Event) {
	a.drained(e)
	a.cold(e)
	o := a.ops[e.Request]
	if o == nil {
		a.breach(NoRequestLost, []Event{e}, "op %d pushed to backend %d, though it is not open: past its TTL, or never taken", e.Request, e.Backend)
		return
	}
	o.note(e)
	// A push that was sent a moment before the answer may be seen a moment after it: by others, on another machine.
	if o.answered && e.At-o.finalAt >= a.t.Tolerance {
		a.breach(NoRequestLost, o.events, "op %d pushed to backend %d after its final answer", e.Request, e.Backend)
	}
	if e.At > o.giveUp+a.t.Tolerance {
		a.breach(NoRequestLost, o.events, "op %d pushed to backend %d after its TTL's end", e.Request, e.Backend)
	}
	if a.t.MaxAttempts > 0 && len(o.pushes) >= a.t.MaxAttempts {
		a.breach(NoEffectTwice, o.events, "op %d pushed %d times, %d allowed", e.Request, len(o.pushes)+1, a.t.MaxAttempts)
	}
	a.again(o, e)
	a.inOrder(o, e)
	o.pushes = append(o.pushes, push{number: e.Attempt, backend: e.Backend, at: e.At, out: true})
	if len(o.pushes) > mostEvidence {
		o.pushes = o.pushes[1:]
	}
}

// again judges a further push by what the earlier ones may have done.
func (a *Auditor) again(o *op, e Event) {
	first := o.firstMayHaveRun()
	if first == nil {
		return
	}
	c := &a.t.Classes[o.category]
	if c.Idempotency == balancer.AtMostOnce {
		a.breach(NoEffectTwice, o.events, "at-most-once op %d pushed again, though push %d may have run", o.id, first.number)
		return
	}
	if !a.t.AllowHedging {
		for _, p := range o.pushes {
			if p.out {
				a.breach(NoEffectTwice, o.events, "op %d pushed while push %d is out, where no second copies are allowed", o.id, p.number)
				return
			}
		}
	}
	if c.Idempotency != balancer.IdempotentWithKey {
		return
	}
	was, is := a.backends[first.backend], a.backends[e.Backend]
	switch {
	case e.At-first.at >= c.DedupWindow+a.t.Tolerance:
		a.breach(NoEffectTwice, o.events, "deduplicated op %d pushed again after %.1f ms, its mark is kept for %.1f", o.id, e.At-first.at, c.DedupWindow)
	case c.DedupScope == balancer.DedupByAll:
	case was == nil || is == nil:
		a.breach(NoEffectTwice, o.events, "deduplicated op %d pushed again to a backend of an unknown group", o.id)
	case c.DedupScope == balancer.DedupByZone && was.zone != is.zone || c.DedupScope == balancer.DedupByCell && was.cell != is.cell:
		a.breach(NoEffectTwice, o.events, "deduplicated op %d pushed again outside its group", o.id)
	}
}

func (a *Auditor) end(e Event) {
	o := a.ops[e.Request]
	if o == nil { // an ending may come after the op's time
		return
	}
	o.note(e)
	for i := range o.pushes {
		if p := &o.pushes[i]; p.number == e.Attempt && p.out {
			p.out, p.ending = false, e.Outcome
			o.quiet = e.At
			if o.line != nil && (e.Outcome == balancer.OutcomeTimedOut || e.Outcome == balancer.OutcomeConnectionReset || e.Outcome == balancer.OutcomeCanceled) {
				o.line.rest = math.Max(o.line.rest, e.At+a.t.KeyCooldown)
			}
			o.passOn()
			return
		}
	}
}

// run counts what really happened: the effect itself, whatever proofs the node had.
func (a *Auditor) run(e Event) {
	o := a.ops[e.Request]
	if o == nil {
		return
	}
	o.note(e)
	if o.ran++; o.ran > 1 && a.t.Classes[o.category].Idempotency == balancer.AtMostOnce {
		a.breach(NoEffectTwice, o.events, "at-most-once op %d ran %d times", e.Request, o.ran)
	}
}

func (a *Auditor) drained(e Event) {
	news, told := a.told[pair{e.Node, e.Backend}]
	if told && e.At > news.At+a.t.DrainGrace+a.t.Tolerance {
		a.breach(DrainRespected, []Event{news, e}, "backend %d got a push from node %d %.1f ms after that node was told", e.Backend,
			e.Node, e.At-news.At)
	}
}

// cold adds up what all nodes together sent in the window that ends now, each since it was told of the start: what a
// node could not know is no breach of its, though the backend may fall all the same.
func (a *Auditor) cold(e Event) {
	b := a.backends[e.Backend]
	if b == nil {
		a.breach(DrainRespected, []Event{e}, "push to backend %d, which was never started or is retired", e.Backend)
		return
	}
	age := e.At - b.started
	if b.started <= 0 || age >= a.t.WarmUp {
		b.spent, b.sent, b.toldBy = nil, nil, nil
		return
	}
	warm := a.t.ColdCapacity + (1-a.t.ColdCapacity)*math.Max(age, 0)/a.t.WarmUp
	most := a.t.OverloadFactor * warm * b.speed * a.t.OverloadWindow
	a.ramp(b, e, age, most)
	if !b.toldBy[e.Node] {
		return
	}
	for len(b.spent) > 0 && b.spent[0].At <= e.At-a.t.OverloadWindow {
		b.work -= b.spent[0].Work
		b.spent = b.spent[1:]
	}
	b.spent = append(b.spent, e)
	b.work += e.Work
	if b.work > most && !b.fallen {
		b.fallen = true
		nodes := map[int]bool{}
		for _, s := range b.spent {
			nodes[s.Node] = true
		}
		a.breach(SlowStartPerNode, b.spent[max(0, len(b.spent)-mostEvidence):],
			"backend %d, started %.1f ms ago, was sent %.1f ms of work in %.1f ms by %d nodes, and stands %.1f", e.Backend, age,
			b.work, a.t.OverloadWindow, len(nodes), most)
	}
}

// FallsAbove is the work in one window above which a cold backend falls, where the settings allow it some, for ops of a mean work:
// N + 2 x root of N + 2 in such ops, N being what is allowed. What goes beyond N up to there is chance.
func OverloadThreshold(allowed, mean float64) float64 {
	return allowed + 2*math.Sqrt(allowed*mean) + 2*mean
}

// ramp adds up what all nodes together sent in the window that ends now, whatever they knew. A backend that gets more than the
// settings allow it and chance may add falls; the rule is broken where over two thirds of that came from nodes that had been
// told of the start. It is down then: what still comes is judged from its next start on.
func (a *Auditor) ramp(b *backend, e Event, age, allowed float64) {
	if b.over {
		return
	}
	for len(b.sent) > 0 && b.sent[0].At <= e.At-a.t.OverloadWindow {
		b.ofAll -= b.sent[0].Work
		if b.sent[0].told {
			b.ofTold -= b.sent[0].Work
		}
		b.sent = b.sent[1:]
	}
	if len(b.sent) == 0 {
		b.ofAll, b.ofTold = 0, 0 // what rounding left
	}
	b.sent = append(b.sent, sent{e, b.toldBy[e.Node]})
	b.ofAll += e.Work
	if b.toldBy[e.Node] {
		b.ofTold += e.Work
	}
	most := OverloadThreshold(allowed, a.t.MeanWork)
	if b.ofAll <= most {
		return
	}
	b.over = true
	if 3*b.ofTold <= 2*b.ofAll {
		return
	}
	nodes, evidence := map[int]bool{}, make([]Event, 0, mostEvidence)
	for k, s := range b.sent {
		nodes[s.Node] = true
		if k >= len(b.sent)-mostEvidence {
			evidence = append(evidence, s.Event)
		}
	}
	a.breach(SlowStartFleetwide, evidence, "backend %d, started %.1f ms ago, fell: %.1f ms of work in %.1f ms by %d nodes, %.1f of it by those told of the "+
		"start; it is allowed %.1f, and with chance %.1f", e.Backend, age, b.ofAll, a.t.OverloadWindow, len(nodes), b.ofTold, allowed, most)
}

// dues orders ops by the end of their time.
type dues []*op

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].giveUp < d[j].giveUp }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(*op)) }
func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return x
}
