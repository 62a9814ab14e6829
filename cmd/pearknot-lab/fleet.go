package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
)

// fleetTool holds the flags of fleet.
type fleetTool struct {
	playOptions
	file           string
	instances      int
	seconds        float64
	maxUnavailable int
}

// fleetCommand plays an experiment on nodes that an agent looks after, with a rolling change of all of them on the way.
func fleetCommand() *cobra.Command {
	tool := &fleetTool{}
	command := &cobra.Command{
		Use:   "fleet",
		Short: "A rolling change of all nodes of an agent under steady load",
		Args:  cobra.NoArgs,
		RunE:  tool.run,
	}
	flags := command.Flags()
	flags.StringVar(&tool.file, "file", "experiments/calm.toml", "the experiment")
	flags.IntVar(&tool.instances, "instances", 20, "nodes")
	flags.Float64Var(&tool.seconds, "seconds", 30, "how long")
	flags.IntVar(&tool.maxUnavailable, "at-once", 2, "out of service at a time")
	tool.addProgramFlagTo(command)
	return command
}

func (t *fleetTool) run(command *cobra.Command, _ []string) error {
	e, err := experiment.Read(t.file)
	if err != nil {
		return cli.UsageIfNotExist(err)
	}
	e.Fleet.Nodes, e.Seconds, e.Seeds, e.Faults = t.instances, t.seconds, e.Seeds[:1], nil
	nodeCommand, cleanUp, err := t.nodeCommandLine(command.Context(), balancerPolicy)
	if err != nil {
		return err
	}
	defer cleanUp()
	outcome, err := playRollingChange(command.Context(), e, nodeCommand[0], t.maxUnavailable)
	if err != nil {
		return err
	}
	out := command.OutOrStdout()
	fmt.Fprintf(out, "apply of %d instances converged in %.2f s, rolling change of all, %d at once, in %.2f s\n",
		t.instances, outcome.applyTime.Seconds(), t.maxUnavailable, outcome.changeTime.Seconds())
	return printResult(out, metrics.NewResult(e, metrics.HostLoopback, []metrics.Run{outcome.run}))
}

// rollingChangeOutcome is the result of playRollingChange.
type rollingChangeOutcome struct {
	run        metrics.Run
	applyTime  time.Duration // from the first apply until all instances are as declared
	changeTime time.Duration // of the rolling change
}
