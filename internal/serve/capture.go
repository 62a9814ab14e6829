package serve

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/clock"
	"pearknot/internal/tomlfile"
)

const (
	// minRedactionKeyBytes is the minimum size of the key with which redacted names are hashed.
	minRedactionKeyBytes = 16

	maxCaptureMemoryMB = 4096
)

// Capture holds the settings from the operator's capture file.
type Capture struct {
	Ring             capture.WriterConfig
	MemoryMB         float64 // size of a ring in memory, written to Ring's directory on request; 0 writes continuously to disk
	SnapshotInterval float64 // ms
	RedactionKey     []byte  // nil disables redaction
}

// captureSession is a running capture.
type captureSession struct {
	nodeName string
	ring     capture.WriterConfig
	sink     func(capture.Batch)
	close    func()                 // called when the node has ended
	dump     func() (string, error) // writes the ring in memory to a file and returns its name; nil without such a ring
}

// openCapture opens the capture's ring, on disk or in memory.
func openCapture(options *Capture, nodeName string, nodeClock *clock.Clock, log *slog.Logger) (*captureSession, error) {
	ring := options.Ring
	ring.NodeName, ring.Log, ring.Now = nodeName, log, nodeClock.Now
	session := &captureSession{nodeName: nodeName, ring: ring}
	if options.MemoryMB > 0 {
		session.useMemoryRing(options.MemoryMB)
		return session, nil
	}
	writer, err := capture.NewWriter(ring)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	session.sink = writer.Put
	session.close = func() {
		writer.Close()
		log.Info("capture ended", "records_dropped", writer.Dropped())
	}
	return session, nil
}

func (s *captureSession) useMemoryRing(sizeMB float64) {
	memory := capture.NewMemoryRing(int(sizeMB * (1 << 20)))
	s.sink = memory.Put
	s.close = func() {}
	var dumps atomic.Int64
	s.dump = func() (string, error) {
		if err := os.MkdirAll(s.ring.Dir, 0o700); err != nil {
			return "", err
		}
		name := filepath.Join(s.ring.Dir, capture.Name(s.nodeName, s.ring.Now(), int(dumps.Add(1))))
		return name, memory.WriteTo(name)
	}
}

// recordDecider wraps options.NewDecider so that each balancer that the node creates is recorded. A balancer whose recorder
// can't be created is used without one.
func (s *captureSession) recordDecider(options *Options) {
	newDecider, captureOptions := options.NewDecider, options.Capture
	// Each balancer of a node needs a higher epoch than the previous one. The time in ms is higher than all epochs of an
	// earlier process, because a process does not create a thousand balancers per second.
	epoch := uint64(s.ring.Now())
	options.NewDecider = func(config *balancer.Config, now float64) balancer.Decider {
		decider := newDecider(config, now)
		start := capture.Start{Name: s.nodeName, Epoch: epoch, Build: options.Version, Config: config}
		recorder, err := capture.NewRecorder(decider, now, start, capture.Options{
			SnapshotIntervalMs: captureOptions.SnapshotInterval,
			HashKey:            captureOptions.RedactionKey,
			Sink:               s.sink,
		})
		if err != nil {
			s.ring.Log.Error("capture not started", "error", err)
			return decider
		}
		epoch++
		return recorder
	}
}

// captureFile is the content of a file such as deploy/capture.toml.
//
// dir is required; all other keys are optional. ReadCapture sets the defaults, and validate checks the ranges.
type captureFile struct {
	Dir       string  `toml:"dir"`
	SegmentMB float64 `toml:"segment_mb"`      // size of a segment file, MB; default 16
	MostMB    float64 `toml:"most_mb"`         // size of all segments, MB; default 256, at least two segments
	MostHours float64 `toml:"most_hours"`      // age at which a segment is deleted, hours; default 48
	EveryMs   float64 `toml:"every_ms"`        // maximum time until a block is written, ms; default 1000
	BlockKB   int     `toml:"block_kb"`        // size at which a block is written, KB; default 64
	MailboxMB float64 `toml:"mailbox_mb"`      // records that may wait for the disk, MB; default 4; further ones are dropped
	Sync      string  `toml:"sync"`            // never, segment or block: when the file is synced; default segment
	MemoryMB  float64 `toml:"memory_mb"`       // size of a ring in memory, MB; default 0, which writes to disk instead
	EveryS    float64 `toml:"snapshot_s"`      // time between two snapshots, s; default 10
	Redact    string  `toml:"redact_key_file"` // file with the key for hashing request names; default none
}

// ReadCapture reads the operator's capture file, and the key file that it names.
func ReadCapture(name string) (*Capture, error) {
	content := captureFile{SegmentMB: 16, MostMB: 256, MostHours: 48, EveryMs: 1000, BlockKB: 64, MailboxMB: 4, EveryS: 10,
		Sync: string(capture.SyncSegment)}
	file, err := tomlfile.Read(name, &content)
	if err != nil {
		return nil, err
	}
	if err := content.validate(file); err != nil {
		return nil, err
	}
	redactionKey, err := readRedactionKey(file, content.Redact)
	if err != nil {
		return nil, err
	}
	return &Capture{
		MemoryMB:         content.MemoryMB,
		SnapshotInterval: content.EveryS * 1e3,
		RedactionKey:     redactionKey,
		Ring: capture.WriterConfig{
			Dir:           content.Dir,
			SegmentMB:     content.SegmentMB,
			MaxTotalMB:    content.MostMB,
			MaxAge:        time.Duration(content.MostHours * float64(time.Hour)),
			FlushInterval: clock.Duration(content.EveryMs),
			BlockKB:       content.BlockKB,
			MaxPendingMB:  content.MailboxMB,
			Sync:          capture.Sync(content.Sync),
		},
	}, nil
}

func (f *captureFile) validate(file *tomlfile.File) error {
	for _, limit := range []struct {
		key        string
		value, max float64
	}{
		{"segment_mb", f.SegmentMB, 1 << 20},
		{"most_mb", f.MostMB, 1 << 30},
		{"most_hours", f.MostHours, 1e6},
		{"every_ms", f.EveryMs, 1e6},
		{"block_kb", float64(f.BlockKB), 4096},
		{"mailbox_mb", f.MailboxMB, 1024},
		{"snapshot_s", f.EveryS, 86400},
	} {
		if !(limit.value > 0 && limit.value <= limit.max) {
			return file.Errorf(limit.key, "%v is out of range, must be above 0 and at most %v", limit.value, limit.max)
		}
	}
	switch sync := capture.Sync(f.Sync); {
	case f.Dir == "":
		return file.Errorf("dir", "none given")
	case f.MostMB < 2*f.SegmentMB:
		return file.Errorf("most_mb", "%v is less than two segments", f.MostMB)
	case sync != capture.SyncNever && sync != capture.SyncSegment && sync != capture.SyncBlock:
		return file.Errorf("sync", "%q is none of never, segment, block", f.Sync)
	case f.MemoryMB < 0 || f.MemoryMB > maxCaptureMemoryMB:
		return file.Errorf("memory_mb", "%v is out of range 0 to 4096", f.MemoryMB)
	}
	return nil
}

func readRedactionKey(file *tomlfile.File, name string) ([]byte, error) {
	if name == "" {
		return nil, nil
	}
	key, err := os.ReadFile(name)
	if err != nil {
		return nil, file.Errorf("redact_key_file", "%v", err)
	}
	if len(key) < minRedactionKeyBytes {
		return nil, file.Errorf("redact_key_file", "%s: key has %d bytes, needs at least 16", name, len(key))
	}
	return key, nil
}
