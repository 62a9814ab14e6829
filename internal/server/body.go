package server

import (
	"errors"
	"io"
	"net/http"
	"time"

	"pearknot/internal/upstream"
)

const (
	// minBodyRate is the least average rate of a request's body, in bytes a second: half the rate of the slowest clients
	// that are known.
	minBodyRate = 32 << 10

	// bodyPause is how long a body may pause in addition.
	bodyPause = 2 * time.Second

	// maxBodyMs is how long the largest body takes at minBodyRate, in ms.
	maxBodyMs = 1e3 * upstream.MaxBody / minBodyRate
)

// errClientGone is returned in place of the end of a body that came completely, if the client has disconnected since:
// unread bytes had hidden the end of its connection. The backend does not get the body's end, and so never runs the request.
var errClientGone = errors.New("the client has disconnected")

// bodyReader reads a client's body with a deadline that grows with the bytes that have come.
type bodyReader struct {
	controller *http.ResponseController
	source     io.Reader
	start      time.Time
	total      int64       // bytes read
	conn       *clientConn // set once the body is streamed to a backend
}

func (b *bodyReader) Read(buffer []byte) (int, error) {
	allowed := bodyPause + time.Duration(b.total)*time.Second/minBodyRate
	_ = b.controller.SetReadDeadline(b.start.Add(allowed))
	n, err := b.source.Read(buffer)
	b.total += int64(n)
	if err == io.EOF { //nolint:errorlint // an io.Reader's end is io.EOF itself
		// net/http reads on to notice a disconnect, and the deadline would end that.
		_ = b.controller.SetReadDeadline(time.Time{})
		if b.conn != nil && b.conn.hasDisconnected() {
			return 0, errClientGone
		}
	}
	return n, err
}

// readBody reads a request's body, or of a longer one the first upstream.MaxBufferedBody+1 bytes; rest then reads what
// follows.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, rest *bodyReader, malformed *requestError) {
	tooLong := &requestError{http.StatusRequestEntityTooLarge, "body of more than 32 MiB"}
	if r.ContentLength > upstream.MaxBody { // nothing of it is read
		return nil, nil, tooLong
	}
	reader := &bodyReader{
		controller: http.NewResponseController(w),
		source:     http.MaxBytesReader(w, r.Body, upstream.MaxBody),
		start:      time.Now(),
	}
	// Without a body no deadline is set. If this process was paused, the deadline would have expired, which net/http takes
	// for a client that has gone.
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
