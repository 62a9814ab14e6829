package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// A snapshot is the complete state of a balancer between two batches of inputs, as plain values. A balancer that is restored
// from it makes the same decisions from then on. The configuration is not part of it, nor are values that are computed from
// the configuration. Requests and backends are given as indexes into the lists that the host passed to Snapshot. Times and
// durations are in ms.
//
// Snapshots are stored, and sent from one process to the next, by the ORDER of their fields (see internal/snapshot). A field
// may be renamed, and a new one added at the end of a struct. No field may be moved or removed, or change its type.

// ErrMidBatch is returned for a snapshot while decisions are due: the host must first call Next until it returns false.
var ErrMidBatch = errors.New("snapshot: decisions of the present batch are still due")

// ErrEarlierConfig is returned for a snapshot with a request that arrived under an earlier configuration, since its class
// may have no index in the present one.
var ErrEarlierConfig = errors.New("snapshot: request arrived under an earlier configuration")

// Snapshot is the state of a balancer. Its fields are those of the balancer and its rules' states, under similar names.
type Snapshot struct {
	Now                  float64
	ArmedFor             float64
	ReviewAt             float64
	RotationPosition     float64
	RetryTokens          float64
	CommonSuspicion      float64
	MeanWeight           float64
	PollAt               float64
	InFlightLimit        float64
	LatestAnsweredSentAt float64
	IsWatched            bool
	IsReviewPending      bool
	HasFreedCapacity     bool
	PollFailures         int
	Seq                  uint64
	// Random is the state of the generator of random numbers.
	Random      [2]uint64
	Hints       []float64 // cost hints, as in hintWindow.ring
	HintNext    int
	Overrun     QuantileSnapshot
	Priority    MeanSnapshot
	Work        MeanSnapshot
	ServiceTime MeanSnapshot
	// A pace is stored as time and work (paceEstimate), a wait as sum, count and time (decayingMean), a zone's usage as work
	// and speed (zoneUsage), and a decaying counter, such as a rate, as sum and time.
	PaceAll              [2]float64
	PaceKinds            [][2]float64
	WaitsAll             [3]float64
	WaitsByZone          [][3]float64
	UsageByZone          [][2]float64
	Classes              []MeanSnapshot // mean work of each class
	Tenants              [][2]float64   // rate of each tenant
	Backends             []BackendSnapshot
	Order                []int // indexes into Backends of the tracked ones, in the balancer's order
	Requests             []RequestSnapshot
	Queued               []int // indexes into Requests, in the order of the queue
	Timers               []TimerSnapshot
	Processes            int
	SplitUntil           float64
	KeyQueues            []KeyQueueSnapshot
	IsListDoubted        bool
	LastResetAt          float64
	AnsweredAfterResetAt float64
	AnsweredTime         [2]float64
	TenantRate           [2]float64 // rate of all tenants together
}

// QuantileSnapshot is the state of a quantileEstimate.
type QuantileSnapshot struct {
	Value   float64
	Samples int
}

// MeanSnapshot is the state of a runningMean.
type MeanSnapshot struct{ Value, Samples float64 }

// BackendSnapshot is the state of a backend.
type BackendSnapshot struct {
	ID                 uint64
	Zone               int
	Cell               int
	Kind               int
	State              BackendState
	Weight             float64
	Started            float64
	Tracked            bool
	LongInFlight       int
	WorkInFlight       float64
	LastAnsweredSentAt float64
	BusyUntil          float64
	BestPace           float64
	MaxInFlight        float64
	PausedUntil        float64
	RotationPass       float64
	Pace               [2]float64
	AnswerRatio        QuantileSnapshot
	CompletionRate     [3]float64 // completion rate: work done, busy time, and the time as of which both hold
	Suspicion          [2]float64
	RecentWorkAt       []float64
	RecentWork         []float64
	InFlight           []int // pairs of a request's index and the number of its attempt
	Waits              [3]float64
	MaxCoresSeen       float64
	LastWait           [2]float64 // wait, and the time at which its attempt was sent
	Cordoned           bool
	UncordonedAt       float64
	CordonedAt         float64
	RemovedAt          float64
	WasDrained         bool
	IsConnected        bool
	InSubset           bool
	Refusals           float64
	LastResetAt        float64
	// RemovedWhileCordoned is missing in snapshots of earlier builds. Those have BackendDraining as the State of a cordoned
	// backend that is ready, and WasDrained set with it, until the host passes the endpoint list on again.
	RemovedWhileCordoned bool
}

// RequestSnapshot is the state of a request that is not done.
type RequestSnapshot struct {
	ID            uint64
	Class         int
	Tenant        int
	CostHint      float64
	ArrivedAt     float64
	Deadline      float64
	Work          float64
	Estimate      float64
	HasCostHint   bool
	IsClientRetry bool
	IsLong        bool
	Stage         int
	Attempts      []AttemptSnapshot
	OverQuota     float64
	Streamed      bool
	Key           uint64
}

// AttemptSnapshot is the state of an attempt of a request.
type AttemptSnapshot struct {
	Backend      int // index into Snapshot.Backends
	SentAt       float64
	ExpectedTime float64
	InFlight     bool
	Canceled     bool
	IsOverdue    bool
	WasAlone     bool
	Outcome      Outcome
	HasStarted   bool
}

// TimerSnapshot is the state of a timer. It concerns a request, an attempt of a request, a key queue or abandoned work; or
// nothing, if its request or attempt is done.
type TimerSnapshot struct {
	At       float64
	Seq      uint64
	Request  int // index into Snapshot.Requests; -1 for none
	Attempt  int // number of the request's attempt; -1 for none
	KeyQueue int // index into Snapshot.KeyQueues plus 1; 0 for none

	IsWorkAbandoned bool
}

// KeyQueueSnapshot is the state of a keyQueue.
type KeyQueueSnapshot struct {
	Key           uint64
	CooldownUntil float64
	Requests      []int // indexes into Snapshot.Requests
}

// Snapshot returns the balancer's state between two batches of inputs. requests must contain all requests that are not done,
// and backends all that the host may use again, each in any order. It returns ErrMidBatch while decisions are due,
// ErrEarlierConfig, or an error if a request or a backend is missing.
func (lb *Balancer) Snapshot(requests []*Request, backends []*Backend) (*Snapshot, error) {
	for _, request := range requests {
		if request.Config != lb.config && request.Config != nil {
			return nil, ErrEarlierConfig
		}
	}
	w := newSnapshotWriter(lb, requests, backends)
	if err := w.writeBalancerState(backends, true); err != nil {
		return nil, err
	}
	if err := w.writeRequests(requests); err != nil {
		return nil, err
	}
	keyQueueIndex, err := w.writeKeyQueues(true)
	if err != nil {
		return nil, err
	}
	if err := w.writeQueue(); err != nil {
		return nil, err
	}
	w.writeTimers(keyQueueIndex)
	return w.snapshot, nil
}

// HandoffSnapshot returns a state for another process to start with, as in a hot restart: the estimates, and the budgets
// that were spent. Requests, timers and the state of the random generator are not in it, since they stay with this process.
// The other one polls the endpoint list at once. Cooldowns of keys are in it, since the other process has no record of
// the attempts that may still run.
func (lb *Balancer) HandoffSnapshot(backends []*Backend) (*Snapshot, error) {
	w := newSnapshotWriter(lb, nil, backends)
	if err := w.writeBalancerState(backends, false); err != nil {
		return nil, err
	}
	if _, err := w.writeKeyQueues(false); err != nil {
		return nil, err
	}
	s := w.snapshot
	for i, queue := range s.KeyQueues {
		s.Timers = append(s.Timers, TimerSnapshot{At: queue.CooldownUntil, Request: -1, Attempt: -1, KeyQueue: i + 1})
	}
	s.HasFreedCapacity = false
	s.IsReviewPending = true
	s.Random = [2]uint64{} // Restore then draws from the seed of its own configuration
	s.ArmedFor = math.Inf(1)
	s.ReviewAt = s.Now
	s.PollAt = s.Now
	s.IsWatched = false
	s.PollFailures = 0
	for i := range s.Backends {
		s.Backends[i].WorkInFlight = 0
		s.Backends[i].LongInFlight = 0
	}
	return s, nil
}

// snapshotWriter fills a snapshot part by part.
type snapshotWriter struct {
	lb           *Balancer
	snapshot     *Snapshot
	requestIndex map[*Request]int // index of each request in the host's list
	backendIndex map[*Backend]int // index of each backend in the host's list
}

func newSnapshotWriter(lb *Balancer, requests []*Request, backends []*Backend) *snapshotWriter {
	w := &snapshotWriter{lb: lb, requestIndex: make(map[*Request]int, len(requests)), backendIndex: make(map[*Backend]int, len(backends))}
	for i, request := range requests {
		w.requestIndex[request] = i
	}
	for i, backend := range backends {
		w.backendIndex[backend] = i
	}
	return w
}

// writeBalancerState creates the snapshot, with all state that does not belong to single requests; withInFlight adds the
// attempts in flight at each backend.
func (w *snapshotWriter) writeBalancerState(backends []*Backend, withInFlight bool) error {
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
				index, ok := w.requestIndex[attempt.Request]
				if !ok {
					return fmt.Errorf("snapshot: backend %x has an attempt of request %d, which is missing from the given requests", backend.ID, attempt.Request.ID)
				}
				x.InFlight = append(x.InFlight, index, attempt.Number)
			}
		}
		w.snapshot.Backends = append(w.snapshot.Backends, x)
	}
	for _, backend := range lb.backends {
		index, ok := w.backendIndex[backend]
		if !ok {
			return fmt.Errorf("snapshot: tracked backend %x is missing from the given backends", backend.ID)
		}
		w.snapshot.Order = append(w.snapshot.Order, index)
	}
	return nil
}

// snapshotRules returns a snapshot with the state of the rules.
func (lb *Balancer) snapshotRules() *Snapshot {
	return &Snapshot{
		Now:                  lb.now,
		ArmedFor:             lb.timers.armedFor,
		ReviewAt:             lb.review.at,
		RotationPosition:     lb.rotation.position,
		RetryTokens:          lb.retries.tokens,
		CommonSuspicion:      lb.ejection.commonSuspicion,
		MeanWeight:           lb.rotation.meanWeight,
		PollAt:               lb.endpoints.pollAt,
		InFlightLimit:        lb.concurrency.limit,
		LatestAnsweredSentAt: lb.retries.latestAnsweredSentAt,
		IsWatched:            lb.endpoints.isWatched,
		IsReviewPending:      lb.review.isPending,
		HasFreedCapacity:     lb.queue.hasFreedCapacity,
		PollFailures:         lb.endpoints.pollFailures,
		Processes:            lb.slowStart.processes,
		SplitUntil:           lb.slowStart.splitUntil,
		IsListDoubted:        lb.endpoints.isDoubted,
		LastResetAt:          lb.ejection.lastResetAt,
		AnsweredAfterResetAt: lb.ejection.answeredAfterResetAt,
		AnsweredTime:         [2]float64{lb.concurrency.answeredTime.sum, lb.concurrency.answeredTime.at},
		Seq:                  lb.timers.seq,
		Random:               [2]uint64{lb.random.x, lb.random.carry},
	}
}

// snapshotEstimates adds the estimates of requests, classes, tenants, zones and kinds of machine to a snapshot.
func (lb *Balancer) snapshotEstimates(s *Snapshot) {
	known := &lb.estimates
	s.TenantRate = [2]float64{lb.config.tenantRate.sum, lb.config.tenantRate.at}
	s.Hints, s.HintNext = slices.Clone(lb.cutoff.ring), lb.cutoff.next
	s.Overrun = QuantileSnapshot{lb.retries.overrun.value, lb.retries.overrun.samples}
	s.Priority = MeanSnapshot{known.priority.value, known.priority.samples}
	s.Work = MeanSnapshot{known.work.value, known.work.samples}
	s.ServiceTime = MeanSnapshot{known.serviceTime.value, known.serviceTime.samples}
	s.PaceAll = [2]float64{known.paces.all.time, known.paces.all.work}
	s.WaitsAll = [3]float64{known.waits.all.sum, known.waits.all.count, known.waits.all.at}
	for _, pace := range known.paces.byKind {
		s.PaceKinds = append(s.PaceKinds, [2]float64{pace.time, pace.work})
	}
	for _, wait := range known.waits.byZone {
		s.WaitsByZone = append(s.WaitsByZone, [3]float64{wait.sum, wait.count, wait.at})
	}
	for _, usage := range lb.slowStart.usageByZone {
		s.UsageByZone = append(s.UsageByZone, [2]float64{usage.work, usage.speed})
	}
	for _, class := range lb.config.Classes {
		s.Classes = append(s.Classes, MeanSnapshot{class.meanWork.value, class.meanWork.samples})
	}
	for _, tenant := range lb.config.Tenants {
		s.Tenants = append(s.Tenants, [2]float64{tenant.rate.sum, tenant.rate.at})
	}
}

// snapshot returns the backend's state without its attempts in flight.
func (b *Backend) snapshot() BackendSnapshot {
	return BackendSnapshot{
		ID:                 b.ID,
		Zone:               b.Zone,
		Cell:               b.Cell,
		Kind:               b.Kind,
		State:              b.State,
		Weight:             b.Weight,
		Started:            b.Started,
		Tracked:            b.tracked,
		LongInFlight:       b.longInFlight,
		WorkInFlight:       b.workInFlight,
		LastAnsweredSentAt: b.lastAnsweredSentAt,
		BusyUntil:          b.busyUntil,
		BestPace:           b.bestPace,
		MaxInFlight:        b.maxInFlight,
		PausedUntil:        b.pausedUntil,
		RotationPass:       b.rotationPass,
		Pace:               [2]float64{b.pace.time, b.pace.work},
		AnswerRatio:        QuantileSnapshot{b.answerRatio.value, b.answerRatio.samples},
		CompletionRate:     [3]float64{b.completionRate.done, b.completionRate.busyTime, b.completionRate.at},
		Suspicion:          [2]float64{b.suspicion.sum, b.suspicion.at},
		RecentWorkAt:       slices.Clone(b.recentWork.at),
		RecentWork:         slices.Clone(b.recentWork.amount),
		Waits:              [3]float64{b.waits.sum, b.waits.count, b.waits.at},
		MaxCoresSeen:       b.maxCoresSeen,
		LastWait:           [2]float64{b.lastWait.wait, b.lastWait.at},
		Cordoned:           b.isCordoned,
		UncordonedAt:       b.uncordonedAt,
		CordonedAt:         b.cordonedAt,
		RemovedAt:          b.removedAt,
		WasDrained:         b.wasDrained,
		IsConnected:        b.isConnected,
		InSubset:           b.inSubset,
		Refusals:           b.refusals,
		LastResetAt:        b.lastResetAt,

		RemovedWhileCordoned: b.removedWhileCordoned,
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
			IsLong:        r.isLong,
			OverQuota:     r.overQuota,
			Streamed:      r.Streamed,
			Stage:         int(r.stage),
			Key:           r.Key,
		}
		for _, a := range r.Attempts {
			index, ok := w.backendIndex[a.Backend]
			if !ok {
				return fmt.Errorf("snapshot: request %d has an attempt at backend %x, which is missing from the given backends", r.ID, a.Backend.ID)
			}
			x.Attempts = append(x.Attempts, AttemptSnapshot{
				Backend:      index,
				SentAt:       a.SentAt,
				ExpectedTime: a.expectedTime,
				InFlight:     a.inFlight,
				Canceled:     a.canceled,
				IsOverdue:    a.isOverdue,
				WasAlone:     a.wasAlone,
				Outcome:      a.outcome,
				HasStarted:   a.hasStarted,
			})
		}
		w.snapshot.Requests = append(w.snapshot.Requests, x)
	}
	return nil
}

// writeKeyQueues writes the key queues in the order of their keys, and returns the position of each, from 1 on. Without
// withRequests, only keys whose cooldown runs are written.
func (w *snapshotWriter) writeKeyQueues(withRequests bool) (map[*keyQueue]int, error) {
	keyQueueIndex := map[*keyQueue]int{}
	for _, key := range slices.Sorted(maps.Keys(w.lb.keyQueues)) {
		queue := w.lb.keyQueues[key]
		x := KeyQueueSnapshot{Key: key, CooldownUntil: queue.cooldownUntil}
		if withRequests {
			for _, request := range queue.requests {
				index, ok := w.requestIndex[request]
				if !ok {
					return nil, fmt.Errorf("snapshot: request %d in its key queue is missing from the given requests", request.ID)
				}
				x.Requests = append(x.Requests, index)
			}
		}
		if withRequests || queue.cooldownUntil > w.lb.now {
			w.snapshot.KeyQueues = append(w.snapshot.KeyQueues, x)
			keyQueueIndex[queue] = len(w.snapshot.KeyQueues)
		}
	}
	return keyQueueIndex, nil
}

func (w *snapshotWriter) writeQueue() error {
	for _, request := range w.lb.queue.requests {
		index, ok := w.requestIndex[request]
		if !ok {
			return fmt.Errorf("snapshot: queued request %d is missing from the given requests", request.ID)
		}
		w.snapshot.Queued = append(w.snapshot.Queued, index)
	}
	return nil
}

func (w *snapshotWriter) writeTimers(keyQueueIndex map[*keyQueue]int) {
	for _, t := range w.lb.timers.entries {
		x := TimerSnapshot{At: t.at, Seq: t.seq, Request: -1, Attempt: -1, KeyQueue: keyQueueIndex[t.keyQueue], IsWorkAbandoned: t.isWorkAbandoned}
		switch {
		case t.request != nil && !t.request.IsDone():
			if index, ok := w.requestIndex[t.request]; ok {
				x.Request = index
			}
		case t.attempt != nil && !t.attempt.Request.IsDone():
			if index, ok := w.requestIndex[t.attempt.Request]; ok {
				x.Request, x.Attempt = index, t.attempt.Number
			}
		}
		w.snapshot.Timers = append(w.snapshot.Timers, x)
	}
}
