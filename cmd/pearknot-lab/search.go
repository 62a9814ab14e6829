package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/search"
)

// defaultMinLossShare is the least share of the lost service that the schedule has to keep while it is shrunk.
const defaultMinLossShare = 0.7

// searchTool holds the flags of search.
type searchTool struct {
	options search.Options
	outFile string
	policy  string
}

// searchCommand looks for the schedule of faults that costs most.
func searchCommand() *cobra.Command {
	tool := &searchTool{options: search.Options{MinLossShare: defaultMinLossShare}}
	command := &cobra.Command{
		Use:   "search FILE",
		Short: "Look for the schedule of faults on which service is worst, and shrink it",
		Args:  cobra.ExactArgs(1),
		RunE:  tool.run,
	}
	flags := command.Flags()
	flags.IntVar(&tool.options.Rounds, "rounds", 40, "schedules drawn")
	flags.IntVar(&tool.options.MaxFaults, "most", 4, "faults in one schedule")
	flags.Uint64Var(&tool.options.Seed, "seed", 1, "of the search")
	flags.StringVar(&tool.outFile, "out", "", "file for the experiment that was found")
	flags.StringVar(&tool.policy, "policy", "", "who decides")
	return command
}

func (t *searchTool) run(command *cobra.Command, args []string) error {
	e, err := experiment.Read(args[0])
	if err != nil {
		return cli.UsageIfNotExist(err)
	}
	if err := (&playOptions{policy: t.policy}).applyTo(e); err != nil {
		return err
	}
	t.options.Log = command.ErrOrStderr()
	found, err := search.FindWorst(command.Context(), e, t.options)
	if err != nil {
		return err
	}
	printFound(command.OutOrStdout(), found)
	if t.outFile != "" {
		text, err := found.Experiment.Encode()
		if err != nil {
			return err
		}
		if err := os.WriteFile(t.outFile, text, 0o644); err != nil {
			return err
		}
	}
	if found.RuleBroken {
		fmt.Fprintln(command.OutOrStdout(), "a rule was broken: run the file that --out writes")
		return errRuleBroken
	}
	return nil
}

// printFound prints what a search has found.
func printFound(out io.Writer, found search.Result) {
	fmt.Fprintf(out, "%d experiments played: service %.3f without faults, %.3f with the worst schedule, "+
		"%.3f with the %d faults that are left of it\n",
		found.Played, found.CalmService, found.WorstService, found.ShrunkService, len(found.Experiment.Faults))
	for _, fault := range found.Experiment.Faults {
		fmt.Fprintf(out, "  %s at %.1f s for %.1f s, share %.2f, factor %.2f, chance %.2f %s%s\n",
			fault.Kind, fault.StartSeconds, fault.DurationSeconds, fault.Share, fault.Factor, fault.Chance, fault.Zone, fault.Class)
	}
}
