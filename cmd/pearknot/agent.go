package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/agent"
	"pearknot/internal/cli"
)

// agentFlags holds the flags of the agent command.
type agentFlags struct {
	file     string
	logLevel slog.Level
}

// agentCommand returns the command that runs the agent of a host.
func agentCommand() *cobra.Command {
	agentFlags := &agentFlags{}
	command := &cobra.Command{
		Use:   "agent --config FILE",
		Short: "Manage the instances of this host",
		Args:  cobra.NoArgs,
		RunE:  agentFlags.run,
	}
	command.PersistentFlags().StringVar(&agentFlags.file, "config", "deploy/agent.toml", "the agent's configuration file")
	command.Flags().TextVar(&agentFlags.logLevel, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
	command.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Read the agent's configuration file, print a summary, and exit",
		Args:  cobra.NoArgs,
		RunE:  agentFlags.check,
	})
	return command
}

func (f *agentFlags) run(command *cobra.Command, _ []string) error {
	options, err := agent.ReadOptions(f.file)
	if err != nil {
		return cli.UsageError(err)
	}
	if options.OnCrashPoint, err = agent.ParseCrashPoint(os.Getenv(agent.CrashPointVariable)); err != nil {
		return cli.UsageError(err)
	}
	log := slog.New(slog.NewTextHandler(command.ErrOrStderr(), &slog.HandlerOptions{Level: f.logLevel}))
	hostAgent, err := agent.New(options, log)
	if err != nil {
		return err
	}
	return hostAgent.Run(command.Context())
}

func (f *agentFlags) check(command *cobra.Command, _ []string) error {
	options, err := agent.ReadOptions(f.file)
	if err != nil {
		return cli.UsageError(err)
	}
	fmt.Fprintf(command.OutOrStdout(), "state in %s, socket %s, node %s; %d unavailable at most, %d canaries\n",
		options.Dir, options.Socket, strings.Join(options.Binary, " "),
		options.Rolling.MaxUnavailable, options.Rolling.Canary)
	return nil
}
