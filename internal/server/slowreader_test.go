package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	slowReadRate  = 64_000 // bytes per second, of the slowest clients that the operators' contract names
	slowReadEvery = 100 * time.Millisecond
)

// startLongResponseBackend starts a backend that answers each request with the response's beginning, size bytes and the end, as
// fast as they are taken.
func startLongResponseBackend(t *testing.T, begin string, size int, end string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, begin)
			_, _ = conn.Write(make([]byte, size))
			_, _ = io.WriteString(conn, end)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against responses cut off at clients that read slowly and never pause: a blocked write to a socket with a large send buffer
// goes on only after many seconds.
func TestLongResponseIsNotCutOffAtSlowClient(t *testing.T) {
	const size = 12_000_000
	const slowFor = 8 * time.Second // longer than writeTimeout
	for name, test := range map[string]struct {
		dial       func(*testing.T, *Server) net.Conn
		begin, end string
	}{
		"a length":           {dialPlain, fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		"a length over TLS":  {dialEncrypted, fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		"chunks":             {dialPlain, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"},
		"chunks over TLS":    {dialEncrypted, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"},
		"ended by the close": {dialPlain, "Connection: close\r\n\r\n", ""},
		"the same, over TLS": {dialEncrypted, "Connection: close\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv, _ := startServerWithBackend(t, startLongResponseBackend(t, "HTTP/1.1 200 OK\r\n"+test.begin, size, test.end), 256)
			conn := test.dial(t, srv)
			_, err := io.WriteString(conn, requestText("slow", 0))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			total := readSlowly(t, response.Body, slowFor)
			rest, err := io.Copy(io.Discard, response.Body)
			assert.NoError(t, err)
			assert.Equal(t, int64(size), total+rest)
		})
	}
}

// readSlowly reads at slowReadRate for that time, and returns the number of bytes.
func readSlowly(t *testing.T, reader io.Reader, duration time.Duration) (total int64) {
	t.Helper()
	part := make([]byte, slowReadRate*slowReadEvery/time.Second)
	for range duration / slowReadEvery {
		n, err := io.ReadFull(reader, part)
		require.NoError(t, err)
		total += int64(n)
		<-time.After(slowReadEvery)
	}
	return total
}

// A client that stops reading is let go, so that it does not occupy its connection and the backend's.
func TestClientThatStopsReadingIsLetGo(t *testing.T) {
	t.Parallel()
	srv, _ := startServerWithBackend(t, startLongResponseBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n", 32_000_000, ""), 256)
	conn := dialPlain(t, srv)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err := io.WriteString(conn, requestText("silent", 0))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return srv.openRequests.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return srv.openRequests.Load() == 0 }, 30*time.Second, 10*time.Millisecond)
}
