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

// idleClient is a client that occupies a descriptor of the node and does little else.
type idleClient struct {
	sends      string // before it rests, for as long as the node lets it
	reconnects bool   // it comes again as soon as it is shut
}

// connect has a number of such clients connect at once, until ctx ends.
func (client idleClient) connect(ctx context.Context, all *sync.WaitGroup, address string, many int) {
	for range many {
		all.Go(func() {
			pace := time.NewTicker(100 * time.Millisecond) // for those that are shut right after their coming
			defer pace.Stop()
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
				_, _ = io.WriteString(c, client.sends)
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

// Idle clients take every descriptor that clients may have, and more of them wait, while discovery is down and when it
// returns. They give way to each other and to clients that send requests, and nobody else gives way to them: the node keeps
// its connections to backends and opens new ones, gets the list as soon as it can be had, and answers each request. It never
// opens more descriptors than its limit.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const limit, many = 64, 64
	const look = "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
	const request = "POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: idle\r\nX-Qos: check\r\nX-Expires-In-Ms: 9000\r\nContent-Length: 9\r\n\r\n"
	for name, client := range map[string]idleClient{
		"rest after an answer":                 {look, false},
		"rest after an answer, and come again": {look, true},
		"never send a byte":                    {"", false},
		"never send a byte, and come again":    {"", true},
		"send half a head, and come again":     {look[:30], true},
		"send half a body, and come again":     {request + "half", true},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				playIdleClients(t, client, mode, limit, many)
			})
		}
	}
}

func playIdleClients(t *testing.T, i idleClient, mode string, limit, many int) {
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
	list := newFaultyDiscovery(t, 41, entries[0])
	// With so short an askWithin the node calls again within 1.5 s of any failed call, which leaves a busy machine 4.5 s of
	// the 6 s below.
	file := writeConfig(t, list, 192, limit, entries[0], strings.NewReplacer("subscribe", mode, `"askWithin":10000`, `"askWithin":3000`).Replace(settings))
	process, address, stderr := launch(t, "serve", "-config", file)
	log := followLog(t, stderr)
	most := uint64(limit)
	require.NoError(t, unix.Prlimit(process.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil))
	node := &testNode{t: t, process: process, address: address}
	open := func() int {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
		require.NoError(t, err)
		return len(files)
	}
	require.Eventually(t, func() bool { return !list.firstSeenWith(41).IsZero() }, 20*time.Second, time.Millisecond, "it watches the list")

	keepAliveClient, asked := newClient(), 0
	ask := func() { // by a client that keeps its connection as long as it may, and by a new one, in turn
		client := keepAliveClient
		if asked++; asked%2 == 0 {
			client = newClient()
			defer client.CloseIdleConnections()
		}
		node.sendUntilServed(client, fmt.Sprint("busy", asked))
		assert.LessOrEqual(t, open(), limit)
	}
	ask()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer func() { cancel(); all.Wait() }()
	fill := func() {
		i.connect(ctx, &all, address, many)
		require.Eventually(t, func() bool { return open() >= limit/2 }, 20*time.Second, time.Millisecond, "as many as may")
	}
	fill()
	dialled, before := dials[0].Load(), served[0].Load()
	for range 3 {
		ask()
		<-time.After(2 * pressureInterval) // the pace at which requests come
	}
	list.setMode(discoveryRefusing)
	require.Eventually(t, func() bool { return log.Count(`msg="endpoint list poll failed"`) >= 1 }, 20*time.Second, time.Millisecond)
	ask()
	assert.GreaterOrEqual(t, served[0].Load()-before, int64(4))
	assert.LessOrEqual(t, dials[0].Load()-dialled, int64(2), "the node keeps its connections to backends")

	// Meanwhile one backend has begun to drain, and another was added.
	list.publish(strings.Replace(entries[0], `"up"`, `"draining"`, 1)+","+entries[1], entries[1])
	if !i.reconnects {
		fill()
	}
	back := time.Now()
	list.setMode(discoveryWell)
	require.Eventually(t, func() bool { return !list.firstSeenWith(42).IsZero() }, 20*time.Second, time.Millisecond)
	assert.Less(t, list.firstSeenWith(42).Sub(back), 6*time.Second)
	before = served[0].Load()
	for range 3 {
		ask()
	}
	assert.Equal(t, before, served[0].Load(), "nothing new to the one that drains")
	assert.GreaterOrEqual(t, served[1].Load(), int64(3), "the node gets connections to backends")
	assert.False(t, log.hasEnded(), "the node lives")
}

// pressureInterval is the time between two checks of the node for descriptors while clients wait.
const pressureInterval = 100 * time.Millisecond
