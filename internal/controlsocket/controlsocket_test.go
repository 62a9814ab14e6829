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

func serve(t *testing.T, h http.Handler) string {
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	require.NoError(t, err)
	s := Server(h)
	go func() { _ = s.Serve(Limited(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return path
}

// A node's socket: its word, and its service; the caller is known through the bound on connections too.
func TestNode(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the server is closed
	var told Service
	refuse := errors.New("")
	path := serve(t, Node(func(ctx context.Context) (Status, error) {
		assert.Equal(t, uint32(os.Getuid()), Who(ctx).UID)
		assert.Equal(t, int32(os.Getpid()), Who(ctx).PID)
		return Status{Token: "x", Open: 3}, nil
	}, func(s Service) error {
		told = s
		if s.Why == "refuse" {
			return refuse
		}
		return nil
	}, nil, nil, nil, nil))
	c := NewClient(path, time.Second)
	var s Status
	require.NoError(t, c.Call(t.Context(), "GET", StatusPath, nil, &s))
	assert.Equal(t, Status{Token: "x", Open: 3}, s)
	require.NoError(t, c.Call(t.Context(), "POST", ServicePath, Service{In: true, Why: "y"}, nil))
	assert.Equal(t, Service{In: true, Why: "y"}, told)
	for _, bad := range []struct {
		method, path string
		body         any
		status       int
	}{{"POST", ServicePath, map[string]int{"on": 1}, 400}, {"POST", CapturePath, nil, 404}, {"GET", "/", nil, 404}, {"POST", ServicePath, Service{Why: "refuse"}, 409}} {
		err := c.Call(t.Context(), bad.method, bad.path, bad.body, nil)
		var refused *Refused
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, bad.status, refused.Status)
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
}

// What a killed process left is replaced; what another listens on is not.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	require.NoError(t, err)
	_, err = Listen(path)
	assert.ErrorContains(t, err, "another process listens there")
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	require.NoError(t, l.Close())
	l, err = Listen(path)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

// Callers beyond the bound wait, and all are served.
func TestLimited(t *testing.T) {
	var mu sync.Mutex
	now, most := 0, 0
	path := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		now++
		most = max(most, now)
		mu.Unlock()
		<-time.After(10 * time.Millisecond)
		mu.Lock()
		now--
		mu.Unlock()
		Answer(w, 200, 1)
	}))
	var wg sync.WaitGroup
	for range 5 * mostCallers {
		wg.Go(func() { assert.NoError(t, NewClient(path, 5*time.Second).Call(t.Context(), "GET", "/", nil, nil)) })
	}
	wg.Wait()
	assert.LessOrEqual(t, most, mostCallers)
}

func TestControlPlaneInATable(t *testing.T) {
	age := 1600.0
	for want, c := range map[string]*ControlPlane{
		"":                                    nil,
		"0 , age unknown, no member":          {},
		"7 abcdefab, 2 s old, by c4":          {InForce: 7, Held: 7, Digest: "abcdefabcd", AgeMs: &age, Member: "c4"},
		"7 ab, 2 s old, no member, refuses 9": {InForce: 7, Held: 9, Digest: "ab", AgeMs: &age, Refused: 9},
	} {
		assert.Equal(t, want, c.String())
	}
}
