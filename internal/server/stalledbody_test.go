package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxMisbehavingTime is the time within which a client that sends no complete request gets its error or the end of its connection.
const maxMisbehavingTime = 3 * time.Second

// A client that stops half way through a large body is let go in time, however much it has sent before.
func TestClientThatStopsWithinLargeBodyIsLetGo(t *testing.T) {
	forms := map[string]struct {
		framing string
		part    func(size int) string
	}{
		"length": {"Content-Length: 20000000", func(size int) string { return strings.Repeat("x", size) }},
		"chunks": {"Transfer-Encoding: chunked", func(size int) string { return fmt.Sprintf("%x\r\n%s", 20_000_000, strings.Repeat("x", size)) }},
	}
	for name, form := range forms {
		for _, sent := range []int{100 << 10, 1 << 20, 8 << 20} {
			for _, overTLS := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d KiB, TLS %v", name, sent>>10, overTLS), func(t *testing.T) {
					t.Parallel()
					backend := startSlowBackend(t)
					srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
					var conn net.Conn
					if overTLS {
						var err error
						conn, err = dialTLS(srv, &tls.Config{})
						require.NoError(t, err)
					} else {
						conn = connectAndSend(t, srv, "")
					}
					t.Cleanup(func() { _ = conn.Close() })
					head, _, _ := strings.Cut(requestText("stops", 0), "Content-Length")
					_, err := io.WriteString(conn, head+form.framing+"\r\n\r\n"+form.part(sent))
					require.NoError(t, err)
					_ = conn.SetReadDeadline(time.Now().Add(2 * maxMisbehavingTime))
					stoppedAt := time.Now()
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						assert.GreaterOrEqual(t, response.StatusCode, 400)
					}
					assert.Less(t, time.Since(stoppedAt), maxMisbehavingTime)
				})
			}
		}
	}
}
