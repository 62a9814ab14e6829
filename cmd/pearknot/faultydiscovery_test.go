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

// discoveryMode is how discovery treats its callers.
type discoveryMode string

const (
	discoveryWell       discoveryMode = "well"
	discoverySlow       discoveryMode = "slow"         // answers after 1.5 s
	discoveryTrickling  discoveryMode = "trickling"    // one byte at a time, over 1 s
	discoverySilent     discoveryMode = "silent"       // accepts, and never answers; its connections stay so, whatever comes after
	discoveryOverloaded discoveryMode = "turned away"  // 503: too many callers
	discoveryRefusing   discoveryMode = "refusing"     // nobody listens
	discoveryFull       discoveryMode = "full"         // nobody accepts, and the listener's queue is full
	discoveryClosing    discoveryMode = "shuts unread" // accepts, and closes at once
)

// faultyDiscovery is a discovery service that keeps its address while its mode changes.
type faultyDiscovery struct {
	t       testing.TB
	address string

	mu              sync.Mutex
	mode            discoveryMode
	list            string               // the list, without its version
	delta           string               // what changed since the version before
	version         uint64               // of both
	changed         chan struct{}        // closed when the version moves on
	calls           int                  // in this mode
	firstCalledWith map[uint64]time.Time // when a call first came from a node that has this version
	closeListener   func()               // of whatever listens
}

func newFaultyDiscovery(t testing.TB, version uint64, list string) *faultyDiscovery {
	discovery := &faultyDiscovery{t: t, address: reserveAddress(t), version: version, list: list, changed: make(chan struct{}), firstCalledWith: map[uint64]time.Time{}, closeListener: func() {}}
	discovery.setMode(discoveryWell)
	t.Cleanup(func() { discovery.setMode(discoveryRefusing) })
	return discovery
}

// Network and String make it a net.Addr.
func (discovery *faultyDiscovery) Network() string { return "tcp" }
func (discovery *faultyDiscovery) String() string  { return discovery.address }

// publish publishes the next version of the list: the delta and the whole.
func (discovery *faultyDiscovery) publish(delta, list string) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.version++
	discovery.delta, discovery.list = delta, list
	close(discovery.changed)
	discovery.changed = make(chan struct{})
}

// firstSeenWith returns when a call first came from a node that has a version; the zero time is never.
func (discovery *faultyDiscovery) firstSeenWith(version uint64) time.Time {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return discovery.firstCalledWith[version]
}

// callCount returns the number of calls in the current mode.
func (discovery *faultyDiscovery) callCount() int {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return discovery.calls
}

// setMode closes all connections and starts anew in another mode.
func (discovery *faultyDiscovery) setMode(mode discoveryMode) {
	discovery.closeListener()
	discovery.mu.Lock()
	discovery.mode, discovery.calls = mode, 0
	discovery.mu.Unlock()
	discovery.closeListener = func() {}
	switch mode {
	case discoveryRefusing:
	case discoveryFull:
		discovery.listenWithFullQueue()
	default:
		// The address is held by a socket that does not listen, beside which this one does.
		l, err := (&net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
			_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
			return err
		}}).Listen(context.Background(), "tcp", discovery.address)
		require.NoError(discovery.t, err)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { discovery.serve(mode, w, request) }), ConnState: func(conn net.Conn, state http.ConnState) {
			if mode == discoveryClosing && state == http.StateNew {
				_ = conn.Close()
			}
		}}
		served := make(chan struct{})
		go func() { defer close(served); _ = s.Serve(l) }()
		discovery.closeListener = func() { _ = s.Close(); <-served }
		if mode == discoverySilent {
			discovery.closeListener = func() { _ = l.Close(); <-served }
			discovery.t.Cleanup(func() { _ = s.Close() })
		}
	}
}

// listenWithFullQueue listens with the shortest queue and fills it, so that further connections are not accepted.
func (discovery *faultyDiscovery) listenWithFullQueue() {
	to, err := net.ResolveTCPAddr("tcp4", discovery.address)
	require.NoError(discovery.t, err)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(discovery.t, err)
	require.NoError(discovery.t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	at := &unix.SockaddrInet4{Port: to.Port}
	copy(at.Addr[:], to.IP.To4())
	require.NoError(discovery.t, unix.Bind(fd, at))
	require.NoError(discovery.t, unix.Listen(fd, 0))
	var inQueue []net.Conn
	for { // as long as any comes up
		conn, err := net.DialTimeout("tcp", discovery.address, 200*time.Millisecond)
		if err != nil {
			break
		}
		inQueue = append(inQueue, conn)
	}
	discovery.closeListener = func() {
		_ = unix.Close(fd)
		for _, conn := range inQueue {
			_ = conn.Close()
		}
	}
}

func (discovery *faultyDiscovery) serve(mode discoveryMode, w http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	discovery.mu.Lock()
	if mode == discovery.mode {
		discovery.calls++
	}
	changed := discovery.changed
	if discovery.firstCalledWith[from].IsZero() && watch {
		discovery.firstCalledWith[from] = time.Now()
	}
	news := !watch || from != discovery.version
	discovery.mu.Unlock()
	switch mode {
	case discoverySilent:
		<-request.Context().Done()
		return
	case discoveryOverloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case discoverySlow:
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	if !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	discovery.mu.Lock()
	answer := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, discovery.version, discovery.list)
	if watch && from == discovery.version {
		answer = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, discovery.version)
	} else if watch && from+1 == discovery.version {
		answer = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, discovery.version, discovery.delta)
	}
	discovery.mu.Unlock()
	if mode != discoveryTrickling {
		_, _ = io.WriteString(w, answer)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	startedAt := time.Now()
	for k := range len(answer) { // each at its own time, so that a late one does not delay the rest
		select {
		case <-time.After(time.Until(startedAt.Add(time.Duration(k) * time.Second / time.Duration(len(answer))))):
		case <-request.Context().Done():
			return
		}
		_, _ = io.WriteString(w, answer[k:k+1])
		_ = http.NewResponseController(w).Flush()
	}
}
