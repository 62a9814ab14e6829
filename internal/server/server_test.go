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

// pair is a client's connection as the front has it, and the client's end.
func pair(t *testing.T) (*clientConn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	near, err := l.Accept()
	require.NoError(t, err)
	budget := descriptors.New(64, func() {})
	require.True(t, budget.AcquireClient())
	t.Cleanup(func() { _ = far.Close() })
	return newClientConn(near.(*net.TCPConn), budget), far
}

func TestDecode(t *testing.T) {
	f := &Server{clock: clock.New()}
	f.deployment.Store(&config.Deployment{Classes: []string{"check", "pay_out"}, Tenants: []string{"one", "two"}})
	c, _ := pair(t)
	for name, test := range map[string]struct {
		headers string
		body    string
		want    int // 0 is well formed
	}{
		"plain":            {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", "", 0},
		"no id":            {"X-Qos:check|X-Expires-In-Ms:480", "", 400},
		"no category":      {"X-Trace-Id:a|X-Expires-In-Ms:480", "", 400},
		"unknown category": {"X-Trace-Id:a|X-Qos:other|X-Expires-In-Ms:480", "", 400},
		"no TTL":           {"X-Trace-Id:a|X-Qos:check", "", 400},
		"odd TTL":          {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:soon", "", 400},
		"TTL below 0":      {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:-1", "", 400},
		"TTL of no number": {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:NaN", "", 400},
		"endless TTL":      {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:9000000000000000000", "", 0},
		"TTL of no end":    {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:Inf", "", 400},
		"two ids":          {"X-Trace-Id:a|X-Trace-Id:b|X-Qos:check|X-Expires-In-Ms:480", "", 400},
		"odd hint":         {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480|X-Size-Hint:Inf", "", 400},
		"longest body":     {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 64<<10), 0},
		"one to pass on":   {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 64<<10+1), 0},
		"body too long":    {"X-Trace-Id:a|X-Qos:check|X-Expires-In-Ms:480", strings.Repeat("x", 32<<20+1), 413},
	} {
		r := httptest.NewRequest("POST", "/api", strings.NewReader(test.body))
		for h := range strings.SplitSeq(test.headers, "|") {
			name, value, _ := strings.Cut(h, ":")
			r.Header.Add(name, value)
		}
		op, bad := f.decode(httptest.NewRecorder(), r, c)
		if test.want == 0 {
			require.Nil(t, bad, name)
			assert.Less(t, op.Deadline, f.clock.Now()+maxTTLMs+maxBodyMs, name)
			assert.Equal(t, len(test.body) > 64<<10, op.Streamed, name)
			continue
		}
		require.NotNil(t, bad, name)
		assert.Equal(t, test.want, bad.status, name)
	}

	r := httptest.NewRequest("GET", "/api", nil)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"pay out"}, "X-Expires-In-Ms": {"480"}, "X-Size-Hint": {"1500"},
		"X-Second-Try": {"1"}, "X-Customer": {"two"}}
	c, _ = pair(t) // one that has sent its bytes just now
	before := f.clock.Now()
	op, bad := f.decode(httptest.NewRecorder(), r, c)
	require.Nil(t, bad)
	assert.Equal(t, []any{1, 1, 1.5, true, true}, []any{op.Class, op.Tenant, op.CostHint, op.HasCostHint, op.IsClientRetry})
	assert.Less(t, op.Deadline, f.clock.Now()+480, "the TTL counts from the sending")
	assert.Greater(t, op.Deadline, before+480-100)
}

// An op that may hide another in its body, or has one behind it, is known as such whatever the pieces it comes in.
func TestFraming(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: s\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	for name, c := range map[string]struct {
		sent                    string
		ambiguous, behind, last bool
	}{
		"one":               {sent: get},
		"a body":            {sent: post},
		"ends by a line":    {sent: post + "\r\n"},
		"two":               {sent: get + get, behind: true},
		"two with bodies":   {sent: post + post, behind: true},
		"chunks":            {sent: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", last: true},
		"length, chunks":    {sent: "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", ambiguous: true, last: true},
		"chunks, length":    {sent: "POST / HTTP/1.1\nTRANSFER-ENCODING:chunked\nCONTENT-LENGTH:5\n\n0\r\n\r\n" + get, ambiguous: true, last: true},
		"an endless length": {sent: "POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat("0", 90) + "3\r\n\r\nabc" + get, last: true},
		"no length":         {sent: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" + get, last: true},
		"a long line":       {sent: "GET / HTTP/1.1\r\nX: " + strings.Repeat("Content-Length: 5", 9) + "\r\n\r\n"},
	} {
		for size := 1; size <= len(c.sent); size += 1 + size/2 {
			var f framing
			behind := false
			for part := range slices.Chunk([]byte(c.sent), size) {
				behind = f.observe(part) || behind
			}
			assert.Equal(t, []bool{c.ambiguous, c.behind, c.last}, []bool{f.ambiguous, behind, f.mustBeLast}, "%s by %d", name, size)
		}
	}
}

// net/http closes idle connections on a look that may be out of date: the client of an op just read would send it
// again, and it would run twice.
func TestOpInHandKeepsItsConnection(t *testing.T) {
	c, far := pair(t)
	require.True(t, c.claimForRequest(false))
	require.NoError(t, c.Close())
	_, err := c.Write([]byte("x"))
	assert.NoError(t, err, "the answer still goes out")
	c.releaseFromRequest()
	require.NoError(t, c.Close())
	require.NoError(t, c.Close(), "its descriptor comes back once")
	assert.False(t, c.claimForRequest(false), "what crosses the end is not taken")
	_, _ = far.Read(make([]byte, 1))
	_, err = far.Read(make([]byte, 1))
	assert.Error(t, err)
}

// A node with as many ops open as it may have turns the next away before it is taken, and says when to come back.
// The process stood still while an op came on a connection that was there before: the time to read it is over as it is looked
// at first. It was closed with the op unread, which is lost with it.
func TestALateReadTakesWhatIsThere(t *testing.T) {
	c, far := pair(t)
	over := func() { require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second))) }
	late := func() string {
		b := make([]byte, 99)
		n, err := c.Read(b)
		if n == 0 {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
		return string(b[:n])
	}
	send := func(text string) {
		_, err := io.WriteString(far, text)
		require.NoError(t, err)
		require.Eventually(t, c.hasUnreadData, 20*time.Second, time.Millisecond)
	}
	over()
	assert.Empty(t, late(), "a client that sent nothing")
	const op = "GET /api HTTP/1.1\r\nHost: s\r\n\r\n"
	send(op)
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0))) // net/http's, that ends a read
	assert.Empty(t, late())
	over()
	assert.Equal(t, op, late())
	over()
	send(op[:9])
	assert.Equal(t, op[:9], late())
	over()
	send(op[9:])
	assert.Empty(t, late(), "one that was heard, and was slow with the rest")
}

func TestMostHeld(t *testing.T) {
	f := &Server{budget: descriptors.New(64, func() {})}
	f.deployment.Store(&config.Deployment{MaxOpenRequests: 1, Balancer: &balancer.Config{SendRetryAfter: true, MaxRetryAfter: 1500}})
	f.openRequests.Store(1)
	w := httptest.NewRecorder()
	c, _ := pair(t)
	f.serveRequest(w, httptest.NewRequest("GET", "/api", nil), c, nil)
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, "1.500", w.Header().Get("Retry-After"))
	assert.Equal(t, int64(1), f.openRequests.Load())
}

// An op that is turned away with no wait foreseen, here by a backend that refuses the first connection, tells when to come back
// as well, within the settings' bound; those turned away together hear of different times. Where clients aren't told, none does.
func TestTurnedAwayWithNoWaitForeseen(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})) // nobody listens there, nor can another
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	refuses := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: at.(*unix.SockaddrInet4).Port}
	for name, c := range map[string]struct {
		told        bool
		most        float64
		least, last float64 // ms
	}{
		"told":         {told: true, most: 2000, least: 50, last: 100},
		"a low bound":  {told: true, most: 30, least: 30, last: 30},
		"without one":  {told: true, least: 50, last: 100},
		"not told":     {most: 2000},
		"nor by bound": {},
	} {
		f, _, _ := fronted(t, 64, &balancer.Config{Seed: 1, Nodes: 1, MaxAttempts: 1, SendRetryAfter: c.told, MaxRetryAfter: c.most, OverloadMultiple: 3,
			OverloadWindow: 1000, Classes: []balancer.Class{{LatencyObjective: 60e3, PriorityWeight: 1}}}, node.NewBalancer,
			&discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{Name: "s", Address: refuses.String(), State: balancer.BackendReady, Weight: 1}}})
		answer, err := http.ReadResponse(bufio.NewReader(connected(t, f, opOf("a", 0))), nil)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, name)
		if !c.told {
			assert.Empty(t, answer.Header.Get("Retry-After"), name)
			continue
		}
		wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		require.NoError(t, err, name)
		assert.LessOrEqual(t, c.least, wait*1e3, name)
		assert.LessOrEqual(t, wait*1e3, c.last, name)
	}
	f := &Server{}
	f.deployment.Store(&config.Deployment{Balancer: &balancer.Config{SendRetryAfter: true, MaxRetryAfter: 2000}})
	assert.NotEqual(t, f.retryAfterMs(node.Answer{}), f.retryAfterMs(node.Answer{}), "spread")
	assert.Equal(t, 7.0, f.retryAfterMs(node.Answer{RetryAfter: 7}), "as foreseen")
	assert.Less(t, 49.0, f.retryAfterMs(node.Answer{RetryAfter: 0.4}), "which would be told as 0.000")
}

// A fault of the front is a dead letter: net/http would end the connection and lose the op.
func TestFaultIsAnswered(t *testing.T) {
	c, _ := pair(t)
	f := &Server{log: slog.New(slog.DiscardHandler), budget: c.budget} // told nothing, so decoding panics
	r := httptest.NewRequest("GET", "/api", nil)
	r.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"480"}}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r.WithContext(withConn(r.Context(), c)))
	assert.Equal(t, http.StatusInternalServerError, w.Code)
	assert.False(t, c.hasRequest)
}
