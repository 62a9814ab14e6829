package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsWithTenants returns settings as JSON with n tenants.
func settingsWithTenants(t testing.TB, n int) []byte {
	var tree map[string]any
	require.NoError(t, json.Unmarshal([]byte(jsonSettings), &tree))
	var tenants []map[string]any
	for k := range n {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%06d", k), "quotaPerS": k % 97})
	}
	tree["tenants"] = tenants
	text, err := json.Marshal(tree)
	require.NoError(t, err)
	return text
}

func BenchmarkParseJSON(b *testing.B) {
	for _, n := range []int{10, 1000, 10000, 140000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := settingsWithTenants(b, n)
			b.ReportAllocs()
			for b.Loop() {
				_, err := ParseJSON(text)
				require.NoError(b, err)
			}
		})
	}
}
