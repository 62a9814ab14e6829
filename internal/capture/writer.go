package capture

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Sync says when what is written is made durable.
type Sync string

// When a segment is forced to the disk.
const (
	SyncNever   Sync = "never"   // the system's own time
	SyncSegment Sync = "segment" // when a segment is done
	SyncBlock   Sync = "block"   // with each block
)

// Ring is where a capture goes on disk: segments within a size and an age.
type Ring struct {
	Dir       string
	Node      string // its name
	SegmentMB float64
	MostMB    float64
	MostAge   time.Duration
	Every     time.Duration // a block is written at the latest
	BlockKB   int
	MailboxMB float64 // that may wait for the disk; beyond it a gap is written
	Sync      Sync
	Log       *slog.Logger
	Now       func() float64 // Unix ms

	// create opens a segment; a test's own, else a file.
	create func(name string) (segment, error)
}

type segment interface {
	io.Writer
	Sync() error
	Close() error
}

// Writer is the actor that writes a ring. Whoever puts never waits for it: what does not fit its mailbox is dropped,
// counted, and stands in the capture as a gap of that size.
type Writer struct {
	r       Ring
	mu      sync.Mutex
	waiting []byte // framed records
	records uint64 // of them
	dropped uint64 // since the last that was taken
	total   uint64
	some    chan struct{} // there is enough for a block
	closing chan struct{}
	closed  chan struct{}

	zip      *zstd.Encoder
	packed   []byte
	out      segment
	written  int64
	count    int
	block    []byte
	inBlock  uint64    // records
	failedAt time.Time // zero while the disk takes all
	lost     uint64    // records that it did not take, since it last did
}

// retryAfter is how long after a fault of the disk the next segment is begun.
const retryAfter = time.Second

// NewWriter starts the actor.
func NewWriter(r Ring) (*Writer, error) {
	if err := os.MkdirAll(r.Dir, 0o700); err != nil {
		return nil, err
	}
	zip, err := newZip()
	if err != nil {
		return nil, err
	}
	if r.create == nil {
		r.create = func(name string) (segment, error) {
			return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		}
	}
	w := &Writer{r: r, some: make(chan struct{}, 1), closing: make(chan struct{}), closed: make(chan struct{}), zip: zip}
	go w.run()
	return w, nil
}

// Put hands a batch on, and never blocks. The actor is woken when there is enough for a block, not for each.
func (w *Writer) Put(b Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(b.Data) > int(w.r.MailboxMB*(1<<20)) {
		w.dropped += uint64(b.Records)
		w.total += uint64(b.Records)
		return
	}
	w.waiting = w.gap(w.waiting, &w.dropped)
	w.waiting = append(w.waiting, b.Data...)
	w.records += uint64(b.Records)
	if len(w.waiting) >= w.r.BlockKB<<10 {
		select {
		case w.some <- struct{}{}:
		default:
		}
	}
}

// gap puts so many records down as missing, where there are any.
func (w *Writer) gap(b []byte, missing *uint64) []byte {
	if *missing > 0 {
		b = append(b, Frame(Record{Kind: Gap, Now: w.r.Now(), Count: *missing})...)
		*missing = 0
	}
	return b
}

// Dropped is the number of records that no mailbox or disk took.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what waits and ends the actor.
func (w *Writer) Close() {
	close(w.closing)
	<-w.closed
}

func (w *Writer) run() {
	defer close(w.closed)
	defer func() { _ = w.zip.Close() }()
	tick := time.NewTicker(max(w.r.Every, time.Millisecond))
	defer tick.Stop()
	for ending := false; !ending; {
		select {
		case <-w.some:
		case <-tick.C:
		case <-w.closing:
			ending = true
		}
		w.mu.Lock()
		if ending {
			w.waiting = w.gap(w.waiting, &w.dropped)
		}
		w.block, w.waiting = w.waiting, w.block[:0]
		w.inBlock, w.records = w.records, 0
		w.mu.Unlock()
		w.flush()
	}
	w.end()
}

// flush writes a block. What the disk does not take is a gap before the next block that it does.
func (w *Writer) flush() {
	if len(w.block) == 0 {
		return
	}
	if w.failedAt.IsZero() || time.Since(w.failedAt) >= retryAfter {
		missing := w.lost
		block := w.block
		if missing > 0 {
			left := missing
			block = append(w.gap(nil, &left), w.block...)
		}
		err := w.write(block)
		if err == nil {
			if missing > 0 {
				w.r.Log.Info("capture goes on", "records_missing", missing)
			}
			w.failedAt, w.lost = time.Time{}, 0
			return
		}
		if w.failedAt.IsZero() {
			w.r.Log.Error("capture can't be written, the node goes on without", "error", err)
		}
		w.failedAt = time.Now()
		if w.out != nil {
			_ = w.out.Close() // it may end in the middle of a block: the next one is a segment's first
			w.out = nil
		}
	}
	w.lost += w.inBlock
	w.mu.Lock()
	w.total += w.inBlock
	w.mu.Unlock()
}

func (w *Writer) write(block []byte) error {
	if w.out != nil && float64(w.written) >= w.r.SegmentMB*(1<<20) {
		w.end()
	}
	if w.out == nil {
		w.count++
		out, err := w.r.create(filepath.Join(w.r.Dir, Name(w.r.Node, w.r.Now(), w.count)))
		if err != nil {
			return err
		}
		w.out, w.written = out, 0
		if _, err := out.Write(header); err != nil {
			return err
		}
		w.trim()
	}
	w.packed = appendBlock(w.packed[:0], w.zip, block)
	n, err := w.out.Write(w.packed)
	w.written += int64(n)
	if err == nil && w.r.Sync == SyncBlock {
		err = w.out.Sync()
	}
	return err
}

func (w *Writer) end() {
	if w.out == nil {
		return
	}
	var err error
	if w.r.Sync != SyncNever {
		err = w.out.Sync()
	}
	if err = errors.Join(err, w.out.Close()); err != nil {
		w.r.Log.Error("capture's segment not closed", "error", err)
	}
	w.out = nil
}

// trim drops the oldest segments beyond the ring's size and age.
func (w *Writer) trim() {
	files, err := Segments(w.r.Dir)
	if err != nil {
		return
	}
	sum := 0.0
	for k := len(files) - 1; k >= 0; k-- {
		info, err := os.Stat(files[k])
		if err != nil {
			continue
		}
		sum += float64(info.Size()) / (1 << 20)
		old := w.r.MostAge > 0 && time.UnixMilli(int64(w.r.Now())).Sub(info.ModTime()) > w.r.MostAge
		if k < len(files)-1 && (old || sum+w.r.SegmentMB > w.r.MostMB) {
			if err := os.Remove(files[k]); err != nil {
				w.r.Log.Warn("capture's old segment not removed", "file", files[k], "error", err)
			}
		}
	}
}
