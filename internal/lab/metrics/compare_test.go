package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Runs are compared by their seeds, whatever their order; seed 9 is in one result only.
func TestComparePairsRunsBySeed(t *testing.T) {
	a := Result{Runs: []Run{{Seed: 1, Service: 0.5}, {Seed: 2, Service: 0.7}, {Seed: 9}}}
	b := Result{Runs: []Run{{Seed: 2, Service: 0.81}, {Seed: 1, Service: 0.6}}}
	differences, err := Compare(a, b)
	require.NoError(t, err)
	service := differences[0]
	assert.Equal(t, "service", service.Metric)
	assert.InDelta(t, 0.105, service.Mean, 1e-9)
	assert.Equal(t, 2, service.N)
	assert.False(t, service.IncludesZero())
	_, err = Compare(a, Result{Runs: []Run{{Seed: 5}}})
	assert.ErrorContains(t, err, "the results have no seed in common")
}
