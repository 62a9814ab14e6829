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

// LearnedState is what a node passes to the process that replaces it.
type LearnedState struct {
	Endpoints        discovery.List // a complete list
	BackendNames     []string       // of the backends in BalancerSnapshot, in their order
	BalancerSnapshot []byte         // empty where the decider has no state to pass on
	KnownNames       []string       // all names that the endpoint list has had
	CordonedNames    []string       // names that operators have cordoned, known or not
}

// LearnedState asks the actor for its state, ahead of other messages. It fails once ctx is done, and after Stop.
func (n *Node) LearnedState(ctx context.Context) (*LearnedState, error) {
	var state *LearnedState
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		n.afterBatch = append(n.afterBatch, func() { // the balancer gives no snapshot while decisions are left to pull
			var err error
			state, err = n.learnedState()
			done <- err
		})
	})
	if err := n.wait(ctx, done); err != nil {
		return nil, err
	}
	return state, nil
}

func (n *Node) learnedState() (*LearnedState, error) {
	state := &LearnedState{
		Endpoints:     discovery.List{Version: n.endpointsVersion, Complete: true},
		KnownNames:    slices.Clone(n.cordons.byFirstListing),
		CordonedNames: slices.Sorted(maps.Keys(n.cordons.cordoned)),
	}
	var backends []*balancer.Backend
	for name, b := range n.backends {
		state.BackendNames = append(state.BackendNames, name)
		backends = append(backends, b.Backend)
		if b.endpoint.State != balancer.BackendRemoved {
			state.Endpoints.Endpoints = append(state.Endpoints.Endpoints, b.endpoint)
		}
	}
	if !n.isReady {
		return state, nil
	}
	// With a recorder around the balancer there is no snapshot: the recorder would not notice that the balancer inside it
	// was restored.
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

// Restore has the node begin with the state of the process before it. It is called before Start. After an error
// the node has the names, and starts with a fresh balancer.
func (n *Node) Restore(state *LearnedState) error {
	for _, name := range state.KnownNames {
		n.cordons.add(name)
	}
	for _, name := range state.CordonedNames {
		n.cordons.cordoned[name] = true
	}
	if len(state.BalancerSnapshot) == 0 {
		return nil
	}
	handoff, err := snapshot.Decode(state.BalancerSnapshot)
	if err != nil {
		return fmt.Errorf("read balancer snapshot: %w", err)
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

// Reconfigure puts another configuration in force. When it returns the balancer has it, and all requests that
// come after get it. Requests that are open keep the one that they came under.
func (n *Node) Reconfigure(ctx context.Context, deployment *config.Deployment) error {
	done := make(chan error, 1)
	n.mailbox.PutFirst(func() {
		formerClasses := make([]int, len(deployment.Classes)) // each class's index before, -1 for a new one
		for i, name := range deployment.Classes {
			formerClasses[i] = slices.Index(n.deployment.Classes, name)
		}
		n.deployment = deployment
		n.decider.ConfigChanged(n.now, deployment.BalancerConfig, formerClasses)
		done <- nil
	})
	return n.wait(ctx, done)
}

// ProcessesChanged tells the balancer how many processes make up the node: two during a hot restart.
func (n *Node) ProcessesChanged(count int) {
	n.mailbox.Put(func() { n.decider.ProcessesChanged(n.now, count) })
}
