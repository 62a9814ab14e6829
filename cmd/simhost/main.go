// Command simhost runs balancers on the protocol of the operators' simulator, over its standard input and output.
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
	debug.SetGCPercent(800) // a simulated node has little processor time a second, and its live heap is small
	h := simprotocol.NewHost()
	end, err := captured(h, os.Getenv(captureVariable))
	if err == nil {
		err = h.Serve(os.Stdin, os.Stdout)
		end()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// captureVariable names the environment variable that captures one instance, as INSTANCE:DIR.
const captureVariable = "PEARKNOT_SIM_CAPTURE"

func captured(h *simprotocol.Host, text string) (end func(), err error) {
	if text == "" {
		return func() {}, nil
	}
	number, dir, ok := strings.Cut(text, ":")
	wanted, err := strconv.ParseUint(number, 10, 32)
	if err != nil || !ok || dir == "" {
		return nil, fmt.Errorf("%s=%s is not INSTANCE:DIR", captureVariable, text)
	}
	// The simulator runs faster than the wall clock, so as much as it brings may be pending.
	w, err := capture.NewWriter(capture.WriterConfig{Dir: dir, NodeName: number, SegmentMB: 16, MaxTotalMB: 1 << 10, FlushInterval: time.Second, BlockKB: 64, MaxPendingMB: 1 << 10,
		Sync: capture.SyncSegment, Log: slog.New(slog.NewTextHandler(os.Stderr, nil)), Now: func() float64 { return float64(time.Now().UnixMilli()) }})
	if err != nil {
		return nil, err
	}
	epoch := uint64(0)
	h.Wrap = func(instance uint32, d balancer.Decider, t *balancer.Config, now float64) balancer.Decider {
		if uint64(instance) != wanted {
			return d
		}
		r, err := capture.NewRecorder(d, now, capture.StartInfo{Name: number, Epoch: epoch, Config: t}, capture.Options{SnapshotIntervalMs: 10e3, Sink: w.Put})
		if err != nil {
			panic(err) // plain values
		}
		epoch++
		return r
	}
	return w.Close, nil
}
