package invariants

import (
	"fmt"
	"maps"
	"slices"

	"pearknot/balancer"
)

// KeyAuditor checks requests by their idempotency keys, as clients and backends observe them, whichever process handled
// them. It gets reports of events and does not read the processes' logs: a test that injects the memory loss of a majority
// reports the affected keys with ExcludeKey. Times are in milliseconds. It is not safe for concurrent use.
type KeyAuditor struct {
	keys map[string]*keyHistory
}

// keyHistory holds the reported events of a key's requests.
type keyHistory struct {
	idempotency balancer.Idempotency
	runs        int
	outcomes    map[string]bool // outcomes that clients received
	stored      bool
	deadline    float64
	excluded    bool
	closed      bool
	events      []string
}

// NewKeyAuditor returns an auditor that has recorded no events.
func NewKeyAuditor() *KeyAuditor { return &KeyAuditor{keys: map[string]*keyHistory{}} }

// history returns a key's history after appending an event to it.
func (k *KeyAuditor) history(key string, format string, args ...any) *keyHistory {
	history := k.keys[key]
	if history == nil {
		history = &keyHistory{outcomes: map[string]bool{}}
		k.keys[key] = history
	}
	if len(history.events) < maxEvidence {
		history.events = append(history.events, fmt.Sprintf(format, args...))
	}
	return history
}

// RequestStored records that a request was acknowledged as stored.
func (k *KeyAuditor) RequestStored(at float64, key string, idempotency balancer.Idempotency, deadline float64) {
	history := k.history(key, "%.1f taken, %v", at, idempotency)
	history.stored = true
	history.idempotency = idempotency
	history.deadline = max(history.deadline, deadline)
}

// EffectRan records that the request's effect happened at a backend. A repetition that the backend recognized and dropped
// does not count as an effect.
func (k *KeyAuditor) EffectRan(at float64, key string, idempotency balancer.Idempotency) {
	history := k.history(key, "%.1f ran", at)
	history.runs++
	history.idempotency = idempotency
}

// OutcomeReported records that a client received an outcome: a response or a failure. A rejection, or an answer that asks the
// client to try again, does not count as an outcome.
func (k *KeyAuditor) OutcomeReported(at float64, key, outcome string) {
	history := k.history(key, "%.1f outcome %.60q", at, outcome)
	history.outcomes[outcome] = true
	history.closed = true
}

// RequestClosed records that the request is closed according to its log, or that no process has its key.
func (k *KeyAuditor) RequestClosed(at float64, key string) {
	k.history(key, "%.1f over, by its log", at).closed = true
}

// ExcludeKey records that a majority of the log's replicas was lost at once, which voids all guarantees for the key.
func (k *KeyAuditor) ExcludeKey(key string) { k.history(key, "void").excluded = true }

// Violations returns the current violations, ordered by key. A request may lack a final state until the grace after its
// deadline has passed.
func (k *KeyAuditor) Violations(now, grace float64) (violations []Violation) {
	for _, key := range slices.Sorted(maps.Keys(k.keys)) {
		history := k.keys[key]
		add := func(rule Rule, message string) {
			violations = append(violations, Violation{Rule: rule, At: now, Message: fmt.Sprintf("key %q: %s; %v", key, message, history.events)})
		}
		switch {
		case history.excluded:
		case history.runs > 1 && history.idempotency != balancer.Idempotent:
			add(OneOutcome, fmt.Sprintf("%d effects", history.runs))
		case len(history.outcomes) > 1:
			add(OneOutcome, fmt.Sprintf("%d outcomes", len(history.outcomes)))
		case history.stored && !history.closed && now > history.deadline+grace:
			add(OutcomeSurvives, "no final state")
		}
	}
	return violations
}
