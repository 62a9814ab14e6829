package capacity

import (
	"context"
	"os"
	"runtime"
	"time"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/clock"
)

const captureBackends = 30

// captureMeasurements drive one balancer whose inputs and decisions are captured on disk, and one without capture.
func captureMeasurements() []measurement {
	return []measurement{{
		name:       "capture",
		sizeName:   "requests",
		sizes:      []float64{500, 2000, 8000, 32000},
		quickSizes: []float64{250, 500, 1000, 2000},
		metrics: []metric{
			{"capture.bytes", "capture, 30 backends: bytes on disk, packed", "B", false},
			{"capture.cpu", "the same, processor time beyond that without", "ms", false},
		},
		newFixture: newCaptureFixture,
	}}
}

func newCaptureFixture(_ context.Context, _ *Bench, size float64) (*fixture, error) {
	run := func(context.Context) ([]float64, error) {
		runtime.GC()
		plainCPU := serveCPU(balancer.New(newConfig(0), 1), int(size))
		dir, err := os.MkdirTemp("", "pearknot-capacity")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		capturedCPU, err := captureRequests(dir, int(size))
		if err != nil {
			return nil, err
		}
		bytes, err := directorySize(dir)
		if err != nil {
			return nil, err
		}
		return []float64{bytes, max(capturedCPU-plainCPU, 0)}, nil
	}
	return &fixture{run: run}, nil
}

// serveCPU returns the processor time, in ms, that a module takes to serve requests.
func serveCPU(module balancer.Decider, requests int) float64 {
	driver := newModuleDriver(module, 0, captureBackends)
	before := processCPU()
	driver.serve(requests)
	return processCPU() - before
}

// captureRequests serves requests with a capture in dir, and returns the processor time in ms until all is written.
func captureRequests(dir string, requests int) (cpuMs float64, err error) {
	now := clock.New()
	writer, err := capture.NewWriter(capture.WriterConfig{
		Dir:           dir,
		NodeName:      "n",
		SegmentMB:     64,
		MaxTotalMB:    512,
		MaxAge:        time.Hour,
		FlushInterval: time.Second,
		BlockKB:       256,
		MaxPendingMB:  256,
		Sync:          capture.SyncNever,
		Log:           discardLog,
		Now:           now.Now,
	})
	if err != nil {
		return 0, err
	}
	config := newConfig(0)
	start := capture.StartInfo{Name: "n", Config: config}
	options := capture.Options{SnapshotIntervalMs: 10e3, Sink: writer.Put}
	recorder, err := capture.NewRecorder(balancer.New(config, 1), 1, start, options)
	if err != nil {
		writer.Close()
		return 0, err
	}
	runtime.GC()
	before := processCPU()
	serveCPU(recorder, requests)
	writer.Close()
	return processCPU() - before, nil
}

func directorySize(dir string) (bytes float64, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	for _, file := range files {
		if info, err := file.Info(); err == nil { // otherwise it has been removed meanwhile
			bytes += float64(info.Size())
		}
	}
	return bytes, nil
}
