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

// A backend taken out gets nothing, whatever the list and a fault of the module do meanwhile, until it is put back.
func TestTakeOut(t *testing.T) {
	silent := silence(t)
	n, c := start(t, silent.address)
	take := func(name string, out bool) error { return n.Cordon(t.Context(), name, out, false) }
	assert.ErrorIs(t, take("other", true), ErrNeverListed)
	assert.ErrorIs(t, take("other", false), ErrNeverListed)
	require.NoError(t, take("s", true))
	require.NoError(t, take("s", true), "may be repeated")
	up := discovery.Endpoint{Name: "s", Address: silent.address, State: balancer.BackendReady, Weight: 1}
	for name, turn := range map[string]func(){
		"at once":      func() {},
		"listed again": func() { n.EndpointsChanged(&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{up}}) },
		"gone and listed anew": func() {
			n.EndpointsChanged(&discovery.List{Complete: true})
			n.EndpointsChanged(&discovery.List{Endpoints: []discovery.Endpoint{up}})
		},
		"a fault": func() { n.box.Put(func() { panic("fault") }) },
	} {
		turn()
		o := op(c, 0)
		o.Deadline = c.Now() + 100
		n.Submit(o)
		assert.Equal(t, Rejected, (<-o.Answer()).Status, name)
	}
	assert.Empty(t, silent.got)
	require.NoError(t, take("s", false))
	require.NoError(t, take("s", false))
	n.Submit(op(c, 0))
	<-silent.got

	// One that the list had once and has no more may be taken out, too.
	n.EndpointsChanged(&discovery.List{Complete: true})
	require.NoError(t, take("s", true))
	assert.Equal(t, true, n.names.banned["s"])
}

// An operator's call waits for the batch at hand, not for all that lies in the mailbox.
func TestCallsComeFirst(t *testing.T) {
	n, _ := start(t, "127.0.0.1:1")
	hold, order := make(chan struct{}), make(chan bool, 1)
	begun := make(chan struct{})
	n.box.Put(func() { close(begun); <-hold })
	<-begun
	n.box.Put(func() { order <- n.names.banned["s"] })
	done := make(chan error, 1)
	go func() { done <- n.Cordon(t.Context(), "s", true, false) }()
	require.Eventually(t, func() bool { return n.box.Len() == 2 }, 10*time.Second, time.Millisecond)
	close(hold)
	require.NoError(t, <-done)
	assert.True(t, <-order, "what was put before it finds it done")

	hold = make(chan struct{})
	defer close(hold)
	begun = make(chan struct{})
	n.box.Put(func() { close(begun); <-hold })
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, n.Cordon(ctx, "s", false, false), context.DeadlineExceeded)
}

// Names are remembered within a bound; those taken out stay.
func TestNamesAreBounded(t *testing.T) {
	s := newNames()
	s.banned["s-0"] = true
	for k := range mostNames + 100 {
		s.listed(fmt.Sprint("s-", k))
	}
	assert.Len(t, s.known, mostNames)
	assert.Len(t, s.order, mostNames)
	assert.Contains(t, s.known, "s-0")
	assert.NotContains(t, s.known, "s-1")
	assert.Contains(t, s.known, fmt.Sprint("s-", mostNames+99))
}
