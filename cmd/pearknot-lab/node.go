package main

import (
	"log/slog"

	"github.com/spf13/cobra"

	"pearknot/balancer"
	"pearknot/internal/cli"
	"pearknot/internal/lab/baselines"
	"pearknot/internal/serve"
)

// nodeCommand runs a node whose decider is a baseline, on the same sockets as the real one. play starts it.
func nodeCommand() *cobra.Command {
	var policy, configFile string
	command := &cobra.Command{
		Use:    "node",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveBaseline(command, policy, configFile)
		},
	}
	command.Flags().StringVar(&policy, "policy", "random", "who decides")
	command.Flags().StringVar(&configFile, "config", "", "configuration file")
	return command
}

func serveBaseline(command *cobra.Command, policy, configFile string) error {
	reload := serve.NotifyReload() // first of all: an unhandled SIGHUP would end the process
	log := slog.New(slog.NewTextHandler(command.ErrOrStderr(), nil))
	config, err := serve.ReadConfig(configFile, log)
	if err != nil {
		return cli.UsageError(err)
	}
	if _, err := baselines.New(policy, &balancer.Config{}, 0, nil); err != nil {
		return cli.UsageError(err)
	}
	newDecider := func(config *balancer.Config, now float64) balancer.Decider {
		decider, _ := baselines.New(policy, config, now, nil) // its only error is an unknown policy, checked above
		return decider
	}
	options := serve.Options{Version: cli.Version(), NewDecider: newDecider}
	return serve.Run(command.Context(), reload, config, options, log)
}
