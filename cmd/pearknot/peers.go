package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/requestlog"
)

// peersCommand prints the request logs that processes replicate for each other, as one of them sees them.
func peersCommand() *cobra.Command {
	var asJSON, watch bool
	c := &cobra.Command{Use: "peers SOCKET", Args: cobra.ExactArgs(1),
		Short: "Links to other processes, who leads and replicates which log, and what was taken over; 3 while a log lacks replicas",
		RunE: func(c *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], dialTimeout)
			for {
				var state requestlog.Status
				if err := client.Call(c.Context(), "GET", controlsocket.PeersPath, nil, &state); err != nil {
					return err
				}
				if watch && !asJSON {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J") // the top of a cleared screen
				}
				if err := printPeers(c.OutOrStdout(), state, asJSON); err != nil {
					return err
				}
				if !watch {
					for _, log := range state.Logs {
						if !log.Complete {
							return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("the log of %s lacks replicas", log.Member), Silent: true}
						}
					}
					return nil
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(time.Second):
				}
			}
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&watch, "watch", false, "print it again every second")
	return c
}

// printPeers prints a process's view of its peers and logs.
func printPeers(out io.Writer, state requestlog.Status, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(state)
	}
	fmt.Fprintf(out, "%s, incarnation %d, %d requests taken over\n", state.Self, state.Incarnation, state.Takeovers)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "peer\tconnected\tsilent ms\tincarnation")
	for _, p := range state.Peers {
		fmt.Fprintf(w, "%s\t%v\t%.0f\t%d\n", p.Name, p.Connected, p.SilentMs, p.Incarnation)
	}
	fmt.Fprintln(w, "log of\tleader\tcomplete\tterm\treplicas\tlag\tin flight\trecords\tbytes")
	for _, log := range state.Logs {
		leader := log.Leader
		if leader == "" {
			leader = "none known"
		}
		replicas := "not here"
		if log.HasReplica {
			replicas = strings.Join(log.Voters, " ")
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%d\t%d\t%d\n", log.Member, leader, log.Complete, log.Term, replicas, log.Lag, log.InFlight, log.Records, log.Bytes)
	}
	return w.Flush()
}
