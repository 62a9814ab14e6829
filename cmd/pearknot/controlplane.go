package main

import (
	"errors"
	"log/slog"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlplane/member"
	"pearknot/internal/tomlfile"
)

// controlPlaneFlags holds the flags of the control-plane command.
type controlPlaneFlags struct {
	name     string
	logLevel slog.Level
	options  member.Options
}

// controlPlaneCommand returns the command that runs a member of the control plane.
func controlPlaneCommand() *cobra.Command {
	memberFlags := &controlPlaneFlags{options: member.Options{Version: cli.Version()}}
	command := &cobra.Command{
		Use:   "control-plane FILE --name NAME",
		Short: "Run a member of the control plane in the foreground until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE:  memberFlags.run,
	}
	flags := command.Flags()
	flags.StringVar(&memberFlags.name, "name", "", "name of the member in the file that this process runs as")
	flags.BoolVar(&memberFlags.options.Bootstrap, "bootstrap", false, "create the store at a voter's first start")
	flags.StringVar(&memberFlags.options.Control, "control", "", "path of a control socket")
	flags.TextVar(&memberFlags.logLevel, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
	_ = command.MarkFlagRequired("name")
	return command
}

func (f *controlPlaneFlags) run(command *cobra.Command, args []string) error {
	controlPlane, err := readControlPlane(args[0])
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(command.ErrOrStderr(), &slog.HandlerOptions{Level: f.logLevel}))
	return member.Run(command.Context(), controlPlane, f.name, f.options, log)
}

// readControlPlane reads the control plane's file. An error in its text has a position; any other
// error is returned as a usage error.
func readControlPlane(file string) (*client.ControlPlane, error) {
	controlPlane, err := client.ReadFile(file)
	var textErr *tomlfile.Error
	if err != nil && !errors.As(err, &textErr) {
		return nil, cli.UsageError(err)
	}
	return controlPlane, err
}
