package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/virtual"
)

// captureExperiment captures one node of an experiment, through all its restarts.
func captureExperiment(t testing.TB, name string, seconds float64, node int, options Options) {
	t.Helper()
	experimentConfig, err := experiment.Read("../../experiments/" + name + ".toml")
	require.NoError(t, err)
	experimentConfig.Seconds = seconds
	wrap := func(index, epoch int, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider {
		if index != node {
			return decider
		}
		start := StartInfo{Name: fmt.Sprint("n", index), Epoch: uint64(epoch), Build: "test", Config: config}
		recorder, err := NewRecorder(decider, now, start, options)
		require.NoError(t, err)
		return recorder
	}
	run, err := virtual.Run(experimentConfig, 1, virtual.Options{Wrap: wrap})
	require.NoError(t, err)
	require.True(t, run.Verdict.Kept)
}

// captureRecords returns the records of a node of an experiment.
func captureRecords(t testing.TB, name string, seconds float64, node int) (records []Record) {
	t.Helper()
	captureExperiment(t, name, seconds, node, Options{SnapshotIntervalMs: 3000, Sink: func(batch Batch) {
		records = append(records, decodeBatch(batch.Data)...)
	}})
	return records
}

// decodeBatch returns the records of a batch.
func decodeBatch(data []byte) (records []Record) {
	data = bytes.Clone(data) // the recorder reuses it after the sink has returned
	for len(data) > 0 {
		size := int(binary.LittleEndian.Uint32(data))
		record, err := Decode(data[recordHeaderSize : recordHeaderSize+size])
		if err != nil {
			panic(err)
		}
		records = append(records, record)
		data = data[recordHeaderSize+size:]
	}
	return records
}

// replayRecords replays records, and compares snapshots too.
func replayRecords(records []Record) (Result, error) {
	replayer := &Replayer{Strict: true}
	for _, record := range records {
		if err := replayer.Feed(record); err != nil {
			return replayer.Result, err
		}
	}
	return replayer.Result, nil
}

// newTestWriter returns a writer to a directory of its own, and its configuration, which change may modify.
func newTestWriter(t *testing.T, change func(*WriterConfig)) (*Writer, WriterConfig) {
	t.Helper()
	config := WriterConfig{
		Dir:           t.TempDir(),
		NodeName:      "n/1",
		SegmentMB:     0.05,
		MaxTotalMB:    100,
		FlushInterval: 5 * time.Millisecond,
		BlockKB:       8,
		MaxPendingMB:  64,
		Sync:          SyncSegment,
		Log:           slog.New(slog.DiscardHandler),
		Now:           func() float64 { return float64(time.Now().UnixMilli()) },
	}
	if change != nil {
		change(&config)
	}
	writer, err := NewWriter(config)
	require.NoError(t, err)
	return writer, config
}

// readCapture returns the records of a capture file or of all in a directory, up to the first error.
func readCapture(t *testing.T, path string) (records []Record, err error) {
	t.Helper()
	files, err := Segments(path)
	require.NoError(t, err)
	for _, file := range files {
		if err := Read(file, appendTo(&records)); err != nil {
			return records, err
		}
	}
	return records, nil
}

// appendTo returns a function that appends each record that is read.
func appendTo(records *[]Record) func(Record) error {
	return func(record Record) error {
		*records = append(*records, record)
		return nil
	}
}

// faultyDisk is a segment on a disk that is full, or blocks writes.
type faultyDisk struct {
	mu      sync.Mutex
	full    bool
	blocked chan struct{} // writes wait here
	file    *os.File
}

// Write fails halfway if the disk is full, and waits while it is blocked.
func (d *faultyDisk) Write(data []byte) (int, error) {
	d.mu.Lock()
	full, blocked := d.full, d.blocked
	d.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	if full {
		written, _ := d.file.Write(data[:len(data)/2]) // a partial write
		return written, errors.New("no space left on device")
	}
	return d.file.Write(data)
}

// Sync does nothing.
func (d *faultyDisk) Sync() error { return nil }

// Close closes the file.
func (d *faultyDisk) Close() error { return d.file.Close() }

// countRecords counts records, and those that gaps say are missing.
func countRecords(records []Record) (count int, missing uint64) {
	for _, record := range records {
		if record.Kind == Gap {
			missing += record.Count
		} else {
			count++
		}
	}
	return count, missing
}
