package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// withChangeFlags adds the flags of commands that change the fleet.
func (c *fleetCommands) withChangeFlags(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.StringVar(&c.reason, "reason", "", "reason for the change, recorded in the history")
	flags.Int64Var(&c.revision, "revision", -1, "revision that the change is based on; below 0 the one just read")
	flags.BoolVar(&c.wait, "wait", false, "wait for the end of the change")
	flags.DurationVar(&c.waitTimeout, "within", 10*time.Minute, "longest time to wait")
	flags.BoolVar(&c.dryRun, "dry-run", false, "only print what would change")
	flags.IntVar(&c.options.MaxUnavailable, "at-once", 0, "instances out of service at a time (default: the agent's)")
	flags.IntVar(&c.options.Canary, "canary", -1, "instances that are changed first (default: the agent's)")
	flags.Float64Var(&c.options.HealthMs, "health-ms", -1, "ms that an instance must stay healthy (default: the agent's)")
	flags.BoolVar(&c.options.NoRollback, "no-revert", false, "stop on failure without rolling back")
	_ = command.MarkFlagRequired("reason")
	return command
}

// changeOptions returns the agent's options, overridden by those given as flags.
func (c *fleetCommands) changeOptions(agentOptions fleet.Options) *fleet.Options {
	options := agentOptions
	if c.options.MaxUnavailable > 0 {
		options.MaxUnavailable = c.options.MaxUnavailable
	}
	if c.options.Canary >= 0 {
		options.Canary = c.options.Canary
	}
	if c.options.HealthMs >= 0 {
		options.HealthMs = c.options.HealthMs
	}
	options.NoRollback = options.NoRollback || c.options.NoRollback
	return &options
}

// write sends a change and, with --wait, waits for its end.
func (c *fleetCommands) write(command *cobra.Command, write agent.WriteRequest) error {
	ctx := command.Context()
	view, err := c.view(ctx)
	if err != nil {
		return err
	}
	write.Revision, write.Reason, write.DryRun = view.Revision, c.reason, c.dryRun
	write.Options = c.changeOptions(view.Rolling)
	if c.revision >= 0 {
		write.Revision = uint64(c.revision)
	}
	var written agent.WriteResponse
	err = c.client().Call(ctx, http.MethodPost, agent.WritePath, write, &written)
	var refused *controlsocket.ResponseError
	if errors.As(err, &refused) {
		switch refused.Status {
		case http.StatusConflict:
			return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
		case agent.StatusNothingToChange:
			fmt.Fprintln(command.OutOrStdout(), "nothing to change")
			return nil
		}
	}
	if err != nil {
		return err
	}
	if c.dryRun {
		return c.show(command, written, func(out io.Writer) {
			names := strings.Join(written.Instances, " ")
			fmt.Fprintf(out, "would change %d instances: %s\n", len(written.Instances), names)
		})
	}
	if c.wait {
		if written.Change, err = c.waitForChange(ctx, written.Change.ID); err != nil {
			return err
		}
	}
	change := written.Change
	if err := c.show(command, written, func(out io.Writer) { printChange(out, change) }); err != nil {
		return err
	}
	isDone := change.Status == fleet.Succeeded || write.Command == "rollback" && change.Status == fleet.RolledBack
	if c.wait && !isDone {
		err := fmt.Errorf("change %d: %s: %s", change.ID, change.Status, change.Failure)
		return &cli.Error{Status: cli.StatusFailed, Err: err}
	}
	return nil
}

// waitForChange waits until a change has ended, and returns it.
func (c *fleetCommands) waitForChange(ctx context.Context, id uint64) (fleet.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, c.waitTimeout)
	defer cancel()
	since := uint64(0)
	for {
		path := fmt.Sprintf("%s?since=%d&wait_ms=5000", agent.FleetPath, since)
		var view agent.View
		err := c.client().Call(ctx, http.MethodGet, path, nil, &view)
		switch {
		case ctx.Err() != nil:
			return fleet.Change{}, fmt.Errorf("change %d has not ended after %v", id, c.waitTimeout)
		case err != nil: // the agent may be restarting
			select {
			case <-time.After(agentRetryDelay):
			case <-ctx.Done():
			}
			since = 0 // a restarted agent numbers its views from the start
			continue
		case view.Change != nil && view.Change.ID == id && view.Change.Status.IsFinal():
			return *view.Change, nil
		case view.Change != nil && view.Change.ID > id:
			return fleet.Change{}, fmt.Errorf("change %d was followed by another: see history", id)
		}
		since = view.Seq
	}
}

// applyCommand returns the command that declares all instances.
func (c *fleetCommands) applyCommand() *cobra.Command {
	return c.withChangeFlags(&cobra.Command{
		Use:   "apply FILE",
		Short: "Declare all instances as listed in a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			return c.write(command, agent.WriteRequest{Command: "apply", Instances: instances, Configs: configs})
		},
	})
}

// lifecycleCommand returns the command that starts, stops or restarts instances.
func (c *fleetCommands) lifecycleCommand(verb string) *cobra.Command {
	return c.withChangeFlags(&cobra.Command{
		Use:   verb + " [NAME ...]",
		Short: strings.ToUpper(verb[:1]) + verb[1:] + " instances, all if none is named",
		RunE: func(command *cobra.Command, args []string) error {
			return c.write(command, agent.WriteRequest{Command: verb, Names: args})
		},
	})
}

// reconfigureCommand returns the command that declares some instances again.
func (c *fleetCommands) reconfigureCommand() *cobra.Command {
	return c.withChangeFlags(&cobra.Command{
		Use:   "reconfigure FILE NAME [NAME ...]",
		Short: "Declare some instances again as listed in a file, and leave the others unchanged",
		Args:  cobra.MinimumNArgs(2),
		RunE:  c.reconfigure,
	})
}

func (c *fleetCommands) reconfigure(command *cobra.Command, args []string) error {
	file, names := args[0], args[1:]
	instances, configs, err := agent.ReadFleet(file)
	if err != nil {
		return cli.UsageError(err)
	}
	write := agent.WriteRequest{Command: "reconfigure", Configs: map[string]string{}}
	for _, name := range names {
		index := slices.IndexFunc(instances, func(instance fleet.Instance) bool { return instance.Name == name })
		if index < 0 {
			return cli.UsageError(fmt.Errorf("%s: no instance %s", file, name))
		}
		write.Instances = append(write.Instances, instances[index])
		write.Configs[name] = configs[name]
	}
	return c.write(command, write)
}

// rollbackCommand returns the command that rolls back the change in progress, or declares a stored generation again.
func (c *fleetCommands) rollbackCommand() *cobra.Command {
	var generation uint64
	command := c.withChangeFlags(&cobra.Command{
		Use:   "rollback [--to GENERATION]",
		Short: "Roll back the change in progress, or return to a stored generation",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.write(command, agent.WriteRequest{Command: "rollback", To: generation})
		},
	})
	command.Flags().Uint64Var(&generation, "to", 0, "stored generation to return to, as listed by history")
	return command
}
