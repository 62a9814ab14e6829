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

// configTool is what the config commands have in common: the values of their flags.
type configTool struct {
	file    string
	timeout time.Duration
	json    bool
}

// configCommand changes and shows the settings that the control plane holds.
func configCommand() *cobra.Command {
	tool := &configTool{}
	root := &cobra.Command{
		Use:   "config",
		Short: "The settings that the control plane holds: change them, look, go back",
		Long: "The settings that the control plane holds.\n\n" +
			"Exit status: 0 done, 1 failed, 2 a file can't be read or its settings can't be put in force, " +
			"3 another change came first,\nor a node is behind or refuses, or a member does not answer.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&tool.file, "file", "control-plane.toml", "file of the control plane")
	flags.DurationVar(&tool.timeout, "within", 10*time.Second, "how long to try")
	flags.BoolVar(&tool.json, "json", false, "as JSON")
	root.AddCommand(
		tool.applyCommand(),
		tool.getCommand(),
		tool.logCommand(),
		tool.rollbackCommand(),
		tool.statusCommand(),
		tool.nodeCommand(),
	)
	return root
}

// controlPlane reads the control plane's file and returns a context with the command's timeout.
func (t *configTool) controlPlane(
	command *cobra.Command,
) (*client.ControlPlane, context.Context, context.CancelFunc, error) {
	controlPlane, err := readControlPlane(t.file)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), t.timeout)
	return controlPlane, ctx, cancel, nil
}

// getCommand prints a version's settings.
func (t *configTool) getCommand() *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use:   "get",
		Short: "Print a version's settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.get(command, version)
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "which one (default: the head)")
	return command
}

func (t *configTool) get(command *cobra.Command, version uint64) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	actual, text, age, err := controlPlane.GetVersion(ctx, version)
	if err != nil {
		return err
	}
	t.warnIfStale(command, age)
	if t.json {
		answer := map[string]any{"version": actual, "settings": json.RawMessage(text)}
		return json.NewEncoder(command.OutOrStdout()).Encode(answer)
	}
	_, err = command.OutOrStdout().Write(text)
	return err
}

// warnIfStale warns of an answer that no majority of the voters confirms.
func (t *configTool) warnIfStale(command *cobra.Command, age *float64) {
	switch {
	case age == nil:
		fmt.Fprintln(command.ErrOrStderr(), "pearknot: no voter that answers knows how old this is")
	case *age > client.MaxBehindMs:
		fmt.Fprintf(command.ErrOrStderr(),
			"pearknot: this may be %.0f s old: no majority of the voters is reached\n", *age/1e3)
	}
}

// logCommand prints the latest changes.
func (t *configTool) logCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "log",
		Short: "The last changes: who, when, why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.log(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "changes at most")
	return command
}

func (t *configTool) log(command *cobra.Command, count int) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	changes, age, err := controlPlane.RecentChanges(ctx, count)
	if err != nil {
		return err
	}
	t.warnIfStale(command, age)
	if t.json {
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

// nodeCommand shows what a node has in force, by its own status.
func (t *configTool) nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node SOCKET",
		Short: "What a node has in force, by its own word at its control socket",
		Args:  cobra.ExactArgs(1),
		RunE:  t.node,
	}
}

func (t *configTool) node(command *cobra.Command, args []string) error {
	var status controlsocket.Status
	socket := controlsocket.NewClient(args[0], dialTimeout)
	if err := socket.Call(command.Context(), "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return err
	}
	settings := status.ControlPlane
	if settings == nil {
		return fmt.Errorf("%s follows no control plane: it was started without --control-plane", status.Name)
	}
	if t.json {
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
