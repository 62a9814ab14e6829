package descriptors

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestShares(t *testing.T) {
	pressed := 0
	b := New(reserve+16, func() { pressed++ })
	for range 9 {
		assert.True(t, b.Client())
	}
	assert.False(t, b.Crowded())
	assert.True(t, b.Client())
	assert.True(t, b.Crowded(), "beyond three quarters of the clients' part")
	for range 6 {
		assert.True(t, b.Peer())
	}
	assert.Equal(t, 0, pressed)
	assert.False(t, b.Peer(), "none left")
	assert.Equal(t, 1, pressed)

	// A client waits for whatever socket comes back first, and for the end at last.
	got := make(chan bool)
	go func() { got <- b.Client() }()
	b.PeerBack()
	assert.True(t, <-got)
	go func() { got <- b.Client() }()
	b.Close()
	assert.False(t, <-got)
}

// Backends give idle sockets back where that helps whoever wants one, and only there.
func TestSpare(t *testing.T) {
	b := New(reserve+16, func() {})
	got := make(chan bool)
	wait := func() {
		go func() { got <- b.Client() }()
		for !b.Waiting() {
			runtime.Gosched()
		}
	}
	for range 12 {
		assert.True(t, b.Client())
	}
	for range 4 {
		assert.True(t, b.Peer())
	}
	wait()
	assert.False(t, b.Spare(), "clients have their share: what is given back would not come to them")
	b.ClientBack()
	assert.True(t, <-got)
	assert.False(t, b.Spare(), "all is taken, and nobody waits")
	assert.False(t, b.Peer())
	assert.True(t, b.Spare(), "a backend was refused one")
	assert.False(t, b.Spare(), "which has been told")

	b.ClientBack()
	assert.True(t, b.Peer())
	wait()
	assert.True(t, b.Spare(), "a client waits for part of its share")
	b.PeerBack()
	assert.True(t, <-got)
	assert.False(t, b.Spare())
	b.waiting = true
	b.ClientBack()
	assert.False(t, b.Spare(), "one has come back, and the client that waits for it only has to wake")
	b.waiting = false
	assert.True(t, b.Client())
	b.Limit(reserve + 14)
	assert.True(t, b.Spare(), "over a limit that has moved")
}
