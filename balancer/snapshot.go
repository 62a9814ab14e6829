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

// Snapshot is all that a node knows at a batch's end, as plain values: one restored from it goes on with the same
// decisions. What the terms say is not in it, nor what follows from them. Backends and ops go by their places in the
// lists that the host gave.
type Snapshot struct {
	Now, Armed, SweepAt, Round, Extra, Doubt, Weight, AskAt, Window, Heard float64
	Tracked, Stirred, Idle                                                 bool
	Failures                                                               int
	Seq                                                                    uint64
	Chance                                                                 [2]uint64
	Hints                                                                  []float64 // the cutoff's window
	HintNext                                                               int
	Stretch                                                                QuantileSnapshot
	Value, Work, Service                                                   MeanSnapshot
	PaceAll                                                                [2]float64
	PaceKinds                                                              [][2]float64
	CrowdAll                                                               [3]float64
	CrowdZones                                                             [][3]float64
	Warm                                                                   [][2]float64
	Classes                                                                []MeanSnapshot // works
	Tenants                                                                [][2]float64   // rates
	Backends                                                               []BackendSnapshot
	Order                                                                  []int // the node's backends among them
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

// SnapQuantile, SnapMean and the others below are parts of a Snapshot.
type QuantileSnapshot struct {
	Value float64
	Seen  int
}

type MeanSnapshot struct{ Value, Seen float64 }

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
	Out                                             []int // pushes, as op and number in turn
	Waits                                           [3]float64
	Cores                                           float64
	Met                                             [2]float64
	Cordoned                                        bool
	Back, OutAt                                     float64
	GoneAt                                          float64
	Drained, Joined, Own                            bool
	Refused, BrokeAt                                float64
}

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

type AttemptSnapshot struct {
	Backend                            int
	SentAt, Expect                     float64
	InFlight, Canceled, Overdue, Alone bool
	Outcome                            Outcome
	Begun                              bool
}

// SnapDue is something that falls due: of an op, of one of its pushes, or of neither, where what it was for is over.
type TimerSnapshot struct {
	At      float64
	Seq     uint64
	Request int // -1 is none
	Attempt int // -1 is none
	Line    int // from 1, 0 is none

	Lingers bool
}

// SnapLine is a key's ops that are not over, in their order, and until when the key rests.
type KeyQueueSnapshot struct {
	Key      uint64
	Rest     float64
	Requests []int
}

// Snapshot takes the node's state at a batch's end. The host names all ops that are not over, and all backends that it
// may name again, in an order of its own.
func (n *Balancer) Snapshot(ops []*Request, backends []*Backend) (*Snapshot, error) {
	for _, o := range ops {
		if o.Config != n.config && o.Config != nil { // its category has no place among those of now
			return nil, errors.New("snapshot with an op under earlier terms")
		}
	}
	return n.snapshot(ops, backends, true)
}

// Carried is what another process may go on with: all that was learned and spent. What is out, held or due stays with the
// process that has it, and so does its chance; the list is asked for anew.
func (n *Balancer) HandoffSnapshot(backends []*Backend) (*Snapshot, error) {
	s, err := n.snapshot(nil, backends, false)
	if err != nil {
		return nil, err
	}
	s.Idle, s.Stirred, s.Chance = false, true, [2]uint64{}
	s.Armed, s.SweepAt, s.AskAt, s.Tracked, s.Failures = math.Inf(1), s.Now, s.Now, false, 0
	for i := range s.Backends {
		s.Backends[i].WorkOut, s.Backends[i].Longs = 0, 0
	}
	return s, nil
}

func (n *Balancer) snapshot(ops []*Request, backends []*Backend, whole bool) (*Snapshot, error) {
	if len(n.pending) > 0 || len(n.decisions) > 0 {
		return nil, errors.New("snapshot in the middle of a batch")
	}
	opAt, backendAt := make(map[*Request]int, len(ops)), make(map[*Backend]int, len(backends))
	for i, o := range ops {
		opAt[o] = i
	}
	for i, b := range backends {
		backendAt[b] = i
	}
	s := &Snapshot{Now: n.now, Armed: n.armedFor, SweepAt: n.sweepAt, Round: n.round, Extra: n.retryTokens, Doubt: n.commonSuspicion, Weight: n.meanWeight, AskAt: n.askAt, Window: n.inFlightLimit, Heard: n.heard,
		Tracked: n.tracked, Stirred: n.stirred, Idle: n.hasFreedCapacity, Failures: n.failures, Of: n.processCount, Whole: n.processesSplitUntil, Doubted: n.isListDoubted, FellAt: n.lastResetAt, AloneAt: n.answeredAfterResetAt, Answers: [2]float64{n.answeredTime.sum, n.answeredTime.at},
		Rates: [2]float64{n.config.tenantRate.sum, n.config.tenantRate.at}, Seq: n.seq, Chance: [2]uint64{n.random.x, n.random.carry},
		Hints: slices.Clone(n.cutoff.ring), HintNext: n.cutoff.next, Stretch: snapQuantile(n.stretch),
		Value: MeanSnapshot{n.meanPriority.value, n.meanPriority.seen}, Work: MeanSnapshot{n.meanWork.value, n.meanWork.seen},
		Service: MeanSnapshot{n.meanServiceTime.value, n.meanServiceTime.seen}, PaceAll: [2]float64{n.paces.all.time, n.paces.all.work},
		CrowdAll: [3]float64{n.waitsByZone.all.sum, n.waitsByZone.all.count, n.waitsByZone.all.at}}
	for _, p := range n.paces.byKind {
		s.PaceKinds = append(s.PaceKinds, [2]float64{p.time, p.work})
	}
	for _, r := range n.waitsByZone.byZone {
		s.CrowdZones = append(s.CrowdZones, [3]float64{r.sum, r.count, r.at})
	}
	for _, w := range n.usageByZone {
		s.Warm = append(s.Warm, [2]float64{w.work, w.speed})
	}
	for _, c := range n.config.Classes {
		s.Classes = append(s.Classes, MeanSnapshot{c.meanWork.value, c.meanWork.seen})
	}
	for _, t := range n.config.Tenants {
		s.Tenants = append(s.Tenants, [2]float64{t.rate.sum, t.rate.at})
	}
	for _, b := range backends {
		x := BackendSnapshot{ID: b.ID, Zone: b.Zone, Cell: b.Cell, Kind: b.Kind, State: b.State, Weight: b.Weight, Started: b.Started, Tracked: b.tracked,
			Longs: b.longInFlight, WorkOut: b.workInFlight, Heard: b.lastAnsweredSentAt, Lingers: b.busyUntil, Best: b.bestPace, Most: b.maxInFlight, Rest: b.pausedUntil, Pass: b.rotationPass,
			Pace: [2]float64{b.pace.time, b.pace.work}, Tail: snapQuantile(b.answerRatio), Flow: [3]float64{b.drain.done, b.drain.busyTime, b.drain.at},
			Distrust: [2]float64{b.suspicion.sum, b.suspicion.at}, SpentAt: slices.Clone(b.recentWork.at), Spent: slices.Clone(b.recentWork.amount),
			Waits: [3]float64{b.waits.sum, b.waits.count, b.waits.at}, Cores: b.maxCoresSeen,
			Met: [2]float64{b.lastWait.wait, b.lastWait.at}, Cordoned: b.isCordoned, Back: b.uncordonedAt, OutAt: b.cordonedAt, GoneAt: b.removedAt, Drained: b.wasDrained, Joined: b.isConnected, Own: b.inSubset, Refused: b.refusals, BrokeAt: b.lastResetAt}
		for _, p := range b.inFlight {
			if !whole {
				break
			}
			at, named := opAt[p.Request]
			if !named {
				return nil, fmt.Errorf("snapshot: backend %x has a push of op %d, which the host did not name", b.ID, p.Request.ID)
			}
			x.Out = append(x.Out, at, p.Number)
		}
		s.Backends = append(s.Backends, x)
	}
	for _, b := range n.backends {
		at, named := backendAt[b]
		if !named {
			return nil, fmt.Errorf("snapshot: backend %x was not named by the host", b.ID)
		}
		s.Order = append(s.Order, at)
	}
	for _, o := range ops {
		x := RequestSnapshot{ID: o.ID, Class: o.Class, Tenant: o.Tenant, CostHint: o.CostHint, ArrivedAt: o.ArrivedAt, Deadline: o.Deadline, Work: o.work,
			Estimate: o.estimate, HasCostHint: o.HasCostHint, IsClientRetry: o.IsClientRetry, Long: o.isLong, Excess: o.overQuota, Streamed: o.Streamed, Stage: int(o.stage), Key: o.Key}
		for _, p := range o.Attempts {
			at, named := backendAt[p.Backend]
			if !named {
				return nil, fmt.Errorf("snapshot: op %d was pushed to backend %x, which the host did not name", o.ID, p.Backend.ID)
			}
			x.Attempts = append(x.Attempts, AttemptSnapshot{Backend: at, SentAt: p.SentAt, Expect: p.expectedTime, InFlight: p.inFlight, Canceled: p.canceled, Overdue: p.isOverdue,
				Alone: p.wasAlone, Outcome: p.outcome, Begun: p.hasStarted})
		}
		s.Requests = append(s.Requests, x)
	}
	lineAt := map[*keyQueue]int{}
	for _, key := range slices.Sorted(maps.Keys(n.keyQueues)) {
		l := n.keyQueues[key]
		x := KeyQueueSnapshot{Key: key, Rest: l.cooldownUntil}
		for _, o := range l.requests {
			if !whole {
				break
			}
			at, named := opAt[o]
			if !named {
				return nil, fmt.Errorf("snapshot: op %d in the line of its key was not named by the host", o.ID)
			}
			x.Requests = append(x.Requests, at)
		}
		if whole || l.cooldownUntil > n.now {
			s.KeyQueues = append(s.KeyQueues, x)
			lineAt[l] = len(s.KeyQueues)
		}
	}
	if !whole { // rests go over: what may still run there is out of the other process's sight
		for i, l := range s.KeyQueues {
			s.Timers = append(s.Timers, TimerSnapshot{At: l.Rest, Request: -1, Attempt: -1, Line: i + 1})
		}
		return s, nil
	}
	for _, o := range n.queuedRequests {
		at, named := opAt[o]
		if !named {
			return nil, fmt.Errorf("snapshot: held op %d was not named by the host", o.ID)
		}
		s.Queued = append(s.Queued, at)
	}
	for _, d := range n.timerEntries {
		x := TimerSnapshot{At: d.at, Seq: d.seq, Request: -1, Attempt: -1, Line: lineAt[d.keyQueue], Lingers: d.isWorkAbandoned}
		switch {
		case d.request != nil && !d.request.IsDone():
			if at, named := opAt[d.request]; named {
				x.Request = at
			}
		case d.attempt != nil && !d.attempt.Request.IsDone():
			if at, named := opAt[d.attempt.Request]; named {
				x.Request, x.Attempt = at, d.attempt.Number
			}
		}
		s.Timers = append(s.Timers, x)
	}
	return s, nil
}

func snapQuantile(q quantileEstimate) QuantileSnapshot { return QuantileSnapshot{q.value, q.seen} }

// Restore makes a node that goes on where a snapshot was taken, with the ops and backends in the snapshot's order. The
// terms are those of the node then. A snapshot that can't be one of such a node's is an error.
func Restore(t *Config, s *Snapshot) (n *Balancer, ops []*Request, backends []*Backend, err error) {
	if len(s.Classes) != len(t.Classes) || len(s.Tenants) != len(t.Tenants) || len(s.Hints) > hintWindowSize ||
		s.HintNext < 0 || s.HintNext >= hintWindowSize {
		return nil, nil, nil, errors.New("snapshot of other terms")
	}
	n = New(t, s.Now)
	n.armedFor, n.sweepAt, n.round, n.retryTokens, n.commonSuspicion, n.meanWeight, n.askAt = s.Armed, s.SweepAt, s.Round, s.Extra, s.Doubt, s.Weight, s.AskAt
	n.inFlightLimit, n.heard, n.processCount, n.processesSplitUntil, n.isListDoubted = s.Window, s.Heard, s.Of, s.Whole, s.Doubted
	n.lastResetAt, n.answeredAfterResetAt = s.FellAt, s.AloneAt
	n.answeredTime = decayingCounter{s.Answers[0], s.Answers[1]}
	n.tracked, n.stirred, n.hasFreedCapacity, n.failures, n.seq = s.Tracked, s.Stirred, s.Idle, s.Failures, s.Seq
	if s.Chance != [2]uint64{} {
		n.random = multiplyWithCarry{s.Chance[0], s.Chance[1]}
	}
	n.cutoff = hintWindow{ring: slices.Clone(s.Hints), sorted: slices.Clone(s.Hints), next: s.HintNext}
	sort.Float64s(n.cutoff.sorted)
	n.stretch = quantileEstimate{s.Stretch.Value, s.Stretch.Seen}
	n.meanPriority, n.meanWork, n.meanServiceTime = runningMean{s.Value.Value, s.Value.Seen}, runningMean{s.Work.Value, s.Work.Seen}, runningMean{s.Service.Value, s.Service.Seen}
	n.paces.all = paceEstimate{s.PaceAll[0], s.PaceAll[1]}
	for _, p := range s.PaceKinds {
		n.paces.byKind = append(n.paces.byKind, paceEstimate{p[0], p[1]})
	}
	n.waitsByZone.all = decayingMean{s.CrowdAll[0], s.CrowdAll[1], s.CrowdAll[2]}
	for _, r := range s.CrowdZones {
		n.waitsByZone.byZone = append(n.waitsByZone.byZone, decayingMean{r[0], r[1], r[2]})
	}
	for _, w := range s.Warm {
		n.usageByZone = append(n.usageByZone, zoneUsage{w[0], w[1]})
	}
	for i, c := range s.Classes {
		t.Classes[i].meanWork = runningMean{c.Value, c.Seen}
	}
	for i, r := range s.Tenants {
		t.Tenants[i].rate = decayingCounter{r[0], r[1]}
	}
	t.tenantRate = decayingCounter{s.Rates[0], s.Rates[1]}
	if s.Rates == [2]float64{} { // of a build that kept no sum
		for i := range t.Tenants {
			if x := t.Tenants[i].rate.get(s.Now, rateHalfLife); x > 0 {
				t.tenantRate.set(s.Now, t.tenantRate.sum+x)
			}
		}
	}
	for _, x := range s.Backends {
		if len(x.SpentAt) != len(x.Spent) || len(x.Out)%2 != 0 || x.Zone < 0 || x.Kind < 0 || x.Zone > maxZoneOrKind || x.Kind > maxZoneOrKind {
			return nil, nil, nil, errors.New("snapshot of an odd backend")
		}
		backends = append(backends, &Backend{ID: x.ID, Zone: x.Zone, Cell: x.Cell, Kind: x.Kind, State: x.State, Weight: x.Weight, Started: x.Started,
			tracked: x.Tracked, longInFlight: x.Longs, workInFlight: x.WorkOut, lastAnsweredSentAt: x.Heard, busyUntil: x.Lingers, bestPace: x.Best, maxInFlight: x.Most, pausedUntil: x.Rest,
			rotationPass: x.Pass, pace: paceEstimate{x.Pace[0], x.Pace[1]}, answerRatio: quantileEstimate{x.Tail.Value, x.Tail.Seen}, drain: drainEstimate{x.Flow[0], x.Flow[1], x.Flow[2]},
			suspicion: decayingCounter{x.Distrust[0], x.Distrust[1]}, recentWork: slidingSum{slices.Clone(x.SpentAt), slices.Clone(x.Spent)},
			waits: decayingMean{x.Waits[0], x.Waits[1], x.Waits[2]}, maxCoresSeen: x.Cores,
			lastWait: latestWait{x.Met[0], x.Met[1]}, isCordoned: x.Cordoned, uncordonedAt: x.Back, cordonedAt: x.OutAt, removedAt: x.GoneAt, wasDrained: x.Drained, isConnected: x.Joined, inSubset: x.Own, refusals: x.Refused,
			lastResetAt: x.BrokeAt})
	}
	for _, x := range s.Requests {
		if x.Class < 0 || x.Class >= len(t.Classes) || x.Stage < 0 || x.Stage > int(stageEnded) {
			return nil, nil, nil, errors.New("snapshot of an odd op")
		}
		o := &Request{Config: t, ID: x.ID, Class: x.Class, Tenant: x.Tenant, CostHint: x.CostHint, HasCostHint: x.HasCostHint, IsClientRetry: x.IsClientRetry, ArrivedAt: x.ArrivedAt,
			Deadline: x.Deadline, Key: x.Key, class: &t.Classes[x.Class], work: x.Work, isLong: x.Long, estimate: x.Estimate, overQuota: x.Excess, Streamed: x.Streamed, stage: requestStage(x.Stage)}
		for k, p := range x.Attempts {
			if p.Backend < 0 || p.Backend >= len(backends) {
				return nil, nil, nil, errors.New("snapshot of a push to nowhere")
			}
			o.Attempts = append(o.Attempts, &Attempt{Request: o, Backend: backends[p.Backend], Number: k, SentAt: p.SentAt, expectedTime: p.Expect, inFlight: p.InFlight,
				canceled: p.Canceled, isOverdue: p.Overdue, wasAlone: p.Alone, outcome: p.Outcome, hasStarted: p.Begun})
		}
		ops = append(ops, o)
	}
	for _, o := range ops {
		for _, p := range o.Attempts {
			n.inFlightTotal += p.counted()
		}
	}
	var lines []*keyQueue
	for _, x := range s.KeyQueues {
		l := &keyQueue{key: x.Key, cooldownUntil: x.Rest}
		for _, at := range x.Requests {
			if at < 0 || at >= len(ops) || ops[at].keyQueue != nil {
				return nil, nil, nil, errors.New("snapshot of an odd line")
			}
			l.requests, ops[at].keyQueue = append(l.requests, ops[at]), l
		}
		lines = append(lines, l)
		n.keyQueues[x.Key] = l
	}
	push := func(op, number int) (*Attempt, error) {
		if op < 0 || op >= len(ops) || number < 0 || number >= len(ops[op].Attempts) {
			return nil, errors.New("snapshot names a push that it has not")
		}
		return ops[op].Attempts[number], nil
	}
	for i, x := range s.Backends {
		for k := 0; k < len(x.Out); k += 2 {
			p, err := push(x.Out[k], x.Out[k+1])
			if err != nil {
				return nil, nil, nil, err
			}
			backends[i].inFlight = append(backends[i].inFlight, p)
		}
	}
	for _, at := range s.Order {
		if at < 0 || at >= len(backends) {
			return nil, nil, nil, errors.New("snapshot names a backend that it has not")
		}
		n.backends = append(n.backends, backends[at])
	}
	for _, at := range s.Queued {
		if at < 0 || at >= len(ops) {
			return nil, nil, nil, errors.New("snapshot names an op that it has not")
		}
		n.queuedRequests = append(n.queuedRequests, ops[at])
	}
	for _, x := range s.Timers {
		d := timer{at: x.At, seq: x.Seq, isWorkAbandoned: x.Lingers}
		if x.Lingers {
			n.inFlightTotal++
		}
		switch {
		case math.IsNaN(x.At) || x.Request >= len(ops) || x.Line < 0 || x.Line > len(lines):
			return nil, nil, nil, errors.New("snapshot of an odd due time")
		case x.Line > 0:
			d.keyQueue = lines[x.Line-1]
		case x.Request >= 0 && x.Attempt >= 0:
			if d.attempt, err = push(x.Request, x.Attempt); err != nil {
				return nil, nil, nil, err
			}
		case x.Request >= 0:
			d.request = ops[x.Request]
		}
		n.timerEntries = append(n.timerEntries, d)
	}
	heap.Init(&n.timerEntries) // rests that another process told of come by their keys
	return n, ops, backends, nil
}

// mostPlaces bounds zones and kinds, by which lists are kept.
const maxZoneOrKind = 1 << 16
