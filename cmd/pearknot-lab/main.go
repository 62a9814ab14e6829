// Command pearknot-lab is for trying and measuring pearknot: it plays a fleet with its faults, in virtual time or with real
// processes on loopback, judges the rules, and measures how service recovers.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs a command line and returns its exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "pearknot-lab",
		Short: "Simulated fleets, faults on a schedule, and one judge of the rules",
		Long: `pearknot-lab plays experiments: a fleet, its load and a schedule of faults, from a TOML file (see experiments/).
All backends, clients and lists are stand-ins; figures are no measurements of real machines.

Exit status: 0 done and all rules kept, 1 failed or interrupted, 2 the command line or a file can't be read,
3 a rule was broken.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return cli.UsageError(err) })
	root.AddCommand(
		schedulesCommand(),
		demoCommand(),
		runCommand(),
		sweepCommand(),
		compareCommand(),
		searchCommand(),
		reportCommand(),
		fleetCommand(),
		instancesCommand(),
		nodeCommand(),
		authorityCommand(),
		countCommand(),
		capacityCommand(),
		scaleCommand(),
		hollowCommand(),
	)
	return cli.Exit("pearknot-lab", root.ExecuteContext(ctx), errs)
}

// errRuleBroken ends a command whose output has said which rule or bound was broken.
var errRuleBroken = &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("a rule was broken"), Silent: true}
