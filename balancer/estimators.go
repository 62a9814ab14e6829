package balancer

import (
	"math"
	"sort"
)

// Estimators turn what attempts and load reports show into predictions: how fast backends work (pace), how fast they drain
// what this node sends (drain rate), how long requests wait there (waits). Times are in ms, work in ms on a standard core;
// a pace is the one over the other. What a node has not seen of a backend itself is taken from its kind of machine or from
// its zone, and at last from a standard core: in a large fleet a node hears of one backend about once a minute.

const (
	// pacePriorRequests of mean work count as the kind's pace against a backend's own.
	pacePriorRequests = 3.0
	// queuedSampleShare is the weight of a sample that is slower than the known pace: others' queues lengthen times, and
	// nothing shortens them.
	queuedSampleShare = 0.25
	// bestPaceGrowth a sample forgets the best pace seen over a thousand answers.
	bestPaceGrowth = 1.001
	// minAnswerTime in ms: clocks round shorter ones to nothing.
	minAnswerTimeMs = 0.1
	// reportedWorkPrior is how many requests of the reported service time count beside the cost hints seen: the mean of a
	// few hints can be far off, and until then the fleet is rather a standard core's.
	reportedWorkPrior = 20
	// zoneWaitPrior is how many samples of the usual count beside those of a zone: one alone is chance.
	zoneWaitPrior = 4
	// unknownZoneWait is the share of all zones' waits that a zone is taken to have of which little is known. Taken for
	// empty, all nodes would try it as soon as the fleet is crowded; for as crowded as the rest, none ever would.
	unknownZoneWait = 0.5
)

// estimates are those that hold for more than one backend.
type estimates struct {
	priority    runningMean // of the requests' values
	work        runningMean // of the requests' work
	serviceTime runningMean // that backends report
	paces       paceTable
	waits       waitTable
}

// NotReported is a value of a load report that was not sent; all real ones are at least 0.
const NotReported = -1

// LoadReport is what a backend says of its load in an answer.
type LoadReport struct {
	ServiceTime float64 // mean service time in ms, without waiting
	InFlight    float64 // requests that it has, of all nodes
	Queued      float64 // of those, the ones not yet at work
	Throughput  float64 // requests done a second
}

// EmptyLoadReport is a report without any value.
func EmptyLoadReport() LoadReport {
	return LoadReport{NotReported, NotReported, NotReported, NotReported}
}

// HasValues reports whether the report has any value.
func (r LoadReport) HasValues() bool { return r != EmptyLoadReport() }

// LoadReported records a backend's load report. Its service time holds no waits, and its queue is of all nodes' making, so
// that both are better than what this node sees. Without a queue, what the backend has beyond what its throughput
// keeps at work is a guess at one, which counts for the backend alone and not for its zone.
func (lb *Balancer) LoadReported(now float64, backend *Backend, report LoadReport) {
	lb.now = now
	work := &lb.estimates.work
	if report.ServiceTime > 0 {
		lb.estimates.serviceTime.add(report.ServiceTime)
		lb.estimates.paces.add(backend, report.ServiceTime,
			(work.value*work.seen+reportedWorkPrior*lb.estimates.serviceTime.value)/(work.seen+reportedWorkPrior))
	}
	if report.InFlight >= 0 && report.Queued >= 0 {
		backend.maxCoresSeen = math.Max(backend.maxCoresSeen, report.InFlight-report.Queued)
		lb.estimates.waits.add(backend, now, report.Queued*work.value*lb.paceOf(backend)/math.Max(backend.maxCoresSeen, 1))
	} else if report.InFlight >= 0 && report.Throughput >= 0 && report.ServiceTime >= 0 {
		backend.maxCoresSeen = math.Max(backend.maxCoresSeen, math.Max(1, report.Throughput*report.ServiceTime/1e3))
		backend.waits.add(now, math.Max(0, report.InFlight-backend.maxCoresSeen)*work.value*lb.paceOf(backend)/backend.maxCoresSeen)
	}
}

// recordAnswer records what an answer tells of its backend, for all rules that learn from answers.
func (lb *Balancer) recordAnswer(backend *Backend, attempt *Attempt, elapsed float64) {
	work := attempt.Request.work
	backend.releaseOvertaken(lb.now, attempt)
	lb.retries.latestAnsweredSentAt = math.Max(lb.retries.latestAnsweredSentAt, attempt.SentAt)
	lb.recordAnsweredTime(backend, attempt.Request)
	lb.recordPace(attempt, elapsed)
	// The mean work keeps small requests, or hints that say nothing, from making a backend look slow.
	backend.answerRatio.add(math.Max(elapsed, minAnswerTimeMs)/(work+lb.estimates.work.value), answerRatioQuantile, answerRatioStep)
	backend.completionRate.done += work
	backend.updateBestPace(lb.paceOf(backend))
	lb.adjustLimits(backend, attempt, elapsed)
	backend.refusals = 0
	lb.recordAnswerAfterReset(backend, attempt)
	lb.recordOverrun(attempt, elapsed)
	if !attempt.isOverdue {
		backend.suspicion.set(lb.now, backend.suspicion.get(lb.now, suspicionHalfLifeMs)*suspicionLeftByAnswer)
	}
}

// predictAnswerTime is the answer time in ms expected of a backend: the work that this node has there and the request's, at
// the rate at which the backend lately drained such work, and never less than the request takes alone. For what this
// node has not lately seen of the backend, the zone's waits stand in.
func (lb *Balancer) predictAnswerTime(backend *Backend, request *Request) float64 {
	alone := request.work * lb.paceOf(backend)
	return math.Max((backend.workInFlight+request.work)/lb.completionRate(backend), alone+backend.completionRate.priorShare(lb.now)*lb.zoneWait(backend.Zone))
}

// paceOf is a backend's time for a unit of work: its kind's until its own is known, and that of all for nil. Machines of
// one weight may differ threefold; where nodes are many, only the pace of a kind can be known.
func (lb *Balancer) paceOf(backend *Backend) float64 {
	known := pacePriorRequests * math.Max(lb.estimates.work.value, 1)
	if backend == nil {
		return lb.estimates.paces.all.blend(1, known) // a standard core's, before any answer
	}
	return backend.pace.blend(lb.estimates.paces.byKind.at(backend.Kind).blend(lb.paceOf(nil), known), known)
}

// recordPace records what an answer's time tells of its backend's pace. Behind other attempts of this node's it tells
// of the queue, not of the backend; and what backends report is better.
func (lb *Balancer) recordPace(attempt *Attempt, elapsed float64) {
	if !attempt.wasAlone || lb.estimates.serviceTime.seen > 0 {
		return
	}
	share, work := 1.0, attempt.Request.work
	if elapsed > work*lb.paceOf(attempt.Backend) {
		share = queuedSampleShare
	}
	lb.estimates.paces.add(attempt.Backend, share*elapsed, share*work)
}

// updateBestPace updates it by the present pace; a better one is forgotten in time.
func (b *Backend) updateBestPace(pace float64) {
	if b.bestPace == 0 || pace < b.bestPace {
		b.bestPace = pace
	}
	b.bestPace *= bestPaceGrowth
}

// drainRate is the work a ms that a backend lately did for this node while it had any. It holds what others send, slowness
// and silence: with attempts in flight and no answers it falls by itself.
func (lb *Balancer) completionRate(backend *Backend) float64 {
	return backend.completionRate.rate(lb.now, len(backend.inFlight) > 0, 1/lb.paceOf(backend))
}

// totalDrainRate is the drain rate of the backends of this node's zone, or of all zones.
func (lb *Balancer) totalCompletionRate(allZones bool) (rate float64) {
	for _, backend := range lb.backends {
		if (allZones || lb.isNear(backend)) && lb.isUsable(backend) && lb.suspicionOf(backend) < ejectionThreshold {
			rate += lb.completionRate(backend)
		}
	}
	return rate
}

// recordWait records how long an attempt waited behind others. No single wait counts for more than the latency objective,
// silence neither.
func (lb *Balancer) recordWait(attempt *Attempt, wait float64) {
	wait = math.Min(math.Max(0, wait), attempt.Request.class.LatencyObjective)
	lb.estimates.waits.add(attempt.Backend, lb.now, wait)
	attempt.Backend.lastWait.record(attempt.SentAt, wait)
}

// zoneWait is how long attempts lately waited in a zone.
func (lb *Balancer) zoneWait(zone int) float64 {
	usual := unknownZoneWait * lb.estimates.waits.all.mean(lb.now, 0, zoneWaitPrior)
	return lb.estimates.waits.byZone.at(zone).mean(lb.now, usual, zoneWaitPrior)
}

// expectedWait is the wait expected at a backend: first of all what was just met there, then what is usual.
func (b *Backend) expectedWait(now, usual float64) float64 {
	usual = b.waits.mean(now, usual, 1)
	return usual + (b.lastWait.wait-usual)*lastWaitShare*decayFactor(b.lastWait.at, now, lastWaitHalfLifeMs)
}

// decayFactor is what is left now of something last counted at a time, with a half-life in ms.
func decayFactor(at, now, halfLife float64) float64 { return math.Exp2((at - now) / halfLife) }

// negligible is the sum below which a decaying counter is set to 0: next to nothing should cost no more computing.
const negligible = 1e-3

// decayingCounter is a sum that decays with time.
type decayingCounter struct{ sum, at float64 }

func (c *decayingCounter) get(now, halfLife float64) float64 {
	if c.sum == 0 || now <= c.at {
		return c.sum
	}
	x := c.sum * decayFactor(c.at, now, halfLife)
	if x < negligible {
		c.sum, x = 0, 0
	}
	return x
}

func (c *decayingCounter) set(now, sum float64) { c.sum, c.at = sum, now }

// maxMeanSamples is how many samples a running mean remembers: enough for a mean, few enough to follow a day's course.
const maxMeanSamples = 50

// runningMean is the mean of all samples at first, then one that forgets over the latest ones.
type runningMean struct{ value, seen float64 }

func (m *runningMean) add(x float64) {
	m.seen = math.Min(m.seen+1, maxMeanSamples)
	m.value += (x - m.value) / m.seen
}

// quantileEstimate follows one quantile of a stream of ratios, in steps of equal proportion.
type quantileEstimate struct {
	value float64
	seen  int
}

// add records a sample; quantile is the one that is followed, and step the smallest step.
func (q *quantileEstimate) add(x, quantile, step float64) {
	q.seen++
	switch {
	case q.seen == 1:
		q.value = x
	case x > q.value:
		q.value *= math.Exp(math.Max(step, 1/float64(q.seen)) * quantile)
	default:
		q.value *= math.Exp(-math.Max(step, 1/float64(q.seen)) * (1 - quantile))
	}
}

func (q *quantileEstimate) valueOr(unknown float64) float64 {
	if q.seen == 0 {
		return unknown
	}
	return q.value
}

// paceMemory is what a sample leaves of the earlier ones: a pace remembers some thirty.
const paceMemory = 0.97

// paceEstimate is time over work, where each sample weighs by its work: small requests' ratios say little.
type paceEstimate struct{ time, work float64 }

func (p *paceEstimate) add(time, work float64) {
	p.time, p.work = paceMemory*p.time+time, paceMemory*p.work+work
}

// blend counts the usual pace for so much known work beside what was seen.
func (p *paceEstimate) blend(usual, known float64) float64 {
	return (p.time + known*usual) / (p.work + known)
}

// paceTable is the pace of all backends together, and by kind of machine.
type paceTable struct {
	all    paceEstimate
	byKind byPlace[paceEstimate]
}

// add records a time for some work at a backend.
func (t *paceTable) add(backend *Backend, time, work float64) {
	backend.pace.add(time, work)
	t.byKind.at(backend.Kind).add(time, work)
	t.all.add(time, work)
}

const (
	// drainHalfLife in ms: a queue seen is believed for about as long as one lasts.
	completionHalfLifeMs = 2e3
	// drainPrior in ms at the usual rate counts before anything is seen.
	completionPriorMs = 100.0
)

// drainEstimate is work done over the time with any in flight, both decaying.
type completionRateEstimate struct{ done, busyTime, at float64 }

// advance counts the time since the last call as busy or not.
func (d *completionRateEstimate) advance(now float64, isBusy bool) {
	left := decayFactor(d.at, now, completionHalfLifeMs)
	if isBusy {
		d.busyTime += now - d.at
	}
	d.done, d.busyTime, d.at = d.done*left, d.busyTime*left, now
}

// rate is the work a ms while busy.
func (d completionRateEstimate) rate(now float64, isBusy bool, usual float64) float64 {
	if d.at == 0 { // most backends of a large fleet are new to a node: next to no computing for them
		return usual
	}
	d.advance(now, isBusy)
	return (d.done + completionPriorMs*usual) / (d.busyTime + completionPriorMs)
}

// unseen is the share of what would be known of a busy backend that is not.
func (d completionRateEstimate) priorShare(now float64) float64 {
	return completionPriorMs / (completionPriorMs + d.busyTime*decayFactor(d.at, now, completionHalfLifeMs))
}

// perTime is the work a ms, busy or not.
func (d completionRateEstimate) throughput(now float64) float64 {
	if d.done == 0 {
		return 0
	}
	return d.done * decayFactor(d.at, now, completionHalfLifeMs) * math.Ln2 / completionHalfLifeMs
}

// waitHalfLife in ms: a zone is believed crowded for a little longer than one backend.
const waitHalfLifeMs = 3e3

// decayingMean is a mean of what was lately seen.
type decayingMean struct{ sum, count, at float64 }

func (m *decayingMean) add(now, x float64) {
	left := decayFactor(m.at, now, waitHalfLifeMs)
	m.sum, m.count, m.at = m.sum*left+x, m.count*left+1, now
}

// mean counts so many samples of the usual beside what was seen.
func (m *decayingMean) mean(now, usual, prior float64) float64 {
	left := decayFactor(m.at, now, waitHalfLifeMs)
	return (m.sum*left + prior*usual) / (m.count*left + prior)
}

// waitTable is how long attempts lately waited behind others, in all and by zone.
type waitTable struct {
	all    decayingMean
	byZone byPlace[decayingMean]
}

func (t *waitTable) add(backend *Backend, now, wait float64) {
	t.all.add(now, wait)
	t.byZone.at(backend.Zone).add(now, wait)
	backend.waits.add(now, wait)
}

const (
	// lastWaitHalfLife in ms: a queue behind one heavy request forms and goes within a second.
	lastWaitHalfLifeMs = 300.0
	// lastWaitShare of a wait just met is believed: what came to the backend meanwhile is not seen.
	lastWaitShare = 0.75
)

// latestWait is the wait of the latest attempt whose wait is known, as of when it was sent.
type latestWait struct{ wait, at float64 }

func (l *latestWait) record(at, wait float64) {
	if at >= l.at {
		l.wait, l.at = wait, at
	}
}

// byPlace keeps something for each zone or kind of machine, by its number.
type byPlace[T any] []T

func (p *byPlace[T]) at(place int) *T {
	for len(*p) <= place {
		*p = append(*p, *new(T))
	}
	return &(*p)[place]
}

// slidingSum is what was added within a span of time that ends now.
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

// hintWindowSize is how many cost hints place the cutoff: twenty of them lie above it, which is enough.
const hintWindowSize = 500

// hintWindow keeps the latest cost hints, also in order of size.
type hintWindow struct {
	ring, sorted []float64
	next         int
}

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

func (w *hintWindow) quantile(share float64) float64 {
	i := int(math.Ceil(share*float64(len(w.sorted)))) - 1
	return w.sorted[max(i, 0)]
}

// valueAtShare sorts the values, and gives the one that this share of them lies under; 0 where there are none.
func valueAtShare(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(share*float64(len(values)))]
}
