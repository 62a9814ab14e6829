package invariants

import "pearknot/balancer"

// The rule DrainRespected: a node that was notified of a drain or a removal starts no attempt at that backend after the
// drain grace. A backend that never started or is retired gets no attempts at all.

// drainNoticeID identifies what forbids a node's attempts at a backend. The endpoint list and operators speak apart: a backend
// that the list calls ready stays cordoned, and one that is uncordoned stays draining if the list says so.
type drainNoticeID struct {
	nodeBackend
	byOperator bool
}

// drainNotified records the time from which a node must respect a drain. A further notice does not extend the grace. With
// Config.RemovalNotBinding, a removal without a preceding drain is not recorded.
func (a *Auditor) drainNotified(e Event) {
	id := drainNoticeID{nodeBackend{e.Node, e.Backend}, e.ByOperator}
	if e.State == balancer.BackendReady {
		delete(a.drainNotices, id)
		return
	}
	if e.State == balancer.BackendRemoved && a.config.RemovalNotBinding {
		return
	}
	if _, notified := a.drainNotices[id]; !notified {
		a.drainNotices[id] = e
	}
}

func (a *Auditor) checkDrain(e Event) {
	for _, byOperator := range []bool{false, true} {
		notice, notified := a.drainNotices[drainNoticeID{nodeBackend{e.Node, e.Backend}, byOperator}]
		if notified && e.At > notice.At+a.config.DrainGrace+a.config.Tolerance {
			a.addViolation(DrainRespected, []Event{notice, e}, "backend %d got a push from node %d %.1f ms after that node was told", e.Backend,
				e.Node, e.At-notice.At)
			return
		}
	}
}
