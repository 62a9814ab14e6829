package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"pearknot/internal/tomlfile"
)

// Limits of a fleet's size.
const (
	maxNodes    = 5000
	maxBackends = 5000
)

// Limits of the clients' settings.
const (
	maxKeys    = 1e6
	maxRetries = 20
)

// maxAttemptsLimit is the highest number of attempts that a file may allow.
const maxAttemptsLimit = 200

// maxValue is the upper bound of amounts that have no tighter one.
const maxValue = 1e9

// hintQualities are the values of Clients.Hints.
var hintQualities = []string{"exact", "rough", "absent", "misleading"}

// validator checks values of a file and keeps the first error.
type validator struct {
	file *tomlfile.File
	err  error
}

// require records an error for a key if a condition doesn't hold.
func (v *validator) require(condition bool, key, format string, args ...any) {
	if !condition && v.err == nil {
		v.err = v.file.Errorf(key, format, args...)
	}
}

// requireRange requires a value from least to most. NaN is never in a range.
func (v *validator) requireRange(key string, value, least, most float64) {
	v.require(value >= least && value <= most && !math.IsNaN(value), key, "%v is not %v to %v", value, least, most)
}

// requireOneOf requires one of some words.
func (v *validator) requireOneOf(key, word string, words []string) {
	v.require(slices.Contains(words, word), key, "%q is none of %s", word, strings.Join(words, ", "))
}

// validate returns an error for the first value that can't be. The order of the checks decides which mistake a file with
// several is told of, so that it is always the same one.
func (e *Experiment) validate(file *tomlfile.File) error {
	v := &validator{file: file}
	e.validateRun(v)
	e.validateFleet(v)
	e.validateAmounts(v)
	e.validateBackend(v)
	e.validateClients(v)
	e.validateRules(v)
	e.validateMachines(v)
	e.validateClasses(v)
	for i, fault := range e.Faults {
		e.validateFault(v, fmt.Sprintf("trouble.%d.", i), fault)
	}
	return v.err
}

func (e *Experiment) validateRun(v *validator) {
	v.requireRange("seconds", e.Seconds, 1, 86400)
	v.require(len(e.Seeds) > 0, "seeds", "none given")
	v.requireOneOf("policy", e.Policy, Policies)
}

func (e *Experiment) validateFleet(v *validator) {
	fleet := e.Fleet
	v.require(fleet.Nodes >= 1 && fleet.Nodes <= maxNodes, "fleet.nodes", "%d is not 1 to %d", fleet.Nodes, maxNodes)
	v.require(fleet.Backends >= 1 && fleet.Backends <= maxBackends, "fleet.backends", "%d is not 1 to %d", fleet.Backends, maxBackends)
	v.require(len(fleet.Zones) >= 1, "fleet.zones", "none given")
	v.require(len(fleet.ZoneTraffic) == 0 || len(fleet.ZoneTraffic) == len(fleet.Zones), "fleet.traffic",
		"%d shares for %d zones", len(fleet.ZoneTraffic), len(fleet.Zones))
	for _, share := range fleet.ZoneTraffic {
		v.requireRange("fleet.traffic", share, 0, 1e6)
	}
}

// validateAmounts checks the numbers of all sections that may have any value from 0 on, in the order of their keys.
func (e *Experiment) validateAmounts(v *validator) {
	for _, amount := range []struct {
		key   string
		value float64
	}{
		{"backend.crowd_after_ms", e.Backend.CongestionDelayMs},
		{"backend.crowd_queue", e.Backend.CongestionQueue},
		{"backend.crowd_until_ms", e.Backend.CongestionRecoveryMs},
		{"backend.new_connection_ms", e.Backend.ConnectionWorkMs},
		{"backend.overload_for_ms", e.Backend.OverloadWindowMs},
		{"backend.report_age_ms", e.Backend.ReportIntervalMs},
		{"backend.report_noise", e.Backend.ReportNoise},
		{"backend.warm_within_ms", e.Backend.WarmupMs},
		{"clients.day_seconds", e.Clients.DaySeconds},
		{"clients.dead_node_ms", e.Clients.DeadNodeMs},
		{"clients.hint_noise", e.Clients.HintNoise},
		{"clients.load", e.Clients.Load},
		{"clients.ops_per_second", e.Clients.RequestsPerSecond},
		{"clients.retry_wait_ms", e.Clients.RetryBackoffMs},
		{"fleet.connect_ms", e.Fleet.ConnectTimeoutMs},
		{"fleet.cross_price", e.Fleet.CrossZoneCost},
		{"fleet.delay_ms", e.Fleet.CrossZoneDelayMs},
		{"fleet.idle_ms", e.Fleet.IdleTimeoutMs},
		{"fleet.near_ms", e.Fleet.LocalDelayMs},
		{"fleet.node_cores", e.Fleet.NodeCores},
		{"list.drain_notice_ms", e.EndpointList.DrainNoticeMs},
		{"list.lag_ms", e.EndpointList.LagMs},
		{"list.lines_per_second", e.EndpointList.UpdatesPerSecond},
		{"list.old_by_ms", e.EndpointList.StaleByMs},
		{"rules.connection_price", e.Rules.ConnectionCost},
		{"rules.drain_grace_ms", e.Rules.DrainGraceMs},
		{"rules.max_come_back_ms", e.Rules.MaxRetryAfterMs},
		{"rules.settle_ms", e.Rules.UncertainCooldownMs},
	} {
		v.requireRange(amount.key, amount.value, 0, maxValue)
	}
	v.requireRange("fleet.ask_within_ms", e.Fleet.PollIntervalMs, 1, maxValue) // a node's configuration has the same bounds
}

func (e *Experiment) validateBackend(v *validator) {
	v.require(e.Backend.QueueLimit >= 0, "backend.queue", "%d is below 0", e.Backend.QueueLimit)
	v.requireRange("backend.cold_from", e.Backend.ColdSpeedShare, 0.01, 1)
	v.requireRange("backend.fall_multiple", e.Backend.OverloadMultiple, 1, 1e6)
	v.requireRange("backend.crowd_factor", e.Backend.CongestionSlowdown, 1, 1e3)
}

func (e *Experiment) validateClients(v *validator) {
	clients := e.Clients
	v.requireRange("clients.day_amplitude", clients.DayAmplitude, 0, 1)
	v.requireRange("clients.leave", clients.LeaveShare, 0, 1)
	v.require(clients.Keys >= 0 && clients.Keys <= maxKeys, "clients.keys", "%d is not 0 to %d", clients.Keys, int(maxKeys))
	v.require(clients.Retries >= 0 && clients.Retries <= maxRetries, "clients.retries", "%d is not 0 to %d", clients.Retries, maxRetries)
	v.require(areTimeoutShares(clients.TimeoutShare), "clients.give_up", "%v is not from and to within 0 to 1", clients.TimeoutShare)
	v.requireOneOf("clients.hints", clients.Hints, hintQualities)
	v.require((clients.Load > 0) != (clients.RequestsPerSecond > 0), "clients", "give load or ops_per_second, one of them, above 0")
	for i := range clients.Ramp {
		v.require(isRampPoint(clients.Ramp, i), "clients.ramp", "point %d is not [second, multiple], later than the one before", i)
	}
}

// areTimeoutShares reports whether shares are the lowest and highest share of a deadline: above 0, at most 1.
func areTimeoutShares(shares []float64) bool {
	return len(shares) == 2 && shares[0] > 0 && shares[0] <= shares[1] && shares[1] <= 1
}

// isRampPoint reports whether a point of a ramp is a time and a multiple, and later than the point before it.
func isRampPoint(ramp [][]float64, i int) bool {
	point := ramp[i]
	if len(point) != 2 || !(point[1] >= 0) {
		return false
	}
	return i == 0 || len(ramp[i-1]) == 2 && point[0] > ramp[i-1][0]
}

func (e *Experiment) validateRules(v *validator) {
	v.require(e.Rules.MaxAttempts >= 1 && e.Rules.MaxAttempts <= maxAttemptsLimit, "rules.max_pushes", "%d is not 1 to %d",
		e.Rules.MaxAttempts, maxAttemptsLimit)
}

func (e *Experiment) validateMachines(v *validator) {
	shares := 0.0
	for i, machine := range e.Machines {
		prefix := fmt.Sprintf("machine.%d.", i)
		v.require(machine.Name != "", prefix+"name", "none given")
		v.require(machine.Cores >= 1, prefix+"cores", "%d is below 1", machine.Cores)
		v.requireRange(prefix+"speed", machine.Speed, 0.01, 1e3)
		v.requireRange(prefix+"share", machine.Share, 0, 1e6)
		shares += machine.Share
	}
	v.require(shares > 0, "machine", "shares add up to nothing")
}

func (e *Experiment) validateClasses(v *validator) {
	shares := 0.0
	for i, class := range e.Classes {
		prefix := fmt.Sprintf("category.%d.", i)
		v.require(class.Name != "" && !strings.ContainsAny(class.Name, " ,"), prefix+"name", "%q is no name", class.Name)
		v.requireRange(prefix+"share", class.Share, 0, 1e6)
		v.requireRange(prefix+"work_ms", class.WorkMs, 0.01, 1e6)
		v.requireRange(prefix+"spread", class.WorkSpread, 0, 3)
		v.requireRange(prefix+"target_latency_ms", class.LatencyObjectiveMs, 1, 1e7)
		v.requireRange(prefix+"ttl_ms", class.DeadlineMs, class.LatencyObjectiveMs, 1e7)
		v.requireRange(prefix+"benefit", class.PriorityWeight, 0, 1e6)
		v.requireRange(prefix+"late_benefit", class.LateWeight, 0, 1)
		v.requireRange(prefix+"remembered_ms", class.DedupWindowMs, 0, maxValue)
		v.requireOneOf(prefix+"effect", class.Idempotency, idempotencyNames)
		if class.DedupScope != "" {
			v.requireOneOf(prefix+"group", class.DedupScope, dedupScopeNames)
		}
		shares += class.Share
	}
	v.require(shares > 0, "category", "shares add up to nothing")
}
