package node

import (
	"context"
	"maps"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/config"
	"pearknot/internal/discovery"
	"pearknot/internal/snapshot"
)

// Learned is what the node's next process goes on with.
type LearnedState struct {
	List   discovery.List // whole, as the node has it
	Names  []string       // of the backends in Module, in their order
	Module []byte         // empty where the decider has no state to give
	Known  []string       // names that the list has had
	Banned []string       // of them and others, those taken out by hand
}

// Learned asks the actor for it, between two batches.
func (n *Node) LearnedState(ctx context.Context) (l *LearnedState, err error) {
	done := make(chan error, 1)
	n.box.PutFirst(func() {
		n.after = append(n.after, func() { // a module tells its state at a batch's end only
			var err error
			l, err = n.learned()
			done <- err
		})
	})
	if err := n.within(ctx, done); err != nil {
		return nil, err
	}
	return l, nil
}

func (n *Node) learned() (*LearnedState, error) {
	l := &LearnedState{List: discovery.List{Version: n.version, Complete: true}, Known: n.names.order, Banned: slices.Sorted(maps.Keys(n.names.banned))}
	var backends []*balancer.Backend
	for name, b := range n.backends {
		l.Names, backends = append(l.Names, name), append(backends, b.Backend)
		if b.member.State != balancer.BackendRemoved {
			l.List.Endpoints = append(l.List.Endpoints, b.member)
		}
	}
	l.Known = slices.Clone(l.Known)
	if !n.held {
		return l, nil
	}
	module, ok := n.module.(*balancer.Balancer)
	if !ok { // one with a recorder round it would be restored without its knowing
		return l, nil
	}
	s, err := module.HandoffSnapshot(backends)
	if err != nil {
		return nil, err
	}
	l.Module = snapshot.Encode(s)
	return l, nil
}

// Follow has the node begin with what the process before it had learned; it is called before Start. What can't be used of
// it is an error, and the rest is taken.
func (n *Node) Restore(l *LearnedState) error {
	for _, name := range l.Known {
		n.names.listed(name)
	}
	for _, name := range l.Banned {
		n.names.banned[name] = true
	}
	if len(l.Module) == 0 {
		return nil
	}
	s, err := snapshot.Decode(l.Module)
	if err != nil {
		return err
	}
	s.Now = n.clock.Now()
	module, _, backends, err := balancer.Restore(n.told.Balancer, s)
	if err != nil {
		return err
	}
	if len(backends) != len(l.Names) {
		return snapshot.ErrVersion
	}
	n.module = module
	for k, name := range l.Names {
		b := &backend{Backend: backends[k], member: discovery.Endpoint{Name: name}}
		n.backends[name], n.behind[b.Backend] = b, b
	}
	return nil
}

// Retune takes other terms: the module has them, and all ops that come after, when it returns. Ops keep those that they
// came under.
func (n *Node) Reconfigure(ctx context.Context, d *config.Deployment) error {
	done := make(chan error, 1)
	n.box.PutFirst(func() {
		from := make([]int, len(d.Classes))
		for k, name := range d.Classes {
			from[k] = slices.Index(n.told.Classes, name)
		}
		n.told = d
		n.module.ConfigChanged(n.now, d.Balancer, from)
		done <- nil
	})
	return n.within(ctx, done)
}

// Split tells the module of how many processes the node is made up.
func (n *Node) ProcessesChanged(of int) { n.box.Put(func() { n.module.ProcessesChanged(n.now, of) }) }
