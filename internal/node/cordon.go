package node

import (
	"context"
	"errors"
	"slices"

	"pearknot/balancer"
)

// maxKnownNames bounds the names that are remembered. A fleet has several hundred backends at a time, so this covers the
// names of several days of replacements.
const maxKnownNames = 4096

// ErrNeverListed means that the endpoint list has never named a backend, or so long ago that it is forgotten.
var ErrNeverListed = errors.New("never listed")

// cordonedNames holds the names that the endpoint list has contained at some time, and those that operators have
// cordoned.
type cordonedNames struct {
	known          map[string]struct{}
	byFirstListing []string // the known names
	cordoned       map[string]bool
}

func newCordonedNames() cordonedNames {
	return cordonedNames{known: map[string]struct{}{}, cordoned: map[string]bool{}}
}

// add remembers a name. Beyond maxKnownNames it forgets the oldest one that is not cordoned.
func (c *cordonedNames) add(name string) {
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

// Cordon marks a backend as draining, whatever the endpoint list says of it, or ends that. It goes ahead of waiting
// messages, returns once the balancer has the change, and may be repeated. isKnown says that the node's other process
// knows the name, so that the backend need not have been listed here. For a name that is not known at all it returns
// ErrNeverListed.
func (n *Node) Cordon(ctx context.Context, name string, cordoned, isKnown bool) error {
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		if isKnown {
			n.cordons.add(name)
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
		delete(n.cordons.cordoned, name)
	}
	if b := n.backends[name]; b != nil {
		n.setEndpoint(b, b.endpoint)
		// cached: the entry does not come from discovery, so it is no sign that the list is watched.
		const complete, cached = false, true
		n.decider.EndpointsChanged(n.now, []balancer.Endpoint{n.balancerEndpoint(b)}, complete, cached)
	}
	n.log.Info("backend cordon changed", "backend", name, "cordoned", cordoned)
	return nil
}
