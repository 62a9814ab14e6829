package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// mood is what a caller of discovery meets.
type mood string

const (
	well       mood = "well"
	slow       mood = "slow"         // answers after 1.5 s
	trickling  mood = "trickling"    // one byte at a time, over 1 s
	silent     mood = "silent"       // accepts, and never answers; its connections stay so, whatever comes after
	turnedAway mood = "turned away"  // 503: too many callers
	refusing   mood = "refusing"     // nobody listens
	full       mood = "full"         // nobody accepts, and the listener's queue is full
	unread     mood = "shuts unread" // accepts, and closes at once
)

// catalog is a discovery at an address that stays its own in whatever mood.
type catalog struct {
	t       testing.TB
	address string

	mu      sync.Mutex
	mood    mood
	whole   string               // the list, without its version
	since   string               // what changed since the version before
	version uint64               // of both
	changed chan struct{}        // closed when the version moves on
	calls   int                  // in this mood
	held    map[uint64]time.Time // when a call first came from a node that has this version
	end     func()               // of whatever listens
}

func newCatalog(t testing.TB, version uint64, whole string) *catalog {
	c := &catalog{t: t, address: reserved(t), version: version, whole: whole, changed: make(chan struct{}), held: map[uint64]time.Time{}, end: func() {}}
	c.be(well)
	t.Cleanup(func() { c.be(refusing) })
	return c
}

// Network and String make it an address.
func (c *catalog) Network() string { return "tcp" }
func (c *catalog) String() string  { return c.address }

// change moves the list on, for whoever can reach it.
func (c *catalog) change(since, whole string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.since, c.whole = since, whole
	close(c.changed)
	c.changed = make(chan struct{})
}

// had is when a node was first seen to have a version; zero is never.
func (c *catalog) had(version uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[version]
}

// called is how many calls have come in this mood.
func (c *catalog) called() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// be ends all connections, and begins anew in another mood.
func (c *catalog) be(m mood) {
	c.end()
	c.mu.Lock()
	c.mood, c.calls = m, 0
	c.mu.Unlock()
	c.end = func() {}
	switch m {
	case refusing:
	case full:
		c.fill()
	default:
		// The address is held by a socket that does not listen, beside which this one does.
		l, err := (&net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
			_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
			return err
		}}).Listen(context.Background(), "tcp", c.address)
		require.NoError(c.t, err)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(m, w, r) }), ConnState: func(conn net.Conn, state http.ConnState) {
			if m == unread && state == http.StateNew {
				_ = conn.Close()
			}
		}}
		served := make(chan struct{})
		go func() { defer close(served); _ = s.Serve(l) }()
		c.end = func() { _ = s.Close(); <-served }
		if m == silent {
			c.end = func() { _ = l.Close(); <-served }
			c.t.Cleanup(func() { _ = s.Close() })
		}
	}
}

// fill listens with a queue of none, and fills it.
func (c *catalog) fill() {
	to, err := net.ResolveTCPAddr("tcp4", c.address)
	require.NoError(c.t, err)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(c.t, err)
	require.NoError(c.t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	at := &unix.SockaddrInet4{Port: to.Port}
	copy(at.Addr[:], to.IP.To4())
	require.NoError(c.t, unix.Bind(fd, at))
	require.NoError(c.t, unix.Listen(fd, 0))
	var inQueue []net.Conn
	for { // as long as any comes up
		conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
		if err != nil {
			break
		}
		inQueue = append(inQueue, conn)
	}
	c.end = func() {
		_ = unix.Close(fd)
		for _, conn := range inQueue {
			_ = conn.Close()
		}
	}
}

func (c *catalog) serve(m mood, w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	c.mu.Lock()
	if m == c.mood {
		c.calls++
	}
	changed := c.changed
	if c.held[from].IsZero() && watch {
		c.held[from] = time.Now()
	}
	news := !watch || from != c.version
	c.mu.Unlock()
	switch m {
	case silent:
		<-r.Context().Done()
		return
	case turnedAway:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case slow:
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	answer := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, c.version, c.whole)
	if watch && from == c.version {
		answer = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, c.version)
	} else if watch && from+1 == c.version {
		answer = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, c.version, c.since)
	}
	c.mu.Unlock()
	if m != trickling {
		_, _ = io.WriteString(w, answer)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	begun := time.Now()
	for k := range len(answer) { // each at its moment, so that a late one does not hold up the rest
		select {
		case <-time.After(time.Until(begun.Add(time.Duration(k) * time.Second / time.Duration(len(answer))))):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, answer[k:k+1])
		_ = http.NewResponseController(w).Flush()
	}
}
