package experiment

import (
	"slices"

	"pearknot/balancer"
	"pearknot/internal/invariants"
)

// idempotencyNames are the names of a class's Idempotency in the file.
var idempotencyNames = []string{
	balancer.Idempotent:        "redeliverable",
	balancer.IdempotentWithKey: "deduplicated",
	balancer.AtMostOnce:        "at-most-once",
}

// dedupScopeNames are the names of a class's DedupScope in the file.
var dedupScopeNames = []string{
	balancer.DedupByAll:  "all",
	balancer.DedupByZone: "zone",
	balancer.DedupByCell: "cell",
}

// BalancerClasses returns the classes as a node's configuration has them.
func (e *Experiment) BalancerClasses() []balancer.Class {
	classes := make([]balancer.Class, 0, len(e.Classes))
	for _, class := range e.Classes {
		classes = append(classes, balancer.Class{
			Idempotency:      balancer.Idempotency(slices.Index(idempotencyNames, class.Idempotency)),
			DedupScope:       class.balancerDedupScope(),
			DedupWindow:      class.DedupWindowMs,
			LatencyObjective: class.LatencyObjectiveMs,
			PriorityWeight:   class.PriorityWeight,
			LateWeight:       class.LateWeight,
			Ordered:          class.Ordered,
		})
	}
	return classes
}

// balancerDedupScope returns the class's scope, which is DedupByAll where the file leaves it out.
func (c Class) balancerDedupScope() balancer.DedupScope {
	index := slices.Index(dedupScopeNames, c.DedupScope)
	if index < 0 {
		return balancer.DedupByAll
	}
	return balancer.DedupScope(index)
}

// BalancerConfig returns the configuration of a node in a zone, given by its place among Fleet.Zones, with a seed of the
// node's own.
func (e *Experiment) BalancerConfig(zone int, seed uint64) *balancer.Config {
	return &balancer.Config{
		Seed:              seed,
		Zone:              zone,
		Nodes:             e.Fleet.Nodes,
		Classes:           e.BalancerClasses(),
		OverQuotaWeight:   1,
		WeightByWork:      e.Rules.WeightByWork,
		CrossZoneCost:     e.Fleet.CrossZoneCost,
		MaxAttempts:       e.Rules.MaxAttempts,
		AllowHedging:      e.Rules.AllowHedging,
		CancelAttempts:    e.Rules.CancelAttempts,
		SendRetryAfter:    e.Rules.SendRetryAfter,
		MaxRetryAfter:     e.Rules.MaxRetryAfterMs,
		PollEndpoints:     e.EndpointList.PollOnly,
		PollInterval:      e.Fleet.PollIntervalMs,
		SlowStartShare:    e.Backend.ColdSpeedShare,
		SlowStartWindow:   e.Backend.WarmupMs,
		OverloadMultiple:  e.Backend.OverloadMultiple,
		OverloadWindow:    e.Backend.OverloadWindowMs,
		UncertainCooldown: e.Rules.UncertainCooldownMs,
		RemovalIsHint:     e.Rules.RemovalIsHint,
		ConnectionCost:    e.Rules.ConnectionCost,
	}
}

// NewAuditor returns an auditor for one run. Tolerance is how late, in ms, the host may observe an event.
func (e *Experiment) NewAuditor(tolerance float64) *invariants.Auditor {
	return invariants.New(invariants.Config{
		Classes:           e.BalancerClasses(),
		MaxAttempts:       e.Rules.MaxAttempts,
		AllowHedging:      e.Rules.AllowHedging,
		DrainGrace:        e.Rules.DrainGraceMs,
		ColdCapacity:      e.Backend.ColdSpeedShare,
		WarmUp:            e.Backend.WarmupMs,
		OverloadFactor:    e.Backend.OverloadMultiple,
		OverloadWindow:    e.Backend.OverloadWindowMs,
		MeanWork:          e.MeanWork(),
		KeyCooldown:       e.Rules.UncertainCooldownMs,
		RemovalNotBinding: e.Rules.RemovalIsHint,
		Tolerance:         tolerance,
	})
}
