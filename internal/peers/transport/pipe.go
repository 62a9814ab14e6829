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
	writePiece  = 4 << 10          // so that the time below is one of progress, on a slow link too
	writeWithin = 10 * time.Second // for a piece
	heardEvery  = 500 * time.Millisecond
)

// ErrClosed is the end of a pipe that this side has closed.
var ErrClosed = errors.New("closed")

// Pipe carries frames both ways on a link that is open. Sending never blocks; how much may lie in the queue is its owner's to
// say, who is told what has left it.
type Pipe struct {
	conn   net.Conn
	reader *bufio.Reader
	box    *mailbox.Box[[]byte]
	queued atomic.Int64
	ended  chan struct{}
	end    sync.Once
	mine   atomic.Bool
	silent time.Duration
	heard  func()
	last   time.Time // heard was called

	in, out, framesIn, framesOut atomic.Int64
}

// NewPipe makes one; Run carries.
func NewPipe(c net.Conn) *Pipe {
	p := &Pipe{conn: c, box: mailbox.New[[]byte](), ended: make(chan struct{})}
	p.reader = bufio.NewReaderSize(progress{p}, 16<<10)
	return p
}

// Reader is what a handshake has to read by: it may have read on.
func (p *Pipe) Reader() *bufio.Reader { return p.reader }

// progress is reading with a deadline for each piece, so that a long frame on a slow link is no silence.
type progress struct{ *Pipe }

func (p progress) Read(b []byte) (int, error) {
	if p.silent > 0 {
		_ = p.conn.SetReadDeadline(time.Now().Add(p.silent))
	}
	n, err := p.conn.Read(b)
	if now := time.Now(); n > 0 && p.heard != nil && now.Sub(p.last) >= heardEvery {
		p.last = now
		p.heard()
	}
	return n, err
}

// Heard has f called now and then while something comes, be it a part of a frame; to be set before Run.
func (p *Pipe) Heard(f func()) { p.heard = f }

// Send queues a frame and gives how many bytes wait with it.
func (p *Pipe) Send(frame []byte) (waiting int64) {
	waiting = p.queued.Add(int64(len(frame)))
	p.box.Put(frame)
	return waiting
}

// Waiting is how many bytes are queued.
func (p *Pipe) Waiting() int64 { return p.queued.Load() }

// Close ends it; Run returns.
func (p *Pipe) Close() {
	p.mine.Store(true)
	p.stop()
}

func (p *Pipe) stop() {
	p.end.Do(func() {
		close(p.ended)
		_ = p.conn.Close()
	})
}

// Counts are the bytes and frames that went in and out.
func (p *Pipe) Counts() (in, out, framesIn, framesOut int64) {
	return p.in.Load(), p.out.Load(), p.framesIn.Load(), p.framesOut.Load()
}

// Run carries until the link ends, and tells why: took has each frame that came, sent the bytes of frames that have left the
// queue, nil tells nobody. A link on which nothing comes for longer than silent ends; 0 is for ever.
func (p *Pipe) Run(most uint32, silent time.Duration, took func([]byte), sent func(bytes int)) error {
	var writer sync.WaitGroup
	var failed error
	writer.Go(func() {
		if failed = p.write(sent); failed != nil {
			p.stop()
		}
	})
	var err error
	p.silent = silent
	for err == nil {
		var data []byte
		if data, err = ReadFrame(p.reader, most); err == nil {
			p.in.Add(int64(len(data)) + 4)
			p.framesIn.Add(1)
			took(data)
		}
	}
	p.stop()
	writer.Wait()
	switch {
	case p.mine.Load():
		return ErrClosed
	case failed != nil:
		return failed
	}
	return err
}

func (p *Pipe) write(sent func(int)) error {
	var frames [][]byte
	for {
		select {
		case <-p.ended:
			return nil
		case <-p.box.Some():
		}
		frames = p.box.Take(frames)
		for _, frame := range frames {
			if err := WriteFrame(pieces{p.conn}, frame); err != nil {
				return err
			}
			p.queued.Add(-int64(len(frame)))
			p.out.Add(int64(len(frame)) + 4)
			p.framesOut.Add(1)
			if sent != nil {
				sent(len(frame))
			}
		}
	}
}

// pieces writes with a deadline for each piece.
type pieces struct{ net.Conn }

func (c pieces) Write(b []byte) (n int, err error) {
	for n < len(b) {
		_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
		k, err := c.Conn.Write(b[n:min(n+writePiece, len(b))])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
