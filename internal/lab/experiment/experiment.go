// Package experiment reads what the lab is to play: a fleet, its load, the rules' figures and a schedule of troubles.
// One file serves both hosts. Times in the file say their unit in the key; inside the lab all are ms.
package experiment

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/backendmodel"
	"pearknot/internal/tomlfile"
)

// Experiment is one file. Zero values of what may be left out are filled in by Read.
type Experiment struct {
	Name         string       `toml:"name"`
	About        string       `toml:"about"`
	Seconds      float64      `toml:"seconds"`
	Seeds        []uint64     `toml:"seeds"`
	Policy       string       `toml:"policy"`
	Fleet        Fleet        `toml:"fleet"`
	Machines     []Machine    `toml:"machine"`
	Backend      Backend      `toml:"backend"`
	EndpointList EndpointList `toml:"list"`
	Clients      Clients      `toml:"clients"`
	Classes      []Class      `toml:"category"`
	Rules        Rules        `toml:"rules"`
	Faults       []Fault      `toml:"trouble"`
}

// Fleet is how many of what stand where.
type Fleet struct {
	Nodes            int       `toml:"nodes"`
	Backends         int       `toml:"backends"`
	Zones            []string  `toml:"zones"`
	CrossZoneDelayMs float64   `toml:"delay_ms"`      // one way between zones
	LocalDelayMs     float64   `toml:"near_ms"`       // one way within a zone
	ConnectTimeoutMs float64   `toml:"connect_ms"`    // a connection not up after it never comes up
	IdleTimeoutMs    float64   `toml:"idle_ms"`       // a backend closes a connection idle for so long
	ZoneTraffic      []float64 `toml:"traffic"`       // of the zones' shares of the traffic; alike where left out
	CrossZoneCost    float64   `toml:"cross_price"`   // of the mean benefit of an op
	NodeMemoryMB     int       `toml:"memory_mb"`     // on sockets
	NodeDescriptors  int       `toml:"sockets"`       // on sockets
	NodeCores        float64   `toml:"node_cores"`    // on sockets
	PollIntervalMs   float64   `toml:"ask_within_ms"` // a node neither watching nor asking so long counts as told
}

// Machine is one kind of backend.
type Machine struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core, in standard cores
}

// Backend is what all backends have in common.
type Backend struct {
	QueueLimit           int     `toml:"queue"` // ops that may wait; one more is rejected
	ColdSpeedShare       float64 `toml:"cold_from"`
	WarmupMs             float64 `toml:"warm_within_ms"`
	OverloadMultiple     float64 `toml:"fall_multiple"`
	OverloadWindowMs     float64 `toml:"overload_for_ms"`
	CongestionQueue      float64 `toml:"crowd_queue"`       // ops waiting a core from which on it may turn slower; 0 never
	CongestionDelayMs    float64 `toml:"crowd_after_ms"`    // so long it must last
	CongestionSlowdown   float64 `toml:"crowd_factor"`      // how much slower
	CongestionRecoveryMs float64 `toml:"crowd_until_ms"`    // of being mostly idle, until it is over
	SendsReports         bool    `toml:"report"`            // answers carry a load report
	ReportIntervalMs     float64 `toml:"report_age_ms"`     // how old it may be
	ReportNoise          float64 `toml:"report_noise"`      // spread of its logarithm
	StopOnCancel         bool    `toml:"stop_on_revoke"`    // work of a revoked push ends; else only what waits is dropped
	ConnectionWorkMs     float64 `toml:"new_connection_ms"` // work that a new connection costs
}

// EndpointList is the service that names the backends.
type EndpointList struct {
	LagMs            float64 `toml:"lag_ms"`
	UpdatesPerSecond float64 `toml:"lines_per_second"` // that it can tell to all nodes together; 0 is no limit
	DrainNoticeMs    float64 `toml:"drain_notice_ms"`  // how long a backend drains before it is gone
	PollOnly         bool    `toml:"must_ask"`         // changes don't come by themselves
	StaleByMs        float64 `toml:"old_by_ms"`        // how old the list is that a restarted node has
}

// Clients are who asks.
type Clients struct {
	Load              float64     `toml:"load"` // of the warm fleet's capacity; or RequestsPerSecond
	RequestsPerSecond float64     `toml:"ops_per_second"`
	Ramp              [][]float64 `toml:"ramp"` // [second, multiple], straight lines between
	DayAmplitude      float64     `toml:"day_amplitude"`
	DaySeconds        float64     `toml:"day_seconds"`
	Retries           int         `toml:"retries"`
	RetryBackoffMs    float64     `toml:"retry_wait_ms"` // 0 is at once; a come-back time is heeded where HonorRetryAfter
	HonorRetryAfter   bool        `toml:"heeds_wait"`
	TimeoutShare      []float64   `toml:"give_up"` // from, to: share of the TTL that a try waits
	LeaveShare        float64     `toml:"leave"`   // share of tries left before their time
	Hints             string      `toml:"hints"`   // exact, rough, absent, misleading
	HintNoise         float64     `toml:"hint_noise"`
	Keys              int         `toml:"keys"`         // that ops are about, the first the most popular; 0 is none
	DeadNodeMs        float64     `toml:"dead_node_ms"` // for so long clients go on being sent to a dead node
}

// Class is one kind of op.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`
	WorkMs             float64 `toml:"work_ms"` // mean, of a standard core
	WorkSpread         float64 `toml:"spread"`  // of the work's logarithm
	Idempotency        string  `toml:"effect"`  // redeliverable, deduplicated, at-most-once
	DedupScope         string  `toml:"group"`   // all, zone, cell
	DedupWindowMs      float64 `toml:"remembered_ms"`
	LatencyObjectiveMs float64 `toml:"target_latency_ms"`
	DeadlineMs         float64 `toml:"ttl_ms"`
	PriorityWeight     float64 `toml:"benefit"`
	LateWeight         float64 `toml:"late_benefit"`
	Ordered            bool    `toml:"keep_order"` // ops with one key run one at a time
}

// Rules are the figures of the rules and the bounds on a node.
type Rules struct {
	DrainGraceMs    float64 `toml:"drain_grace_ms"`
	MaxAttempts     int     `toml:"max_pushes"`
	AllowHedging    bool    `toml:"second_copies"`
	CancelAttempts  bool    `toml:"cancel"`
	SendRetryAfter  bool    `toml:"come_back"`
	MaxRetryAfterMs float64 `toml:"max_come_back_ms"`
	WeightByWork    bool    `toml:"benefit_by_work"`

	UncertainCooldownMs float64 `toml:"settle_ms"`           // a key rests so long after a push that may still run
	RemovalIsHint       bool    `toml:"removal_not_binding"` // gone without a drain is a hint
	ConnectionCost      float64 `toml:"connection_price"`
}

// Fault is one thing that goes wrong, for a while, for some.
type Fault struct {
	Kind            string  `toml:"kind"`
	StartSeconds    float64 `toml:"at_s"`
	DurationSeconds float64 `toml:"for_s"`
	Share           float64 `toml:"share"` // of the backends or nodes
	Count           int     `toml:"count"` // in place of a share
	Zone            string  `toml:"zone"`  // only there
	Factor          float64 `toml:"factor"`
	Chance          float64 `toml:"chance"`
	EveryMs         float64 `toml:"every_ms"`
	PauseMs         float64 `toml:"pause_ms"`
	Class           string  `toml:"category"`
	Machine         string  `toml:"machine"` // only that kind of backend
}

// The kinds of trouble.
const (
	FaultSwallow       = "swallow"   // backends take ops and answer none
	FaultErrors        = "errors"    // backends quickly fail a share of their ops
	FaultPauses        = "pauses"    // backends stand still every so often
	FaultSlow          = "slow"      // backends run slower by a factor
	FaultCrash         = "crash"     // backends die, and come back cold
	FaultMachineLoss   = "vanish"    // their machines go silent, and come back cold
	FaultZonePartition = "cut"       // a zone is cut off from the others
	FaultListDelay     = "list-late" // the list runs further behind, by factor times its lag
	FaultListDown      = "list-down" // the list's service answers nobody
	FaultNodeCrash     = "nodes"     // nodes are killed, and come back with an old list
	FaultBurst         = "burst"     // more ops by a factor
	FaultCostly        = "costly"    // a share of one category's ops costs more by a factor
	FaultWrongReports  = "lies"      // load reports are wrong by a factor
	FaultScaleDown     = "shrink"    // backends drain and go, and come back cold
	FaultScaleUp       = "join"      // backends that nobody knew before start, cold
	FaultCordon        = "cordon"    // an operator takes backends out at all nodes, and puts them back; on sockets only, as the next two
	FaultQuiesce       = "quiesce"   // an operator sends nodes' clients away, and has them taken again
	FaultUpgrade       = "upgrade"   // a new process of nodes takes over, once
)

// Further kinds, of virtual time alone: on sockets backends and their list have no such faults.
const (
	FaultListEmpty       = "list-empty" // the list calls every backend gone while all serve
	FaultStuckReports    = "stuck"      // backends run slower by a factor, and their reports stay as they were
	FaultPoisonRequests  = "fell"       // a chance of one category's ops bring down the backend that begins them, for pause_ms
	FaultConnectionLimit = "squeeze"    // backends close idle connections and take so many at most, by factor
)

// VirtualFaultKinds lists them.
var VirtualFaultKinds = []string{FaultListEmpty, FaultStuckReports, FaultPoisonRequests, FaultConnectionLimit}

// NeedsVirtualTime tells whether troubles are among them that only virtual time can play.
func (e *Experiment) NeedsVirtualTime() bool {
	return slices.ContainsFunc(e.Faults, func(t Fault) bool { return slices.Contains(VirtualFaultKinds, t.Kind) })
}

// FaultKinds lists them all.
var FaultKinds = []string{FaultSwallow, FaultErrors, FaultPauses, FaultSlow, FaultCrash, FaultMachineLoss, FaultZonePartition, FaultListDelay, FaultListDown, FaultNodeCrash, FaultBurst, FaultCostly, FaultWrongReports, FaultScaleDown, FaultScaleUp}

// OperatorFaultKinds are further kinds, an operator's, which need real processes.
var OperatorFaultKinds = []string{FaultCordon, FaultQuiesce, FaultUpgrade}

// NeedsOperator tells whether an operator's calls are among the troubles, for which nodes need a second address.
func (e *Experiment) NeedsOperator() bool {
	return slices.ContainsFunc(e.Faults, func(t Fault) bool { return slices.Contains(OperatorFaultKinds, t.Kind) })
}

// Policies that may decide.
var Policies = []string{"cda", "random", "rotation", "fewest", "two-choices", "all-seeing"}

// ms of a second.
const second = 1e3

// EndMs is when the troubles are over.
func (t Fault) EndMs() float64 { return (t.StartSeconds + t.DurationSeconds) * second }

// LengthMs is the experiment's in ms.
func (e *Experiment) LengthMs() float64 { return e.Seconds * second }

// base is what a file may leave out.
func base() *Experiment {
	return &Experiment{Seconds: 30, Seeds: []uint64{1, 2, 3}, Policy: "cda",
		Fleet: Fleet{Nodes: 3, Backends: 10, Zones: []string{"a"}, LocalDelayMs: 0.25, CrossZoneDelayMs: 5, ConnectTimeoutMs: 250, IdleTimeoutMs: 15e3,
			NodeMemoryMB: 192, NodeDescriptors: 1024, NodeCores: 1, PollIntervalMs: 10e3},
		Backend: Backend{QueueLimit: 200, ColdSpeedShare: 0.3, WarmupMs: 8e3, OverloadMultiple: 4, OverloadWindowMs: 2e3,
			CongestionSlowdown: 2, CongestionDelayMs: 2e3, CongestionRecoveryMs: 3e3, ReportIntervalMs: 500, ReportNoise: 0.1, StopOnCancel: true},
		EndpointList: EndpointList{LagMs: 1e3, DrainNoticeMs: 5e3, StaleByMs: 20e3, PollOnly: true},
		Clients:      Clients{TimeoutShare: []float64{0.6, 1}, Hints: "rough", HintNoise: 0.3, DeadNodeMs: 1500, HonorRetryAfter: true, RetryBackoffMs: 200},
		Rules:        Rules{DrainGraceMs: 500, MaxAttempts: 3, AllowHedging: true, CancelAttempts: true, SendRetryAfter: true, MaxRetryAfterMs: 2e3},
	}
}

// Read reads and checks a file. The error is one line.
func Read(name string) (*Experiment, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data)
}

// Decode reads and checks text as if it were a file of that name.
func Decode(name string, data []byte) (*Experiment, error) {
	e := base()
	f, err := tomlfile.Decode(name, data, e)
	if err != nil {
		return nil, err
	}
	if len(e.Machines) == 0 {
		e.Machines = []Machine{{Name: "standard", Share: 1, Cores: 1, Speed: 1}}
	}
	if len(e.Classes) == 0 {
		return nil, f.Errorf("category", "none given")
	}
	return e, e.check(f)
}

// check finds the first thing that can't be.
func (e *Experiment) check(f *tomlfile.File) error {
	c := &checks{f: f}
	c.within("seconds", e.Seconds, 1, 86400)
	c.must(len(e.Seeds) > 0, "seeds", "none given")
	c.oneOf("policy", e.Policy, Policies)
	c.must(e.Fleet.Nodes >= 1 && e.Fleet.Nodes <= 5000, "fleet.nodes", "%d is not 1 to 5000", e.Fleet.Nodes)
	c.must(e.Fleet.Backends >= 1 && e.Fleet.Backends <= 5000, "fleet.backends", "%d is not 1 to 5000", e.Fleet.Backends)
	c.must(len(e.Fleet.Zones) >= 1, "fleet.zones", "none given")
	c.must(len(e.Fleet.ZoneTraffic) == 0 || len(e.Fleet.ZoneTraffic) == len(e.Fleet.Zones), "fleet.traffic",
		"%d shares for %d zones", len(e.Fleet.ZoneTraffic), len(e.Fleet.Zones))
	for _, w := range e.Fleet.ZoneTraffic {
		c.within("fleet.traffic", w, 0, 1e6)
	}
	plain := map[string]float64{"fleet.delay_ms": e.Fleet.CrossZoneDelayMs, "fleet.near_ms": e.Fleet.LocalDelayMs,
		"fleet.cross_price": e.Fleet.CrossZoneCost, "backend.report_age_ms": e.Backend.ReportIntervalMs,
		"backend.report_noise": e.Backend.ReportNoise, "backend.crowd_queue": e.Backend.CongestionQueue,
		"backend.crowd_after_ms": e.Backend.CongestionDelayMs, "backend.crowd_until_ms": e.Backend.CongestionRecoveryMs,
		"backend.new_connection_ms": e.Backend.ConnectionWorkMs, "list.lag_ms": e.EndpointList.LagMs,
		"list.lines_per_second": e.EndpointList.UpdatesPerSecond, "list.drain_notice_ms": e.EndpointList.DrainNoticeMs,
		"list.old_by_ms": e.EndpointList.StaleByMs, "clients.load": e.Clients.Load, "clients.ops_per_second": e.Clients.RequestsPerSecond,
		"clients.retry_wait_ms": e.Clients.RetryBackoffMs, "clients.hint_noise": e.Clients.HintNoise,
		"clients.dead_node_ms": e.Clients.DeadNodeMs, "rules.drain_grace_ms": e.Rules.DrainGraceMs,
		"rules.max_come_back_ms": e.Rules.MaxRetryAfterMs, "fleet.connect_ms": e.Fleet.ConnectTimeoutMs, "fleet.idle_ms": e.Fleet.IdleTimeoutMs,
		"rules.settle_ms": e.Rules.UncertainCooldownMs, "rules.connection_price": e.Rules.ConnectionCost, "backend.warm_within_ms": e.Backend.WarmupMs, "backend.overload_for_ms": e.Backend.OverloadWindowMs,
		"clients.day_seconds": e.Clients.DaySeconds, "fleet.node_cores": e.Fleet.NodeCores}
	for _, key := range slices.Sorted(maps.Keys(plain)) { // of several faults always the same is told
		c.within(key, plain[key], 0, 1e9)
	}
	c.within("fleet.ask_within_ms", e.Fleet.PollIntervalMs, 1, 1e9) // as the node's settings have it
	c.must(e.Backend.QueueLimit >= 0, "backend.queue", "%d is below 0", e.Backend.QueueLimit)
	c.within("backend.cold_from", e.Backend.ColdSpeedShare, 0.01, 1)
	c.within("backend.fall_multiple", e.Backend.OverloadMultiple, 1, 1e6)
	c.within("backend.crowd_factor", e.Backend.CongestionSlowdown, 1, 1e3)
	c.within("clients.day_amplitude", e.Clients.DayAmplitude, 0, 1)
	c.within("clients.leave", e.Clients.LeaveShare, 0, 1)
	c.must(e.Clients.Keys >= 0 && e.Clients.Keys <= 1e6, "clients.keys", "%d is not 0 to 1000000", e.Clients.Keys)
	c.must(e.Clients.Retries >= 0 && e.Clients.Retries <= 20, "clients.retries", "%d is not 0 to 20", e.Clients.Retries)
	c.must(len(e.Clients.TimeoutShare) == 2 && e.Clients.TimeoutShare[0] > 0 && e.Clients.TimeoutShare[0] <= e.Clients.TimeoutShare[1] &&
		e.Clients.TimeoutShare[1] <= 1, "clients.give_up", "%v is not from and to within 0 to 1", e.Clients.TimeoutShare)
	c.oneOf("clients.hints", e.Clients.Hints, []string{"exact", "rough", "absent", "misleading"})
	c.must((e.Clients.Load > 0) != (e.Clients.RequestsPerSecond > 0), "clients", "give load or ops_per_second, one of them, above 0")
	for i, p := range e.Clients.Ramp {
		c.must(len(p) == 2 && p[1] >= 0 && (i == 0 || len(e.Clients.Ramp[i-1]) == 2 && p[0] > e.Clients.Ramp[i-1][0]), "clients.ramp",
			"point %d is not [second, multiple], later than the one before", i)
	}
	c.must(e.Rules.MaxAttempts >= 1 && e.Rules.MaxAttempts <= 200, "rules.max_pushes", "%d is not 1 to 200", e.Rules.MaxAttempts)
	share := 0.0
	for i, m := range e.Machines {
		at := fmt.Sprintf("machine.%d.", i)
		c.must(m.Name != "", at+"name", "none given")
		c.must(m.Cores >= 1, at+"cores", "%d is below 1", m.Cores)
		c.within(at+"speed", m.Speed, 0.01, 1e3)
		c.within(at+"share", m.Share, 0, 1e6)
		share += m.Share
	}
	c.must(share > 0, "machine", "shares add up to nothing")
	share = 0
	for i, k := range e.Classes {
		at := fmt.Sprintf("category.%d.", i)
		c.must(k.Name != "" && !strings.ContainsAny(k.Name, " ,"), at+"name", "%q is no name", k.Name)
		c.within(at+"share", k.Share, 0, 1e6)
		c.within(at+"work_ms", k.WorkMs, 0.01, 1e6)
		c.within(at+"spread", k.WorkSpread, 0, 3)
		c.within(at+"target_latency_ms", k.LatencyObjectiveMs, 1, 1e7)
		c.within(at+"ttl_ms", k.DeadlineMs, k.LatencyObjectiveMs, 1e7)
		c.within(at+"benefit", k.PriorityWeight, 0, 1e6)
		c.within(at+"late_benefit", k.LateWeight, 0, 1)
		c.within(at+"remembered_ms", k.DedupWindowMs, 0, 1e9)
		c.oneOf(at+"effect", k.Idempotency, effects)
		if k.DedupScope != "" {
			c.oneOf(at+"group", k.DedupScope, groups)
		}
		share += k.Share
	}
	c.must(share > 0, "category", "shares add up to nothing")
	for i, t := range e.Faults {
		e.checkTrouble(c, fmt.Sprintf("trouble.%d.", i), t)
	}
	return c.err
}

func (e *Experiment) checkTrouble(c *checks, at string, t Fault) {
	c.oneOf(at+"kind", t.Kind, slices.Concat(FaultKinds, OperatorFaultKinds, VirtualFaultKinds))
	c.within(at+"at_s", t.StartSeconds, 0, e.Seconds)
	c.within(at+"for_s", t.DurationSeconds, 0, 1e6)
	c.within(at+"share", t.Share, 0, 1)
	c.within(at+"factor", t.Factor, 0, 1e6)
	c.within(at+"chance", t.Chance, 0, 1)
	c.within(at+"every_ms", t.EveryMs, 0, 1e9)
	c.within(at+"pause_ms", t.PauseMs, 0, 1e9)
	c.must(t.Count >= 0, at+"count", "%d is below 0", t.Count)
	if t.Machine != "" {
		c.must(slices.ContainsFunc(e.Machines, func(m Machine) bool { return m.Name == t.Machine }), at+"machine", "%q is not among the machines", t.Machine)
	}
	if t.Zone != "" {
		c.must(slices.Contains(e.Fleet.Zones, t.Zone), at+"zone", "%q is not among the fleet's zones", t.Zone)
	}
	switch t.Kind {
	case FaultSwallow, FaultErrors, FaultPauses, FaultSlow, FaultCrash, FaultMachineLoss, FaultWrongReports, FaultScaleDown, FaultScaleUp, FaultNodeCrash, FaultCordon, FaultQuiesce, FaultUpgrade, FaultStuckReports, FaultConnectionLimit:
		c.must(t.Share > 0 || t.Count > 0, at+"share", "give share or count above 0")
	case FaultZonePartition:
		c.must(t.Zone != "" && len(e.Fleet.Zones) > 1, at+"zone", "give the zone that is cut off, of two at least")
	case FaultCostly, FaultPoisonRequests:
		c.must(slices.ContainsFunc(e.Classes, func(k Class) bool { return k.Name == t.Class }), at+"category",
			"%q is not among the categories", t.Class)
	}
	switch t.Kind {
	case FaultSlow, FaultBurst, FaultCostly, FaultWrongReports, FaultListDelay, FaultStuckReports, FaultConnectionLimit:
		c.must(t.Factor > 0, at+"factor", "give it above 0")
	case FaultPauses:
		c.must(t.EveryMs > 0 && t.PauseMs > 0 && t.PauseMs < t.EveryMs, at+"pause_ms", "give it and a longer every_ms")
	}
	switch t.Kind {
	case FaultScaleUp:
		c.must(t.StartSeconds > 0, at+"at_s", "give it above 0")
	case FaultPoisonRequests:
		c.must(t.PauseMs > 0, at+"pause_ms", "give it above 0")
	}
	switch t.Kind {
	case FaultErrors, FaultCostly, FaultPoisonRequests:
		c.must(t.Chance > 0, at+"chance", "give it above 0")
	}
}

var (
	effects = []string{"redeliverable", "deduplicated", "at-most-once"}
	groups  = []string{"all", "zone", "cell"}
)

// checks keeps the first fault.
type checks struct {
	f   *tomlfile.File
	err error
}

func (c *checks) must(ok bool, key, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = c.f.Errorf(key, format, args...)
	}
}

func (c *checks) within(key string, x, least, most float64) {
	c.must(x >= least && x <= most && !math.IsNaN(x), key, "%v is not %v to %v", x, least, most)
}

func (c *checks) oneOf(key, word string, words []string) {
	c.must(slices.Contains(words, word), key, "%q is none of %s", word, strings.Join(words, ", "))
}

// BalancerClasses are those that a node's terms hold.
func (e *Experiment) BalancerClasses() []balancer.Class {
	all := make([]balancer.Class, 0, len(e.Classes))
	for _, k := range e.Classes {
		all = append(all, balancer.Class{Idempotency: k.effect(), DedupScope: balancer.DedupScope(max(slices.Index(groups, k.DedupScope), 0)),
			DedupWindow: k.DedupWindowMs, LatencyObjective: k.LatencyObjectiveMs, PriorityWeight: k.PriorityWeight, LateWeight: k.LateWeight,
			Ordered: k.Ordered})
	}
	return all
}

func (k Class) effect() balancer.Idempotency {
	return balancer.Idempotency(slices.Index(effects, k.Idempotency))
}

// BalancerConfig are what a node is told; zone and seed are its own.
func (e *Experiment) BalancerConfig(zone int, seed uint64) *balancer.Config {
	return &balancer.Config{Seed: seed, Zone: zone, Nodes: e.Fleet.Nodes, Classes: e.BalancerClasses(), OverQuotaWeight: 1,
		WeightByWork: e.Rules.WeightByWork, CrossZoneCost: e.Fleet.CrossZoneCost, MaxAttempts: e.Rules.MaxAttempts,
		AllowHedging: e.Rules.AllowHedging, CancelAttempts: e.Rules.CancelAttempts, SendRetryAfter: e.Rules.SendRetryAfter,
		MaxRetryAfter: e.Rules.MaxRetryAfterMs, PollEndpoints: e.EndpointList.PollOnly, PollInterval: e.Fleet.PollIntervalMs, SlowStartShare: e.Backend.ColdSpeedShare,
		SlowStartWindow: e.Backend.WarmupMs, OverloadMultiple: e.Backend.OverloadMultiple, OverloadWindow: e.Backend.OverloadWindowMs,
		UncertainCooldown: e.Rules.UncertainCooldownMs, RemovalIsHint: e.Rules.RemovalIsHint, ConnectionCost: e.Rules.ConnectionCost}
}

// Auditor judges the experiment; slack is what the host sees late, in ms.
func (e *Experiment) Auditor(slack float64) *invariants.Auditor {
	return invariants.New(invariants.Config{Classes: e.BalancerClasses(), MaxAttempts: e.Rules.MaxAttempts, AllowHedging: e.Rules.AllowHedging,
		DrainGrace: e.Rules.DrainGraceMs, ColdCapacity: e.Backend.ColdSpeedShare, WarmUp: e.Backend.WarmupMs,
		OverloadFactor: e.Backend.OverloadMultiple, OverloadWindow: e.Backend.OverloadWindowMs, MeanWork: e.MeanWork(),
		KeyCooldown: e.Rules.UncertainCooldownMs, RemovalNotBinding: e.Rules.RemovalIsHint, Tolerance: slack})
}

// MeanWork is that of an op, in ms of a standard core.
func (e *Experiment) MeanWork() float64 {
	work, share := 0.0, 0.0
	for _, k := range e.Classes {
		work, share = work+k.Share*k.WorkMs, share+k.Share
	}
	return work / share
}

// MachineOf deals the kinds of machine out to the backends by their shares, the same for every seed.
func (e *Experiment) MachineOf(backend int) int {
	total := 0.0
	for _, m := range e.Machines {
		total += m.Share
	}
	// Backend k takes the kind that is furthest behind its share.
	given := make([]float64, len(e.Machines))
	kind := 0
	for k := 0; k <= backend; k++ {
		kind = 0
		for i := range e.Machines {
			if e.Machines[i].Share/total*float64(k+1)-given[i] > e.Machines[kind].Share/total*float64(k+1)-given[kind]+1e-9 {
				kind = i
			}
		}
		given[kind]++
	}
	return kind
}

// Capacity is the work a ms that all backends do, warm.
func (e *Experiment) Capacity() float64 {
	c := 0.0
	for b := range e.Fleet.Backends {
		m := e.Machines[e.MachineOf(b)]
		c += float64(m.Cores) * m.Speed
	}
	return c
}

// RequestsPerSecond is the ops a second at multiple 1.
func (e *Experiment) RequestsPerSecond() float64 {
	if e.Clients.RequestsPerSecond > 0 {
		return e.Clients.RequestsPerSecond
	}
	return e.Clients.Load * e.Capacity() / e.MeanWork() * second
}

// Multiple is the ramp's and the day's at a time in ms.
func (e *Experiment) Multiple(at float64) float64 {
	m := 1.0
	if e.Clients.DaySeconds > 0 {
		m += e.Clients.DayAmplitude * math.Sin(2*math.Pi*at/second/e.Clients.DaySeconds)
	}
	ramp := e.Clients.Ramp
	if len(ramp) == 0 {
		return m
	}
	s := at / second
	for i, p := range ramp {
		if s < p[0] {
			if i == 0 {
				return m * p[1]
			}
			was := ramp[i-1]
			return m * (was[1] + (p[1]-was[1])*(s-was[0])/(p[0]-was[0]))
		}
	}
	return m * ramp[len(ramp)-1][1]
}

// MaxMultiple bounds Multiple, bursts aside.
func (e *Experiment) MaxMultiple() float64 {
	most := 1.0
	for i, p := range e.Clients.Ramp {
		if i == 0 || p[1] > most {
			most = p[1]
		}
	}
	return most * (1 + e.Clients.DayAmplitude)
}

// BackendSpec is what a backend is like.
func (e *Experiment) BackendSpec(backend int) backendmodel.Spec {
	m, b := e.Machines[e.MachineOf(backend)], e.Backend
	return backendmodel.Spec{Cores: m.Cores, Speed: m.Speed, QueueLimit: b.QueueLimit, ColdSpeedShare: b.ColdSpeedShare, WarmupTime: b.WarmupMs,
		OverloadMultiple: b.OverloadMultiple, OverloadWindow: b.OverloadWindowMs, MeanWork: e.MeanWork(), CongestionQueue: b.CongestionQueue, CongestionDelay: b.CongestionDelayMs,
		CongestionSlowdown: b.CongestionSlowdown, CongestionRecovery: b.CongestionRecoveryMs, ReportInterval: b.ReportIntervalMs, ReportNoise: b.ReportNoise,
		StopOnCancel: b.StopOnCancel, ConnectionWork: b.ConnectionWorkMs}
}
