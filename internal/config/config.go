// Package config reads what a deployment tells a node when it starts, from nested JSON or from path=value lines, and checks
// a configuration that is to replace the one in force. Times are in ms.
//
// The protocol gives the settings themed names. This package is the one place that maps them to the terms that the rest of
// the code uses; the names stay as they are, since operators' files have them.
//
//	setting                          term                                    field
//	az                               the node's zone                         Balancer.Zone
//	me                               index of the node                       Balancer.NodeIndex
//	balancers                        number of nodes                         Balancer.Nodes
//	domainType: proxy, mesh          topology: pool, sidecar                 Topology
//	zones, kinds                     zones, kinds of machine                 Zones, Kinds
//	registryMode: automatic,         endpoint list: pushed,                  Balancer.PollEndpoints
//	  subscribe                        polled
//	benefitBy: work                  priority weight by work                 Balancer.WeightByWork
//	excessBenefit                    weight left over quota                  Balancer.OverQuotaWeight
//	prices.crossZone                 cost of crossing zones                  Balancer.CrossZoneCost
//	prices.connection                cost of open connections                Balancer.ConnectionCost
//	bounds.mostPushes                maximum of attempts                     Balancer.MaxAttempts
//	bounds.secondCopies              hedging allowed                         Balancer.AllowHedging
//	bounds.cancel                    attempts can be canceled                Balancer.CancelAttempts
//	bounds.retryAfter                rejections carry Retry-After            Balancer.SendRetryAfter
//	bounds.maxRetryAfter             its maximum                             Balancer.MaxRetryAfter
//	bounds.connectTimeout            connect time-out                        ConnectTimeout
//	bounds.connIdle                  backends' idle time-out of connections  ConnectionIdleTimeout
//	bounds.mostHeld                  maximum of open requests                MaxOpenRequests
//	rules.askWithin                  poll interval of the endpoint list      Balancer.PollInterval
//	rules.coldFrom, warmWithin       slow start: share, window               Balancer.SlowStartShare, SlowStartWindow
//	rules.fallMultiple, overloadFor  overload: multiple, window              Balancer.OverloadMultiple, OverloadWindow
//	rules.settleAfterDoubt           cooldown of a key                       Balancer.UncertainCooldown
//	rules.removalNotBinding          removal is a hint                       Balancer.RemovalIsHint
//	familyInfo.warmKeys              key affinity                            Balancer.KeyAffinity
//	loadReport.fields: mean_ms,      load report: service time,              LoadReportFields
//	  concurrent, depth, tps           in flight, queued, throughput
//	categories.N                     class                                   Balancer.Classes[N]
//	  .name                            its name                                Classes[N]
//	  .idempotency: pure,              idempotent,                             .Idempotency
//	    token, side_effect               with a key, at most once
//	  .dedupScope: all, zone, cell     scope of deduplication                  .DedupScope
//	  .keyTtl                          window of deduplication                 .DedupWindow
//	  .targetLatency                   latency objective                       .LatencyObjective
//	  .benefit                         priority weight                         .PriorityWeight
//	  .overdueBenefit                  weight of a late answer                 .LateWeight
//	  .keepOrder                       ordered by key                          .Ordered
//	  .ttl                             deadline                                MaxDeadline, of all classes
//	tenants.N.name, quotaPerS        tenant, quota in requests a second      Tenants[N], Balancer.Tenants[N].Quota
package config

import (
	"slices"
	"strings"
	"sync"

	"pearknot/balancer"
)

// Deployment is the configuration of a node: the balancer's part and the host's own.
type Deployment struct {
	Topology         Topology
	Balancer         *balancer.Config
	Classes          []string // names, by index
	Tenants          []string // names, by index
	Zones            []string
	Kinds            []string // of machine
	LoadReportFields []string // names of a load report's values, in their order

	MaxDeadline           float64 // ms; the longest of any class
	ConnectTimeout        float64 // ms; a connection that is not up after it never comes up
	ConnectionIdleTimeout float64 // ms; a backend closes a connection that is idle for so long
	MaxOpenRequests       int     // at a node; 0 is no limit

	present presentSettings // for CheckReplaces

	sorted       sync.Once
	tenantByName []int32 // indices of Tenants, in the order of their names
}

// TenantIndex is the index of the first tenant of that name, or -1.
func (d *Deployment) TenantIndex(name string) int {
	d.sorted.Do(d.sortTenants)
	k, found := slices.BinarySearchFunc(d.tenantByName, name, func(at int32, name string) int {
		return strings.Compare(d.Tenants[at], name)
	})
	if !found {
		return -1
	}
	return int(d.tenantByName[k])
}

// sortTenants keeps equal names in the order of their indices.
func (d *Deployment) sortTenants() {
	d.tenantByName = make([]int32, len(d.Tenants))
	for k := range d.tenantByName {
		d.tenantByName[k] = int32(k)
	}
	slices.SortStableFunc(d.tenantByName, func(a, b int32) int { return strings.Compare(d.Tenants[a], d.Tenants[b]) })
}

// SetReportValue sets a value of a load report by its name in the protocol. Other names mean nothing to the balancer.
func SetReportValue(report *balancer.LoadReport, name string, value float64) {
	switch name {
	case "mean_ms":
		report.ServiceTime = value
	case "concurrent":
		report.InFlight = value
	case "tps":
		report.Throughput = value
	case "depth":
		report.Queued = value
	}
}
