package invariants

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// Each verdict notices what it is for, and nothing else.
func TestKeys(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*Keys)
		rule Rule
	}{
		"one effect, one outcome, given twice": {func(k *Keys) {
			k.Ran(1, "a", balancer.AtMostOnce)
			k.Outcome(2, "a", "200 x")
			k.Outcome(3, "a", "200 x")
		}, 0},
		"an effect twice":  {func(k *Keys) { k.Ran(1, "a", balancer.AtMostOnce); k.Ran(2, "a", balancer.AtMostOnce) }, Once},
		"twice, and may":   {func(k *Keys) { k.Ran(1, "a", balancer.Idempotent); k.Ran(2, "a", balancer.Idempotent) }, 0},
		"two outcomes":     {func(k *Keys) { k.Outcome(1, "a", "200 x"); k.Outcome(2, "a", "502 ") }, Once},
		"no final state":   {func(k *Keys) { k.Taken(1, "a", balancer.AtMostOnce, 100) }, Survives},
		"none yet":         {func(k *Keys) { k.Taken(1, "a", balancer.AtMostOnce, 950) }, 0},
		"over by its log":  {func(k *Keys) { k.Taken(1, "a", balancer.AtMostOnce, 100); k.Ended(2, "a") }, 0},
		"nothing promised": {func(k *Keys) { k.Ran(1, "a", balancer.AtMostOnce); k.Ran(2, "a", balancer.AtMostOnce); k.Void("a") }, 0},
	} {
		k := NewKeys()
		c.play(k)
		broken := k.Judge(1000, 100)
		if c.rule == 0 {
			require.Empty(t, broken, name)
			continue
		}
		require.Len(t, broken, 1, name)
		require.Equal(t, c.rule, broken[0].Rule, name)
		require.Contains(t, broken[0].String(), c.rule.String(), name)
	}
}
