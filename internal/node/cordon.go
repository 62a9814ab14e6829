package node

import (
	"context"
	"errors"
	"maps"
	"slices"

	"pearknot/balancer"
)

// maxKnownNames limits the number of known backend names. A fleet has several hundred backends at a time, so this covers
// the names of several days of replacements.
const maxKnownNames = 4096

// ErrNeverListed means that a backend has never been on the endpoint list, or so long ago that its name is no longer
// known.
var ErrNeverListed = errors.New("never listed")

// cordonRegistry holds the backend names that the endpoint list has contained at some time, and those that operators have
// cordoned.
type cordonRegistry struct {
	known          map[string]struct{}
	byFirstListing []string // the known names, in the order of their first listing
	cordoned       map[string]bool
	uncordonedAt   map[string]float64 // when each name was uncordoned, in ms; old ones are removed
}

func newCordonRegistry() cordonRegistry {
	return cordonRegistry{known: map[string]struct{}{}, cordoned: map[string]bool{}, uncordonedAt: map[string]float64{}}
}

// setUncordoned records that an operator has put a backend back, and forgets those that were put back longer ago than window,
// in ms.
func (c *cordonRegistry) setUncordoned(name string, now, window float64) {
	delete(c.cordoned, name)
	maps.DeleteFunc(c.uncordonedAt, func(_ string, at float64) bool { return now-at >= window })
	c.uncordonedAt[name] = now
}

// wasUncordonedWithin reports whether an operator has put a backend back within the last window ms.
func (c *cordonRegistry) wasUncordonedWithin(name string, now, window float64) bool {
	at, wasUncordoned := c.uncordonedAt[name]
	return wasUncordoned && now-at < window
}

// addKnown adds a known name. Above maxKnownNames it removes the oldest one that is not cordoned.
func (c *cordonRegistry) addKnown(name string) {
	if _, known := c.known[name]; known {
		return
	}
	if len(c.byFirstListing) >= maxKnownNames {
		oldest := slices.IndexFunc(c.byFirstListing, func(old string) bool { return !c.cordoned[old] })
		if oldest >= 0 {
			delete(c.known, c.byFirstListing[oldest])
			c.byFirstListing = slices.Delete(c.byFirstListing, oldest, oldest+1)
		}
	}
	c.known[name] = struct{}{}
	c.byFirstListing = append(c.byFirstListing, name)
}

// Cordon marks a backend as draining regardless of its state on the endpoint list, or removes that mark. The change is
// processed before the messages in the mailbox. Cordon returns once the balancer has the change, and may be repeated.
// isKnown says that the node's other process knows the name, so that the backend need not have been listed here. For a
// name that neither process knows it returns ErrNeverListed.
func (n *Node) Cordon(ctx context.Context, name string, cordoned, isKnown bool) error {
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		if isKnown {
			n.cordons.addKnown(name)
		}
		done <- n.setCordoned(name, cordoned)
	})
	return n.wait(ctx, done)
}

func (n *Node) setCordoned(name string, cordoned bool) error {
	if _, known := n.cordons.known[name]; !known && !n.cordons.cordoned[name] {
		return ErrNeverListed
	}
	if n.cordons.cordoned[name] == cordoned {
		return nil
	}
	if cordoned {
		n.cordons.cordoned[name] = true
	} else {
		n.cordons.setUncordoned(name, n.now, n.deployment.BalancerConfig.SlowStartWindow)
	}
	if b := n.backends[name]; b != nil {
		// cached: the entry does not come from discovery, so it does not show that the list is watched.
		const complete, cached = false, true
		n.decider.EndpointsChanged(n.now, []balancer.Endpoint{n.balancerEndpoint(b)}, complete, cached)
		n.updateUpstream(b)
	}
	n.log.Info("backend cordon changed", "backend", name, "cordoned", cordoned)
	return nil
}
