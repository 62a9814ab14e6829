package balancer

import (
	"container/heap"
	"errors"
	"math"
	"slices"
	"sort"
)

// Restoring makes a balancer from a snapshot, part by part. Snapshots come from files and from other processes and may be
// damaged. Every index is therefore checked before it is used, and a state that no balancer can have is an error.

// maxZoneOrKind is the highest number of a zone or a kind of machine that is accepted. Tables grow to that number, so that a
// damaged one could exhaust the memory.
const maxZoneOrKind = 1 << 16

// Restore returns a balancer in the state of a snapshot, and its requests and backends in the snapshot's order. config must
// be the configuration under which the snapshot was taken. It returns an error if the snapshot does not fit the
// configuration, or has a state that no balancer can have.
func Restore(config *Config, s *Snapshot) (*Balancer, []*Request, []*Backend, error) {
	if len(s.Classes) != len(config.Classes) || len(s.Tenants) != len(config.Tenants) || len(s.Hints) > hintWindowSize ||
		s.HintNext < 0 || s.HintNext >= hintWindowSize {
		return nil, nil, nil, errors.New("snapshot: classes, tenants or cost hints do not fit the configuration")
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
	lb.timers.armedFor = s.ArmedFor
	lb.timers.seq = s.Seq
	lb.review = reviewSchedule{at: s.ReviewAt, isPending: s.IsReviewPending}
	lb.rotation = rotationState{position: s.RotationPosition, meanWeight: s.MeanWeight}
	lb.retries = retryState{
		tokens:               s.RetryTokens,
		overrun:              quantileEstimate{s.Overrun.Value, s.Overrun.Samples},
		latestAnsweredSentAt: s.LatestAnsweredSentAt,
	}
	lb.ejection = ejectionState{
		commonSuspicion:      s.CommonSuspicion,
		lastResetAt:          s.LastResetAt,
		answeredAfterResetAt: s.AnsweredAfterResetAt,
	}
	lb.endpoints = endpointState{isDoubted: s.IsListDoubted, isWatched: s.IsWatched, pollAt: s.PollAt, pollFailures: s.PollFailures}
	lb.concurrency.limit = s.InFlightLimit
	lb.concurrency.answeredTime = decayingCounter{s.AnsweredTime[0], s.AnsweredTime[1]}
	lb.slowStart.processes = s.Processes
	lb.slowStart.splitUntil = s.SplitUntil
	lb.queue.hasFreedCapacity = s.HasFreedCapacity
	if s.Random != [2]uint64{} {
		lb.random = multiplyWithCarry{s.Random[0], s.Random[1]}
	}
}

func (r *snapshotReader) readEstimates() {
	lb, s := r.lb, r.snapshot
	lb.cutoff = hintWindow{ring: slices.Clone(s.Hints), sorted: slices.Clone(s.Hints), next: s.HintNext}
	sort.Float64s(lb.cutoff.sorted)
	lb.estimates.priority = runningMean{s.Priority.Value, s.Priority.Samples}
	lb.estimates.work = runningMean{s.Work.Value, s.Work.Samples}
	lb.estimates.serviceTime = runningMean{s.ServiceTime.Value, s.ServiceTime.Samples}
	lb.estimates.paces.all = paceEstimate{s.PaceAll[0], s.PaceAll[1]}
	for _, pace := range s.PaceKinds {
		lb.estimates.paces.byKind = append(lb.estimates.paces.byKind, paceEstimate{pace[0], pace[1]})
	}
	lb.estimates.waits.all = decayingMean{s.WaitsAll[0], s.WaitsAll[1], s.WaitsAll[2]}
	for _, wait := range s.WaitsByZone {
		lb.estimates.waits.byZone = append(lb.estimates.waits.byZone, decayingMean{wait[0], wait[1], wait[2]})
	}
	for _, usage := range s.UsageByZone {
		lb.slowStart.usageByZone = append(lb.slowStart.usageByZone, zoneUsage{usage[0], usage[1]})
	}
	for i, class := range s.Classes {
		lb.config.Classes[i].meanWork = runningMean{class.Value, class.Samples}
	}
}

// readTenants restores the tenants' rates. Earlier builds did not store the rate of all tenants together: their snapshots have
// zeros there, and it is computed as the sum.
func (r *snapshotReader) readTenants() {
	config, s := r.lb.config, r.snapshot
	for i, rate := range s.Tenants {
		config.Tenants[i].rate = decayingCounter{rate[0], rate[1]}
	}
	config.tenantRate = decayingCounter{s.TenantRate[0], s.TenantRate[1]}
	if s.TenantRate != [2]float64{} {
		return
	}
	for i := range config.Tenants {
		if x := config.Tenants[i].rate.get(s.Now, rateHalfLifeMs); x > 0 {
			config.tenantRate.set(s.Now, config.tenantRate.sum+x)
		}
	}
}

func (r *snapshotReader) readBackends() error {
	for _, x := range r.snapshot.Backends {
		if len(x.RecentWorkAt) != len(x.RecentWork) || len(x.InFlight)%2 != 0 ||
			x.Zone < 0 || x.Kind < 0 || x.Zone > maxZoneOrKind || x.Kind > maxZoneOrKind {
			return errors.New("snapshot: invalid backend")
		}
		r.backends = append(r.backends, x.restore())
	}
	return nil
}

// restore returns the backend without its attempts in flight.
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
		longInFlight:       x.LongInFlight,
		workInFlight:       x.WorkInFlight,
		lastAnsweredSentAt: x.LastAnsweredSentAt,
		busyUntil:          x.BusyUntil,
		bestPace:           x.BestPace,
		maxInFlight:        x.MaxInFlight,
		pausedUntil:        x.PausedUntil,
		rotationPass:       x.RotationPass,
		pace:               paceEstimate{x.Pace[0], x.Pace[1]},
		answerRatio:        quantileEstimate{x.AnswerRatio.Value, x.AnswerRatio.Samples},
		completionRate:     completionRateEstimate{x.CompletionRate[0], x.CompletionRate[1], x.CompletionRate[2]},
		suspicion:          decayingCounter{x.Suspicion[0], x.Suspicion[1]},
		recentWork:         slidingSum{slices.Clone(x.RecentWorkAt), slices.Clone(x.RecentWork)},
		waits:              decayingMean{x.Waits[0], x.Waits[1], x.Waits[2]},
		maxCoresSeen:       x.MaxCoresSeen,
		lastWait:           latestWait{x.LastWait[0], x.LastWait[1]},
		availability: availability{
			removedAt:            x.RemovedAt,
			wasDrained:           x.WasDrained,
			isCordoned:           x.Cordoned,
			cordonedAt:           x.CordonedAt,
			uncordonedAt:         x.UncordonedAt,
			removedWhileCordoned: x.RemovedWhileCordoned,
		},
		isConnected: x.IsConnected,
		inSubset:    x.InSubset,
		refusals:    x.Refusals,
		lastResetAt: x.LastResetAt,
	}
}

func (r *snapshotReader) readRequests() error {
	config := r.lb.config
	for _, x := range r.snapshot.Requests {
		if x.Class < 0 || x.Class >= len(config.Classes) || x.Stage < 0 || x.Stage > int(stageEnded) {
			return errors.New("snapshot: invalid request")
		}
		request := x.restore(config)
		for number, attempt := range x.Attempts {
			if attempt.Backend < 0 || attempt.Backend >= len(r.backends) {
				return errors.New("snapshot: attempt at an unknown backend")
			}
			request.Attempts = append(request.Attempts, &Attempt{
				Request:      request,
				Backend:      r.backends[attempt.Backend],
				Number:       number,
				SentAt:       attempt.SentAt,
				expectedTime: attempt.ExpectedTime,
				inFlight:     attempt.InFlight,
				canceled:     attempt.Canceled,
				isOverdue:    attempt.IsOverdue,
				wasAlone:     attempt.WasAlone,
				outcome:      attempt.Outcome,
				hasStarted:   attempt.HasStarted,
			})
		}
		for _, attempt := range request.Attempts {
			r.lb.concurrency.inFlight += attempt.countedInFlight()
		}
		r.requests = append(r.requests, request)
	}
	return nil
}

// restore returns the request without its attempts.
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
		isLong:        x.IsLong,
		estimate:      x.Estimate,
		overQuota:     x.OverQuota,
		stage:         requestStage(x.Stage),
	}
}

func (r *snapshotReader) readKeyQueues() error {
	for _, x := range r.snapshot.KeyQueues {
		queue := &keyQueue{key: x.Key, cooldownUntil: x.CooldownUntil}
		for _, index := range x.Requests {
			if index < 0 || index >= len(r.requests) || r.requests[index].keyQueue != nil {
				return errors.New("snapshot: invalid key queue")
			}
			queue.requests = append(queue.requests, r.requests[index])
			r.requests[index].keyQueue = queue
		}
		r.keyQueues = append(r.keyQueues, queue)
		r.lb.keyQueues[x.Key] = queue
	}
	return nil
}

// attempt returns a request's attempt, by the index of the request in the snapshot and the number of the attempt.
func (r *snapshotReader) attempt(request, number int) (*Attempt, error) {
	if request < 0 || request >= len(r.requests) || number < 0 || number >= len(r.requests[request].Attempts) {
		return nil, errors.New("snapshot: unknown attempt")
	}
	return r.requests[request].Attempts[number], nil
}

func (r *snapshotReader) readInFlight() error {
	for i, x := range r.snapshot.Backends {
		for k := 0; k < len(x.InFlight); k += 2 {
			attempt, err := r.attempt(x.InFlight[k], x.InFlight[k+1])
			if err != nil {
				return err
			}
			r.backends[i].inFlight = append(r.backends[i].inFlight, attempt)
		}
	}
	return nil
}

// readOrder restores the tracked backends and the queue, both in their order.
func (r *snapshotReader) readOrder() error {
	for _, index := range r.snapshot.Order {
		if index < 0 || index >= len(r.backends) {
			return errors.New("snapshot: unknown backend in the order of tracked backends")
		}
		r.lb.backends = append(r.lb.backends, r.backends[index])
	}
	for _, index := range r.snapshot.Queued {
		if index < 0 || index >= len(r.requests) {
			return errors.New("snapshot: unknown request in the queue")
		}
		r.lb.queue.requests = append(r.lb.queue.requests, r.requests[index])
	}
	return nil
}

func (r *snapshotReader) readTimers() (err error) {
	for _, x := range r.snapshot.Timers {
		t := timer{at: x.At, seq: x.Seq, isWorkAbandoned: x.IsWorkAbandoned}
		if x.IsWorkAbandoned {
			r.lb.concurrency.inFlight++
		}
		switch {
		case math.IsNaN(x.At) || x.Request >= len(r.requests) || x.KeyQueue < 0 || x.KeyQueue > len(r.keyQueues):
			return errors.New("snapshot: invalid timer")
		case x.KeyQueue > 0:
			t.keyQueue = r.keyQueues[x.KeyQueue-1]
		case x.Request >= 0 && x.Attempt >= 0:
			if t.attempt, err = r.attempt(x.Request, x.Attempt); err != nil {
				return err
			}
		case x.Request >= 0:
			t.request = r.requests[x.Request]
		}
		r.lb.timers.entries = append(r.lb.timers.entries, t)
	}
	// The cooldowns of a HandoffSnapshot are in the order of their keys and not in that of a heap.
	heap.Init(&r.lb.timers.entries)
	return nil
}
