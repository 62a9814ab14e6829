package invariants

import (
	"fmt"
	"maps"
	"slices"

	"pearknot/balancer"
)

// KeyAuditor judges requests by their idempotency keys, as clients and backends observe them, whichever process had them.
// It is told what happened and knows nothing of the processes' logs: a test that injects a loss of a majority's memory
// says so by ExcludeKey. Times are milliseconds. It is not safe for concurrent use.
type KeyAuditor struct {
	keys map[string]*keyHistory
}

// keyHistory is what happened to the requests of a key.
type keyHistory struct {
	idempotency balancer.Idempotency
	runs        int
	outcomes    map[string]bool // that clients got
	stored      bool
	deadline    float64
	excluded    bool
	closed      bool
	events      []string
}

// NewKeyAuditor returns an auditor that has seen nothing yet.
func NewKeyAuditor() *KeyAuditor { return &KeyAuditor{keys: map[string]*keyHistory{}} }

// history returns a key's history, with one more event.
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
// is none.
func (k *KeyAuditor) EffectRan(at float64, key string, idempotency balancer.Idempotency) {
	history := k.history(key, "%.1f ran", at)
	history.runs++
	history.idempotency = idempotency
}

// OutcomeReported records that a client got an outcome: a response, or a failure. A rejection, or an answer to ask again,
// is none.
func (k *KeyAuditor) OutcomeReported(at float64, key, what string) {
	history := k.history(key, "%.1f outcome %.60q", at, what)
	history.outcomes[what] = true
	history.closed = true
}

// RequestClosed records that the request's log says it is over, or that no process has such a key.
func (k *KeyAuditor) RequestClosed(at float64, key string) {
	k.history(key, "%.1f over, by its log", at).closed = true
}

// ExcludeKey records that a majority of the log's copies was lost at once: nothing is promised for the key.
func (k *KeyAuditor) ExcludeKey(key string) { k.history(key, "void").excluded = true }

// Violations returns the rules that are broken now, by key. A request may be without a final state until the grace after
// its deadline.
func (k *KeyAuditor) Violations(now, grace float64) (violations []Violation) {
	for _, key := range slices.Sorted(maps.Keys(k.keys)) {
		history := k.keys[key]
		add := func(rule Rule, what string) {
			violations = append(violations, Violation{Rule: rule, At: now, What: fmt.Sprintf("key %q: %s; %v", key, what, history.events)})
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
