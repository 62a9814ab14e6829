package config

// Topology is the arrangement of a deployment's nodes. It only determines which settings are valid together; a node's behavior
// follows from the individual settings.
type Topology int

const (
	// TopologyPool is a pool of nodes that all clients reach. There may be several zones, and hedging may be allowed.
	TopologyPool Topology = iota
	// TopologySidecar is a node beside each client process: no hedging, one zone, no cost of crossing zones.
	TopologySidecar
)

// topologyValues holds the values of domainType by topology.
var topologyValues = [...]string{"proxy", "mesh"}

func (t Topology) String() string {
	return [...]string{"a pool of nodes", "a node beside each client process"}[t]
}

// topology reads the topology, which is a pool by default. In a sidecar, a setting that is valid only for a pool is an error:
// an operator who has changed only some of the settings would otherwise get an unintended mixture of both.
func (s *settings) topology(d *Deployment) Topology {
	read := func(path string) int { return s.choice(path, topologyValues[:]...) }
	topology := Topology(optional(s, "domainType", read, int(TopologyPool)))
	if s.err != nil || topology != TopologySidecar {
		return topology
	}
	rejectPoolSetting := func(path string, value any) {
		s.fail(path, "is %v, which is not of domainType %s (%s)", value, topologyValues[topology], topology)
	}
	switch {
	case d.BalancerConfig.AllowHedging:
		rejectPoolSetting("bounds.secondCopies", d.BalancerConfig.AllowHedging)
	case len(d.Zones) != 1:
		rejectPoolSetting("zones", d.Zones)
	case d.BalancerConfig.CrossZoneCost != 0:
		rejectPoolSetting("prices.crossZone", d.BalancerConfig.CrossZoneCost)
	}
	return topology
}
