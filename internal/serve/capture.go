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

// Capture is what an operator's file says of a capture.
type Capture struct {
	Ring     capture.WriterConfig
	MemoryMB float64 // a ring in memory in place of the one on disk, written into the ring's directory when asked for
	Every    float64 // between snapshots, in ms
	Secret   []byte
}

// captured puts a recorder round each module that the node makes. End is called when the node has ended; dump writes a
// ring in memory out, and is nil where there is none.
func captured(p *Config, o *Options, now *clock.Clock, log *slog.Logger) (end func(), dump func() (string, error), err error) {
	ring := o.Capture.Ring
	ring.NodeName, ring.Log, ring.Now = p.name, log, now.Now
	var sink func(capture.Batch)
	if o.Capture.MemoryMB > 0 {
		m := capture.NewMemoryRing(int(o.Capture.MemoryMB * (1 << 20)))
		var dumps atomic.Int64
		dump = func() (string, error) {
			if err := os.MkdirAll(ring.Dir, 0o700); err != nil {
				return "", err
			}
			name := filepath.Join(ring.Dir, capture.Name(p.name, now.Now(), int(dumps.Add(1))))
			return name, m.WriteTo(name)
		}
		sink, end = m.Put, func() {}
	} else {
		w, err := capture.NewWriter(ring)
		if err != nil {
			return nil, nil, fmt.Errorf("capture: %w", err)
		}
		sink = w.Put
		end = func() {
			w.Close()
			log.Info("capture ended", "records_dropped", w.Dropped())
		}
	}
	inner, epoch := o.Decide, uint64(now.Now()) // a process begins where the one before can't have been
	o.Decide = func(t *balancer.Config, at float64) balancer.Decider {
		d := inner(t, at)
		r, err := capture.NewRecorder(d, at, capture.Start{Name: p.name, Epoch: epoch, Build: o.Version, Config: t},
			capture.Options{SnapshotIntervalMs: o.Capture.Every, HashKey: o.Capture.Secret, Sink: sink})
		if err != nil {
			log.Error("no capture", "error", err)
			return d
		}
		epoch++
		return r
	}
	log.Info("capturing", "dir", ring.Dir, "memory_mb", o.Capture.MemoryMB)
	return end, dump, nil
}

// captureFile is deploy/capture.toml.
type captureFile struct {
	Dir       string  `toml:"dir"`
	SegmentMB float64 `toml:"segment_mb"`
	MostMB    float64 `toml:"most_mb"`
	MostHours float64 `toml:"most_hours"`
	EveryMs   float64 `toml:"every_ms"`
	BlockKB   int     `toml:"block_kb"`
	MailboxMB float64 `toml:"mailbox_mb"`
	Sync      string  `toml:"sync"`
	MemoryMB  float64 `toml:"memory_mb"`
	EveryS    float64 `toml:"snapshot_s"`
	Redact    string  `toml:"redact_key_file"`
}

// ReadCapture reads the operator's file of a capture.
func ReadCapture(name string) (*Capture, error) {
	f := captureFile{SegmentMB: 16, MostMB: 256, MostHours: 48, EveryMs: 1000, BlockKB: 64, MailboxMB: 4, EveryS: 10, Sync: string(capture.SyncSegment)}
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	for _, x := range []struct {
		key         string
		value, most float64
	}{{"segment_mb", f.SegmentMB, 1 << 20}, {"most_mb", f.MostMB, 1 << 30}, {"most_hours", f.MostHours, 1e6}, {"every_ms", f.EveryMs, 1e6},
		{"block_kb", float64(f.BlockKB), 4096}, {"mailbox_mb", f.MailboxMB, 1024}, {"snapshot_s", f.EveryS, 86400}} {
		if !(x.value > 0 && x.value <= x.most) {
			return nil, at.Errorf(x.key, "%v is not above 0, to %v", x.value, x.most)
		}
	}
	switch s := capture.Sync(f.Sync); {
	case f.Dir == "":
		return nil, at.Errorf("dir", "none given")
	case f.MostMB < 2*f.SegmentMB:
		return nil, at.Errorf("most_mb", "%v is less than two segments", f.MostMB)
	case s != capture.SyncNever && s != capture.SyncSegment && s != capture.SyncBlock:
		return nil, at.Errorf("sync", "%q is none of never, segment, block", f.Sync)
	}
	if f.MemoryMB < 0 || f.MemoryMB > 4096 {
		return nil, at.Errorf("memory_mb", "%v is not 0 to 4096", f.MemoryMB)
	}
	c := &Capture{MemoryMB: f.MemoryMB, Every: f.EveryS * 1e3}
	if f.Redact != "" {
		if c.Secret, err = os.ReadFile(f.Redact); err != nil {
			return nil, at.Errorf("redact_key_file", "%v", err)
		}
		if len(c.Secret) < 16 {
			return nil, at.Errorf("redact_key_file", "%s: %d bytes are too few for a key, 16 at least", f.Redact, len(c.Secret))
		}
	}
	c.Ring = capture.WriterConfig{Dir: f.Dir, SegmentMB: f.SegmentMB, MaxTotalMB: f.MostMB, MaxAge: time.Duration(f.MostHours * float64(time.Hour)),
		FlushInterval: clock.Duration(f.EveryMs), BlockKB: f.BlockKB, MaxPendingMB: f.MailboxMB, Sync: capture.Sync(f.Sync)}
	return c, nil
}
