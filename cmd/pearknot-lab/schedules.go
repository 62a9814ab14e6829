package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/simcluster"
	"pearknot/internal/lab/simcontrolplane"
)

// schedulesCommand looks for a broken promise among processes that keep each other's ops, in virtual time.
func schedulesCommand() *cobra.Command {
	var from, seeds uint64
	var members, copies, voters int
	var plane bool
	c := &cobra.Command{Use: "schedules", Args: cobra.NoArgs,
		Short: "Play drawn schedules of kills, freezes and cut links among processes that keep each other's ops, or of a control plane; 3 where a promise is broken",
		RunE: func(c *cobra.Command, _ []string) error {
			if plane {
				return planeSchedules(c, from, seeds, voters)
			}
			if copies != 3 && copies != 5 || members < copies || members > 64 || seeds < 1 {
				return cli.UsageError(fmt.Errorf("%d seeds of %d members with %d copies: give one at least, 3 or 5 copies, and as many members or up to 64", seeds, members, copies))
			}
			sum, err := simcluster.RunSchedules(c.Context(), from, seeds, members, copies)
			fmt.Fprintf(c.OutOrStdout(), "%d schedules, %d ops taken over, %d of %d logs served at the end, %d broken\n",
				sum.Schedules, sum.TakenOver, sum.ServedLogs, sum.Logs, len(sum.Violating))
			for _, b := range sum.Violating {
				fmt.Fprintln(c.OutOrStdout(), b)
			}
			if err == nil && len(sum.Violating) > 0 {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d of %d schedules break a promise", len(sum.Violating), sum.Schedules), Silent: true}
			}
			return err
		}}
	c.Flags().Uint64Var(&from, "from", 0, "first seed")
	c.Flags().Uint64Var(&seeds, "seeds", 100, "how many, two schedules each")
	c.Flags().IntVar(&members, "members", 5, "processes")
	c.Flags().IntVar(&copies, "copies", 3, "processes that hold each log: 3 or 5")
	c.Flags().BoolVar(&plane, "control-plane", false, "of voters, relays and nodes that follow them: three schedules a seed")
	c.Flags().IntVar(&voters, "voters", 3, "of the control plane: 3 or 5")
	return c
}

func planeSchedules(c *cobra.Command, from, seeds uint64, voters int) error {
	if voters != 3 && voters != 5 || seeds < 1 {
		return cli.UsageError(fmt.Errorf("%d seeds with %d voters: give one at least, and 3 or 5 voters", seeds, voters))
	}
	sum, err := simcontrolplane.RunSchedules(c.Context(), from, seeds, simcontrolplane.StandardConfig(voters))
	fmt.Fprintln(c.OutOrStdout(), sum)
	for _, b := range sum.Violating {
		fmt.Fprintln(c.OutOrStdout(), b)
	}
	if err == nil && len(sum.Violating) > 0 {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d of %d schedules break a promise", len(sum.Violating), sum.Schedules), Silent: true}
	}
	return err
}
