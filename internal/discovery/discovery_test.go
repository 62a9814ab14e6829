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

// Odd entries stand alone: a list must not be lost, nor the program, over one of them, nor what else they say.
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
	const at, missing = "127.0.0.1:80", invalidCell | invalidWeight | invalidStarted
	assert.Equal(t, &List{Version: 41, Complete: true, Endpoints: []Endpoint{
		{Name: "x", Address: "nowhere", State: balancer.BackendReady, Weight: 1, Invalid: invalidAddress | missing},
		{Name: "x", Address: at, State: balancer.BackendReady, Zone: -1, Weight: 1, Invalid: invalidZone | missing},
		{Name: "x", Address: at, State: balancer.BackendReady, Kind: -1, Weight: 1, Invalid: invalidKind | missing},
		{Name: "x", Address: at, Weight: 1, Invalid: invalidState | missing},
		{Name: "x", Address: at, State: balancer.BackendReady, Cell: -1, Weight: 1, Invalid: invalidCell | invalidWeight | invalidStarted},
		{Name: "x", Address: at, State: balancer.BackendDraining, Zone: -1, Kind: -1, Invalid: invalidZone | invalidKind | invalidCell | invalidWeight | invalidStarted},
		{Name: "x", Weight: 1, Started: 9, Invalid: invalidAddress | invalidState | invalidCell | invalidWeight},
		{Name: "x", Zone: -1, Weight: 1, Invalid: invalidZone | missing},
		{Name: "s", Address: at, State: balancer.BackendReady, Zone: 1, Cell: 3, Weight: 1, Started: 7},
		{Name: "g", State: balancer.BackendRemoved, Weight: 2.5},
	}}, list)
	for _, bad := range []string{``, `[]`, `{"all":true,"targets":[]}`, `{"rev":-1}`, `{"rev":"4","targets":[]}`,
		`{"rev":4,"all":true,"targets":[` + validEntry + `]`, `{"rev":4,"all":true,"targets":[]}}`, `{"rev":4,"all":true,"targets":[]}{}`,
		`{"rev":4,"all":true}`, `{"rev":4,"all":true,"targets":null}`, `{"rev":4,"all":true,"targets":{}}`} {
		_, err := testNames.Decode([]byte(bad), slog.New(slog.DiscardHandler))
		assert.Error(t, err, bad)
	}
	for _, empty := range []string{`{"rev":4,"all":true,"targets":[]}`, "{\n\t\"rev\": 4,\r\n\t\"all\": true,\n\t\"targets\": [\n\t]\n}\n"} {
		list, err := testNames.Decode([]byte(empty), slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		assert.Equal(t, &List{Version: 4, Complete: true}, list)
	}
}

// News of a backend that is known, in an entry that can't be read whole: every part that can be is taken, but it brings
// nothing back into use.
func TestMergeInto(t *testing.T) {
	had := Endpoint{"s", "old", balancer.BackendReady, 1, 2, 3, 4, 5, 0}
	all := invalidAddress | invalidState | invalidZone | invalidCell | invalidKind | invalidWeight | invalidStarted
	assert.Equal(t, had, Endpoint{Name: "s", Invalid: all}.MergeInto(had))
	now := Endpoint{"s", "new", balancer.BackendDraining, 6, 7, 8, 9, 10, 0}
	for part := Fields(1); part <= all; part <<= 1 {
		m := now
		m.Invalid = part
		got, kept := m.MergeInto(had), Fields(0)
		for k, same := range []bool{got.Address == had.Address, got.State == had.State, got.Zone == had.Zone, got.Cell == had.Cell,
			got.Kind == had.Kind, got.Weight == had.Weight, got.Started == had.Started} {
			if same {
				kept |= 1 << k
			}
		}
		assert.Equal(t, part, kept)
		assert.Zero(t, got.Invalid)
	}
	for _, state := range []balancer.BackendState{balancer.BackendRemoved, balancer.BackendDraining, balancer.BackendReady} {
		had.State = state
		assert.Equal(t, state, Endpoint{State: balancer.BackendReady, Invalid: invalidZone}.MergeInto(had).State)
		assert.Equal(t, balancer.BackendRemoved, Endpoint{State: balancer.BackendRemoved, Invalid: invalidZone}.MergeInto(had).State)
	}
}

func TestWatch(t *testing.T) {
	asked, answer := make(chan string), make(chan string)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		switch body := <-answer; body {
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
	defer discovery.Close()
	told, failed := make(chan *List, 1), make(chan bool, 1)
	w := &Watch{Address: discovery.Listener.Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler),
		OnList: func(l *List) { told <- l }, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll()
	assert.Equal(t, "", <-asked, "the whole list, where none is held")
	answer <- `{"rev":41,"all":true,"targets":[` + validEntry + `]}`
	assert.Equal(t, uint64(41), (<-told).Version)
	assert.Equal(t, "from=41&hold_ms=1200", <-asked)
	assert.Less(t, minPollInterval, 200*time.Millisecond, "the watch goes on")
	answer <- `{"rev":43,"all":false,"targets":[]}`
	assert.False(t, (<-told).Complete)
	assert.Equal(t, "from=43&hold_ms=1200", <-asked)
	answer <- "close" // no failure: the next call takes another connection
	assert.Equal(t, uint64(44), (<-told).Version)
	for k, fault := range []string{"down", "reset", "{}"} {
		assert.Equal(t, []string{"from=44&hold_ms=1200", "from=44&hold_ms=1", "from=44&hold_ms=1"}[k], <-asked, "from the version held")
		answer <- fault
		assert.True(t, <-failed)
		select {
		case <-asked:
			t.Error("asked again before the module said so")
		case <-time.After(50 * time.Millisecond):
		}
		w.Poll()
	}
	<-asked
	cancel()
	answer <- "{}"
}

// A new address is asked at once for its whole list, also while the old one holds a call; what the old one tells of
// later changes nothing, and its version is never sent to the new one.
func TestSetAddress(t *testing.T) {
	asked, hold := make(chan string), make(chan struct{})
	place := func(name, list string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case asked <- name + r.URL.RawQuery:
			case <-hold:
			}
			if r.URL.RawQuery == "" {
				fmt.Fprint(w, list)
				return
			}
			select {
			case <-r.Context().Done():
			case <-hold:
			}
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	told := make(chan *List, 1)
	w := &Watch{Address: place("old ", `{"rev":41,"all":true,"targets":[]}`), Deployment: testNames,
		Log: slog.New(slog.DiscardHandler), OnList: func(l *List) { told <- l }, OnFailure: func() { t.Error("failed") }}
	ctx, cancel := context.WithCancel(context.Background())
	defer close(hold)
	defer cancel()
	w.Start(ctx)
	w.Poll()
	assert.Equal(t, "old ", <-asked)
	assert.Equal(t, uint64(41), (<-told).Version)
	assert.Equal(t, "old from=41&hold_ms=1200", <-asked)
	w.SetAddress(place("new ", `{"rev":7,"all":true,"targets":[`+validEntry+`]}`))
	assert.Equal(t, "new ", <-asked)
	list := <-told
	assert.True(t, list.Complete)
	assert.Len(t, list.Endpoints, 1)
	assert.Equal(t, "new from=7&hold_ms=1200", <-asked)
}

// A connection to the list may fall silent without an end, while its service tells others of changes: the next one is
// asked at once. One that never said anything is a failed call.
func TestSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	targets := make(chan string, 9)
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(answers bool) { // one call, on the first connection
				for r := bufio.NewReader(c); ; answers = false {
					call, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					targets <- call.URL.RawQuery
					if answers {
						const list = `{"rev":7,"all":true,"targets":[]}`
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
					}
				}
			}(first)
		}
	}()
	failed := make(chan bool, 1)
	w := &Watch{Address: l.Addr().String(), Deployment: testNames, Log: slog.New(slog.DiscardHandler), longPollWait: time.Millisecond, answerTimeout: time.Second / 2,
		OnList: func(*List) {}, OnFailure: func() { failed <- true }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Start(ctx)
	w.Poll()
	assert.Equal(t, "", <-targets)
	for range 2 {
		assert.Equal(t, "from=7&hold_ms=1", <-targets)
	}
	assert.True(t, <-failed)
}
