package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// agentCallTimeout bounds a call to the agent. It is longer than the 60 s for which a call may wait for a change.
const agentCallTimeout = 70 * time.Second

// agentRetryDelay is the time between calls while the agent does not answer.
const agentRetryDelay = 200 * time.Millisecond

// fleetCommands holds the values of the flags that the fleet commands share.
type fleetCommands struct {
	socket      string
	json        bool
	reason      string
	revision    int64 // below 0: the current one
	wait        bool
	waitTimeout time.Duration
	options     fleet.Options // a value below the allowed range selects the agent's default
	dryRun      bool
}

// client returns a client of the agent's socket.
func (c *fleetCommands) client() *controlsocket.Client {
	return controlsocket.NewClient(c.socket, agentCallTimeout)
}

// view requests the state of the fleet from the agent.
func (c *fleetCommands) view(ctx context.Context) (agent.View, error) {
	var view agent.View
	err := c.client().Call(ctx, http.MethodGet, agent.FleetPath, nil, &view)
	return view, err
}

// fleetCommand returns the commands that declare, show and change the instances of a host.
func fleetCommand() *cobra.Command {
	commands := &fleetCommands{}
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Declare, show, change and roll back the instances of a host",
		Long: `fleet communicates with the agent of this host over its socket.

Every change is based on a revision of the fleet: on the one just read, unless --revision is given. Of two conflicting
changes exactly one is accepted; the other fails with an error that says what came first, and exits with status 3.

Exit status: 0 done, 1 failed (also a change that was rolled back), 2 the command line or a file can't be read, 3 an
instance is not as declared (status), something differs (diff), or another operator's change came first.`,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if commands.socket == "" {
				return cli.UsageError(errors.New("no agent socket: give --socket or set PEARKNOT_AGENT"))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&commands.socket, "socket", os.Getenv("PEARKNOT_AGENT"),
		"the agent's socket (default $PEARKNOT_AGENT)")
	flags.BoolVar(&commands.json, "json", false, "print JSON")
	root.AddCommand(
		commands.applyCommand(),
		commands.diffCommand(),
		commands.statusCommand(),
		commands.lifecycleCommand("start"),
		commands.lifecycleCommand("stop"),
		commands.lifecycleCommand("restart"),
		commands.reconfigureCommand(),
		commands.rollbackCommand(),
		commands.historyCommand(),
		commands.logsCommand(),
		commands.watchCommand(),
	)
	return root
}

// show prints a value as JSON if --json is given, or as a table.
func (c *fleetCommands) show(command *cobra.Command, value any, table func(io.Writer)) error {
	if c.json {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", " ")
		return encoder.Encode(value)
	}
	out := tabwriter.NewWriter(command.OutOrStdout(), 2, 8, 2, ' ', 0)
	table(out)
	return out.Flush()
}

// statusCommand returns the command that prints the fleet once, and fails if an instance is not as declared.
func (c *fleetCommands) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the declared and the observed state of the instances",
		Args:  cobra.NoArgs,
		RunE:  c.status,
	}
}

func (c *fleetCommands) status(command *cobra.Command, _ []string) error {
	view, err := c.view(command.Context())
	if err != nil {
		return err
	}
	if err := c.show(command, view, func(out io.Writer) { printFleet(out, view) }); err != nil {
		return err
	}
	for _, instance := range view.Instances {
		if instance.Verdict != fleet.VerdictAsDeclared {
			return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("not all instances are as declared"), Silent: true}
		}
	}
	return nil
}

// historyCommand returns the command that prints the latest changes.
func (c *fleetCommands) historyCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "history",
		Short: "Print the latest changes with time, author and reason",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.history(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "maximum number of changes")
	return command
}

func (c *fleetCommands) history(command *cobra.Command, count int) error {
	var history agent.History
	path := agent.HistoryPath + "?n=" + strconv.Itoa(count)
	if err := c.client().Call(command.Context(), http.MethodGet, path, nil, &history); err != nil {
		return err
	}
	return c.show(command, history, func(out io.Writer) {
		fmt.Fprintf(out, "revision %d, generations kept %v\n", history.Revision, history.Generations)
		for _, change := range history.Changes {
			fmt.Fprintf(out, "%s\t", time.UnixMilli(int64(change.StartedAt)).UTC().Format(time.RFC3339))
			printChange(out, change)
		}
	})
}

// logsCommand returns the command that prints the end of an instance's log.
func (c *fleetCommands) logsCommand() *cobra.Command {
	var lines int
	command := &cobra.Command{
		Use:   "logs NAME",
		Short: "Print an instance's last log lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.logs(command, args[0], lines)
		},
	}
	command.Flags().IntVarP(&lines, "lines", "n", 50, "maximum number of lines")
	return command
}

func (c *fleetCommands) logs(command *cobra.Command, name string, lines int) error {
	var logs agent.Logs
	path := agent.LogsPath + "?lines=" + strconv.Itoa(lines) + "&name=" + url.QueryEscape(name)
	if err := c.client().Call(command.Context(), http.MethodGet, path, nil, &logs); err != nil {
		return err
	}
	return c.show(command, logs, func(out io.Writer) {
		for _, line := range append(logs.Lines, logs.Output...) {
			fmt.Fprintln(out, line)
		}
	})
}

// watchCommand returns the command that prints the fleet whenever it changes.
func (c *fleetCommands) watchCommand() *cobra.Command {
	var duration time.Duration
	command := &cobra.Command{
		Use:   "watch",
		Short: "Print the status, and again whenever it changes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.watch(command, duration)
		},
	}
	command.Flags().DurationVar(&duration, "for", 0, "exit after this time; 0 runs until interrupted")
	return command
}

func (c *fleetCommands) watch(command *cobra.Command, duration time.Duration) error {
	ctx := command.Context()
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	since := "" // none yet: the first call answers at once
	for ctx.Err() == nil {
		var view agent.View
		err := c.client().Call(ctx, http.MethodGet, agent.FleetPath+"?wait_ms=5000"+since, nil, &view)
		if ctx.Err() != nil && err != nil {
			return nil
		}
		if err != nil {
			return err
		}
		next := fmt.Sprintf("&since=%d", view.Seq)
		if next == since {
			continue
		}
		since = next
		if err := c.show(command, view, func(out io.Writer) { printFleet(out, view); fmt.Fprintln(out) }); err != nil {
			return err
		}
	}
	return nil
}
