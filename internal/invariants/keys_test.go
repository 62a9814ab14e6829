package invariants

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// Each verdict notices what it is for, and nothing else.
func TestKeys(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*KeyAuditor)
		rule Rule
	}{
		"one effect, one outcome, given twice": {func(k *KeyAuditor) {
			k.EffectRan(1, "a", balancer.AtMostOnce)
			k.OutcomeReported(2, "a", "200 x")
			k.OutcomeReported(3, "a", "200 x")
		}, 0},
		"an effect twice": {func(k *KeyAuditor) {
			k.EffectRan(1, "a", balancer.AtMostOnce)
			k.EffectRan(2, "a", balancer.AtMostOnce)
		}, OneOutcome},
		"twice, and may": {func(k *KeyAuditor) {
			k.EffectRan(1, "a", balancer.Idempotent)
			k.EffectRan(2, "a", balancer.Idempotent)
		}, 0},
		"two outcomes":    {func(k *KeyAuditor) { k.OutcomeReported(1, "a", "200 x"); k.OutcomeReported(2, "a", "502 ") }, OneOutcome},
		"no final state":  {func(k *KeyAuditor) { k.RequestStored(1, "a", balancer.AtMostOnce, 100) }, OutcomeSurvives},
		"none yet":        {func(k *KeyAuditor) { k.RequestStored(1, "a", balancer.AtMostOnce, 950) }, 0},
		"over by its log": {func(k *KeyAuditor) { k.RequestStored(1, "a", balancer.AtMostOnce, 100); k.RequestClosed(2, "a") }, 0},
		"nothing promised": {func(k *KeyAuditor) {
			k.EffectRan(1, "a", balancer.AtMostOnce)
			k.EffectRan(2, "a", balancer.AtMostOnce)
			k.ExcludeKey("a")
		}, 0},
	} {
		k := NewKeyAuditor()
		c.play(k)
		broken := k.Violations(1000, 100)
		if c.rule == 0 {
			require.Empty(t, broken, name)
			continue
		}
		require.Len(t, broken, 1, name)
		require.Equal(t, c.rule, broken[0].Rule, name)
		require.Contains(t, broken[0].String(), c.rule.String(), name)
	}
}
