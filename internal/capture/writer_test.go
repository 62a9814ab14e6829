package capture

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// The ring in memory stays within its size, and the file written from it begins with a batch that a replay may
// begin in.
func TestMemoryRingStaysWithinMaxBytes(t *testing.T) {
	ring := NewMemoryRing(300_000)
	captureExperiment(t, "hung", 30, 0, Options{SnapshotIntervalMs: 2000, Sink: ring.Put})
	size, dropped := ring.Size()
	assert.LessOrEqual(t, size, 300_000)
	assert.Positive(t, dropped)
	name := filepath.Join(t.TempDir(), "dump"+segmentSuffix)
	require.NoError(t, ring.WriteTo(name))
	records, err := readCapture(t, name)
	require.NoError(t, err)
	result, err := replayRecords(records)
	require.NoError(t, err)
	assert.Equal(t, 1, result.Restored)
	assert.Greater(t, result.Decisions, 200)
	assert.Less(t, result.Unverified, 50, "the records before the snapshot in its batch")
}

// A capture that was written to several segments is read back without a gap, and its replay matches.
func TestWriterRoundTrip(t *testing.T) {
	defer goleak.VerifyNone(t)
	writer, config := newTestWriter(t, nil)
	captureExperiment(t, "hung", 25, 0, Options{Sink: writer.Put})
	writer.Close()
	assert.Zero(t, writer.Dropped())
	files, err := Segments(config.Dir)
	require.NoError(t, err)
	assert.Greater(t, len(files), 2)
	records, err := readCapture(t, config.Dir)
	require.NoError(t, err)
	result, err := replayRecords(records)
	require.NoError(t, err)
	assert.Zero(t, result.Gaps)
	assert.Greater(t, result.Decisions, 1000)
}

// Beyond the total size the oldest segments are removed. Without snapshots, what is left can't be verified.
func TestWriterRemovesOldSegments(t *testing.T) {
	writer, config := newTestWriter(t, func(config *WriterConfig) { config.MaxTotalMB = 0.15 })
	captureExperiment(t, "hung", 30, 0, Options{Sink: writer.Put})
	writer.Close()
	files, err := Segments(config.Dir)
	require.NoError(t, err)
	total := int64(0)
	for _, file := range files {
		info, err := os.Stat(file)
		require.NoError(t, err)
		total += info.Size()
	}
	assert.LessOrEqual(t, total, int64(210_000))
	records, err := readCapture(t, config.Dir)
	require.NoError(t, err)
	result, err := replayRecords(records)
	require.NoError(t, err)
	assert.Equal(t, result.Records, result.Unverified, "the start was removed")
}

// The disk is full for a while. The records of that time are lost and recorded as a gap; Put never waits.
func TestFullDiskIsRecordedAsGap(t *testing.T) {
	var mu sync.Mutex
	full := false
	writer, config := newTestWriter(t, func(config *WriterConfig) {
		config.SegmentMB, config.BlockKB, config.FlushInterval = 100, 1, time.Millisecond
		config.create = func(name string) (segment, error) {
			mu.Lock()
			defer mu.Unlock()
			file, err := os.Create(name)
			return &faultyDisk{full: full, file: file}, err
		}
	})
	setFull := func(isFull bool) {
		mu.Lock()
		defer mu.Unlock()
		full = isFull
	}
	put := func(count int) {
		for range count {
			record := Record{Kind: TimerFired, Now: 1}
			writer.Put(Batch{Records: 1, Data: Frame(record)})
		}
	}
	setFull(true) // from the first segment on
	put(1000)
	require.Eventually(t, func() bool { return writer.Dropped() > 0 }, 5*time.Second, time.Millisecond)
	setFull(false)
	<-time.After(diskRetryDelay + 100*time.Millisecond)
	put(10)
	writer.Close()
	files, err := Segments(config.Dir)
	require.NoError(t, err)
	var records []Record
	for _, file := range files {
		_ = Read(file, appendTo(&records)) // fails for segments that end in a partial write
	}
	count, missing := countRecords(records)
	assert.Equal(t, writer.Dropped(), missing)
	assert.GreaterOrEqual(t, count+int(missing), 1010)
}

// The disk blocks. Put does not wait: what exceeds the pending bytes is dropped and counted.
func TestPutDoesNotWaitForBlockedDisk(t *testing.T) {
	blocked := make(chan struct{})
	writer, config := newTestWriter(t, func(config *WriterConfig) {
		config.MaxPendingMB, config.BlockKB, config.SegmentMB = 0.01, 1, 100
		config.create = func(name string) (segment, error) {
			file, err := os.Create(name)
			return &faultyDisk{blocked: blocked, file: file}, err
		}
	})
	startedAt := time.Now()
	for range 20_000 {
		record := Record{Kind: TimerFired, Now: 1}
		writer.Put(Batch{Records: 1, Data: Frame(record)})
	}
	assert.Less(t, time.Since(startedAt), 5*time.Second)
	assert.Greater(t, writer.Dropped(), uint64(15_000))
	close(blocked)
	writer.Close()
	records, err := readCapture(t, config.Dir)
	require.NoError(t, err)
	count, missing := countRecords(records)
	assert.Equal(t, uint64(20_000), uint64(count)+missing, "each record is stored or counted as missing")
}
