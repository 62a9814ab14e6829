package config

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A tenant's place is that of the first one of its name, whatever the order and however often a name stands there.
func TestTenantsByName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOf(rapid.StringMatching("[ab]{0,3}")).Draw(t, "names")
		d := &Deployment{Tenants: slices.Clone(names)}
		for _, name := range append(names, "", "a", "abc", "b") {
			assert.Equal(t, slices.Index(names, name), d.Tenant(name), name)
		}
		assert.Equal(t, names, d.Tenants)
	})
}

func BenchmarkTenant(b *testing.B) {
	for _, n := range []int{10, 1000, 10000, 140000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := &Deployment{}
			for k := range n {
				d.Tenants = append(d.Tenants, fmt.Sprintf("tenant-%06d", k))
			}
			d.Tenant("")
			for k := 0; b.Loop(); k++ {
				d.Tenant(d.Tenants[k*7919%n])
			}
		})
	}
}
