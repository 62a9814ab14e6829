package main

import (
	_ "embed"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
)

//go:embed demo.toml
var demoFile []byte

// demoSeconds is how long the schedule in demo.toml is; --seconds stretches it.
const demoSeconds = 20.0

func demoCommand() *cobra.Command {
	p, seconds := &plan{}, demoSeconds
	c := &cobra.Command{Use: "demo", Short: "Three nodes, ten backends, three zones, and things that go wrong; ends by itself", Args: cobra.NoArgs,
		Long: `demo starts three real nodes on loopback between stand-in backends, list and clients, kills things on the way, and ends
with a verdict on the rules. A line a second: what the letters of the backends mean is the tenth of it that is busy,
- for a dead one, d for one that drains, ? for one whose machine is gone.`,
		RunE: func(c *cobra.Command, _ []string) error {
			if seconds < 5 || seconds > 3600 {
				return cli.UsageError(fmt.Errorf("--seconds %v is not 5 to 3600", seconds))
			}
			e, err := experiment.Decode("demo.toml", demoFile)
			if err != nil {
				return err
			}
			if err := p.apply(e); err != nil {
				return err
			}
			stretch := seconds / demoSeconds
			e.Seconds = seconds
			for i := range e.Faults {
				e.Faults[i].StartSeconds *= stretch
				e.Faults[i].DurationSeconds *= stretch
			}
			out := c.OutOrStdout()
			if p.tls && len(p.renew) == 0 {
				p.renew = []float64{seconds / 4, seconds / 2, seconds * 3 / 4}
			}
			row := func(l loopback.Progress) {
				fmt.Fprintf(out, "%4d %7d %7d %7d %6d %6d %7d %7d  %-6s %-12s %s\n", l.Second, l.Requests, l.Served, l.InTime, l.Rejected, l.Failed, l.Attempts,
					l.Violations, l.Nodes, l.Backends, strings.Join(l.Faults, ", "))
			}
			r, err := p.sockets(c.Context(), e, loopback.Options{OnProgress: row, OnLoadStarted: func() {
				fmt.Fprintf(out, "%d nodes, %d backends in %s, %.0f ops a second\n", e.Fleet.Nodes, e.Fleet.Backends,
					strings.Join(e.Fleet.Zones, ", "), e.RequestsPerSecond())
				fmt.Fprintf(out, "%4s %7s %7s %7s %6s %6s %7s %7s  %-6s %-12s %s\n", "s", "ops", "acked", "in time", "nacked", "dead", "pushes", "broken", "nodes",
					"backends", "troubles")
			}}, out)
			if err != nil {
				return err
			}
			return verdict(out, r)
		}}
	c.Flags().Float64Var(&seconds, "seconds", demoSeconds, "how long")
	p.nodeFlags(c)
	c.Flags().StringVar(&p.policy, "policy", "", "who decides")
	return c
}
