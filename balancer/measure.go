package balancer

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// fade is what is left now of something last counted at a time.
func decayFactor(at, now, half float64) float64 { return math.Exp2((at - now) / half) }

// fader is a sum that fades with time.
type decayingCounter struct{ sum, at float64 }

func (f *decayingCounter) get(now, half float64) float64 {
	if f.sum == 0 || now <= f.at {
		return f.sum
	}
	x := f.sum * decayFactor(f.at, now, half)
	if x < 1e-3 { // next to nothing costs no more reckoning
		f.sum, x = 0, 0
	}
	return x
}

func (f *decayingCounter) set(now, sum float64) { f.sum, f.at = sum, now }

// mean is that of all there was at first, then one that forgets over fifty.
type runningMean struct{ value, seen float64 }

func (m *runningMean) add(x float64) {
	m.seen = math.Min(m.seen+1, 50)
	m.value += (x - m.value) / m.seen
}

// quantile follows one quantile of a stream of ratios, in steps of equal proportion.
type quantileEstimate struct {
	value float64
	seen  int
}

func (q *quantileEstimate) add(x, share, step float64) {
	q.seen++
	switch {
	case q.seen == 1:
		q.value = x
	case x > q.value:
		q.value *= math.Exp(math.Max(step, 1/float64(q.seen)) * share)
	default:
		q.value *= math.Exp(-math.Max(step, 1/float64(q.seen)) * (1 - share))
	}
}

func (q *quantileEstimate) valueOr(unknown float64) float64 {
	if q.seen == 0 {
		return unknown
	}
	return q.value
}

// pace is time spent over work done, where each sample weighs by its work: small ops' ratios say little. It
// remembers some thirty samples.
type paceEstimate struct{ time, work float64 }

func (p *paceEstimate) add(time, work float64) {
	p.time, p.work = 0.97*p.time+time, 0.97*p.work+work
}

// blend counts the usual for as much work as is known of it.
func (p *paceEstimate) blend(usual, known float64) float64 { return (p.time + known*usual) / (p.work + known) }

// paces are those of all backends together and of each kind of machine.
type paceTable struct {
	all   paceEstimate
	byKind byPlace[paceEstimate]
}

// add takes a time for some work at a backend.
func (p *paceTable) add(b *Backend, time, work float64) {
	b.pace.add(time, work)
	p.byKind.at(b.Kind).add(time, work)
	p.all.add(time, work)
}

// flow is work done over time with any in hand, both fading.
type drainEstimate struct{ done, busyTime, at float64 }

const (
	drainHalfLife  = 2e3   // ms; a queue seen is believed about as long as one lasts
	drainPrior = 100.0 // ms at the usual rate that count before anything is seen
)

func (f *drainEstimate) tally(now float64, inHand bool) {
	left := decayFactor(f.at, now, drainHalfLife)
	if inHand {
		f.busyTime += now - f.at
	}
	f.done, f.busyTime, f.at = f.done*left, f.busyTime*left, now
}

func (f drainEstimate) rate(now float64, inHand bool, usual float64) float64 {
	if f.at == 0 { // most backends of a large fleet are new to a node: next to no reckoning for them
		return usual
	}
	f.tally(now, inHand)
	return (f.done + drainPrior*usual) / (f.busyTime + drainPrior)
}

// unseen is the share of what would be known of a busy backend that is not.
func (f drainEstimate) unseen(now float64) float64 {
	return drainPrior / (drainPrior + f.busyTime*decayFactor(f.at, now, drainHalfLife))
}

// perTime is the work done over time, idle or not.
func (f drainEstimate) perTime(now float64) float64 {
	if f.done == 0 {
		return 0
	}
	return f.done * decayFactor(f.at, now, drainHalfLife) * math.Ln2 / drainHalfLife
}

// recent is a mean of what was lately seen, next to nothing where nothing was.
type decayingMean struct{ sum, count, at float64 }

const waitHalfLife = 3e3 // ms; a zone is believed crowded a little longer than one backend

func (r *decayingMean) add(now, x float64) {
	left := decayFactor(r.at, now, waitHalfLife)
	r.sum, r.count, r.at = r.sum*left+x, r.count*left+1, now
}

// mean counts some samples of the usual beside what was seen: one alone is chance.
func (r *decayingMean) mean(now, usual, some float64) float64 {
	left := decayFactor(r.at, now, waitHalfLife)
	return (r.sum*left + some*usual) / (r.count*left + some)
}

// crowd is how long pushes lately waited behind others, by zone and in all.
type waitTable struct {
	all   decayingMean
	byZone byPlace[decayingMean]
}

func (c *waitTable) add(b *Backend, now, wait float64) {
	c.all.add(now, wait)
	c.byZone.at(b.Zone).add(now, wait)
	b.waits.add(now, wait)
}

// met is the wait of the latest push whose wait is known, as of when it was sent.
type latestWait struct{ wait, at float64 }

const (
	lastWaitHalfLife  = 300.0 // ms; a queue behind one heavy op forms and goes within a second
	lastWaitShare = 0.75  // of a wait just met: what came to the backend meanwhile is not seen
)

func (m *latestWait) record(at, wait float64) {
	if at >= m.at {
		m.wait, m.at = wait, at
	}
}

// lately is the wait believed at a backend: first of all what was just met there, then what is usual.
func (b *Backend) expectedWait(now, usual float64) float64 {
	usual = b.waits.mean(now, usual, 1)
	return usual + (b.lastWait.wait-usual)*lastWaitShare*decayFactor(b.lastWait.at, now, lastWaitHalfLife)
}

// perPlace keeps something for each zone, or kind, by its place in the list of them.
type byPlace[T any] []T

func (p *byPlace[T]) at(place int) *T {
	for len(*p) <= place {
		*p = append(*p, *new(T))
	}
	return &(*p)[place]
}

// took is the work of a zone's warm backends for this node over time, and the speed of all their cores.
type zoneUsage struct{ work, speed float64 }

// spend keeps what was spent within a span that ends now.
type slidingSum struct{ at, amount []float64 }

func (s *slidingSum) add(now, span, amount float64) {
	for len(s.at) > 0 && s.at[0] <= now-span {
		s.at, s.amount = s.at[1:], s.amount[1:]
	}
	s.at, s.amount = append(s.at, now), append(s.amount, amount)
}

func (s *slidingSum) sumWithin(now, span float64) (sum float64) {
	for i, at := range s.at {
		if at > now-span {
			sum += s.amount[i]
		}
	}
	return sum
}

// mwc is a multiply-with-carry generator.
type multiplyWithCarry struct{ x, carry uint64 }

func newMultiplyWithCarry(seed uint64) multiplyWithCarry {
	m := multiplyWithCarry{x: seed&0xffffffff | 1, carry: seed>>32 | 1}
	for range 8 { // the first numbers follow the seed too closely
		m.nextUnit()
	}
	return m
}

func (m *multiplyWithCarry) nextUnit() float64 {
	t := 4294957665*m.x + m.carry
	m.x, m.carry = t&0xffffffff, t>>32
	return float64(m.x) / (1 << 32)
}

func (m *multiplyWithCarry) nextBelow(n int) int { return int(m.nextUnit() * float64(n)) }

// due is something that falls due at a time; equal times keep the order in which they were set.
type timer struct {
	at      float64
	seq     uint64
	request      *Request // a held op's late send
	attempt    *Attempt // a push's patience
	keyQueue    *keyQueue    // a key's rest is over
	isWorkAbandoned bool     // what was given up on is believed done
}

type timerHeap []timer

func (d timerHeap) Len() int      { return len(d) }
func (d timerHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d timerHeap) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d *timerHeap) Push(x any) { *d = append(*d, x.(timer)) }
func (d *timerHeap) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// window keeps the last hints, also in order of size.
type hintWindow struct {
	ring, sorted []float64
	next         int
}

const hintWindowSize = 500 // hints; twenty of them lie above the cutoff, enough to place it

func (w *hintWindow) add(x float64) {
	if len(w.ring) < hintWindowSize {
		w.ring = append(w.ring, x)
	} else {
		i := sort.SearchFloat64s(w.sorted, w.ring[w.next])
		w.sorted = append(w.sorted[:i], w.sorted[i+1:]...)
		w.ring[w.next] = x
		w.next = (w.next + 1) % hintWindowSize
	}
	i := sort.SearchFloat64s(w.sorted, x)
	w.sorted = append(w.sorted, 0)
	copy(w.sorted[i+1:], w.sorted[i:])
	w.sorted[i] = x
}

func (w *hintWindow) share(s float64) float64 {
	i := int(math.Ceil(s*float64(len(w.sorted)))) - 1
	return w.sorted[max(i, 0)]
}

// mix hashes a key with a backend to [0, 1), so that a key keeps its backend while others come and go.
func hashUnit(key, ref uint64) float64 {
	x := (key ^ ref*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return float64((x^x>>29)>>11) / (1 << 53)
}

// ring gives one side's backends in an order that is the same at all nodes and has to do with nothing else, owned by none.
func (n *Balancer) hashRing(near bool) (side []*Backend) {
	for _, b := range n.backends {
		if n.isNear(b) == near {
			b.inSubset, side = false, append(side, b)
		}
	}
	slices.SortFunc(side, func(a, b *Backend) int { return cmp.Compare(hashUnit(a.ID, 1), hashUnit(b.ID, 1)) })
	return side
}

// lot is this node's own draw for a backend, another in each span of time.
func (n *Balancer) slotDraw(b *Backend, span float64) float64 {
	return hashUnit(b.ID+uint64(n.now/span+hashUnit(n.config.Seed, b.ID))<<48, n.config.Seed)
}

// share gives the value that this share of the values lie under.
func valueAtShare(x []float64, s float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)
	return x[int(s*float64(len(x)))]
}

// excess judges how likely an op is beyond its tenant's share. Nodes carry very unlike parts of the traffic:
// against an equal part of the quota alone a busy one always floods. The mix must be off too, beside a few
// ops of the usual.
func (n *Balancer) overQuotaLikelihood(op *Request) {
	if op.Tenant >= len(n.config.Tenants) {
		return
	}
	w := &n.config.Tenants[op.Tenant]
	w.rate.set(n.now, w.rate.get(n.now, rateHalfLife)+1)
	n.config.tenantRate.set(n.now, n.config.tenantRate.get(n.now, rateHalfLife)+1) // all fade alike, and so does their sum
	if w.Quota == 0 {
		return
	}
	quotas := n.config.quotas()
	own, all := w.rate.sum+quotaMixPrior*w.Quota/quotas, n.config.tenantRate.sum+quotaMixPrior
	odds := own * (quotas - w.Quota) / math.Max((all-own)*w.Quota, 1e-9)
	if quotas == w.Quota {
		odds = math.Inf(1)
	}
	odds = math.Min(odds, w.rate.sum*1e3*math.Ln2/rateHalfLife*float64(n.config.Nodes)/w.Quota)
	op.overQuota = math.Max(0, 1-1/odds)
}

// quotas is the sum of all tenants', added up when it is first asked for.
func (t *Config) quotas() float64 {
	if t.quotaSum == 0 {
		for _, w := range t.Tenants {
			t.quotaSum += w.Quota
		}
	}
	return t.quotaSum
}

// waited takes how long a push waited behind others: no one wait, silence neither, is more than the target.
func (n *Balancer) recordWait(p *Attempt, wait float64) {
	wait = math.Min(math.Max(0, wait), p.Request.class.LatencyObjective)
	n.waitsByZone.add(p.Backend, n.now, wait)
	p.Backend.lastWait.record(p.SentAt, wait)
}

// processes is of how many the node is made up as far as budgets go.
func (n *Balancer) activeProcesses() float64 {
	if n.now < n.processesSplitUntil {
		return float64(max(n.processCount, 1))
	}
	return 1
}

// rate is the work that the backends of this node's zone lately did for it over time, or those of all zones.
func (n *Balancer) totalDrainRate(all bool) (rate float64) {
	for _, b := range n.backends {
		if (all || n.isNear(b)) && n.serves(b) && n.suspicionOf(b) < ejectionThreshold {
			rate += n.drainRate(b)
		}
	}
	return rate
}

// paceOf is a backend's time for a unit of work, its kind's until its own is known, that of all for none.
// Machines of one weight may differ threefold; where nodes are many, only their kind's pace can be known.
func (n *Balancer) paceOf(b *Backend) float64 {
	known := pacePriorRequests * math.Max(n.meanWork.value, 1)
	if b == nil {
		return n.paces.all.blend(1, known) // a standard core's, before any answer
	}
	return b.pace.blend(n.paces.byKind.at(b.Kind).blend(n.paceOf(nil), known), known)
}

// paced takes what an answer's time tells of its backend's pace. Behind own pushes it tells of the queue, not of the
// backend; what backends report is better.
func (n *Balancer) recordPace(p *Attempt, elapsed float64) {
	if !p.wasAlone || n.meanServiceTime.seen > 0 {
		return
	}
	share, work := 1.0, p.Request.work
	if elapsed > work*n.paceOf(p.Backend) { // others' queues lengthen times, nothing shortens them
		share = 0.25
	}
	n.paces.add(p.Backend, share*elapsed, share*work)
}

// improve takes a backend's pace of now; a better one is forgotten over a thousand answers.
func (b *Backend) improve(pace float64) {
	if b.bestPace == 0 || pace < b.bestPace {
		b.bestPace = pace
	}
	b.bestPace *= 1.001
}

// borne is how many pushes would be out if the ops that lately got answers had each waited as long as they may: by
// Little's law, at the rate at which answers come. Where backends turn slow it falls with that rate, and a node
// of much traffic has more of it than one of little; all nodes' together keep waits within that time.
func (n *Balancer) affordableInFlight() float64 { return n.answeredTime.get(n.now, rateHalfLife) * math.Ln2 / rateHalfLife }

// drain is the work a backend lately did for this node per millisecond with any there. It holds what others
// send, slowness, and silence: with pushes out and no answers it falls by itself.
func (n *Balancer) drainRate(b *Backend) float64 {
	return b.drain.rate(n.now, len(b.inFlight) > 0, 1/n.paceOf(b))
}

// wait is how long pushes lately waited in a zone. One hardly known counts half as crowded as the rest: taken
// for empty, all nodes would try it as soon as the fleet is crowded; for just as crowded, none ever would.
func (n *Balancer) zoneWait(zone int) float64 {
	return n.waitsByZone.byZone.at(zone).mean(n.now, 0.5*n.waitsByZone.all.mean(n.now, 0, 4), 4)
}

// left is the time in which an answer still earns something.
func (n *Balancer) timeLeft(op *Request) float64 {
	if op.class.LateWeight == 0 {
		return op.objectiveTime() - n.now
	}
	return op.Deadline - n.now
}

// leftToTarget is the time in which an answer earns all, or what little is left where that has passed.
func (n *Balancer) timeToObjective(op *Request) float64 {
	return math.Max(1, op.objectiveTime()-n.now)
}

// predict is the answer time expected of a backend: the work this node has there and the new op's at the rate
// at which it lately drained such work, and never less than the op alone takes. What this node has not lately
// seen of it is taken from the zone: each of many nodes hears of one backend once in a minute.
func (n *Balancer) predictAnswerTime(b *Backend, op *Request) float64 {
	alone := op.work * n.paceOf(b)
	return math.Max((b.workInFlight+op.work)/n.drainRate(b), alone+b.drain.unseen(n.now)*n.zoneWait(b.Zone))
}

// distrust is the fading score against the fellows': what all show is not the backend's fault.
func (n *Balancer) suspicionOf(b *Backend) float64 {
	return math.Max(0, b.suspicion.get(n.now, suspicionHalfLife)-n.commonSuspicion)
}

// holdTime is the time an op would be held behind what is held already, at the rate at which its zone lately
// does this node's work, or all zones where it may cross. Its own work counts only where others are held: heavy
// ops are no cause for nacks.
func (n *Balancer) queueTime(op *Request, cross bool) float64 {
	rate, ahead := n.totalDrainRate(cross), 0.0
	for _, o := range n.queuedRequests {
		ahead += o.work
	}
	if ahead > 0 {
		ahead += op.work
	}
	if rate == 0 {
		return math.Inf(1)
	}
	return ahead/rate + n.zoneWait(n.config.Zone)
}

// size is what share of the rotation a backend gets: its weight and speed against the mean, less while it is
// cold or distrusted.
func (n *Balancer) rotationShare(b *Backend) float64 {
	return math.Max(b.Weight/n.meanWeight*n.slowStartFactor(b)/(1+n.suspicionOf(b))*n.paceOf(nil)/n.paceOf(b), 1e-3)
}
