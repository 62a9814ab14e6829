package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// configCommands holds the values of the flags that the config commands share.
type configCommands struct {
	file    string
	timeout time.Duration
	json    bool
}

// configCommand returns the commands that change and show the settings that the control plane holds.
func configCommand() *cobra.Command {
	commands := &configCommands{}
	root := &cobra.Command{
		Use:   "config",
		Short: "Change, show and roll back the settings that the control plane holds",
		Long: "Change, show and roll back the settings that the control plane holds.\n\n" +
			"Exit status: 0 done, 1 failed, 2 a file can't be read or its settings can't be put in force, " +
			"3 another change came first,\nor a node is behind or refuses, or a member does not answer.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&commands.file, "file", "control-plane.toml", "the control plane's file")
	flags.DurationVar(&commands.timeout, "within", 10*time.Second, "timeout of the command")
	flags.BoolVar(&commands.json, "json", false, "print JSON")
	root.AddCommand(
		commands.applyCommand(),
		commands.getCommand(),
		commands.logCommand(),
		commands.rollbackCommand(),
		commands.statusCommand(),
		commands.nodeCommand(),
	)
	return root
}

// controlPlane reads the control plane's file and returns a context with the command's timeout.
func (c *configCommands) controlPlane(
	command *cobra.Command,
) (*client.ControlPlane, context.Context, context.CancelFunc, error) {
	controlPlane, err := readControlPlane(c.file)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
	return controlPlane, ctx, cancel, nil
}

// getCommand returns the command that prints a version's settings.
func (c *configCommands) getCommand() *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use:   "get",
		Short: "Print a version's settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.get(command, version)
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "version to print (default: the head)")
	return command
}

func (c *configCommands) get(command *cobra.Command, version uint64) error {
	controlPlane, ctx, cancel, err := c.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	actual, text, age, err := controlPlane.GetVersion(ctx, version)
	if err != nil {
		return err
	}
	c.warnIfStale(command, age)
	if c.json {
		answer := map[string]any{"version": actual, "settings": json.RawMessage(text)}
		return json.NewEncoder(command.OutOrStdout()).Encode(answer)
	}
	_, err = command.OutOrStdout().Write(text)
	return err
}

// warnIfStale warns if no majority of the voters confirms the answer or its age is unknown.
func (c *configCommands) warnIfStale(command *cobra.Command, age *float64) {
	switch {
	case age == nil:
		fmt.Fprintln(command.ErrOrStderr(), "pearknot: the age of this answer is unknown to all voters that responded")
	case *age > client.MaxBehindMs:
		fmt.Fprintf(command.ErrOrStderr(),
			"pearknot: this answer may be %.0f s old: no majority of the voters is reachable\n", *age/1e3)
	}
}

// logCommand returns the command that prints the latest changes.
func (c *configCommands) logCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "log",
		Short: "Print the latest changes with time, author and reason",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.log(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "maximum number of changes")
	return command
}

func (c *configCommands) log(command *cobra.Command, count int) error {
	controlPlane, ctx, cancel, err := c.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	changes, age, err := controlPlane.RecentChanges(ctx, count)
	if err != nil {
		return err
	}
	c.warnIfStale(command, age)
	if c.json {
		return json.NewEncoder(command.OutOrStdout()).Encode(changes)
	}
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tat\tby\tdigest\tid\treason")
	for _, change := range changes {
		proposedAt := time.UnixMilli(int64(change.ProposedAtMs)).UTC().Format(time.RFC3339)
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\t%s\n",
			change.Version, proposedAt, change.By, change.Digest, change.ID, change.Reason)
	}
	return table.Flush()
}

// nodeCommand returns the command that shows the settings version that a node has in force, from the node's own status.
func (c *configCommands) nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node SOCKET",
		Short: "Show the settings version that a node has in force, from its control socket",
		Args:  cobra.ExactArgs(1),
		RunE:  c.node,
	}
}

func (c *configCommands) node(command *cobra.Command, args []string) error {
	var status controlsocket.Status
	socket := controlsocket.NewClient(args[0], dialTimeout)
	if err := socket.Call(command.Context(), "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return err
	}
	settings := status.ControlPlane
	if settings == nil {
		return fmt.Errorf("%s follows no control plane: it was started without --control-plane", status.Name)
	}
	if c.json {
		return json.NewEncoder(command.OutOrStdout()).Encode(settings)
	}
	followed := settings.FollowedMember
	if followed == "" {
		followed = "nobody"
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: version %d in force, digest %.12s, age %s, follows %s\n",
		status.Name, settings.ActiveVersion, settings.Digest, formatSeconds(settings.AgeMs), followed)
	if settings.RejectedVersion > settings.ActiveVersion {
		fmt.Fprintf(command.OutOrStdout(), "version %d refused: %s\n", settings.RejectedVersion, settings.RejectReason)
	}
	return nil
}
