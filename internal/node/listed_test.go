package node

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/upstream"
)

// told decodes a list as it comes.
func told(t *testing.T, whole bool, entries string) *discovery.List {
	list, err := discovery.DeploymentNames{Zones: []string{"a", "b"}, Kinds: []string{"m"}}.Decode(
		fmt.Appendf(nil, `{"rev":1,"all":%t,"targets":[%s]}`, whole, entries), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return list
}

// had is what the node has of a backend, and the state the module has.
func had(n *Node, name string) (m discovery.Endpoint, state balancer.BackendState) {
	done := make(chan bool)
	n.box.Put(func() {
		defer close(done)
		if b := n.backends[name]; b != nil {
			m, state = b.member, b.State
		}
	})
	<-done
	return m, state
}

// An entry that can't be read whole, in a whole list: its backend is named, so that it is not gone; a drain counts; and
// nothing comes into use on its word.
func TestOddEntryOfAKnownBackend(t *testing.T) {
	const was = `{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":4}`
	for entry, want := range map[string]balancer.BackendState{
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"new","model":"m","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":4}`:   balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"new","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":4}`:   balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":-2,"state":"up","capacity_hint":3,"boot_ms":4}`:    balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":2,"state":"up","capacity_hint":"3","boot_ms":4}`:   balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":"4"}`:   balancer.BackendReady,
		`{"uid":"x","endpoint":"nowhere","az":"b","model":"m","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":4}`:         balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":2,"state":"asleep","capacity_hint":3,"boot_ms":4}`: balancer.BackendReady,
		`{"uid":"x","state":1}`: balancer.BackendReady,
		`{"uid":"x"}`:           balancer.BackendReady,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"new","model":"m","pod_group":2,"state":"draining","capacity_hint":3,"boot_ms":4}`: balancer.BackendDraining,
		`{"uid":"x","endpoint":7,"az":7,"model":7,"pod_group":"7","state":"draining","capacity_hint":"7","boot_ms":"7"}`:             balancer.BackendDraining,
		`{"uid":"x","state":"draining"}`: balancer.BackendDraining,
		`{"uid":"x","state":"removed"}`:  balancer.BackendRemoved,
	} {
		for _, whole := range []bool{true, false} {
			n, _ := start(t, "127.0.0.1:1")
			n.EndpointsChanged(told(t, false, was))
			before, _ := had(n, "x")
			n.EndpointsChanged(told(t, whole, entry))
			m, state := had(n, "x")
			assert.Equal(t, want, state, entry)
			if want != balancer.BackendRemoved {
				before.State = want
				assert.Equal(t, before, m, entry)
			}
		}
	}
}

// The twin: one that is not known stays out of use, as its place and kind are needed; and one that drains is not brought
// back, but has the start that the entry tells, since a cold backend must not be taken for a warm one.
func TestOddEntryBringsNothingIntoUse(t *testing.T) {
	n, _ := start(t, "127.0.0.1:1")
	n.EndpointsChanged(told(t, false, `{"uid":"x","endpoint":"127.0.0.1:1","az":"new","model":"m","state":"up"},`+
		`{"uid":"y","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"draining"}`))
	n.EndpointsChanged(told(t, false, `{"uid":"y","endpoint":"127.0.0.1:1","az":"new","model":"m","state":"up","boot_ms":9}`))
	x, _ := had(n, "x")
	assert.Zero(t, x)
	assert.ErrorIs(t, n.Cordon(t.Context(), "x", true, false), ErrNeverListed)
	y, state := had(n, "y")
	assert.Equal(t, balancer.BackendDraining, state)
	assert.InDelta(t, 9, y.Started, 0)
}

// One backend twice in a list. Changes count in their order; in a whole list, which has none, a drain is not hidden.
func TestNamedTwice(t *testing.T) {
	const up, drains = `{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"up"}`,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"draining"}`
	for _, test := range []struct {
		whole   bool
		entries string
		want    balancer.BackendState
	}{
		{true, up + "," + drains, balancer.BackendDraining}, {true, drains + "," + up, balancer.BackendDraining}, {true, up + "," + up, balancer.BackendReady},
		{false, up + "," + drains, balancer.BackendDraining}, {false, drains + "," + up, balancer.BackendReady},
	} {
		for _, first := range []string{up, drains, ""} {
			n, _ := start(t, "127.0.0.1:1")
			n.EndpointsChanged(told(t, false, first))
			n.EndpointsChanged(told(t, test.whole, test.entries))
			m, state := had(n, "x")
			assert.Equal(t, test.want, state, test.entries)
			assert.Equal(t, test.want, m.State, test.entries)
		}
	}
}

// A node that begins with the list of a process before it. Where changes come by themselves, what there is to tell counts
// from its first moment, so that it serves nobody by that list before it was told, or could not be.
func TestReadyByTheListOfBefore(t *testing.T) {
	const list = `{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"up"}`
	news := func(n *Node) { n.EndpointsChanged(told(t, false, "")) }
	for name, test := range map[string]struct {
		mustAsk, known bool
		turn           func(*Node)
		before, after  bool
	}{
		"told":                            {false, true, news, false, true},
		"the list can't be had":           {false, true, (*Node).PollFailed, false, true},
		"nor was there one":               {false, false, (*Node).PollFailed, false, false},
		"asked for, which has time":       {true, true, news, true, true},
		"asked for, and none to begin by": {true, false, (*Node).PollFailed, false, false},
	} {
		n := New(&config.Deployment{Balancer: &balancer.Config{Nodes: 1, PollEndpoints: test.mustAsk, PollInterval: 1e4, Classes: []balancer.Class{{LatencyObjective: 1}}}},
			NewBalancer, clock.New(), &upstream.Config{Budget: descriptors.New(64, func() {}), Log: slog.New(slog.DiscardHandler)}, func() {}, slog.New(slog.DiscardHandler))
		ready := func() bool {
			look, err := n.Status(t.Context())
			require.NoError(t, err)
			select {
			case <-n.Ready():
				assert.True(t, look.HasList, name)
				return true
			default:
				assert.False(t, look.HasList, name)
				return false
			}
		}
		var known *discovery.List
		if test.known {
			known = told(t, true, list)
		}
		n.Start(known)
		assert.Equal(t, test.before, ready(), name)
		test.turn(n)
		assert.Equal(t, test.after, ready(), name)
		n.Stop()
	}
}
