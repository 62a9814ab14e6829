package server

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pearknot/balancer"
	"pearknot/internal/clock"
	"pearknot/internal/config"
	"pearknot/internal/descriptors"
	"pearknot/internal/discovery"
	"pearknot/internal/node"
)

// connPair returns the server's and the client's end of a client's connection.
func connPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	budget := descriptors.New(64, func() {})
	requireClientDescriptor(t, budget)
	t.Cleanup(func() { _ = client.Close() })
	return newClientConn(accepted.(*net.TCPConn), budget), client
}

// requireClientDescriptor takes a descriptor for a client.
func requireClientDescriptor(t *testing.T, budget *descriptors.Budget) {
	t.Helper()
	acquired, _ := budget.TryAcquireClient()
	require.True(t, acquired)
}

func TestDecode(t *testing.T) {
	srv := &Server{clock: clock.New()}
	srv.deployment.Store(&config.Deployment{Classes: []string{"check", "pay_out"}, Tenants: []string{"one", "two"}})
	conn, _ := connPair(t)
	for name, test := range map[string]struct {
		headers string
		body    string
		want    int // status; 0 is well formed
	}{
		"plain":             {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", "", 0},
		"no id":             {"X-Qos:check|X-Expires-In-Ms:480", "", 400},
		"no class":          {"X-Trace-Id:a|X-Expires-In-Ms:480", "", 400},
		"unknown class":     {"X-Trace-Id:a|X-Qos:other|X-Expires-In-Ms:480", "", 400},
		"no TTL":            {"X-Trace-Id:a|X-Qos:check", "", 400},
		"malformed TTL":     {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:soon", "", 400},
		"negative TTL":      {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:-1", "", 400},
		"TTL not a number":  {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:NaN", "", 400},
		"largest TTL":       {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:9000000000000000000", "", 0},
		"infinite TTL":      {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:Inf", "", 400},
		"two ids":           {"X-Trace-Id:a|X-Trace-Id:b|X-Qos:check|X-Expires-In-Ms:480", "", 400},
		"infinite hint":     {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480|X-Size-Hint:Inf", "", 400},
		"longest held body": {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 64<<10), 0},
		"streamed body":     {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 64<<10+1), 0},
		"body too long":     {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 32<<20+1), 413},
	} {
		r := httptest.NewRequest("POST", "/api", strings.NewReader(test.body))
		for h := range strings.SplitSeq(test.headers, "|") {
			name, value, _ := strings.Cut(h, ":")
			r.Header.Add(name, value)
		}
		request, malformed := srv.decode(httptest.NewRecorder(), r, conn, srv.newRequestReservation())
		if test.want == 0 {
			require.Nil(t, malformed, name)
			assert.Less(t, request.Deadline, srv.clock.Now()+maxTTLMs+maxBodyTimeMs, name)
			assert.Equal(t, len(test.body) > 64<<10, request.Streamed, name)
			continue
		}
		require.NotNil(t, malformed, name)
		assert.Equal(t, test.want, malformed.status, name)
	}

	r := httptest.NewRequest("GET", "/api", nil)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"pay out"}, "X-Expires-In-Ms": {"480"}, "X-Size-Hint": {"1500"},
		"X-Second-Try": {"1"}, "X-Customer": {"two"}}
	conn, _ = connPair(t) // its bytes were sent just now
	before := srv.clock.Now()
	request, malformed := srv.decode(httptest.NewRecorder(), r, conn, srv.newRequestReservation())
	require.Nil(t, malformed)
	assert.Equal(t, []any{1, 1, 1.5, true, true}, []any{request.Class, request.Tenant, request.CostHint, request.HasCostHint, request.IsClientRetry})
	assert.Less(t, request.Deadline, srv.clock.Now()+480, "the TTL counts from when the client sent the request")
	assert.Greater(t, request.Deadline, before+480-100)
}

// A request that may hide another in its body, or has one after it, is recognized regardless of how it is split into reads.
func TestFraming(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: s\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	for name, test := range map[string]struct {
		sent                               string
		ambiguous, hasTrailing, mustBeLast bool
	}{
		"one":                   {sent: get},
		"a body":                {sent: post},
		"a line break after it": {sent: post + "\r\n"},
		"two":                   {sent: get + get, hasTrailing: true},
		"two with bodies":       {sent: post + post, hasTrailing: true},
		"chunks":                {sent: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", mustBeLast: true},
		"length, chunks":        {sent: "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", ambiguous: true, mustBeLast: true},
		"chunks, length":        {sent: "POST / HTTP/1.1\nTRANSFER-ENCODING:chunked\nCONTENT-LENGTH:5\n\n0\r\n\r\n" + get, ambiguous: true, mustBeLast: true},
		"a long length":         {sent: "POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat("0", 90) + "3\r\n\r\nabc" + get, mustBeLast: true},
		"negative length":       {sent: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" + get, mustBeLast: true},
		"a long line":           {sent: "GET / HTTP/1.1\r\nX: " + strings.Repeat("Content-Length: 5", 9) + "\r\n\r\n"},
	} {
		for size := 1; size <= len(test.sent); size += 1 + size/2 {
			var f framing
			hasTrailing := false
			for part := range slices.Chunk([]byte(test.sent), size) {
				hasTrailing = f.observe(part) || hasTrailing
			}
			assert.Equal(t, []bool{test.ambiguous, test.hasTrailing, test.mustBeLast}, []bool{f.ambiguous, hasTrailing, f.mustBeLast}, "%s by %d", name, size)
		}
	}
}

// net/http closes idle connections based on a state that may be out of date. The client of a request that was just read would
// send it again, and it would run twice, so a connection with a request stays open until its response is sent.
func TestConnectionWithRequestStaysOpen(t *testing.T) {
	conn, client := connPair(t)
	require.True(t, conn.claimForRequest(false))
	require.NoError(t, conn.Close())
	_, err := conn.Write([]byte("x"))
	assert.NoError(t, err, "the response is still sent")
	conn.releaseFromRequest()
	require.NoError(t, conn.Close())
	require.NoError(t, conn.Close(), "its descriptor is returned once")
	assert.False(t, conn.claimForRequest(false), "a request that arrives during the close is not accepted")
	_, _ = client.Read(make([]byte, 1))
	_, err = client.Read(make([]byte, 1))
	assert.Error(t, err)
}

// The process was paused while a request arrived on an existing connection, so its read deadline has expired when the request is
// read. Formerly the connection was closed with the request unread, which was lost.
func TestLateReadReturnsArrivedData(t *testing.T) {
	conn, client := connPair(t)
	expireDeadline := func() { require.NoError(t, conn.SetReadDeadline(time.Now().Add(-time.Second))) }
	readLate := func() string {
		b := make([]byte, 99)
		n, err := conn.Read(b)
		if n == 0 {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
		return string(b[:n])
	}
	send := func(text string) {
		_, err := io.WriteString(client, text)
		require.NoError(t, err)
		require.Eventually(t, conn.hasUnreadData, 20*time.Second, time.Millisecond)
	}
	expireDeadline()
	assert.Empty(t, readLate(), "a client that has sent nothing")
	const request = "GET /api HTTP/1.1\r\nHost: s\r\n\r\n"
	send(request)
	require.NoError(t, conn.SetReadDeadline(time.Unix(1, 0))) // as net/http interrupts a read
	assert.Empty(t, readLate())
	expireDeadline()
	assert.Equal(t, request, readLate())
	expireDeadline()
	send(request[:9])
	assert.Equal(t, request[:9], readLate())
	expireDeadline()
	send(request[9:])
	assert.Empty(t, readLate(), "a client that was slow with the rest of its request")
}

// A node with the maximum number of open requests rejects the next one, with a Retry-After.
func TestMaxOpenRequests(t *testing.T) {
	srv := &Server{budget: descriptors.New(64, func() {})}
	srv.deployment.Store(&config.Deployment{MaxOpenRequests: 1, BalancerConfig: &balancer.Config{SendRetryAfter: true, MaxRetryAfter: 1500}})
	srv.openRequests.Store(1)
	recorder := httptest.NewRecorder()
	conn, _ := connPair(t)
	srv.serveRequest(recorder, httptest.NewRequest("GET", "/api", nil), conn, nil, &idClaim{})
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	assert.Equal(t, "1.500", recorder.Header().Get("Retry-After"))
	assert.Equal(t, int64(1), srv.openRequests.Load())
}

// A request is rejected without a predicted wait, here because the backend refuses the connection. The response still has a
// Retry-After, within the deployment's bound, and clients rejected together get different ones. If the deployment sends no
// Retry-After, there is none.
func TestRetryAfterWithoutForeseenWait(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})) // nothing listens there, and nothing else can
	address, err := unix.Getsockname(fd)
	require.NoError(t, err)
	refusing := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: address.(*unix.SockaddrInet4).Port}
	for name, test := range map[string]struct {
		sends         bool
		maxRetryAfter float64 // ms
		least, last   float64 // ms
	}{
		"sent":          {sends: true, maxRetryAfter: 2000, least: 50, last: 100},
		"a low bound":   {sends: true, maxRetryAfter: 30, least: 30, last: 30},
		"without bound": {sends: true, least: 50, last: 100},
		"not sent":      {maxRetryAfter: 2000},
		"neither":       {},
	} {
		srv, _, _ := startServer(t, 64, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, SendRetryAfter: test.sends, MaxRetryAfter: test.maxRetryAfter, OverloadMultiple: 3,
			OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1}}}, node.NewBalancer,
			&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: refusing.String(), State: balancer.BackendReady, Weight: 1}}})
		response, err := http.ReadResponse(bufio.NewReader(connectAndSend(t, srv, requestText("a", 0))), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, name)
		if !test.sends {
			assert.Empty(t, response.Header.Get("Retry-After"), name)
			continue
		}
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err, name)
		assert.LessOrEqual(t, test.least, wait*1e3, name)
		assert.LessOrEqual(t, wait*1e3, test.last, name)
	}
	srv := &Server{}
	srv.deployment.Store(&config.Deployment{BalancerConfig: &balancer.Config{SendRetryAfter: true, MaxRetryAfter: 2000}})
	assert.NotEqual(t, srv.retryAfterMs(node.Answer{}), srv.retryAfterMs(node.Answer{}), "spread")
	assert.Equal(t, 7.0, srv.retryAfterMs(node.Answer{RetryAfter: 7}), "as predicted")
	assert.Less(t, 49.0, srv.retryAfterMs(node.Answer{RetryAfter: 0.4}), "which Retry-After would express as 0.000")
}

// A handler that panics answers with 500; otherwise net/http would close the connection without a response.
func TestHandlerPanicIsAnswered(t *testing.T) {
	conn, _ := connPair(t)
	srv := &Server{log: slog.New(slog.DiscardHandler), budget: conn.budget} // without a deployment decode panics
	r := httptest.NewRequest("GET", "/api", nil)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
	recorder := httptest.NewRecorder()
	srv.ServeHTTP(recorder, r.WithContext(withConn(r.Context(), conn)))
	assert.Equal(t, http.StatusInternalServerError, recorder.Code)
	assert.False(t, conn.hasRequest)
}
