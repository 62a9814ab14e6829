package serve

import (
	"fmt"
	"log/slog"
	"time"

	"pearknot/balance"
	"pearknot/internal/capture"
	"pearknot/internal/clock"
	"pearknot/internal/strict"
)

// captured puts a recorder round each module that the node makes. What end gives back is called when the node has ended.
func captured(p *Place, o *Options, now *clock.Clock, log *slog.Logger) (end func(), err error) {
	ring := *o.Capture
	ring.Node, ring.Log, ring.Now = p.name, log, now.Now
	w, err := capture.NewWriter(ring)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	inner, epoch := o.Decide, uint64(now.Now()) // a process begins where the one before can't have been
	o.Decide = func(t *balance.Terms, at float64) balance.Decider {
		d := inner(t, at)
		r, err := capture.NewRecorder(d, at, capture.Start{Name: p.name, Epoch: epoch, Build: o.Version, Terms: t}, capture.Options{Every: 10e3, Sink: w.Put})
		if err != nil {
			log.Error("no capture", "error", err)
			return d
		}
		epoch++
		return r
	}
	log.Info("capturing", "dir", ring.Dir)
	return func() {
		w.Close()
		log.Info("capture ended", "records_dropped", w.Dropped())
	}, nil
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
}

// ReadCapture reads the operator's file of a capture.
func ReadCapture(name string) (*capture.Ring, error) {
	f := captureFile{SegmentMB: 16, MostMB: 256, MostHours: 48, EveryMs: 1000, BlockKB: 64, MailboxMB: 4, Sync: string(capture.SyncSegment)}
	at, err := strict.Read(name, &f)
	if err != nil {
		return nil, err
	}
	for _, x := range []struct {
		key         string
		value, most float64
	}{{"segment_mb", f.SegmentMB, 1 << 20}, {"most_mb", f.MostMB, 1 << 30}, {"most_hours", f.MostHours, 1e6}, {"every_ms", f.EveryMs, 1e6},
		{"block_kb", float64(f.BlockKB), 4096}, {"mailbox_mb", f.MailboxMB, 1024}} {
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
	return &capture.Ring{Dir: f.Dir, SegmentMB: f.SegmentMB, MostMB: f.MostMB, MostAge: time.Duration(f.MostHours * float64(time.Hour)),
		Every: clock.Span(f.EveryMs), BlockKB: f.BlockKB, MailboxMB: f.MailboxMB, Sync: capture.Sync(f.Sync)}, nil
}
