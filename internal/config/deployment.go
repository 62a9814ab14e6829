package config

import (
	"fmt"
	"math"

	"pearknot/balancer"
)

const (
	// maxNodes is the largest number of nodes that the simulator's protocol can express.
	maxNodes = math.MaxUint32
	// minPollInterval, in ms, is the resolution of the timers. The balancer polls the list again after a fraction of the
	// interval. If that fraction were too small to advance its clock, it would poll forever without handling anything else.
	minPollInterval = 1
	// defaultConnectTimeout, in ms, applies if the settings have none. Connections within a site are established much faster.
	defaultConnectTimeout = 250
	// defaultConnectionIdleTimeout, in ms, is the idle timeout assumed for backends if the settings have none.
	defaultConnectionIdleTimeout = 15e3
)

// deployment reads all settings. If several are wrong, the first one in the order of reading is reported.
func (s *settings) deployment() (*Deployment, error) {
	config := s.balancerConfig()
	d := &Deployment{
		BalancerConfig:        config,
		Zones:                 s.list("zones"),
		Kinds:                 s.list("kinds"),
		LoadReportFields:      s.list("loadReport.fields"),
		ConnectTimeout:        optional(s, "bounds.connectTimeout", s.number, defaultConnectTimeout),
		ConnectionIdleTimeout: optional(s, "bounds.connIdle", s.number, defaultConnectionIdleTimeout),
		MaxOpenRequests:       int(optional(s, "bounds.mostHeld", s.number, 0)),
	}
	for k := range s.count("categories") {
		path := fmt.Sprintf("categories.%d.", k)
		config.Classes = append(config.Classes, s.class(path))
		d.Classes = append(d.Classes, s.values[path+"name"])
		d.MaxDeadline = max(d.MaxDeadline, s.positive(path+"ttl"))
	}
	s.readTenants(d)
	return d, s.err
}

// balancerConfig reads the balancer's part except classes and tenants.
func (s *settings) balancerConfig() *balancer.Config {
	config := &balancer.Config{
		Zone:             int(s.number("az")),
		Nodes:            int(s.numberWithin(1, maxNodes)("balancers")),
		NodeIndex:        int(optional(s, "me", s.numberWithin(0, maxNodes), 0)),
		WeightByWork:     s.text("benefitBy") == "work",
		OverQuotaWeight:  optional(s, "excessBenefit", s.numberWithin(0, 1), 1),
		CrossZoneCost:    optional(s, "prices.crossZone", s.number, 0),
		MaxAttempts:      int(s.numberWithin(1, math.MaxUint16)("bounds.mostPushes")),
		AllowHedging:     s.flag("bounds.secondCopies"),
		CancelAttempts:   s.flag("bounds.cancel"),
		SendRetryAfter:   s.flag("bounds.retryAfter"),
		MaxRetryAfter:    optional(s, "bounds.maxRetryAfter", s.number, 0),
		PollEndpoints:    s.choice("registryMode", "automatic", "subscribe") == 1,
		PollInterval:     s.numberWithin(minPollInterval, math.MaxFloat64)("rules.askWithin"),
		SlowStartShare:   s.number("rules.coldFrom"),
		SlowStartWindow:  s.number("rules.warmWithin"),
		OverloadMultiple: s.number("rules.fallMultiple"),
		OverloadWindow:   s.number("rules.overloadFor"),

		UncertainCooldown: optional(s, "rules.settleAfterDoubt", s.numberWithin(0, math.MaxFloat64), 0),
		RemovalIsHint:     optional(s, "rules.removalNotBinding", s.flag, false),
		KeyAffinity:       optional(s, "familyInfo.warmKeys", s.flag, false),
		ConnectionCost:    optional(s, "prices.connection", s.numberWithin(0, math.MaxFloat64), 0),
	}
	if config.ConnectionCost > 0 {
		s.text("me") // with the default index on every node, all would connect to the same backends
	}
	return config
}

// class reads the class whose settings begin with path.
func (s *settings) class(path string) balancer.Class {
	scope := func(path string) int { return s.choice(path, "all", "zone", "cell") }
	return balancer.Class{
		Idempotency:      balancer.Idempotency(s.choice(path+"idempotency", "pure", "token", "side_effect")),
		DedupScope:       balancer.DedupScope(optional(s, path+"dedupScope", scope, 0)),
		DedupWindow:      optional(s, path+"keyTtl", s.number, 0),
		LatencyObjective: s.positive(path + "targetLatency"),
		PriorityWeight:   s.number(path + "benefit"),
		LateWeight:       optional(s, path+"overdueBenefit", s.numberWithin(0, 1), 0),
		Ordered:          optional(s, path+"keepOrder", s.flag, false),
	}
}

// readTenants reads the tenants, if there are any.
func (s *settings) readTenants(d *Deployment) {
	if s.values["tenants"] != "" || s.values["tenants.count"] == "" {
		return
	}
	for k := range s.count("tenants") {
		tenant := s.tenant(k)
		d.BalancerConfig.Tenants = append(d.BalancerConfig.Tenants, balancer.Tenant{Quota: s.quota(k, tenant.quota)})
		d.Tenants = append(d.Tenants, tenant.name)
	}
	d.TenantIndex("") // sorts them now, so that no request waits for it
}
