package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// idleClient describes a client that occupies a descriptor of the node and sends little or nothing.
type idleClient struct {
	payload    string // before it idles, until the node closes the connection
	reconnects bool   // connects again once it is closed
}

// connect has count such clients connect at once, until ctx ends.
func (client idleClient) connect(ctx context.Context, all *sync.WaitGroup, address string, count int) {
	for range count {
		all.Go(func() {
			pace := time.NewTicker(100 * time.Millisecond) // for those that are closed right after they connect
			defer pace.Stop()
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
				_, _ = io.WriteString(c, client.payload)
				_, _ = io.Copy(io.Discard, c)
				stop()
				_ = c.Close()
				if !client.reconnects {
					return
				}
				select {
				case <-pace.C:
				case <-ctx.Done():
				}
			}
		})
	}
}

// Idle clients use every descriptor that clients may have, and more of them wait, while discovery is down and when it
// returns. Their connections are closed in favour of each other and of clients that send requests, and no others are closed in
// favour of them: the node keeps its connections to backends and opens new ones, gets the list as soon as it is available, and
// answers each request. It never opens more descriptors than its limit.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const limit, clientCount = 64, 64
	const healthCheck = "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
	const request = "POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: idle\r\nX-Qos: check\r\nX-Expires-In-Ms: 9000\r\nContent-Length: 9\r\n\r\n"
	for name, client := range map[string]idleClient{
		"idle after a response":                {healthCheck, false},
		"idle after a response, and reconnect": {healthCheck, true},
		"never send a byte":                    {"", false},
		"never send a byte, and reconnect":     {"", true},
		"send half a head, and reconnect":      {healthCheck[:30], true},
		"send half a body, and reconnect":      {request + "half", true},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				runIdleClients(t, client, mode, limit, clientCount)
			})
		}
	}
}

func runIdleClients(t *testing.T, kind idleClient, mode string, limit, clientCount int) {
	var dials, served [2]atomic.Int64
	var entries []string
	for k := range 2 {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served[k].Add(1) }))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				dials[k].Add(1)
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		entries = append(entries, strings.Replace(endpointEntry(s.Listener.Addr().String(), "up"), "s-1", fmt.Sprint("s-", k+1), 1))
	}
	list := newFaultyDiscovery(t, entries[0])
	// With so short an askWithin the node calls again within 1.5 s of any failed call, which leaves a busy machine 4.5 s of
	// the 6 s below.
	file := writeConfig(t, list, 192, limit, entries[0], strings.NewReplacer("subscribe", mode, `"askWithin":10000`, `"askWithin":3000`).Replace(settings))
	process, address, stderr := launch(t, "serve", "-config", file)
	log := followLog(t, stderr)
	maxFiles := uint64(limit)
	require.NoError(t, unix.Prlimit(process.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFiles, Max: maxFiles}, nil))
	node := &testNode{t: t, process: process, address: address}
	openFiles := func() int {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
		require.NoError(t, err)
		return len(files)
	}
	require.Eventually(t, func() bool { return !list.firstSeenWith(41).IsZero() }, 20*time.Second, time.Millisecond, "it watches the list")

	keepAliveClient, sent := newClient(), 0
	sendRequest := func() { // alternately by a client that keeps its connection and by a new one
		client := keepAliveClient
		if sent++; sent%2 == 0 {
			client = newClient()
			defer client.CloseIdleConnections()
		}
		node.sendUntilServed(client, fmt.Sprint("busy", sent))
		assert.LessOrEqual(t, openFiles(), limit)
	}
	sendRequest()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer func() { cancel(); all.Wait() }()
	fill := func() {
		kind.connect(ctx, &all, address, clientCount)
		require.Eventually(t, func() bool { return openFiles() >= limit/2 }, 20*time.Second, time.Millisecond, "idle clients fill the available descriptors")
	}
	fill()
	dialsBefore, servedBefore := dials[0].Load(), served[0].Load()
	for range 3 {
		sendRequest()
		<-time.After(2 * pressureInterval) // the pace at which requests come
	}
	list.setMode(discoveryRefusing)
	require.Eventually(t, func() bool { return log.Count(`msg="endpoint list poll failed"`) >= 1 }, 20*time.Second, time.Millisecond)
	sendRequest()
	assert.GreaterOrEqual(t, served[0].Load()-servedBefore, int64(4))
	assert.LessOrEqual(t, dials[0].Load()-dialsBefore, int64(2), "the node keeps its connections to backends")

	// Meanwhile one backend has begun to drain, and another was added.
	list.publish(strings.Replace(entries[0], `"up"`, `"draining"`, 1)+","+entries[1], entries[1])
	if !kind.reconnects {
		fill()
	}
	recoveredAt := time.Now()
	list.setMode(discoveryHealthy)
	require.Eventually(t, func() bool { return !list.firstSeenWith(42).IsZero() }, 20*time.Second, time.Millisecond)
	assert.Less(t, list.firstSeenWith(42).Sub(recoveredAt), 6*time.Second)
	servedBefore = served[0].Load()
	for range 3 {
		sendRequest()
	}
	assert.Equal(t, servedBefore, served[0].Load(), "no new requests to the draining backend")
	assert.GreaterOrEqual(t, served[1].Load(), int64(3), "the node opens connections to backends")
	assert.False(t, log.hasEnded(), "the node still runs")
}

// pressureInterval is the time between two of the node's checks for free descriptors while clients wait.
const pressureInterval = 100 * time.Millisecond
