package loopback

import (
	"encoding/json"
	"strconv"

	"pearknot/internal/lab/experiment"
)

// maxOpenRequests is the limit on open requests in the nodes' configuration.
const maxOpenRequests = 20000

// nodeConfig holds the contents of a node's configuration file, with the protocol's names.
type nodeConfig struct {
	Control   string         `json:"control"`
	Discovery string         `json:"discovery"`
	Known     listResponse   `json:"known"`
	Limits    nodeLimits     `json:"limits"`
	Listen    string         `json:"listen"`
	Name      string         `json:"name"`
	Seed      string         `json:"seed"`
	Settings  map[string]any `json:"settings"`
}

type nodeLimits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    int     `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// config returns the text of the configuration file for the node's next process, with the endpoint list as of the given time, in ms.
func (n *node) config(listAt float64) (string, error) {
	n.incarnation++
	e := n.monitor.experiment
	// In production each process of a node has a new seed, so the seed differs between runs too.
	runSeed := uint64(n.monitor.startTime())
	seed := uint64(n.number)*7919 + uint64(n.incarnation)*104729 + runSeed*31 + 12345
	data, err := json.MarshalIndent(nodeConfig{
		Control:   n.adminAddress,
		Discovery: n.discoveryAddress,
		Known:     n.discovery.listAt(listAt, n.zone),
		Limits:    nodeLimits{Cores: e.Fleet.NodeCores, MemoryMB: e.Fleet.NodeMemoryMB, Descriptors: e.Fleet.NodeDescriptors},
		Listen:    n.address,
		Name:      n.name(),
		Seed:      strconv.FormatUint(seed, 16),
		Settings:  DeploymentSettings(e, n.zone),
	}, "", " ")
	return string(data), err
}

// DeploymentSettings returns the deployment's settings for the nodes of a zone, with the protocol's names.
func DeploymentSettings(e *experiment.Experiment, zone int) map[string]any {
	weightBy, listMode := "request", "automatic"
	if e.Rules.WeightByWork {
		weightBy = "work"
	}
	if e.EndpointList.PollOnly {
		listMode = "subscribe"
	}
	var machines []string
	for _, machine := range e.Machines {
		machines = append(machines, machine.Name)
	}
	return map[string]any{
		"az":           zone,
		"balancers":    e.Fleet.Nodes,
		"benefitBy":    weightBy,
		"bounds":       boundSettings(e),
		"categories":   classSettings(e),
		"kinds":        machines,
		"loadReport":   map[string]any{"fields": []string{"mean_ms", "inflight"}, "via": "inline"},
		"prices":       map[string]any{"crossZone": e.Fleet.CrossZoneCost},
		"registryMode": listMode,
		"rules":        ruleSettings(e),
		"tenants":      []string{},
		"zones":        e.Fleet.Zones,
	}
}

func classSettings(e *experiment.Experiment) []map[string]any {
	idempotency := map[string]string{"redeliverable": "pure", "deduplicated": "token", "at-most-once": "side_effect"}
	var classes []map[string]any
	for _, class := range e.Classes {
		settings := map[string]any{
			"name":           class.Name,
			"idempotency":    idempotency[class.Idempotency],
			"targetLatency":  class.LatencyObjectiveMs,
			"ttl":            class.DeadlineMs,
			"benefit":        class.PriorityWeight,
			"overdueBenefit": class.LateWeight,
		}
		if class.Idempotency == "deduplicated" {
			settings["keyTtl"] = class.DedupWindowMs
			if class.DedupScope != "" {
				settings["dedupScope"] = class.DedupScope
			}
		}
		classes = append(classes, settings)
	}
	return classes
}

func boundSettings(e *experiment.Experiment) map[string]any {
	return map[string]any{
		"cancel":         e.Rules.CancelAttempts,
		"connIdle":       e.Fleet.IdleTimeoutMs,
		"connectTimeout": e.Fleet.ConnectTimeoutMs,
		"mostHeld":       maxOpenRequests,
		"mostPushes":     e.Rules.MaxAttempts,
		"retryAfter":     e.Rules.SendRetryAfter,
		"maxRetryAfter":  e.Rules.MaxRetryAfterMs,
		"secondCopies":   e.Rules.AllowHedging,
	}
}

func ruleSettings(e *experiment.Experiment) map[string]any {
	return map[string]any{
		"askWithin":    e.Fleet.PollIntervalMs,
		"coldFrom":     e.Backend.ColdSpeedShare,
		"drainGrace":   e.Rules.DrainGraceMs,
		"fallMultiple": e.Backend.OverloadMultiple,
		"overloadFor":  e.Backend.OverloadWindowMs,
		"warmWithin":   e.Backend.WarmupMs,
	}
}
