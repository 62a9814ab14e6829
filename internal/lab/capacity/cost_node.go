package capacity

const (
	linkGroupSize      = 5.0  // processes per group, where each links only to its own group
	recordsKeptSeconds = 60.0 // how long takeover keeps the records of requests
)

// listChangesPerDay returns the number of changes of the endpoint list in a day.
func (t *Target) listChangesPerDay() float64 {
	return t.Day.Failures*t.Assumed.LinesPerFailure + t.Day.Restarts*t.Assumed.LinesPerRestart
}

// backendShare returns the share of the machines that are backends.
func (t *Target) backendShare() float64 { return t.Backends / (t.Backends + t.Nodes) }

// nodeRequestRate returns the requests per second of one node at the peak.
func (t *Target) nodeRequestRate() float64 { return t.RequestsPerSecond / t.Nodes }

// backendsPerService returns the mean number of backends of a service.
func (t *Target) backendsPerService() float64 { return t.Backends / t.Services }

// nodeCoreMs returns the processor time, in ms per second, that a node may spend on control.
func (t *Target) nodeCoreMs() float64 { return t.Limit.NodeCoreShare * msPerSecond }

func (s *costSheet) addNodeControl() {
	t, core := s.target, s.target.nodeCoreMs()
	s.beginSection(roleNodeControl, eventQuiet)
	memory := s.slopes.at("start.backends.rss", t.Backends).plus(s.slopes.increase("start.tenants.rss", t.Tenants))
	s.add("memory: backends, tenants", memory, "MB", t.Limit.NodeMemoryMB, mechanismProcess)
	s.add("watch on discovery, both ways", s.slopes.at("node.bytes", t.Backends),
		"B/s", t.Limit.NodeBytesPerSecond, mechanismWatch)
	s.add("watch on discovery, processor time", s.slopes.at("node.cpu", t.Backends), "ms/s", core, mechanismWatch)
	s.add("links to all other members, sent", s.slopes.at("links.bytes", t.Nodes),
		"B/s", t.Limit.NodeBytesPerSecond, mechanismMesh)
	s.add("links to all other members, processor time", s.slopes.at("links.cpu", t.Nodes), "ms/s", core, mechanismMesh)
	s.add("links within a group of 5, sent", s.slopes.at("links.bytes", linkGroupSize),
		"B/s", t.Limit.NodeBytesPerSecond, mechanismMesh)
}

// addNodeChanges adds a node's costs of changes of its configuration and of the endpoint list.
func (s *costSheet) addNodeChanges() {
	t, core := s.target, s.target.nodeCoreMs()
	rate, inForce := t.Limit.NodeBytesPerSecond, t.Limit.InForceSeconds
	settings, reading := s.slopes.at("settings.bytes", t.Tenants), s.slopes.at("settings.cpu", t.Tenants)

	s.beginSection(roleNodeControl, eventDayOfChanges)
	s.add("settings got, whole each time", settings.times(t.Day.ConfigChanges/secondsPerDay), "B/s", rate, mechanismFile)
	s.add("settings read, whole each time", reading.times(t.Day.ConfigChanges/secondsPerDay), "ms/s", core, mechanismFile)

	s.beginSection(roleNodeControl, eventConfigChange)
	s.add("seconds on the wire at the node's rate", settings.times(1/rate), "s", inForce, mechanismFile)
	s.add("seconds of reading at the node's share of a core", reading.times(1/core), "s", inForce, mechanismFile)
	s.add("processor time of a real node for it, seconds at its share of a core",
		s.slopes.at("reload.cpu", t.Tenants).times(1/core), "s", inForce, mechanismFile)
	peak := s.slopes.at("start.backends.rss", t.Backends).plus(s.slopes.increase("reload.peak", t.Tenants))
	s.add("most memory of a real node meanwhile", peak, "MB", t.Limit.NodeMemoryMB, mechanismFile)

	s.beginSection(roleNodeControl, eventDayOfFailures)
	changesPerSecond := t.listChangesPerDay() * t.backendShare() / secondsPerDay
	s.add("changes of the list, got", s.slopes.at("node.change.bytes", t.Backends).times(changesPerSecond),
		"B/s", rate, mechanismWatch)
	s.add("changes of the list, processor time", s.slopes.at("node.change.cpu", t.Backends).times(changesPerSecond),
		"ms/s", core, mechanismWatch)

	s.beginSection(roleNodeControl, "a rack goes")
	s.add("seconds to hear of it at the node's rate", s.slopes.at("list.bytes", t.Assumed.RackMachines).times(1/rate),
		"s", inForce, mechanismWatch)

	s.beginSection(roleNodeControl, eventZoneFails)
	s.add("seconds to hear of it at the node's rate", s.slopes.at("node.zone.bytes", t.Backends).times(zonesPerList/t.Zones/rate),
		"s", inForce, mechanismWatch)
	s.add("processor time for it, seconds at the node's share of a core",
		s.slopes.at("node.zone.cpu", t.Backends).times(zonesPerList/t.Zones/core), "s", inForce, mechanismWatch)
}

// addNodeStart adds a node's costs of becoming ready, and of catching up after its region was cut off.
func (s *costSheet) addNodeStart() {
	t, rate := s.target, s.target.Limit.NodeBytesPerSecond
	settings := s.slopes.at("settings.bytes", t.Tenants)

	s.beginSection(roleNodeControl, "start")
	ready := s.slopes.at("start.backends.ready", t.Backends).plus(s.slopes.increase("start.tenants.ready", t.Tenants))
	s.add("start to ready, by backends and tenants", ready.times(secondsPerMs), "s", t.Limit.ReadySeconds, mechanismProcess)
	s.add("seconds of list and settings at the node's rate", s.slopes.at("list.bytes", t.Backends).plus(settings).times(1/rate),
		"s", t.Limit.ReadySeconds, mechanismFullList+"; "+mechanismFile)

	s.beginSection(roleNodeControl, "its region alone for an hour, and back")
	missedChanges := t.listChangesPerDay() * t.backendShare() / hoursPerDay
	s.add("seconds of missed changes of the list at the node's rate", s.slopes.at("list.bytes", missedChanges).times(1/rate),
		"s", t.Limit.InForceSeconds, mechanismWatch)
	s.add("seconds of the settings at the node's rate, once", settings.times(1/rate), "s", t.Limit.InForceSeconds, mechanismFile)
}

func (s *costSheet) addNodeRequests() {
	t, limit := s.target, s.target.Limit.AddedMs
	s.beginSection(roleNodeRequests, "peak")
	s.addAddedLatency("added.64.")
	s.add("a request decided, all backends in one list", s.slopes.at("module.backends.decided", t.Backends).times(msPerUs),
		"ms", limit, mechanismScan)
	s.add("a request decided, by tenants (200 backends)", s.slopes.at("module.tenants.decided", t.Tenants).times(msPerUs),
		"ms", limit, mechanismTenantSums)
	perSecond := t.nodeRequestRate() * msPerUs
	s.add("processor time, all backends in one list", s.slopes.at("added.64.backends.cpu", t.Backends).times(perSecond),
		"ms/s", 0, mechanismScan)
	s.add("processor time, by tenants", s.slopes.at("added.64.tenants.cpu", t.Tenants).times(perSecond),
		"ms/s", 0, mechanismTenantSums)
	s.add("processor time, one service's backends, few tenants",
		s.slopes.at("added.64.backends.cpu", t.backendsPerService()).times(perSecond), "ms/s", 0, mechanismScan)
	s.add("1,000 connections of clients, memory", s.slopes.increase("connections.rss", 1000), "MB", 0, mechanismProcess)
	s.add("1,000 requests that wait, memory", s.slopes.increase("waiting.rss", 1000), "MB", 0, mechanismProcess)
	s.beginSection(roleNodeRequests, "ten times the peak")
	s.addAddedLatency("added.640.")
}

// addAddedLatency adds the latency that a node adds to a request, from the slopes of one request rate.
func (s *costSheet) addAddedLatency(keyPrefix string) {
	t, limit := s.target, s.target.Limit.AddedMs
	s.add("added for 99 in 100, all backends in one list", s.slopes.at(keyPrefix+"backends.99", t.Backends),
		"ms", limit, mechanismScan)
	s.add("added for 99 in 100, by tenants", s.slopes.at(keyPrefix+"tenants.99", t.Tenants), "ms", limit, mechanismTenantSums)
	s.add("added for 99 in 100, one service's backends, few tenants",
		s.slopes.at(keyPrefix+"backends.99", t.backendsPerService()), "ms", limit, mechanismScan)
}

// addNodeRecords adds the costs of a node's records of requests, in captures and for takeover.
func (s *costSheet) addNodeRecords() {
	rate := s.target.nodeRequestRate()
	s.beginSection(roleNodeRequests, "an hour, with capture")
	requests := rate * secondsPerHour
	s.add("capture on disk", s.slopes.increase("capture.bytes", requests).times(megabytesPerByte), "MB", 0, mechanismRing)
	s.add("capture, processor time", s.slopes.increase("capture.cpu", requests).times(1/secondsPerHour), "ms/s", 0, mechanismRing)
	s.beginSection(roleNodeRequests, "a minute, with takeover")
	s.add("records of requests kept, memory", s.slopes.increase("kept.heap", rate*recordsKeptSeconds).times(megabytesPerByte),
		"MB", s.target.Limit.NodeMemoryMB, mechanismTakeover)
}
