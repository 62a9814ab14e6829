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
	Name     string     `toml:"name"`
	About    string     `toml:"about"`
	Seconds  float64    `toml:"seconds"`
	Seeds    []uint64   `toml:"seeds"`
	Policy   string     `toml:"policy"`
	Fleet    Fleet      `toml:"fleet"`
	Machines []Machine  `toml:"machine"`
	Backend  Backend    `toml:"backend"`
	List     List       `toml:"list"`
	Clients  Clients    `toml:"clients"`
	Category []Category `toml:"category"`
	Rules    Rules      `toml:"rules"`
	Trouble  []Trouble  `toml:"trouble"`
}

// Fleet is how many of what stand where.
type Fleet struct {
	Nodes       int       `toml:"nodes"`
	Backends    int       `toml:"backends"`
	Zones       []string  `toml:"zones"`
	DelayMs     float64   `toml:"delay_ms"`      // one way between zones
	NearMs      float64   `toml:"near_ms"`       // one way within a zone
	ConnectMs   float64   `toml:"connect_ms"`    // a connection not up after it never comes up
	IdleMs      float64   `toml:"idle_ms"`       // a backend closes a connection idle for so long
	NodeWeights []float64 `toml:"traffic"`       // of the zones' shares of the traffic; alike where left out
	CrossPrice  float64   `toml:"cross_price"`   // of the mean benefit of an op
	NodeMemory  int       `toml:"memory_mb"`     // on sockets
	NodeSockets int       `toml:"sockets"`       // on sockets
	NodeCores   float64   `toml:"node_cores"`    // on sockets
	AskWithinMs float64   `toml:"ask_within_ms"` // a node neither watching nor asking so long counts as told
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
	Queue         int     `toml:"queue"` // ops that may wait; one more is rejected
	ColdFrom      float64 `toml:"cold_from"`
	WarmWithinMs  float64 `toml:"warm_within_ms"`
	FallMultiple  float64 `toml:"fall_multiple"`
	OverloadForMs float64 `toml:"overload_for_ms"`
	CrowdQueue    float64 `toml:"crowd_queue"`       // ops waiting a core from which on it may turn slower; 0 never
	CrowdAfterMs  float64 `toml:"crowd_after_ms"`    // so long it must last
	CrowdFactor   float64 `toml:"crowd_factor"`      // how much slower
	CrowdUntilMs  float64 `toml:"crowd_until_ms"`    // of being mostly idle, until it is over
	Report        bool    `toml:"report"`            // answers carry a load report
	ReportAgeMs   float64 `toml:"report_age_ms"`     // how old it may be
	ReportNoise   float64 `toml:"report_noise"`      // spread of its logarithm
	StopOnRevoke  bool    `toml:"stop_on_revoke"`    // work of a revoked push ends; else only what waits is dropped
	NewConnWorkMs float64 `toml:"new_connection_ms"` // work that a new connection costs
}

// List is the service that names the backends.
type List struct {
	LagMs          float64 `toml:"lag_ms"`
	LinesPerSecond float64 `toml:"lines_per_second"` // that it can tell to all nodes together; 0 is no limit
	DrainNoticeMs  float64 `toml:"drain_notice_ms"`  // how long a backend drains before it is gone
	MustAsk        bool    `toml:"must_ask"`         // changes don't come by themselves
	OldByMs        float64 `toml:"old_by_ms"`        // how old the list is that a restarted node has
}

// Clients are who asks.
type Clients struct {
	Load         float64     `toml:"load"` // of the warm fleet's capacity; or OpsPerSecond
	OpsPerSecond float64     `toml:"ops_per_second"`
	Ramp         [][]float64 `toml:"ramp"` // [second, multiple], straight lines between
	DayAmplitude float64     `toml:"day_amplitude"`
	DaySeconds   float64     `toml:"day_seconds"`
	Retries      int         `toml:"retries"`
	RetryWaitMs  float64     `toml:"retry_wait_ms"` // 0 is at once; a come-back time is heeded where HeedsWait
	HeedsWait    bool        `toml:"heeds_wait"`
	GiveUp       []float64   `toml:"give_up"` // from, to: share of the TTL that a try waits
	Leave        float64     `toml:"leave"`   // share of tries left before their time
	Hints        string      `toml:"hints"`   // exact, rough, absent, misleading
	HintNoise    float64     `toml:"hint_noise"`
	Keys         int         `toml:"keys"`         // that ops are about, the first the most popular; 0 is none
	DeadNodeMs   float64     `toml:"dead_node_ms"` // for so long clients go on being sent to a dead node
}

// Category is one kind of op.
type Category struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	WorkMs     float64 `toml:"work_ms"` // mean, of a standard core
	Spread     float64 `toml:"spread"`  // of the work's logarithm
	Effect     string  `toml:"effect"`  // redeliverable, deduplicated, at-most-once
	Group      string  `toml:"group"`   // all, zone, cell
	RememberMs float64 `toml:"remembered_ms"`
	TargetMs   float64 `toml:"target_latency_ms"`
	TTLMs      float64 `toml:"ttl_ms"`
	Benefit    float64 `toml:"benefit"`
	Late       float64 `toml:"late_benefit"`
	KeepOrder  bool    `toml:"keep_order"` // ops with one key run one at a time
}

// Rules are the figures of the rules and the bounds on a node.
type Rules struct {
	DrainGraceMs  float64 `toml:"drain_grace_ms"`
	MaxPushes     int     `toml:"max_pushes"`
	SecondCopies  bool    `toml:"second_copies"`
	Cancel        bool    `toml:"cancel"`
	ComeBack      bool    `toml:"come_back"`
	MaxComeBackMs float64 `toml:"max_come_back_ms"`
	BenefitByWork bool    `toml:"benefit_by_work"`

	SettleMs          float64 `toml:"settle_ms"`           // a key rests so long after a push that may still run
	RemovalNotBinding bool    `toml:"removal_not_binding"` // gone without a drain is a hint
	ConnectionPrice   float64 `toml:"connection_price"`
}

// Trouble is one thing that goes wrong, for a while, for some.
type Trouble struct {
	Kind     string  `toml:"kind"`
	At       float64 `toml:"at_s"`
	For      float64 `toml:"for_s"`
	Share    float64 `toml:"share"` // of the backends or nodes
	Count    int     `toml:"count"` // in place of a share
	Zone     string  `toml:"zone"`  // only there
	Factor   float64 `toml:"factor"`
	Chance   float64 `toml:"chance"`
	EveryMs  float64 `toml:"every_ms"`
	PauseMs  float64 `toml:"pause_ms"`
	Category string  `toml:"category"`
	Machine  string  `toml:"machine"` // only that kind of backend
}

// The kinds of trouble.
const (
	Swallow  = "swallow"   // backends take ops and answer none
	Errors   = "errors"    // backends quickly fail a share of their ops
	Pauses   = "pauses"    // backends stand still every so often
	Slow     = "slow"      // backends run slower by a factor
	Crash    = "crash"     // backends die, and come back cold
	Vanish   = "vanish"    // their machines go silent, and come back cold
	Cut      = "cut"       // a zone is cut off from the others
	ListLate = "list-late" // the list runs further behind, by factor times its lag
	ListDown = "list-down" // the list's service answers nobody
	Nodes    = "nodes"     // nodes are killed, and come back with an old list
	Burst    = "burst"     // more ops by a factor
	Costly   = "costly"    // a share of one category's ops costs more by a factor
	Lies     = "lies"      // load reports are wrong by a factor
	Shrink   = "shrink"    // backends drain and go, and come back cold
	Join     = "join"      // backends that nobody knew before start, cold
	Cordon   = "cordon"    // an operator takes backends out at all nodes, and puts them back; on sockets only, as the next two
	Quiesce  = "quiesce"   // an operator sends nodes' clients away, and has them taken again
	Upgrade  = "upgrade"   // a new process of nodes takes over, once
)

// Further kinds, of virtual time alone: on sockets backends and their list have no such faults.
const (
	ListEmpty = "list-empty" // the list calls every backend gone while all serve
	Stuck     = "stuck"      // backends run slower by a factor, and their reports stay as they were
	Fell      = "fell"       // a chance of one category's ops bring down the backend that begins them, for pause_ms
	Squeeze   = "squeeze"    // backends close idle connections and take so many at most, by factor
)

// Models lists them.
var Models = []string{ListEmpty, Stuck, Fell, Squeeze}

// Modelled tells whether troubles are among them that only virtual time can play.
func (e *Experiment) Modelled() bool {
	return slices.ContainsFunc(e.Trouble, func(t Trouble) bool { return slices.Contains(Models, t.Kind) })
}

// Kinds lists them all.
var Kinds = []string{Swallow, Errors, Pauses, Slow, Crash, Vanish, Cut, ListLate, ListDown, Nodes, Burst, Costly, Lies, Shrink, Join}

// Calls are further kinds, an operator's, which need real processes.
var Calls = []string{Cordon, Quiesce, Upgrade}

// Operated tells whether an operator's calls are among the troubles, for which nodes need a second address.
func (e *Experiment) Operated() bool {
	return slices.ContainsFunc(e.Trouble, func(t Trouble) bool { return slices.Contains(Calls, t.Kind) })
}

// Policies that may decide.
var Policies = []string{"cda", "random", "rotation", "fewest", "two-choices", "all-seeing"}

// ms of a second.
const second = 1e3

// Ends is when the troubles are over.
func (t Trouble) Ends() float64 { return (t.At + t.For) * second }

// Length is the experiment's in ms.
func (e *Experiment) Length() float64 { return e.Seconds * second }

// base is what a file may leave out.
func base() *Experiment {
	return &Experiment{Seconds: 30, Seeds: []uint64{1, 2, 3}, Policy: "cda",
		Fleet: Fleet{Nodes: 3, Backends: 10, Zones: []string{"a"}, NearMs: 0.25, DelayMs: 5, ConnectMs: 250, IdleMs: 15e3,
			NodeMemory: 192, NodeSockets: 1024, NodeCores: 1, AskWithinMs: 10e3},
		Backend: Backend{Queue: 200, ColdFrom: 0.3, WarmWithinMs: 8e3, FallMultiple: 4, OverloadForMs: 2e3,
			CrowdFactor: 2, CrowdAfterMs: 2e3, CrowdUntilMs: 3e3, ReportAgeMs: 500, ReportNoise: 0.1, StopOnRevoke: true},
		List:    List{LagMs: 1e3, DrainNoticeMs: 5e3, OldByMs: 20e3, MustAsk: true},
		Clients: Clients{GiveUp: []float64{0.6, 1}, Hints: "rough", HintNoise: 0.3, DeadNodeMs: 1500, HeedsWait: true, RetryWaitMs: 200},
		Rules:   Rules{DrainGraceMs: 500, MaxPushes: 3, SecondCopies: true, Cancel: true, ComeBack: true, MaxComeBackMs: 2e3},
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
	if len(e.Category) == 0 {
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
	c.must(len(e.Fleet.NodeWeights) == 0 || len(e.Fleet.NodeWeights) == len(e.Fleet.Zones), "fleet.traffic",
		"%d shares for %d zones", len(e.Fleet.NodeWeights), len(e.Fleet.Zones))
	for _, w := range e.Fleet.NodeWeights {
		c.within("fleet.traffic", w, 0, 1e6)
	}
	plain := map[string]float64{"fleet.delay_ms": e.Fleet.DelayMs, "fleet.near_ms": e.Fleet.NearMs,
		"fleet.cross_price": e.Fleet.CrossPrice, "backend.report_age_ms": e.Backend.ReportAgeMs,
		"backend.report_noise": e.Backend.ReportNoise, "backend.crowd_queue": e.Backend.CrowdQueue,
		"backend.crowd_after_ms": e.Backend.CrowdAfterMs, "backend.crowd_until_ms": e.Backend.CrowdUntilMs,
		"backend.new_connection_ms": e.Backend.NewConnWorkMs, "list.lag_ms": e.List.LagMs,
		"list.lines_per_second": e.List.LinesPerSecond, "list.drain_notice_ms": e.List.DrainNoticeMs,
		"list.old_by_ms": e.List.OldByMs, "clients.load": e.Clients.Load, "clients.ops_per_second": e.Clients.OpsPerSecond,
		"clients.retry_wait_ms": e.Clients.RetryWaitMs, "clients.hint_noise": e.Clients.HintNoise,
		"clients.dead_node_ms": e.Clients.DeadNodeMs, "rules.drain_grace_ms": e.Rules.DrainGraceMs,
		"rules.max_come_back_ms": e.Rules.MaxComeBackMs, "fleet.connect_ms": e.Fleet.ConnectMs, "fleet.idle_ms": e.Fleet.IdleMs,
		"rules.settle_ms": e.Rules.SettleMs, "rules.connection_price": e.Rules.ConnectionPrice, "backend.warm_within_ms": e.Backend.WarmWithinMs, "backend.overload_for_ms": e.Backend.OverloadForMs,
		"clients.day_seconds": e.Clients.DaySeconds, "fleet.node_cores": e.Fleet.NodeCores}
	for _, key := range slices.Sorted(maps.Keys(plain)) { // of several faults always the same is told
		c.within(key, plain[key], 0, 1e9)
	}
	c.within("fleet.ask_within_ms", e.Fleet.AskWithinMs, 1, 1e9) // as the node's settings have it
	c.must(e.Backend.Queue >= 0, "backend.queue", "%d is below 0", e.Backend.Queue)
	c.within("backend.cold_from", e.Backend.ColdFrom, 0.01, 1)
	c.within("backend.fall_multiple", e.Backend.FallMultiple, 1, 1e6)
	c.within("backend.crowd_factor", e.Backend.CrowdFactor, 1, 1e3)
	c.within("clients.day_amplitude", e.Clients.DayAmplitude, 0, 1)
	c.within("clients.leave", e.Clients.Leave, 0, 1)
	c.must(e.Clients.Keys >= 0 && e.Clients.Keys <= 1e6, "clients.keys", "%d is not 0 to 1000000", e.Clients.Keys)
	c.must(e.Clients.Retries >= 0 && e.Clients.Retries <= 20, "clients.retries", "%d is not 0 to 20", e.Clients.Retries)
	c.must(len(e.Clients.GiveUp) == 2 && e.Clients.GiveUp[0] > 0 && e.Clients.GiveUp[0] <= e.Clients.GiveUp[1] &&
		e.Clients.GiveUp[1] <= 1, "clients.give_up", "%v is not from and to within 0 to 1", e.Clients.GiveUp)
	c.oneOf("clients.hints", e.Clients.Hints, []string{"exact", "rough", "absent", "misleading"})
	c.must((e.Clients.Load > 0) != (e.Clients.OpsPerSecond > 0), "clients", "give load or ops_per_second, one of them, above 0")
	for i, p := range e.Clients.Ramp {
		c.must(len(p) == 2 && p[1] >= 0 && (i == 0 || len(e.Clients.Ramp[i-1]) == 2 && p[0] > e.Clients.Ramp[i-1][0]), "clients.ramp",
			"point %d is not [second, multiple], later than the one before", i)
	}
	c.must(e.Rules.MaxPushes >= 1 && e.Rules.MaxPushes <= 200, "rules.max_pushes", "%d is not 1 to 200", e.Rules.MaxPushes)
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
	for i, k := range e.Category {
		at := fmt.Sprintf("category.%d.", i)
		c.must(k.Name != "" && !strings.ContainsAny(k.Name, " ,"), at+"name", "%q is no name", k.Name)
		c.within(at+"share", k.Share, 0, 1e6)
		c.within(at+"work_ms", k.WorkMs, 0.01, 1e6)
		c.within(at+"spread", k.Spread, 0, 3)
		c.within(at+"target_latency_ms", k.TargetMs, 1, 1e7)
		c.within(at+"ttl_ms", k.TTLMs, k.TargetMs, 1e7)
		c.within(at+"benefit", k.Benefit, 0, 1e6)
		c.within(at+"late_benefit", k.Late, 0, 1)
		c.within(at+"remembered_ms", k.RememberMs, 0, 1e9)
		c.oneOf(at+"effect", k.Effect, effects)
		if k.Group != "" {
			c.oneOf(at+"group", k.Group, groups)
		}
		share += k.Share
	}
	c.must(share > 0, "category", "shares add up to nothing")
	for i, t := range e.Trouble {
		e.checkTrouble(c, fmt.Sprintf("trouble.%d.", i), t)
	}
	return c.err
}

func (e *Experiment) checkTrouble(c *checks, at string, t Trouble) {
	c.oneOf(at+"kind", t.Kind, slices.Concat(Kinds, Calls, Models))
	c.within(at+"at_s", t.At, 0, e.Seconds)
	c.within(at+"for_s", t.For, 0, 1e6)
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
	case Swallow, Errors, Pauses, Slow, Crash, Vanish, Lies, Shrink, Join, Nodes, Cordon, Quiesce, Upgrade, Stuck, Squeeze:
		c.must(t.Share > 0 || t.Count > 0, at+"share", "give share or count above 0")
	case Cut:
		c.must(t.Zone != "" && len(e.Fleet.Zones) > 1, at+"zone", "give the zone that is cut off, of two at least")
	case Costly, Fell:
		c.must(slices.ContainsFunc(e.Category, func(k Category) bool { return k.Name == t.Category }), at+"category",
			"%q is not among the categories", t.Category)
	}
	switch t.Kind {
	case Slow, Burst, Costly, Lies, ListLate, Stuck, Squeeze:
		c.must(t.Factor > 0, at+"factor", "give it above 0")
	case Pauses:
		c.must(t.EveryMs > 0 && t.PauseMs > 0 && t.PauseMs < t.EveryMs, at+"pause_ms", "give it and a longer every_ms")
	}
	switch t.Kind {
	case Join:
		c.must(t.At > 0, at+"at_s", "give it above 0")
	case Fell:
		c.must(t.PauseMs > 0, at+"pause_ms", "give it above 0")
	}
	switch t.Kind {
	case Errors, Costly, Fell:
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

// Categories are those that a node's terms hold.
func (e *Experiment) Categories() []balancer.Class {
	all := make([]balancer.Class, 0, len(e.Category))
	for _, k := range e.Category {
		all = append(all, balancer.Class{Idempotency: k.effect(), DedupScope: balancer.DedupScope(max(slices.Index(groups, k.Group), 0)),
			DedupWindow: k.RememberMs, LatencyObjective: k.TargetMs, PriorityWeight: k.Benefit, LateWeight: k.Late,
			Ordered: k.KeepOrder})
	}
	return all
}

func (k Category) effect() balancer.Idempotency {
	return balancer.Idempotency(slices.Index(effects, k.Effect))
}

// Terms are what a node is told; zone and seed are its own.
func (e *Experiment) Terms(zone int, seed uint64) *balancer.Config {
	return &balancer.Config{Seed: seed, Zone: zone, Nodes: e.Fleet.Nodes, Classes: e.Categories(), OverQuotaWeight: 1,
		WeightByWork: e.Rules.BenefitByWork, CrossZoneCost: e.Fleet.CrossPrice, MaxAttempts: e.Rules.MaxPushes,
		AllowHedging: e.Rules.SecondCopies, CancelAttempts: e.Rules.Cancel, SendRetryAfter: e.Rules.ComeBack,
		MaxRetryAfter: e.Rules.MaxComeBackMs, PollEndpoints: e.List.MustAsk, PollInterval: e.Fleet.AskWithinMs, SlowStartShare: e.Backend.ColdFrom,
		SlowStartWindow: e.Backend.WarmWithinMs, OverloadMultiple: e.Backend.FallMultiple, OverloadWindow: e.Backend.OverloadForMs,
		UncertainCooldown: e.Rules.SettleMs, RemovalIsHint: e.Rules.RemovalNotBinding, ConnectionCost: e.Rules.ConnectionPrice}
}

// Auditor judges the experiment; slack is what the host sees late, in ms.
func (e *Experiment) Auditor(slack float64) *invariants.Auditor {
	return invariants.New(invariants.Config{Classes: e.Categories(), MaxAttempts: e.Rules.MaxPushes, AllowHedging: e.Rules.SecondCopies,
		DrainGrace: e.Rules.DrainGraceMs, ColdCapacity: e.Backend.ColdFrom, WarmUp: e.Backend.WarmWithinMs,
		OverloadFactor: e.Backend.FallMultiple, OverloadWindow: e.Backend.OverloadForMs, MeanWork: e.MeanWork(),
		KeyCooldown: e.Rules.SettleMs, RemovalNotBinding: e.Rules.RemovalNotBinding, Tolerance: slack})
}

// MeanWork is that of an op, in ms of a standard core.
func (e *Experiment) MeanWork() float64 {
	work, share := 0.0, 0.0
	for _, k := range e.Category {
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

// Rate is the ops a second at multiple 1.
func (e *Experiment) Rate() float64 {
	if e.Clients.OpsPerSecond > 0 {
		return e.Clients.OpsPerSecond
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

// MostMultiple bounds Multiple, bursts aside.
func (e *Experiment) MostMultiple() float64 {
	most := 1.0
	for i, p := range e.Clients.Ramp {
		if i == 0 || p[1] > most {
			most = p[1]
		}
	}
	return most * (1 + e.Clients.DayAmplitude)
}

// MachineKind is what a backend is like.
func (e *Experiment) MachineKind(backend int) backendmodel.Spec {
	m, b := e.Machines[e.MachineOf(backend)], e.Backend
	return backendmodel.Spec{Cores: m.Cores, Speed: m.Speed, QueueLimit: b.Queue, ColdSpeedShare: b.ColdFrom, WarmupTime: b.WarmWithinMs,
		OverloadMultiple: b.FallMultiple, OverloadWindow: b.OverloadForMs, MeanWork: e.MeanWork(), CongestionQueue: b.CrowdQueue, CongestionDelay: b.CrowdAfterMs,
		CongestionSlowdown: b.CrowdFactor, CongestionRecovery: b.CrowdUntilMs, ReportInterval: b.ReportAgeMs, ReportNoise: b.ReportNoise,
		StopOnCancel: b.StopOnRevoke, ConnectionWork: b.NewConnWorkMs}
}
