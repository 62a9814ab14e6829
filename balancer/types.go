package balancer

import (
	"fmt"
	"slices"
)

// Effect says what a category's ops allow after a push that may have run.
type Idempotency uint8

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	AtMostOnce
)

// Group is the set of backends that drop a deduplicated op's repeats.
type DedupScope uint8

const (
	DedupByAll DedupScope = iota
	DedupByZone
	DedupByCell
)

// Category is one kind of op with what the deployment says of it.
type Class struct {
	Idempotency      Idempotency `json:"Effect"`
	DedupScope       DedupScope  `json:"Group"`
	DedupWindow      float64     `json:"Remembered"` // how long a deduplicated op's mark is kept, from its first push
	LatencyObjective float64     `json:"TargetLatency"`
	PriorityWeight   float64     `json:"Benefit"`
	LateWeight       float64     `json:"LateBenefit"` // share of the benefit left after the target latency
	Ordered          bool        `json:"KeepOrder"`   // its ops with one key run one at a time, as this node took them

	meanWork     runningMean    // of the hints
	patienceShare float64 // share of an op's time left that it may wait behind others
}

// Tenant is one customer with its share of the service over all nodes.
type Tenant struct {
	Quota float64 `json:"Quota"` // ops a second; 0 means no limit

	rate decayingCounter
}

// Terms are what a deployment tells a node at its start.
type Config struct {
	Seed            uint64   `json:"Seed"`
	Zone            int      `json:"Zone"`
	Nodes           int      `json:"Nodes"`
	NodeIndex       int      `json:"Number"` // of this one among the nodes, from 0
	Classes         []Class  `json:"Categories"`
	Tenants         []Tenant `json:"Tenants"`
	OverQuotaWeight float64  `json:"ExcessBenefit"`
	WeightByWork    bool     `json:"ByWork"` // benefit is counted for each unit of work

	CrossZoneCost  float64 `json:"CrossPrice"`
	MaxAttempts    int     `json:"MaxPushes"`
	AllowHedging   bool    `json:"SecondCopies"`
	CancelAttempts bool    `json:"Cancel"`
	SendRetryAfter bool    `json:"ComeBack"` // clients are told when to come back
	MaxRetryAfter  float64 `json:"MaxComeBack"`

	PollEndpoints    bool    `json:"MustAsk"` // the list of backends comes only when asked for
	PollInterval     float64 `json:"AskWithin"`
	SlowStartShare   float64 `json:"ColdFrom"`
	SlowStartWindow  float64 `json:"WarmWithin"`
	OverloadMultiple float64 `json:"FallMultiple"`
	OverloadWindow   float64 `json:"OverloadFor"`

	UncertainCooldown float64 `json:"SettleAfterDoubt"`  // a key rests so long after a push that may still run
	RemovalIsHint     bool    `json:"RemovalNotBinding"` // gone, or missing from the list, without draining is a hint and no order
	KeyAffinity       bool    `json:"WarmKeys"`          // a backend that met a key lately has less work with it
	ConnectionCost    float64 `json:"ConnectionPrice"`   // of open connections; above 0 backends take few of them

	tenantRate decayingCounter   // of all tenants together
	quotaSum float64 // theirs, once added up
}

// State is what the list says of a backend.
type BackendState uint8

const (
	BackendRemoved BackendState = iota
	BackendDraining
	BackendReady
)

// Backend is a server as the list gives it, with what this node has learned of it.
type Backend struct {
	ID      uint64 // the host's name for it, the same at every node
	Zone    int
	Cell    int
	Kind    int
	State   BackendState
	Weight  float64
	Started float64 // clock time of its latest start; 0 is long ago

	inFlight       []*Attempt // pushes not yet ended, oldest first, without those overdue and overtaken
	longInFlight     int        // of those, the long ones
	workInFlight   float64    // their work
	lastAnsweredSentAt     float64    // when the latest push was sent that has been answered
	busyUntil   float64    // until then, work given up on may still run here
	pace      paceEstimate
	bestPace      float64 // the lowest pace seen
	answerRatio      quantileEstimate
	drain      drainEstimate    // how fast pushes are answered
	waits     decayingMean  // how long pushes waited behind others there
	lastWait       latestWait     // the latest of them
	maxCoresSeen     float64 // the most ops at work at once that it has reported
	maxInFlight      float64 // how many pushes it may have out
	pausedUntil float64
	suspicion  decayingCounter
	rotationPass      float64 // its place in the rotation
	recentWork    slidingSum   // work sent in the last window, for the time when it may be cold
	tracked     bool    // the node has it among its backends
	lastResetAt   float64 // when a push there last ended in a reset
	isConnected    bool    // a connection there has lately served
	inSubset       bool    // it is in the part of the fleet that the node connects to
	refusals   float64 // connects refused in a row
	removedAt    float64 // when the list first said so
	wasDrained   bool    // it was told to drain, and has not been ready since
	isCordoned    bool    // taken out by hand
	cordonedAt     float64 // when last
	uncordonedAt      float64 // when it was put back, where nothing else tells of its restart
}

// take and drop keep count of what is out there; one dropped before it ends is not counted twice.
func (b *Backend) take(now float64, p *Attempt) {
	b.drain.tally(now, len(b.inFlight) > 0)
	b.inFlight = append(b.inFlight, p)
	b.workInFlight += p.Request.work
	if p.Request.isLong {
		b.longInFlight++
	}
}

func (b *Backend) drop(now float64, p *Attempt) {
	b.drain.tally(now, len(b.inFlight) > 0)
	if k := slices.Index(b.inFlight, p); k >= 0 {
		b.inFlight = slices.Delete(b.inFlight, k, k+1)
		b.workInFlight -= p.Request.work
		if p.Request.isLong {
			b.longInFlight--
		}
	}
}

// hear takes an answer. What is overdue by then and was sent before it does not occupy the backend: a connection fell
// silent, or an answer stopped short, and it would keep room, drain and longs from the others until it timed out.
func (b *Backend) hear(now float64, p *Attempt) {
	b.lastAnsweredSentAt = max(b.lastAnsweredSentAt, p.SentAt)
	for _, o := range slices.Clone(b.inFlight) {
		if o.isOverdue && o.isOvertaken() {
			b.drop(now, o)
		}
	}
}

// leave takes the word that a backend is gone, by its line or by its missing.
func (b *Backend) markRemoved(now float64) {
	if b.State != BackendRemoved {
		b.State, b.removedAt = BackendRemoved, now
	}
}

// past lets go of a backend that is gone for good: each decision would look at all there ever were. Until its cold
// budget's window has passed, what it was sent counts, should it come back.
func (b *Backend) forgetIfGone(now float64, t *Config) bool {
	b.tracked = b.State != BackendRemoved || len(b.inFlight) > 0 || b.recentWork.sumWithin(now, t.OverloadWindow) > 0 || now-b.removedAt < t.retentionAfterRemoval()
	return !b.tracked
}

// goneFor is how long a backend that has gone is remembered where the list may be wrong, in ms: a list that is wrong for
// longer is repaired by people, and what comes and goes meanwhile does not add up.
const removedRetention = 60e3

// rememberFor is how long a backend is remembered that went without a drain.
func (t *Config) retentionAfterRemoval() float64 {
	if t.RemovalIsHint {
		return removedRetention
	}
	return 0
}

// Known tells whether the node keeps the backend; of one that is gone for good the host may let go too.
func (b *Backend) IsTracked() bool { return b.tracked }

// Ending is how a push ended.
type Outcome uint8

const (
	OutcomeAnswered Outcome = iota
	OutcomeFailed
	OutcomeRejected
	OutcomeTimedOut
	OutcomeConnectFailed
	OutcomeConnectionReset
	OutcomeCanceled
	OutcomeNotSent
)

var endings = [...]string{"answered", "failed", "rejected", "timed out", "no connection", "reset", "revoked", "not sent"}

func (e Outcome) String() string {
	if int(e) < len(endings) {
		return endings[e]
	}
	return fmt.Sprintf("ending %d", uint8(e))
}

// NeverRan tells whether the ending proves that the push did not run.
func (e Outcome) NeverRan() bool {
	return e == OutcomeRejected || e == OutcomeConnectFailed || e == OutcomeNotSent
}

// Op is one client op taken by this node.
type Request struct {
	ID            uint64 // the host's name for it
	Class         int
	Tenant        int
	CostHint      float64
	HasCostHint   bool
	IsClientRetry bool
	Key           uint64 // what it is about; 0 is none
	ArrivedAt     float64
	Deadline      float64 // clock time at which the client gives up on this try
	Attempts      []*Attempt
	Config        *Config // that it came under; the node's present ones where nil
	Streamed      bool    // it comes and goes on in pieces and is held nowhere: it can be pushed once

	class       *Class
	work      float64
	isLong      bool
	estimate  float64 // its order among held ops
	overQuota    float64 // how likely it is beyond its tenant's share
	stage     requestStage
	affinity      *Backend // where its key is, if anywhere
	isPending    bool
	keyQueue      *keyQueue // of its key, where its category keeps order, until it is over
	calledOff bool  // a look at where it could go once its push has ended
}

// Before tells, ahead of the op's arrival, of a push that another node has begun: it is over as far as this one can know.
func (o *Request) AddEarlierAttempt(b *Backend, at float64, how Outcome) {
	o.Attempts = append(o.Attempts, &Attempt{Request: o, Backend: b, Number: len(o.Attempts), SentAt: at, outcome: how})
}

// Over tells whether the op has ended and nothing of it is out, so that the host may forget it.
func (o *Request) IsDone() bool { return o.stage == stageEnded && o.inFlightCount() == 0 }

func (o *Request) inFlightCount() (n int) {
	for _, p := range o.Attempts {
		if p.inFlight {
			n++
		}
	}
	return n
}

// most is how many pushes it may have in all.
func (o *Request) maxAttempts() int {
	if o.Streamed {
		return min(o.Config.MaxAttempts, 1)
	}
	return o.Config.MaxAttempts
}

// target is when an answer stops earning all.
func (o *Request) objectiveTime() float64 { return min(o.Deadline, o.ArrivedAt+o.class.LatencyObjective) }

func (o *Request) hasTried(b *Backend) bool {
	for _, p := range o.Attempts {
		if p.Backend == b {
			return true
		}
	}
	return false
}

// MayHaveRun gives the first push that is not known never to have run.
func (o *Request) UncertainAttempt() *Attempt {
	for _, p := range o.Attempts {
		if p.inFlight || !p.outcome.NeverRan() {
			return p
		}
	}
	return nil
}

type requestStage uint8

const (
	stageNew requestStage = iota
	stageQueued
	stageInFlight
	stageStreaming
	stageEnded
)

// Push is one send of an op to a backend.
type Attempt struct {
	Request *Request
	Backend *Backend
	Number  int
	SentAt  float64

	expectedTime  float64 // predicted answer time
	inFlight     bool
	hasStarted   bool // it counts at its backend
	canceled bool
	isOverdue bool
	wasAlone   bool // sent with next to nothing else of this node's out there
	outcome Outcome
}

// counted is 1 while it counts at its backend and in the node's window.
func (p *Attempt) counted() int {
	if p.inFlight && p.hasStarted {
		return 1
	}
	return 0
}

// overtaken tells that its backend has answered a push sent later: what is wrong is not the backend's.
func (p *Attempt) isOvertaken() bool { return p.Backend.lastAnsweredSentAt > p.SentAt }

// Decider is what a host asks: a Node, or what stands round one or in its place.
type Decider interface {
	EndpointsChanged(now float64, lines []Endpoint, full, cached bool)
	PollFailed(now float64)
	RequestArrived(now float64, op *Request)
	ClientGone(now float64, op *Request)
	DeadlineShortened(now float64, op *Request)
	ResponseStarted(now float64, p *Attempt)
	RequestBodySent(now float64, p *Attempt)
	AttemptEnded(now float64, p *Attempt, how Outcome, elapsed float64, finished bool)
	LoadReported(now float64, b *Backend, r LoadReport)
	ProcessesChanged(now float64, of int)
	ConfigChanged(now float64, t *Config, from []int)
	TimerFired(now float64)
	Next() (Decision, bool)
}

// Kind is what a decision asks the host to do.
type DecisionKind uint8

const (
	DoAttempt DecisionKind = iota
	DoReject
	DoFail
	DoCancel
	DoPoll
	DoSetTimer
	DoLog
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind    DecisionKind
	Request *Request
	Attempt *Attempt
	Wait    float64 // DoPush: its time-out, 0 for none; DoNack: when to come back; DoTimer: how far from now
	Text    string  // DoLog: the line
}

// Ending is how it ended, once it has.
func (p *Attempt) Outcome() Outcome { return p.outcome }

// Out tells whether the push has not ended yet.
func (p *Attempt) InFlight() bool { return p.inFlight }

// Untold is below what any value of a load report can be.
const NotReported = -1

// Report is what a backend says of its load; below 0 is not told.
type LoadReport struct {
	ServiceTime float64 // mean service time
	InFlight    float64 // ops it has
	Queued      float64 // of those, the ones not yet at work
	Throughput  float64 // ops done a second
}

// NoReport is one that tells nothing.
func EmptyLoadReport() LoadReport {
	return LoadReport{NotReported, NotReported, NotReported, NotReported}
}

// Told tells whether it says anything.
func (r LoadReport) HasValues() bool { return r != EmptyLoadReport() }

// Listing is one line of the list of backends.
type Endpoint struct {
	Backend         *Backend
	State           BackendState
	Zone, Cell      int
	Kind            int // of machine
	Weight, Started float64
	Cordoned        bool // taken out by hand: draining, whatever its state is here
}
