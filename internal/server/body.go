package server

import (
	"errors"
	"io"
	"net/http"
	"time"

	"pearknot/internal/upstream"
)

const (
	// minBodyRate is the minimum average rate of a request's body, in bytes per second: half the rate of the slowest known
	// clients.
	minBodyRate = 32 << 10

	// bodyGracePeriod is the time that a body may take in addition to that.
	bodyGracePeriod = 2 * time.Second

	// minReadPause is the shortest pause between two reads of a body that can have blocked its client.
	minReadPause = 10 * time.Millisecond

	// minBlockingBytes is the smallest number of unread bytes with which the client may be blocked: a quarter of the window
	// that Linux announces for a new connection.
	minBlockingBytes = 16 << 10

	// maxBodyTimeMs is the time that the largest body takes at minBodyRate, in ms.
	maxBodyTimeMs = 1e3 * upstream.MaxBody / minBodyRate
)

// errClientGone is returned instead of io.EOF at the end of a completely received body if the client has disconnected
// meanwhile, which unread bytes had hidden. The backend does not get the body's end, and so never runs the request.
var errClientGone = errors.New("the client has disconnected")

// bodyReader reads a client's body with a deadline that grows with the bytes received. A time in which nothing is read, because the
// request is queued or its backend pauses, does not count if the client may have been blocked by it.
type bodyReader struct {
	controller *http.ResponseController
	source     io.Reader
	start      time.Time
	total      int64         // bytes read
	lastReadAt time.Time     // end of the latest read
	blocked    time.Duration // time in which the client may have been blocked
	conn       *clientConn   // set once the body is streamed to a backend
}

func (b *bodyReader) Read(buffer []byte) (int, error) {
	_ = b.controller.SetReadDeadline(b.deadline(time.Now()))
	n, err := b.source.Read(buffer)
	b.total += int64(n)
	b.lastReadAt = time.Now()
	if err == io.EOF { //nolint:errorlint // an io.Reader returns io.EOF itself
		// net/http goes on reading to notice a disconnect, which the deadline would interrupt.
		_ = b.controller.SetReadDeadline(time.Time{})
		if b.conn != nil && b.conn.hasDisconnected() {
			return 0, errClientGone
		}
	}
	return n, err
}

// deadline returns the deadline of the next read, which begins now.
func (b *bodyReader) deadline(now time.Time) time.Time {
	if b.conn != nil && now.Sub(b.lastReadAt) > minReadPause && b.conn.unreadBytes() >= minBlockingBytes {
		b.blocked += now.Sub(b.lastReadAt)
	}
	allowed := bodyGracePeriod + time.Duration(b.total)*time.Second/minBodyRate + b.blocked
	deadline, lateRead := b.start.Add(allowed), now.Add(lateReadTimeout)
	if deadline.Before(lateRead) && b.conn != nil && b.conn.unreadBytes() > 0 {
		return lateRead // bytes that have arrived are read, however late
	}
	return deadline
}

// readBody reads a request's body, but at most upstream.MaxBufferedBody+1 bytes of it; rest then reads the remaining bytes.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, rest *bodyReader, malformed *requestError) {
	tooLong := &requestError{http.StatusRequestEntityTooLarge, "body of more than 32 MiB"}
	if r.ContentLength > upstream.MaxBody { // none of it is read
		return nil, nil, tooLong
	}
	reader := &bodyReader{
		controller: http.NewResponseController(w),
		source:     http.MaxBytesReader(w, r.Body, upstream.MaxBody),
		start:      time.Now(),
	}
	// Without a body no deadline is set. If this process was paused, the deadline would have expired, which net/http treats
	// as a disconnect of the client.
	if r.Body == http.NoBody {
		return nil, reader, nil
	}
	body, err := io.ReadAll(io.LimitReader(reader, upstream.MaxBufferedBody+1))
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return nil, nil, tooLong
	}
	if err != nil {
		return nil, nil, badRequest("body: %v", err)
	}
	return body, reader, nil
}
