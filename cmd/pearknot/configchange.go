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

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	base   uint64
	by     string
	reason string
}

// addTo adds the flags to a command.
func (f *changeFlags) addTo(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.Uint64Var(&f.base, "base", 0,
		"the version that the change was made from (default: the head as the command begins)")
	flags.StringVar(&f.by, "by", caller(), "who changes")
	flags.StringVar(&f.reason, "reason", "", "why, for the log")
	return command
}

// caller returns the user's name, or nothing if the system has none.
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

// printVersion prints the version that was made, or returns why there is none.
func (t *configTool) printVersion(command *cobra.Command, version uint64, err error) error {
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict):
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	case err != nil:
		return err
	case t.json:
		return json.NewEncoder(command.OutOrStdout()).Encode(map[string]uint64{"version": version})
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), "version", version)
	return err
}

// applyCommand makes a file of settings the next version.
func (t *configTool) applyCommand() *cobra.Command {
	change := &changeFlags{}
	return change.addTo(&cobra.Command{
		Use:   "apply FILE",
		Short: "Make a file of settings the next version; it is on a majority's disks when this ends",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.apply(command, args[0], change)
		},
	})
}

func (t *configTool) apply(command *cobra.Command, file string, change *changeFlags) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return cli.UsageError(err)
	}
	if _, err := controlplane.Parse(text); err != nil {
		return wrongSettings(file, err)
	}
	return t.makeVersion(command, change, func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error) {
		version, err := controlPlane.Apply(ctx, base, text, change.by, change.reason)
		var invalid *client.InvalidError
		if errors.As(err, &invalid) {
			line, column := settingPlace(text, invalid.Detail)
			err = &tomlfile.Error{File: file, Line: line, Column: column, Message: invalid.Detail}
		}
		return version, err
	})
}

// makeVersion makes a new version by a call of the control plane, which gets the version that the change is based on, and
// prints it.
func (t *configTool) makeVersion(
	command *cobra.Command, change *changeFlags,
	call func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error),
) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := change.baseVersion(ctx, command, controlPlane)
	if err != nil {
		return err
	}
	version, err := call(ctx, controlPlane, base)
	return t.printVersion(command, version, err)
}

// rollbackCommand makes an earlier version's settings the next version.
func (t *configTool) rollbackCommand() *cobra.Command {
	change, version := &changeFlags{}, uint64(0)
	command := change.addTo(&cobra.Command{
		Use:   "rollback --to VERSION",
		Short: "Make an earlier version's settings the next version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.rollback(command, version, change)
		},
	})
	command.Flags().Uint64Var(&version, "to", 0, "the version to go back to: see log")
	_ = command.MarkFlagRequired("to")
	return command
}

func (t *configTool) rollback(command *cobra.Command, to uint64, change *changeFlags) error {
	if change.reason == "" {
		change.reason = fmt.Sprintf("back to version %d", to)
	}
	return t.makeVersion(command, change, func(ctx context.Context, controlPlane *client.ControlPlane, base uint64) (uint64, error) {
		version, err := controlPlane.Rollback(ctx, to, base, change.by, change.reason)
		if errors.Is(err, client.ErrVersionNotFound) {
			err = cli.UsageError(fmt.Errorf("version %d: %w", to, err))
		}
		return version, err
	})
}
