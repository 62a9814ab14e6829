// Command simhost runs balancers for the operators' simulator, and speaks its protocol on standard input and output.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/simprotocol"
)

func main() {
	debug.SetGCPercent(800) // a simulated node gets little CPU time per second, and its live heap is small
	host := simprotocol.NewHost()
	stop, err := setUpCapture(host, os.Getenv(captureVariable))
	if err == nil {
		err = host.Serve(os.Stdin, os.Stdout)
		stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// captureVariable is the environment variable that makes simhost capture one instance, as INSTANCE:DIR.
const captureVariable = "PEARKNOT_SIM_CAPTURE"

func setUpCapture(host *simprotocol.Host, setting string) (stop func(), err error) {
	if setting == "" {
		return func() {}, nil
	}
	number, dir, ok := strings.Cut(setting, ":")
	captured, err := strconv.ParseUint(number, 10, 32)
	if err != nil || !ok || dir == "" {
		return nil, fmt.Errorf("%s=%s is not INSTANCE:DIR", captureVariable, setting)
	}
	// The simulator runs faster than the wall clock, so MaxPendingMB allows as much pending data as the total.
	writer, err := capture.NewWriter(capture.WriterConfig{Dir: dir, NodeName: number, SegmentMB: 16, MaxTotalMB: 1 << 10, FlushInterval: time.Second, BlockKB: 64, MaxPendingMB: 1 << 10,
		Sync: capture.SyncSegment, Log: slog.New(slog.NewTextHandler(os.Stderr, nil)), Now: func() float64 { return float64(time.Now().UnixMilli()) }})
	if err != nil {
		return nil, err
	}
	epoch := uint64(0)
	host.Wrap = func(instance uint32, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider {
		if uint64(instance) != captured {
			return decider
		}
		recorder, err := capture.NewRecorder(decider, now, capture.StartInfo{Name: number, Epoch: epoch, Config: config}, capture.Options{SnapshotIntervalMs: 10e3, Sink: writer.Put})
		if err != nil {
			panic(err) // the configuration holds only plain values, whose encoding does not fail
		}
		epoch++
		return recorder
	}
	return writer.Close, nil
}
