package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

var testNames = DeploymentNames{Zones: []string{"a", "b_c"}, Kinds: []string{"m1"}}

const validEntry = `{"uid":"s","endpoint":"127.0.0.1:80","az":"b c","model":"m1","pod_group":3,"state":"up","boot_ms":7}`

// A discovery service sends entries with missing, mistyped or unknown values among valid ones. Such an entry must not
// invalidate the list, nor its own valid fields.
func TestDecode(t *testing.T) {
	list, err := testNames.Decode([]byte(`{"rev":41,"all":true,"targets":[7,null,{},{"uid":""},{"uid":8,"state":"draining"},`+
		`{"uid":"x","endpoint":"nowhere","az":"a","model":"m1","state":"up"},`+
		`{"uid":"x","endpoint":"127.0.0.1:80","az":"z","model":"m1","state":"up"},`+
		`{"uid":"x","endpoint":"127.0.0.1:80","az":"a","model":"m9","state":"up"},`+
		`{"uid":"x","endpoint":"127.0.0.1:80","az":"a","model":"m1","state":"asleep"},`+
		`{"uid":"x","endpoint":"127.0.0.1:80","az":"a","model":"m1","state":"up","pod_group":-1},`+
		`{"uid":"x","endpoint":"127.0.0.1:80","az":["a"],"model":{},"state":"draining","pod_group":"3","capacity_hint":"1","boot_ms":"0"},`+
		`{"uid":"x","endpoint":80,"az":"a","model":"m1","state":["up"],"pod_group":1.5,"boot_ms":9},`+
		`{"uid":"x","endpoint":7,"az":"z","model":"m1","state":"removed"},`+
		validEntry+`,{"uid":"g","az":"a","model":"m1","state":"removed","capacity_hint":2.5}]}`), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	const address, missing = "127.0.0.1:80", invalidCell | invalidWeight | invalidStarted
	assert.Equal(t, &List{Version: 41, Complete: true, Endpoints: []Endpoint{
		{Name: "x", Address: "nowhere", State: balancer.BackendReady, Weight: 1, Invalid: invalidAddress | missing},
		{Name: "x", Address: address, State: balancer.BackendReady, Zone: -1, Weight: 1, Invalid: invalidZone | missing},
		{Name: "x", Address: address, State: balancer.BackendReady, Kind: -1, Weight: 1, Invalid: invalidKind | missing},
		{Name: "x", Address: address, Weight: 1, Invalid: invalidState | missing},
		{Name: "x", Address: address, State: balancer.BackendReady, Cell: -1, Weight: 1, Invalid: invalidCell | invalidWeight | invalidStarted},
		{Name: "x", Address: address, State: balancer.BackendDraining, Zone: -1, Kind: -1, Invalid: invalidZone | invalidKind | invalidCell | invalidWeight | invalidStarted},
		{Name: "x", Weight: 1, Started: 9, Invalid: invalidAddress | invalidState | invalidCell | invalidWeight},
		{Name: "x", Zone: -1, Weight: 1, Invalid: invalidZone | missing},
		{Name: "s", Address: address, State: balancer.BackendReady, Zone: 1, Cell: 3, Weight: 1, Started: 7},
		{Name: "g", State: balancer.BackendRemoved, Weight: 2.5},
	}}, list)
	for _, malformed := range []string{``, `[]`, `{"all":true,"targets":[]}`, `{"rev":-1}`, `{"rev":"4","targets":[]}`,
		`{"rev":4,"all":true,"targets":[` + validEntry + `]`, `{"rev":4,"all":true,"targets":[]}}`, `{"rev":4,"all":true,"targets":[]}{}`,
		`{"rev":4,"all":true}`, `{"rev":4,"all":true,"targets":null}`, `{"rev":4,"all":true,"targets":{}}`} {
		_, err := testNames.Decode([]byte(malformed), slog.New(slog.DiscardHandler))
		assert.Error(t, err, malformed)
	}
	for _, empty := range []string{`{"rev":4,"all":true,"targets":[]}`, "{\n\t\"rev\": 4,\r\n\t\"all\": true,\n\t\"targets\": [\n\t]\n}\n"} {
		list, err := testNames.Decode([]byte(empty), slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		assert.Equal(t, &List{Version: 4, Complete: true}, list)
	}
}

// An entry for a known backend is partly invalid. Each valid field is applied, each invalid one keeps its known value,
// and the entry may take the backend out of use but never back into use.
func TestMergeInto(t *testing.T) {
	known := Endpoint{"s", "old", balancer.BackendReady, 1, 2, 3, 4, 5, 0}
	all := invalidAddress | invalidState | invalidZone | invalidCell | invalidKind | invalidWeight | invalidStarted
	assert.Equal(t, known, Endpoint{Name: "s", Invalid: all}.MergeInto(known))
	update := Endpoint{"s", "new", balancer.BackendDraining, 6, 7, 8, 9, 10, 0}
	for field := Fields(1); field <= all; field <<= 1 {
		endpoint := update
		endpoint.Invalid = field
		merged, unchanged := endpoint.MergeInto(known), Fields(0)
		for k, isSame := range []bool{merged.Address == known.Address, merged.State == known.State, merged.Zone == known.Zone,
			merged.Cell == known.Cell, merged.Kind == known.Kind, merged.Weight == known.Weight, merged.Started == known.Started} {
			if isSame {
				unchanged |= 1 << k
			}
		}
		assert.Equal(t, field, unchanged)
		assert.Zero(t, merged.Invalid)
	}
	for _, state := range []balancer.BackendState{balancer.BackendRemoved, balancer.BackendDraining, balancer.BackendReady} {
		known.State = state
		assert.Equal(t, state, Endpoint{State: balancer.BackendReady, Invalid: invalidZone}.MergeInto(known).State)
		assert.Equal(t, balancer.BackendRemoved, Endpoint{State: balancer.BackendRemoved, Invalid: invalidZone}.MergeInto(known).State)
	}
}

// A watch polls for the complete list, then for changes since each version it has, over a connection that the service
// closes once. A refusal, a reset and a malformed response each end the session, and nothing is polled until StartSession
// is called.
func TestWatch(t *testing.T) {
	queries, responses := make(chan string), make(chan string)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch body := <-responses; body {
		case "down":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "reset":
			panic(http.ErrAbortHandler)
		case "close":
			w.Header().Set("Connection", "close")
			fmt.Fprint(w, `{"rev":44,"targets":[]}`)
		default:
			fmt.Fprint(w, body)
		}
	}))
	defer service.Close()
	lists, failed := make(chan *List, 1), make(chan bool, 1)
	watch := &Watch{Address: service.Listener.Addr().String(), Deployment: testNames,
		Log:    slog.New(slog.DiscardHandler),
		OnList: func(list *List) { lists <- list }, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	assert.Equal(t, "", <-queries, "requests the complete list, since there is none yet")
	responses <- `{"rev":41,"all":true,"targets":[` + validEntry + `]}`
	assert.Equal(t, uint64(41), (<-lists).Version)
	assert.Equal(t, "from=41&hold_ms=1200", <-queries)
	assert.Less(t, minPollInterval, 200*time.Millisecond, "the service expects the next poll within 200 ms")
	responses <- `{"rev":43,"all":false,"targets":[]}`
	assert.False(t, (<-lists).Complete)
	assert.Equal(t, "from=43&hold_ms=1200", <-queries)
	responses <- "close" // not a failure: the next poll uses another connection
	assert.Equal(t, uint64(44), (<-lists).Version)
	for k, fault := range []string{"down", "reset", "{}"} {
		assert.Equal(t, []string{"from=44&hold_ms=1200", "from=44&hold_ms=1", "from=44&hold_ms=1"}[k], <-queries, "from the latest version")
		responses <- fault
		assert.True(t, <-failed)
		select {
		case <-queries:
			t.Error("polled again before StartSession was called")
		case <-time.After(50 * time.Millisecond):
		}
		watch.StartSession()
	}
	<-queries
	cancel()
	responses <- "{}"
}

// The discovery address changes while the old service holds a long poll. The new service is polled at once for its
// complete list, and the old service's version is never sent to it.
func TestSetAddress(t *testing.T) {
	queries, release := make(chan string), make(chan struct{})
	newService := func(name, list string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case queries <- name + r.URL.RawQuery:
			case <-release:
			}
			if r.URL.RawQuery == "" {
				fmt.Fprint(w, list)
				return
			}
			select {
			case <-r.Context().Done():
			case <-release:
			}
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	lists := make(chan *List, 1)
	watch := &Watch{Address: newService("old ", `{"rev":41,"all":true,"targets":[]}`), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), OnList: func(list *List) { lists <- list }, OnFailure: func() { t.Error("failed") }}
	ctx, cancel := context.WithCancel(context.Background())
	defer close(release)
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	assert.Equal(t, "old ", <-queries)
	assert.Equal(t, uint64(41), (<-lists).Version)
	assert.Equal(t, "old from=41&hold_ms=1200", <-queries)
	watch.SetAddress(newService("new ", `{"rev":7,"all":true,"targets":[`+validEntry+`]}`))
	assert.Equal(t, "new ", <-queries)
	list := <-lists
	assert.True(t, list.Complete)
	assert.Len(t, list.Endpoints, 1)
	assert.Equal(t, "new from=7&hold_ms=1200", <-queries)
}

// A connection to the discovery service stalls without being closed, while the service sends changes to other nodes.
// Another connection is tried at once. If it gets no response either, the session fails.
func TestStalledConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	queries := make(chan string, 9)
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func(responds bool) { // only the first poll of the first connection gets a response
				for r := bufio.NewReader(c); ; responds = false {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					queries <- request.URL.RawQuery
					if responds {
						const list = `{"rev":7,"all":true,"targets":[]}`
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
					}
				}
			}(first)
		}
	}()
	failed := make(chan bool, 1)
	watch := &Watch{Address: listener.Addr().String(), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), longPollWait: time.Millisecond, responseTimeout: time.Second / 2,
		OnList: func(*List) {}, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch.Start(ctx)
	watch.StartSession()
	assert.Equal(t, "", <-queries)
	for range 2 {
		assert.Equal(t, "from=7&hold_ms=1", <-queries)
	}
	assert.True(t, <-failed)
}
