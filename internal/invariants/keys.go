package invariants

import (
	"fmt"
	"maps"
	"slices"

	"pearknot/balancer"
)

// The two verdicts on ops that processes keep for each other, beside the six rules.
const (
	OneOutcome      Rule = 7 // an effect that must not happen twice did, or a key was given two outcomes
	OutcomeSurvives Rule = 8 // a kept op that was taken has no final state, though a majority of its log lived and could speak
)

// Keys judges ops by their keys, as clients and backends saw them, whichever process had them. It is told what happened and
// knows nothing of logs: whoever plays faults that take a majority's memory says so by Void.
type KeyAuditor struct {
	keys map[string]*keyed
}

type keyed struct {
	effect   balancer.Idempotency
	ran      int
	outcomes map[string]bool
	taken    bool
	giveUp   float64
	void     bool
	ended    bool
	events   []string
}

// NewKeys makes one.
func NewKeyAuditor() *KeyAuditor { return &KeyAuditor{keys: map[string]*keyed{}} }

func (k *KeyAuditor) of(key string, what string, args ...any) *keyed {
	o := k.keys[key]
	if o == nil {
		o = &keyed{outcomes: map[string]bool{}}
		k.keys[key] = o
	}
	if len(o.events) < mostEvidence {
		o.events = append(o.events, fmt.Sprintf(what, args...))
	}
	return o
}

// Taken: an op was acknowledged as kept, by whoever keeps it.
func (k *KeyAuditor) RequestStored(at float64, key string, effect balancer.Idempotency, giveUp float64) {
	o := k.of(key, "%.1f taken, %v", at, effect)
	o.taken, o.effect, o.giveUp = true, effect, max(o.giveUp, giveUp)
}

// Ran: its effect happened at a backend; a repeat that a mark has dropped is none.
func (k *KeyAuditor) EffectRan(at float64, key string, effect balancer.Idempotency) {
	o := k.of(key, "%.1f ran", at)
	o.ran++
	o.effect = effect
}

// Outcome: a client was given one, an ack with its answer or a dead letter. A nack, or word to ask again, is none.
func (k *KeyAuditor) OutcomeReported(at float64, key, what string) {
	o := k.of(key, "%.1f outcome %.60q", at, what)
	o.outcomes[what], o.ended = true, true
}

// Ended: its log says that it is over, or that nobody has such a key.
func (k *KeyAuditor) RequestClosed(at float64, key string) {
	k.of(key, "%.1f over, by its log", at).ended = true
}

// Void: a majority of its log's copies was lost at once; nothing is promised for it.
func (k *KeyAuditor) ExcludeKey(key string) { k.of(key, "void").void = true }

// Judge tells what was broken by now; ops have so long past their time to end.
func (k *KeyAuditor) Violations(now, grace float64) (broken []Violation) {
	for _, key := range slices.Sorted(maps.Keys(k.keys)) {
		o := k.keys[key]
		breach := func(r Rule, what string) {
			broken = append(broken, Violation{Rule: r, At: now, What: fmt.Sprintf("key %q: %s; %v", key, what, o.events)})
		}
		switch {
		case o.void:
		case o.ran > 1 && o.effect != balancer.Idempotent:
			breach(OneOutcome, fmt.Sprintf("%d effects", o.ran))
		case len(o.outcomes) > 1:
			breach(OneOutcome, fmt.Sprintf("%d outcomes", len(o.outcomes)))
		case o.taken && !o.ended && now > o.giveUp+grace:
			breach(OutcomeSurvives, "no final state")
		}
	}
	return broken
}
