package capacity

func (s *costSheet) addAgent() {
	s.beginSection("the agent", eventQuiet)
	s.add("one node a host, processor time", s.slopes.at("agent.cpu", 1), "ms/s", 0, mechanismAgentPoll)
	s.add("one node a host, memory", s.slopes.at("agent.rss", 1), "MB", 0, mechanismAgentPoll)
	s.add("one for all nodes, processor time", s.slopes.at("agent.cpu", s.target.Nodes),
		"ms/s", 0, mechanismAgentPoll+"; knows of one host")
}

func (s *costSheet) addDiscovery() {
	const role = "discovery's stand-in"
	t := s.target
	list := s.slopes.at("list.bytes", t.Backends)
	listChanges := t.listChangesPerDay() * t.backendShare()

	s.beginSection(role, eventQuiet)
	s.add("calls of all nodes", s.slopes.at("watchers.calls", t.Nodes), "1/s", 0, mechanismWatch)
	s.add("bytes both ways", s.slopes.at("watchers.bytes", t.Nodes), "B/s", 0, mechanismWatch)
	s.add("processor time, with that of the watchers", s.slopes.at("watchers.cpu", t.Nodes), "ms/s", 0, mechanismWatch)

	s.beginSection(role, eventDayOfFailures)
	s.add("bytes told", s.slopes.at("watchers.change.bytes", t.Nodes).times(listChanges/secondsPerDay), "B/s", 0, mechanismWatch)

	s.beginSection(role, "one change")
	s.add("until the last node has it", s.slopes.at("watchers.change.ms", t.Nodes).times(secondsPerMs),
		"s", t.Limit.InForceSeconds, mechanismWatch)

	s.beginSection(role, eventZoneFails)
	backendsLost, nodesLeft := t.Backends/t.Zones, t.Nodes-t.Nodes/t.Zones
	s.add("bytes told within the time that counts",
		s.slopes.at("list.bytes", backendsLost).times(nodesLeft/t.Limit.InForceSeconds), "B/s", 0, mechanismWatch)

	s.beginSection(role, "a region alone for an hour, and back")
	missedChanges, nodesInRegion := listChanges/hoursPerDay, t.Nodes/t.Regions
	s.add("bytes told to its nodes within the time that counts",
		s.slopes.at("list.bytes", missedChanges).times(nodesInRegion/t.Limit.InForceSeconds), "B/s", 0, mechanismWatch)

	s.beginSection(role, "all nodes anew")
	s.add("bytes told within the time to be ready", list.times(t.Nodes/t.Limit.ReadySeconds), "B/s", 0, mechanismFullList)
	s.add("processor time of all nodes' reading of it", s.slopes.at("list.cpu", t.Backends).times(t.Nodes*secondsPerMs),
		"s", 0, mechanismFullList)
}

func (s *costSheet) addControlMachines() {
	const role = "the control machines"
	t := s.target
	settings := s.slopes.at("settings.bytes", t.Tenants)
	s.beginSection(role, eventDayOfChanges)
	s.add("settings told whole to all nodes", settings.times(t.Nodes*t.Day.ConfigChanges/secondsPerDay),
		"B/s", 0, mechanismControlPlane)
	nodesPerMachine := t.Nodes / t.Limit.ControlMachines
	s.add("a machine's part, as many nodes as it has by its share",
		settings.times(nodesPerMachine*t.Day.ConfigChanges/secondsPerDay),
		"B/s", 0, mechanismControlPlane)
	s.beginSection(role, eventConfigChange)
	s.add("settings told whole to all nodes within the time", settings.times(t.Nodes/t.Limit.InForceSeconds),
		"B/s", 0, mechanismControlPlane)
}

func (s *costSheet) addOperatorCommands() {
	t := s.target
	s.beginSection("an operator's command", eventQuiet)
	s.add("a look at all instances of one agent", s.slopes.at("agent.view.ms", t.Nodes).times(secondsPerMs),
		"s", 0, mechanismFleetStatus)
	s.add("a look at all instances of one agent, bytes", s.slopes.at("agent.view", t.Nodes), "B", 0, mechanismFleetStatus)
	s.add("a configuration checked", s.slopes.at("settings.cpu", t.Tenants).times(secondsPerMs), "s", 0, mechanismCheck)
}

// addServices adds the costs of serving all services on each node, for each design that the program could implement.
func (s *costSheet) addServices() {
	t := s.target
	memory, latency := t.Limit.NodeMemoryMB, t.Limit.AddedMs
	ownBackends := t.backendsPerService()
	modules := s.slopes.at("instances.heap", t.Services).times(megabytesPerByte)
	s.beginSection("services", "all of them on each node")
	s.add("a process a service, memory", s.slopes.at("start.backends.rss", ownBackends).times(t.Services),
		"MB", memory, mechanismMissing)
	s.add("a process a service, processor time when quiet", s.slopes.at("node.cpu", ownBackends).times(t.Services),
		"ms/s", t.nodeCoreMs(), mechanismMissing)
	s.add("a module a service in one process, memory of the modules", modules, "MB", memory, mechanismMissing)
	s.add("a module a service in one process, with the whole list", s.slopes.at("start.backends.rss", t.Backends).plus(modules),
		"MB", memory, mechanismMissing)
	s.add("a module a service in one process, a request decided", s.slopes.at("instances.decided", t.Services).times(msPerUs),
		"ms", latency, mechanismMissing)
	s.add("a part of the list: one service's backends, memory", s.slopes.at("start.backends.rss", ownBackends),
		"MB", memory, mechanismMissing)
}
