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

// watchInterval is the time between two queries of a command with --watch.
const watchInterval = time.Second

// peersOptions holds the flags of the peers command.
type peersOptions struct {
	json  bool
	watch bool
}

// peersCommand returns the command that prints the request logs that processes replicate for each other, as one of them
// sees them.
func peersCommand() *cobra.Command {
	var options peersOptions
	command := &cobra.Command{
		Use: "peers SOCKET",
		Short: "Show links to other processes, the leader and replicas of each request log, and the requests taken over; " +
			"exit status 3 while a log lacks replicas",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return showPeers(command, args[0], options)
		},
	}
	command.Flags().BoolVar(&options.json, "json", false, "print JSON")
	command.Flags().BoolVar(&options.watch, "watch", false, "repeat every second")
	return command
}

func showPeers(command *cobra.Command, socket string, options peersOptions) error {
	client := controlsocket.NewClient(socket, dialTimeout)
	for {
		var status requestlog.Status
		if err := client.Call(command.Context(), "GET", controlsocket.PeersPath, nil, &status); err != nil {
			return err
		}
		if options.watch && !options.json {
			fmt.Fprint(command.OutOrStdout(), clearScreen)
		}
		if err := printPeers(command.OutOrStdout(), status, options.json); err != nil {
			return err
		}
		if !options.watch {
			return checkReplicas(status)
		}
		select {
		case <-command.Context().Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// checkReplicas returns an error that names the first log that lacks replicas.
func checkReplicas(status requestlog.Status) error {
	for _, log := range status.Logs {
		if !log.Complete {
			err := fmt.Errorf("the log of %s lacks replicas", log.Member)
			return &cli.Error{Status: cli.StatusCheckFailed, Err: err, Silent: true}
		}
	}
	return nil
}

// printPeers prints a process's view of its peers and logs.
func printPeers(out io.Writer, status requestlog.Status, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(status)
	}
	fmt.Fprintf(out, "%s, incarnation %d, %d requests taken over\n",
		status.Self, status.Incarnation, status.Takeovers)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "peer\tconnected\tsilent ms\tincarnation")
	for _, peer := range status.Peers {
		fmt.Fprintf(table, "%s\t%v\t%.0f\t%d\n", peer.Name, peer.Connected, peer.SilentMs, peer.Incarnation)
	}
	fmt.Fprintln(table, "log of\tleader\tcomplete\tterm\treplicas\tlag\tin flight\trecords\tbytes")
	for _, log := range status.Logs {
		leader := log.Leader
		if leader == "" {
			leader = "none known"
		}
		replicas := "not here"
		if log.HasReplica {
			replicas = strings.Join(log.Voters, " ")
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%d\t%s\t%d\t%d\t%d\t%d\n", log.Member, leader, log.Complete, log.Term,
			replicas, log.Lag, log.InFlight, log.Records, log.Bytes)
	}
	return table.Flush()
}
