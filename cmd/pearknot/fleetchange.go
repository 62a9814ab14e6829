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
func (t *fleetTool) withChangeFlags(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.StringVar(&t.reason, "reason", "", "why, for the history")
	flags.Int64Var(&t.revision, "revision", -1, "the revision that this was made from")
	flags.BoolVar(&t.wait, "wait", false, "wait for the end of the change")
	flags.DurationVar(&t.waitTimeout, "within", 10*time.Minute, "wait no longer")
	flags.BoolVar(&t.dryRun, "dry-run", false, "only print what would be changed")
	flags.IntVar(&t.options.MaxUnavailable, "at-once", 0, "instances out of service at a time (default: the agent's)")
	flags.IntVar(&t.options.Canary, "canary", -1, "instances that go first (default: the agent's)")
	flags.Float64Var(&t.options.HealthMs, "health-ms", -1, "time that one must stay well (default: the agent's)")
	flags.BoolVar(&t.options.NoRollback, "no-revert", false, "stop on failure and leave it there")
	_ = command.MarkFlagRequired("reason")
	return command
}

// changeOptions returns the agent's options with those that the flags give in their place.
func (t *fleetTool) changeOptions(agentOptions fleet.Options) *fleet.Options {
	options := agentOptions
	if t.options.MaxUnavailable > 0 {
		options.MaxUnavailable = t.options.MaxUnavailable
	}
	if t.options.Canary >= 0 {
		options.Canary = t.options.Canary
	}
	if t.options.HealthMs >= 0 {
		options.HealthMs = t.options.HealthMs
	}
	options.NoRollback = options.NoRollback || t.options.NoRollback
	return &options
}

// write sends a change and, with --wait, waits for its end.
func (t *fleetTool) write(command *cobra.Command, write agent.WriteRequest) error {
	ctx := command.Context()
	view, err := t.view(ctx)
	if err != nil {
		return err
	}
	write.Revision, write.Reason, write.DryRun = view.Revision, t.reason, t.dryRun
	write.Options = t.changeOptions(view.Rolling)
	if t.revision >= 0 {
		write.Revision = uint64(t.revision)
	}
	var written agent.WriteResponse
	err = t.client().Call(ctx, http.MethodPost, agent.WritePath, write, &written)
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
	if t.dryRun {
		return t.show(command, written, func(out io.Writer) {
			names := strings.Join(written.Instances, " ")
			fmt.Fprintf(out, "would touch %d instances: %s\n", len(written.Instances), names)
		})
	}
	if t.wait {
		if written.Change, err = t.waitForChange(ctx, written.Change.ID); err != nil {
			return err
		}
	}
	change := written.Change
	if err := t.show(command, written, func(out io.Writer) { printChange(out, change) }); err != nil {
		return err
	}
	isDone := change.Status == fleet.Succeeded || write.Command == "rollback" && change.Status == fleet.RolledBack
	if t.wait && !isDone {
		err := fmt.Errorf("change %d: %s: %s", change.ID, change.Status, change.Failure)
		return &cli.Error{Status: cli.StatusFailed, Err: err}
	}
	return nil
}

// waitForChange waits until a change is over.
func (t *fleetTool) waitForChange(ctx context.Context, id uint64) (fleet.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	since := uint64(0)
	for {
		path := fmt.Sprintf("%s?since=%d&wait_ms=5000", agent.FleetPath, since)
		var view agent.View
		err := t.client().Call(ctx, http.MethodGet, path, nil, &view)
		switch {
		case ctx.Err() != nil:
			return fleet.Change{}, fmt.Errorf("change %d is not over after %v", id, t.waitTimeout)
		case err != nil: // the agent may be restarting
			select {
			case <-time.After(agentRetryDelay):
			case <-ctx.Done():
			}
			since = 0 // the next agent counts its views anew
			continue
		case view.Change != nil && view.Change.ID == id && view.Change.Status.IsFinal():
			return *view.Change, nil
		case view.Change != nil && view.Change.ID > id:
			return fleet.Change{}, fmt.Errorf("change %d was followed by another: see history", id)
		}
		since = view.Seq
	}
}

// applyCommand declares all instances.
func (t *fleetTool) applyCommand() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   "apply FILE",
		Short: "Declare all instances, as a file has them",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			instances, configs, err := agent.ReadFleet(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			return t.write(command, agent.WriteRequest{Command: "apply", Instances: instances, Configs: configs})
		},
	})
}

// lifecycleCommand starts, stops or restarts instances.
func (t *fleetTool) lifecycleCommand(verb string) *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   verb + " [NAME ...]",
		Short: strings.ToUpper(verb[:1]) + verb[1:] + " instances, all where none is named",
		RunE: func(command *cobra.Command, args []string) error {
			return t.write(command, agent.WriteRequest{Command: verb, Names: args})
		},
	})
}

// reconfigureCommand declares some instances anew.
func (t *fleetTool) reconfigureCommand() *cobra.Command {
	return t.withChangeFlags(&cobra.Command{
		Use:   "reconfigure FILE NAME [NAME ...]",
		Short: "Give some instances what a file has for them, and leave the others",
		Args:  cobra.MinimumNArgs(2),
		RunE:  t.reconfigure,
	})
}

func (t *fleetTool) reconfigure(command *cobra.Command, args []string) error {
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
	return t.write(command, write)
}

// rollbackCommand rolls back the change in progress, or declares a stored generation again.
func (t *fleetTool) rollbackCommand() *cobra.Command {
	var generation uint64
	command := t.withChangeFlags(&cobra.Command{
		Use:   "rollback [--to GENERATION]",
		Short: "Roll back the change in progress, or go back to a generation",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.write(command, agent.WriteRequest{Command: "rollback", To: generation})
		},
	})
	command.Flags().Uint64Var(&generation, "to", 0, "a stored generation: see history")
	return command
}
