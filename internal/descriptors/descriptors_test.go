package descriptors

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Clients and backends share a budget of 16 descriptors, of which clients may use 12. At the limit, backends are refused a
// descriptor, and a client waits until one is released or the budget is closed.
func TestClientAndBackendLimits(t *testing.T) {
	shortages := 0
	b := New(reservedDescriptors+16, func() { shortages++ })
	for range 9 {
		assert.True(t, acquireClient(b))
	}
	assert.False(t, b.ShouldCloseClients())
	assert.True(t, acquireClient(b))
	assert.True(t, b.ShouldCloseClients(), "more than three quarters of the clients' share")
	for range 6 {
		assert.True(t, b.TryAcquireBackend())
	}
	assert.Equal(t, 0, shortages)
	assert.False(t, b.TryAcquireBackend(), "the limit is reached")
	assert.Equal(t, 1, shortages)

	// A client waits for the next descriptor that is released, and another one until the budget is closed.
	assert.False(t, acquireClient(b))
	assert.True(t, b.HasWaitingClient())
	assert.Equal(t, 2, shortages)
	assert.False(t, acquireClient(b))
	assert.Equal(t, 2, shortages, "a client that waits is one shortage")
	b.ReleaseBackend()
	assert.True(t, acquireClient(b))
	assert.False(t, b.HasWaitingClient())
	acquired, isClosed := b.TryAcquireClient()
	assert.False(t, acquired)
	assert.False(t, isClosed)
	b.Close()
	b.ReleaseBackend()
	acquired, isClosed = b.TryAcquireClient()
	assert.False(t, acquired)
	assert.True(t, isClosed)
}

// acquireClient reports whether a client got a descriptor.
func acquireClient(b *Budget) bool {
	acquired, _ := b.TryAcquireClient()
	return acquired
}

// Idle connections to backends are closed only if that makes a descriptor available to a client or backend that needs one.
func TestShouldCloseIdleBackends(t *testing.T) {
	b := New(reservedDescriptors+16, func() {})
	waitForDescriptor := func() {
		assert.False(t, acquireClient(b))
		assert.True(t, b.HasWaitingClient())
	}
	for range 12 {
		assert.True(t, acquireClient(b))
	}
	for range 4 {
		assert.True(t, b.TryAcquireBackend())
	}
	waitForDescriptor()
	assert.False(t, b.ShouldCloseIdleBackends(), "clients use their whole share: a released descriptor would not go to them")
	b.ReleaseClient()
	assert.True(t, acquireClient(b))
	assert.False(t, b.ShouldCloseIdleBackends(), "all descriptors are in use, and nobody waits")
	assert.False(t, b.TryAcquireBackend())
	assert.True(t, b.ShouldCloseIdleBackends(), "a backend was refused a descriptor")
	assert.False(t, b.ShouldCloseIdleBackends(), "which was reported before")

	b.ReleaseClient()
	assert.True(t, b.TryAcquireBackend())
	waitForDescriptor()
	assert.True(t, b.ShouldCloseIdleBackends(), "a client waits for part of its share")
	b.ReleaseBackend()
	assert.True(t, acquireClient(b))
	assert.False(t, b.ShouldCloseIdleBackends())
	b.clientWaiting = true
	b.ReleaseClient()
	assert.False(t, b.ShouldCloseIdleBackends(), "one was released, and the waiting client has yet to wake up")
	b.clientWaiting = false
	assert.True(t, acquireClient(b))
	b.SetLimit(reservedDescriptors + 14)
	assert.True(t, b.ShouldCloseIdleBackends(), "above a lower limit")
}
