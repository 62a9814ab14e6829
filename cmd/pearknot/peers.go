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

// peersCommand shows the logs that processes keep for each other, as one of them sees them.
func peersCommand() *cobra.Command {
	var asJSON, watch bool
	c := &cobra.Command{Use: "peers SOCKET", Args: cobra.ExactArgs(1),
		Short: "Links to other processes, who leads and holds which log, and what was taken over; 3 while a log is not whole",
		RunE: func(c *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], dialWithin)
			for {
				var told requestlog.StateDigest
				if err := client.Call(c.Context(), "GET", controlsocket.PeersPath, nil, &told); err != nil {
					return err
				}
				if watch && !asJSON {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J") // the top of a cleared screen
				}
				if err := tellPeers(c.OutOrStdout(), told, asJSON); err != nil {
					return err
				}
				if !watch {
					for _, l := range told.Logs {
						if !l.Complete {
							return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("the log of %s is not whole", l.Member), Silent: true}
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
	c.Flags().BoolVar(&watch, "watch", false, "again every second")
	return c
}

func tellPeers(out io.Writer, told requestlog.StateDigest, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(told)
	}
	fmt.Fprintf(out, "%s, life %d, %d ops taken over\n", told.Self, told.Incarnation, told.Takeovers)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "peer\tlinked\tsilent ms\tlife")
	for _, p := range told.Peers {
		fmt.Fprintf(w, "%s\t%v\t%.0f\t%d\n", p.Name, p.Connected, p.SilentMs, p.Incarnation)
	}
	fmt.Fprintln(w, "log of\tleader\twhole\tterm\theld by\tlag\tin hand\trecords\tbytes")
	for _, l := range told.Logs {
		leader := l.Leader
		if leader == "" {
			leader = "none known"
		}
		held := "not here"
		if l.HasReplica {
			held = strings.Join(l.Voters, " ")
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%d\t%d\t%d\n", l.Member, leader, l.Complete, l.Term, held, l.Lag, l.InFlight, l.Records, l.Bytes)
	}
	return w.Flush()
}
