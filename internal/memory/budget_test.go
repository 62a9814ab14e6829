package memory

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Buffers never take a connection's place, nor connections a buffer's.
func TestPartsOfBudgetAreSeparate(t *testing.T) {
	shortages := 0
	b := NewBudget(func() { shortages++ })
	b.SetLimits(Limits{Connections: 100, Buffers: 50})
	assert.True(t, b.TryAcquire(50))
	assert.False(t, b.TryAcquire(1))
	assert.True(t, b.TryAcquireConnection(100))
	assert.False(t, b.TryAcquireConnection(60))
	assert.True(t, b.HasWaitingConnection())
	b.Release(50)
	assert.False(t, b.TryAcquireConnection(60))
	assert.True(t, b.HasWaitingConnection())
	b.ReleaseConnection(40)
	assert.False(t, b.TryAcquireConnection(60))
	b.ReleaseConnection(60)
	assert.True(t, b.TryAcquireConnection(60))
	assert.False(t, b.HasWaitingConnection())
	assert.Equal(t, 1, shortages)
	used, _ := b.Usage()
	assert.Equal(t, Limits{Connections: 60}, used)
}

// A limit that is too small for any connection still lets one in, and no other beside it.
func TestFirstConnection(t *testing.T) {
	b := NewBudget(func() {})
	b.SetLimits(Limits{})
	assert.True(t, b.TryAcquireConnection(10))
	assert.False(t, b.TryAcquireConnection(10))
	assert.True(t, b.HasWaitingConnection())
	b.ReleaseConnection(10)
	assert.True(t, b.TryAcquireConnection(10))
}

func TestWaitMakesRoom(t *testing.T) {
	b := NewBudget(func() {})
	b.SetLimits(Limits{Buffers: 10})
	assert.True(t, b.Wait(10, func() { t.Fatal("there was room") }))
	assert.False(t, b.Wait(1, func() {}))
	assert.True(t, b.Wait(1, func() { b.Release(10) }))
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	assert.True(t, b.TryAcquire(1<<40))
	assert.True(t, b.TryAcquireConnection(1<<40))
	b.Release(1 << 40)
	b.ReleaseConnection(1 << 40)
	assert.False(t, b.HasWaitingConnection())
}

// All that a plan gives out, and what the runtime does not count, is within the limit.
func TestPlanIsWithinLimit(t *testing.T) {
	const fileBytes, allConnections = 13 << 20, 25 << 20
	for _, limit := range []int64{32 << 20, 48 << 20, 64 << 20, 192 << 20} {
		plan := NewPlan(limit, fileBytes, 0, allConnections)
		assert.LessOrEqual(t, plan.RuntimeBytes+fileBytes, limit)
		assert.LessOrEqual(t, plan.Clients.Connections+plan.Clients.Buffers+runtimeBase, plan.RuntimeBytes)
		assert.LessOrEqual(t, plan.Clients.Connections, int64(allConnections))
		assert.Positive(t, plan.Clients.Buffers)
	}
	const backends = 70 << 20
	large := NewPlan(192<<20, fileBytes, backends, allConnections)
	assert.LessOrEqual(t, large.Clients.Connections+large.Clients.Buffers+backends, large.RuntimeBytes)
	tooSmall := NewPlan(8<<20, fileBytes, 0, allConnections)
	assert.Positive(t, tooSmall.Clients.Connections)
	assert.Positive(t, tooSmall.RuntimeBytes)
}

// Backends and connections to them leave clients less, however much these have reserved without using it.
func TestPlanAllowsForBackends(t *testing.T) {
	const limit, fileBytes, allConnections = 32 << 20, 11 << 20, 25 << 20
	const unreserved = -8 << 20
	few := NewPlan(limit, fileBytes, OtherBytes(unreserved, 0, 0), allConnections)
	many := NewPlan(limit, fileBytes, OtherBytes(unreserved, 500, 200), allConnections)
	freed := few.Clients.Connections + few.Clients.Buffers - many.Clients.Connections - many.Clients.Buffers
	backends := 500*backendBytes + 200*backendConnBytes
	assert.InDelta(t, liveShare*float64(backends), freed, 2)
}
