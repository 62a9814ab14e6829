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

// fleetTool is what the fleet commands have in common: the values of their flags.
type fleetTool struct {
	socket      string
	json        bool
	reason      string
	revision    int64 // below 0: the current one
	wait        bool
	waitTimeout time.Duration
	options     fleet.Options // values below those that are allowed stand for the agent's own
	dryRun      bool
}

// client returns a client of the agent's socket.
func (t *fleetTool) client() *controlsocket.Client {
	return controlsocket.NewClient(t.socket, agentCallTimeout)
}

// view asks the agent for the fleet.
func (t *fleetTool) view(ctx context.Context) (agent.View, error) {
	var view agent.View
	err := t.client().Call(ctx, http.MethodGet, agent.FleetPath, nil, &view)
	return view, err
}

// fleetCommand declares, shows and changes the instances of a host.
func fleetCommand() *cobra.Command {
	tool := &fleetTool{}
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Declare, show, change and roll back the instances of a host",
		Long: `fleet speaks with the agent of this host over its socket.

Every change is made from a revision of the fleet, the one just read where --revision is not given. Of two conflicting
ones exactly one is taken; the other gets an error that says what came first, and exits with 3.

Exit status: 0 done, 1 failed (also a change that was rolled back), 2 the command line or a file can't be read, 3 not all
is as wanted (status), something differs (diff), or another's change came first.`,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if tool.socket == "" {
				return cli.UsageError(errors.New("no agent: give --socket or set PEARKNOT_AGENT"))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&tool.socket, "socket", os.Getenv("PEARKNOT_AGENT"),
		"the agent's socket (default $PEARKNOT_AGENT)")
	flags.BoolVar(&tool.json, "json", false, "JSON for programs")
	root.AddCommand(
		tool.applyCommand(),
		tool.diffCommand(),
		tool.statusCommand(),
		tool.lifecycleCommand("start"),
		tool.lifecycleCommand("stop"),
		tool.lifecycleCommand("restart"),
		tool.reconfigureCommand(),
		tool.rollbackCommand(),
		tool.historyCommand(),
		tool.logsCommand(),
		tool.watchCommand(),
	)
	return root
}

// show prints a value for programs, or its table for people.
func (t *fleetTool) show(command *cobra.Command, value any, table func(io.Writer)) error {
	if t.json {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", " ")
		return encoder.Encode(value)
	}
	out := tabwriter.NewWriter(command.OutOrStdout(), 2, 8, 2, ' ', 0)
	table(out)
	return out.Flush()
}

// statusCommand prints the fleet once, and fails if an instance is not as declared.
func (t *fleetTool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "What is declared, what was observed, and when",
		Args:  cobra.NoArgs,
		RunE:  t.status,
	}
}

func (t *fleetTool) status(command *cobra.Command, _ []string) error {
	view, err := t.view(command.Context())
	if err != nil {
		return err
	}
	if err := t.show(command, view, func(out io.Writer) { printFleet(out, view) }); err != nil {
		return err
	}
	for _, instance := range view.Instances {
		if instance.Verdict != fleet.VerdictAsDeclared {
			return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("not all as wanted"), Silent: true}
		}
	}
	return nil
}

// historyCommand prints the latest changes.
func (t *fleetTool) historyCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "history",
		Short: "Who changed what, when and why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.history(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "changes at most")
	return command
}

func (t *fleetTool) history(command *cobra.Command, count int) error {
	var history agent.History
	path := agent.HistoryPath + "?n=" + strconv.Itoa(count)
	if err := t.client().Call(command.Context(), http.MethodGet, path, nil, &history); err != nil {
		return err
	}
	return t.show(command, history, func(out io.Writer) {
		fmt.Fprintf(out, "revision %d, generations kept %v\n", history.Revision, history.Generations)
		for _, change := range history.Changes {
			fmt.Fprintf(out, "%s\t", time.UnixMilli(int64(change.StartedAt)).UTC().Format(time.RFC3339))
			printChange(out, change)
		}
	})
}

// logsCommand prints the end of an instance's log.
func (t *fleetTool) logsCommand() *cobra.Command {
	var lines int
	command := &cobra.Command{
		Use:   "logs NAME",
		Short: "An instance's last log lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.logs(command, args[0], lines)
		},
	}
	command.Flags().IntVarP(&lines, "lines", "n", 50, "lines at most")
	return command
}

func (t *fleetTool) logs(command *cobra.Command, name string, lines int) error {
	var logs agent.Logs
	path := agent.LogsPath + "?lines=" + strconv.Itoa(lines) + "&name=" + url.QueryEscape(name)
	if err := t.client().Call(command.Context(), http.MethodGet, path, nil, &logs); err != nil {
		return err
	}
	return t.show(command, logs, func(out io.Writer) {
		for _, line := range append(logs.Lines, logs.Output...) {
			fmt.Fprintln(out, line)
		}
	})
}

// watchCommand prints the fleet whenever it changes.
func (t *fleetTool) watchCommand() *cobra.Command {
	var duration time.Duration
	command := &cobra.Command{
		Use:   "watch",
		Short: "The status, again whenever it changes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.watch(command, duration)
		},
	}
	command.Flags().DurationVar(&duration, "for", 0, "end after so long")
	return command
}

func (t *fleetTool) watch(command *cobra.Command, duration time.Duration) error {
	ctx := command.Context()
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	since := "" // none yet: the first call answers at once
	for ctx.Err() == nil {
		var view agent.View
		err := t.client().Call(ctx, http.MethodGet, agent.FleetPath+"?wait_ms=5000"+since, nil, &view)
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
		if err := t.show(command, view, func(out io.Writer) { printFleet(out, view); fmt.Fprintln(out) }); err != nil {
			return err
		}
	}
	return nil
}
