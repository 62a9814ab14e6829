package upstream

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// stallTimeout is how long either side of a streamed body may send or take nothing. Backends and clients sometimes pause
	// for seconds; one that has stopped for good must not occupy a descriptor for long.
	stallTimeout = 10 * time.Second

	// streamThreshold is how many bytes of a long response must have arrived before it is passed on. If a Content-Length was
	// corrupted on the way, a short response seems to be a long one that stalls. It stalls before this many bytes, so that
	// another backend can still answer the request. A higher threshold would delay sound responses: some backends send 64 KiB
	// in a second.
	streamThreshold = 4 << 10

	// streamBufferSize is how many bytes of a stream are buffered at a time.
	streamBufferSize = 16 << 10
)

// errBodyTooLong means that a response's body has, or announces, more bytes than it may have.
var errBodyTooLong = errors.New("body exceeds its limit")

// Stream is the rest of a response body that is passed on as it comes. Its user must close it, which returns the connection
// to its backend. Read and Close may be called from different goroutines.
type Stream struct {
	Size int64 // of the complete body in bytes; negative if the backend did not say

	body      io.Reader
	conn      *conn
	remaining int64 // bytes that the body may still have
	reusable  bool  // the connection can carry another request once the body has been read
	giveBack  func(reusable bool)

	mu       sync.Mutex
	complete bool // the body has been read to its end; guarded by mu
	once     sync.Once
}

// Read implements io.Reader. The backend has stallTimeout for each read. io.EOF means that the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.body.Read(p[:min(len(p), streamBufferSize)])
	s.remaining -= int64(n)
	if s.remaining < 0 {
		return 0, errBodyTooLong
	}
	if err == io.EOF {
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
	}
	return n, err
}

// Close returns the connection to its backend, which reuses it if the response has been read to its end. Further calls have
// no effect.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.mu.Lock()
		reusable := s.complete && s.reusable && s.conn.reader.Buffered() == 0
		s.mu.Unlock()
		if reusable {
			_ = s.conn.SetDeadline(time.Time{})
		}
		s.giveBack(reusable)
	})
}
