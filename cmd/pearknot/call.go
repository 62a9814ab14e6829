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

// callCommand makes an operator's call at a node's second address.
func callCommand() *cobra.Command {
	within := time.Second
	c := &cobra.Command{Use: "call ADDRESS health|cordon ID|uncordon ID|quiesce|resume", Args: cobra.MinimumNArgs(2),
		Short: "Make a call at a node's second address; 3 where the answer is no, 1 where there is none",
		RunE: func(c *cobra.Command, args []string) error {
			line := strings.Join(args[1:], " ")
			if _, err := admin.ParseCommand([]byte(line)); err != nil {
				return cli.UsageError(err)
			}
			if _, _, err := net.SplitHostPort(args[0]); err != nil {
				return cli.UsageError(err)
			}
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			answer, yes, err := admin.SendLine(ctx, args[0], line)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), answer)
			if !yes {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New(answer), Silent: true}
			}
			return nil
		}}
	c.Flags().DurationVar(&within, "within", within, "how long to wait for the answer")
	return c
}
