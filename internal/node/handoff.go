package node

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/config"
	"pearknot/internal/discovery"
	"pearknot/internal/snapshot"
)

// HandoffState is the state that a node passes to the process that replaces it.
type HandoffState struct {
	Endpoints        discovery.List       // a complete list; its Endpoints are nil only if the node has had no list
	RemovedEndpoints []discovery.Endpoint // that the list has lately removed, and that are used while it is doubted
	BackendNames     []string             // of the backends in BalancerSnapshot, in their order
	BalancerSnapshot []byte               // empty if the decider has no state to hand off
	KnownNames       []string             // backend names that the endpoint list has contained, oldest first
	CordonedNames    []string             // names that operators have cordoned, known or not
}

// HandoffState gets the state from the actor, before the messages in the mailbox. It fails once ctx is done, and after
// Stop.
func (n *Node) HandoffState(ctx context.Context) (*HandoffState, error) {
	var state *HandoffState
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		n.afterBatch = append(n.afterBatch, func() { // the balancer has no snapshot while decisions are pending
			var err error
			state, err = n.handoffState()
			done <- err
		})
	})
	if err := n.wait(ctx, done); err != nil {
		return nil, err
	}
	return state, nil
}

func (n *Node) handoffState() (*HandoffState, error) {
	state := &HandoffState{
		RemovedEndpoints: n.removedEndpoints(),
		KnownNames:       slices.Clone(n.cordons.byFirstListing),
		CordonedNames:    slices.Sorted(maps.Keys(n.cordons.cordoned)),
	}
	if n.hasEndpoints {
		state.Endpoints = n.currentEndpoints()
	}
	var backends []*balancer.Backend
	for name, b := range n.backends {
		state.BackendNames = append(state.BackendNames, name)
		backends = append(backends, b.Backend)
	}
	if !n.isReady {
		return state, nil
	}
	// There is no snapshot if a recorder wraps the balancer: the recorder would not notice that the balancer inside it was
	// restored.
	decider, ok := n.decider.(*balancer.Balancer)
	if !ok {
		return state, nil
	}
	handoff, err := decider.HandoffSnapshot(backends)
	if err != nil {
		return nil, err
	}
	state.BalancerSnapshot = snapshot.Encode(handoff)
	return state, nil
}

// Restore sets the state of the process before this one as the node's initial state. It is called before Start, which
// gets Endpoints. After an error the node has all but the balancer's state, and starts with a new balancer.
func (n *Node) Restore(state *HandoffState) error {
	n.restoredRemovals = state.RemovedEndpoints
	for _, name := range state.KnownNames {
		n.cordons.addKnown(name)
	}
	for _, name := range state.CordonedNames {
		n.cordons.cordoned[name] = true
	}
	if len(state.BalancerSnapshot) == 0 {
		return nil
	}
	handoff, err := snapshot.Decode(state.BalancerSnapshot)
	if err != nil {
		return fmt.Errorf("decode balancer snapshot: %w", err)
	}
	handoff.Now = n.clock.Now()
	decider, _, backends, err := balancer.Restore(n.deployment.BalancerConfig, handoff)
	if err != nil {
		return fmt.Errorf("restore balancer: %w", err)
	}
	if len(backends) != len(state.BackendNames) {
		return snapshot.ErrVersion
	}
	n.decider = decider
	for i, name := range state.BackendNames {
		b := &backend{Backend: backends[i], endpoint: discovery.Endpoint{Name: name}}
		n.backends[name] = b
		n.backendOf[b.Backend] = b
	}
	return nil
}

// Reconfigure applies another configuration. When it returns, the balancer has it, and all requests that arrive later use
// it. Open requests keep the configuration under which they arrived.
func (n *Node) Reconfigure(ctx context.Context, deployment *config.Deployment) error {
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		formerClasses := make([]int, len(deployment.Classes)) // previous index of each class, -1 for a new one
		for i, name := range deployment.Classes {
			formerClasses[i] = slices.Index(n.deployment.Classes, name)
		}
		n.deployment = deployment
		n.decider.ConfigChanged(n.now, deployment.BalancerConfig, formerClasses)
		n.updateAllUpstreams() // whether a removal is a hint may have changed
		done <- nil
	})
	return n.wait(ctx, done)
}

// ProcessesChanged notifies the balancer of the number of processes of the node, which is two during a hot restart.
func (n *Node) ProcessesChanged(count int) {
	n.mailbox.Put(func() { n.decider.ProcessesChanged(n.now, count) })
}
