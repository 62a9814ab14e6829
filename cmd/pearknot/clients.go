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

// clearScreen moves a terminal's cursor to the top of a cleared screen.
const clearScreen = "\x1b[H\x1b[2J"

// clientsOptions are the flags of clients.
type clientsOptions struct {
	intervalSeconds float64 // 0 to ask once
	maxAddresses    int
}

// clientsCommand prints who holds connections of a node.
func clientsCommand() *cobra.Command {
	var options clientsOptions
	command := &cobra.Command{
		Use: "clients SOCKET",
		Short: "Who holds connections of a node, and who was refused and why; " +
			"3 while the node chooses among them",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return showClients(command, args[0], options)
		},
	}
	command.Flags().Float64Var(&options.intervalSeconds, "every", 0, "seconds between queries; 0 asks once")
	command.Flags().IntVar(&options.maxAddresses, "most", 20, "addresses shown")
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
			err := fmt.Errorf("%d of %d connections: the node chooses among its clients", stats.Open, stats.Limit)
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

// printClients prints the table of a node's clients.
func printClients(out io.Writer, stats server.ClientStats, maxAddresses int) error {
	state := "calm"
	if stats.UnderPressure {
		state = "pressed"
	}
	fmt.Fprintf(out, "%d of %d connections, %s\n", stats.Open, stats.Limit, state)
	printReasons(out, "refused", stats.Refused)
	printReasons(out, "let go", stats.Evicted)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "address\tknown\tconnections\twithout a request\tgood\todd\t")
	for _, address := range stats.Addresses[:min(maxAddresses, len(stats.Addresses))] {
		fmt.Fprintf(table, "%s\t%v\t%d\t%d\t%.1f\t%.1f\t\n", address.Address, address.Known,
			address.Connections, address.Unproven, address.Answered, address.Misbehavior)
	}
	return table.Flush()
}

// printReasons prints how many connections something happened to, by reason.
func printReasons(out io.Writer, what string, counts map[string]uint64) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%s: %d, %s\n", what, counts[reason], reason)
	}
}
