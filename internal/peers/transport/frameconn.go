package transport

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/mailbox"
)

const (
	// writeChunkBytes is the amount of data that is written under one deadline, so that writeTimeout limits the time without
	// progress and not the total time of a long frame on a slow link.
	writeChunkBytes = 4 << 10
	writeTimeout    = 10 * time.Second
	// progressInterval is the minimum time between two calls of the OnProgress callback.
	progressInterval = 500 * time.Millisecond
	readBufferBytes  = 16 << 10
)

// ErrClosed is the result of Run after Close.
var ErrClosed = errors.New("connection closed")

// FrameConn carries frames in both directions on an open connection. Send never blocks: frames wait in an unbounded queue.
// The caller has to limit it, by the sizes that Send and QueuedBytes return and that Run passes to onSent.
//
// Send, Close, QueuedBytes and Traffic may be called from any goroutine.
type FrameConn struct {
	conn   net.Conn
	reader *bufio.Reader
	queue  *mailbox.Box[[]byte]

	queuedBytes atomic.Int64
	stopOnce    sync.Once
	stopped     chan struct{}
	wasClosed   atomic.Bool // by Close

	// Set before Run, read by its goroutine.
	idleTimeout    time.Duration
	onProgress     func()
	lastProgressAt time.Time // when onProgress was last called

	bytesIn, bytesOut, framesIn, framesOut atomic.Int64
}

// NewFrameConn returns a FrameConn that uses conn. Run must be called; it closes conn when it returns.
func NewFrameConn(conn net.Conn) *FrameConn {
	c := &FrameConn{conn: conn, queue: mailbox.New[[]byte](), stopped: make(chan struct{})}
	c.reader = bufio.NewReaderSize(progressReader{c}, readBufferBytes)
	return c
}

// Reader returns the connection's buffered reader. A handshake must read through it, because the buffer may already hold
// bytes that come after the handshake.
func (c *FrameConn) Reader() *bufio.Reader { return c.reader }

// OnProgress sets a function that is called when bytes are received, including those of an incomplete frame, at most once in
// progressInterval. It must be called before Run.
func (c *FrameConn) OnProgress(callback func()) { c.onProgress = callback }

// Send queues a frame and returns the number of queued bytes including it. The frame must not be changed afterwards.
func (c *FrameConn) Send(frame []byte) (queuedBytes int64) {
	queuedBytes = c.queuedBytes.Add(int64(len(frame)))
	c.queue.Put(frame)
	return queuedBytes
}

// QueuedBytes returns the total size of the queued frames.
func (c *FrameConn) QueuedBytes() int64 { return c.queuedBytes.Load() }

// Traffic returns the numbers of bytes and frames received and sent. The bytes include the frames' headers.
func (c *FrameConn) Traffic() (bytesIn, bytesOut, framesIn, framesOut int64) {
	return c.bytesIn.Load(), c.bytesOut.Load(), c.framesIn.Load(), c.framesOut.Load()
}

// Close closes the connection. Run then returns ErrClosed. Further calls do nothing.
func (c *FrameConn) Close() {
	c.wasClosed.Store(true)
	c.stop()
}

func (c *FrameConn) stop() {
	c.stopOnce.Do(func() {
		close(c.stopped)
		_ = c.conn.Close()
	})
}

// Run sends and receives frames until the connection ends, and returns the reason: ErrClosed after Close, a
// *FrameTooLongError for a frame of more than maxFrameBytes, a timeout if nothing was received for idleTimeout (0 means no
// limit), or the error of the connection.
//
// received is called with each frame that came. sent is called with the size of each frame that has left the queue, from
// another goroutine; it may be nil.
func (c *FrameConn) Run(maxFrameBytes uint32, idleTimeout time.Duration, onFrame func(frame []byte), onSent func(bytes int)) error {
	var writer sync.WaitGroup
	var writeErr error
	writer.Go(func() {
		if writeErr = c.writeFrames(onSent); writeErr != nil {
			c.stop()
		}
	})
	c.idleTimeout = idleTimeout
	readErr := c.readFrames(maxFrameBytes, onFrame)
	c.stop()
	writer.Wait()
	switch {
	case c.wasClosed.Load():
		return ErrClosed
	case writeErr != nil:
		return writeErr
	}
	return readErr
}

func (c *FrameConn) readFrames(maxFrameBytes uint32, onFrame func([]byte)) error {
	for {
		frame, err := ReadFrame(c.reader, maxFrameBytes)
		if err != nil {
			return err
		}
		c.bytesIn.Add(int64(headerBytes + len(frame)))
		c.framesIn.Add(1)
		onFrame(frame)
	}
}

func (c *FrameConn) writeFrames(onSent func(bytes int)) error {
	var frames [][]byte
	for {
		select {
		case <-c.stopped:
			return nil
		case <-c.queue.Ready():
		}
		frames = c.queue.TakeAll(frames)
		for _, frame := range frames {
			if err := WriteFrame(chunkWriter{c.conn}, frame); err != nil {
				return err
			}
			c.queuedBytes.Add(-int64(len(frame)))
			c.bytesOut.Add(int64(headerBytes + len(frame)))
			c.framesOut.Add(1)
			if onSent != nil {
				onSent(len(frame))
			}
		}
	}
}

// progressReader reads from a FrameConn's connection with a new deadline for each read, so that a long frame on a slow link
// does not cause an idle timeout.
type progressReader struct{ *FrameConn }

func (r progressReader) Read(buffer []byte) (int, error) {
	if r.idleTimeout > 0 {
		_ = r.conn.SetReadDeadline(time.Now().Add(r.idleTimeout))
	}
	n, err := r.conn.Read(buffer)
	if now := time.Now(); n > 0 && r.onProgress != nil && now.Sub(r.lastProgressAt) >= progressInterval {
		r.lastProgressAt = now
		r.onProgress()
	}
	return n, err
}

// chunkWriter writes to a connection in chunks, with a deadline for each.
type chunkWriter struct{ net.Conn }

func (w chunkWriter) Write(data []byte) (written int, err error) {
	for written < len(data) {
		chunk := data[written:min(written+writeChunkBytes, len(data))]
		_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
