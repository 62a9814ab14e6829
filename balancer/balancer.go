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
	cutoffQuantile = 0.96 // the design's start for c
	minHints = 50   // below this many hints all ops count as short, by the design
	skipMargin  = 2.0  // the rotation passes a backend above this many times the mean, by the design
	lateSendShare   = 0.25 // a held op goes out late when this share of its time is left, by the design

	reviewInterval   = 100.0   // ms; several looks within the shortest target latency of human-facing services
	suspicionHalfLife = 4e3     // ms; distrust halves in this time, so a shunned backend is tried again in seconds
	backendQueueTolerance   = 0.03    // of the target latency: a queue this long is answered with fewer pushes in flight
	nodeQueueTolerance   = 0.2     // of it: a queue that long is answered with pauses where one push is out at most
	subsetPeriod         = 4e3     // ms; long enough to see a few answers, short enough to try all in half a minute
	minCrossZoneShare     = 0.2     // share of the far backends that a node uses at a time at least
	initialInFlight    = 3.0     // pushes queued on a backend of which nothing is known, by all nodes together
	minInFlightPerBackend     = 7.0     // pushes on each backend by all nodes together that are not too many for any
	toleratedWaitShare    = 0.4     // of the target latency that an answer may take beside its work, before it's too late
	pacePriorRequests    = 3.0     // mean ops' work that counts as the kind's against a backend's own pace
	atMostOnceThreshold      = 0.6     // distrust from which one gets nothing that can't be sent again: an error lately
	ejectionThreshold       = 2.0     // distrust from which a backend gets no traffic: two clear failures in a row
	retryTokensPerRequest   = 0.1     // further pushes an op earns for the budget; a retry storm can add no more load
	maxRetryTokens    = 20.0    // further pushes that may be saved up: one backend's work in flight at a failure
	rateHalfLife     = 3e3     // ms; a flood is seen within its first seconds, by nodes of an op a second too
	quotaMixPrior     = 8.0     // ops in the quotas' mix that count beside those seen
	drawBudgetShare     = 0.3     // of the cold budget, on average, goes by lots; chance may bring three times that
	maxDrawShare      = 1. / 16 // of it that one lot may be, so that many must win at once to push a backend over
	subsetSizeOwnZone      = 4       // backends to connect to: each is heard of often, and tables stay half empty
	subsetSizeOtherZones       = 2       // of those that cost a crossing
	poisonWindow    = 10e3    // ms; how long a fall is held against repeats: until a backend is back and half warm
	minRestartTime   = 1e3     // ms; a process that fell answers nothing for longer
	affinityPenaltySteps    = 8       // of them for another backend than the key's home: it does all the work anew
	connectPenaltySteps    = 2       // thirty-seconds of an op's time for a new connection: it costs both ends
	connectBackoffBase   = 1e3     // ms; a backend that refused a connection is asked again later and later
	maxPollBackoff     = 2.4e3   // ms, and half more: with 2 s for an answer, 6 s from being back to being heard
	clockResolution    = 1e-3    // ms; a clock may be rounded by as much
	slowStartSafety   = 0.6     // share of the cold budget used; hints are rough, connections cost work too
)

var ejectionThresholds = [...]float64{Idempotent: ejectionThreshold, IdempotentWithKey: ejectionThreshold, AtMostOnce: atMostOnceThreshold} // distrust

// Node decides for one instance. Nothing is shared between nodes.
type Balancer struct {
	config        *Config
	now      float64
	random      multiplyWithCarry
	backends []*Backend // all that the list named, in the order of their first naming
	cutoff   hintWindow
	pending  []*Request // ops that want a decision
	queuedRequests     []*Request // ops without a backend
	hasFreedCapacity     bool       // a backend has room again since held ops were last looked at
	decisions      []Decision
	timerEntries      timerHeap
	seq      uint64
	armedFor    float64 // when the earliest timer out falls due
	sweepAt  float64
	stirred  bool           // something came in since the last sweep: without, a node of many spends nothing
	round    float64        // how far the rotation has come
	retryTokens    float64        // budget for further pushes
	stretch  quantileEstimate       // how much longer than predicted answers take, at the high end
	meanPriority    runningMean           // of an op's benefit
	meanWork     runningMean           // of its work
	meanServiceTime  runningMean           // of the service times that backends report
	paces    paceTable          // of all backends and by kind of machine
	commonSuspicion    float64        // what distrust three in four backends show; a backend is judged against it
	meanWeight   float64        // mean weight of the ready backends
	isListDoubted  bool           // the list has taken away more than can have gone
	waitsByZone    waitTable          // how long pushes lately waited, by zone
	inFlightTotal   int            // pushes out in all
	inFlightLimit   float64        // how many may be out in all
	answeredTime  decayingCounter          // the time that each of the latest might have taken
	heard    float64        // when the latest push was sent that has been answered
	usageByZone     byPlace[zoneUsage] // what a zone's warm backends take of this node's work
	tracked  bool           // changes of the list come by themselves
	askAt    float64        // when the list is asked for where they don't
	failures int
	lastResetAt   float64          // when a push last ended in a reset
	answeredAfterResetAt  float64          // when a backend last answered right after one: connections break by themselves
	keyQueues    map[uint64]*keyQueue // of the keys of ops in categories that keep order
	processCount       int              // processes that this node was made up of
	processesSplitUntil    float64          // from when it is one again

	OnConsidered func(op *Request, b *Backend, r Reason) // is told of each backend looked at; nil but where it is explained
}

// New starts a node; now is the host's clock.
func New(t *Config, now float64) *Balancer {
	n := &Balancer{config: t, now: now, random: newMultiplyWithCarry(t.Seed), armedFor: math.Inf(1), sweepAt: now, meanWeight: 1,
		retryTokens: maxRetryTokens / 2, inFlightLimit: math.Inf(1), askAt: math.Inf(1), keyQueues: map[uint64]*keyQueue{},
		lastResetAt: math.Inf(-1), answeredAfterResetAt: math.Inf(-1)}
	n.weigh()
	if t.PollEndpoints {
		// Nodes restarted together must not call the list's one service together.
		n.askAt = now + 200*n.random.nextUnit()
	}
	return n
}

// Retuned takes new terms; from tells each category's former place, or -1. Ops keep those they came under.
func (n *Balancer) ConfigChanged(now float64, t *Config, from []int) {
	for i, k := range from {
		if k >= 0 && k < len(n.config.Classes) && i < len(t.Classes) {
			t.Classes[i].meanWork = n.config.Classes[k].meanWork
		}
	}
	n.now, n.config = now, t
	n.weigh()
}

// weigh tells each category's patience from its benefit against the others'.
func (n *Balancer) weigh() {
	t, most := n.config, 0.0
	for _, c := range t.Classes {
		most = math.Max(most, c.PriorityWeight)
	}
	for i := range t.Classes { // under overload the benefit that a unit of work earns decides who may wait
		c := &t.Classes[i]
		share := 0.1 + 0.35*c.PriorityWeight/math.Max(most, 1e-9)
		c.patienceShare = share
		for _, o := range t.Classes { // by a longer target the lesser would stay on in the way of the greater
			if o.PriorityWeight >= c.PriorityWeight {
				c.patienceShare = math.Min(c.patienceShare, share*o.LatencyObjective/c.LatencyObjective)
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
			b.markRemoved(now)
		}
	}
	for _, l := range lines {
		b := l.Backend
		if !b.tracked {
			n.backends = append(n.backends, b)
			b.tracked = true
			b.maxInFlight = 1 + n.perNodeShare(initialInFlight)
			b.rotationPass = n.round + n.random.nextUnit() // the rotation starts at random
		}
		back := b.isCordoned && !l.Cordoned // by hand: restarted meanwhile, which the list tells of late, if at all
		switch {
		case l.Cordoned && !b.isCordoned:
			b.cordonedAt = now
		case l.Started > b.cordonedAt: // it has told
			b.uncordonedAt = 0
		case back:
			b.uncordonedAt = now
		}
		if l.Started > b.Started || back { // a new process: what was learned of the old one's state is void
			b.drain, b.maxInFlight, b.suspicion, b.busyUntil, b.pausedUntil = drainEstimate{}, 1+n.perNodeShare(initialInFlight), decayingCounter{}, 0, 0
		}
		if l.State == BackendRemoved {
			b.markRemoved(now)
		}
		b.Zone, b.Cell, b.Kind, b.State, b.Started = l.Zone, l.Cell, l.Kind, l.State, l.Started
		if b.isCordoned = l.Cordoned; b.isCordoned { // whatever the list says
			b.State = min(b.State, BackendDraining)
		}
		b.wasDrained = b.State == BackendDraining || b.wasDrained && b.State == BackendRemoved
		b.Weight = l.Weight
		if !(b.Weight > 0) || math.IsInf(b.Weight, 0) {
			b.Weight = 1
		}
	}
	n.reviewBackends()
}

// judge tells whether to doubt the list, where what it takes away without a drain is a hint: more than half
// of what it lately had does not go at once, and if it had, failed connects would shun each of them.
func (n *Balancer) judge() {
	gone, had := 0, 0
	for _, b := range n.backends {
		if !b.wasDrained && (b.State == BackendReady || n.now-b.removedAt < n.config.retentionAfterRemoval()) {
			had++
			if b.State == BackendRemoved {
				gone++
			}
		}
	}
	n.isListDoubted = n.config.RemovalIsHint && 2*gone > had
}

// serves tells whether a backend may get something: ready, or gone by a list that is doubted.
func (n *Balancer) serves(b *Backend) bool {
	return b.State == BackendReady || b.State == BackendRemoved && n.isListDoubted && !b.wasDrained && n.now-b.removedAt < n.config.retentionAfterRemoval()
}

// ListFailed takes a failed call for the list; the old list still holds.
func (n *Balancer) PollFailed(now float64) {
	n.now, n.tracked = now, false
	// Growing, spread waits: a service of fixed capacity must not meet a storm of repeats.
	n.askAt = now + min(500*math.Exp2(float64(n.failures)), n.config.PollInterval/3, maxPollBackoff)*(0.5+n.random.nextUnit())
	n.failures++
	n.log("list call failed, %d in a row", n.failures)
}

// Arrived takes an op.
func (n *Balancer) RequestArrived(now float64, op *Request) {
	n.now = now
	op.Config = cmp.Or(op.Config, n.config)
	c := &op.Config.Classes[op.Class]
	op.class, op.ArrivedAt = c, now
	op.HasCostHint = op.HasCostHint && op.CostHint > 0 && !math.IsInf(op.CostHint, 0)
	if op.HasCostHint {
		if len(n.cutoff.ring) >= minHints {
			op.isLong = op.CostHint > n.cutoff.share(cutoffQuantile)
		}
		n.cutoff.add(op.CostHint)
		op.work = op.CostHint
	} else {
		op.work = c.meanWork.value
	}
	c.meanWork.add(op.work)
	if op.work == 0 {
		op.work = c.LatencyObjective / 20 // nothing is known: a small part of what the category allows
	}
	n.overQuotaLikelihood(op)
	n.stirred = true
	n.meanPriority.add(n.priorityOf(op))
	n.meanWork.add(op.work)
	n.retryTokens = math.Min(n.retryTokens+retryTokensPerRequest, maxRetryTokens)
	if c.Ordered && op.Key != 0 {
		n.queue(op)
	}
	n.schedule(op)
}

// Left takes the news that the op's client is gone.
func (n *Balancer) ClientGone(now float64, op *Request) {
	n.now = now
	n.endRequest(op)
}

// Shortened takes an op whose give-up time was moved to sooner: what it waits for may be too late now.
func (n *Balancer) DeadlineShortened(now float64, op *Request) {
	n.now = now
	n.unhold(op)
	n.schedule(op)
}

// Begun takes the start of a streamed answer: the push is the client's from now on.
func (n *Balancer) ResponseStarted(now float64, p *Attempt) {
	n.now = now
	if p.Request.stage != stageEnded {
		p.Request.stage = stageStreaming
	}
}

// Sent takes the moment at which a streamed op's last byte has come and gone on: now its time counts.
func (n *Balancer) RequestBodySent(now float64, p *Attempt) {
	n.now = now
	if p.Request.stage == stageInFlight && p.inFlight {
		p.SentAt, p.Request.ArrivedAt, p.expectedTime = now, now, n.predictAnswerTime(p.Backend, p.Request)
		n.startAttempt(p)
	}
}

// Ended takes a push's ending; finished tells that the op has ended with it or before.
func (n *Balancer) AttemptEnded(now float64, p *Attempt, how Outcome, elapsed float64, finished bool) {
	n.now = now
	op, b := p.Request, p.Backend
	n.stirred = true
	b.drop(now, p)
	counted := p.counted()
	p.inFlight, p.outcome = false, how
	if counted > 0 && (how == OutcomeTimedOut || how == OutcomeCanceled) { // its work may go on, perhaps for as long again
		n.setTimer(timer{at: now + elapsed, isWorkAbandoned: true})
	} else {
		n.inFlightTotal -= counted
	}
	switch {
	case how == OutcomeAnswered:
		n.recordWait(p, elapsed-op.work*n.paceOf(b))
	case how == OutcomeTimedOut && !p.isOvertaken():
		n.recordWait(p, elapsed)
	case how == OutcomeRejected: // a queue as long as can be
		n.recordWait(p, math.Inf(1))
	}
	switch how {
	case OutcomeAnswered:
		n.recordAnswer(b, p, elapsed)
	case OutcomeTimedOut:
		if !p.isOvertaken() { // else a connection fell silent, not the backend
			n.lowerBackendLimit(b, 0)
			n.addSuspicion(b, 1)
		}
	case OutcomeConnectFailed: // it is down, or has as many connections as it takes: either way not soon
		b.refusals = math.Min(b.refusals+1, 4)
		if n.config.ConnectionCost > 0 {
			b.pausedUntil = now + connectBackoffBase*math.Exp2(b.refusals-1)*(0.5+n.random.nextUnit())
		}
		n.addSuspicion(b, 1)
	case OutcomeConnectionReset:
		b.lastResetAt, n.lastResetAt = now, now
		if !n.resetsAreIsolated() {
			n.addSuspicion(b, 1)
		}
	case OutcomeFailed:
		n.addSuspicion(b, 1)
	case OutcomeRejected: // tells of load, not of a fault; so quick an ending would draw more
		n.lowerBackendLimit(b, 0)
		n.adjustInFlightLimit(true)
		b.pausedUntil = now + n.meanWork.value*n.paceOf(b)
	}
	b.isConnected = how != OutcomeConnectFailed && how != OutcomeConnectionReset && (b.isConnected || how == OutcomeAnswered || how == OutcomeRejected)
	if how == OutcomeTimedOut || how == OutcomeCanceled {
		// Work given up on may go on: the backend is not idle before it could be done.
		b.busyUntil = math.Max(b.busyUntil, now+op.work*n.paceOf(b))
	}
	n.hasFreedCapacity = true
	if op.keyQueue != nil && (how == OutcomeTimedOut || how == OutcomeConnectionReset || how == OutcomeCanceled) { // it may run on
		op.keyQueue.cooldownUntil = math.Max(op.keyQueue.cooldownUntil, now+op.Config.UncertainCooldown+clockResolution)
	}
	n.unqueue(op)
	if finished {
		n.endRequest(op)
	} else if op.stage == stageInFlight && op.inFlightCount() == 0 {
		n.schedule(op)
	}
}

// Reported takes a backend's load report: its service time holds no waits, its queue is of all nodes' making.
func (n *Balancer) LoadReported(now float64, b *Backend, r LoadReport) {
	n.now = now
	if r.ServiceTime > 0 {
		n.meanServiceTime.add(r.ServiceTime)
		// The mean of a few hints can be far off: until twenty are seen, the fleet is rather a standard core's.
		n.paces.add(b, r.ServiceTime, (n.meanWork.value*n.meanWork.seen+20*n.meanServiceTime.value)/(n.meanWork.seen+20))
	}
	if r.InFlight >= 0 && r.Queued >= 0 {
		b.maxCoresSeen = math.Max(b.maxCoresSeen, r.InFlight-r.Queued)
		n.waitsByZone.add(b, now, r.Queued*n.meanWork.value*n.paceOf(b)/math.Max(b.maxCoresSeen, 1))
	} else if r.InFlight >= 0 && r.Throughput >= 0 && r.ServiceTime >= 0 { // beyond what its rate keeps at work: a guess
		b.maxCoresSeen = math.Max(b.maxCoresSeen, math.Max(1, r.Throughput*r.ServiceTime/1e3))
		b.waits.add(now, math.Max(0, r.InFlight-b.maxCoresSeen)*n.meanWork.value*n.paceOf(b)/b.maxCoresSeen)
	}
}

// Due takes a timer.
func (n *Balancer) TimerFired(now float64) {
	n.now = now
	// A clock rounded to a hair before the time asked for counts: else no timer would ever be set again.
	if now >= n.armedFor-clockResolution {
		n.armedFor = math.Inf(1)
	}
}

// Next gives the next decision, if there is one. The clock is that of the latest input.
func (n *Balancer) Next() (Decision, bool) {
	for len(n.decisions) == 0 {
		switch {
		case len(n.pending) > 0:
			op := n.pending[0]
			n.pending = n.pending[1:]
			op.isPending = false
			n.decide(op)
		case !n.tracked && n.now >= n.askAt:
			n.askAt = n.now + n.config.PollInterval/2 // once more where no reply comes at all
			n.decisions = append(n.decisions, Decision{Kind: DoPoll})
		case len(n.timerEntries) > 0 && n.timerEntries[0].at <= n.now:
			n.fallDue(heap.Pop(&n.timerEntries).(timer))
		case n.hasFreedCapacity:
			n.hasFreedCapacity = false
			n.placeQueued()
		case n.stirred && n.now >= n.sweepAt:
			n.sweepAt = n.now + reviewInterval
			n.reviewBackends()
		default:
			at := math.Inf(1)
			if n.stirred {
				at = n.sweepAt
			}
			if len(n.timerEntries) > 0 {
				at = math.Min(at, n.timerEntries[0].at)
			}
			if !n.tracked {
				at = math.Min(at, n.askAt)
			}
			if at >= n.armedFor {
				return Decision{}, false
			}
			n.armedFor = at
			return Decision{Kind: DoSetTimer, Wait: at - n.now}, true
		}
	}
	d := n.decisions[0]
	n.decisions = n.decisions[1:]
	return d, true
}

// Split tells of how many processes the node is made up, among which its cold budgets alone are divided: one
// has nearly all of its ops at any time. What the other spent counts until its window has passed.
func (n *Balancer) ProcessesChanged(now float64, of int) {
	n.now, n.processCount, n.processesSplitUntil = now, max(of, n.processCount), math.Inf(1)
	if of == 1 {
		n.processesSplitUntil = now + n.config.OverloadWindow
	}
}

// part is this node's of what all nodes together may.
func (n *Balancer) perNodeShare(whole float64) float64 { return whole / float64(max(n.config.Nodes, 1)) }

// decide places an op that has nothing out.
func (n *Balancer) decide(op *Request) {
	switch {
	case op.stage == stageEnded || op.stage == stageStreaming || op.inFlightCount() > 0:
	case !n.isKeysTurn(op):
		n.await(op)
	case op.stage == stageInFlight:
		n.again(op)
	case op.IsClientRetry && op.class.Idempotency != AtMostOnce && n.suspectsPoisonRequest():
		n.recordReason(op, nil, ReasonPoisonRequest)
		n.giveUp(op)
	case !n.place(op):
		n.hold(op)
	}
}

// hasTurn tells whether no earlier op of its key is open or out, nor, before its first push, the key at rest.
func (n *Balancer) isKeysTurn(op *Request) bool {
	return op.keyQueue == nil || op.keyQueue.requests[0] == op && (len(op.Attempts) > 0 || n.now >= op.keyQueue.cooldownUntil)
}

// await keeps an op until it is called up by its turn among those of its key, or ends it out of turn: at once
// where those before it are foreseen to take too long, else when it could no longer be in time.
func (n *Balancer) await(op *Request) {
	alone := op.work * n.paceOf(nil)
	wait := math.Max(0, op.keyQueue.cooldownUntil-n.now)
	for _, o := range op.keyQueue.requests[:slices.Index(op.keyQueue.requests, op)] {
		wait += o.work*n.paceOf(nil) + n.zoneWait(n.config.Zone)
		if len(o.Attempts) > 0 {
			wait = math.Max(wait-n.now+o.Attempts[0].SentAt, 0)
		}
	}
	if last := n.timeLeft(op) - alone; wait > last {
		n.giveUp(op)
	} else {
		n.setTimer(timer{at: n.now + last, request: op})
	}
}

// place sends an op on the ordinary path, if a backend has room for it.
func (n *Balancer) place(op *Request) bool {
	if op.isLong {
		return n.placeLong(op)
	}
	b := n.selectByRotation(op)
	return b != nil && n.sendAttempt(op, b)
}

// fell tells whether ops may bring down whatever backend begins them. Then one that met a reset is not sent
// on, nor are clients' repeats: each would take one more. First tries go on.
func (n *Balancer) suspectsPoisonRequest() bool { return n.now-n.lastResetAt < poisonWindow && !n.resetsAreIsolated() }

// breaks tells that connections lately broke by themselves: the backend answered right after a reset.
func (n *Balancer) resetsAreIsolated() bool { return n.now-n.answeredAfterResetAt < poisonWindow }

// bringHome finds the backend where an op's key is at home, the same at nodes that see the same fleet: one
// that met a key lately has less work with it. A cold one's keys wander off and come back.
func (n *Balancer) bringHome(op *Request) {
	op.affinity = nil
	if !n.config.KeyAffinity || op.Key == 0 {
		return
	}
	best := math.Inf(1)
	for _, b := range n.backends {
		x := -math.Log(hashUnit(op.Key, b.ID)) / (b.Weight * n.slowStartFactor(b))
		if x < best && n.serves(b) && n.suspicionOf(b) < ejectionThreshold {
			op.affinity, best = b, x
		}
	}
}

// again answers the failure of all an op's pushes so far: another backend within the budget, or the end.
func (n *Balancer) again(op *Request) {
	cost := 1.0
	if op.UncertainAttempt() == nil { // no work for the backends yet: a fleet replaced in bulk turns many away
		cost = 0
	}
	felled := n.suspectsPoisonRequest() && slices.ContainsFunc(op.Attempts, func(p *Attempt) bool { return p.outcome == OutcomeConnectionReset })
	if !felled && n.timeLeft(op) > 0 && n.retryTokens >= cost {
		if b := n.selectByRotation(op); b != nil && n.predictAnswerTime(b, op) < n.timeLeft(op) && n.sendAttempt(op, b) {
			n.retryTokens -= cost
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
		if n.recordReason(op, b, n.unfitForLong(op, b, patience)) != Eligible {
			continue
		}
		r := -2 * n.timeSteps(b, op)
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
	return len(best) > 0 && n.sendAttempt(op, best[n.random.nextBelow(len(best))])
}

// unfitForLong tells why a backend may draw no long. A quick error makes one idle at once and a cold one is
// idle by nature: neither may.
func (n *Balancer) unfitForLong(op *Request, b *Backend, patience float64) Reason {
	switch {
	case n.config.ConnectionCost > 0 && !b.inSubset:
		return ReasonAtCapacity
	case len(b.inFlight) > 0 || b.busyUntil > n.now:
		return ReasonBusy
	case n.suspicionOf(b) >= math.Min(ejectionThreshold/2, ejectionThresholds[op.class.Idempotency]):
		return ReasonEjected
	case n.slowStartFactor(b) < 1:
		return ReasonWarmingUp
	}
	if r := n.checkRules(op, b); r != Eligible {
		return r
	}
	if !n.isNear(b) && n.crossCost(op) >= 0.5 {
		return ReasonCrossZoneCost
	}
	// Idle of this node's work says little where many nodes have a push out or none: others' may queue there.
	if n.isTooSlow(b, op, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// hold keeps a long without an idle backend and a short for which all have their most out. Where the wait is
// foreseen to be too long the op is nacked at once: holding it would only delay that.
func (n *Balancer) hold(op *Request) {
	time := n.queueTime(op, n.crossCost(op) < 0.5)
	if time > n.patienceOf(op) || time+op.work*n.paceOf(nil) > n.timeLeft(op) {
		n.giveUp(op)
		return
	}
	n.recordReason(op, nil, ReasonQueued)
	op.stage = stageQueued
	n.queuedRequests = append(n.queuedRequests, op)
	n.setTimer(timer{at: n.now + (1-lateSendShare)*n.timeToObjective(op), request: op})
}

// release gives backends that turned idle the held longs, and those with room again the held shorts, smallest
// estimate first.
func (n *Balancer) placeQueued() {
	if len(n.queuedRequests) == 0 {
		return
	}
	for _, op := range n.queuedRequests {
		op.estimate = op.work * n.timeToObjective(op) / math.Max(op.objectiveTime()-op.ArrivedAt, 1)
	}
	slices.SortStableFunc(n.queuedRequests, func(a, b *Request) int { return cmp.Compare(a.estimate, b.estimate) })
	rest, misses := n.queuedRequests[:0], 0
	for _, op := range n.queuedRequests {
		// Where some of the smallest find no room the others hardly do: a node has little CPU for looking on.
		if misses < 4 {
			if n.place(op) {
				continue
			}
			misses++
		}
		rest = append(rest, op)
	}
	n.queuedRequests = rest
}

func (n *Balancer) fallDue(d timer) {
	switch {
	case d.keyQueue != nil:
		n.wakeKeyQueue(d.keyQueue)
	case d.request != nil && d.request.stage == stageNew:
		n.giveUp(d.request) // its turn has not come in time
	case d.request != nil && d.request.stage == stageQueued: // the late send: the backend with fewest own in flight
		n.unhold(d.request)
		if b := n.fewest(d.request); b == nil || !n.sendAttempt(d.request, b) {
			n.giveUp(d.request)
		}
	case d.attempt != nil && d.attempt.inFlight:
		n.overdue(d.attempt)
	case d.isWorkAbandoned:
		n.inFlightTotal, n.hasFreedCapacity = n.inFlightTotal-1, true
	}
}

// overdue answers a push that is out longer than its fellows' high quantile: silence is the first sign of a
// backend that takes work and answers none, long before a time-out.
func (n *Balancer) overdue(p *Attempt) {
	op := p.Request
	if op.stage != stageInFlight || p.canceled {
		return
	}
	p.isOverdue = true
	if p.isOvertaken() {
		p.Backend.drop(n.now, p)
		n.hasFreedCapacity = true
	} else {
		p.Backend.lastWait.record(p.SentAt, n.now-p.SentAt) // of itself alone: the silence of a few is no crowd
		n.addSuspicion(p.Backend, 0.5)
	}
	// Where one push is out at most it must end first, and its work goes on there: only where others answer
	// meanwhile, so that the backend is silent, not all crowded.
	if op.class.Idempotency == AtMostOnce || n.retryTokens < 1 || op.inFlightCount() > 1 ||
		!op.Config.AllowHedging && (n.heard <= p.SentAt || n.suspicionOf(p.Backend) < ejectionThreshold/2) {
		return
	}
	op.calledOff = !op.Config.AllowHedging
	b := n.selectByRotation(op)
	op.calledOff = false
	switch {
	case b == nil || n.predictAnswerTime(b, op) > n.timeLeft(op):
	case !op.Config.AllowHedging:
		n.revoke(p) // its ending brings the op back
	case op.class.Idempotency == Idempotent && n.sendAttempt(op, b):
		n.retryTokens--
	}
}

// rotate picks a backend by the rotation: own zone first, the others where that gains more than it costs.
func (n *Balancer) selectByRotation(op *Request) *Backend {
	n.bringHome(op)
	patience := n.patienceOf(op)
	near, far := n.nextInRotation(op, true, patience), n.nextInRotation(op, false, patience)
	if far == nil {
		return near
	}
	time := n.timeToObjective(op)
	risk := func(wait float64) float64 { return math.Min(1, wait/time) }
	stay := 1.0 // what stays without a backend and for longer than it may wait is nacked: that is lost for sure
	if near != nil {
		stay = risk(n.predictAnswerTime(near, op))
	} else if wait := n.queueTime(op, false); wait <= patience {
		stay = risk(wait + op.work*n.paceOf(nil))
	}
	if stay-risk(n.predictAnswerTime(far, op)) > n.crossCost(op) {
		return far
	}
	return near
}

// inTurn is the rotation over one side: the backend whose turn is longest due, without those that run an own
// long or have more than the margin in flight; where none is left, the least loaded.
func (n *Balancer) nextInRotation(op *Request, near bool, patience float64) *Backend {
	out, room := 0.0, 0.0
	for _, b := range n.backends {
		if n.serves(b) && n.isNear(b) == near {
			out, room = out+float64(len(b.inFlight)), room+n.rotationShare(b)
		}
	}
	margin := skipMargin * out / room
	var turn, least *Backend
	turnSlow, leastLoad := 0, 0.0
	for _, b := range n.backends {
		if n.isNear(b) != near || n.recordReason(op, b, n.passed(op, b, patience)) != Eligible {
			continue
		}
		load := float64(len(b.inFlight)) / n.rotationShare(b)
		if b.longInFlight > 0 {
			load += 2 // behind a long is the last place for a short
		}
		if least == nil || load < leastLoad || load == leastLoad && b.rotationPass < least.rotationPass {
			least, leastLoad = b, load
		}
		if b.longInFlight > 0 {
			continue
		}
		if slow := n.timeSteps(b, op); load <= margin &&
			(turn == nil || slow < turnSlow || slow == turnSlow && b.rotationPass < turn.rotationPass) {
			turn, turnSlow = b, slow
		}
	}
	return cmp.Or(turn, least)
}

// passed tells why the rotation passes a backend.
func (n *Balancer) passed(op *Request, b *Backend, patience float64) Reason {
	if op.hasTried(b) {
		return ReasonAlreadyTried
	}
	if r := n.unfit(op, b); r != Eligible {
		return r
	}
	if n.isTooSlow(b, op, patience) {
		return ReasonTooSlow
	}
	return Eligible
}

// unfit tells why a backend may be sent nothing now.
func (n *Balancer) unfit(op *Request, b *Backend) Reason {
	switch {
	case n.suspicionOf(b) >= ejectionThresholds[op.class.Idempotency]:
		return ReasonEjected
	case n.isAtCapacity(b):
		return ReasonAtCapacity
	}
	return n.checkRules(op, b)
}

// slowFor is how many thirty-seconds of its time left an op takes at a backend, alone and behind what lately
// waited there, all at most: heavy ops earn the most, and a slow machine may not do one in time.
func (n *Balancer) timeSteps(b *Backend, op *Request) int {
	extra := 0.0
	if n.config.ConnectionCost > 0 && !b.isConnected {
		extra = connectPenaltySteps
	}
	if op.affinity != nil && op.affinity != b {
		extra += affinityPenaltySteps
	}
	return int(math.Min(extra+32*(op.work*n.paceOf(b)+b.expectedWait(n.now, n.zoneWait(b.Zone)))/n.timeToObjective(op), 32))
}

// fewest is the backend for a late send: fewest own in flight, own zone first among equals.
func (n *Balancer) fewest(op *Request) (best *Backend) {
	least := math.Inf(1)
	for _, b := range n.backends {
		load := float64(len(b.inFlight)) / n.rotationShare(b)
		if !n.isNear(b) {
			load += math.Min(n.crossCost(op), 1)
		}
		// Equals by the rotation: by the list's order the late sends of all nodes would meet at one backend.
		if (load < least || load == least && b.rotationPass < best.rotationPass) &&
			n.recordReason(op, b, n.unfit(op, b)) == Eligible {
			best, least = b, load
		}
	}
	return best
}

// isNear tells whether a backend costs no crossing.
func (n *Balancer) isNear(b *Backend) bool { return n.config.CrossZoneCost == 0 || b.Zone == n.config.Zone }

// benefit is what an op answered in time earns.
func (n *Balancer) priorityOf(op *Request) float64 {
	v := op.class.PriorityWeight
	if n.config.WeightByWork {
		v *= op.work
	}
	return v * n.quotaFactor(op)
}

// within is the part of an op's benefit that is left by how likely it is beyond its tenant's share.
func (n *Balancer) quotaFactor(op *Request) float64 { return 1 - op.overQuota*(1-n.config.OverQuotaWeight) }

// crossCost is the price of crossing zones as a share of what the op earns.
func (n *Balancer) crossCost(op *Request) float64 {
	return n.config.CrossZoneCost * n.meanPriority.value / math.Max(n.priorityOf(op), 1e-9)
}

// hopeless tells whether an op is not to be pushed to a backend: its answer would come too late, or it would
// wait behind others longer than ops of its benefit may. A heavy op's own time is not held against it.
func (n *Balancer) isTooSlow(b *Backend, op *Request, patience float64) bool {
	time, alone := n.predictAnswerTime(b, op), op.work*n.paceOf(b)
	if op.isLong { // a wait does not grow with the op, as what small ones took there would have it
		time = math.Min(time, alone+n.zoneWait(b.Zone))
	}
	// Its say is what it is likely to earn: a quarter of heavy ops take less than half of what is foreseen.
	patience *= op.class.LateWeight + (1-op.class.LateWeight)*math.Min(1, n.timeToObjective(op)/time)
	return time > n.timeLeft(op) || time-alone > patience
}

// patienceOf is the wait behind others above which an op is nacked.
func (n *Balancer) patienceOf(op *Request) float64 {
	share := op.class.patienceShare * n.quotaFactor(op)
	if op.IsClientRetry {
		share *= 0.1 // its time is gone for the most part, and in a crowd repeats are what keeps it one
	}
	return share * n.timeToObjective(op)
}

// open tells whether this node uses a backend in this slot of time. All nodes cross at once in a burst: soft
// shares bound the far backends, to others in each slot, more of them where answers come promptly.
func (n *Balancer) mayUse(b *Backend) bool {
	if n.config.ConnectionCost > 0 {
		return b.inSubset
	}
	return n.isNear(b) || n.slotDraw(b, subsetPeriod) <= max(minCrossZoneShare, n.perNodeShare(initialInFlight), b.maxInFlight-1)
}

// allot picks the part of the fleet that this node connects to, where connections have a price: backends take
// few. By the node's number on a ring that is the same at all nodes the parts spread evenly without
// agreement; who is shunned or refuses is replaced by the next as long as it does.
func (n *Balancer) chooseSubset() {
	for side, want := range [...]int{subsetSizeOtherZones, subsetSizeOwnZone} { // steps far from any fraction: no two numbers meet
		ring := n.hashRing(side == 1)
		for s := 0; want > 0 && s < 2*len(ring); s++ {
			_, at := math.Modf(float64(n.config.NodeIndex)*0.6180339887 + float64(s)*0.7548776662)
			b := ring[int(at*float64(len(ring)))]
			if !b.inSubset && n.serves(b) && n.suspicionOf(b) < ejectionThreshold && (b.refusals == 0 || b.pausedUntil <= n.now) {
				want--
			}
			b.inSubset = true
		}
	}
}

// leastWindow is two pushes at least, so that a silent backend doesn't stop a node; else what answers bear.
func (n *Balancer) minInFlightLimit() float64 {
	return max(2, n.perNodeShare(minInFlightPerBackend*float64(len(n.backends))), n.affordableInFlight())
}

// ease lowers or raises how many pushes the node may have out in all. Many nodes of few ops each reach no cap
// of any backend, and hear of a queue too late to keep from feeding it: what is not answered yet holds back
// the next.
func (n *Balancer) adjustInFlightLimit(queued bool) {
	least := n.minInFlightLimit()
	switch {
	case queued:
		n.inFlightLimit = math.Max(least, 0.8*math.Min(n.inFlightLimit, float64(n.inFlightTotal+1)))
	case float64(n.inFlightTotal+1) >= n.inFlightLimit:
		n.inFlightLimit += math.Min(n.inFlightLimit/4, 1/n.inFlightLimit)
	}
}

// full tells whether a backend has all the pushes that this node sends there at once. Beyond that they would
// queue, and a crowded backend may turn slower for all nodes.
func (n *Balancer) isAtCapacity(b *Backend) bool {
	if float64(n.inFlightTotal) >= n.inFlightLimit || b.pausedUntil > n.now || !n.mayUse(b) {
		return true
	}
	// A part of a push more is rounded up where nodes are few, down where many of them would add up.
	return float64(len(b.inFlight)) >= max(math.Floor(b.maxInFlight+math.Min(n.perNodeShare(initialInFlight), 0.99)), 1)
}

// warmth is the share of its capacity that a backend is sure to have.
func (n *Balancer) slowStartFactor(b *Backend) float64 {
	started := math.Max(b.Started, b.uncordonedAt)
	if age := n.now - started; started > 0 && age < n.config.SlowStartWindow {
		return n.config.SlowStartShare + (1-n.config.SlowStartShare)*math.Max(age, 0)/n.config.SlowStartWindow
	}
	return 1
}

func (n *Balancer) addSuspicion(b *Backend, by float64) {
	before := n.suspicionOf(b)
	b.suspicion.set(n.now, math.Min(b.suspicion.get(n.now, suspicionHalfLife)+by, 3*ejectionThreshold))
	if after := n.suspicionOf(b); before < ejectionThreshold && after >= ejectionThreshold {
		n.log("backend %x shunned, %d out", b.ID, len(b.inFlight))
	}
}

// learn takes what an answer tells of its backend.
func (n *Balancer) recordAnswer(b *Backend, p *Attempt, elapsed float64) {
	work := p.Request.work
	b.hear(n.now, p)
	n.heard = math.Max(n.heard, p.SentAt)
	n.answeredTime.set(n.now, n.answeredTime.get(n.now, rateHalfLife)+work*n.paceOf(b)+toleratedWaitShare*p.Request.class.LatencyObjective)
	n.recordPace(p, elapsed)
	// The mean work keeps small ops, or hints that say nothing, from making a backend look slow.
	b.answerRatio.add(math.Max(elapsed, 0.1)/(work+n.meanWork.value), 0.9, 0.1)
	b.drain.done += work
	// Queues that any node causes lengthen the answers of all: each yields, and shares what there is unasked.
	// The best pace seen is the measure: the present one holds queues that have come to stay.
	b.improve(n.paceOf(b))
	share := backendQueueTolerance
	if b.maxInFlight <= 1 { // a pause gives up more than a push in flight does: only for a queue that costs answers
		share = nodeQueueTolerance
	}
	n.adjustInFlightLimit(elapsed-1.5*work*b.bestPace > nodeQueueTolerance*p.Request.class.LatencyObjective)
	if elapsed-1.5*work*b.bestPace > share*p.Request.class.LatencyObjective {
		n.lowerBackendLimit(b, elapsed)
	} else if float64(len(b.inFlight)+1) >= b.maxInFlight {
		b.maxInFlight += math.Min(b.maxInFlight/4, 1/b.maxInFlight)
	}
	b.refusals = 0
	if b.lastResetAt > 0 && (n.now-b.lastResetAt < minRestartTime || p.SentAt < b.lastResetAt) {
		n.answeredAfterResetAt = n.now
	}
	n.stretch.add(math.Max(elapsed, 0.1)/math.Max(p.expectedTime, 1), 0.95, 0.02)
	if !p.isOverdue {
		b.suspicion.set(n.now, b.suspicion.get(n.now, suspicionHalfLife)*0.8)
	}
}

// yield lowers a backend's cap. Below one it stands for pauses between pushes: with many nodes one push of
// each at all times can be more than a backend stands.
func (n *Balancer) lowerBackendLimit(b *Backend, elapsed float64) {
	b.maxInFlight = math.Max(b.maxInFlight*0.8, math.Min(1, n.perNodeShare(initialInFlight)))
	if b.maxInFlight < 1 {
		b.pausedUntil = math.Max(b.pausedUntil, n.now+(1/b.maxInFlight-1)*elapsed)
	}
}

// sweep is the periodic look at what backends are against their fellows, and lets go of those long gone.
func (n *Balancer) reviewBackends() {
	n.backends = slices.DeleteFunc(n.backends, func(b *Backend) bool { return b.forgetIfGone(n.now, n.config) })
	if math.IsInf(n.inFlightLimit, 1) && len(n.backends) > 0 { // all nodes may start at once, unaware
		n.inFlightLimit = n.minInFlightLimit()
	}
	n.judge()
	if n.config.ConnectionCost > 0 {
		n.chooseSubset()
	}
	n.stirred = len(n.queuedRequests) > 0
	doubts, tails := make([]float64, 0, len(n.backends)), make([]float64, 0, len(n.backends))
	clear(n.usageByZone)
	weight := 0.0
	for _, b := range n.backends {
		if !n.serves(b) {
			continue
		}
		z := n.usageByZone.at(b.Zone)
		if n.slowStartFactor(b) == 1 {
			z.work, z.speed = z.work+b.drain.perTime(n.now), z.speed+b.Weight/n.paceOf(b)
		}
		weight += b.Weight
		doubts = append(doubts, b.suspicion.get(n.now, suspicionHalfLife))
		if b.answerRatio.seen > 5 {
			tails = append(tails, b.answerRatio.value)
		}
	}
	// A sound quarter tells that the fault is not elsewhere, even where a lost zone is most of the fleet.
	n.commonSuspicion = valueAtShare(doubts, 0.25)
	n.meanWeight = max(weight, 1e-9) / max(float64(len(doubts)), 1)
	usual := valueAtShare(tails, 0.5)
	for _, b := range n.backends {
		if b.answerRatio.seen <= 5 || usual == 0 {
			continue
		}
		if ratio := b.answerRatio.value / usual; ratio > 4 { // slower than the slowest of unlike machines would be
			b.suspicion.set(n.now, math.Max(b.suspicion.get(n.now, suspicionHalfLife), math.Min(ratio/4, ejectionThreshold)))
		}
		b.answerRatio.value *= math.Pow(usual/b.answerRatio.value, 0.03) // what isn't seen again is forgotten in seconds
	}
	n.hasFreedCapacity = true
}

// gate is the one that every push passes; it holds all the rules and tells by which a push may not go out.
func (n *Balancer) checkRules(op *Request, b *Backend) Reason {
	switch {
	case op.stage == stageEnded || op.stage == stageStreaming || op.Deadline <= n.now || len(op.Attempts) >= op.maxAttempts():
		return ReasonRequestDone
	case !n.serves(b): // at once on being told: no grace is needed
		return ReasonNotReady
	case op.inFlightCount() > 0 && !op.Config.AllowHedging && !op.calledOff:
		return ReasonNoHedging
	case !n.isKeysTurn(op):
		return ReasonOutOfOrder
	}
	if p := op.UncertainAttempt(); p != nil {
		switch first := p.Backend; {
		case op.class.Idempotency == AtMostOnce:
			return ReasonMayHaveRun
		case op.class.Idempotency == IdempotentWithKey && (n.now-p.SentAt >= op.class.DedupWindow ||
			op.class.DedupScope == DedupByZone && first.Zone != b.Zone || op.class.DedupScope == DedupByCell && first.Cell != b.Cell):
			return ReasonMayHaveRun
		}
	}
	if !n.hasSlowStartBudget(b, math.Max(op.work, op.class.meanWork.value/2)) {
		return ReasonSlowStartBudget
	}
	return Eligible
}

// coldRoom tells whether this node's part of a cold backend's budget has room for the work, in the window
// that ends now. Each node's part is its own to know, so that all keep the rule without agreement.
func (n *Balancer) hasSlowStartBudget(b *Backend, work float64) bool {
	warm := n.slowStartFactor(b)
	if warm == 1 {
		return true
	}
	// Half a standard core until its kind's speed is known, one at most: what looks faster may be untrue.
	known, window := pacePriorRequests*math.Max(n.meanWork.value, 1), n.config.OverloadMultiple*warm*n.config.OverloadWindow
	whole := window / math.Max(n.paces.byKind.at(b.Kind).blend(2*n.meanWeight/b.Weight, known), 1)
	part := slowStartSafety * n.perNodeShare(whole) / n.activeProcesses()
	// What the zone's warm backends take of this node's work is its part already: parts add up to what they do.
	if z := n.usageByZone.at(b.Zone); z.speed > 0 { // a slow machine stands less than fast ones take
		part = math.Max(part, slowStartSafety*window*z.work/z.speed*b.Weight/n.paceOf(b)/n.activeProcesses())
	}
	// Many nodes' parts are less than an op each: one that has spent nothing draws a lot for a whole one.
	spent := b.recentWork.sumWithin(n.now, n.config.OverloadWindow)
	return spent+work <= part ||
		spent == 0 && work <= maxDrawShare*whole && n.slotDraw(b, n.config.OverloadWindow)*n.activeProcesses() < drawBudgetShare*n.perNodeShare(whole)/work
}

// send is the only way out for a push.
func (n *Balancer) sendAttempt(op *Request, b *Backend) bool {
	if n.checkRules(op, b) != Eligible {
		return false
	}
	p := &Attempt{Request: op, Backend: b, Number: len(op.Attempts), SentAt: n.now, expectedTime: n.predictAnswerTime(b, op), inFlight: true,
		wasAlone: len(b.inFlight) < 2}
	op.Attempts, op.stage = append(op.Attempts, p), stageInFlight
	b.recentWork.add(n.now, n.config.OverloadWindow, math.Max(op.work, op.class.meanWork.value/2))
	// A backend that comes back from being skipped takes its next turn, not all those it missed.
	n.round = math.Max(n.round, b.rotationPass)
	b.rotationPass = math.Max(b.rotationPass, n.round-1) + 1/n.rotationShare(b)
	wait := 0.0
	if op.class.LateWeight == 0 && !op.Streamed {
		wait = math.Max(n.timeLeft(op), 0.1)
	}
	n.decisions = append(n.decisions, Decision{Kind: DoAttempt, Request: op, Attempt: p, Wait: wait})
	if !op.Streamed { // else its client may take long to send it, which says nothing of the backend
		n.startAttempt(p)
	}
	return true
}

// begin has a push count at its backend, and be looked at again when it is out for longer than its like.
func (n *Balancer) startAttempt(p *Attempt) {
	p.hasStarted, n.inFlightTotal = true, n.inFlightTotal+1
	p.Backend.take(n.now, p)
	// 20 ms for a connection's set-up and some ticks; the bounds keep odd days from ending all patience or none.
	patience := 20 + p.expectedTime*math.Min(math.Max(n.stretch.valueOr(4), 2), 8)
	if patience < n.timeLeft(p.Request) {
		n.setTimer(timer{at: n.now + patience, attempt: p})
	}
}

func (n *Balancer) revoke(p *Attempt) {
	if p.Request.Config.CancelAttempts && p.inFlight && !p.canceled {
		p.canceled = true
		n.decisions = append(n.decisions, Decision{Kind: DoCancel, Request: p.Request, Attempt: p})
	}
}

// giveUp is the only way to a final answer of the node's own, and gives it at once.
func (n *Balancer) giveUp(op *Request) {
	if op.stage == stageEnded || op.stage == stageStreaming {
		return
	}
	kind := DoFail
	if op.UncertainAttempt() == nil || op.class.Idempotency == Idempotent ||
		op.class.Idempotency == IdempotentWithKey && op.class.DedupScope == DedupByAll {
		kind = DoReject
	}
	d := Decision{Kind: kind, Request: op}
	if kind == DoReject && op.Config.SendRetryAfter {
		// About when half of what is held has gone: a repeat too late is lost, and all at once are a storm.
		wait := math.Min(op.class.LatencyObjective, n.queueTime(op, false)) * (0.25 + 0.5*n.random.nextUnit())
		d.Wait = math.Min(op.Config.MaxRetryAfter, wait)
	}
	n.decisions = append(n.decisions, d)
	n.endRequest(op)
}

// end closes an op and calls off what is still out for it.
func (n *Balancer) endRequest(op *Request) {
	if op.stage == stageQueued {
		n.unhold(op)
	}
	if op.stage != stageStreaming { // what streams is the client's
		for _, p := range op.Attempts {
			n.revoke(p)
		}
	}
	op.stage = stageEnded
	n.unqueue(op)
}
