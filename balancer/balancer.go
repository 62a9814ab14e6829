// Package balancer decides what a node does with its ops: which backend gets a push, what is held, what is
// given up. A host starts a Node with its Terms, tells it what happens through the inputs, which only update
// what is known, and after each batch pulls decisions with Next, one by one, until there is none. What passes
// between the two is in types.go. The ordinary path is CDA(c), see docs/design.md.
package balancer

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

const (
	cutoffShare = 0.96 // the design's start for c
	hintsNeeded = 50   // below this many hints all ops count as short, by the design
	skipMargin  = 2.0  // the rotation passes a backend above this many times the mean, by the design
	lateShare   = 0.25 // a held op goes out late when this share of its time is left, by the design

	sweepEvery   = 100.0   // ms; several looks within the shortest target latency of human-facing services
	distrustHalf = 4e3     // ms; distrust halves in this time, so a shunned backend is tried again in seconds
	queueShare   = 0.03    // of the target latency: a queue this long is answered with fewer pushes in flight
	pauseShare   = 0.2     // of it: a queue that long is answered with pauses where one push is out at most
	slot         = 4e3     // ms; long enough to see a few answers, short enough to try all in half a minute
	leastFar     = 0.2     // share of the far backends that a node uses at a time at least
	mostFirst    = 3.0     // pushes queued on a backend of which nothing is known, by all nodes together
	leastOut     = 7.0     // pushes on each backend by all nodes together that are not too many for any
	bearShare    = 0.4     // of the target latency that an answer may take beside its work, before it's too late
	paceKnown    = 3.0     // mean ops' work that counts as the kind's against a backend's own pace
	blemish      = 0.6     // distrust from which one gets nothing that can't be sent again: an error lately
	shunAt       = 2.0     // distrust from which a backend gets no traffic: two clear failures in a row
	extraShare   = 0.1     // further pushes an op earns for the budget; a retry storm can add no more load
	extraMost    = 20.0    // further pushes that may be saved up: one backend's work in flight at a failure
	rateHalf     = 3e3     // ms; a flood is seen within its first seconds, by nodes of an op a second too
	mixPrior     = 8.0     // ops in the quotas' mix that count beside those seen
	lotShare     = 0.3     // of the cold budget, on average, goes by lots; chance may bring three times that
	lotMost      = 1. / 16 // of it that one lot may be, so that many must win at once to push a backend over
	ownNear      = 4       // backends to connect to: each is heard of often, and tables stay half empty
	ownFar       = 2       // of those that cost a crossing
	fallenFor    = 10e3    // ms; how long a fall is held against repeats: until a backend is back and half warm
	restartFor   = 1e3     // ms; a process that fell answers nothing for longer
	awaySteps    = 8       // of them for another backend than the key's home: it does all the work anew
	joinSteps    = 2       // thirty-seconds of an op's time for a new connection: it costs both ends
	refusedFor   = 1e3     // ms; a backend that refused a connection is asked again later and later
	askAgain     = 2.4e3   // ms, and half more: with 2 s for an answer, 6 s from being back to being heard
	clockHair    = 1e-3    // ms; a clock may be rounded by as much
	coldSafety   = 0.6     // share of the cold budget used; hints are rough, connections cost work too
)

var shunFrom = [...]float64{Idempotent: shunAt, IdempotentWithKey: shunAt, AtMostOnce: blemish} // distrust

// Node decides for one instance. Nothing is shared between nodes.
type Balancer struct {
	t        *Config
	now      float64
	rng      mwc
	backends []*Backend // all that the list named, in the order of their first naming
	cutoff   window
	waiting  []*Request // ops that want a decision
	held     []*Request // ops without a backend
	idle     bool       // a backend has room again since held ops were last looked at
	out      []Decision
	due      dues
	seq      uint64
	armed    float64 // when the earliest timer out falls due
	sweepAt  float64
	stirred  bool           // something came in since the last sweep: without, a node of many spends nothing
	round    float64        // how far the rotation has come
	extra    float64        // budget for further pushes
	stretch  quantile       // how much longer than predicted answers take, at the high end
	value    mean           // of an op's benefit
	work     mean           // of its work
	service  mean           // of the service times that backends report
	paces    paces          // of all backends and by kind of machine
	doubt    float64        // what distrust three in four backends show; a backend is judged against it
	weight   float64        // mean weight of the ready backends
	doubted  bool           // the list has taken away more than can have gone
	crowd    crowd          // how long pushes lately waited, by zone
	abroad   int            // pushes out in all
	window   float64        // how many may be out in all
	answers  fader          // the time that each of the latest might have taken
	heard    float64        // when the latest push was sent that has been answered
	warm     perPlace[took] // what a zone's warm backends take of this node's work
	tracked  bool           // changes of the list come by themselves
	askAt    float64        // when the list is asked for where they don't
	failures int
	fellAt   float64          // when a push last ended in a reset
	aloneAt  float64          // when a backend last answered right after one: connections break by themselves
	lines    map[uint64]*line // of the keys of ops in categories that keep order
	of       int              // processes that this node was made up of
	whole    float64          // from when it is one again

	OnConsidered func(op *Request, b *Backend, r Reason) // is told of each backend looked at; nil but where it is explained
}

// New starts a node; now is the host's clock.
func New(t *Config, now float64) *Balancer {
	n := &Balancer{t: t, now: now, rng: newMWC(t.Seed), armed: math.Inf(1), sweepAt: now, weight: 1,
		extra: extraMost / 2, window: math.Inf(1), askAt: math.Inf(1), lines: map[uint64]*line{},
		fellAt: math.Inf(-1), aloneAt: math.Inf(-1)}
	n.weigh()
	if t.PollEndpoints {
		// Nodes restarted together must not call the list's one service together.
		n.askAt = now + 200*n.rng.unit()
	}
	return n
}

// Retuned takes new terms; from tells each category's former place, or -1. Ops keep those they came under.
func (n *Balancer) ConfigChanged(now float64, t *Config, from []int) {
	for i, k := range from {
		if k >= 0 && k < len(n.t.Classes) && i < len(t.Classes) {
			t.Classes[i].work = n.t.Classes[k].work
		}
	}
	n.now, n.t = now, t
	n.weigh()
}

// weigh tells each category's patience from its benefit against the others'.
func (n *Balancer) weigh() {
	t, most := n.t, 0.0
	for _, c := range t.Classes {
		most = math.Max(most, c.PriorityWeight)
	}
	for i := range t.Classes { // under overload the benefit that a unit of work earns decides who may wait
		c := &t.Classes[i]
		share := 0.1 + 0.35*c.PriorityWeight/math.Max(most, 1e-9)
		c.patience = share
		for _, o := range t.Classes { // by a longer target the lesser would stay on in the way of the greater
			if o.PriorityWeight >= c.PriorityWeight {
				c.patience = math.Min(c.patience, share*o.LatencyObjective/c.LatencyObjective)
			}
		}
	}
}

// Listed takes news of the list; where full, a backend not in it is gone.
func (n *Balancer) EndpointsChanged(now float64, lines []Endpoint, full, cached bool) {
	n.now = now
	if !cached {
		n.tracked, n.failures = true, 0
	}
	if full {
		for _, b := range n.backends {
			b.leave(now)
		}
	}
	for _, l := range lines {
		b := l.Backend
		if !b.known {
			n.backends = append(n.backends, b)
			b.known = true
			b.most = 1 + n.part(mostFirst)
			b.pass = n.round + n.rng.unit() // the rotation starts at random
		}
		back := b.banned && !l.Cordoned // by hand: restarted meanwhile, which the list tells of late, if at all
		switch {
		case l.Cordoned && !b.banned:
			b.outAt = now
		case l.Started > b.outAt: // it has told
			b.back = 0
		case back:
			b.back = now
		}
		if l.Started > b.Started || back { // a new process: what was learned of the old one's state is void
			b.flow, b.most, b.distrust, b.lingers, b.restUntil = flow{}, 1+n.part(mostFirst), fader{}, 0, 0
		}
		if l.State == BackendRemoved {
			b.leave(now)
		}
		b.Zone, b.Cell, b.Kind, b.State, b.Started = l.Zone, l.Cell, l.Kind, l.State, l.Started
		if b.banned = l.Cordoned; b.banned { // whatever the list says
			b.State = min(b.State, BackendDraining)
		}
		b.drained = b.State == BackendDraining || b.drained && b.State == BackendRemoved
		b.Weight = l.Weight
		if !(b.Weight > 0) || math.IsInf(b.Weight, 0) {
			b.Weight = 1
		}
	}
	n.sweep()
}

// judge tells whether to doubt the list, where what it takes away without a drain is a hint: more than half
// of what it lately had does not go at once, and if it had, failed connects would shun each of them.
func (n *Balancer) judge() {
	gone, had := 0, 0
	for _, b := range n.backends {
		if !b.drained && (b.State == BackendReady || n.now-b.goneAt < n.t.rememberFor()) {
			had++
			if b.State == BackendRemoved {
				gone++
			}
		}
	}
	n.doubted = n.t.RemovalIsHint && 2*gone > had
}

// serves tells whether a backend may get something: ready, or gone by a list that is doubted.
func (n *Balancer) serves(b *Backend) bool {
	return b.State == BackendReady || b.State == BackendRemoved && n.doubted && !b.drained && n.now-b.goneAt < n.t.rememberFor()
}

// ListFailed takes a failed call for the list; the old list still holds.
func (n *Balancer) PollFailed(now float64) {
	n.now, n.tracked = now, false
	// Growing, spread waits: a service of fixed capacity must not meet a storm of repeats.
	n.askAt = now + min(500*math.Exp2(float64(n.failures)), n.t.PollInterval/3, askAgain)*(0.5+n.rng.unit())
	n.failures++
	n.log("list call failed, %d in a row", n.failures)
}

// Arrived takes an op.
func (n *Balancer) RequestArrived(now float64, op *Request) {
	n.now = now
	op.Config = cmp.Or(op.Config, n.t)
	c := &op.Config.Classes[op.Class]
	op.cat, op.ArrivedAt = c, now
	op.HasCostHint = op.HasCostHint && op.CostHint > 0 && !math.IsInf(op.CostHint, 0)
	if op.HasCostHint {
		if len(n.cutoff.ring) >= hintsNeeded {
			op.long = op.CostHint > n.cutoff.share(cutoffShare)
		}
		n.cutoff.add(op.CostHint)
		op.work = op.CostHint
	} else {
		op.work = c.work.value
	}
	c.work.add(op.work)
	if op.work == 0 {
		op.work = c.LatencyObjective / 20 // nothing is known: a small part of what the category allows
	}
	n.excess(op)
	n.stirred = true
	n.value.add(n.benefit(op))
	n.work.add(op.work)
	n.extra = math.Min(n.extra+extraShare, extraMost)
	if c.Ordered && op.Key != 0 {
		n.queue(op)
	}
	n.want(op)
}

// Left takes the news that the op's client is gone.
func (n *Balancer) ClientGone(now float64, op *Request) {
	n.now = now
	n.end(op)
}

// Shortened takes an op whose give-up time was moved to sooner: what it waits for may be too late now.
func (n *Balancer) DeadlineShortened(now float64, op *Request) {
	n.now = now
	n.unhold(op)
	n.want(op)
}

// Begun takes the start of a streamed answer: the push is the client's from now on.
func (n *Balancer) ResponseStarted(now float64, p *Attempt) {
	n.now = now
	if p.Request.stage != ended {
		p.Request.stage = streaming
	}
}

// Sent takes the moment at which a streamed op's last byte has come and gone on: now its time counts.
func (n *Balancer) RequestBodySent(now float64, p *Attempt) {
	n.now = now
	if p.Request.stage == pushed && p.out {
		p.SentAt, p.Request.ArrivedAt, p.expect = now, now, n.predict(p.Backend, p.Request)
		n.begin(p)
	}
}

// Ended takes a push's ending; finished tells that the op has ended with it or before.
func (n *Balancer) AttemptEnded(now float64, p *Attempt, how Outcome, elapsed float64, finished bool) {
	n.now = now
	op, b := p.Request, p.Backend
	n.stirred = true
	b.drop(now, p)
	counted := p.counted()
	p.out, p.outcome = false, how
	if counted > 0 && (how == OutcomeTimedOut || how == OutcomeCanceled) { // its work may go on, perhaps for as long again
		n.at(due{at: now + elapsed, lingers: true})
	} else {
		n.abroad -= counted
	}
	switch {
	case how == OutcomeAnswered:
		n.waited(p, elapsed-op.work*n.paceOf(b))
	case how == OutcomeTimedOut && !p.overtaken():
		n.waited(p, elapsed)
	case how == OutcomeRejected: // a queue as long as can be
		n.waited(p, math.Inf(1))
	}
	switch how {
	case OutcomeAnswered:
		n.learn(b, p, elapsed)
	case OutcomeTimedOut:
		if !p.overtaken() { // else a connection fell silent, not the backend
			n.yield(b, 0)
			n.suspect(b, 1)
		}
	case OutcomeConnectFailed: // it is down, or has as many connections as it takes: either way not soon
		b.refused = math.Min(b.refused+1, 4)
		if n.t.ConnectionCost > 0 {
			b.restUntil = now + refusedFor*math.Exp2(b.refused-1)*(0.5+n.rng.unit())
		}
		n.suspect(b, 1)
	case OutcomeConnectionReset:
		b.brokeAt, n.fellAt = now, now
		if !n.breaks() {
			n.suspect(b, 1)
		}
	case OutcomeFailed:
		n.suspect(b, 1)
	case OutcomeRejected: // tells of load, not of a fault; so quick an ending would draw more
		n.yield(b, 0)
		n.ease(true)
		b.restUntil = now + n.work.value*n.paceOf(b)
	}
	b.joined = how != OutcomeConnectFailed && how != OutcomeConnectionReset && (b.joined || how == OutcomeAnswered || how == OutcomeRejected)
	if how == OutcomeTimedOut || how == OutcomeCanceled {
		// Work given up on may go on: the backend is not idle before it could be done.
		b.lingers = math.Max(b.lingers, now+op.work*n.paceOf(b))
	}
	n.idle = true
	if op.line != nil && (how == OutcomeTimedOut || how == OutcomeConnectionReset || how == OutcomeCanceled) { // it may run on
		op.line.rest = math.Max(op.line.rest, now+op.Config.UncertainCooldown+clockHair)
	}
	n.unqueue(op)
	if finished {
		n.end(op)
	} else if op.stage == pushed && op.out() == 0 {
		n.want(op)
	}
}

// Reported takes a backend's load report: its service time holds no waits, its queue is of all nodes' making.
func (n *Balancer) LoadReported(now float64, b *Backend, r LoadReport) {
	n.now = now
	if r.ServiceTime > 0 {
		n.service.add(r.ServiceTime)
		// The mean of a few hints can be far off: until twenty are seen, the fleet is rather a standard core's.
		n.paces.add(b, r.ServiceTime, (n.work.value*n.work.seen+20*n.service.value)/(n.work.seen+20))
	}
	if r.InFlight >= 0 && r.Queued >= 0 {
		b.cores = math.Max(b.cores, r.InFlight-r.Queued)
		n.crowd.add(b, now, r.Queued*n.work.value*n.paceOf(b)/math.Max(b.cores, 1))
	} else if r.InFlight >= 0 && r.Throughput >= 0 && r.ServiceTime >= 0 { // beyond what its rate keeps at work: a guess
		b.cores = math.Max(b.cores, math.Max(1, r.Throughput*r.ServiceTime/1e3))
		b.waits.add(now, math.Max(0, r.InFlight-b.cores)*n.work.value*n.paceOf(b)/b.cores)
	}
}

// Due takes a timer.
func (n *Balancer) TimerFired(now float64) {
	n.now = now
	// A clock rounded to a hair before the time asked for counts: else no timer would ever be set again.
	if now >= n.armed-clockHair {
		n.armed = math.Inf(1)
	}
}

// Next gives the next decision, if there is one. The clock is that of the latest input.
func (n *Balancer) Next() (Decision, bool) {
	for len(n.out) == 0 {
		switch {
		case len(n.waiting) > 0:
			op := n.waiting[0]
			n.waiting = n.waiting[1:]
			op.queued = false
			n.decide(op)
		case !n.tracked && n.now >= n.askAt:
			n.askAt = n.now + n.t.PollInterval/2 // once more where no reply comes at all
			n.out = append(n.out, Decision{Kind: DoPoll})
		case len(n.due) > 0 && n.due[0].at <= n.now:
			n.fallDue(heap.Pop(&n.due).(due))
		case n.idle:
			n.idle = false
			n.release()
		case n.stirred && n.now >= n.sweepAt:
			n.sweepAt = n.now + sweepEvery
			n.sweep()
		default:
			at := math.Inf(1)
			if n.stirred {
				at = n.sweepAt
			}
			if len(n.due) > 0 {
				at = math.Min(at, n.due[0].at)
			}
			if !n.tracked {
				at = math.Min(at, n.askAt)
			}
			if at >= n.armed {
				return Decision{}, false
			}
			n.armed = at
			return Decision{Kind: DoSetTimer, Wait: at - n.now}, true
		}
	}
	d := n.out[0]
	n.out = n.out[1:]
	return d, true
}

// Split tells of how many processes the node is made up, among which its cold budgets alone are divided: one
// has nearly all of its ops at any time. What the other spent counts until its window has passed.
func (n *Balancer) ProcessesChanged(now float64, of int) {
	n.now, n.of, n.whole = now, max(of, n.of), math.Inf(1)
	if of == 1 {
		n.whole = now + n.t.OverloadWindow
	}
}

// part is this node's of what all nodes together may.
func (n *Balancer) part(whole float64) float64 { return whole / float64(max(n.t.Nodes, 1)) }

// decide places an op that has nothing out.
func (n *Balancer) decide(op *Request) {
	switch {
	case op.stage == ended || op.stage == streaming || op.out() > 0:
	case !n.hasTurn(op):
		n.await(op)
	case op.stage == pushed:
		n.again(op)
	case op.IsClientRetry && op.cat.Idempotency != AtMostOnce && n.fell():
		n.tell(op, nil, ReasonPoisonRequest)
		n.giveUp(op)
	case !n.place(op):
		n.hold(op)
	}
}

// hasTurn tells whether no earlier op of its key is open or out, nor, before its first push, the key at rest.
func (n *Balancer) hasTurn(op *Request) bool {
	return op.line == nil || op.line.ops[0] == op && (len(op.Attempts) > 0 || n.now >= op.line.rest)
}

// await keeps an op until it is called up by its turn among those of its key, or ends it out of turn: at once
// where those before it are foreseen to take too long, else when it could no longer be in time.
func (n *Balancer) await(op *Request) {
	alone := op.work * n.paceOf(nil)
	wait := math.Max(0, op.line.rest-n.now)
	for _, o := range op.line.ops[:slices.Index(op.line.ops, op)] {
		wait += o.work*n.paceOf(nil) + n.wait(n.t.Zone)
		if len(o.Attempts) > 0 {
			wait = math.Max(wait-n.now+o.Attempts[0].SentAt, 0)
		}
	}
	if last := n.left(op) - alone; wait > last {
		n.giveUp(op)
	} else {
		n.at(due{at: n.now + last, op: op})
	}
}

// place sends an op on the ordinary path, if a backend has room for it.
func (n *Balancer) place(op *Request) bool {
	if op.long {
		return n.placeLong(op)
	}
	b := n.rotate(op)
	return b != nil && n.send(op, b)
}

// fell tells whether ops may bring down whatever backend begins them. Then one that met a reset is not sent
// on, nor are clients' repeats: each would take one more. First tries go on.
func (n *Balancer) fell() bool { return n.now-n.fellAt < fallenFor && !n.breaks() }

// breaks tells that connections lately broke by themselves: the backend answered right after a reset.
func (n *Balancer) breaks() bool { return n.now-n.aloneAt < fallenFor }

// bringHome finds the backend where an op's key is at home, the same at nodes that see the same fleet: one
// that met a key lately has less work with it. A cold one's keys wander off and come back.
func (n *Balancer) bringHome(op *Request) {
	op.home = nil
	if !n.t.KeyAffinity || op.Key == 0 {
		return
	}
	best := math.Inf(1)
	for _, b := range n.backends {
		x := -math.Log(mix(op.Key, b.ID)) / (b.Weight * n.warmth(b))
		if x < best && n.serves(b) && n.distrust(b) < shunAt {
			op.home, best = b, x
		}
	}
}

// again answers the failure of all an op's pushes so far: another backend within the budget, or the end.
func (n *Balancer) again(op *Request) {
	cost := 1.0
	if op.UncertainAttempt() == nil { // no work for the backends yet: a fleet replaced in bulk turns many away
		cost = 0
	}
	felled := n.fell() && slices.ContainsFunc(op.Attempts, func(p *Attempt) bool { return p.outcome == OutcomeConnectionReset })
	if !felled && n.left(op) > 0 && n.extra >= cost {
		if b := n.rotate(op); b != nil && n.predict(b, op) < n.left(op) && n.send(op, b) {
			n.extra -= cost
			return
		}
	}
	n.giveUp(op)
}

// placeLong sends a long to a backend with none of this node's work in flight, picked at random; own zone
// first, others where the op's benefit pays for the way.
func (n *Balancer) placeLong(op *Request) bool {
	n.bringHome(op)
	patience := n.patienceOf(op)
	var best []*Backend
	rank := 0
	for _, b := range n.backends {
		if n.tell(op, b, n.unfitForLong(op, b, patience)) != Eligible {
			continue
		}
		r := -2 * n.slowFor(b, op)
		if n.isNear(b) {
			r += 4 // half an eighth of its time left
		}
		if best == nil || r > rank {
			best, rank = best[:0], r
		}
		if r == rank {
			best = append(best, b)
		}
	}
	return len(best) > 0 && n.send(op, best[n.rng.below(len(best))])
}

// unfitForLong tells why a backend may draw no long. A quick error makes one idle at once and a cold one is
// idle by nature: neither may.
func (n *Balancer) unfitForLong(op *Request, b *Backend, patience float64) Reason {
	switch {
	case n.t.ConnectionCost > 0 && !b.own:
		return ReasonAtCapacity
	case len(b.out) > 0 || b.lingers > n.now:
		return ReasonBusy
	case n.distrust(b) >= math.Min(shunAt/2, shunFrom[op.cat.Idempotency]):
		return ReasonEjected
	case n.warmth(b) < 1:
		return ReasonWarmingUp
	}
	if r := n.gate(op, b); r != Eligible {
		return r
	}
	if !n.isNear(b) && n.crossCost(op) >= 0.5 {
		return ReasonCrossZoneCost
	}
	// Idle of this node's work says little where many nodes have a push out or none: others' may queue there.
	if n.hopeless(b, op, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// hold keeps a long without an idle backend and a short for which all have their most out. Where the wait is
// foreseen to be too long the op is nacked at once: holding it would only delay that.
func (n *Balancer) hold(op *Request) {
	time := n.holdTime(op, n.crossCost(op) < 0.5)
	if time > n.patienceOf(op) || time+op.work*n.paceOf(nil) > n.left(op) {
		n.giveUp(op)
		return
	}
	n.tell(op, nil, ReasonQueued)
	op.stage = held
	n.held = append(n.held, op)
	n.at(due{at: n.now + (1-lateShare)*n.leftToTarget(op), op: op})
}

// release gives backends that turned idle the held longs, and those with room again the held shorts, smallest
// estimate first.
func (n *Balancer) release() {
	if len(n.held) == 0 {
		return
	}
	for _, op := range n.held {
		op.estimate = op.work * n.leftToTarget(op) / math.Max(op.target()-op.ArrivedAt, 1)
	}
	slices.SortStableFunc(n.held, func(a, b *Request) int { return cmp.Compare(a.estimate, b.estimate) })
	rest, misses := n.held[:0], 0
	for _, op := range n.held {
		// Where some of the smallest find no room the others hardly do: a node has little CPU for looking on.
		if misses < 4 {
			if n.place(op) {
				continue
			}
			misses++
		}
		rest = append(rest, op)
	}
	n.held = rest
}

func (n *Balancer) fallDue(d due) {
	switch {
	case d.line != nil:
		n.turn(d.line)
	case d.op != nil && d.op.stage == fresh:
		n.giveUp(d.op) // its turn has not come in time
	case d.op != nil && d.op.stage == held: // the late send: the backend with fewest own in flight
		n.unhold(d.op)
		if b := n.fewest(d.op); b == nil || !n.send(d.op, b) {
			n.giveUp(d.op)
		}
	case d.push != nil && d.push.out:
		n.overdue(d.push)
	case d.lingers:
		n.abroad, n.idle = n.abroad-1, true
	}
}

// overdue answers a push that is out longer than its fellows' high quantile: silence is the first sign of a
// backend that takes work and answers none, long before a time-out.
func (n *Balancer) overdue(p *Attempt) {
	op := p.Request
	if op.stage != pushed || p.revoked {
		return
	}
	p.overdue = true
	if p.overtaken() {
		p.Backend.drop(n.now, p)
		n.idle = true
	} else {
		p.Backend.met.see(p.SentAt, n.now-p.SentAt) // of itself alone: the silence of a few is no crowd
		n.suspect(p.Backend, 0.5)
	}
	// Where one push is out at most it must end first, and its work goes on there: only where others answer
	// meanwhile, so that the backend is silent, not all crowded.
	if op.cat.Idempotency == AtMostOnce || n.extra < 1 || op.out() > 1 ||
		!op.Config.AllowHedging && (n.heard <= p.SentAt || n.distrust(p.Backend) < shunAt/2) {
		return
	}
	op.calledOff = !op.Config.AllowHedging
	b := n.rotate(op)
	op.calledOff = false
	switch {
	case b == nil || n.predict(b, op) > n.left(op):
	case !op.Config.AllowHedging:
		n.revoke(p) // its ending brings the op back
	case op.cat.Idempotency == Idempotent && n.send(op, b):
		n.extra--
	}
}

// rotate picks a backend by the rotation: own zone first, the others where that gains more than it costs.
func (n *Balancer) rotate(op *Request) *Backend {
	n.bringHome(op)
	patience := n.patienceOf(op)
	near, far := n.inTurn(op, true, patience), n.inTurn(op, false, patience)
	if far == nil {
		return near
	}
	time := n.leftToTarget(op)
	risk := func(wait float64) float64 { return math.Min(1, wait/time) }
	stay := 1.0 // what stays without a backend and for longer than it may wait is nacked: that is lost for sure
	if near != nil {
		stay = risk(n.predict(near, op))
	} else if wait := n.holdTime(op, false); wait <= patience {
		stay = risk(wait + op.work*n.paceOf(nil))
	}
	if stay-risk(n.predict(far, op)) > n.crossCost(op) {
		return far
	}
	return near
}

// inTurn is the rotation over one side: the backend whose turn is longest due, without those that run an own
// long or have more than the margin in flight; where none is left, the least loaded.
func (n *Balancer) inTurn(op *Request, near bool, patience float64) *Backend {
	out, room := 0.0, 0.0
	for _, b := range n.backends {
		if n.serves(b) && n.isNear(b) == near {
			out, room = out+float64(len(b.out)), room+n.size(b)
		}
	}
	margin := skipMargin * out / room
	var turn, least *Backend
	turnSlow, leastLoad := 0, 0.0
	for _, b := range n.backends {
		if n.isNear(b) != near || n.tell(op, b, n.passed(op, b, patience)) != Eligible {
			continue
		}
		load := float64(len(b.out)) / n.size(b)
		if b.longs > 0 {
			load += 2 // behind a long is the last place for a short
		}
		if least == nil || load < leastLoad || load == leastLoad && b.pass < least.pass {
			least, leastLoad = b, load
		}
		if b.longs > 0 {
			continue
		}
		if slow := n.slowFor(b, op); load <= margin &&
			(turn == nil || slow < turnSlow || slow == turnSlow && b.pass < turn.pass) {
			turn, turnSlow = b, slow
		}
	}
	return cmp.Or(turn, least)
}

// passed tells why the rotation passes a backend.
func (n *Balancer) passed(op *Request, b *Backend, patience float64) Reason {
	if op.tried(b) {
		return ReasonAlreadyTried
	}
	if r := n.unfit(op, b); r != Eligible {
		return r
	}
	if n.hopeless(b, op, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// unfit tells why a backend may be sent nothing now.
func (n *Balancer) unfit(op *Request, b *Backend) Reason {
	switch {
	case n.distrust(b) >= shunFrom[op.cat.Idempotency]:
		return ReasonEjected
	case n.full(b):
		return ReasonAtCapacity
	}
	return n.gate(op, b)
}

// slowFor is how many thirty-seconds of its time left an op takes at a backend, alone and behind what lately
// waited there, all at most: heavy ops earn the most, and a slow machine may not do one in time.
func (n *Balancer) slowFor(b *Backend, op *Request) int {
	extra := 0.0
	if n.t.ConnectionCost > 0 && !b.joined {
		extra = joinSteps
	}
	if op.home != nil && op.home != b {
		extra += awaySteps
	}
	return int(math.Min(extra+32*(op.work*n.paceOf(b)+b.lately(n.now, n.wait(b.Zone)))/n.leftToTarget(op), 32))
}

// fewest is the backend for a late send: fewest own in flight, own zone first among equals.
func (n *Balancer) fewest(op *Request) (best *Backend) {
	least := math.Inf(1)
	for _, b := range n.backends {
		load := float64(len(b.out)) / n.size(b)
		if !n.isNear(b) {
			load += math.Min(n.crossCost(op), 1)
		}
		// Equals by the rotation: by the list's order the late sends of all nodes would meet at one backend.
		if (load < least || load == least && b.pass < best.pass) &&
			n.tell(op, b, n.unfit(op, b)) == Eligible {
			best, least = b, load
		}
	}
	return best
}

// isNear tells whether a backend costs no crossing.
func (n *Balancer) isNear(b *Backend) bool { return n.t.CrossZoneCost == 0 || b.Zone == n.t.Zone }

// benefit is what an op answered in time earns.
func (n *Balancer) benefit(op *Request) float64 {
	v := op.cat.PriorityWeight
	if n.t.WeightByWork {
		v *= op.work
	}
	return v * n.within(op)
}

// within is the part of an op's benefit that is left by how likely it is beyond its tenant's share.
func (n *Balancer) within(op *Request) float64 { return 1 - op.excess*(1-n.t.OverQuotaWeight) }

// crossCost is the price of crossing zones as a share of what the op earns.
func (n *Balancer) crossCost(op *Request) float64 {
	return n.t.CrossZoneCost * n.value.value / math.Max(n.benefit(op), 1e-9)
}

// hopeless tells whether an op is not to be pushed to a backend: its answer would come too late, or it would
// wait behind others longer than ops of its benefit may. A heavy op's own time is not held against it.
func (n *Balancer) hopeless(b *Backend, op *Request, patience float64) bool {
	time, alone := n.predict(b, op), op.work*n.paceOf(b)
	if op.long { // a wait does not grow with the op, as what small ones took there would have it
		time = math.Min(time, alone+n.wait(b.Zone))
	}
	// Its say is what it is likely to earn: a quarter of heavy ops take less than half of what is foreseen.
	patience *= op.cat.LateWeight + (1-op.cat.LateWeight)*math.Min(1, n.leftToTarget(op)/time)
	return time > n.left(op) || time-alone > patience
}

// patienceOf is the wait behind others above which an op is nacked.
func (n *Balancer) patienceOf(op *Request) float64 {
	share := op.cat.patience * n.within(op)
	if op.IsClientRetry {
		share *= 0.1 // its time is gone for the most part, and in a crowd repeats are what keeps it one
	}
	return share * n.leftToTarget(op)
}

// open tells whether this node uses a backend in this slot of time. All nodes cross at once in a burst: soft
// shares bound the far backends, to others in each slot, more of them where answers come promptly.
func (n *Balancer) open(b *Backend) bool {
	if n.t.ConnectionCost > 0 {
		return b.own
	}
	return n.isNear(b) || n.lot(b, slot) <= max(leastFar, n.part(mostFirst), b.most-1)
}

// allot picks the part of the fleet that this node connects to, where connections have a price: backends take
// few. By the node's number on a ring that is the same at all nodes the parts spread evenly without
// agreement; who is shunned or refuses is replaced by the next as long as it does.
func (n *Balancer) allot() {
	for side, want := range [...]int{ownFar, ownNear} { // steps far from any fraction: no two numbers meet
		ring := n.ring(side == 1)
		for s := 0; want > 0 && s < 2*len(ring); s++ {
			_, at := math.Modf(float64(n.t.NodeIndex)*0.6180339887 + float64(s)*0.7548776662)
			b := ring[int(at*float64(len(ring)))]
			if !b.own && n.serves(b) && n.distrust(b) < shunAt && (b.refused == 0 || b.restUntil <= n.now) {
				want--
			}
			b.own = true
		}
	}
}

// leastWindow is two pushes at least, so that a silent backend doesn't stop a node; else what answers bear.
func (n *Balancer) leastWindow() float64 {
	return max(2, n.part(leastOut*float64(len(n.backends))), n.borne())
}

// ease lowers or raises how many pushes the node may have out in all. Many nodes of few ops each reach no cap
// of any backend, and hear of a queue too late to keep from feeding it: what is not answered yet holds back
// the next.
func (n *Balancer) ease(queued bool) {
	least := n.leastWindow()
	switch {
	case queued:
		n.window = math.Max(least, 0.8*math.Min(n.window, float64(n.abroad+1)))
	case float64(n.abroad+1) >= n.window:
		n.window += math.Min(n.window/4, 1/n.window)
	}
}

// full tells whether a backend has all the pushes that this node sends there at once. Beyond that they would
// queue, and a crowded backend may turn slower for all nodes.
func (n *Balancer) full(b *Backend) bool {
	if float64(n.abroad) >= n.window || b.restUntil > n.now || !n.open(b) {
		return true
	}
	// A part of a push more is rounded up where nodes are few, down where many of them would add up.
	return float64(len(b.out)) >= max(math.Floor(b.most+math.Min(n.part(mostFirst), 0.99)), 1)
}

// warmth is the share of its capacity that a backend is sure to have.
func (n *Balancer) warmth(b *Backend) float64 {
	started := math.Max(b.Started, b.back)
	if age := n.now - started; started > 0 && age < n.t.SlowStartWindow {
		return n.t.SlowStartShare + (1-n.t.SlowStartShare)*math.Max(age, 0)/n.t.SlowStartWindow
	}
	return 1
}

func (n *Balancer) suspect(b *Backend, by float64) {
	before := n.distrust(b)
	b.distrust.set(n.now, math.Min(b.distrust.get(n.now, distrustHalf)+by, 3*shunAt))
	if after := n.distrust(b); before < shunAt && after >= shunAt {
		n.log("backend %x shunned, %d out", b.ID, len(b.out))
	}
}

// learn takes what an answer tells of its backend.
func (n *Balancer) learn(b *Backend, p *Attempt, elapsed float64) {
	work := p.Request.work
	b.hear(n.now, p)
	n.heard = math.Max(n.heard, p.SentAt)
	n.answers.set(n.now, n.answers.get(n.now, rateHalf)+work*n.paceOf(b)+bearShare*p.Request.cat.LatencyObjective)
	n.paced(p, elapsed)
	// The mean work keeps small ops, or hints that say nothing, from making a backend look slow.
	b.tail.add(math.Max(elapsed, 0.1)/(work+n.work.value), 0.9, 0.1)
	b.flow.done += work
	// Queues that any node causes lengthen the answers of all: each yields, and shares what there is unasked.
	// The best pace seen is the measure: the present one holds queues that have come to stay.
	b.improve(n.paceOf(b))
	share := queueShare
	if b.most <= 1 { // a pause gives up more than a push in flight does: only for a queue that costs answers
		share = pauseShare
	}
	n.ease(elapsed-1.5*work*b.best > pauseShare*p.Request.cat.LatencyObjective)
	if elapsed-1.5*work*b.best > share*p.Request.cat.LatencyObjective {
		n.yield(b, elapsed)
	} else if float64(len(b.out)+1) >= b.most {
		b.most += math.Min(b.most/4, 1/b.most)
	}
	b.refused = 0
	if b.brokeAt > 0 && (n.now-b.brokeAt < restartFor || p.SentAt < b.brokeAt) {
		n.aloneAt = n.now
	}
	n.stretch.add(math.Max(elapsed, 0.1)/math.Max(p.expect, 1), 0.95, 0.02)
	if !p.overdue {
		b.distrust.set(n.now, b.distrust.get(n.now, distrustHalf)*0.8)
	}
}

// yield lowers a backend's cap. Below one it stands for pauses between pushes: with many nodes one push of
// each at all times can be more than a backend stands.
func (n *Balancer) yield(b *Backend, elapsed float64) {
	b.most = math.Max(b.most*0.8, math.Min(1, n.part(mostFirst)))
	if b.most < 1 {
		b.restUntil = math.Max(b.restUntil, n.now+(1/b.most-1)*elapsed)
	}
}

// sweep is the periodic look at what backends are against their fellows, and lets go of those long gone.
func (n *Balancer) sweep() {
	n.backends = slices.DeleteFunc(n.backends, func(b *Backend) bool { return b.past(n.now, n.t) })
	if math.IsInf(n.window, 1) && len(n.backends) > 0 { // all nodes may start at once, unaware
		n.window = n.leastWindow()
	}
	n.judge()
	if n.t.ConnectionCost > 0 {
		n.allot()
	}
	n.stirred = len(n.held) > 0
	doubts, tails := make([]float64, 0, len(n.backends)), make([]float64, 0, len(n.backends))
	clear(n.warm)
	weight := 0.0
	for _, b := range n.backends {
		if !n.serves(b) {
			continue
		}
		z := n.warm.of(b.Zone)
		if n.warmth(b) == 1 {
			z.took, z.speed = z.took+b.flow.perTime(n.now), z.speed+b.Weight/n.paceOf(b)
		}
		weight += b.Weight
		doubts = append(doubts, b.distrust.get(n.now, distrustHalf))
		if b.tail.seen > 5 {
			tails = append(tails, b.tail.value)
		}
	}
	// A sound quarter tells that the fault is not elsewhere, even where a lost zone is most of the fleet.
	n.doubt = share(doubts, 0.25)
	n.weight = max(weight, 1e-9) / max(float64(len(doubts)), 1)
	usual := share(tails, 0.5)
	for _, b := range n.backends {
		if b.tail.seen <= 5 || usual == 0 {
			continue
		}
		if ratio := b.tail.value / usual; ratio > 4 { // slower than the slowest of unlike machines would be
			b.distrust.set(n.now, math.Max(b.distrust.get(n.now, distrustHalf), math.Min(ratio/4, shunAt)))
		}
		b.tail.value *= math.Pow(usual/b.tail.value, 0.03) // what isn't seen again is forgotten in seconds
	}
	n.idle = true
}

// gate is the one that every push passes; it holds all the rules and tells by which a push may not go out.
func (n *Balancer) gate(op *Request, b *Backend) Reason {
	switch {
	case op.stage == ended || op.stage == streaming || op.Deadline <= n.now || len(op.Attempts) >= op.most():
		return ReasonRequestDone
	case !n.serves(b): // at once on being told: no grace is needed
		return ReasonNotReady
	case op.out() > 0 && !op.Config.AllowHedging && !op.calledOff:
		return ReasonNoHedging
	case !n.hasTurn(op):
		return ReasonOutOfOrder
	}
	if p := op.UncertainAttempt(); p != nil {
		switch first := p.Backend; {
		case op.cat.Idempotency == AtMostOnce:
			return ReasonMayHaveRun
		case op.cat.Idempotency == IdempotentWithKey && (n.now-p.SentAt >= op.cat.DedupWindow ||
			op.cat.DedupScope == DedupByZone && first.Zone != b.Zone || op.cat.DedupScope == DedupByCell && first.Cell != b.Cell):
			return ReasonMayHaveRun
		}
	}
	if !n.coldRoom(b, math.Max(op.work, op.cat.work.value/2)) {
		return ReasonSlowStartBudget
	}
	return Eligible
}

// coldRoom tells whether this node's part of a cold backend's budget has room for the work, in the window
// that ends now. Each node's part is its own to know, so that all keep the rule without agreement.
func (n *Balancer) coldRoom(b *Backend, work float64) bool {
	warm := n.warmth(b)
	if warm == 1 {
		return true
	}
	// Half a standard core until its kind's speed is known, one at most: what looks faster may be untrue.
	known, window := paceKnown*math.Max(n.work.value, 1), n.t.OverloadMultiple*warm*n.t.OverloadWindow
	whole := window / math.Max(n.paces.kinds.of(b.Kind).blend(2*n.weight/b.Weight, known), 1)
	part := coldSafety * n.part(whole) / n.processes()
	// What the zone's warm backends take of this node's work is its part already: parts add up to what they do.
	if z := n.warm.of(b.Zone); z.speed > 0 { // a slow machine stands less than fast ones take
		part = math.Max(part, coldSafety*window*z.took/z.speed*b.Weight/n.paceOf(b)/n.processes())
	}
	// Many nodes' parts are less than an op each: one that has spent nothing draws a lot for a whole one.
	spent := b.recent.within(n.now, n.t.OverloadWindow)
	return spent+work <= part ||
		spent == 0 && work <= lotMost*whole && n.lot(b, n.t.OverloadWindow)*n.processes() < lotShare*n.part(whole)/work
}

// send is the only way out for a push.
func (n *Balancer) send(op *Request, b *Backend) bool {
	if n.gate(op, b) != Eligible {
		return false
	}
	p := &Attempt{Request: op, Backend: b, Number: len(op.Attempts), SentAt: n.now, expect: n.predict(b, op), out: true,
		alone: len(b.out) < 2}
	op.Attempts, op.stage = append(op.Attempts, p), pushed
	b.recent.add(n.now, n.t.OverloadWindow, math.Max(op.work, op.cat.work.value/2))
	// A backend that comes back from being skipped takes its next turn, not all those it missed.
	n.round = math.Max(n.round, b.pass)
	b.pass = math.Max(b.pass, n.round-1) + 1/n.size(b)
	wait := 0.0
	if op.cat.LateWeight == 0 && !op.Streamed {
		wait = math.Max(n.left(op), 0.1)
	}
	n.out = append(n.out, Decision{Kind: DoAttempt, Request: op, Attempt: p, Wait: wait})
	if !op.Streamed { // else its client may take long to send it, which says nothing of the backend
		n.begin(p)
	}
	return true
}

// begin has a push count at its backend, and be looked at again when it is out for longer than its like.
func (n *Balancer) begin(p *Attempt) {
	p.begun, n.abroad = true, n.abroad+1
	p.Backend.take(n.now, p)
	// 20 ms for a connection's set-up and some ticks; the bounds keep odd days from ending all patience or none.
	patience := 20 + p.expect*math.Min(math.Max(n.stretch.get(4), 2), 8)
	if patience < n.left(p.Request) {
		n.at(due{at: n.now + patience, push: p})
	}
}

func (n *Balancer) revoke(p *Attempt) {
	if p.Request.Config.CancelAttempts && p.out && !p.revoked {
		p.revoked = true
		n.out = append(n.out, Decision{Kind: DoCancel, Request: p.Request, Attempt: p})
	}
}

// giveUp is the only way to a final answer of the node's own, and gives it at once.
func (n *Balancer) giveUp(op *Request) {
	if op.stage == ended || op.stage == streaming {
		return
	}
	kind := DoFail
	if op.UncertainAttempt() == nil || op.cat.Idempotency == Idempotent ||
		op.cat.Idempotency == IdempotentWithKey && op.cat.DedupScope == DedupByAll {
		kind = DoReject
	}
	d := Decision{Kind: kind, Request: op}
	if kind == DoReject && op.Config.SendRetryAfter {
		// About when half of what is held has gone: a repeat too late is lost, and all at once are a storm.
		wait := math.Min(op.cat.LatencyObjective, n.holdTime(op, false)) * (0.25 + 0.5*n.rng.unit())
		d.Wait = math.Min(op.Config.MaxRetryAfter, wait)
	}
	n.out = append(n.out, d)
	n.end(op)
}

// end closes an op and calls off what is still out for it.
func (n *Balancer) end(op *Request) {
	if op.stage == held {
		n.unhold(op)
	}
	if op.stage != streaming { // what streams is the client's
		for _, p := range op.Attempts {
			n.revoke(p)
		}
	}
	op.stage = ended
	n.unqueue(op)
}
