package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/tomlfile"
)

// changeFlags holds the flags of the commands that create a new version.
type changeFlags struct {
	base   uint64
	by     string
	reason string
}

// addTo adds the flags to a command.
func (f *changeFlags) addTo(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.Uint64Var(&f.base, "base", 0,
		"version that the change is based on (default: the head when the command starts)")
	flags.StringVar(&f.by, "by", caller(), "author of the change")
	flags.StringVar(&f.reason, "reason", "", "reason for the change, recorded in the log")
	return command
}

// caller returns the user's name, or an empty string if the system has none.
func caller() string {
	if account, err := user.Current(); err == nil {
		return account.Username
	}
	return ""
}

// baseVersion returns the version that the change is based on: --base, also an explicit 0, or the head.
func (f *changeFlags) baseVersion(
	ctx context.Context, command *cobra.Command, controlPlane *client.ControlPlane,
) (uint64, error) {
	if command.Flags().Changed("base") {
		return f.base, nil
	}
	return controlPlane.HeadVersion(ctx)
}

// printVersion prints the version that was created, or returns the error that prevented it.
func (c *configCommands) printVersion(command *cobra.Command, version uint64, err error) error {
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict):
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	case err != nil:
		return err
	case c.json:
		return json.NewEncoder(command.OutOrStdout()).Encode(map[string]uint64{"version": version})
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), "version", version)
	return err
}

// applyCommand returns the command that makes a file of settings the next version.
func (c *configCommands) applyCommand() *cobra.Command {
	change := &changeFlags{}
	return change.addTo(&cobra.Command{
		Use:   "apply FILE",
		Short: "Make a file of settings the next version; returns when a majority of the voters has it on disk",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.apply(command, args[0], change)
		},
	})
}

func (c *configCommands) apply(command *cobra.Command, file string, change *changeFlags) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return cli.UsageError(err)
	}
	if _, err := controlplane.Parse(text); err != nil {
		return withPosition(file, err)
	}
	return c.makeVersion(command, change, func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error) {
		version, err := controlPlane.Apply(ctx, base, text, change.by, change.reason)
		var invalid *client.InvalidError
		if errors.As(err, &invalid) {
			line, column := settingPosition(text, invalid.Detail)
			err = &tomlfile.Error{File: file, Line: line, Column: column, Message: invalid.Detail}
		}
		return version, err
	})
}

// makeVersion creates a new version with a call to the control plane, which is given the version that the change is based
// on, and prints the new version.
func (c *configCommands) makeVersion(
	command *cobra.Command, change *changeFlags,
	call func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error),
) error {
	controlPlane, ctx, cancel, err := c.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := change.baseVersion(ctx, command, controlPlane)
	if err != nil {
		return err
	}
	version, err := call(ctx, controlPlane, base)
	return c.printVersion(command, version, err)
}

// rollbackCommand returns the command that makes an earlier version's settings the next version.
func (c *configCommands) rollbackCommand() *cobra.Command {
	change, version := &changeFlags{}, uint64(0)
	command := change.addTo(&cobra.Command{
		Use:   "rollback --to VERSION",
		Short: "Make an earlier version's settings the next version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.rollback(command, version, change)
		},
	})
	command.Flags().Uint64Var(&version, "to", 0, "version to roll back to, as listed by log")
	_ = command.MarkFlagRequired("to")
	return command
}

func (c *configCommands) rollback(command *cobra.Command, to uint64, change *changeFlags) error {
	if change.reason == "" {
		change.reason = fmt.Sprintf("back to version %d", to)
	}
	return c.makeVersion(command, change, func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error) {
		version, err := controlPlane.Rollback(ctx, to, base, change.by, change.reason)
		if errors.Is(err, client.ErrVersionNotFound) {
			err = cli.UsageError(fmt.Errorf("version %d: %w", to, err))
		}
		return version, err
	})
}
