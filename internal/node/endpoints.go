package node

import (
	"fmt"
	"hash/fnv"

	"pearknot/balancer"
	"pearknot/internal/discovery"
	"pearknot/internal/upstream"
)

// backend is a backend that the endpoint list has named and that the balancer still tracks.
type backend struct {
	*balancer.Backend
	endpoint discovery.Endpoint
	upstream *upstream.Backend // its connections; nil once the endpoint is removed
}

// dropObserver is a decider that needs to know when the node forgets a backend, such as the recorder of a capture.
type dropObserver interface {
	BackendForgotten(b *balancer.Backend)
}

// EndpointsChanged takes a new endpoint list, or changes to the one that the node has.
func (n *Node) EndpointsChanged(list *discovery.List) {
	n.mailbox.Put(func() { n.applyEndpoints(list, fromDiscovery) })
}

// PollFailed takes a failed poll of the endpoint list. A node that has a cached list becomes ready by it.
func (n *Node) PollFailed() {
	n.mailbox.Put(func() {
		n.decider.PollFailed(n.now)
		n.markReady()
	})
}

// listSource is where an endpoint list comes from.
type listSource bool

const (
	fromDiscovery listSource = false // a new list, or changes to one
	fromCache     listSource = true  // the list that the node, or the process before it, has had before
)

// applyEndpoints brings the backends in line with an endpoint list and passes it to the balancer.
func (n *Node) applyEndpoints(list *discovery.List, source listSource) {
	changes, listed := n.applyListedEndpoints(list)
	if list.Complete {
		n.removeUnlisted(listed)
	}
	n.decider.EndpointsChanged(n.now, changes, list.Complete, bool(source))
	n.forgetRemovedBackends()
	n.hasEndpoints, n.endpointsVersion = true, list.Version
	n.log.Debug("endpoint list applied", "version", list.Version, "complete", list.Complete, "endpoints", len(changes))
	// A watch reports the current state as soon as it is connected. A backend that is ready by the cached list may be
	// draining by now, so a node with a watch is ready only once the watch has reported, or has failed (PollFailed).
	if source == fromDiscovery || n.deployment.BalancerConfig.PollEndpoints {
		n.markReady()
	}
}

// applyListedEndpoints applies the list's entries in order. It returns them as the balancer gets them, and the
// backends that they name.
func (n *Node) applyListedEndpoints(list *discovery.List) ([]balancer.Endpoint, map[*backend]bool) {
	changes := make([]balancer.Endpoint, 0, len(list.Endpoints))
	listed := map[*backend]bool{}
	for _, endpoint := range list.Endpoints {
		b := n.backends[endpoint.Name]
		if b == nil && (endpoint.State == balancer.BackendRemoved || endpoint.Invalid != 0) {
			continue // nothing to remove, or unknown and not completely readable
		}
		if b == nil {
			b = n.addBackend(endpoint)
		}
		if endpoint.Invalid != 0 {
			endpoint = endpoint.MergeInto(b.endpoint)
		}
		if list.Complete && listed[b] {
			// Entries of a list of changes are in order, and the last one counts. A complete list has no order:
			// of two entries for a backend, neither may hide that the other calls it draining or newly started.
			endpoint.State = min(endpoint.State, b.endpoint.State)
			endpoint.Started = max(endpoint.Started, b.endpoint.Started)
		}
		listed[b] = true
		n.cordons.add(endpoint.Name)
		n.setEndpoint(b, endpoint)
		changes = append(changes, n.balancerEndpoint(b))
	}
	return changes, listed
}

func (n *Node) addBackend(endpoint discovery.Endpoint) *backend {
	b := &backend{Backend: &balancer.Backend{ID: backendID(endpoint.Name)}}
	n.backends[endpoint.Name] = b
	n.backendOf[b.Backend] = b
	n.log.Info("backend discovered", "backend", endpoint.Name, "id", fmt.Sprintf("%x", b.ID), "address", endpoint.Address)
	return b
}

// removeUnlisted marks the backends that a complete list does not name as removed.
func (n *Node) removeUnlisted(listed map[*backend]bool) {
	for _, b := range n.backends {
		if !listed[b] {
			endpoint := b.endpoint
			endpoint.State = balancer.BackendRemoved
			n.setEndpoint(b, endpoint)
		}
	}
}

// forgetRemovedBackends forgets removed backends once the balancer does not track them any more.
func (n *Node) forgetRemovedBackends() {
	for name, b := range n.backends {
		if b.IsTracked() || b.endpoint.State != balancer.BackendRemoved {
			continue
		}
		b.closeUpstream()
		delete(n.backends, name)
		delete(n.backendOf, b.Backend)
		if observer, ok := n.decider.(dropObserver); ok {
			observer.BackendForgotten(b.Backend)
		}
	}
}

// markReady lets requests be routed by the endpoint list, if there is one.
func (n *Node) markReady() {
	if n.hasEndpoints && !n.isReady {
		n.isReady = true
		close(n.ready)
	}
}

// balancerEndpoint is a backend's entry as the balancer gets it: what the list says, and whether an operator
// has cordoned it.
func (n *Node) balancerEndpoint(b *backend) balancer.Endpoint {
	endpoint := b.endpoint
	return balancer.Endpoint{
		Backend:  b.Backend,
		State:    endpoint.State,
		Zone:     endpoint.Zone,
		Cell:     endpoint.Cell,
		Kind:     endpoint.Kind,
		Weight:   endpoint.Weight,
		Started:  endpoint.Started,
		Cordoned: n.cordons.cordoned[endpoint.Name],
	}
}

// setEndpoint sets a backend's entry and opens or closes its connections. It is called before the balancer learns of the
// entry, so b.State is the former state. Where a removal is only a hint, a removed backend keeps its connections until
// the balancer forgets it, unless it was draining.
func (n *Node) setEndpoint(b *backend, endpoint discovery.Endpoint) {
	b.endpoint = endpoint
	switch {
	case endpoint.State != balancer.BackendRemoved:
		if b.upstream == nil {
			b.upstream = upstream.NewBackend(endpoint.Name, n.upstreamConfig)
		}
		b.upstream.Update(endpoint.Address, endpoint.State == balancer.BackendReady && !n.cordons.cordoned[endpoint.Name])
	case b.State == balancer.BackendDraining || !n.deployment.BalancerConfig.RemovalIsHint:
		b.closeUpstream()
	}
}

// closeUpstream closes the backend's connections.
func (b *backend) closeUpstream() {
	if b.upstream != nil {
		b.upstream.Close()
		b.upstream = nil
	}
}

// backendID is the number by which the balancer knows a backend. It is the same at every node.
func backendID(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64() >> 16
}
