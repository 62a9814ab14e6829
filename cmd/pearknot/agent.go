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

func agentCommand() *cobra.Command {
	file, level := "", slog.LevelInfo
	c := &cobra.Command{Use: "agent --config FILE", Short: "Look after the instances of this host", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o, err := agent.ReadOptions(file)
			if err != nil {
				return cli.UsageError(err)
			}
			if o.OnPoint, err = agent.KillAt(os.Getenv(agent.KillVariable)); err != nil {
				return cli.UsageError(err)
			}
			log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: level}))
			a, err := agent.New(o, log)
			if err != nil {
				return err
			}
			return a.Run(c.Context())
		}}
	c.PersistentFlags().StringVar(&file, "config", "deploy/agent.toml", "the agent's file")
	c.Flags().TextVar(&level, "log", slog.LevelInfo, "least level of log lines")
	c.AddCommand(&cobra.Command{Use: "check", Short: "Read the agent's file, tell what it says, and end", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o, err := agent.ReadOptions(file)
			if err != nil {
				return cli.UsageError(err)
			}
			fmt.Fprintf(c.OutOrStdout(), "state in %s, socket %s, node %s; %d at once, %d canaries\n", o.Dir, o.Socket,
				strings.Join(o.Binary, " "), o.Rolling.MaxUnavailable, o.Rolling.Canary)
			return nil
		}})
	return c
}
