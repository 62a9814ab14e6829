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

// discoveryMode selects how discovery responds to calls.
type discoveryMode string

const (
	discoveryHealthy    discoveryMode = "well"
	discoverySlow       discoveryMode = "slow"          // answers after 1.5 s
	discoveryTrickling  discoveryMode = "trickling"     // one byte at a time, over 1 s
	discoverySilent     discoveryMode = "silent"        // accepts and never responds; its connections stay silent in later modes
	discoveryOverloaded discoveryMode = "responds 503"  // too many callers
	discoveryRefusing   discoveryMode = "refusing"      // nothing listens
	discoveryFull       discoveryMode = "full"          // connections are not accepted, and the listener's queue is full
	discoveryClosing    discoveryMode = "closes unread" // accepts, and closes at once
)

// faultyDiscovery is a discovery service that keeps its address while its mode changes.
type faultyDiscovery struct {
	t       testing.TB
	address string

	mu              sync.Mutex
	mode            discoveryMode
	list            string               // the list, without its version
	delta           string               // changes since the previous version
	version         uint64               // of list and delta
	changed         chan struct{}        // closed when the version increases
	calls           int                  // in this mode
	firstCalledWith map[uint64]time.Time // time of the first call from a node with this version
	closeListener   func()               // closes the current listener
}

// firstListVersion is the version of the list with which a discovery service starts.
const firstListVersion = 41

func newFaultyDiscovery(t testing.TB, list string) *faultyDiscovery {
	discovery := &faultyDiscovery{t: t, address: reserveAddress(t), version: firstListVersion, list: list, changed: make(chan struct{}), firstCalledWith: map[uint64]time.Time{}, closeListener: func() {}}
	discovery.setMode(discoveryHealthy)
	t.Cleanup(func() { discovery.setMode(discoveryRefusing) })
	return discovery
}

// Network and String make it a net.Addr.
func (discovery *faultyDiscovery) Network() string { return "tcp" }
func (discovery *faultyDiscovery) String() string  { return discovery.address }

// publish publishes the next version of the list: the delta and the whole list.
func (discovery *faultyDiscovery) publish(delta, list string) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.version++
	discovery.delta, discovery.list = delta, list
	close(discovery.changed)
	discovery.changed = make(chan struct{})
}

// firstSeenWith returns the time of the first call from a node with a version, or the zero time if there was none.
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

// setMode closes all connections but those of discoverySilent, and restarts the service in another mode.
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
		// reserveAddress holds the address with a socket that does not listen. With SO_REUSEPORT this one can listen there.
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
	address := &unix.SockaddrInet4{Port: to.Port}
	copy(address.Addr[:], to.IP.To4())
	require.NoError(discovery.t, unix.Bind(fd, address))
	require.NoError(discovery.t, unix.Listen(fd, 0))
	var queued []net.Conn
	for { // until a connection is not accepted
		conn, err := net.DialTimeout("tcp", discovery.address, 200*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, conn)
	}
	discovery.closeListener = func() {
		_ = unix.Close(fd)
		for _, conn := range queued {
			_ = conn.Close()
		}
	}
}

func (discovery *faultyDiscovery) serve(mode discoveryMode, w http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	isWatch := err == nil
	holdMs, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	discovery.mu.Lock()
	if mode == discovery.mode {
		discovery.calls++
	}
	changed := discovery.changed
	if discovery.firstCalledWith[from].IsZero() && isWatch {
		discovery.firstCalledWith[from] = time.Now()
	}
	hasUpdate := !isWatch || from != discovery.version
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
	if !hasUpdate {
		select {
		case <-changed:
		case <-time.After(time.Duration(holdMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	discovery.mu.Lock()
	response := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, discovery.version, discovery.list)
	if isWatch && from == discovery.version {
		response = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, discovery.version)
	} else if isWatch && from+1 == discovery.version {
		response = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, discovery.version, discovery.delta)
	}
	discovery.mu.Unlock()
	if mode != discoveryTrickling {
		_, _ = io.WriteString(w, response)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	startedAt := time.Now()
	for k := range len(response) { // each at its own time, so that a late one does not delay the rest
		select {
		case <-time.After(time.Until(startedAt.Add(time.Duration(k) * time.Second / time.Duration(len(response))))):
		case <-request.Context().Done():
			return
		}
		_, _ = io.WriteString(w, response[k:k+1])
		_ = http.NewResponseController(w).Flush()
	}
}
