package server

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"pearknot/internal/upstream"
)

const (
	// minBodyRate is the minimum average rate of a request's body, in bytes per second: half the rate of the slowest known
	// clients.
	minBodyRate = 32 << 10

	// bodyGracePeriod is the time that a body may take in addition to that.
	bodyGracePeriod = 2 * time.Second

	// maxBodyPause is the longest time for which a client may send nothing of its body, however much it has sent before: by the
	// operators' contract a client that stops gets its error within 3 s.
	maxBodyPause = 2 * time.Second

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

// errBodyEvicted means that the reading of a body was ended because there is no memory for it.
var errBodyEvicted = errors.New("no memory for the body")

// bodyReader reads a client's body with a deadline that grows with the bytes received, but at most maxBodyPause ahead. A time in which nothing is read, because the
// request is queued or its backend pauses, does not count if the client may have been blocked by it.
type bodyReader struct {
	controller *http.ResponseController
	source     io.Reader
	start      time.Time
	total      int64         // bytes read
	lastReadAt time.Time     // end of the latest read
	blocked    time.Duration // time in which the client may have been blocked
	conn       *clientConn   // set once the body is streamed to a backend
	waited     clientWait

	registry *incompleteBodies // has the reader until its last read

	mu        sync.Mutex
	isEvicted bool
	isDone    bool // the body has been read to its end
}

func (b *bodyReader) Read(buffer []byte) (int, error) {
	startedAt := time.Now()
	if !b.setReadDeadline(b.deadline(startedAt)) {
		return 0, errBodyEvicted
	}
	b.waited.begin(startedAt)
	n, err := b.source.Read(buffer)
	b.total += int64(n)
	b.lastReadAt = time.Now()
	b.waited.end(b.lastReadAt)
	if err != nil {
		b.registry.remove(b)
	}
	if b.endRead(err) {
		return 0, errBodyEvicted
	}
	if err == io.EOF { //nolint:errorlint // an io.Reader returns io.EOF itself
		// net/http goes on reading to notice a disconnect, which the deadline would interrupt.
		_ = b.controller.SetReadDeadline(time.Time{})
		if b.conn != nil && b.conn.hasDisconnected() {
			return 0, errClientGone
		}
	}
	return n, err
}

// setReadDeadline sets the deadline of the next read. It reports false if the body has been evicted.
func (b *bodyReader) setReadDeadline(deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isEvicted {
		_ = b.controller.SetReadDeadline(deadline)
	}
	return !b.isEvicted
}

// evict ends the reading of the body: the read in progress fails, and all further ones.
func (b *bodyReader) evict() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isDone { // net/http reads on, to notice a disconnect
		return
	}
	b.isEvicted = true
	_ = b.controller.SetReadDeadline(time.Unix(1, 0))
}

// endRead records the end of a read, and reports whether the body has been evicted.
func (b *bodyReader) endRead(err error) (isEvicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDone = b.isDone || err == io.EOF //nolint:errorlint // an io.Reader returns io.EOF itself
	return b.isEvicted
}

// waitedForClient returns how long the reader has waited for its client.
func (b *bodyReader) waitedForClient(now time.Time) time.Duration { return b.waited.at(now) }

// deadline returns the deadline of the next read, which begins now.
func (b *bodyReader) deadline(now time.Time) time.Time {
	if b.conn != nil && now.Sub(b.lastReadAt) > minReadPause && b.conn.unreadBytes() >= minBlockingBytes {
		b.blocked += now.Sub(b.lastReadAt)
	}
	allowed := bodyGracePeriod + time.Duration(b.total)*time.Second/minBodyRate + b.blocked
	deadline, lateRead := b.start.Add(allowed), now.Add(lateReadTimeout)
	if latest := now.Add(maxBodyPause); deadline.After(latest) {
		deadline = latest
	}
	if deadline.Before(lateRead) && b.conn != nil && b.conn.unreadBytes() > 0 {
		return lateRead // bytes that have arrived are read, however late
	}
	return deadline
}

// readBody reads a request's body, but at most upstream.MaxBufferedBody+1 bytes of it; rest then reads the remaining bytes, until
// the reservation is released.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, reservation *requestReservation) (body []byte, rest *bodyReader, malformed *requestError) {
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
	reader.registry, reservation.body = &s.incompleteBodies, reader
	s.incompleteBodies.add(reader)
	body, err := readFirstPart(reader, r.ContentLength, reservation)
	if errors.Is(err, errBodyEvicted) {
		return nil, nil, errOutOfMemory
	}
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return nil, nil, tooLong
	}
	if err != nil {
		return nil, nil, badRequest("body: %v", err)
	}
	return body, reader, nil
}

// readFirstPart reads a body of the given size, which is negative if unknown, but at most upstream.MaxBufferedBody+1 bytes of it.
// The buffer grows with what has arrived: a client must not be able to reserve memory by announcing a body. It returns
// errBodyEvicted if there is no memory for more.
func readFirstPart(reader io.Reader, size int64, reservation *requestReservation) ([]byte, error) {
	const limit = upstream.MaxBufferedBody + 1
	capacity := int64(smallBodyBytes)
	if size >= 0 && size < smallBodyBytes {
		capacity = size + 1 // room for the read that returns the body's end
	}
	body := make([]byte, 0, capacity)
	for len(body) < limit {
		if len(body) == cap(body) {
			// While the body is copied, both buffers are in use.
			grown := min(2*cap(body), limit)
			if !reservation.grow(int64(grown)) {
				return body, errBodyEvicted
			}
			body = append(make([]byte, 0, grown), body...)
			if copied := int64(grown / 2); copied > smallBodyBytes {
				reservation.shrink(copied)
			}
		}
		n, err := reader.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		if err == io.EOF { //nolint:errorlint // an io.Reader returns io.EOF itself
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}
