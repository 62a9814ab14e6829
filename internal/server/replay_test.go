package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/discovery"
	"pearknot/internal/node"
)

// noticeTime is the time after a client's close from which no attempt may begin for it, and what a busy machine adds.
const noticeTime = 100*time.Millisecond + 100*time.Millisecond

// A client closes its connection with so much behind its queued request that the end can't arrive before that has been read. The
// request is not sent once the time to notice is over.
func TestQueuedRequestOfClientThatLeavesMuchUnreadIsNotSent(t *testing.T) {
	for name, form := range map[string]struct {
		size    int
		overTLS bool
	}{
		"less than a buffer":           {200 << 10, false},
		"more than a buffer":           {3 << 20, false},
		"more than the systems hold":   {40 << 20, false},
		"less than a buffer, over TLS": {200 << 10, true},
		"more than a buffer, over TLS": {3 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			backend := startSlowBackend(t)
			srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
			first := occupyBackend(t, srv, backend)
			var conn net.Conn
			if form.overTLS {
				var err error
				conn, err = dialTLS(srv, &tls.Config{})
				require.NoError(t, err)
				_, err = io.WriteString(conn, requestText("left", 0))
				require.NoError(t, err)
			} else {
				conn = connectAndSend(t, srv, requestText("left", 0))
			}
			require.Eventually(t, func() bool { return srv.openRequests.Load() == 5 }, 10*time.Second, time.Millisecond)
			_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.WriteString(conn, strings.Repeat("x", form.size)) // as much as the systems buffer
			_ = conn.Close()
			time.Sleep(noticeTime)
			close(backend.release)
			for _, conn := range first {
				requireServed(t, bufio.NewReader(conn))
			}
			require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
			assert.NotContains(t, backend.requestIDs(), "left")
		})
	}
}

// The id of an at-most-once request whose client has left while an attempt was in flight comes again, while the first may still
// run, on a new connection. It does not run twice.
func TestIDOfClientThatLeftDoesNotRunTwice(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){"close": closeConn, "reset": closeWithReset} {
		t.Run(name, func(t *testing.T) {
			backend := startSlowBackend(t)
			srv := startAtMostOnceServer(t, backend.Addr().String())
			conn := connectAndSend(t, srv, requestText("again", 0))
			require.Eventually(t, func() bool { return len(backend.requestIDs()) == 1 }, 10*time.Second, time.Millisecond)
			leave(conn)
			require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 10*time.Second, time.Millisecond)
			conn = connectAndSend(t, srv, requestText("again", 0))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			close(backend.release)
			require.NoError(t, err)
			assert.Equal(t, http.StatusConflict, response.StatusCode)
			assert.Equal(t, []string{"again"}, backend.requestIDs())
		})
	}
}

// startAtMostOnceServer is startServerWithBackend with a class whose requests must not run twice.
func startAtMostOnceServer(t *testing.T, address string) *Server {
	t.Helper()
	srv, _, _ := startServer(t, 256, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, CancelAttempts: true, PollEndpoints: true, PollInterval: 60e3, OverloadMultiple: 3,
		OverloadWindow: 1000, Classes: []balancer.Class{{Idempotency: balancer.AtMostOnce, LatencyObjective: 60e3, PriorityWeight: 1, LateWeight: 1}}},
		node.NewBalancer, &discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: address, State: balancer.BackendReady, Weight: 1}}})
	return srv
}

// The id of a request that was rejected before any attempt may come again: it is served.
func TestIDOfRejectedRequestIsServed(t *testing.T) {
	backend := startSlowBackend(t)
	srv := startAtMostOnceServer(t, backend.Addr().String())
	close(backend.release)
	srv.quiesce.rejecting.Store(true)
	reader := bufio.NewReader(connectAndSend(t, srv, requestText("again", 0)))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	srv.quiesce.rejecting.Store(false)
	requireServed(t, bufio.NewReader(connectAndSend(t, srv, requestText("again", 0))))
	assert.Equal(t, []string{"again"}, backend.requestIDs())
}

// No more than the maximum number of ids is remembered: the oldest is forgotten.
func TestRememberedIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	for k := range 2 * maxRememberedIDs {
		id := fmt.Sprint(k)
		require.True(t, ids.reserve(id))
		ids.release(id, true)
	}
	assert.Len(t, ids.hashes(), maxRememberedIDs)
	assert.Len(t, ids.remembered, maxRememberedIDs)
	assert.False(t, ids.claim(fmt.Sprint(maxRememberedIDs-1)))
	assert.True(t, ids.claim(fmt.Sprint(maxRememberedIDs+1)))
	assert.Equal(t, xxhash.Sum64String(fmt.Sprint(maxRememberedIDs+1)), ids.hashes()[0], "the oldest first")
}

// successorServer is the other process of a server whose state is handed over between the reservation of an id and its claim.
type successorServer struct{ predecessor, successor *Server }

func (s successorServer) ClaimID(_ context.Context, id string) (bool, error) {
	s.successor.RememberIDHashes(s.predecessor.IDHashes())
	return s.successor.ClaimID(id), nil
}

func (s successorServer) ReleaseID(id string) { s.successor.ReleaseID(id) }

// The id of a request that arrives while the state is handed over reaches the successor twice. It is not refused, and the same id at the
// successor is, until the request turns out not to have run.
func TestIDOfRequestDuringHandoffIsNotRefused(t *testing.T) {
	predecessor, successor := &Server{ids: newRequestIDs()}, &Server{ids: newRequestIDs()}
	predecessor.ShareIDs(successorServer{predecessor, successor})
	request := &node.Request{Request: balancer.Request{Config: &balancer.Config{Classes: []balancer.Class{{Idempotency: balancer.AtMostOnce}}}}}
	claim, refusal := predecessor.claimID(t.Context(), "once", request)
	require.Nil(t, refusal)
	_, refusal = successor.claimID(t.Context(), "once", request)
	assert.Equal(t, errKnownID, refusal)
	claim.release()
	claim, refusal = successor.claimID(t.Context(), "once", request)
	require.Nil(t, refusal)
	assert.True(t, successor.ClaimID("once"), "an id of its own")
	claim.mayHaveRun = true
	claim.release()
	successor.ReleaseID("once")
	assert.True(t, successor.ClaimID("once"), "the other process can't release it")
}
