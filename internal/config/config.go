// Package config parses the configuration that a deployment gives a node at start, from nested JSON or from path=value
// lines, and checks whether a new configuration can replace the one in use. Times are in ms.
//
// The protocol's names of settings differ from the terms that the rest of the code uses. This package is the only place that
// maps them; the names stay as they are, since operators' files have them. Other names of the protocol are mapped where they
// are read: the endpoint list's in package discovery, the requests' header fields in package server, the keys of the
// operator's TOML files in package serve.
//
// # Settings
//
// "required" means that a configuration without the setting is rejected; any other entry under "default" applies where the
// setting is absent. Settings that the table does not list have no effect: they concern the platform, not the node.
// Weights and costs are in the unit that the deployment's priority weights have.
//
//	setting                 values                     default   term, field
//	az                      index in zones             required  the node's zone: BalancerConfig.Zone
//	me                      index from 0               0 (a)     index of the node: BalancerConfig.NodeIndex
//	balancers               1 and more                 required  number of nodes: BalancerConfig.Nodes
//	domainType              proxy, mesh                proxy     topology, pool or sidecar: Topology
//	zones, kinds            lists of names             empty     zones, kinds of machine: Zones, Kinds
//	registryMode            automatic, subscribe       required  endpoint list, pushed or polled: BalancerConfig.PollEndpoints
//	benefitBy               work, or another word      required  priority weight for each unit of work, or for each
//	                                                             request: BalancerConfig.WeightByWork
//	excessBenefit           share, 0 to 1              1         weight left over quota: BalancerConfig.OverQuotaWeight
//	prices.crossZone        cost                       0         cost of crossing zones: BalancerConfig.CrossZoneCost
//	prices.connection       cost, 0 and more           0         cost of open connections: BalancerConfig.ConnectionCost
//	bounds.mostPushes       1 to 65535                 required  maximum of attempts for a request: BalancerConfig.MaxAttempts
//	bounds.secondCopies     true, false                required  hedging allowed: BalancerConfig.AllowHedging
//	bounds.cancel           true, false                required  attempts can be canceled: BalancerConfig.CancelAttempts
//	bounds.retryAfter       true, false                required  rejections carry Retry-After: BalancerConfig.SendRetryAfter
//	bounds.maxRetryAfter    ms                         0         its maximum: BalancerConfig.MaxRetryAfter, which defines 0
//	bounds.connectTimeout   ms                         250       connect timeout: ConnectTimeout
//	bounds.connIdle         ms                         15000     idle timeout of backends' connections:
//	                                                             ConnectionIdleTimeout
//	bounds.mostHeld         requests; 0 is no limit    0         maximum of open requests: MaxOpenRequests
//	rules.askWithin         ms, 1 and more             required  poll interval of the endpoint list: BalancerConfig.PollInterval
//	rules.coldFrom          share of the capacity      required  slow start, at first: BalancerConfig.SlowStartShare
//	rules.warmWithin        ms                         required  slow start, duration: BalancerConfig.SlowStartWindow
//	rules.fallMultiple      multiple of the capacity   required  overload: BalancerConfig.OverloadMultiple
//	rules.overloadFor       ms                         required  overload, window: BalancerConfig.OverloadWindow
//	rules.settleAfterDoubt  ms, 0 and more             0         cooldown of a key: BalancerConfig.UncertainCooldown
//	rules.removalNotBinding true, false                false     removal is a hint: BalancerConfig.RemovalIsHint
//	familyInfo.warmKeys     true, false                false     key affinity: BalancerConfig.KeyAffinity
//	loadReport.fields       list of mean_ms (service   empty     values of a load report: LoadReportFields
//	                        time), concurrent (in
//	                        flight), depth (queued),
//	                        tps (throughput); others
//	                        are ignored
//	categories.N            a list of objects                    class: BalancerConfig.Classes[N]
//	  .name                 distinct names             (b)       its name: Classes[N]
//	  .idempotency          pure, token, side_effect   required  idempotent, with a key, at most once: .Idempotency
//	  .dedupScope           all, zone, cell            all       scope of deduplication: .DedupScope
//	  .keyTtl               ms                         0         window of deduplication: .DedupWindow
//	  .targetLatency        ms, above 0                required  latency objective: .LatencyObjective
//	  .benefit              weight                     required  priority weight: .PriorityWeight
//	  .overdueBenefit       share, 0 to 1              0         weight of a late answer: .LateWeight
//	  .keepOrder            true, false                false     ordered by key: .Ordered
//	  .ttl                  ms, above 0                required  deadline: MaxDeadline is the longest of all classes
//	tenants.N               a list, or nothing         empty     tenant
//	  .name                 a name                     empty     its name: Tenants[N]
//	  .quotaPerS            requests a second, of all  0         quota: BalancerConfig.Tenants[N].Quota
//	                        nodes; 0 is no limit
//
// (a) Required where prices.connection is above 0.
// (b) Required in JSON. In lines, whose requests name their class by its index, it may be absent.
package config

import (
	"slices"
	"strings"
	"sync"

	"pearknot/balancer"
)

// Deployment is the configuration of a node: the balancer's part, and the part of the process that hosts it.
type Deployment struct {
	Topology         Topology
	BalancerConfig   *balancer.Config
	Classes          []string // names, by index
	Tenants          []string // names, by index
	Zones            []string
	Kinds            []string // kinds of machine
	LoadReportFields []string // names of a load report's values, in their order

	MaxDeadline           float64 // ms; the longest of any class
	ConnectTimeout        float64 // ms; a dial that takes longer fails
	ConnectionIdleTimeout float64 // ms; backends close connections that are idle for this long
	MaxOpenRequests       int     // of a node; 0 is no limit

	present presentSettings // used by CheckReplaces

	sortOnce     sync.Once
	tenantByName []int32 // indices of Tenants, in the order of their names
}

// TenantIndex returns the index of the first tenant of that name, or -1. It may be called from several goroutines.
func (d *Deployment) TenantIndex(name string) int {
	d.sortOnce.Do(d.sortTenants)
	k, found := slices.BinarySearchFunc(d.tenantByName, name, func(at int32, name string) int {
		return strings.Compare(d.Tenants[at], name)
	})
	if !found {
		return -1
	}
	return int(d.tenantByName[k])
}

// sortTenants fills tenantByName. Equal names stay in the order of their indices, so that TenantIndex finds the first.
func (d *Deployment) sortTenants() {
	d.tenantByName = make([]int32, len(d.Tenants))
	for k := range d.tenantByName {
		d.tenantByName[k] = int32(k)
	}
	slices.SortStableFunc(d.tenantByName, func(a, b int32) int { return strings.Compare(d.Tenants[a], d.Tenants[b]) })
}

// SetReportValue sets a value of a load report by its name in the protocol. Names that the balancer does not use are ignored.
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
