package main

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/report"
)

// compareCommand compares two results, seed by seed.
func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Tell whether two results differ by more than noise",
		Long: `compare takes the seeds that both results have, pair by pair, and tells of each figure the mean difference B - A with its
95% interval. A difference whose interval holds zero is within noise, and so is any of a single seed.`,
		Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			b, err := report.Read(args[1])
			if err != nil {
				return cli.UsageError(err)
			}
			return compare(command.OutOrStdout(), a, b)
		},
	}
}

func compare(out io.Writer, a, b metrics.Result) error {
	differences, err := metrics.Compare(a, b)
	if err != nil {
		return cli.UsageError(err)
	}
	fmt.Fprintf(out, "A: %s, %s, %s: service %s\n", a.Experiment, a.Policy, a.Host, a.Service)
	fmt.Fprintf(out, "B: %s, %s, %s: service %s\n", b.Experiment, b.Policy, b.Host, b.Service)
	for _, difference := range differences {
		finding := "differs"
		if difference.IncludesZero() {
			finding = "within noise"
		}
		fmt.Fprintf(out, "  %-16s B - A %+.3f +- %.3f over %d seeds: %s\n",
			difference.Metric, difference.Mean, difference.HalfWidth, difference.N, finding)
	}
	return nil
}

// reportCommand makes the page of a result again.
func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Make the page of a result anew",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			result, err := report.Read(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if err := report.WritePage(args[0], result); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), filepath.Join(args[0], report.PageFile))
			return nil
		},
	}
}
