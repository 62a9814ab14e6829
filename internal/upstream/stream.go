package upstream

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// stall is how long a side may give or take nothing of what streams. Backends and clients are seen to pause for
	// seconds; what has stopped for good must not hold a descriptor for long.
	stallTimeout = 10 * time.Second
	// early is how much of a long answer must have come before it is passed on, or of one whose size is not told: some
	// backends send 64 KiB in a second, and one whose length was spoilt shows by falling silent before, and can still be
	// had from another backend.
	streamThreshold  = 4 << 10
	streamBufferSize = 16 << 10 // bytes that a stream holds at a time
)

// Stream is the rest of an answer that is passed on as it comes. Whoever reads it closes it, which gives its connection
// back.
type Stream struct {
	Size int64 // of the whole body; below 0 is not told

	body      io.Reader
	conn      *conn
	remaining int64 // bytes that are left of the bound
	reusable  bool  // the connection may go on once all is read
	giveBack  func(keep bool)

	mu       sync.Mutex
	complete bool
	once     sync.Once
}

var errBodyTooLong = errors.New("more than a body may have")

// Read gives what has come; io.EOF is that the answer is whole.
func (s *Stream) Read(b []byte) (int, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.body.Read(b[:min(len(b), streamBufferSize)])
	if s.remaining -= int64(n); s.remaining < 0 {
		return 0, errBodyTooLong
	}
	if err == io.EOF {
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
	}
	return n, err
}

// Close gives the connection back: to be used again where the answer was read to its end.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.mu.Lock()
		keep := s.complete && s.reusable && s.conn.reader.Buffered() == 0
		s.mu.Unlock()
		if keep {
			_ = s.conn.SetDeadline(time.Time{})
		}
		s.giveBack(keep)
	})
}
