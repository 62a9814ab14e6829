package controlsocket

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// startServer serves a control socket and returns its path.
func startServer(t *testing.T, handler http.Handler) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	listener, err := Listen(path)
	require.NoError(t, err)
	server := NewServer(handler)
	go func() { _ = server.Serve(LimitConnections(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return path
}

// A node reports its status and is taken out of service. The handler knows its caller although the connections are limited,
// calls that fail are answered with a status that tells the cause, and only the process's user may access the socket.
func TestNodeCalls(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the server is closed
	var lastService Service
	path := startServer(t, NewNodeHandler(NodeCalls{
		Status: func(ctx context.Context) (Status, error) {
			assert.Equal(t, Caller{PID: int32(os.Getpid()), UID: uint32(os.Getuid())}, CallerOf(ctx))
			return Status{Token: "x", OpenRequests: 3}, nil
		},
		SetService: func(service Service) error {
			lastService = service
			if service.Reason == "refuse" {
				return errors.New("")
			}
			return nil
		},
	}))
	client := NewClient(path, time.Second)
	var status Status
	require.NoError(t, client.Call(t.Context(), "GET", StatusPath, nil, &status))
	assert.Equal(t, Status{Token: "x", OpenRequests: 3}, status)
	require.NoError(t, client.Call(t.Context(), "POST", ServicePath, Service{InService: true, Reason: "y"}, nil))
	assert.Equal(t, Service{InService: true, Reason: "y"}, lastService)
	for name, c := range map[string]struct {
		method, path string
		body         any
		wantStatus   int
	}{
		"unknown field":       {"POST", ServicePath, map[string]int{"on": 1}, 400},
		"no capture":          {"POST", CapturePath, nil, 404},
		"unknown path":        {"GET", "/", nil, 404},
		"refused by the node": {"POST", ServicePath, Service{Reason: "refuse"}, 409},
		"no TLS":              {"POST", RenewPath, Certificate{Name: "n"}, 404},
		"no peers":            {"GET", PeersPath, nil, 404},
		"clients not tracked": {"GET", ClientsPath, nil, 404},
	} {
		err := client.Call(t.Context(), c.method, c.path, c.body, nil)
		var responseErr *ResponseError
		require.ErrorAs(t, err, &responseErr, name)
		assert.Equal(t, c.wantStatus, responseErr.Status, name)
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
}

// A killed process leaves its socket behind, and the next process replaces it. A socket that a process listens on is not
// replaced.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	listener, err := Listen(path)
	require.NoError(t, err)
	_, err = Listen(path)
	assert.ErrorContains(t, err, "another process listens there")
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	require.NoError(t, listener.Close())
	listener, err = Listen(path)
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}

// More callers connect than the socket accepts at a time. The others wait, and all are served.
func TestLimitConnections(t *testing.T) {
	var mu sync.Mutex
	open, maxOpen := 0, 0
	path := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		open++
		maxOpen = max(maxOpen, open)
		mu.Unlock()
		<-time.After(10 * time.Millisecond)
		mu.Lock()
		open--
		mu.Unlock()
		WriteJSON(w, 200, 1)
	}))
	var wg sync.WaitGroup
	for range 5 * maxConnections {
		wg.Go(func() {
			assert.NoError(t, NewClient(path, 5*time.Second).Call(t.Context(), "GET", "/", nil, nil))
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, maxOpen, maxConnections)
}

func TestControlPlaneString(t *testing.T) {
	age := 1600.0
	for want, c := range map[string]*ControlPlane{
		"":                                    nil,
		"0 , age unknown, no member":          {},
		"7 abcdefab, 2 s old, by c4":          {ActiveVersion: 7, LatestVersion: 7, Digest: "abcdefabcd", AgeMs: &age, FollowedMember: "c4"},
		"7 ab, 2 s old, no member, refuses 9": {ActiveVersion: 7, LatestVersion: 9, Digest: "ab", AgeMs: &age, RejectedVersion: 9},
	} {
		assert.Equal(t, want, c.String())
	}
}
