package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// maxLateness is by how much an answer may miss its request's deadline: 500 ms by the operators' contract, and 50 ms for sockets.
const maxLateness = 550 * time.Millisecond

// longBodyForm is a way to send a request with a streamed body.
type longBodyForm struct {
	name   string
	dial   func(*testing.T, *Server) net.Conn
	encode func(size int) (framingHeader, body string)
}

func longBodyForms() []longBodyForm {
	withLength := func(size int) (string, string) {
		return fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size)
	}
	inChunks := func(size int) (string, string) {
		const chunk = 50_000
		body := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), size/chunk)
		return "Transfer-Encoding: chunked", body + "0\r\n\r\n"
	}
	return []longBodyForm{
		{"a length", dialPlain, withLength},
		{"chunks", dialPlain, inChunks},
		{"a length over TLS", dialEncrypted, withLength},
		{"chunks over TLS", dialEncrypted, inChunks},
	}
}

func dialPlain(t *testing.T, srv *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", srv.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func dialEncrypted(t *testing.T, srv *Server) net.Conn {
	t.Helper()
	conn, err := dialTLS(srv, &tls.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// longBodyHead returns the header of a request with a streamed body.
func longBodyHead(id string, ttl time.Duration, framingHeader string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: %s\r\nX-Qos: check\r\nX-Expires-In-Ms: %d\r\nX-Size-Hint: 100\r\n%s\r\n\r\n",
		id, ttl.Milliseconds(), framingHeader)
}

// startHangingBackend starts a backend that accepts connections and reads nothing. Its system buffers few bytes.
func startHangingBackend(t *testing.T) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			assert.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10))
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			defer conn.Close()
		}
	}()
	return listener.Addr().String()
}

// sendQueuedLongBody sends a request to a server whose backend is occupied, so that the request is queued.
func sendQueuedLongBody(t *testing.T, form longBodyForm, ttl time.Duration) (conn net.Conn, backend *slowBackend) {
	t.Helper()
	const size = 150_000
	framingHeader, body := form.encode(size)
	return sendQueued(t, form.dial, longBodyHead("queued", ttl, framingHeader)+body)
}

// sendQueued sends text to a server whose backend is occupied.
func sendQueued(t *testing.T, dial func(*testing.T, *Server) net.Conn, text string) (conn net.Conn, backend *slowBackend) {
	t.Helper()
	backend = startSlowBackend(t)
	srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
	occupyBackend(t, srv, backend)
	conn = dial(t, srv)
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	return conn, backend
}

// requireUnservedWithin requires an answer other than 200 within that time.
func requireUnservedWithin(t *testing.T, conn net.Conn, limit time.Duration) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer in time")
	_ = response.Body.Close()
	assert.GreaterOrEqual(t, response.StatusCode, http.StatusBadGateway)
}

// requireStatusOK reads a response, which has to be 200.
func requireStatusOK(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against answers seconds late: a long body waited in the sockets behind a backend that read nothing, while the
// request's time to live, which counts from the client's last byte, had not begun for the node.
func TestLongBodyIsAnsweredInTimeWhileBackendHangs(t *testing.T) {
	const size, ttl = 3_500_000, 700 * time.Millisecond // more than one socket buffers, and less than two
	for _, form := range longBodyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			srv, _ := startServerWithBackend(t, startHangingBackend(t), 256)
			framingHeader, body := form.encode(size)
			conn := form.dial(t, srv)
			_, err := io.WriteString(conn, longBodyHead("hung", ttl, framingHeader)+body)
			require.NoError(t, err)
			requireUnservedWithin(t, conn, ttl+maxLateness)
		})
	}
}

// Guards against the same fault of a request that is queued: its long body was taken for one that the client still sends.
func TestQueuedLongBodyIsAnsweredInTime(t *testing.T) {
	const ttl = 700 * time.Millisecond
	for _, form := range longBodyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			conn, backend := sendQueuedLongBody(t, form, ttl)
			requireUnservedWithin(t, conn, ttl+maxLateness)
			close(backend.release)
		})
	}
}

// Guards against a backend that is told more time than the client waits: the time in the queue was not subtracted.
func TestQueuedLongBodyTellsBackendTheTimeLeft(t *testing.T) {
	const ttl, queued = 5 * time.Second, 600 * time.Millisecond
	for _, form := range longBodyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			conn, backend := sendQueuedLongBody(t, form, ttl)
			<-time.After(queued)
			close(backend.release)
			requireStatusOK(t, conn)
			told, err := strconv.Atoi(backend.expires("queued"))
			require.NoError(t, err)
			const slack = 150 // ms, by the operators' contract
			assert.LessOrEqual(t, told, int((ttl-queued).Milliseconds())+slack)
		})
	}
}

// Guards against blaming the client for the time in which its body was not read: a request that had been queued for seconds was
// failed as if its client had not sent the rest, which could not be sent meanwhile.
func TestLongBodyIsServedAfterLongQueueing(t *testing.T) {
	const size, rest, ttl, queued, pause = 150_000, 15_000, 20 * time.Second, 7 * time.Second, 300 * time.Millisecond
	for _, form := range longBodyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			framingHeader, body := form.encode(size)
			text := longBodyHead("queued", ttl, framingHeader) + body
			conn, backend := sendQueued(t, form.dial, text[:len(text)-rest])
			<-time.After(queued)
			close(backend.release)
			<-time.After(pause)
			_, err := io.WriteString(conn, text[len(text)-rest:])
			require.NoError(t, err)
			requireStatusOK(t, conn)
		})
	}
}

// Guards against the same fault of a client that has sent all: the rest of the body is too short to have blocked it.
func TestShortRestOfLongBodyIsReadAfterLongQueueing(t *testing.T) {
	const size, ttl, queued = 75_000, 20 * time.Second, 5 * time.Second
	for name, dial := range map[string]func(*testing.T, *Server) net.Conn{"plain": dialPlain, "TLS": dialEncrypted} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, backend := sendQueued(t, dial, longBodyHead("queued", ttl, fmt.Sprintf("Content-Length: %d", size))+strings.Repeat("x", size))
			<-time.After(queued)
			close(backend.release)
			requireStatusOK(t, conn)
		})
	}
}

// Guards against the opposite: a client that stopped within its body got the time in the queue in addition to its own.
func TestClientThatStopsWithinQueuedLongBodyIsLetGo(t *testing.T) {
	const size, sent, ttl, queued, allowed = 90_000, 70_000, 20 * time.Second, 2500 * time.Millisecond, 5 * time.Second
	for name, dial := range map[string]func(*testing.T, *Server) net.Conn{"plain": dialPlain, "TLS": dialEncrypted} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, backend := sendQueued(t, dial, longBodyHead("half", ttl, fmt.Sprintf("Content-Length: %d", size))+strings.Repeat("x", sent))
			time.AfterFunc(queued, func() { close(backend.release) })
			requireUnservedWithin(t, conn, allowed)
		})
	}
}

// Guards against cutting a client off that takes longer for its body than its request's time to live, which begins only with
// the last byte.
func TestSlowLongBodyIsServed(t *testing.T) {
	const size, ttl, pause = 150_000, 600 * time.Millisecond, 150 * time.Millisecond
	const part = streamBufferBytes // a part fills a read exactly, so that its size doesn't tell that nothing follows yet
	for _, form := range longBodyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			backend := startSlowBackend(t)
			close(backend.release)
			srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
			conn := form.dial(t, srv)
			framingHeader, body := form.encode(size)
			text := longBodyHead("slow", ttl, framingHeader) + body
			for ; text != ""; text = text[min(part, len(text)):] {
				_, err := io.WriteString(conn, text[:min(part, len(text))])
				require.NoError(t, err)
				<-time.After(pause)
			}
			requireStatusOK(t, conn)
		})
	}
}

func TestBodyClock(t *testing.T) {
	const timeout = time.Second
	unread := func(count int64) func() int64 { return func() int64 { return count } }
	newClock := func(size int64) *bodyClock {
		conn, _ := connPair(t)
		return conn.startBodyClock(size, 100, float64(timeout.Milliseconds())+defaultTransitMs, 0)
	}
	for name, test := range map[string]struct {
		size int64
		act  func(*bodyClock)
		want time.Duration // from the start until the deadline
	}{
		"no progress": {size: 1000, want: timeout, act: func(*bodyClock) {}},
		"a read waited for the client": {size: 1000, want: 3*time.Second + timeout, act: func(clock *bodyClock) {
			clock.beginRead(unread(0))
			time.Sleep(3 * time.Second)
			clock.endRead(10)
		}},
		"a read waits for the client": {size: 1000, want: 3*time.Second + timeout, act: func(clock *bodyClock) {
			clock.beginRead(unread(0))
			time.Sleep(3 * time.Second)
		}},
		"the bytes had arrived before they were read": {size: 1000, want: timeout, act: func(clock *bodyClock) {
			time.Sleep(3 * time.Second)
			clock.beginRead(unread(10))
			clock.endRead(10)
		}},
		"more is missing than the client can have buffered": {size: 10 << 20, want: 3*time.Second + timeout, act: func(clock *bodyClock) {
			time.Sleep(3 * time.Second)
			clock.observe(unread(1 << 20))
			time.Sleep(3 * time.Second)
			clock.observe(unread(6<<20 + 1000))
		}},
		"in chunks, more has arrived than the client can have buffered at the checkpoint": {size: -1, want: 3*time.Second + timeout, act: func(clock *bodyClock) {
			time.Sleep(3 * time.Second)
			clock.observe(unread(5 << 20))
			time.Sleep(3 * time.Second)
			clock.observe(unread(10 << 20))
			time.Sleep(3 * time.Second)
			clock.observe(unread(11 << 20))
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			clock := newClock(test.size)
			test.act(clock)
			assert.Equal(t, test.want, clock.deadline().Sub(start), name)
		})
	}

	clock := newClock(1000)
	assert.False(t, clock.observe(unread(899)))
	assert.True(t, clock.observe(unread(900)), "the body has arrived completely")
	clock.isEncrypted = true
	assert.False(t, clock.observe(unread(900)), "of encrypted bytes not all are the body's")
	assert.False(t, newClock(-1).observe(unread(900)), "the size is unknown")
}
