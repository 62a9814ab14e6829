package node

import (
	"fmt"
	"hash/fnv"

	"pearknot/balancer"
	"pearknot/internal/discovery"
	"pearknot/internal/upstream"
)

// backend is a backend from the endpoint list that the balancer still tracks.
type backend struct {
	*balancer.Backend
	endpoint discovery.Endpoint
	upstream *upstream.Backend // its connections; nil once they are closed after a removal, see setEndpoint
}

// forgottenBackendObserver is implemented by a decider that has to be notified when the node forgets a backend, such as
// the recorder of a capture.
type forgottenBackendObserver interface {
	BackendForgotten(b *balancer.Backend)
}

// EndpointsChanged passes a new endpoint list, or changes to the current one, to the node.
func (n *Node) EndpointsChanged(list *discovery.List) {
	n.mailbox.Put(func() { n.applyEndpoints(list, fromDiscovery) })
}

// PollFailed notifies the node of a failed poll of the endpoint list. A node that has only a cached list so far
// becomes ready with it, since no newer one is to be had.
func (n *Node) PollFailed() {
	n.mailbox.Put(func() {
		n.decider.PollFailed(n.now)
		n.markReady()
	})
}

// listSource is the source of an endpoint list.
type listSource bool

const (
	fromDiscovery listSource = false // a new list, or changes to one
	fromCache     listSource = true  // a stored list that this process, or the node's process before it, had received
)

// applyEndpoints updates the backends from an endpoint list and passes the list to the balancer.
func (n *Node) applyEndpoints(list *discovery.List, source listSource) {
	changes, listed := n.applyListedEndpoints(list)
	if list.Complete {
		n.removeUnlisted(listed)
	}
	n.decider.EndpointsChanged(n.now, changes, list.Complete, bool(source))
	n.forgetRemovedBackends()
	if list.Complete {
		n.updateAllUpstreams()
	} else {
		n.updateUpstreams(listed)
	}
	n.hasEndpoints, n.endpointsVersion = true, list.Version
	n.log.Debug("endpoint list applied", "version", list.Version, "complete", list.Complete, "endpoints", len(changes))
	// A watch reports the current state as soon as it is connected. A backend that is ready in the cached list may be
	// draining by now, so a node with a watch becomes ready only when the watch has reported or failed (PollFailed). A
	// node that polls becomes ready with the cached list at once.
	if source == fromDiscovery || n.deployment.BalancerConfig.PollEndpoints {
		n.markReady()
	}
}

// applyListedEndpoints applies the list's entries in order. It returns them in the balancer's form, and the backends
// that they name.
func (n *Node) applyListedEndpoints(list *discovery.List) ([]balancer.Endpoint, map[*backend]bool) {
	changes := make([]balancer.Endpoint, 0, len(list.Endpoints))
	listed := map[*backend]bool{}
	for _, endpoint := range list.Endpoints {
		b := n.backends[endpoint.Name]
		if b == nil && (endpoint.State == balancer.BackendRemoved || endpoint.Invalid != 0) {
			continue // not known, and either removed or partly invalid
		}
		if b == nil {
			b = n.addBackend(endpoint)
		}
		if endpoint.Invalid != 0 {
			endpoint = endpoint.MergeInto(b.endpoint)
		}
		if list.Complete && listed[b] {
			// In a list of changes the entries are ordered, and the last one applies. A complete list is unordered, so
			// of two entries for a backend, the more cautious value of each field applies: draining before ready (the
			// states are ordered so that min yields it), and the later start time.
			endpoint.State = min(endpoint.State, b.endpoint.State)
			endpoint.Started = max(endpoint.Started, b.endpoint.Started)
		}
		if endpoint.State == balancer.BackendRemoved { // the entry need not have an address
			endpoint.Address = b.endpoint.Address
		}
		listed[b] = true
		n.cordons.addKnown(endpoint.Name)
		b.setEndpoint(endpoint)
		changes = append(changes, n.earlierCordon(b)...)
		changes = append(changes, n.balancerEndpoint(b))
	}
	return changes, listed
}

// earlierCordon returns the entry of the cordon that an operator has lately ended, if the balancer does not track the
// backend and so has not seen it: the backend left the list meanwhile, or the balancer was started anew. It precedes the
// present entry, so that the backend is in slow start as after any cordon.
func (n *Node) earlierCordon(b *backend) []balancer.Endpoint {
	window := n.deployment.BalancerConfig.SlowStartWindow
	if b.IsTracked() || !n.cordons.wasUncordonedWithin(b.endpoint.Name, n.now, window) {
		return nil
	}
	entry := n.balancerEndpoint(b)
	entry.Cordoned = true
	return []balancer.Endpoint{entry}
}

func (n *Node) addBackend(endpoint discovery.Endpoint) *backend {
	b := &backend{Backend: &balancer.Backend{ID: backendID(endpoint.Name)}}
	n.backends[endpoint.Name] = b
	n.backendOf[b.Backend] = b
	n.log.Info("backend discovered", "backend", endpoint.Name, "id", fmt.Sprintf("%x", b.ID), "address", endpoint.Address)
	return b
}

// removeUnlisted marks the backends that are not in listed as removed.
func (n *Node) removeUnlisted(listed map[*backend]bool) {
	for _, b := range n.backends {
		if !listed[b] {
			b.endpoint.State = balancer.BackendRemoved
		}
	}
}

// currentEndpoints returns the endpoint list as a complete one. Its Endpoints are not nil.
func (n *Node) currentEndpoints() discovery.List {
	list := discovery.List{Version: n.endpointsVersion, Complete: true, Endpoints: []discovery.Endpoint{}}
	for _, b := range n.backends {
		if b.endpoint.State != balancer.BackendRemoved {
			list.Endpoints = append(list.Endpoints, b.endpoint)
		}
	}
	return list
}

// removedEndpoints returns the backends that the list has lately removed without forbidding attempts there: those that are
// used while it is doubted, or would be if they were not cordoned.
func (n *Node) removedEndpoints() (removed []discovery.Endpoint) {
	for _, b := range n.backends {
		isUsedInDoubt := !b.IsForbiddenByList(n.deployment.BalancerConfig.RemovalIsHint)
		if b.IsTracked() && b.endpoint.State == balancer.BackendRemoved && isUsedInDoubt {
			removed = append(removed, b.endpoint)
		}
	}
	return removed
}

// restoreRemovals makes the balancer doubt the list as the one before it did, after the current list has been applied. A
// balancer that has not taken over the state of the one before it is notified that the backends were ready, and then that
// they were removed: without the removal of a ready backend there is no doubt.
func (n *Node) restoreRemovals(removed []discovery.Endpoint) {
	if len(removed) == 0 {
		return
	}
	var changes []balancer.Endpoint
	for _, endpoint := range removed {
		b := n.backends[endpoint.Name]
		if b == nil {
			b = n.addBackend(endpoint)
		}
		if b.endpoint.State != balancer.BackendRemoved { // the list has it again
			continue
		}
		b.setEndpoint(endpoint)
		n.cordons.addKnown(endpoint.Name)
		if !b.IsTracked() {
			wasReady := n.balancerEndpoint(b)
			wasReady.State, wasReady.Cordoned = balancer.BackendReady, false
			changes = append(changes, wasReady, n.balancerEndpoint(b))
		}
	}
	if len(changes) > 0 {
		const complete, cached = false, true
		n.decider.EndpointsChanged(n.now, changes, complete, cached)
	}
	n.updateAllUpstreams()
}

// forgetRemovedBackends deletes the removed backends that the balancer no longer tracks.
func (n *Node) forgetRemovedBackends() {
	for name, b := range n.backends {
		if b.IsTracked() || b.endpoint.State != balancer.BackendRemoved {
			continue
		}
		b.closeUpstream()
		delete(n.backends, name)
		delete(n.backendOf, b.Backend)
		if observer, ok := n.decider.(forgottenBackendObserver); ok {
			observer.BackendForgotten(b.Backend)
		}
	}
}

// markReady marks the node as ready to route requests, if it has an endpoint list.
func (n *Node) markReady() {
	if n.hasEndpoints && !n.isReady {
		n.isReady = true
		close(n.ready)
	}
}

// balancerEndpoint returns a backend's entry in the balancer's form: its listed endpoint and whether an operator has
// cordoned it.
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

// setEndpoint sets a backend's entry. Connections to an earlier process of the backend are not used again.
func (b *backend) setEndpoint(endpoint discovery.Endpoint) {
	hasRestarted := endpoint.Started > b.endpoint.Started
	b.endpoint = endpoint
	if hasRestarted && b.upstream != nil {
		b.upstream.Restarted()
	}
}

// updateAllUpstreams is updateUpstream for all backends.
func (n *Node) updateAllUpstreams() {
	for _, b := range n.backends {
		n.updateUpstream(b)
	}
}

// updateUpstreams is updateUpstream for those of the backends that the node has not forgotten.
func (n *Node) updateUpstreams(backends map[*backend]bool) {
	for b := range backends {
		if n.backends[b.endpoint.Name] == b {
			n.updateUpstream(b)
		}
	}
}

// updateUpstream makes a backend's connections follow what the balancer has recorded of it. A backend that is withdrawn
// starts no further attempt, not even one that the balancer has decided on before and that waits for a connection or for the
// request log; idle connections are closed. Of a removed one that is withdrawn all connections are closed, once their
// attempts have ended. It is called after the balancer has been notified.
func (n *Node) updateUpstream(b *backend) {
	isWithdrawn := b.IsWithdrawn(n.deployment.BalancerConfig.RemovalIsHint)
	switch {
	case b.State == balancer.BackendRemoved && isWithdrawn:
		b.closeUpstream()
		return
	case b.endpoint.Address == "": // removed before this process could learn its address
		return
	case b.upstream == nil:
		b.upstream = upstream.NewBackend(b.endpoint.Name, n.upstreamConfig)
	}
	b.upstream.Update(b.endpoint.Address, !isWithdrawn)
}

// closeUpstream closes the backend's connections.
func (b *backend) closeUpstream() {
	if b.upstream != nil {
		b.upstream.Close()
		b.upstream = nil
	}
}

// backendID returns the number that identifies a backend in the balancer. It is the same at every node.
func backendID(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64() >> 16
}
