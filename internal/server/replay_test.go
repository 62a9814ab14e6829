package server

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// noticeTime is the time after a client's close from which no attempt may begin for it, and what a busy machine adds.
const noticeTime = 100*time.Millisecond + 100*time.Millisecond

// A client closes its connection with so much behind its queued request that the end can't arrive before that has been read. The
// request is not sent once the time to notice is over.
func TestQueuedRequestOfClientThatLeavesMuchUnreadIsNotSent(t *testing.T) {
	for name, size := range map[string]int{"less than a buffer": 200 << 10, "more than a buffer": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			backend := startSlowBackend(t)
			srv, _ := startServerWithBackend(t, backend.Addr().String(), 256)
			first := occupyBackend(t, srv, backend)
			conn := connectAndSend(t, srv, requestText("left", 0))
			require.Eventually(t, func() bool { return srv.openRequests.Load() == 5 }, 10*time.Second, time.Millisecond)
			_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.WriteString(conn, strings.Repeat("x", size)) // as much as the systems buffer
			require.NoError(t, conn.Close())
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
