package balancer

import "math"

// The endpoint list says which backends there are and which of them may be sent requests. It is pushed to the host, or
// polled by DoPoll at random times that grow with failures; until a new one comes, the old one holds. Where a removal
// without draining is only a hint (Config.RemovalIsHint), a list that takes away more than half of the backends at
// once is doubted: they go on being used, and those that are really gone show by failed connects.

const (
	// removedRetention in ms is how long a backend that was removed without draining is remembered where the list may be
	// wrong: a list that is wrong for longer is repaired by people, and memory must not grow with those that come and go.
	removedRetentionMs = 60e3
	// pollSpread in ms: nodes restarted together must not poll the list's one service together.
	pollSpreadMs = 200
	// firstPollBackoff in ms is the wait after one failed poll; it doubles with each further one.
	firstPollBackoffMs = 500
	// maxPollBackoff in ms, half more with the random spread: a list service that is back is polled within seconds.
	maxPollBackoffMs = 2.4e3
	// pollBackoffDivisor bounds the wait to a third of the poll interval too: a failed poll is made up for within one.
	pollBackoffDivisor = 3
)

// BackendState is what the endpoint list says of a backend.
type BackendState uint8

const (
	// BackendRemoved is no longer in the list.
	BackendRemoved BackendState = iota
	// BackendDraining finishes what it has and must be sent nothing more.
	BackendDraining
	// BackendReady may be sent requests.
	BackendReady
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	Backend         *Backend
	State           BackendState
	Zone, Cell      int
	Kind            int // of machine
	Weight, Started float64
	Cordoned        bool // taken out of service by an operator: draining, whatever its state is here
}

// endpointState is what the balancer knows of the list itself.
type endpointState struct {
	isDoubted    bool    // it has taken away more than can have gone
	isWatched    bool    // its changes are pushed
	pollAt       float64 // when it is polled where they aren't
	pollFailures int     // in a row
}

// EndpointsChanged takes lines of the endpoint list. Where full, a backend not among them is removed; cached says that the
// lines come from the host's own copy and not from the list's service.
func (lb *Balancer) EndpointsChanged(now float64, endpoints []Endpoint, full, cached bool) {
	lb.now = now
	if !cached {
		lb.endpoints.isWatched, lb.endpoints.pollFailures = true, 0
	}
	if full {
		for _, backend := range lb.backends {
			backend.markRemoved(now)
		}
	}
	for _, endpoint := range endpoints {
		lb.applyEndpoint(endpoint)
	}
	lb.reviewBackends()
}

// applyEndpoint records one line of the list.
func (lb *Balancer) applyEndpoint(endpoint Endpoint) {
	backend := endpoint.Backend
	if !backend.tracked {
		lb.backends = append(lb.backends, backend)
		backend.tracked = true
		backend.maxInFlight = 1 + lb.perNodeShare(initialInFlight)
		backend.rotationPass = lb.rotation.position + lb.random.nextUnit() // the rotation starts at random
	}
	// While an operator had it out of service it was restarted, which the list reports late, if at all.
	wasUncordoned := backend.isCordoned && !endpoint.Cordoned
	switch {
	case endpoint.Cordoned && !backend.isCordoned:
		backend.cordonedAt = lb.now
	case endpoint.Started > backend.cordonedAt: // the list has reported the restart
		backend.uncordonedAt = 0
	case wasUncordoned:
		backend.uncordonedAt = lb.now
	}
	if endpoint.Started > backend.Started || wasUncordoned {
		lb.forgetFormerProcess(backend)
	}
	if endpoint.State == BackendRemoved {
		backend.markRemoved(lb.now)
	}
	backend.Zone, backend.Cell, backend.Kind = endpoint.Zone, endpoint.Cell, endpoint.Kind
	backend.State, backend.Started = endpoint.State, endpoint.Started
	if backend.isCordoned = endpoint.Cordoned; backend.isCordoned {
		backend.State = min(backend.State, BackendDraining)
	}
	backend.wasDrained = backend.State == BackendDraining || backend.wasDrained && backend.State == BackendRemoved
	backend.Weight = endpoint.Weight
	if !(backend.Weight > 0) || math.IsInf(backend.Weight, 0) {
		backend.Weight = 1
	}
}

// forgetFormerProcess drops what was learned of the state of a backend's former process.
func (lb *Balancer) forgetFormerProcess(backend *Backend) {
	backend.completionRate, backend.maxInFlight = completionRateEstimate{}, 1+lb.perNodeShare(initialInFlight)
	backend.suspicion, backend.busyUntil, backend.pausedUntil = decayingCounter{}, 0, 0
}

// markRemoved records that a backend is gone, by its line or by its missing one.
func (b *Backend) markRemoved(now float64) {
	if b.State != BackendRemoved {
		b.State, b.removedAt = BackendRemoved, now
	}
}

// forgetIfGone clears tracked for a backend that is gone for good, and reports whether it did: each decision would look at
// all that ever were. Until its overload window has passed, what it was sent counts, should it come back.
func (b *Backend) forgetIfGone(now float64, config *Config) bool {
	b.tracked = b.State != BackendRemoved || len(b.inFlight) > 0 || b.recentWork.sumWithin(now, config.OverloadWindow) > 0 ||
		now-b.removedAt < config.retentionAfterRemoval()
	return !b.tracked
}

// PollFailed records the failure of a poll; the old list still holds. The waits grow and are spread: a service of fixed
// capacity must not meet a storm of retries.
func (lb *Balancer) PollFailed(now float64) {
	lb.now, lb.endpoints.isWatched = now, false
	backoff := firstPollBackoffMs * math.Exp2(float64(lb.endpoints.pollFailures))
	backoff = min(backoff, lb.config.PollInterval/pollBackoffDivisor, maxPollBackoffMs)
	lb.endpoints.pollAt = now + backoff*(0.5+lb.random.nextUnit())
	lb.endpoints.pollFailures++
	lb.logEvent(Event{Kind: EventPollFailed, Count: lb.endpoints.pollFailures})
}

// isPollDue reports whether the list is to be polled now.
func (lb *Balancer) isPollDue() bool { return !lb.endpoints.isWatched && lb.now >= lb.endpoints.pollAt }

// poll asks for the list, and once more where no reply comes at all.
func (lb *Balancer) poll() {
	lb.endpoints.pollAt = lb.now + lb.config.PollInterval/2
	lb.decisions = append(lb.decisions, Decision{Kind: DoPoll})
}

// reviewEndpointList decides whether to doubt the list where a removal without draining is a hint. More than half of the
// backends that it lately had do not fail at once; and if they did, failed connects would eject each of them.
func (lb *Balancer) reviewEndpointList() {
	removed, total := 0, 0
	for _, backend := range lb.backends {
		if !backend.wasDrained && (backend.State == BackendReady || lb.now-backend.removedAt < lb.config.retentionAfterRemoval()) {
			total++
			if backend.State == BackendRemoved {
				removed++
			}
		}
	}
	lb.endpoints.isDoubted = lb.config.RemovalIsHint && 2*removed > total
}

// isUsable reports whether a backend may be sent requests: ready, or removed by a list that is doubted.
func (lb *Balancer) isUsable(backend *Backend) bool {
	if backend.State != BackendRemoved {
		return backend.State == BackendReady
	}
	return lb.endpoints.isDoubted && !backend.wasDrained && lb.now-backend.removedAt < lb.config.retentionAfterRemoval()
}
