package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/admin"
	"pearknot/internal/cli"
)

// callCommand returns the command that sends an operator's command to a node's admin address.
func callCommand() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "call ADDRESS health|cordon ID|uncordon ID|quiesce|resume",
		Short: "Send a command to a node's admin address; exit status 3 if the answer is NO, 1 if there is none",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return sendAdminCommand(command, args[0], strings.Join(args[1:], " "), timeout)
		},
	}
	command.Flags().DurationVar(&timeout, "within", time.Second, "how long to wait for the answer")
	return command
}

func sendAdminCommand(command *cobra.Command, address, line string, timeout time.Duration) error {
	if _, err := admin.ParseCommand([]byte(line)); err != nil {
		return cli.UsageError(err)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return cli.UsageError(err)
	}
	ctx, cancel := context.WithTimeout(command.Context(), timeout)
	defer cancel()
	answer, isAccepted, err := admin.SendLine(ctx, address, line)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), answer)
	if !isAccepted {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New(answer), Silent: true}
	}
	return nil
}
