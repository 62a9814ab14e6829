package invariants

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// Each rule on stored requests is violated by exactly the cases that it is meant to detect.
func TestKeyAuditor(t *testing.T) {
	for name, c := range map[string]struct {
		report func(*KeyAuditor)
		rule   Rule
	}{
		"one effect, one outcome, given twice": {func(auditor *KeyAuditor) {
			auditor.EffectRan(1, "a", balancer.AtMostOnce)
			auditor.OutcomeReported(2, "a", "200 x")
			auditor.OutcomeReported(3, "a", "200 x")
		}, 0},
		"an effect twice": {func(auditor *KeyAuditor) {
			auditor.EffectRan(1, "a", balancer.AtMostOnce)
			auditor.EffectRan(2, "a", balancer.AtMostOnce)
		}, OneOutcome},
		"an idempotent effect twice": {func(auditor *KeyAuditor) {
			auditor.EffectRan(1, "a", balancer.Idempotent)
			auditor.EffectRan(2, "a", balancer.Idempotent)
		}, 0},
		"two outcomes": {func(auditor *KeyAuditor) {
			auditor.OutcomeReported(1, "a", "200 x")
			auditor.OutcomeReported(2, "a", "502 ")
		}, OneOutcome},
		"no final state":     {func(auditor *KeyAuditor) { auditor.RequestStored(1, "a", balancer.AtMostOnce, 100) }, OutcomeSurvives},
		"no final state yet": {func(auditor *KeyAuditor) { auditor.RequestStored(1, "a", balancer.AtMostOnce, 950) }, 0},
		"closed by its log": {func(auditor *KeyAuditor) {
			auditor.RequestStored(1, "a", balancer.AtMostOnce, 100)
			auditor.RequestClosed(2, "a")
		}, 0},
		"excluded": {func(auditor *KeyAuditor) {
			auditor.EffectRan(1, "a", balancer.AtMostOnce)
			auditor.EffectRan(2, "a", balancer.AtMostOnce)
			auditor.ExcludeKey("a")
		}, 0},
	} {
		auditor := NewKeyAuditor()
		c.report(auditor)
		violations := auditor.Violations(1000, 100)
		if c.rule == 0 {
			require.Empty(t, violations, name)
			continue
		}
		require.Len(t, violations, 1, name)
		require.Equal(t, c.rule, violations[0].Rule, name)
		require.Contains(t, violations[0].String(), c.rule.String(), name)
	}
}
