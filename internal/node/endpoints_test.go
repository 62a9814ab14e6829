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

// decodeList decodes endpoint list entries in discovery's JSON.
func decodeList(t *testing.T, complete bool, entries string) *discovery.List {
	t.Helper()
	list, err := discovery.DeploymentNames{Zones: []string{"a", "b"}, Kinds: []string{"m"}}.Decode(
		fmt.Appendf(nil, `{"rev":1,"all":%t,"targets":[%s]}`, complete, entries), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return list
}

// backendState returns the node's entry for a backend, and the backend's state in the balancer.
func backendState(n *Node, name string) (endpoint discovery.Endpoint, state balancer.BackendState) {
	done := make(chan bool)
	n.mailbox.Put(func() {
		defer close(done)
		if b := n.backends[name]; b != nil {
			endpoint, state = b.endpoint, b.State
		}
	})
	<-done
	return endpoint, state
}

// An entry for a known backend has invalid fields. The backend is listed, so it is not removed; a draining or removed
// state is applied; every other invalid field keeps its last valid value.
func TestInvalidEntryOfKnownBackend(t *testing.T) {
	const good = `{"uid":"x","endpoint":"127.0.0.1:1","az":"b","model":"m","pod_group":2,"state":"up","capacity_hint":3,"boot_ms":4}`
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
		for _, complete := range []bool{true, false} {
			n, _ := startNode(t, "127.0.0.1:1")
			n.EndpointsChanged(decodeList(t, false, good))
			known, _ := backendState(n, "x")
			n.EndpointsChanged(decodeList(t, complete, entry))
			endpoint, state := backendState(n, "x")
			assert.Equal(t, want, state, entry)
			if want != balancer.BackendRemoved {
				known.State = want
				assert.Equal(t, known, endpoint, entry)
			}
		}
	}
}

// An invalid entry for an unknown backend is skipped, because its zone and kind are needed. One for a draining backend
// does not make it ready again, but its start time is applied: a cold backend must not be treated as a warm one.
func TestInvalidEntryEnablesNoBackend(t *testing.T) {
	n, _ := startNode(t, "127.0.0.1:1")
	n.EndpointsChanged(decodeList(t, false, `{"uid":"x","endpoint":"127.0.0.1:1","az":"new","model":"m","state":"up"},`+
		`{"uid":"y","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"draining"}`))
	n.EndpointsChanged(decodeList(t, false, `{"uid":"y","endpoint":"127.0.0.1:1","az":"new","model":"m","state":"up","boot_ms":9}`))
	x, _ := backendState(n, "x")
	assert.Zero(t, x)
	assert.ErrorIs(t, n.Cordon(t.Context(), "x", true, false), ErrNeverListed)
	y, state := backendState(n, "y")
	assert.Equal(t, balancer.BackendDraining, state)
	assert.InDelta(t, 9, y.Started, 0)
}

// A list names a backend twice. In a list of changes the last entry applies; a complete list is unordered, and a draining
// state must not be overridden.
func TestBackendListedTwice(t *testing.T) {
	const ready, draining = `{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"up"}`,
		`{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"draining"}`
	for _, test := range []struct {
		complete bool
		entries  string
		want     balancer.BackendState
	}{
		{true, ready + "," + draining, balancer.BackendDraining}, {true, draining + "," + ready, balancer.BackendDraining}, {true, ready + "," + ready, balancer.BackendReady},
		{false, ready + "," + draining, balancer.BackendDraining}, {false, draining + "," + ready, balancer.BackendReady},
	} {
		for _, first := range []string{ready, draining, ""} {
			n, _ := startNode(t, "127.0.0.1:1")
			n.EndpointsChanged(decodeList(t, false, first))
			n.EndpointsChanged(decodeList(t, test.complete, test.entries))
			endpoint, state := backendState(n, "x")
			assert.Equal(t, test.want, state, test.entries)
			assert.Equal(t, test.want, endpoint.State, test.entries)
		}
	}
}

// A node starts with the cached endpoint list of the process before it. If the list is watched, a backend may have started
// to drain meanwhile, so the node must not serve by the cached list before the watch has reported or failed.
func TestReadinessWithCachedEndpoints(t *testing.T) {
	const list = `{"uid":"x","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"up"}`
	changed := func(n *Node) { n.EndpointsChanged(decodeList(t, false, "")) }
	for name, test := range map[string]struct {
		polls, hasCache bool
		event           func(*Node)
		before, after   bool
	}{
		"watch reports":                 {false, true, changed, false, true},
		"watch fails":                   {false, true, (*Node).PollFailed, false, true},
		"watch fails without a cache":   {false, false, (*Node).PollFailed, false, false},
		"polling":                       {true, true, changed, true, true},
		"polling fails without a cache": {true, false, (*Node).PollFailed, false, false},
	} {
		n := New(&config.Deployment{BalancerConfig: &balancer.Config{Nodes: 1, PollEndpoints: test.polls, PollInterval: 1e4, Classes: []balancer.Class{{LatencyObjective: 1}}}},
			NewBalancer, clock.New(), &upstream.Config{Budget: descriptors.New(64, func() {}), Log: slog.New(slog.DiscardHandler)}, func() {}, slog.New(slog.DiscardHandler))
		ready := func() bool {
			status, err := n.Status(t.Context())
			require.NoError(t, err)
			select {
			case <-n.Ready():
				assert.True(t, status.Ready, name)
				return true
			default:
				assert.False(t, status.Ready, name)
				return false
			}
		}
		var cached *discovery.List
		if test.hasCache {
			cached = decodeList(t, true, list)
		}
		n.Start(cached)
		assert.Equal(t, test.before, ready(), name)
		test.event(n)
		assert.Equal(t, test.after, ready(), name)
		n.Stop()
	}
}
