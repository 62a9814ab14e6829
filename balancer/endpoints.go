package balancer

import "math"

// The endpoint list specifies which backends exist and which of them may be sent requests. The host either watches the
// list and passes on its changes, or polls it when the balancer decides DoPoll. Failed polls are repeated with a random
// backoff that grows; until a new list comes, the old one is used.
//
// If the removal of a backend that did not drain is only a hint (Config.RemovalIsHint), a list that has lately removed more
// than half of the backends is doubted: the removed ones are still used, and those that are really gone are ejected by
// their failed connects.

const (
	// removedRetentionMs is how long a backend that was removed without draining is kept, if the list may be wrong. An
	// error that lasts longer is corrected by operators. The time is bounded so that memory does not grow with all backends
	// that ever existed.
	removedRetentionMs = 60e3
	// pollSpreadMs is the range of the random delay before the first poll. Nodes that restart together must not all poll the
	// discovery service at the same moment.
	pollSpreadMs = 200
	// firstPollBackoffMs is the mean backoff after one failed poll. It doubles with each further failure in a row.
	firstPollBackoffMs = 500
	// maxPollBackoffMs bounds the mean backoff; with the random spread it is up to half longer. A discovery service that
	// recovers is polled again within seconds.
	maxPollBackoffMs = 2.4e3
	// pollBackoffDivisor bounds the mean backoff to a third of Config.PollInterval too, so that a failed poll is repeated
	// within one interval.
	pollBackoffDivisor = 3
)

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

const (
	// BackendRemoved means that the list no longer contains the backend.
	BackendRemoved BackendState = iota
	// BackendDraining means that the backend completes its requests and must not be sent further ones.
	BackendDraining
	// BackendReady means that the backend may be sent requests.
	BackendReady
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Backend  *Backend
	State    BackendState
	Zone     int
	Cell     int
	Kind     int     // kind of machine
	Weight   float64 // capacity in relation to other backends; 1 is assumed if it is not a positive number
	Started  float64 // time of its latest start; 0 if that is long ago
	Cordoned bool    // an operator has taken it out of service: it counts as draining even if State is BackendReady
}

// endpointState holds the state of the endpoint list itself.
type endpointState struct {
	isDoubted    bool    // it has removed more backends than can have failed; see reviewEndpointList in availability.go
	isWatched    bool    // the host receives the list's changes, so that no poll is needed
	pollAt       float64 // time of the next poll while the list is not watched; infinite for none
	pollFailures int     // failed polls in a row
}

// EndpointsChanged records entries of the endpoint list. With full, they are the whole list, and a backend that is not among
// them is removed; else they are changes. cached says that they come from the host (its stored copy, or a cordon)
// and not from the discovery service: then whether the list counts as watched does not change.
func (lb *Balancer) EndpointsChanged(now float64, endpoints []Endpoint, full, cached bool) {
	lb.now = now
	if !cached {
		lb.endpoints.isWatched = true
		lb.endpoints.pollFailures = 0
	}
	if full {
		for _, backend := range lb.backends {
			backend.MarkRemoved(now)
		}
	}
	for _, endpoint := range endpoints {
		lb.applyEndpoint(endpoint)
	}
	lb.reviewBackends()
}

// applyEndpoint records one entry of the list.
func (lb *Balancer) applyEndpoint(endpoint Endpoint) {
	backend := endpoint.Backend
	if !backend.tracked {
		lb.backends = append(lb.backends, backend)
		backend.tracked = true
		backend.maxInFlight = 1 + lb.perNodeShare(initialInFlight)
		// A random place, so that the nodes' rotations do not visit the backends in step.
		backend.rotationPass = lb.rotation.position + lb.random.nextUnit()
	}
	wasUncordoned := backend.isCordoned && !endpoint.Cordoned
	hasRestarted := endpoint.Started > backend.Started
	backend.UpdateEndpoint(lb.now, endpoint)
	if hasRestarted || wasUncordoned {
		lb.resetAfterRestart(backend)
	}
}

// resetAfterRestart discards, after a restart, the measurements of a backend's former process. Measurements of the machine,
// such as its pace, are kept.
func (lb *Balancer) resetAfterRestart(backend *Backend) {
	backend.completionRate = completionRateEstimate{}
	backend.maxInFlight = 1 + lb.perNodeShare(initialInFlight)
	backend.suspicion = decayingCounter{}
	backend.busyUntil = 0
	backend.pausedUntil = 0
}

// untrackIfGone stops tracking a backend that is gone for good, and reports whether it did. Without that, each decision
// would examine all backends that ever existed. A removed backend is kept while it has attempts in flight, while work
// that it was sent within Config.OverloadWindow would count if it came back, and for the retention after a removal.
func (b *Backend) untrackIfGone(now float64, config *Config) bool {
	b.tracked = b.State != BackendRemoved || len(b.inFlight) > 0 || b.recentWork.sumWithin(now, config.OverloadWindow) > 0 ||
		now-b.removedAt < config.retentionAfterRemoval()
	return !b.tracked
}

// PollFailed records that a poll of the endpoint list failed, or that its watch ended; the old list stays in use. The next
// poll follows after a backoff that grows and is spread randomly, so that the polls of all nodes do not overload the
// discovery service.
func (lb *Balancer) PollFailed(now float64) {
	lb.now = now
	lb.endpoints.isWatched = false
	backoff := firstPollBackoffMs * math.Exp2(float64(lb.endpoints.pollFailures))
	backoff = min(backoff, lb.config.PollInterval/pollBackoffDivisor, maxPollBackoffMs)
	lb.endpoints.pollAt = now + backoff*(0.5+lb.random.nextUnit())
	lb.endpoints.pollFailures++
	lb.logEvent(Event{Kind: EventPollFailed, Count: lb.endpoints.pollFailures})
}

// isPollDue reports whether the endpoint list must be polled now.
func (lb *Balancer) isPollDue() bool { return !lb.endpoints.isWatched && lb.now >= lb.endpoints.pollAt }

// poll decides to poll the list. The next poll is set to half a poll interval later, in case no reply comes at all.
func (lb *Balancer) poll() {
	lb.endpoints.pollAt = lb.now + lb.config.PollInterval/2
	lb.decisions = append(lb.decisions, Decision{Kind: DoPoll})
}
