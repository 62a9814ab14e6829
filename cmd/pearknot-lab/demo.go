package main

import (
	_ "embed"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
)

//go:embed demo.toml
var demoFile []byte

const (
	// demoSeconds is how long the schedule in demo.toml is; --seconds stretches it.
	demoSeconds = 20.0
	// minDemoSeconds and maxDemoSeconds bound --seconds.
	minDemoSeconds = 5
	maxDemoSeconds = 3600
)

// demo holds the flags of demo.
type demo struct {
	playOptions
	seconds float64
}

// demoCommand plays the experiment of demo.toml on loopback.
func demoCommand() *cobra.Command {
	demo := &demo{}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Three nodes, ten backends, three zones, and things that go wrong; ends by itself",
		Long: `demo starts three real nodes on loopback between stand-in backends, list and clients, kills things on the way, and ends
with a verdict on the rules. It prints a line a second, with a character for each backend: a digit for the tenths of it that are
busy, - for a dead one, d for one that drains, ? for one whose machine is gone.`,
		Args: cobra.NoArgs,
		RunE: demo.run,
	}
	command.Flags().Float64Var(&demo.seconds, "seconds", demoSeconds, "how long")
	command.Flags().StringVar(&demo.policy, "policy", "", "who decides")
	demo.addNodeFlagsTo(command)
	return command
}

func (d *demo) run(command *cobra.Command, _ []string) error {
	if !(d.seconds >= minDemoSeconds && d.seconds <= maxDemoSeconds) { // NaN is refused too
		return cli.UsageError(fmt.Errorf("--seconds %v is not %d to %d", d.seconds, minDemoSeconds, maxDemoSeconds))
	}
	e, err := experiment.Decode("demo.toml", demoFile)
	if err != nil {
		return err
	}
	if err := d.applyTo(e); err != nil {
		return err
	}
	d.stretch(e)
	if d.tls && len(d.renewAt) == 0 {
		d.renewAt = []float64{d.seconds / 4, d.seconds / 2, d.seconds * 3 / 4}
	}
	out := command.OutOrStdout()
	result, err := d.playOnSockets(command.Context(), e, loopback.Options{
		OnLoadStarted: func() { printDemoHeader(out, e) },
		OnProgress:    func(progress loopback.Progress) { printDemoLine(out, progress) },
	}, out)
	if err != nil {
		return err
	}
	return printResult(out, result)
}

// stretch brings the experiment, and the times of its faults, to the length that --seconds gives.
func (d *demo) stretch(e *experiment.Experiment) {
	factor := d.seconds / demoSeconds
	e.Seconds = d.seconds
	for i := range e.Faults {
		e.Faults[i].StartSeconds *= factor
		e.Faults[i].DurationSeconds *= factor
	}
}

func printDemoHeader(out io.Writer, e *experiment.Experiment) {
	fmt.Fprintf(out, "%d nodes, %d backends in %s, %.0f requests a second\n",
		e.Fleet.Nodes, e.Fleet.Backends, strings.Join(e.Fleet.Zones, ", "), e.RequestsPerSecond())
	fmt.Fprintf(out, "%4s %8s %7s %7s %8s %6s %8s %6s  %-6s %-12s %s\n",
		"s", "requests", "served", "in time", "rejected", "failed", "attempts", "broken", "nodes", "backends", "faults")
}

func printDemoLine(out io.Writer, progress loopback.Progress) {
	fmt.Fprintf(out, "%4d %8d %7d %7d %8d %6d %8d %6d  %-6s %-12s %s\n",
		progress.Second, progress.Requests, progress.Served, progress.InTime, progress.Rejected, progress.Failed,
		progress.Attempts, progress.Violations, progress.Nodes, progress.Backends, strings.Join(progress.Faults, ", "))
}
