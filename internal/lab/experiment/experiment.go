// Package experiment reads the files that describe what the lab runs: a fleet, its backends and clients, the classes of
// requests, the rules, and a schedule of faults. One file serves both the simulation in virtual time and the run with
// real processes.
//
// Keys of the file, and the fields they are read into, state their unit. Everything else in the lab is in ms.
package experiment

import (
	"os"

	"github.com/pelletier/go-toml/v2"

	"pearknot/internal/tomlfile"
)

// Policies are the names of the policies that can decide for a node: the balancer itself, and the baselines it is
// compared with.
var Policies = []string{"cda", "random", "rotation", "fewest", "two-choices", "all-seeing"}

const defaultPolicy = "cda"

// msPerSecond converts the file's seconds to ms.
const msPerSecond = 1e3

// Experiment is the content of one file. What the file leaves out has its default, which is zero unless a field states
// another. The order of the fields, here and below, is the order in which Encode writes them.
type Experiment struct {
	Name         string       `toml:"name"`
	About        string       `toml:"about"`   // what the experiment is for, in a sentence
	Seconds      float64      `toml:"seconds"` // length of a run; default 30
	Seeds        []uint64     `toml:"seeds"`   // one run each; default 1, 2, 3
	Policy       string       `toml:"policy"`  // one of Policies; default "cda"
	Fleet        Fleet        `toml:"fleet"`
	Machines     []Machine    `toml:"machine"` // default one kind, with one standard core
	Backend      Backend      `toml:"backend"`
	EndpointList EndpointList `toml:"list"`
	Clients      Clients      `toml:"clients"`
	Classes      []Class      `toml:"category"` // at least one
	Rules        Rules        `toml:"rules"`
	Faults       []Fault      `toml:"trouble"`
}

// Fleet is the nodes and backends, and the network between them. Both are dealt out to the zones in turn.
type Fleet struct {
	Nodes            int       `toml:"nodes"`         // default 3
	Backends         int       `toml:"backends"`      // default 10
	Zones            []string  `toml:"zones"`         // names; default one zone
	CrossZoneDelayMs float64   `toml:"delay_ms"`      // one way between zones; default 5
	LocalDelayMs     float64   `toml:"near_ms"`       // one way within a zone; default 0.25
	ConnectTimeoutMs float64   `toml:"connect_ms"`    // until an attempt to connect fails; default 250
	IdleTimeoutMs    float64   `toml:"idle_ms"`       // until a backend closes an idle connection; default 15,000
	ZoneTraffic      []float64 `toml:"traffic"`       // share of the requests that each zone's clients send; default equal shares
	CrossZoneCost    float64   `toml:"cross_price"`   // cost of a cross-zone attempt, in mean priority weights of a request
	NodeMemoryMB     int       `toml:"memory_mb"`     // limit of a node's process; sockets only; default 192
	NodeDescriptors  int       `toml:"sockets"`       // limit of a node's process; sockets only; default 1,024
	NodeCores        float64   `toml:"node_cores"`    // limit of a node's process; sockets only; default 1
	PollIntervalMs   float64   `toml:"ask_within_ms"` // time within which a node must poll the endpoint list again; default 10,000
}

// Machine is a kind of backend's machine.
type Machine struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of all backends, in relation to the other kinds' shares
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core, in standard cores
}

// Backend is what all backends have in common. Package backendmodel describes the model behind it.
type Backend struct {
	QueueLimit           int     `toml:"queue"`             // requests that may wait, the next one is rejected; default 200
	ColdSpeedShare       float64 `toml:"cold_from"`         // share of its speed that a backend starts with; default 0.3
	WarmupMs             float64 `toml:"warm_within_ms"`    // from its start until it has its full speed; default 8,000
	OverloadMultiple     float64 `toml:"fall_multiple"`     // multiple of its capacity at which a cold backend crashes; default 4
	OverloadWindowMs     float64 `toml:"overload_for_ms"`   // window over which that load is measured; default 2,000
	CongestionQueue      float64 `toml:"crowd_queue"`       // requests waiting per core from which on it may become congested; 0 never
	CongestionDelayMs    float64 `toml:"crowd_after_ms"`    // how long the queue must be that long; default 2,000
	CongestionSlowdown   float64 `toml:"crowd_factor"`      // factor by which a congested backend is slower; default 2
	CongestionRecoveryMs float64 `toml:"crowd_until_ms"`    // how long it must be mostly idle to recover; default 3,000
	SendsReports         bool    `toml:"report"`            // responses carry a load report
	ReportIntervalMs     float64 `toml:"report_age_ms"`     // age at which a load report is made anew; default 500
	ReportNoise          float64 `toml:"report_noise"`      // standard deviation of the reported time's logarithm; default 0.1
	StopOnCancel         bool    `toml:"stop_on_revoke"`    // cancel stops running work too, not only what waits; default true
	ConnectionWorkMs     float64 `toml:"new_connection_ms"` // work that a new connection costs
}

// EndpointList is the discovery service, which tells the nodes of the backends.
type EndpointList struct {
	LagMs            float64 `toml:"lag_ms"`           // from a change until the list has it; default 1,000
	UpdatesPerSecond float64 `toml:"lines_per_second"` // that it can send to all nodes together; 0 no limit
	DrainNoticeMs    float64 `toml:"drain_notice_ms"`  // how long a backend drains before it is gone; default 5,000
	PollOnly         bool    `toml:"must_ask"`         // nodes must poll, since the list can't be watched; default true
	StaleByMs        float64 `toml:"old_by_ms"`        // age of the cached list that a restarted node begins with; default 20,000
}

// Clients are the clients' load and behavior. The load is given by either Load or RequestsPerSecond.
type Clients struct {
	Load              float64     `toml:"load"`           // share of the warm fleet's capacity
	RequestsPerSecond float64     `toml:"ops_per_second"` // of all clients
	Ramp              [][]float64 `toml:"ramp"`           // points [second, multiple of the load], with straight lines between them
	DayAmplitude      float64     `toml:"day_amplitude"`  // 0 to 1, of a sine on top of the load
	DaySeconds        float64     `toml:"day_seconds"`    // its period; 0 none
	Retries           int         `toml:"retries"`        // most client retries of a request
	RetryBackoffMs    float64     `toml:"retry_wait_ms"`  // mean wait before a client retry; default 200
	HonorRetryAfter   bool        `toml:"heeds_wait"`     // clients wait as long as Retry-After says; default true
	TimeoutShare      []float64   `toml:"give_up"`        // lowest and highest share of the deadline that a client waits; default 0.6, 1
	LeaveShare        float64     `toml:"leave"`          // share of the sends whose client disconnects before its timeout
	Hints             string      `toml:"hints"`          // cost hints are exact, rough, absent or misleading; default rough
	HintNoise         float64     `toml:"hint_noise"`     // standard deviation of a rough hint's logarithm; default 0.3
	Keys              int         `toml:"keys"`           // number of keys of requests, of which the first are the most popular; 0 none
	DeadNodeMs        float64     `toml:"dead_node_ms"`   // how long clients still send to a dead node; default 1,500
}

// Class is one class of requests.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`             // of all requests, in relation to the other classes' shares
	WorkMs             float64 `toml:"work_ms"`           // mean work, in ms of a standard core
	WorkSpread         float64 `toml:"spread"`            // standard deviation of the work's logarithm
	Idempotency        string  `toml:"effect"`            // redeliverable, deduplicated or at-most-once
	DedupScope         string  `toml:"group"`             // backends that recognize a repeated request: all, zone or cell; default all
	DedupWindowMs      float64 `toml:"remembered_ms"`     // how long they recognize it
	LatencyObjectiveMs float64 `toml:"target_latency_ms"` // until then an answer earns the whole priority weight
	DeadlineMs         float64 `toml:"ttl_ms"`            // after that it earns nothing
	PriorityWeight     float64 `toml:"benefit"`
	LateWeight         float64 `toml:"late_benefit"` // share of the weight that an answer between the two earns
	Ordered            bool    `toml:"keep_order"`   // requests with one key run one at a time
}

// Rules are what a node must observe, and what it may do.
type Rules struct {
	DrainGraceMs    float64 `toml:"drain_grace_ms"`   // time after a drain's notice in which attempts may still start; default 500
	MaxAttempts     int     `toml:"max_pushes"`       // of a request; default 3
	AllowHedging    bool    `toml:"second_copies"`    // default true
	CancelAttempts  bool    `toml:"cancel"`           // default true
	SendRetryAfter  bool    `toml:"come_back"`        // rejections carry Retry-After; default true
	MaxRetryAfterMs float64 `toml:"max_come_back_ms"` // longest Retry-After that clients follow; default 2,000
	WeightByWork    bool    `toml:"benefit_by_work"`  // a request's weight is its class's, times its work

	UncertainCooldownMs float64 `toml:"settle_ms"`           // pause of a key after an attempt that may still run
	RemovalIsHint       bool    `toml:"removal_not_binding"` // a backend that is removed without draining may still work
	ConnectionCost      float64 `toml:"connection_price"`    // cost of open connections
}

// withDefaults returns an experiment with the defaults of what a file may leave out.
func withDefaults() *Experiment {
	return &Experiment{
		Seconds: 30,
		Seeds:   []uint64{1, 2, 3},
		Policy:  defaultPolicy,
		Fleet: Fleet{
			Nodes:            3,
			Backends:         10,
			Zones:            []string{"a"},
			LocalDelayMs:     0.25,
			CrossZoneDelayMs: 5,
			ConnectTimeoutMs: 250,
			IdleTimeoutMs:    15e3,
			NodeMemoryMB:     192,
			NodeDescriptors:  1024,
			NodeCores:        1,
			PollIntervalMs:   10e3,
		},
		Backend: Backend{
			QueueLimit:           200,
			ColdSpeedShare:       0.3,
			WarmupMs:             8e3,
			OverloadMultiple:     4,
			OverloadWindowMs:     2e3,
			CongestionSlowdown:   2,
			CongestionDelayMs:    2e3,
			CongestionRecoveryMs: 3e3,
			ReportIntervalMs:     500,
			ReportNoise:          0.1,
			StopOnCancel:         true,
		},
		EndpointList: EndpointList{
			LagMs:         1e3,
			DrainNoticeMs: 5e3,
			StaleByMs:     20e3,
			PollOnly:      true,
		},
		Clients: Clients{
			TimeoutShare:    []float64{0.6, 1},
			Hints:           "rough",
			HintNoise:       0.3,
			DeadNodeMs:      1500,
			HonorRetryAfter: true,
			RetryBackoffMs:  200,
		},
		Rules: Rules{
			DrainGraceMs:    500,
			MaxAttempts:     3,
			AllowHedging:    true,
			CancelAttempts:  true,
			SendRetryAfter:  true,
			MaxRetryAfterMs: 2e3,
		},
	}
}

// Read reads and validates a file. If it can't be opened, the error is that of os.ReadFile; for anything wrong in it,
// the error is one line that says where.
func Read(name string) (*Experiment, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data)
}

// Decode is Read for data that came from elsewhere. Errors name it as a file of that name.
func Decode(name string, data []byte) (*Experiment, error) {
	e := withDefaults()
	file, err := tomlfile.Decode(name, data, e)
	if err != nil {
		return nil, err
	}
	if len(e.Machines) == 0 {
		e.Machines = []Machine{{Name: "standard", Share: 1, Cores: 1, Speed: 1}}
	}
	if len(e.Classes) == 0 {
		return nil, file.Errorf("category", "none given")
	}
	return e, e.validate(file)
}

// Encode returns the experiment as a file that Decode reads.
func (e *Experiment) Encode() ([]byte, error) { return toml.Marshal(e) }

// LengthMs returns the length of a run in ms.
func (e *Experiment) LengthMs() float64 { return e.Seconds * msPerSecond }
