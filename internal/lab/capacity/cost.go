package capacity

import (
	"math"
	"slices"
	"strings"
)

// Cost is what a role spends at the target's size, beside its limit.
type Cost struct {
	Role      string
	Event     string
	What      string
	Unit      string
	Value     float64 // NaN where nothing was measured
	Limit     float64 // 0 where nobody has stated one
	Factor    float64 // the most that a slope in it was extrapolated over
	From      string  // the slopes, and how they go in
	Mechanism string
	Wall      bool // time on the wall is in it
}

// Share is how much of its limit it is; 0 where there is none, NaN where it was not measured.
func (c Cost) Share() float64 {
	if c.Limit == 0 {
		return 0
	}
	return c.Value / c.Limit
}

// Passes tells whether it is over its limit.
func (c Cost) Passes() bool { return c.Share() > 1 }

// term is a figure put together from slopes.
type term struct {
	value  float64
	factor float64
	keys   []string
	wall   bool
}

func (a term) plus(b term) term {
	return term{a.value + b.value, max(a.factor, b.factor), slices.Concat(a.keys, b.keys), a.wall || b.wall}
}

func (a term) times(k float64) term {
	a.value *= k
	return a
}

// sheet is slopes by their keys.
type sheet map[string]*Slope

// at puts a size into a slope. One that was not measured gives no number, and so does all that it is part of.
func (s sheet) at(key string, n float64) term {
	x, ok := s[key]
	if !ok {
		return term{math.NaN(), 0, []string{key}, false}
	}
	return term{FitOf(x.Points).At(n), n / x.Most(), []string{key}, x.Wall}
}

// rise is what a slope adds from nothing on.
func (s sheet) rise(key string, n float64) term {
	a, base := s.at(key, n), s.at(key, 0)
	a.value -= base.value
	return a
}

// daySeconds are those over which a day's events are spread.
const daySeconds = 86400.0

const (
	byWatch    = "each node asks discovery, a call held for 1.2 s"
	byFile     = "a file and SIGHUP for each process, read whole"
	byMesh     = "links between all members of a peers file"
	byEach     = "the module looks at each backend for a request"
	byTenant   = "sums kept as requests come, tenants by a sorted order of names"
	byRing     = "a ring on disk, here before 30 backends"
	byMissing  = "missing"
	byPlane    = "the control plane tells differences in its place: section 6"
	byListing  = "the list told whole at a start"
	byNode     = "one process"
	byAgent    = "one look at each instance a second"
	notPlanned = "none stated"
)

// Costs are a target's, role by role and event by event.
func Costs(slopes []*Slope, t *Target) (all []Cost) {
	s := sheet{}
	for _, x := range slopes {
		s[x.Key] = x
	}
	role, event := "", ""
	add := func(what string, v term, unit string, limit float64, mechanism string) {
		all = append(all, Cost{role, event, what, unit, v.value, limit, v.factor, strings.Join(dedup(v.keys), ", "), mechanism, v.wall})
	}
	rate := t.Requests / t.Nodes
	line := s.at("node.change.bytes", t.Backends)
	lineCPU := s.at("node.change.cpu", t.Backends)
	listLines := t.Day.Failures*t.Assumed.FailureLines + t.Day.Restarts*t.Assumed.RestartLines
	share := t.Backends / (t.Backends + t.Nodes) // of the machines that are backends
	settings, reading := s.at("settings.bytes", t.Tenants), s.at("settings.cpu", t.Tenants)
	list, listCPU := s.at("list.bytes", t.Backends), s.at("list.cpu", t.Backends)
	zone, zoneNodes := t.Backends/t.Zones, t.Nodes/t.Zones
	own := t.Backends / t.Services
	core := t.Limit.Core * 1e3 // ms a second

	role, event = "a node, control", "quiet"
	add("memory: backends, tenants", s.at("start.backends.rss", t.Backends).plus(s.rise("start.tenants.rss", t.Tenants)), "MB", t.Limit.MemoryMB, byNode)
	add("watch on discovery, both ways", s.at("node.bytes", t.Backends), "B/s", t.Limit.Bytes, byWatch)
	add("watch on discovery, processor time", s.at("node.cpu", t.Backends), "ms/s", core, byWatch)
	add("links to all other members, sent", s.at("links.bytes", t.Nodes), "B/s", t.Limit.Bytes, byMesh)
	add("links to all other members, processor time", s.at("links.cpu", t.Nodes), "ms/s", core, byMesh)
	add("links within a group of 5, sent", s.at("links.bytes", 5), "B/s", t.Limit.Bytes, byMesh)
	event = "a day's changes of configuration"
	add("settings got, whole each time", settings.times(t.Day.Changes/daySeconds), "B/s", t.Limit.Bytes, byFile)
	add("settings read, whole each time", reading.times(t.Day.Changes/daySeconds), "ms/s", core, byFile)
	event = "one change of configuration"
	add("seconds on the wire at the node's rate", settings.times(1/t.Limit.Bytes), "s", t.Limit.InForce, byFile)
	add("seconds of reading at the node's share of a core", reading.times(1/core), "s", t.Limit.InForce, byFile)
	add("processor time of a real node for it, seconds at its share of a core", s.at("reload.cpu", t.Tenants).times(1/core), "s", t.Limit.InForce, byFile)
	add("most memory of a real node meanwhile", s.at("start.backends.rss", t.Backends).plus(s.rise("reload.peak", t.Tenants)), "MB", t.Limit.MemoryMB, byFile)
	event = "failures and restarts of a day"
	add("changes of the list, got", line.times(listLines*share/daySeconds), "B/s", t.Limit.Bytes, byWatch)
	add("changes of the list, processor time", lineCPU.times(listLines*share/daySeconds), "ms/s", core, byWatch)
	event = "a rack goes"
	add("seconds to hear of it at the node's rate", s.at("list.bytes", t.Assumed.Rack).times(1/t.Limit.Bytes), "s", t.Limit.InForce, byWatch)
	event = "a zone goes"
	add("seconds to hear of it at the node's rate", s.at("node.zone.bytes", t.Backends).times(12/t.Zones/t.Limit.Bytes), "s", t.Limit.InForce, byWatch)
	add("processor time for it, seconds at the node's share of a core", s.at("node.zone.cpu", t.Backends).times(12/t.Zones/core), "s", t.Limit.InForce, byWatch)
	event = "start"
	add("start to ready, by backends and tenants", s.at("start.backends.ready", t.Backends).plus(s.rise("start.tenants.ready", t.Tenants)).times(1e-3),
		"s", t.Limit.Ready, byNode)
	add("seconds of list and settings at the node's rate", list.plus(settings).times(1/t.Limit.Bytes), "s", t.Limit.Ready, byListing+"; "+byFile)
	event = "its region alone for an hour, and back"
	add("seconds of missed changes of the list at the node's rate", s.at("list.bytes", listLines*share/24).times(1/t.Limit.Bytes), "s", t.Limit.InForce, byWatch)
	add("seconds of the settings at the node's rate, once", settings.times(1/t.Limit.Bytes), "s", t.Limit.InForce, byFile)

	role, event = "a node, requests", "peak"
	add("added for 99 in 100, all backends in one list", s.at("added.64.backends.99", t.Backends), "ms", t.Limit.AddedMs, byEach)
	add("added for 99 in 100, by tenants", s.at("added.64.tenants.99", t.Tenants), "ms", t.Limit.AddedMs, byTenant)
	add("added for 99 in 100, one service's backends, few tenants", s.at("added.64.backends.99", own), "ms", t.Limit.AddedMs, byEach)
	add("a request decided, all backends in one list", s.at("module.backends.decided", t.Backends).times(1e-3), "ms", t.Limit.AddedMs, byEach)
	add("a request decided, by tenants (200 backends)", s.at("module.tenants.decided", t.Tenants).times(1e-3), "ms", t.Limit.AddedMs, byTenant)
	add("processor time, all backends in one list", s.at("added.64.backends.cpu", t.Backends).times(rate/1e3), "ms/s", 0, byEach)
	add("processor time, by tenants", s.at("added.64.tenants.cpu", t.Tenants).times(rate/1e3), "ms/s", 0, byTenant)
	add("processor time, one service's backends, few tenants", s.at("added.64.backends.cpu", own).times(rate/1e3), "ms/s", 0, byEach)
	add("1,000 connections of clients, memory", s.rise("connections.rss", 1000), "MB", 0, byNode)
	add("1,000 requests that wait, memory", s.rise("waiting.rss", 1000), "MB", 0, byNode)
	event = "ten times the peak"
	add("added for 99 in 100, all backends in one list", s.at("added.640.backends.99", t.Backends), "ms", t.Limit.AddedMs, byEach)
	add("added for 99 in 100, by tenants", s.at("added.640.tenants.99", t.Tenants), "ms", t.Limit.AddedMs, byTenant)
	add("added for 99 in 100, one service's backends, few tenants", s.at("added.640.backends.99", own), "ms", t.Limit.AddedMs, byEach)
	event = "an hour, with capture"
	add("capture on disk", s.rise("capture.bytes", rate*3600).times(1.0/(1<<20)), "MB", 0, byRing)
	add("capture, processor time", s.rise("capture.cpu", rate*3600).times(1.0/3600), "ms/s", 0, byRing)
	event = "a minute, with takeover"
	add("records of requests kept, memory", s.rise("kept.heap", rate*60).times(1.0/(1<<20)), "MB", t.Limit.MemoryMB, "replicated logs, outcomes kept for a minute")

	role, event = "the agent", "quiet"
	add("one node a host, processor time", s.at("agent.cpu", 1), "ms/s", 0, byAgent)
	add("one node a host, memory", s.at("agent.rss", 1), "MB", 0, byAgent)
	add("one for all nodes, processor time", s.at("agent.cpu", t.Nodes), "ms/s", 0, byAgent+"; knows of one host")

	role, event = "discovery's stand-in", "quiet"
	add("calls of all nodes", s.at("watchers.calls", t.Nodes), "1/s", 0, byWatch)
	add("bytes both ways", s.at("watchers.bytes", t.Nodes), "B/s", 0, byWatch)
	add("processor time, with that of the watchers", s.at("watchers.cpu", t.Nodes), "ms/s", 0, byWatch)
	event = "failures and restarts of a day"
	add("bytes told", s.at("watchers.change.bytes", t.Nodes).times(listLines*share/daySeconds), "B/s", 0, byWatch)
	event = "one change"
	add("until the last node has it", s.at("watchers.change.ms", t.Nodes).times(1e-3), "s", t.Limit.InForce, byWatch)
	event = "a zone goes"
	add("bytes told within the time that counts", s.at("list.bytes", zone).times((t.Nodes-zoneNodes)/t.Limit.InForce), "B/s", 0, byWatch)
	event = "a region alone for an hour, and back"
	add("bytes told to its nodes within the time that counts", s.at("list.bytes", listLines*share/24).times(t.Nodes/t.Regions/t.Limit.InForce), "B/s", 0, byWatch)
	event = "all nodes anew"
	add("bytes told within the time to be ready", list.times(t.Nodes/t.Limit.Ready), "B/s", 0, byListing)
	add("processor time of all nodes' reading of it", listCPU.times(t.Nodes*1e-3), "s", 0, byListing)

	role, event = "the control machines", "a day's changes of configuration"
	add("settings told whole to all nodes", settings.times(t.Nodes*t.Day.Changes/daySeconds), "B/s", 0, byPlane)
	add("a machine's part, as many nodes as it has by its share", settings.times(t.Nodes/t.Limit.Machines*t.Day.Changes/daySeconds), "B/s", 0, byPlane)
	event = "one change of configuration"
	add("settings told whole to all nodes within the time", settings.times(t.Nodes/t.Limit.InForce), "B/s", 0, byPlane)

	role, event = "an operator's command", "quiet"
	add("a look at all instances of one agent", s.at("agent.view.ms", t.Nodes).times(1e-3), "s", 0, "pearknot fleet status")
	add("a look at all instances of one agent, bytes", s.at("agent.view", t.Nodes), "B", 0, "pearknot fleet status")
	add("a configuration checked", reading.times(1e-3), "s", 0, "pearknot check")

	role, event = "services", "all of them on each node"
	add("a process a service, memory", s.at("start.backends.rss", own).times(t.Services), "MB", t.Limit.MemoryMB, byMissing)
	add("a process a service, processor time when quiet", s.at("node.cpu", own).times(t.Services), "ms/s", core, byMissing)
	add("a module a service in one process, memory of the modules", s.at("instances.heap", t.Services).times(1.0/(1<<20)), "MB", t.Limit.MemoryMB, byMissing)
	add("a module a service in one process, with the whole list", s.at("start.backends.rss", t.Backends).plus(s.at("instances.heap", t.Services).times(1.0/(1<<20))), "MB", t.Limit.MemoryMB, byMissing)
	add("a module a service in one process, a request decided", s.at("instances.decided", t.Services).times(1e-3), "ms", t.Limit.AddedMs, byMissing)
	add("a part of the list: one service's backends, memory", s.at("start.backends.rss", own), "MB", t.Limit.MemoryMB, byMissing)
	return all
}

func dedup(keys []string) (all []string) {
	for _, k := range keys {
		if !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}

// Missing are the parts of a target that nothing in the program carries.
func Missing(t *Target) []Cost {
	nothing := func(what, role string) Cost {
		return Cost{Role: role, Event: "always", What: what, Value: math.NaN(), Mechanism: byMissing}
	}
	return []Cost{
		nothing("routes: the program knows none", "a node, requests"),
		nothing("services: the program knows one list", "a node, requests"),
	}
}

// Ranked are the costs that pass their limits, worst first: time on the wall among the others.
func Ranked(all []Cost) (over []Cost) {
	for _, c := range all {
		if c.Passes() {
			over = append(over, c)
		}
	}
	slices.SortStableFunc(over, func(a, b Cost) int {
		if a.Share() > b.Share() {
			return -1
		}
		if a.Share() < b.Share() {
			return 1
		}
		return 0
	})
	return over
}
