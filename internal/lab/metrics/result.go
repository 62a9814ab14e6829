package metrics

import (
	"fmt"

	"pearknot/internal/lab/experiment"
)

// Version is the version of the result's stored form. A reader refuses any other.
const Version = 1

// Values of Result.Host: where an experiment was run.
const (
	HostVirtual  = "virtual"  // simulated, in virtual time
	HostLoopback = "loopback" // real processes on the sockets of one machine
)

// Result holds all runs of an experiment under one policy. It is stored as JSON, whose keys are older than some of the
// terms in this code.
//
// Service, here and in the parts of a result, is the priority weight that clients earned by their answers, divided by the
// weight of all requests that arrived: 1 if every request was served within its latency objective. It is 1 also where no
// request arrived.
type Result struct {
	Version    int      `json:"version"`
	Experiment string   `json:"experiment"` // name of the experiment
	About      string   `json:"about,omitempty"`
	Policy     string   `json:"policy"`
	Host       string   `json:"host"`    // HostVirtual or HostLoopback
	Seconds    float64  `json:"seconds"` // length of a run
	Nodes      int      `json:"nodes"`
	Backends   int      `json:"backends"`
	Service    Estimate `json:"service"` // over the seeds
	Runs       []Run    `json:"runs"`    // one for each seed
}

// NewResult returns the result of an experiment's runs, with their mean service.
func NewResult(e *experiment.Experiment, host string, runs []Run) Result {
	var service []float64
	for _, run := range runs {
		service = append(service, run.Service)
	}
	return Result{
		Version:    Version,
		Experiment: e.Name,
		About:      e.About,
		Policy:     e.Policy,
		Host:       host,
		Seconds:    e.Seconds,
		Nodes:      e.Fleet.Nodes,
		Backends:   e.Fleet.Backends,
		Service:    NewEstimate(service),
		Runs:       runs,
	}
}

// AllRulesKept reports whether no run broke a rule.
func (r Result) AllRulesKept() bool {
	for _, run := range r.Runs {
		if !run.Verdict.Kept {
			return false
		}
	}
	return true
}

// Run holds the metrics of one seed.
type Run struct {
	Seed                uint64  `json:"seed"`
	Service             float64 `json:"service"`
	WorstTenSeconds     float64 `json:"worst_10_s"`       // least service of any 10 s
	Requests            int     `json:"ops"`              // requests that arrived, client retries not counted
	AttemptsPerRequest  float64 `json:"pushes_per_op"`    // attempts sent by the nodes
	SendsPerRequest     float64 `json:"tries_per_op"`     // sends by the clients, which are 1 without client retries
	CrossZonePerRequest float64 `json:"crossings_per_op"` // attempts sent to another zone
	Rejected            int     `json:"nacks"`            // rejections that nodes answered
	Failed              int     `json:"dead_letters"`     // failures that nodes answered
	Unreached           int     `json:"unreached"`        // sends that no node accepted
	ClientTimeouts      int     `json:"given_up"`         // sends whose client timed out
	WastedWork          float64 `json:"work_wasted"`      // share of the backends' work that served no request

	// Herding is the most attempts that one backend got within 100 ms, divided by an even share of all attempts in that
	// time. An even share of less than one attempt counts as one.
	Herding        float64 `json:"herding"`
	HerdingP99     float64 `json:"herding_p99"`     // 99th percentile of that ratio over all spans of 100 ms
	BackendCrashes int     `json:"backends_fallen"` // backends that crashed because they were overloaded

	Classes    []ClassResult `json:"categories"`
	Faults     []Recovery    `json:"troubles,omitempty"`
	Hysteresis *Hysteresis   `json:"loop,omitempty"` // nil if the load doesn't ramp up and down
	Verdict    Verdict       `json:"rules"`
	Windows    []Window      `json:"windows"` // every half second of the run

	NodeCPUPerRequest float64 `json:"node_cpu_us_per_op,omitempty"` // us of processor time of all nodes; HostLoopback only
	Events            uint64  `json:"events,omitempty"`             // events that the simulation processed; HostVirtual only
}

// Summary returns the run's main metrics in one line.
func (r Run) Summary() string {
	rules := "kept"
	if !r.Verdict.Kept {
		rules = fmt.Sprintf("BROKEN %v", r.Verdict.Violations)
	}
	return fmt.Sprintf("seed %d: service %.3f, worst 10 s %.3f, per request %.2f attempts, %.2f sends, %.2f cross-zone attempts, "+
		"wasted work %.2f, herding %.1f, rules %s",
		r.Seed, r.Service, r.WorstTenSeconds, r.AttemptsPerRequest, r.SendsPerRequest, r.CrossZonePerRequest, r.WastedWork, r.HerdingP99, rules)
}

// ClassResult holds the metrics of one class of requests.
type ClassResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"ops"`
	Service  float64 `json:"service"`
	// Latencies are the 50th, 90th, 99th and 99.9th percentile, in ms, of the requests that were served. They count from
	// a request's arrival, so that a client that waits before it retries doesn't hide latency.
	Latencies [4]float64 `json:"answer_ms_50_90_99_999"`
}

// Recovery holds the effect of one fault on service.
type Recovery struct {
	Kind            string  `json:"kind"`
	From            float64 `json:"from_s"`
	To              float64 `json:"to_s"`
	ServiceBefore   float64 `json:"service_before"` // in the 10 s before the fault
	WorstService    float64 `json:"service_worst"`  // least service of any half second until recovery
	RecoverySeconds float64 `json:"recovery_s"`     // from the fault's end until service is within 5% of before; -1 never
	LostWeight      float64 `json:"benefit_lost"`   // weight that service as before would have earned until recovery, and didn't
	Targets         []int   `json:"targets,omitempty"`
}

// Hysteresis holds service against offered load, while the load rises and while it falls. The slices have one element for
// each level of load that occurs in both directions.
type Hysteresis struct {
	Multiple []float64 `json:"multiple"`     // offered load, as a multiple of the experiment's rate
	Up       []float64 `json:"service_up"`   // service while the load rises
	Down     []float64 `json:"service_down"` // service while the load falls
	// Area is the area between the two curves. It is above 0 if an overload outlasts its cause.
	Area float64 `json:"area"`
}

// Verdict holds the auditor's findings.
type Verdict struct {
	Kept       bool     `json:"kept"`
	Violations [6]int   `json:"breaches"` // by rule, the first rule first
	Evidence   []string `json:"evidence,omitempty"`
	Text       string   `json:"verdict"`
}

// Window holds the metrics of half a second. Offered, Earned, Requests and Latencies are of the requests that arrived in
// it; Attempts, CrossZone and Rejected count what was sent in it.
type Window struct {
	At             float64    `json:"at_s"`
	Offered        float64    `json:"asked"`               // priority weight of the requests
	Earned         float64    `json:"earned"`              // priority weight that their answers earned
	ServiceByClass []float64  `json:"service_by_category"` // -1 where no request of the class arrived
	Requests       int        `json:"ops"`
	Attempts       int        `json:"pushes"`
	CrossZone      int        `json:"crossings"`
	Rejected       int        `json:"nacks"`
	Latencies      [3]float64 `json:"answer_ms_50_99_max"` // 50th and 99th percentile and maximum, in ms
	BusyShares     []float64  `json:"load,omitempty"`      // by backend, the share of its capacity that it used
}
