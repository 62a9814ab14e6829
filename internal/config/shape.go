package config

import "fmt"

// Shape is the layout of a deployment. It says no more than how its settings must go together: what the node does follows
// from each setting by itself.
type Shape int

const (
	// Pool is a bank of nodes that all clients reach; there may be several zones, and an op may have a second copy out where
	// the settings say so.
	Pool Shape = iota
	// Beside is a node beside each client process: one push of an op at a time, one zone, no price of crossing.
	Beside
)

func (s Shape) String() string {
	return [...]string{"a pool of nodes", "a node beside each client process"}[s]
}

// shape reads which layout the settings are of; without a word of it, as ever, a pool. Settings that are of both are
// refused by the first key that is of the other: half a move would serve under rules that nobody wrote.
func (p *pairs) shape(d *Deployment) Shape {
	s := Shape(optional(p, "domainType", func(path string) int { return p.word(path, "proxy", "mesh") }, int(Pool)))
	if p.err != nil {
		return s
	}
	mixed := func(key, value string) {
		if p.err == nil {
			p.err = fmt.Errorf("setting %s is %s, which is not of domainType %s (%s)", key, value, [...]string{"proxy", "mesh"}[s], s)
		}
	}
	switch {
	case s == Beside && d.Balancer.AllowHedging:
		mixed("bounds.secondCopies", fmt.Sprint(d.Balancer.AllowHedging))
	case s == Beside && len(d.Zones) != 1:
		mixed("zones", fmt.Sprint(d.Zones))
	case s == Beside && d.Balancer.CrossZoneCost != 0:
		mixed("prices.crossZone", fmt.Sprint(d.Balancer.CrossZoneCost))
	}
	return s
}
