package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// A snapshot is all that a balancer knows between two batches of inputs, as plain values: one restored from it makes the
// same decisions from then on. What the configuration says is not in it, nor what follows from that. Requests and
// backends go by their index in the lists that the host gave; -1 is none where that is said.
//
// Snapshots are stored, and sent from one process to the next, by the ORDER of their fields (see internal/snapshot): a
// field may be renamed, and a new one is added at a struct's end; none may move, change its type or go.

// ErrMidBatch is the error of a snapshot that is taken while decisions are due.
var ErrMidBatch = errors.New("snapshot in the middle of a batch")

// ErrEarlierConfig is the error of a snapshot with a request that came under an earlier configuration: its class has no
// index in the present one.
var ErrEarlierConfig = errors.New("snapshot with a request under an earlier configuration")

// Snapshot is the state of a balancer.
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
	HasNews              bool
	HasFreedCapacity     bool
	PollFailures         int
	Seq                  uint64
	// Random is the state of the generator of random numbers.
	Random      [2]uint64
	Hints       []float64 // the window of the cutoff
	HintNext    int
	Overrun     QuantileSnapshot
	Priority    MeanSnapshot
	Work        MeanSnapshot
	ServiceTime MeanSnapshot
	// Paces are time and work; waits are sum, count and time; usage is work and speed; rates are sum and time.
	PaceAll              [2]float64
	PaceKinds            [][2]float64
	WaitsAll             [3]float64
	WaitsByZone          [][3]float64
	UsageByZone          [][2]float64
	Classes              []MeanSnapshot // mean work
	Tenants              [][2]float64   // request rates
	Backends             []BackendSnapshot
	Order                []int // the balancer's backends among them
	Requests             []RequestSnapshot
	Queued               []int
	Timers               []TimerSnapshot
	Processes            int
	SplitUntil           float64
	KeyQueues            []KeyQueueSnapshot
	IsListDoubted        bool
	LastResetAt          float64
	AnsweredAfterResetAt float64
	AnsweredTime         [2]float64
	TenantRate           [2]float64 // of all tenants together
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
	Drain              [3]float64
	Suspicion          [2]float64
	RecentWorkAt       []float64
	RecentWork         []float64
	InFlight           []int // attempts, as request and number in turn
	Waits              [3]float64
	MaxCoresSeen       float64
	LastWait           [2]float64
	Cordoned           bool
	UncordonedAt       float64
	CordonedAt         float64
	RemovedAt          float64
	WasDrained         bool
	IsConnected        bool
	InSubset           bool
	Refusals           float64
	LastResetAt        float64
}

// RequestSnapshot is the state of a request that is not over.
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

// AttemptSnapshot is the state of one of its attempts.
type AttemptSnapshot struct {
	Backend      int
	SentAt       float64
	ExpectedTime float64
	InFlight     bool
	Canceled     bool
	IsOverdue    bool
	WasAlone     bool
	Outcome      Outcome
	HasStarted   bool
}

// TimerSnapshot is a timer: of a request, of one of its attempts, of a key, or of none where what it was for is over.
type TimerSnapshot struct {
	At       float64
	Seq      uint64
	Request  int // -1 is none
	Attempt  int // -1 is none
	KeyQueue int // from 1, 0 is none

	IsWorkAbandoned bool
}

// KeyQueueSnapshot is the requests with one key that are not over, in their order, and the end of its cooldown.
type KeyQueueSnapshot struct {
	Key           uint64
	CooldownUntil float64
	Requests      []int
}

// Snapshot returns the balancer's state between two batches. The host names all requests that are not over, and all
// backends that it may name again, in an order of its own.
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
// timed stays with the process that has it, and so does its random generator; the endpoint list is polled anew.
// Cooldowns of keys go over: what may still run there is out of the other process's sight.
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
		s.Timers = append(s.Timers, TimerSnapshot{At: queue.CooldownUntil, Request: -1, Attempt: -1, KeyQueue: i + 1})
	}
	s.HasFreedCapacity, s.HasNews, s.Random = false, true, [2]uint64{}
	s.ArmedFor, s.ReviewAt, s.PollAt, s.IsWatched, s.PollFailures = math.Inf(1), s.Now, s.Now, false, 0
	for i := range s.Backends {
		s.Backends[i].WorkInFlight, s.Backends[i].LongInFlight = 0, 0
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
				x.InFlight = append(x.InFlight, at, attempt.Number)
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
		HasNews:              lb.review.hasNews,
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

// snapshotEstimates adds what was learned of requests, zones and kinds of machine.
func (lb *Balancer) snapshotEstimates(s *Snapshot) {
	known := &lb.estimates
	s.TenantRate = [2]float64{lb.config.tenantRate.sum, lb.config.tenantRate.at}
	s.Hints, s.HintNext = slices.Clone(lb.cutoff.ring), lb.cutoff.next
	s.Overrun = QuantileSnapshot{lb.retries.overrun.value, lb.retries.overrun.seen}
	s.Priority = MeanSnapshot{known.priority.value, known.priority.seen}
	s.Work = MeanSnapshot{known.work.value, known.work.seen}
	s.ServiceTime = MeanSnapshot{known.serviceTime.value, known.serviceTime.seen}
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
		s.Classes = append(s.Classes, MeanSnapshot{class.meanWork.value, class.meanWork.seen})
	}
	for _, tenant := range lb.config.Tenants {
		s.Tenants = append(s.Tenants, [2]float64{tenant.rate.sum, tenant.rate.at})
	}
}

// snapshot is the backend's state without its attempts.
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
		AnswerRatio:        QuantileSnapshot{b.answerRatio.value, b.answerRatio.seen},
		Drain:              [3]float64{b.completionRate.done, b.completionRate.busyTime, b.completionRate.at},
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
			at, named := w.backendAt[a.Backend]
			if !named {
				return fmt.Errorf("snapshot: request %d was sent to backend %x, which the host did not name", r.ID, a.Backend.ID)
			}
			x.Attempts = append(x.Attempts, AttemptSnapshot{
				Backend:      at,
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

// writeKeyQueues writes the keys in the order of their values, and gives their numbers from 1 on. Without requests, only
// those keys count whose cooldown runs.
func (w *snapshotWriter) writeKeyQueues(withRequests bool) (map[*keyQueue]int, error) {
	keyQueueAt := map[*keyQueue]int{}
	for _, key := range slices.Sorted(maps.Keys(w.lb.keyQueues)) {
		queue := w.lb.keyQueues[key]
		x := KeyQueueSnapshot{Key: key, CooldownUntil: queue.cooldownUntil}
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
		x := TimerSnapshot{At: t.at, Seq: t.seq, Request: -1, Attempt: -1, KeyQueue: keyQueueAt[t.keyQueue], IsWorkAbandoned: t.isWorkAbandoned}
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
