package balancer

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// A snapshot is all that a balancer knows between two batches of inputs, as plain values: one restored from it makes the
// same decisions from then on. What the configuration says is not in it, nor what follows from that. Requests and
// backends go by their index in the lists that the host gave; -1 is none where that is said.
//
// Snapshots are stored, and sent from one process to the next, by the ORDER of their fields (see internal/snapshot): a field
// may be renamed, and a new one is added at a struct's end; none may move, change its type or go.

// ErrMidBatch is the error of a snapshot that is taken while decisions are due.
var ErrMidBatch = errors.New("snapshot in the middle of a batch")

// ErrEarlierConfig is the error of a snapshot with a request that came under an earlier configuration: its class has no
// index in the present one.
var ErrEarlierConfig = errors.New("snapshot with a request under an earlier configuration")

// maxZoneOrKind bounds the numbers of zones and kinds of machine in a snapshot, by which tables grow.
const maxZoneOrKind = 1 << 16

// Snapshot is the state of a balancer.
type Snapshot struct {
	Now, Armed, SweepAt, Round, Extra, Doubt, Weight, AskAt, Window, Heard float64
	Tracked, Stirred, Idle                                                 bool
	Failures                                                               int
	Seq                                                                    uint64
	Chance                                                                 [2]uint64
	Hints                                                                  []float64 // the window of the cutoff
	HintNext                                                               int
	Stretch                                                                QuantileSnapshot
	Value, Work, Service                                                   MeanSnapshot
	PaceAll                                                                [2]float64
	PaceKinds                                                              [][2]float64
	CrowdAll                                                               [3]float64
	CrowdZones                                                             [][3]float64
	Warm                                                                   [][2]float64
	Classes                                                                []MeanSnapshot // mean work
	Tenants                                                                [][2]float64   // request rates
	Backends                                                               []BackendSnapshot
	Order                                                                  []int // the balancer's backends among them
	Requests                                                               []RequestSnapshot
	Queued                                                                 []int
	Timers                                                                 []TimerSnapshot
	Of                                                                     int
	Whole                                                                  float64
	KeyQueues                                                              []KeyQueueSnapshot
	Doubted                                                                bool
	FellAt, AloneAt                                                        float64
	Answers                                                                [2]float64
	Rates                                                                  [2]float64 // of all tenants together
}

// QuantileSnapshot is the state of an estimate of a quantile.
type QuantileSnapshot struct {
	Value float64
	Seen  int
}

// MeanSnapshot is the state of a running mean.
type MeanSnapshot struct{ Value, Seen float64 }

// BackendSnapshot is the state of a backend.
type BackendSnapshot struct {
	ID                                              uint64
	Zone, Cell, Kind                                int
	State                                           BackendState
	Weight, Started                                 float64
	Tracked                                         bool
	Longs                                           int
	WorkOut, Heard, Lingers, Best, Most, Rest, Pass float64
	Pace                                            [2]float64
	Tail                                            QuantileSnapshot
	Flow                                            [3]float64
	Distrust                                        [2]float64
	SpentAt, Spent                                  []float64
	Out                                             []int // attempts, as request and number in turn
	Waits                                           [3]float64
	Cores                                           float64
	Met                                             [2]float64
	Cordoned                                        bool
	Back, OutAt                                     float64
	GoneAt                                          float64
	Drained, Joined, Own                            bool
	Refused, BrokeAt                                float64
}

// RequestSnapshot is the state of a request that is not over.
type RequestSnapshot struct {
	ID                                  uint64
	Class, Tenant                       int
	CostHint, ArrivedAt, Deadline, Work float64
	Estimate                            float64
	HasCostHint, IsClientRetry, Long    bool
	Stage                               int
	Attempts                            []AttemptSnapshot
	Excess                              float64
	Streamed                            bool
	Key                                 uint64
}

// AttemptSnapshot is the state of one of its attempts.
type AttemptSnapshot struct {
	Backend                            int
	SentAt, Expect                     float64
	InFlight, Canceled, Overdue, Alone bool
	Outcome                            Outcome
	Begun                              bool
}

// TimerSnapshot is a timer: of a request, of one of its attempts, of a key, or of none where what it was for is over.
type TimerSnapshot struct {
	At      float64
	Seq     uint64
	Request int // -1 is none
	Attempt int // -1 is none
	Line    int // from 1, 0 is none

	Lingers bool
}

// KeyQueueSnapshot is the requests with one key that are not over, in their order, and the end of its cooldown.
type KeyQueueSnapshot struct {
	Key      uint64
	Rest     float64
	Requests []int
}

// Snapshot takes the balancer's state between two batches. The host names all requests that are not over, and all backends
// that it may name again, in an order of its own.
func (lb *Balancer) Snapshot(requests []*Request, backends []*Backend) (*Snapshot, error) {
	for _, request := range requests {
		if request.Config != lb.config && request.Config != nil {
			return nil, ErrEarlierConfig
		}
	}
	w := newSnapshotWriter(lb, requests, backends)
	if err := w.writeLearned(backends, true); err != nil {
		return nil, err
	}
	if err := w.writeRequests(requests); err != nil {
		return nil, err
	}
	keyQueueAt, err := w.writeKeyQueues(true)
	if err != nil {
		return nil, err
	}
	if err := w.writeQueue(); err != nil {
		return nil, err
	}
	w.writeTimers(keyQueueAt)
	return w.snapshot, nil
}

// HandoffSnapshot is what another process may go on with: all that was learned and spent. What is in flight, queued or
// timed stays with the process that has it, and so does its random generator; the endpoint list is polled anew. Cooldowns of
// keys go over: what may still run there is out of the other process's sight.
func (lb *Balancer) HandoffSnapshot(backends []*Backend) (*Snapshot, error) {
	w := newSnapshotWriter(lb, nil, backends)
	if err := w.writeLearned(backends, false); err != nil {
		return nil, err
	}
	if _, err := w.writeKeyQueues(false); err != nil {
		return nil, err
	}
	s := w.snapshot
	for i, queue := range s.KeyQueues {
		s.Timers = append(s.Timers, TimerSnapshot{At: queue.Rest, Request: -1, Attempt: -1, Line: i + 1})
	}
	s.Idle, s.Stirred, s.Chance = false, true, [2]uint64{}
	s.Armed, s.SweepAt, s.AskAt, s.Tracked, s.Failures = math.Inf(1), s.Now, s.Now, false, 0
	for i := range s.Backends {
		s.Backends[i].WorkOut, s.Backends[i].Longs = 0, 0
	}
	return s, nil
}

// snapshotWriter fills a snapshot part by part.
type snapshotWriter struct {
	lb        *Balancer
	snapshot  *Snapshot
	requestAt map[*Request]int
	backendAt map[*Backend]int
}

func newSnapshotWriter(lb *Balancer, requests []*Request, backends []*Backend) *snapshotWriter {
	w := &snapshotWriter{lb: lb, requestAt: make(map[*Request]int, len(requests)), backendAt: make(map[*Backend]int, len(backends))}
	for i, request := range requests {
		w.requestAt[request] = i
	}
	for i, backend := range backends {
		w.backendAt[backend] = i
	}
	return w
}

// writeLearned writes all that does not belong to single requests.
func (w *snapshotWriter) writeLearned(backends []*Backend, withInFlight bool) error {
	lb := w.lb
	if len(lb.pending) > 0 || len(lb.decisions) > 0 {
		return ErrMidBatch
	}
	w.snapshot = lb.snapshotRules()
	lb.snapshotEstimates(w.snapshot)
	for _, backend := range backends {
		x := backend.snapshot()
		if withInFlight {
			for _, attempt := range backend.inFlight {
				at, named := w.requestAt[attempt.Request]
				if !named {
					return fmt.Errorf("snapshot: backend %x has an attempt of request %d, which the host did not name", backend.ID, attempt.Request.ID)
				}
				x.Out = append(x.Out, at, attempt.Number)
			}
		}
		w.snapshot.Backends = append(w.snapshot.Backends, x)
	}
	for _, backend := range lb.backends {
		at, named := w.backendAt[backend]
		if !named {
			return fmt.Errorf("snapshot: backend %x was not named by the host", backend.ID)
		}
		w.snapshot.Order = append(w.snapshot.Order, at)
	}
	return nil
}

// snapshotRules is the state of the rules.
func (lb *Balancer) snapshotRules() *Snapshot {
	return &Snapshot{
		Now:      lb.now,
		Armed:    lb.timers.armedFor,
		SweepAt:  lb.review.at,
		Round:    lb.rotation.position,
		Extra:    lb.retries.tokens,
		Doubt:    lb.ejection.commonSuspicion,
		Weight:   lb.rotation.meanWeight,
		AskAt:    lb.endpoints.pollAt,
		Window:   lb.concurrency.limit,
		Heard:    lb.retries.latestAnsweredSentAt,
		Tracked:  lb.endpoints.isWatched,
		Stirred:  lb.review.hasNews,
		Idle:     lb.queue.hasFreedCapacity,
		Failures: lb.endpoints.pollFailures,
		Of:       lb.slowStart.processes,
		Whole:    lb.slowStart.splitUntil,
		Doubted:  lb.endpoints.isDoubted,
		FellAt:   lb.ejection.lastResetAt,
		AloneAt:  lb.ejection.answeredAfterResetAt,
		Answers:  [2]float64{lb.concurrency.answeredTime.sum, lb.concurrency.answeredTime.at},
		Seq:      lb.timers.seq,
		Chance:   [2]uint64{lb.random.x, lb.random.carry},
	}
}

// snapshotEstimates adds what was learned of requests, zones and kinds of machine.
func (lb *Balancer) snapshotEstimates(s *Snapshot) {
	known := &lb.estimates
	s.Rates = [2]float64{lb.config.tenantRate.sum, lb.config.tenantRate.at}
	s.Hints, s.HintNext = slices.Clone(lb.cutoff.ring), lb.cutoff.next
	s.Stretch = QuantileSnapshot{lb.retries.overrun.value, lb.retries.overrun.seen}
	s.Value = MeanSnapshot{known.priority.value, known.priority.seen}
	s.Work = MeanSnapshot{known.work.value, known.work.seen}
	s.Service = MeanSnapshot{known.serviceTime.value, known.serviceTime.seen}
	s.PaceAll = [2]float64{known.paces.all.time, known.paces.all.work}
	s.CrowdAll = [3]float64{known.waits.all.sum, known.waits.all.count, known.waits.all.at}
	for _, pace := range known.paces.byKind {
		s.PaceKinds = append(s.PaceKinds, [2]float64{pace.time, pace.work})
	}
	for _, wait := range known.waits.byZone {
		s.CrowdZones = append(s.CrowdZones, [3]float64{wait.sum, wait.count, wait.at})
	}
	for _, usage := range lb.slowStart.usageByZone {
		s.Warm = append(s.Warm, [2]float64{usage.work, usage.speed})
	}
	for _, class := range lb.config.Classes {
		s.Classes = append(s.Classes, MeanSnapshot{class.meanWork.value, class.meanWork.seen})
	}
	for _, tenant := range lb.config.Tenants {
		s.Tenants = append(s.Tenants, [2]float64{tenant.rate.sum, tenant.rate.at})
	}
}

// snapshot is the backend's state without its attempts.
func (b *Backend) snapshot() BackendSnapshot {
	return BackendSnapshot{
		ID:       b.ID,
		Zone:     b.Zone,
		Cell:     b.Cell,
		Kind:     b.Kind,
		State:    b.State,
		Weight:   b.Weight,
		Started:  b.Started,
		Tracked:  b.tracked,
		Longs:    b.longInFlight,
		WorkOut:  b.workInFlight,
		Heard:    b.lastAnsweredSentAt,
		Lingers:  b.busyUntil,
		Best:     b.bestPace,
		Most:     b.maxInFlight,
		Rest:     b.pausedUntil,
		Pass:     b.rotationPass,
		Pace:     [2]float64{b.pace.time, b.pace.work},
		Tail:     QuantileSnapshot{b.answerRatio.value, b.answerRatio.seen},
		Flow:     [3]float64{b.drain.done, b.drain.busyTime, b.drain.at},
		Distrust: [2]float64{b.suspicion.sum, b.suspicion.at},
		SpentAt:  slices.Clone(b.recentWork.at),
		Spent:    slices.Clone(b.recentWork.amount),
		Waits:    [3]float64{b.waits.sum, b.waits.count, b.waits.at},
		Cores:    b.maxCoresSeen,
		Met:      [2]float64{b.lastWait.wait, b.lastWait.at},
		Cordoned: b.isCordoned,
		Back:     b.uncordonedAt,
		OutAt:    b.cordonedAt,
		GoneAt:   b.removedAt,
		Drained:  b.wasDrained,
		Joined:   b.isConnected,
		Own:      b.inSubset,
		Refused:  b.refusals,
		BrokeAt:  b.lastResetAt,
	}
}

func (w *snapshotWriter) writeRequests(requests []*Request) error {
	for _, r := range requests {
		x := RequestSnapshot{
			ID:            r.ID,
			Class:         r.Class,
			Tenant:        r.Tenant,
			CostHint:      r.CostHint,
			ArrivedAt:     r.ArrivedAt,
			Deadline:      r.Deadline,
			Work:          r.work,
			Estimate:      r.estimate,
			HasCostHint:   r.HasCostHint,
			IsClientRetry: r.IsClientRetry,
			Long:          r.isLong,
			Excess:        r.overQuota,
			Streamed:      r.Streamed,
			Stage:         int(r.stage),
			Key:           r.Key,
		}
		for _, a := range r.Attempts {
			at, named := w.backendAt[a.Backend]
			if !named {
				return fmt.Errorf("snapshot: request %d was sent to backend %x, which the host did not name", r.ID, a.Backend.ID)
			}
			x.Attempts = append(x.Attempts, AttemptSnapshot{
				Backend:  at,
				SentAt:   a.SentAt,
				Expect:   a.expectedTime,
				InFlight: a.inFlight,
				Canceled: a.canceled,
				Overdue:  a.isOverdue,
				Alone:    a.wasAlone,
				Outcome:  a.outcome,
				Begun:    a.hasStarted,
			})
		}
		w.snapshot.Requests = append(w.snapshot.Requests, x)
	}
	return nil
}

// writeKeyQueues writes the keys in the order of their values, and gives their numbers from 1 on. Without requests, only
// those keys count whose cooldown runs.
func (w *snapshotWriter) writeKeyQueues(withRequests bool) (map[*keyQueue]int, error) {
	keyQueueAt := map[*keyQueue]int{}
	for _, key := range slices.Sorted(maps.Keys(w.lb.keyQueues)) {
		queue := w.lb.keyQueues[key]
		x := KeyQueueSnapshot{Key: key, Rest: queue.cooldownUntil}
		if withRequests {
			for _, request := range queue.requests {
				at, named := w.requestAt[request]
				if !named {
					return nil, fmt.Errorf("snapshot: request %d in the queue of its key was not named by the host", request.ID)
				}
				x.Requests = append(x.Requests, at)
			}
		}
		if withRequests || queue.cooldownUntil > w.lb.now {
			w.snapshot.KeyQueues = append(w.snapshot.KeyQueues, x)
			keyQueueAt[queue] = len(w.snapshot.KeyQueues)
		}
	}
	return keyQueueAt, nil
}

func (w *snapshotWriter) writeQueue() error {
	for _, request := range w.lb.queue.requests {
		at, named := w.requestAt[request]
		if !named {
			return fmt.Errorf("snapshot: queued request %d was not named by the host", request.ID)
		}
		w.snapshot.Queued = append(w.snapshot.Queued, at)
	}
	return nil
}

func (w *snapshotWriter) writeTimers(keyQueueAt map[*keyQueue]int) {
	for _, t := range w.lb.timers.entries {
		x := TimerSnapshot{At: t.at, Seq: t.seq, Request: -1, Attempt: -1, Line: keyQueueAt[t.keyQueue], Lingers: t.isWorkAbandoned}
		switch {
		case t.request != nil && !t.request.IsDone():
			if at, named := w.requestAt[t.request]; named {
				x.Request = at
			}
		case t.attempt != nil && !t.attempt.Request.IsDone():
			if at, named := w.requestAt[t.attempt.Request]; named {
				x.Request, x.Attempt = at, t.attempt.Number
			}
		}
		w.snapshot.Timers = append(w.snapshot.Timers, x)
	}
}

// Restore makes a balancer that goes on where a snapshot was taken, with the requests and backends in the snapshot's order.
// The configuration is that of then. A snapshot that can't be of such a balancer is an error.
func Restore(config *Config, s *Snapshot) (*Balancer, []*Request, []*Backend, error) {
	if len(s.Classes) != len(config.Classes) || len(s.Tenants) != len(config.Tenants) || len(s.Hints) > hintWindowSize ||
		s.HintNext < 0 || s.HintNext >= hintWindowSize {
		return nil, nil, nil, errors.New("snapshot of another configuration")
	}
	r := &snapshotReader{lb: New(config, s.Now), snapshot: s}
	r.readRules()
	r.readEstimates()
	r.readTenants()
	for _, part := range []func() error{r.readBackends, r.readRequests, r.readKeyQueues, r.readInFlight, r.readOrder, r.readTimers} {
		if err := part(); err != nil {
			return nil, nil, nil, err
		}
	}
	return r.lb, r.requests, r.backends, nil
}

// snapshotReader restores a balancer part by part.
type snapshotReader struct {
	lb        *Balancer
	snapshot  *Snapshot
	requests  []*Request
	backends  []*Backend
	keyQueues []*keyQueue
}

func (r *snapshotReader) readRules() {
	lb, s := r.lb, r.snapshot
	lb.timers.armedFor, lb.timers.seq = s.Armed, s.Seq
	lb.review = reviewSchedule{at: s.SweepAt, hasNews: s.Stirred}
	lb.rotation = rotationState{position: s.Round, meanWeight: s.Weight}
	lb.retries = retryState{tokens: s.Extra, overrun: quantileEstimate{s.Stretch.Value, s.Stretch.Seen}, latestAnsweredSentAt: s.Heard}
	lb.ejection = ejectionState{commonSuspicion: s.Doubt, lastResetAt: s.FellAt, answeredAfterResetAt: s.AloneAt}
	lb.endpoints = endpointState{isDoubted: s.Doubted, isWatched: s.Tracked, pollAt: s.AskAt, pollFailures: s.Failures}
	lb.concurrency.limit, lb.concurrency.answeredTime = s.Window, decayingCounter{s.Answers[0], s.Answers[1]}
	lb.slowStart.processes, lb.slowStart.splitUntil = s.Of, s.Whole
	lb.queue.hasFreedCapacity = s.Idle
	if s.Chance != [2]uint64{} {
		lb.random = multiplyWithCarry{s.Chance[0], s.Chance[1]}
	}
}

func (r *snapshotReader) readEstimates() {
	lb, s := r.lb, r.snapshot
	lb.cutoff = hintWindow{ring: slices.Clone(s.Hints), sorted: slices.Clone(s.Hints), next: s.HintNext}
	sort.Float64s(lb.cutoff.sorted)
	lb.estimates.priority = runningMean{s.Value.Value, s.Value.Seen}
	lb.estimates.work = runningMean{s.Work.Value, s.Work.Seen}
	lb.estimates.serviceTime = runningMean{s.Service.Value, s.Service.Seen}
	lb.estimates.paces.all = paceEstimate{s.PaceAll[0], s.PaceAll[1]}
	for _, pace := range s.PaceKinds {
		lb.estimates.paces.byKind = append(lb.estimates.paces.byKind, paceEstimate{pace[0], pace[1]})
	}
	lb.estimates.waits.all = decayingMean{s.CrowdAll[0], s.CrowdAll[1], s.CrowdAll[2]}
	for _, wait := range s.CrowdZones {
		lb.estimates.waits.byZone = append(lb.estimates.waits.byZone, decayingMean{wait[0], wait[1], wait[2]})
	}
	for _, usage := range s.Warm {
		lb.slowStart.usageByZone = append(lb.slowStart.usageByZone, zoneUsage{usage[0], usage[1]})
	}
	for i, class := range s.Classes {
		lb.config.Classes[i].meanWork = runningMean{class.Value, class.Seen}
	}
}

// readTenants restores the tenants' rates. A snapshot of a build that stored no sum of them has zeros there.
func (r *snapshotReader) readTenants() {
	config, s := r.lb.config, r.snapshot
	for i, rate := range s.Tenants {
		config.Tenants[i].rate = decayingCounter{rate[0], rate[1]}
	}
	config.tenantRate = decayingCounter{s.Rates[0], s.Rates[1]}
	if s.Rates != [2]float64{} {
		return
	}
	for i := range config.Tenants {
		if x := config.Tenants[i].rate.get(s.Now, rateHalfLife); x > 0 {
			config.tenantRate.set(s.Now, config.tenantRate.sum+x)
		}
	}
}

func (r *snapshotReader) readBackends() error {
	for _, x := range r.snapshot.Backends {
		if len(x.SpentAt) != len(x.Spent) || len(x.Out)%2 != 0 || x.Zone < 0 || x.Kind < 0 || x.Zone > maxZoneOrKind || x.Kind > maxZoneOrKind {
			return errors.New("snapshot with an invalid backend")
		}
		r.backends = append(r.backends, x.restore())
	}
	return nil
}

// restore makes a backend without its attempts.
func (x BackendSnapshot) restore() *Backend {
	return &Backend{
		ID:                 x.ID,
		Zone:               x.Zone,
		Cell:               x.Cell,
		Kind:               x.Kind,
		State:              x.State,
		Weight:             x.Weight,
		Started:            x.Started,
		tracked:            x.Tracked,
		longInFlight:       x.Longs,
		workInFlight:       x.WorkOut,
		lastAnsweredSentAt: x.Heard,
		busyUntil:          x.Lingers,
		bestPace:           x.Best,
		maxInFlight:        x.Most,
		pausedUntil:        x.Rest,
		rotationPass:       x.Pass,
		pace:               paceEstimate{x.Pace[0], x.Pace[1]},
		answerRatio:        quantileEstimate{x.Tail.Value, x.Tail.Seen},
		drain:              drainEstimate{x.Flow[0], x.Flow[1], x.Flow[2]},
		suspicion:          decayingCounter{x.Distrust[0], x.Distrust[1]},
		recentWork:         slidingSum{slices.Clone(x.SpentAt), slices.Clone(x.Spent)},
		waits:              decayingMean{x.Waits[0], x.Waits[1], x.Waits[2]},
		maxCoresSeen:       x.Cores,
		lastWait:           latestWait{x.Met[0], x.Met[1]},
		isCordoned:         x.Cordoned,
		uncordonedAt:       x.Back,
		cordonedAt:         x.OutAt,
		removedAt:          x.GoneAt,
		wasDrained:         x.Drained,
		isConnected:        x.Joined,
		inSubset:           x.Own,
		refusals:           x.Refused,
		lastResetAt:        x.BrokeAt,
	}
}

func (r *snapshotReader) readRequests() error {
	config := r.lb.config
	for _, x := range r.snapshot.Requests {
		if x.Class < 0 || x.Class >= len(config.Classes) || x.Stage < 0 || x.Stage > int(stageEnded) {
			return errors.New("snapshot with an invalid request")
		}
		request := x.restore(config)
		for number, attempt := range x.Attempts {
			if attempt.Backend < 0 || attempt.Backend >= len(r.backends) {
				return errors.New("snapshot with an attempt at an unknown backend")
			}
			request.Attempts = append(request.Attempts, &Attempt{
				Request:      request,
				Backend:      r.backends[attempt.Backend],
				Number:       number,
				SentAt:       attempt.SentAt,
				expectedTime: attempt.Expect,
				inFlight:     attempt.InFlight,
				canceled:     attempt.Canceled,
				isOverdue:    attempt.Overdue,
				wasAlone:     attempt.Alone,
				outcome:      attempt.Outcome,
				hasStarted:   attempt.Begun,
			})
		}
		for _, attempt := range request.Attempts {
			r.lb.concurrency.inFlight += attempt.countedInFlight()
		}
		r.requests = append(r.requests, request)
	}
	return nil
}

// restore makes a request without its attempts.
func (x RequestSnapshot) restore(config *Config) *Request {
	return &Request{
		ID:            x.ID,
		Class:         x.Class,
		Tenant:        x.Tenant,
		CostHint:      x.CostHint,
		HasCostHint:   x.HasCostHint,
		IsClientRetry: x.IsClientRetry,
		Key:           x.Key,
		ArrivedAt:     x.ArrivedAt,
		Deadline:      x.Deadline,
		Config:        config,
		Streamed:      x.Streamed,
		class:         &config.Classes[x.Class],
		work:          x.Work,
		isLong:        x.Long,
		estimate:      x.Estimate,
		overQuota:     x.Excess,
		stage:         requestStage(x.Stage),
	}
}

func (r *snapshotReader) readKeyQueues() error {
	for _, x := range r.snapshot.KeyQueues {
		queue := &keyQueue{key: x.Key, cooldownUntil: x.Rest}
		for _, at := range x.Requests {
			if at < 0 || at >= len(r.requests) || r.requests[at].keyQueue != nil {
				return errors.New("snapshot with an invalid queue of a key")
			}
			queue.requests, r.requests[at].keyQueue = append(queue.requests, r.requests[at]), queue
		}
		r.keyQueues = append(r.keyQueues, queue)
		r.lb.keyQueues[x.Key] = queue
	}
	return nil
}

// attempt is the attempt of a request and a number in the snapshot.
func (r *snapshotReader) attempt(request, number int) (*Attempt, error) {
	if request < 0 || request >= len(r.requests) || number < 0 || number >= len(r.requests[request].Attempts) {
		return nil, errors.New("snapshot refers to an unknown attempt")
	}
	return r.requests[request].Attempts[number], nil
}

func (r *snapshotReader) readInFlight() error {
	for i, x := range r.snapshot.Backends {
		for k := 0; k < len(x.Out); k += 2 {
			attempt, err := r.attempt(x.Out[k], x.Out[k+1])
			if err != nil {
				return err
			}
			r.backends[i].inFlight = append(r.backends[i].inFlight, attempt)
		}
	}
	return nil
}

// readOrder restores the order of the balancer's backends and of its queue.
func (r *snapshotReader) readOrder() error {
	for _, at := range r.snapshot.Order {
		if at < 0 || at >= len(r.backends) {
			return errors.New("snapshot refers to an unknown backend")
		}
		r.lb.backends = append(r.lb.backends, r.backends[at])
	}
	for _, at := range r.snapshot.Queued {
		if at < 0 || at >= len(r.requests) {
			return errors.New("snapshot refers to an unknown request")
		}
		r.lb.queue.requests = append(r.lb.queue.requests, r.requests[at])
	}
	return nil
}

func (r *snapshotReader) readTimers() (err error) {
	for _, x := range r.snapshot.Timers {
		t := timer{at: x.At, seq: x.Seq, isWorkAbandoned: x.Lingers}
		if x.Lingers {
			r.lb.concurrency.inFlight++
		}
		switch {
		case math.IsNaN(x.At) || x.Request >= len(r.requests) || x.Line < 0 || x.Line > len(r.keyQueues):
			return errors.New("snapshot with an invalid timer")
		case x.Line > 0:
			t.keyQueue = r.keyQueues[x.Line-1]
		case x.Request >= 0 && x.Attempt >= 0:
			if t.attempt, err = r.attempt(x.Request, x.Attempt); err != nil {
				return err
			}
		case x.Request >= 0:
			t.request = r.requests[x.Request]
		}
		r.lb.timers.entries = append(r.lb.timers.entries, t)
	}
	heap.Init(&r.lb.timers.entries) // cooldowns that another process told of come in the order of their keys
	return nil
}
