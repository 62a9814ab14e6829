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

// SyncPolicy selects when written data is made durable.
type SyncPolicy string

// The values of Sync.
const (
	SyncNever   SyncPolicy = "never"   // left to the operating system
	SyncSegment SyncPolicy = "segment" // when a segment is complete
	SyncBlock   SyncPolicy = "block"   // after each block
)

// WriterConfig configures a Writer: where segments are stored, and the size and age beyond which the oldest are
// removed.
type WriterConfig struct {
	Dir           string
	NodeName      string        // in the names of segments
	SegmentMB     float64       // size beyond which a segment is complete
	MaxTotalMB    float64       // of all segments
	MaxAge        time.Duration // of a segment; 0 for no limit
	FlushInterval time.Duration // longest time until a block is written
	BlockKB       int           // pending records that are written before FlushInterval is over
	MaxPendingMB  float64       // records waiting for the disk; what exceeds it is dropped and recorded as a gap
	Sync          SyncPolicy
	Log           *slog.Logger
	Now           func() float64 // Unix ms

	// create opens a segment. A test may replace it; nil creates a file.
	create func(name string) (segment, error)
}

// segment is the part of *os.File that the writer uses.
type segment interface {
	io.Writer
	Sync() error
	Close() error
}

// Writer writes batches to segment files on a goroutine of its own. Put never waits for the disk: what does not fit
// the pending bytes is dropped, counted, and recorded as a gap of that many records.
type Writer struct {
	config         WriterConfig
	mu             sync.Mutex
	pending        []byte // framed records
	pendingRecords uint64 // the number of records in pending
	dropped        uint64 // records, since the last batch that was accepted
	totalDropped   uint64
	blockReady     chan struct{} // signals that a full block is pending
	closing        chan struct{}
	closed         chan struct{}

	// The fields below belong to the writing goroutine, see run.

	encoder      *zstd.Encoder
	compressed   []byte
	segment      segment
	segmentBytes int64
	segments     int
	block        []byte
	blockRecords uint64    // the number of records in block
	failedAt     time.Time // of the latest disk error; zero while writes succeed
	unwritten    uint64    // records lost to disk errors since the last block that was written
}

// diskRetryDelay is the time between a disk error and the next attempt to begin a segment: a full disk is rarely
// emptied faster, and each attempt costs a system call in a node that serves.
const diskRetryDelay = time.Second

// NewWriter creates the directory and starts the writing goroutine; Close ends it.
func NewWriter(config WriterConfig) (*Writer, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	encoder, err := newEncoder()
	if err != nil {
		return nil, err
	}
	if config.create == nil {
		config.create = func(name string) (segment, error) {
			return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		}
	}
	w := &Writer{
		config:     config,
		blockReady: make(chan struct{}, 1),
		closing:    make(chan struct{}),
		closed:     make(chan struct{}),
		encoder:    encoder,
	}
	go w.run()
	return w, nil
}

// Put queues a batch and never blocks. The writing goroutine is woken once a full block is pending, not for each
// batch.
func (w *Writer) Put(batch Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(batch.Data) > int(w.config.MaxPendingMB*(1<<20)) {
		w.dropped += uint64(batch.Records)
		w.totalDropped += uint64(batch.Records)
		return
	}
	w.pending = w.appendGap(w.pending, &w.dropped)
	w.pending = append(w.pending, batch.Data...)
	w.pendingRecords += uint64(batch.Records)
	if len(w.pending) >= w.config.BlockKB<<10 {
		select {
		case w.blockReady <- struct{}{}:
		default:
		}
	}
}

// appendGap appends a gap record for the missing records, if there are any, and resets the count.
func (w *Writer) appendGap(framed []byte, missing *uint64) []byte {
	if *missing > 0 {
		framed = append(framed, Frame(Record{Kind: Gap, Now: w.config.Now(), Count: *missing})...)
		*missing = 0
	}
	return framed
}

// Dropped returns the number of records that were lost, because too much was pending or the disk failed.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close writes what is pending and ends the goroutine.
func (w *Writer) Close() {
	close(w.closing)
	<-w.closed
}

// run is the writing goroutine. It writes a block whenever one is full, after FlushInterval, and at the end.
func (w *Writer) run() {
	defer close(w.closed)
	defer func() { _ = w.encoder.Close() }()
	ticker := time.NewTicker(max(w.config.FlushInterval, time.Millisecond))
	defer ticker.Stop()
	for isClosing := false; !isClosing; {
		select {
		case <-w.blockReady:
		case <-ticker.C:
		case <-w.closing:
			isClosing = true
		}
		w.mu.Lock()
		if isClosing {
			w.pending = w.appendGap(w.pending, &w.dropped)
		}
		w.block, w.pending = w.pending, w.block[:0]
		w.blockRecords, w.pendingRecords = w.pendingRecords, 0
		w.mu.Unlock()
		w.flushBlock()
	}
	w.closeSegment()
}

// flushBlock writes the current block. Records that the disk does not accept are counted, and recorded as a gap before
// the next block that it does accept.
func (w *Writer) flushBlock() {
	if len(w.block) == 0 {
		return
	}
	if w.failedAt.IsZero() || time.Since(w.failedAt) >= diskRetryDelay {
		missing := w.unwritten
		block := w.block
		if missing > 0 {
			gapRecords := missing
			block = append(w.appendGap(nil, &gapRecords), w.block...)
		}
		err := w.writeBlock(block)
		if err == nil {
			if missing > 0 {
				w.config.Log.Info("capture resumed", "records_missing", missing)
			}
			w.failedAt, w.unwritten = time.Time{}, 0
			return
		}
		if w.failedAt.IsZero() {
			w.config.Log.Error("capture write failed, serving without capture", "error", err)
		}
		w.failedAt = time.Now()
		if w.segment != nil {
			_ = w.segment.Close() // it may end in the middle of a block, so the next block begins a new segment
			w.segment = nil
		}
	}
	w.unwritten += w.blockRecords
	w.mu.Lock()
	w.totalDropped += w.blockRecords
	w.mu.Unlock()
}

// writeBlock compresses a block and appends it to the current segment, beginning a new segment when the current one
// is full.
func (w *Writer) writeBlock(block []byte) error {
	if w.segment != nil && float64(w.segmentBytes) >= w.config.SegmentMB*(1<<20) {
		w.closeSegment()
	}
	if w.segment == nil {
		w.segments++
		file, err := w.config.create(filepath.Join(w.config.Dir, SegmentName(w.config.NodeName, w.config.Now(), w.segments)))
		if err != nil {
			return err
		}
		w.segment, w.segmentBytes = file, 0
		if _, err := file.Write(segmentHeader); err != nil {
			return err
		}
		w.removeOldSegments()
	}
	w.compressed = appendBlock(w.compressed[:0], w.encoder, block)
	written, err := w.segment.Write(w.compressed)
	w.segmentBytes += int64(written)
	if err == nil && w.config.Sync == SyncBlock {
		err = w.segment.Sync()
	}
	return err
}

// closeSegment completes the current segment, if there is one.
func (w *Writer) closeSegment() {
	if w.segment == nil {
		return
	}
	var err error
	if w.config.Sync != SyncNever {
		err = w.segment.Sync()
	}
	if err = errors.Join(err, w.segment.Close()); err != nil {
		w.config.Log.Error("capture segment close failed", "error", err)
	}
	w.segment = nil
}

// removeOldSegments removes the oldest segments beyond the configured total size and age. The newest always stays.
func (w *Writer) removeOldSegments() {
	files, err := Segments(w.config.Dir)
	if err != nil {
		return
	}
	totalMB := 0.0
	for i := len(files) - 1; i >= 0; i-- {
		info, err := os.Stat(files[i])
		if err != nil {
			continue
		}
		totalMB += float64(info.Size()) / (1 << 20)
		isExpired := w.config.MaxAge > 0 && time.UnixMilli(int64(w.config.Now())).Sub(info.ModTime()) > w.config.MaxAge
		if i < len(files)-1 && (isExpired || totalMB+w.config.SegmentMB > w.config.MaxTotalMB) {
			if err := os.Remove(files[i]); err != nil {
				w.config.Log.Warn("old capture segment not removed", "file", files[i], "error", err)
			}
		}
	}
}
