package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/cli"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/program"
	"pearknot/internal/lab/report"
	"pearknot/internal/lab/runner"
	"pearknot/internal/lab/virtual"
)

// The policies of an experiment that are not baselines with a node of their own.
const (
	balancerPolicy  = "cda"        // the balancer itself
	allSeeingPolicy = "all-seeing" // knows the state of all backends, which only virtual time can tell it
)

// play plays an experiment and writes the files that the flags ask for.
func (o *playOptions) play(ctx context.Context, e *experiment.Experiment, out io.Writer) (metrics.Result, error) {
	result, err := o.playWithEvents(ctx, e, out)
	if err != nil || o.outDir == "" {
		return result, err
	}
	if err := report.Write(o.outDir, result); err != nil {
		return result, err
	}
	return result, report.WritePage(o.outDir, result)
}

// playWithEvents plays an experiment, and writes its events if the flags ask for them.
func (o *playOptions) playWithEvents(ctx context.Context, e *experiment.Experiment, out io.Writer) (result metrics.Result, err error) {
	if !o.writeEvents {
		return o.playWatched(ctx, e, nil, out)
	}
	if err := os.MkdirAll(o.outDir, 0o755); err != nil {
		return result, err
	}
	events, err := newEventLog(filepath.Join(o.outDir, report.EventsFile))
	if err != nil {
		return result, err
	}
	defer func() {
		if closeErr := events.close(); err == nil {
			err = closeErr
		}
	}()
	return o.playWatched(ctx, e, events.write, out)
}

// playWatched plays an experiment in virtual time or on sockets. watch gets each event; nil is nobody.
func (o *playOptions) playWatched(
	ctx context.Context, e *experiment.Experiment, watch func(invariants.Event), out io.Writer,
) (metrics.Result, error) {
	if !o.virtual {
		return o.playOnSockets(ctx, e, loopback.Options{Watch: watch}, out)
	}
	options := virtual.Options{Watch: watch}
	if o.captureDir != "" {
		writer, err := o.newCaptureWriter()
		if err != nil {
			return metrics.Result{}, err
		}
		defer writer.Close()
		options.Wrap = captureNode0(writer)
	}
	return runner.RunVirtual(ctx, e, options)
}

// newCaptureWriter opens a capture, which holds up to 1 GB.
func (o *playOptions) newCaptureWriter() (*capture.Writer, error) {
	const maxCaptureMB = 1 << 10
	return capture.NewWriter(capture.WriterConfig{
		Dir:           o.captureDir,
		NodeName:      "n0",
		SegmentMB:     16,
		MaxTotalMB:    maxCaptureMB,
		FlushInterval: time.Second,
		BlockKB:       64,
		MaxPendingMB:  maxCaptureMB,
		Sync:          capture.SyncSegment,
		Log:           slog.Default(),
		Now:           func() float64 { return float64(time.Now().UnixMilli()) },
	})
}

// captureNode0 returns a function that puts a recorder around the decider of node 0 and leaves the others as they are.
func captureNode0(writer *capture.Writer) func(int, int, balancer.Decider, *balancer.Config, float64) balancer.Decider {
	const snapshotIntervalMs = 10e3
	return func(node, incarnation int, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider {
		if node != 0 {
			return decider
		}
		start := capture.StartInfo{Name: "n0", Epoch: uint64(incarnation), Build: cli.Version(), Config: config}
		options := capture.Options{SnapshotIntervalMs: snapshotIntervalMs, Sink: writer.Put}
		recorder, err := capture.NewRecorder(decider, now, start, options)
		if err != nil {
			panic(err) // the start record holds plain values, which can always be encoded
		}
		return recorder
	}
}

// playOnSockets plays the seeds one after the other with real processes.
func (o *playOptions) playOnSockets(
	ctx context.Context, e *experiment.Experiment, options loopback.Options, out io.Writer,
) (metrics.Result, error) {
	command, cleanUp, err := o.nodeCommandLine(ctx, e.Policy)
	if err != nil {
		return metrics.Result{}, err
	}
	defer cleanUp()
	options.Command = slices.Concat(command, o.nodeArgs)
	options.Devices = o.devices
	if o.tls {
		options.TLS = &loopback.TLS{
			RenewAtSeconds: o.renewAt,
			ResumeSessions: true,
			OnFinished:     func(stats loopback.TLSStats) { printTLSStats(out, stats) },
		}
	}
	var runs []metrics.Run
	for _, seed := range e.Seeds {
		run, err := loopback.Run(ctx, e, seed, options)
		if err != nil {
			return metrics.Result{}, err
		}
		runs = append(runs, run)
	}
	return metrics.NewResult(e, metrics.HostLoopback, runs), nil
}

func printTLSStats(out io.Writer, stats loopback.TLSStats) {
	fmt.Fprintf(out, "TLS: %d renewals requested, %d refused, %d certificates issued; %d handshakes, %d of them resumed, %d failed\n",
		stats.RenewalsRequested, stats.RenewalsRefused, stats.CertificatesIssued, stats.Handshakes, stats.Resumed, stats.Failed)
}

// nodeCommandLine returns the command that starts a node: the real program, or this program for a baseline. If the real
// program is neither given nor beside this one, it is built. The caller must call cleanUp.
func (o *playOptions) nodeCommandLine(ctx context.Context, policy string) (command []string, cleanUp func(), err error) {
	cleanUp = func() {}
	self, err := os.Executable()
	if err != nil {
		return nil, cleanUp, err
	}
	switch beside := filepath.Join(filepath.Dir(self), "pearknot"); {
	case policy == allSeeingPolicy:
		return nil, cleanUp, cli.UsageError(errors.New("policy all-seeing: only with --virtual"))
	case policy != balancerPolicy:
		return []string{self, "node", "--policy", policy}, cleanUp, nil
	case o.pearknot != "":
		return []string{o.pearknot, "serve"}, cleanUp, nil
	case isFile(beside):
		return []string{beside, "serve"}, cleanUp, nil
	}
	dir, err := os.MkdirTemp("", "pearknot-lab-bin")
	if err != nil {
		return nil, cleanUp, err
	}
	removeDir := func() { _ = os.RemoveAll(dir) }
	binary, err := program.Build(ctx, dir)
	if err != nil {
		removeDir()
		return nil, cleanUp, fmt.Errorf("no pearknot beside this program, and it can't be built here (give --pearknot FILE): %w", err)
	}
	return []string{binary, "serve"}, removeDir, nil
}

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}
