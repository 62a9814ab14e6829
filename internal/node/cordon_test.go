package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/discovery"
)

// A cordoned backend gets no requests until it is uncordoned, regardless of endpoint list updates and balancer panics in
// between.
func TestCordon(t *testing.T) {
	silent := startSilentBackend(t)
	n, c := startNode(t, silent.address)
	cordon := func(name string, cordoned bool) error { return n.Cordon(t.Context(), name, cordoned, false) }
	assert.ErrorIs(t, cordon("other", true), ErrNeverListed)
	assert.ErrorIs(t, cordon("other", false), ErrNeverListed)
	require.NoError(t, cordon("s", true))
	require.NoError(t, cordon("s", true), "may be repeated")
	ready := discovery.Endpoint{Name: "s", Address: silent.address, State: balancer.BackendReady, Weight: 1}
	for name, event := range map[string]func(){
		"at once":      func() {},
		"listed again": func() { n.EndpointsChanged(&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{ready}}) },
		"removed and listed again": func() {
			n.EndpointsChanged(&discovery.List{Complete: true})
			n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{ready}})
		},
		"balancer panics": func() { n.mailbox.Put(func() { panic("fault") }) },
	} {
		event()
		request := newTestRequest(c, 0)
		request.Deadline = c.Now() + 100
		n.Submit(request)
		assert.Equal(t, Rejected, (<-request.Answer()).Status, name)
	}
	assert.Empty(t, silent.accepted)
	require.NoError(t, cordon("s", false))
	require.NoError(t, cordon("s", false))
	n.Submit(newTestRequest(c, 0))
	<-silent.accepted

	// A backend that was listed earlier and no longer is may be cordoned, too.
	n.EndpointsChanged(&discovery.List{Complete: true})
	require.NoError(t, cordon("s", true))
	assert.Equal(t, true, n.cordons.cordoned["s"])
}

// An operator's call waits for the current batch, not for all messages in the mailbox.
func TestCordonPrecedesQueuedMessages(t *testing.T) {
	n, _ := startNode(t, "127.0.0.1:1")
	release, order := make(chan struct{}), make(chan bool, 1)
	started := make(chan struct{})
	n.mailbox.Put(func() { close(started); <-release })
	<-started
	n.mailbox.Put(func() { order <- n.cordons.cordoned["s"] })
	done := make(chan error, 1)
	go func() { done <- n.Cordon(t.Context(), "s", true, false) }()
	require.Eventually(t, func() bool { return n.mailbox.Len() == 2 }, 10*time.Second, time.Millisecond)
	close(release)
	require.NoError(t, <-done)
	assert.True(t, <-order, "a message that was queued before the call must run after it")

	release = make(chan struct{})
	defer close(release)
	started = make(chan struct{})
	n.mailbox.Put(func() { close(started); <-release })
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, n.Cordon(ctx, "s", false, false), context.DeadlineExceeded)
}

// The number of known names is limited; cordoned ones are never removed.
func TestKnownNamesAreBounded(t *testing.T) {
	names := newCordonRegistry()
	names.cordoned["s-0"] = true
	for i := range maxKnownNames + 100 {
		names.addKnown(fmt.Sprint("s-", i))
	}
	assert.Len(t, names.known, maxKnownNames)
	assert.Len(t, names.byFirstListing, maxKnownNames)
	assert.Contains(t, names.known, "s-0")
	assert.NotContains(t, names.known, "s-1")
	assert.Contains(t, names.known, fmt.Sprint("s-", maxKnownNames+99))
}
