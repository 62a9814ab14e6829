package main

import (
	"bufio"
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

// idler is a client that takes a descriptor of the node's, and next to nothing else.
type idler struct {
	says  string // before it rests, for as long as the node lets it
	again bool   // it comes again as soon as it is shut
}

// come has so many come at once, until ctx ends.
func (i idler) come(ctx context.Context, all *sync.WaitGroup, address string, many int) {
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
				_, _ = io.WriteString(c, i.says)
				_, _ = io.Copy(io.Discard, c)
				stop()
				_ = c.Close()
				if !i.again {
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

// Idle clients take every descriptor that clients may have, and more of them wait, while discovery is down and when it returns.
// They give way to one another and to whoever asks something, and nobody else gives way to them: the node keeps its
// connections to backends and has new ones, has the list as soon as it can be had, and answers each request. The process may not
// open one descriptor more than its limit.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const limit, many = 64, 64
	const look = "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
	const request = "POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: idle\r\nX-Qos: check\r\nX-Expires-In-Ms: 9000\r\nContent-Length: 9\r\n\r\n"
	for name, i := range map[string]idler{
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
				idleClientsFill(t, i, mode, limit, many)
			})
		}
	}
}

func idleClientsFill(t *testing.T, i idler, mode string, limit, many int) {
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
		entries = append(entries, strings.Replace(entry(s.Listener.Addr().String(), "up"), "s-1", fmt.Sprint("s-", k+1), 1))
	}
	list := newCatalog(t, 41, entries[0])
	// With askWithin as short as this the node asks again within 1.5 s of whichever failed call, so that a busy machine has 4.5 s
	// to spare of the 6 s below.
	file := writeConfig(t, list, 192, limit, entries[0], strings.NewReplacer("subscribe", mode, `"askWithin":10000`, `"askWithin":3000`).Replace(settings))
	process, address, stderr := launch(t, "serve", "-config", file)
	log := follow(t, stderr)
	most := uint64(limit)
	require.NoError(t, unix.Prlimit(process.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil))
	w := &world{t: t, process: process, address: address}
	open := func() int {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
		require.NoError(t, err)
		return len(files)
	}
	require.Eventually(t, func() bool { return !list.had(41).IsZero() }, 20*time.Second, time.Millisecond, "it watches the list")

	kept, asked := fresh(), 0
	ask := func() { // by a client that keeps its connection as long as it may, and by a new one, in turn
		client := kept
		if asked++; asked%2 == 0 {
			client = fresh()
			defer client.CloseIdleConnections()
		}
		w.served(client, fmt.Sprint("busy", asked))
		assert.LessOrEqual(t, open(), limit)
	}
	ask()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer func() { cancel(); all.Wait() }()
	fill := func() {
		i.come(ctx, &all, address, many)
		require.Eventually(t, func() bool { return open() >= limit/2 }, 20*time.Second, time.Millisecond, "as many as may")
	}
	fill()
	dialled, before := dials[0].Load(), served[0].Load()
	for range 3 {
		ask()
		<-time.After(2 * pressedFor) // the pace at which requests come
	}
	list.be(refusing)
	require.Eventually(t, func() bool { return log.count(`msg="endpoint list poll failed"`) >= 1 }, 20*time.Second, time.Millisecond)
	ask()
	assert.GreaterOrEqual(t, served[0].Load()-before, int64(4))
	assert.LessOrEqual(t, dials[0].Load()-dialled, int64(2), "the node keeps its connections to backends")

	// Meanwhile a backend has begun to drain, and another has come.
	list.change(strings.Replace(entries[0], `"up"`, `"draining"`, 1)+","+entries[1], entries[1])
	if !i.again {
		fill()
	}
	back := time.Now()
	list.be(well)
	require.Eventually(t, func() bool { return !list.had(42).IsZero() }, 20*time.Second, time.Millisecond)
	assert.Less(t, list.had(42).Sub(back), 6*time.Second)
	before = served[0].Load()
	for range 3 {
		ask()
	}
	assert.Equal(t, before, served[0].Load(), "nothing new to the one that drains")
	assert.GreaterOrEqual(t, served[1].Load(), int64(3), "the node gets connections to backends")
	assert.False(t, log.over(), "the node lives")
}

// served sends a request until it is answered by a backend. Where a busy machine holds things up for seconds, a backend is spared
// and requests are rejected for a while, or a new connection is shut with the request unread; both come again.
func (w *world) served(client *http.Client, id string) {
	for until := time.Now().Add(20 * time.Second); ; <-time.After(time.Millisecond) {
		status, _, _, err := w.ask(client, "GET", id, "check", "20000")
		if err == nil && status == http.StatusOK {
			return
		}
		if err == nil {
			require.Equal(w.t, http.StatusServiceUnavailable, status, id)
		}
		require.Less(w.t, time.Now(), until, "%s: %d %v", id, status, err)
	}
}

// pressedFor is how long the node goes between two looks for descriptors while clients wait.
const pressedFor = 100 * time.Millisecond

// lines are what a process says, as long as it does.
type lines struct {
	mu    sync.Mutex
	said  strings.Builder
	ended chan struct{}
}

// follow reads a process's log; a test that fails shows it.
func follow(t testing.TB, from io.Reader) *lines {
	l := &lines{ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		for scan := bufio.NewScanner(from); scan.Scan(); {
			l.mu.Lock()
			l.said.WriteString(scan.Text() + "\n")
			l.mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		if t.Failed() {
			l.mu.Lock()
			defer l.mu.Unlock()
			t.Log(l.said.String())
		}
	})
	return l
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.said.String(), text)
}

func (l *lines) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}
