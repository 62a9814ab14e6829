package config

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TenantIndex returns the first tenant of the name, in any order of the names and with any number of duplicates.
func TestTenantIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOf(rapid.StringMatching("[ab]{0,3}")).Draw(t, "names")
		d := &Deployment{Tenants: slices.Clone(names)}
		for _, name := range append(names, "", "a", "abc", "b") {
			assert.Equal(t, slices.Index(names, name), d.TenantIndex(name), name)
		}
		assert.Equal(t, names, d.Tenants)
	})
}

func BenchmarkTenantIndex(b *testing.B) {
	for _, n := range []int{10, 1000, 10000, 140000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := &Deployment{}
			for k := range n {
				d.Tenants = append(d.Tenants, fmt.Sprintf("tenant-%06d", k))
			}
			d.TenantIndex("")
			for k := 0; b.Loop(); k++ {
				d.TenantIndex(d.Tenants[k*7919%n])
			}
		})
	}
}
