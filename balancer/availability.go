package balancer

import "math"

// Availability is what decides whether a backend may be sent attempts at all: its state in the endpoint list, an operator's
// cordon, and whether the list is doubted. The three are recorded separately, since each of them may change while the others
// stay: a list that is wrong does not end a cordon, and a cordon does not make the list right. Everything that sends reads
// them here. The balancer asks isUsable before each attempt. The host asks Backend.IsWithdrawn for the connections that it
// keeps or establishes.
//
// Inputs are the entries of the endpoint list. Times are in ms.

// availability holds what the endpoint list and operators have said of a backend, beside Backend.State.
type availability struct {
	removedAt            float64 // time at which the list removed it
	wasDrained           bool    // the list called it draining, and has not called it ready since
	isCordoned           bool    // an operator has taken it out of service
	cordonedAt           float64 // time at which that last happened
	uncordonedAt         float64 // time at which it was put back; 0 once the list has announced a start later than cordonedAt
	removedWhileCordoned bool    // it was out of service when the list removed it
}

// IsWithdrawn reports whether an operator or the endpoint list forbids new attempts at the backend. One that is not
// withdrawn need not be usable.
func (b *Backend) IsWithdrawn(removalIsHint bool) bool {
	return b.isCordoned || b.IsForbiddenByList(removalIsHint)
}

// IsForbiddenByList reports whether the endpoint list forbids new attempts at the backend: it drains, or it was removed. If
// a removal is only a hint (Config.RemovalIsHint), it forbids nothing unless the backend had drained.
func (b *Backend) IsForbiddenByList(removalIsHint bool) bool {
	if b.State == BackendRemoved {
		return b.wasDrained || !removalIsHint
	}
	return b.State == BackendDraining
}

// isUsable reports whether a backend may be sent attempts: it is not withdrawn, and it is ready, or a list that is doubted
// has lately removed it.
func (lb *Balancer) isUsable(backend *Backend) bool {
	if backend.IsWithdrawn(lb.config.RemovalIsHint) {
		return false
	}
	return backend.State == BackendReady || lb.endpoints.isDoubted && lb.wasLatelyRemoved(backend)
}

// wasLatelyRemoved reports whether the list has removed a backend within the retention.
func (lb *Balancer) wasLatelyRemoved(backend *Backend) bool {
	return backend.State == BackendRemoved && lb.now-backend.removedAt < lb.config.retentionAfterRemoval()
}

// reviewEndpointList decides whether the list is doubted: it is if removals without draining are hints, and more than half of
// the backends that were ready within the retention have been removed. It is unlikely that so many fail at the same time.
// If they really did, failed connects eject each of them.
//
// Operators' calls are no evidence on the list, so that a cordon neither starts nor ends a doubt. Only the removal of a
// backend that is cordoned already is expected, and does not count.
func (lb *Balancer) reviewEndpointList() {
	removed := 0
	total := 0
	for _, backend := range lb.backends {
		isRemoved := lb.wasLatelyRemoved(backend)
		if backend.wasDrained || backend.removedWhileCordoned || !isRemoved && backend.State != BackendReady {
			continue
		}
		total++
		if isRemoved {
			removed++
		}
	}
	lb.endpoints.isDoubted = lb.config.RemovalIsHint && 2*removed > total
}

// UpdateEndpoint records the backend's entry in the endpoint list, and whether an operator has cordoned it.
//
// Three times decide from when on a backend counts as started, for slow start. Started is the start that the list
// announces. cordonedAt and uncordonedAt are when an operator took the backend out of service and put it back. A backend is
// usually restarted while it is out of service, but the list reports that late or never. Therefore uncordonedAt stands in
// for the start until the list announces one later than cordonedAt.
func (b *Backend) UpdateEndpoint(now float64, endpoint Endpoint) {
	switch {
	case endpoint.Cordoned && !b.isCordoned:
		b.cordonedAt = now
	case endpoint.Started > b.cordonedAt: // the list has reported the restart
		b.uncordonedAt = 0
	case b.isCordoned && !endpoint.Cordoned:
		b.uncordonedAt = now
	}
	if endpoint.State == BackendRemoved {
		b.MarkRemoved(now)
	} else {
		b.State = endpoint.State
		b.wasDrained = endpoint.State == BackendDraining
		b.removedWhileCordoned = false
	}
	b.isCordoned = endpoint.Cordoned
	b.Zone = endpoint.Zone
	b.Cell = endpoint.Cell
	b.Kind = endpoint.Kind
	b.Started = endpoint.Started
	b.Weight = endpoint.Weight
	if !(b.Weight > 0) || math.IsInf(b.Weight, 0) {
		b.Weight = 1
	}
}

// MarkRemoved records that the list has removed the backend, either by an entry in state BackendRemoved or by omitting it.
func (b *Backend) MarkRemoved(now float64) {
	if b.State != BackendRemoved {
		b.State = BackendRemoved
		b.removedAt = now
		b.removedWhileCordoned = b.isCordoned
	}
}
