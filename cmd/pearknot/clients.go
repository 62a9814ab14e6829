package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/server"
)

// clientsCommand prints who holds connections of a node.
func clientsCommand() *cobra.Command {
	every, most := 0.0, 20
	c := &cobra.Command{Use: "clients SOCKET", Args: cobra.ExactArgs(1), Short: "Who holds connections of a node, and who was refused and why; 3 while the node chooses among them",
		RunE: func(c *cobra.Command, args []string) error {
			if every < 0 || most < 1 {
				return cli.UsageError(fmt.Errorf("--every %v or --most %d is out of range", every, most))
			}
			client := controlsocket.NewClient(args[0], dialTimeout)
			for {
				var stats server.ClientStats
				if err := client.Call(c.Context(), "GET", controlsocket.ClientsPath, nil, &stats); err != nil {
					return err
				}
				if every > 0 {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J") // the top of a cleared screen
				}
				if err := printClients(c.OutOrStdout(), stats, most); err != nil {
					return err
				}
				if every == 0 {
					if stats.UnderPressure {
						return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d of %d connections: the node chooses among its clients", stats.Open, stats.Limit), Silent: true}
					}
					return nil
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(time.Duration(every * float64(time.Second))):
				}
			}
		}}
	c.Flags().Float64Var(&every, "every", 0, "seconds between queries; 0 asks once")
	c.Flags().IntVar(&most, "most", most, "addresses shown")
	return c
}

// printClients prints the table of a node's clients.
func printClients(out io.Writer, stats server.ClientStats, most int) error {
	state := "calm"
	if stats.UnderPressure {
		state = "pressed"
	}
	fmt.Fprintf(out, "%d of %d connections, %s\n", stats.Open, stats.Limit, state)
	for _, m := range []struct {
		what string
		of   map[string]uint64
	}{{"refused", stats.Refused}, {"let go", stats.Evicted}} {
		for _, why := range slices.Sorted(maps.Keys(m.of)) {
			fmt.Fprintf(out, "%s: %d, %s\n", m.what, m.of[why], why)
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "address\tknown\tconnections\twithout a request\tgood\todd\t")
	for _, r := range stats.Addresses[:min(most, len(stats.Addresses))] {
		fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%.1f\t%.1f\t\n", r.Address, r.Known, r.Connections, r.Unproven, r.Answered, r.Misbehavior)
	}
	return w.Flush()
}
