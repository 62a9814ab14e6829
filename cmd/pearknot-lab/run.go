package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/metrics"
)

// maxPrintedViolations bounds the violations of a run that are printed with their evidence.
const maxPrintedViolations = 3

// runCommand plays an experiment.
func runCommand() *cobra.Command {
	options := &playOptions{}
	command := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			if err := options.applyTo(e); err != nil {
				return err
			}
			result, err := options.play(command.Context(), e, command.OutOrStdout())
			if err != nil {
				return err
			}
			return printResult(command.OutOrStdout(), result)
		},
	}
	options.addTo(command)
	return command
}

// printResult prints a result. It returns an error, with its exit status, if a rule was broken.
func printResult(out io.Writer, result metrics.Result) error {
	fmt.Fprintf(out, "%s, %s, %s: service %s\n", result.Experiment, result.Policy, result.Host, result.Service)
	for _, run := range result.Runs {
		printRun(out, run)
	}
	if !result.AllRulesKept() {
		return errRuleBroken
	}
	return nil
}

func printRun(out io.Writer, run metrics.Run) {
	fmt.Fprintln(out, " ", run.Summary())
	for _, fault := range run.Faults {
		recovered := "never"
		if fault.RecoverySeconds >= 0 {
			recovered = fmt.Sprintf("after %.1f s", fault.RecoverySeconds)
		}
		fmt.Fprintf(out, "    %s %.0f to %.0f s: service %.3f before, %.3f at worst, recovered %s, weight lost %.0f\n",
			fault.Kind, fault.From, fault.To, fault.ServiceBefore, fault.WorstService, recovered, fault.LostWeight)
	}
	if run.Hysteresis != nil {
		fmt.Fprintf(out, "    hysteresis of service over load: area %.3f\n", run.Hysteresis.Area)
	}
	evidence := run.Verdict.Evidence
	for _, violation := range evidence[:min(maxPrintedViolations, len(evidence))] {
		fmt.Fprintln(out, "   ", strings.ReplaceAll(violation, "\n", "\n    "))
	}
	fmt.Fprintln(out, "   ", run.Verdict.Text)
}
