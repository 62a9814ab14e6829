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

// clearScreen is the escape sequence that moves the cursor home and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// clientsOptions holds the flags of the clients command.
type clientsOptions struct {
	intervalSeconds float64 // 0 to query once
	maxAddresses    int
}

// clientsCommand returns the command that prints the connections of a node by client address.
func clientsCommand() *cobra.Command {
	var options clientsOptions
	command := &cobra.Command{
		Use: "clients SOCKET",
		Short: "Show a node's connections by client address, and how many were refused or evicted and why; " +
			"exit status 3 while the node is under pressure",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return showClients(command, args[0], options)
		},
	}
	command.Flags().Float64Var(&options.intervalSeconds, "every", 0, "seconds between queries; 0 queries once")
	command.Flags().IntVar(&options.maxAddresses, "most", 20, "maximum number of addresses shown")
	return command
}

func showClients(command *cobra.Command, socket string, options clientsOptions) error {
	if options.intervalSeconds < 0 || options.maxAddresses < 1 {
		err := fmt.Errorf("--every %v or --most %d is out of range", options.intervalSeconds, options.maxAddresses)
		return cli.UsageError(err)
	}
	isWatching := options.intervalSeconds > 0
	client := controlsocket.NewClient(socket, dialTimeout)
	for {
		var stats server.ClientStats
		if err := client.Call(command.Context(), "GET", controlsocket.ClientsPath, nil, &stats); err != nil {
			return err
		}
		if isWatching {
			fmt.Fprint(command.OutOrStdout(), clearScreen)
		}
		if err := printClients(command.OutOrStdout(), stats, options.maxAddresses); err != nil {
			return err
		}
		if !isWatching && stats.UnderPressure {
			err := fmt.Errorf("%d of %d connections: the node is under pressure", stats.Open, stats.Limit)
			return &cli.Error{Status: cli.StatusCheckFailed, Err: err, Silent: true}
		}
		if !isWatching {
			return nil
		}
		select {
		case <-command.Context().Done():
			return nil
		case <-time.After(time.Duration(options.intervalSeconds * float64(time.Second))):
		}
	}
}

// printClients prints a node's connection counts and the table of its client addresses.
func printClients(out io.Writer, stats server.ClientStats, maxAddresses int) error {
	state := "calm"
	if stats.UnderPressure {
		state = "pressed"
	}
	fmt.Fprintf(out, "%d of %d connections, %s\n", stats.Open, stats.Limit, state)
	printReasons(out, "refused", stats.Refused)
	printReasons(out, "evicted connections", stats.Evicted)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "address\tknown\tconnections\twithout a request\tanswered\tmisbehavior\t")
	for _, address := range stats.Addresses[:min(maxAddresses, len(stats.Addresses))] {
		fmt.Fprintf(table, "%s\t%v\t%d\t%d\t%.1f\t%.1f\t\n", address.Address, address.Known,
			address.Connections, address.Unproven, address.Answered, address.Misbehavior)
	}
	return table.Flush()
}

// printReasons prints, for each reason, how many connections had the outcome (refused or evicted).
func printReasons(out io.Writer, outcome string, counts map[string]uint64) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%s: %d, %s\n", outcome, counts[reason], reason)
	}
}
