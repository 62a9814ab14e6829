package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/simcluster"
	"pearknot/internal/lab/simcontrolplane"
)

// maxScheduleMembers bounds the members of a simulated cluster.
const maxScheduleMembers = 64

// schedulesTool holds the flags of schedules.
type schedulesTool struct {
	firstSeed    uint64
	seeds        uint64
	members      int
	replicas     int
	controlPlane bool
	voters       int
}

// schedulesCommand looks for a violation among processes that log each other's requests, or in a control plane, in virtual
// time.
func schedulesCommand() *cobra.Command {
	tool := &schedulesTool{}
	command := &cobra.Command{
		Use: "schedules",
		Short: "Play drawn schedules of kills, freezes and cut links among processes that log each other's requests, " +
			"or of a control plane; 3 where a guarantee is broken",
		Args: cobra.NoArgs,
		RunE: tool.run,
	}
	flags := command.Flags()
	flags.Uint64Var(&tool.firstSeed, "from", 0, "first seed")
	flags.Uint64Var(&tool.seeds, "seeds", 100, "how many, two schedules each")
	flags.IntVar(&tool.members, "members", 5, "processes")
	flags.IntVar(&tool.replicas, "copies", 3, "processes that hold each log: 3 or 5")
	flags.BoolVar(&tool.controlPlane, "control-plane", false,
		"of voters, relays and nodes that follow them: three schedules a seed")
	flags.IntVar(&tool.voters, "voters", 3, "of the control plane: 3 or 5")
	return command
}

func (t *schedulesTool) run(command *cobra.Command, _ []string) error {
	if t.controlPlane {
		return t.playControlPlane(command)
	}
	return t.playCluster(command)
}

func (t *schedulesTool) playCluster(command *cobra.Command) error {
	isValid := (t.replicas == 3 || t.replicas == 5) && t.members >= t.replicas && t.members <= maxScheduleMembers && t.seeds >= 1
	if !isValid {
		return cli.UsageError(fmt.Errorf("%d seeds of %d members with %d copies: give one at least, 3 or 5 copies, and as many members or up to %d",
			t.seeds, t.members, t.replicas, maxScheduleMembers))
	}
	summary, err := simcluster.RunSchedules(command.Context(), t.firstSeed, t.seeds, t.members, t.replicas)
	fmt.Fprintf(command.OutOrStdout(), "%d schedules, %d requests taken over, %d of %d logs served at the end, %d broken\n",
		summary.Schedules, summary.TakenOver, summary.ServedLogs, summary.Logs, len(summary.Violating))
	return printViolations(command, err, summary.Violating, summary.Schedules)
}

func (t *schedulesTool) playControlPlane(command *cobra.Command) error {
	if t.voters != 3 && t.voters != 5 || t.seeds < 1 {
		return cli.UsageError(fmt.Errorf("%d seeds with %d voters: give one at least, and 3 or 5 voters", t.seeds, t.voters))
	}
	config := simcontrolplane.StandardConfig(t.voters)
	summary, err := simcontrolplane.RunSchedules(command.Context(), t.firstSeed, t.seeds, config)
	fmt.Fprintln(command.OutOrStdout(), summary)
	return printViolations(command, err, summary.Violating, summary.Schedules)
}

// printViolations prints violations and returns the error that follows from them; err comes first.
func printViolations[T any](command *cobra.Command, err error, violations []T, schedules int) error {
	for _, violation := range violations {
		fmt.Fprintln(command.OutOrStdout(), violation)
	}
	if err == nil && len(violations) > 0 {
		err = fmt.Errorf("%d of %d schedules break a guarantee", len(violations), schedules)
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err, Silent: true}
	}
	return err
}
