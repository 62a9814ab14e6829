package config

// Topology is how the nodes of a deployment are laid out. It only says how the settings must go together: what a node does
// follows from each setting by itself.
type Topology int

const (
	// TopologyPool is a pool of nodes that all clients reach. There may be several zones, and hedging may be allowed.
	TopologyPool Topology = iota
	// TopologySidecar is a node beside each client process: no hedging, one zone, no cost of crossing zones.
	TopologySidecar
)

// topologyWords are the values of domainType, by topology.
var topologyWords = [...]string{"proxy", "mesh"}

func (t Topology) String() string {
	return [...]string{"a pool of nodes", "a node beside each client process"}[t]
}

// topology reads the topology, which is a pool by default. If it is a sidecar but another setting belongs to a pool, that setting
// is an error: an operator who has changed only some of the settings would otherwise get a mixture that nobody intended.
func (s *settings) topology(d *Deployment) Topology {
	read := func(path string) int { return s.choice(path, topologyWords[:]...) }
	topology := Topology(optional(s, "domainType", read, int(TopologyPool)))
	if s.err != nil || topology != TopologySidecar {
		return topology
	}
	misfit := func(path string, value any) {
		s.fail(path, "is %v, which is not of domainType %s (%s)", value, topologyWords[topology], topology)
	}
	switch {
	case d.BalancerConfig.AllowHedging:
		misfit("bounds.secondCopies", d.BalancerConfig.AllowHedging)
	case len(d.Zones) != 1:
		misfit("zones", d.Zones)
	case d.BalancerConfig.CrossZoneCost != 0:
		misfit("prices.crossZone", d.BalancerConfig.CrossZoneCost)
	}
	return topology
}
