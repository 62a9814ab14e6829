package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// StallTimeout is the longest time for which a backend may send nothing of a streamed response, or read nothing of a
	// streamed request beyond the time of a slow reader, see package writestall. Backends sometimes pause for seconds; one that
	// has stopped permanently must not occupy a descriptor for long.
	StallTimeout = 10 * time.Second

	// streamThreshold is the number of bytes of a long response that must have arrived before it is forwarded. If a
	// Content-Length was corrupted on the way, a short response appears to be a long one that stalls. It stalls before the
	// threshold, so that another backend can still answer the request. A higher threshold would delay valid responses: some
	// backends send 64 KiB in a second.
	streamThreshold = 4 << 10

	// streamBufferSize is the number of bytes of a stream that are buffered at a time.
	streamBufferSize = 16 << 10

	// minStreamBufferSize is that number when memory is short.
	minStreamBufferSize = 4 << 10
)

// errBodyTooLong is returned when a response's body has, or announces, more bytes than it may have.
var errBodyTooLong = errors.New("response body exceeds the size limit")

// Stream is the rest of a response body that is forwarded as it arrives. Its user must close it, which returns the connection
// to its backend. Read and Close may be called from different goroutines.
type Stream struct {
	Size int64 // of the complete body in bytes; negative if the backend did not say

	body       io.Reader
	conn       *conn
	remaining  int64 // bytes that the body may still have
	reusable   bool  // the connection can carry another request once the body has been read
	returnConn func(reusable bool)

	mu          sync.Mutex
	complete    bool // the body has been read to its end; guarded by mu
	interrupted bool // guarded by mu
	closeOnce   sync.Once
}

// StreamRest is the part of a response body that is still to be read.
type StreamRest struct {
	Conn      *net.TCPConn
	Received  []byte // bytes of it that have been read from the connection
	Remaining int64  // bytes of it that follow on the connection
}

// HasRest reports whether Rest can be called: the body has a known length and comes over plain TCP.
func (s *Stream) HasRest() bool {
	_, isTCP := s.conn.Conn.(*net.TCPConn)
	return isTCP && s.Size >= 0
}

// Rest returns the part of the body that Read has not returned. To read it from the connection itself, the caller calls Read no more,
// and closes the stream afterwards.
func (s *Stream) Rest() StreamRest {
	unread := s.Size - (MaxBody - s.remaining)
	received, _ := s.conn.reader.Peek(int(min(int64(s.conn.reader.Buffered()), unread))) // no error: the bytes are there
	return StreamRest{Conn: s.conn.Conn.(*net.TCPConn), Received: slices.Clone(received), Remaining: unread - int64(len(received))}
}

// Interrupt makes a Read that waits for the backend, and all later ones, return an error. Rest still returns what they have not read.
func (s *Stream) Interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// beginRead sets the deadline of a read. It reports false if the stream has been interrupted.
func (s *Stream) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.interrupted {
		_ = s.conn.SetReadDeadline(time.Now().Add(StallTimeout))
	}
	return !s.interrupted
}

// Read implements io.Reader. Each read times out after StallTimeout. io.EOF means that the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	if !s.beginRead() {
		return 0, os.ErrDeadlineExceeded
	}
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
	s.closeOnce.Do(func() {
		s.mu.Lock()
		reusable := s.complete && s.reusable && s.conn.reader.Buffered() == 0
		s.mu.Unlock()
		if reusable {
			_ = s.conn.SetDeadline(time.Time{})
		}
		s.returnConn(reusable)
	})
}
