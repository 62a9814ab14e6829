package descriptors

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestShares(t *testing.T) {
	pressed := 0
	b := New(reservedDescriptors+16, func() { pressed++ })
	for range 9 {
		assert.True(t, b.AcquireClient())
	}
	assert.False(t, b.ShouldCloseClients())
	assert.True(t, b.AcquireClient())
	assert.True(t, b.ShouldCloseClients(), "beyond three quarters of the clients' part")
	for range 6 {
		assert.True(t, b.TryAcquireBackend())
	}
	assert.Equal(t, 0, pressed)
	assert.False(t, b.TryAcquireBackend(), "none left")
	assert.Equal(t, 1, pressed)

	// A client waits for whatever socket comes back first, and for the end at last.
	got := make(chan bool)
	go func() { got <- b.AcquireClient() }()
	b.ReleaseBackend()
	assert.True(t, <-got)
	go func() { got <- b.AcquireClient() }()
	b.Close()
	assert.False(t, <-got)
}

// Backends give idle sockets back where that helps whoever wants one, and only there.
func TestShouldCloseIdleBackends(t *testing.T) {
	b := New(reservedDescriptors+16, func() {})
	got := make(chan bool)
	wait := func() {
		go func() { got <- b.AcquireClient() }()
		for !b.HasWaitingClient() {
			runtime.Gosched()
		}
	}
	for range 12 {
		assert.True(t, b.AcquireClient())
	}
	for range 4 {
		assert.True(t, b.TryAcquireBackend())
	}
	wait()
	assert.False(t, b.ShouldCloseIdleBackends(), "clients have their share: what is given back would not come to them")
	b.ReleaseClient()
	assert.True(t, <-got)
	assert.False(t, b.ShouldCloseIdleBackends(), "all is taken, and nobody waits")
	assert.False(t, b.TryAcquireBackend())
	assert.True(t, b.ShouldCloseIdleBackends(), "a backend was refused one")
	assert.False(t, b.ShouldCloseIdleBackends(), "which has been told")

	b.ReleaseClient()
	assert.True(t, b.TryAcquireBackend())
	wait()
	assert.True(t, b.ShouldCloseIdleBackends(), "a client waits for part of its share")
	b.ReleaseBackend()
	assert.True(t, <-got)
	assert.False(t, b.ShouldCloseIdleBackends())
	b.clientWaiting = true
	b.ReleaseClient()
	assert.False(t, b.ShouldCloseIdleBackends(), "one has come back, and the client that waits for it only has to wake")
	b.clientWaiting = false
	assert.True(t, b.AcquireClient())
	b.SetLimit(reservedDescriptors + 14)
	assert.True(t, b.ShouldCloseIdleBackends(), "over a limit that has moved")
}
