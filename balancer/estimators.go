package balancer

import (
	"math"
	"sort"
)

// Estimators turn the outcomes of attempts and the backends' load reports into predictions: the time that a backend needs
// for a unit of work (its pace), the work that it completes for this node in a ms (its completion rate), and the time that
// attempts spend behind other work there (its wait). Times are in ms. Work is in ms on a standard core.
//
// In a large fleet a node receives an answer of a given backend only about once a minute. Where it has no measurements of a
// backend, it uses the estimate for the backend's kind of machine or its zone, and before that is known, a standard core.

const (
	// pacePriorRequests is how many requests of mean work the pace of a backend's kind weighs against the answers of the
	// backend itself.
	pacePriorRequests = 3.0
	// queuedSampleShare is the weight of an answer that is slower than the known pace. Queues of other nodes' requests make
	// answers slower and nothing makes them faster, so that slow answers are weaker evidence of the backend's pace.
	queuedSampleShare = 0.25
	// bestPaceGrowth is the factor by which the best pace seen rises with each answer: an old one expires within about a
	// thousand answers.
	bestPaceGrowth = 1.001
	// minAnswerTimeMs is the shortest answer time that is used in ratios, since clocks may round a shorter one to 0.
	minAnswerTimeMs = 0.1
	// reportedWorkPrior is how many assumed requests count beside those seen, when the mean work is set against a reported
	// service time. Their work equals the mean reported service time, as if the backends were standard cores. The mean work
	// of a few requests alone can be far off.
	reportedWorkPrior = 20
	// zoneWaitPrior is how many assumed waits of the usual length count beside those measured in a zone, since a single
	// measurement may be an exception.
	zoneWaitPrior = 4
	// unknownZoneWait is the usual wait that is assumed of a zone of which little is known, as a share of the mean wait in all
	// zones. If it were 0, all nodes would send requests there as soon as there are waits elsewhere; if it were 1, no node
	// ever would.
	unknownZoneWait = 0.5
)

// estimates holds the estimates that concern more than one backend.
type estimates struct {
	priority    runningMean // mean priority of the requests, as priorityOf computes it
	work        runningMean // mean work of the requests
	serviceTime runningMean // mean of the service times that backends report, in ms
	paces       paceTable
	waits       waitTable
}

// NotReported is the value of a field that a load report does not contain. Reported values are never negative.
const NotReported = -1

// LoadReport is the load that a backend reports with an answer. It covers the requests of all nodes. Each field may be
// NotReported.
type LoadReport struct {
	ServiceTime float64 // mean service time of a request in ms, without waits
	InFlight    float64 // requests that the backend has, running or queued
	Queued      float64 // requests of those that are not running yet
	Throughput  float64 // completed requests a second
}

// EmptyLoadReport returns a report without any value.
func EmptyLoadReport() LoadReport {
	return LoadReport{NotReported, NotReported, NotReported, NotReported}
}

// HasValues reports whether the report has any value.
func (r LoadReport) HasValues() bool { return r != EmptyLoadReport() }

// LoadReported records a backend's load report. Its values are better than this node's own measurements: the service time
// contains no waits, and the queue is that of all nodes.
//
// The wait is the queued work at the backend's pace, divided by the largest number of cores seen in use. If the queue is
// not reported, it is inferred: the requests in flight, less those that the throughput keeps running by Little's law. An
// inferred wait is recorded for this backend only and not for its zone.
func (lb *Balancer) LoadReported(now float64, backend *Backend, report LoadReport) {
	lb.now = now
	work := &lb.estimates.work
	if report.ServiceTime > 0 {
		lb.estimates.serviceTime.add(report.ServiceTime)
		meanWork := (work.value*work.samples + reportedWorkPrior*lb.estimates.serviceTime.value) / (work.samples + reportedWorkPrior)
		lb.estimates.paces.add(backend, report.ServiceTime, meanWork)
	}
	hasQueue := report.InFlight >= 0 && report.Queued >= 0
	canInferQueue := report.InFlight >= 0 && report.Throughput >= 0 && report.ServiceTime >= 0
	switch {
	case hasQueue:
		running := report.InFlight - report.Queued
		backend.maxCoresSeen = math.Max(backend.maxCoresSeen, running)
		wait := report.Queued * work.value * lb.paceOf(backend) / math.Max(backend.maxCoresSeen, 1)
		lb.estimates.waits.add(backend, now, wait)
	case canInferQueue:
		running := report.Throughput * report.ServiceTime / 1e3 // 1e3 since the throughput is per second
		backend.maxCoresSeen = math.Max(backend.maxCoresSeen, math.Max(1, running))
		queued := math.Max(0, report.InFlight-backend.maxCoresSeen)
		backend.waits.add(now, queued*work.value*lb.paceOf(backend)/backend.maxCoresSeen)
	}
}

// recordAnswer records an answer, elapsed ms after its attempt was sent, for all rules that evaluate answers.
func (lb *Balancer) recordAnswer(backend *Backend, attempt *Attempt, elapsed float64) {
	work := attempt.Request.work
	backend.releaseOvertaken(lb.now, attempt)
	lb.retries.latestAnsweredSentAt = math.Max(lb.retries.latestAnsweredSentAt, attempt.SentAt)
	lb.recordAnsweredTime(backend, attempt.Request)
	lb.recordPace(attempt, elapsed)
	// The mean work is added because an answer also takes time that does not depend on its request's work. Without it, small
	// requests, or cost hints that are too low, would make a backend look slow.
	answerRatio := math.Max(elapsed, minAnswerTimeMs) / (work + lb.estimates.work.value)
	backend.answerRatio.add(answerRatio, answerRatioQuantile, answerRatioStep)
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

// predictAnswerTime returns the answer time in ms that is expected if the request is sent to the backend now. It is the
// larger of two predictions:
//   - from this node's own attempts there: their work and the request's, divided by the backend's completion rate;
//   - from the request alone: its work at the backend's pace, and a part of the zone's wait. The part is the larger, the
//     less is known of the backend's completion rate.
func (lb *Balancer) predictAnswerTime(backend *Backend, request *Request) float64 {
	alone := request.work * lb.paceOf(backend)
	behindOwnAttempts := (backend.workInFlight + request.work) / lb.completionRate(backend)
	assumedWait := backend.completionRate.priorShare(lb.now) * lb.zoneWait(backend.Zone)
	return math.Max(behindOwnAttempts, alone+assumedWait)
}

// paceOf returns a backend's pace, in ms for a unit of work, or with nil the pace of all backends together. Until a
// backend's own pace is known, that of its kind of machine counts, and until that is known, that of all backends. The pace
// is not taken from the weight, since machines of equal weight may differ threefold. With many nodes, one node sees too
// little of a single backend to learn more than the pace of its kind.
func (lb *Balancer) paceOf(backend *Backend) float64 {
	priorWork := pacePriorRequests * math.Max(lb.estimates.work.value, 1)
	if backend == nil {
		return lb.estimates.paces.all.blend(1, priorWork) // before any answer 1, the pace of a standard core
	}
	kindPace := lb.estimates.paces.byKind.entry(backend.Kind).blend(lb.paceOf(nil), priorWork)
	return backend.pace.blend(kindPace, priorWork)
}

// recordPace records an answer's time as a measurement of its backend's pace. An attempt that was sent behind others of
// this node measures their queue and not the pace, and is left out. Once backends report service times, which contain no
// waits, this node's own measurements are no longer used.
func (lb *Balancer) recordPace(attempt *Attempt, elapsed float64) {
	if !attempt.wasAlone || lb.estimates.serviceTime.samples > 0 {
		return
	}
	work := attempt.Request.work
	sampleWeight := 1.0
	if elapsed > work*lb.paceOf(attempt.Backend) {
		sampleWeight = queuedSampleShare
	}
	lb.estimates.paces.add(attempt.Backend, sampleWeight*elapsed, sampleWeight*work)
}

// updateBestPace updates the best pace seen by the present one. The best pace rises a little with each answer, so that one
// that is not reached any more expires.
func (b *Backend) updateBestPace(pace float64) {
	if b.bestPace == 0 || pace < b.bestPace {
		b.bestPace = pace
	}
	b.bestPace *= bestPaceGrowth
}

// completionRate returns the work in a ms that a backend lately completed for this node, over the time in which it had any
// of this node's attempts. Work of other nodes, slowness and silence all lower it: with attempts in flight and no answers
// it falls by itself.
func (lb *Balancer) completionRate(backend *Backend) float64 {
	return backend.completionRate.rate(lb.now, len(backend.inFlight) > 0, 1/lb.paceOf(backend))
}

// totalCompletionRate returns the sum of the completion rates of the near backends, or of all backends with allZones.
// Backends that are ejected or may not be sent requests are left out.
func (lb *Balancer) totalCompletionRate(allZones bool) (rate float64) {
	for _, backend := range lb.backends {
		if (allZones || lb.isNear(backend)) && lb.isUsable(backend) && lb.suspicionOf(backend) < ejectionThreshold {
			rate += lb.completionRate(backend)
		}
	}
	return rate
}

// recordWait records how long an attempt waited behind other work, in ms. A wait counts for at most the latency objective,
// so that one attempt without an answer does not dominate the mean.
func (lb *Balancer) recordWait(attempt *Attempt, wait float64) {
	wait = math.Min(math.Max(0, wait), attempt.Request.class.LatencyObjective)
	lb.estimates.waits.add(attempt.Backend, lb.now, wait)
	attempt.Backend.lastWait.record(attempt.SentAt, wait)
}

// zoneWait returns the mean wait in ms of the latest attempts in a zone. As far as little is known of the zone, a share of
// the mean over all zones counts.
func (lb *Balancer) zoneWait(zone int) float64 {
	usual := unknownZoneWait * lb.estimates.waits.all.mean(lb.now, 0, zoneWaitPrior)
	return lb.estimates.waits.byZone.entry(zone).mean(lb.now, usual, zoneWaitPrior)
}

// expectedWait returns the wait in ms that is expected at a backend, where zoneWait is the mean wait in its zone. It moves
// from the latest wait seen there to the backend's mean wait, as the latest one ages.
func (b *Backend) expectedWait(now, zoneWait float64) float64 {
	meanWait := b.waits.mean(now, zoneWait, 1)
	return meanWait + (b.lastWait.wait-meanWait)*lastWaitShare*decayFactor(b.lastWait.at, now, lastWaitHalfLifeMs)
}

// decayFactor returns the factor by which a value decays between the times at and now, by its half-life in ms.
func decayFactor(at, now, halfLife float64) float64 { return math.Exp2((at - now) / halfLife) }

// negligibleSum is the sum below which a decaying counter is set to 0, so that its decay need not be computed any more.
const negligibleSum = 1e-3

// decayingCounter is a sum that decays exponentially with time. sum is its value at the time at.
type decayingCounter struct{ sum, at float64 }

func (c *decayingCounter) get(now, halfLife float64) float64 {
	if c.sum == 0 || now <= c.at {
		return c.sum
	}
	decayed := c.sum * decayFactor(c.at, now, halfLife)
	if decayed < negligibleSum {
		c.sum = 0
		return 0
	}
	return decayed
}

func (c *decayingCounter) set(now, sum float64) {
	c.sum = sum
	c.at = now
}

// maxMeanSamples is the number of samples that a running mean averages over: enough for a steady mean, and few enough to
// follow changes in the course of a day.
const maxMeanSamples = 50

// runningMean is the mean of the first maxMeanSamples samples, and from then on an exponentially weighted mean in which each
// new sample has the weight 1/maxMeanSamples.
type runningMean struct{ value, samples float64 }

func (m *runningMean) add(x float64) {
	m.samples = math.Min(m.samples+1, maxMeanSamples)
	m.value += (x - m.value) / m.samples
}

// quantileEstimate follows one quantile of a stream of ratios. Each sample moves the estimate by a factor, up if the sample
// lies above it and else down, such that the two balance when the wanted share of the samples lies below.
type quantileEstimate struct {
	value   float64
	samples int
}

// add records a sample x. quantile, from 0 to 1, is the one to follow; step is the relative size of a step. The first
// samples take larger steps, of 1 over their number.
func (q *quantileEstimate) add(x, quantile, step float64) {
	q.samples++
	switch {
	case q.samples == 1:
		q.value = x
	case x > q.value:
		q.value *= math.Exp(math.Max(step, 1/float64(q.samples)) * quantile)
	default:
		q.value *= math.Exp(-math.Max(step, 1/float64(q.samples)) * (1 - quantile))
	}
}

func (q *quantileEstimate) valueOr(unknown float64) float64 {
	if q.samples == 0 {
		return unknown
	}
	return q.value
}

// paceDecayFactor is the factor by which each sample lowers the weight of the earlier ones: a pace follows about the latest
// thirty samples.
const paceDecayFactor = 0.97

// paceEstimate estimates a pace as a decaying sum of times divided by one of work. Each sample thereby has its work as its
// weight, since the ratio of a small request is imprecise.
type paceEstimate struct{ time, work float64 }

func (p *paceEstimate) add(time, work float64) {
	p.time = paceDecayFactor*p.time + time
	p.work = paceDecayFactor*p.work + work
}

// blend returns the pace, where the prior pace counts like a sample of priorWork.
func (p *paceEstimate) blend(priorPace, priorWork float64) float64 {
	return (p.time + priorWork*priorPace) / (p.work + priorWork)
}

// paceTable holds the pace of all backends together, and that of each kind of machine.
type paceTable struct {
	all    paceEstimate
	byKind byIndex[paceEstimate]
}

// add records that a backend took the time, in ms, for the work.
func (t *paceTable) add(backend *Backend, time, work float64) {
	backend.pace.add(time, work)
	t.byKind.entry(backend.Kind).add(time, work)
	t.all.add(time, work)
}

const (
	// completionHalfLifeMs is the half-life of completion rates. It is about as long as a queue at a backend usually lasts.
	completionHalfLifeMs = 2e3
	// completionPriorMs is the assumed busy time, at the usual rate, that counts beside what was measured.
	completionPriorMs = 100.0
)

// completionRateEstimate estimates a backend's completion rate for this node: the work that it completed, divided by the
// time in which it had any attempt of this node. Both sums decay.
type completionRateEstimate struct {
	done     float64 // work completed
	busyTime float64 // ms with an attempt of this node in flight there
	at       float64 // time as of which both hold; 0 if there has been no attempt
}

// advance counts the time since the last call, with isBusy as time with an attempt in flight, and decays both sums.
func (e *completionRateEstimate) advance(now float64, isBusy bool) {
	decay := decayFactor(e.at, now, completionHalfLifeMs)
	if isBusy {
		e.busyTime += now - e.at
	}
	e.done *= decay
	e.busyTime *= decay
	e.at = now
}

// rate returns the work completed in a ms of busy time, where usual is the rate that is assumed before anything is measured.
// isBusy says whether an attempt is in flight now.
func (e completionRateEstimate) rate(now float64, isBusy bool, usual float64) float64 {
	if e.at == 0 { // in a large fleet most backends are new to a node: this saves the computation for them
		return usual
	}
	e.advance(now, isBusy)
	return (e.done + completionPriorMs*usual) / (e.busyTime + completionPriorMs)
}

// priorShare returns the part of the estimated rate that is assumed and not measured: completionPriorMs, divided by
// completionPriorMs and the decayed busy time. It is 1 for a backend without recent attempts, and approaches a small value
// for one that is always busy.
func (e completionRateEstimate) priorShare(now float64) float64 {
	return completionPriorMs / (completionPriorMs + e.busyTime*decayFactor(e.at, now, completionHalfLifeMs))
}

// throughput returns the work completed in a ms of all time, busy or not. Decayed work of a steady rate adds up to the rate
// times the half-life divided by ln 2.
func (e completionRateEstimate) throughput(now float64) float64 {
	if e.done == 0 {
		return 0
	}
	return e.done * decayFactor(e.at, now, completionHalfLifeMs) * math.Ln2 / completionHalfLifeMs
}

// waitHalfLifeMs is the half-life of mean waits. It is a little longer than that of completion rates, since a crowded zone
// lasts longer than a queue at one backend.
const waitHalfLifeMs = 3e3

// decayingMean is the mean of samples whose weight halves every waitHalfLifeMs. sum and count hold as of the time at.
type decayingMean struct{ sum, count, at float64 }

func (m *decayingMean) add(now, x float64) {
	decay := decayFactor(m.at, now, waitHalfLifeMs)
	m.sum = m.sum*decay + x
	m.count = m.count*decay + 1
	m.at = now
}

// mean returns the mean, where priorCount assumed samples of the usual value count beside the measured ones.
func (m *decayingMean) mean(now, usual, priorCount float64) float64 {
	decay := decayFactor(m.at, now, waitHalfLifeMs)
	return (m.sum*decay + priorCount*usual) / (m.count*decay + priorCount)
}

// waitTable holds the mean wait of the latest attempts, in all zones together and in each zone.
type waitTable struct {
	all    decayingMean
	byZone byIndex[decayingMean]
}

func (t *waitTable) add(backend *Backend, now, wait float64) {
	t.all.add(now, wait)
	t.byZone.entry(backend.Zone).add(now, wait)
	backend.waits.add(now, wait)
}

const (
	// lastWaitHalfLifeMs is how fast the latest wait at a backend loses its weight. A queue behind one heavy request forms and
	// dissolves within a second.
	lastWaitHalfLifeMs = 300.0
	// lastWaitShare is the weight of the latest wait against the mean wait, at the moment of its attempt. It is less than 1,
	// since the node does not see what other nodes have sent to the backend in the meantime.
	lastWaitShare = 0.75
)

// latestWait is the wait, in ms, of the latest attempt whose wait is known, and the time at which that attempt was sent.
type latestWait struct{ wait, at float64 }

func (l *latestWait) record(at, wait float64) {
	if at >= l.at {
		l.wait = wait
		l.at = at
	}
}

// byIndex is a table with an entry for each zone, or for each kind of machine, by its number.
type byIndex[T any] []T

func (t *byIndex[T]) entry(index int) *T {
	for len(*t) <= index {
		*t = append(*t, *new(T))
	}
	return &(*t)[index]
}

// slidingSum is a sum over a time window that ends now. at and amount have an entry for each addition, oldest first.
type slidingSum struct{ at, amount []float64 }

func (s *slidingSum) add(now, span, amount float64) {
	for len(s.at) > 0 && s.at[0] <= now-span {
		s.at = s.at[1:]
		s.amount = s.amount[1:]
	}
	s.at = append(s.at, now)
	s.amount = append(s.amount, amount)
}

func (s *slidingSum) sumWithin(now, span float64) (sum float64) {
	for i, at := range s.at {
		if at > now-span {
			sum += s.amount[i]
		}
	}
	return sum
}

// hintWindowSize is the number of latest cost hints that determine the cutoff. Twenty of them lie above it, which is enough
// for a stable cutoff.
const hintWindowSize = 500

// hintWindow holds the latest hintWindowSize cost hints.
type hintWindow struct {
	ring   []float64 // in order of arrival, as a ring buffer once it is full
	sorted []float64 // the same hints in order of size
	next   int       // index in ring of the oldest hint, which the next one replaces
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

// quantileOf sorts the values in place and returns the given quantile of them, from 0 to less than 1; 0 if there are none.
func quantileOf(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(quantile*float64(len(values)))]
}
