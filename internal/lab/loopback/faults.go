package loopback

import (
	"context"
	"fmt"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
)

// runFaultSchedule applies the scheduled transitions at their times.
func (t *testbed) runFaultSchedule(ctx context.Context) {
	for _, transition := range t.transitions {
		t.sleepUntil(ctx, transition.At)
		if ctx.Err() != nil {
			return
		}
		if err := t.applyTransition(ctx, transition); err != nil {
			t.reportFailure(err)
			return
		}
	}
}

// applyTransition begins or ends a fault. Kinds that aren't handled here take effect only through the fault state, which the workload
// and the simulated network query.
func (t *testbed) applyTransition(ctx context.Context, transition faults.Transition) error {
	t.mu.Lock()
	t.faults.Apply(transition)
	t.mu.Unlock()
	kind := t.experiment.Faults[transition.Index].Kind
	for _, target := range transition.Targets {
		var err error
		switch kind {
		case experiment.FaultNodeCrash, experiment.FaultQuiesce, experiment.FaultUpgrade:
			err = t.applyNodeFault(ctx, t.nodes[target], kind, transition.On)
		case experiment.FaultCordon:
			err = t.setCordoned(t.backends[target], transition.On)
		default:
			err = t.applyBackendFault(ctx, t.backends[target], kind, transition.On)
		}
		if err != nil {
			return err
		}
	}
	switch kind {
	case experiment.FaultZonePartition:
		return t.updatePartitions()
	case experiment.FaultListDown:
		t.discovery.wakeWatches()
	}
	return nil
}

// applyNodeFault begins or ends a fault on one node.
func (t *testbed) applyNodeFault(ctx context.Context, n *node, kind string, on bool) error {
	switch kind {
	case experiment.FaultNodeCrash:
		if on {
			n.kill()
		} else if !n.isReady() {
			t.wg.Go(func() { t.restartNode(ctx, n) })
		}
	case experiment.FaultQuiesce:
		return n.setQuiesced(on)
	case experiment.FaultUpgrade:
		if on {
			return n.upgrade()
		}
	}
	return nil
}

// restartNode starts a node that was killed, with an endpoint list that was already stale when the node was killed.
func (t *testbed) restartNode(ctx context.Context, n *node) {
	if err := n.start(n.diedAt - t.experiment.EndpointList.StaleByMs); err != nil && ctx.Err() == nil {
		t.reportFailure(err)
	}
}

// applyBackendFault begins or ends a fault on one backend.
func (t *testbed) applyBackendFault(ctx context.Context, b *backend, kind string, on bool) error {
	switch kind {
	case experiment.FaultSwallow, experiment.FaultErrors, experiment.FaultSlow, experiment.FaultPauses, experiment.FaultWrongReports:
		b.updateFaults()
	case experiment.FaultCrash, experiment.FaultMachineLoss:
		if !on {
			return t.restartBackend(b)
		}
		t.crashBackend(b, kind == experiment.FaultMachineLoss)
	case experiment.FaultScaleDown:
		if !on {
			return t.restartBackend(b)
		}
		t.drainBackend(ctx, b)
	case experiment.FaultScaleUp:
		if on {
			return t.restartBackend(b)
		}
	}
	return nil
}

// updatePartitions partitions the backends' listeners from the zones that can't reach them now, and reconnects the others.
func (t *testbed) updatePartitions() error {
	for _, b := range t.backends {
		for _, listener := range b.listeners {
			t.mu.Lock()
			isPartitioned := t.faults.IsPartitioned(listener.zone, b.zone)
			t.mu.Unlock()
			if isPartitioned == listener.isPartitioned {
				continue
			}
			if err := listener.setPartitioned(isPartitioned); err != nil {
				return err
			}
		}
	}
	return nil
}

// setCordoned makes all nodes cordon or uncordon a backend. For the auditor, a node that confirms a cordon has been notified of a drain.
func (t *testbed) setCordoned(b *backend, cordoned bool) error {
	command, state := "uncordon", balancer.BackendReady
	if cordoned {
		command, state = "cordon", balancer.BackendDraining
	}
	for _, n := range t.nodes {
		notified := invariants.Event{Kind: invariants.EndpointNotified, Node: n.number, Backend: b.number, State: state, ByOperator: true}
		// A node may use the backend again before its reply is read here, but must not use a cordoned one after its reply.
		if !cordoned {
			t.recordEvent(notified)
		}
		if err := n.callAdmin(fmt.Sprintf("%s %s", command, b.name())); err != nil {
			return err
		}
		if cordoned {
			t.recordEvent(notified)
		}
	}
	return nil
}

// crashBackend stops a backend that is up, and reports it as removed to the discovery service. If silent, its machine is lost too.
func (t *testbed) crashBackend(b *backend, silent bool) {
	if !b.status().isUp {
		return
	}
	b.stop(silent)
	t.discovery.update(b, balancer.BackendRemoved)
}

// restartBackend starts a backend that is down or draining. One that crashed from overload stays down.
func (t *testbed) restartBackend(b *backend) error {
	status := b.status()
	if status.isOverloaded || status.isUp && !status.isDraining {
		return nil
	}
	if status.isUp {
		b.stop(false)
	}
	if err := b.start(false); err != nil {
		return err
	}
	t.discovery.update(b, balancer.BackendReady)
	return nil
}

// drainBackend shuts a backend down gracefully: it is listed as draining, and stops after the notice period unless it was restarted
// meanwhile.
func (t *testbed) drainBackend(ctx context.Context, b *backend) {
	if !b.beginDrain() {
		return
	}
	t.discovery.update(b, balancer.BackendDraining)
	t.wg.Go(func() {
		sleep(ctx, milliseconds(t.experiment.EndpointList.DrainNoticeMs))
		if status := b.status(); status.isUp && status.isDraining && ctx.Err() == nil {
			b.stop(false)
			t.discovery.update(b, balancer.BackendRemoved)
		}
	})
}
