package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/capacity"
)

// How much is measured of each point of a slope, and with --quick.
const (
	capacityRuns          = 5
	capacityRunDuration   = 1500 * time.Millisecond
	quickCapacityRuns     = 1
	quickCapacityDuration = 150 * time.Millisecond
)

// capacityTool holds the flags of capacity.
type capacityTool struct {
	playOptions
	targetFile string
	rowPrefix  string // of the rows to measure; empty is all
	outFile    string
	fromFile   string
	updateFile string
	pageFile   string
	isQuick    bool
}

// capacityCommand measures slopes and shows what a fleet of a size would cost by them.
func capacityCommand() *cobra.Command {
	tool := &capacityTool{}
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what things cost by their sizes, and what a fleet of a target's size would: 3 where a limit is passed",
		Long: `Measures slopes, each at four sizes or more and five runs, with the program's own code, fits each as what it is (constant,
linear, n log n, square), and puts a target's figures into them: each role's cost beside its limit. Processor time is that of the
process, since the machine may have other work. Takes minutes; --quick sees whether it runs, and its figures are no measurements.

Exit status: 3 where a limit is passed, 2 where the target can't be read, 1 where a row can't be measured.`,
		Args: cobra.NoArgs,
		RunE: tool.run,
	}
	flags := command.Flags()
	flags.StringVar(&tool.targetFile, "target", filepath.Join("experiments", "capacity", "target.toml"), "the size that is planned")
	flags.StringVar(&tool.rowPrefix, "only", "", "measure only rows whose names begin so")
	flags.BoolVar(&tool.isQuick, "quick", false, "few runs at small sizes: does it run, no more")
	flags.StringVar(&tool.outFile, "out", "", "write what was measured to a file")
	flags.StringVar(&tool.fromFile, "from", "", "measure nothing: tell what a file of --out means for the target")
	flags.StringVar(&tool.updateFile, "update", "", "put what was measured in the place of what stood in a file of --out")
	flags.StringVar(&tool.pageFile, "page", "", "put the tables between the marks of this page, too")
	tool.addProgramFlagTo(command)
	return command
}

func (t *capacityTool) run(command *cobra.Command, _ []string) error {
	if t.updateFile != "" && (t.isQuick || t.fromFile != "" || t.outFile != "") {
		return cli.UsageError(errors.New("--update goes with neither --quick nor --from nor --out"))
	}
	target, err := capacity.ReadTarget(t.targetFile)
	if err != nil {
		return cli.UsageIfNotExist(err)
	}
	result, err := t.result(command)
	if err != nil {
		return err
	}
	if outFile := cmp.Or(t.outFile, t.updateFile); outFile != "" { // one of them at most is given
		if err := os.WriteFile(outFile, result.Encode(), 0o644); err != nil {
			return err
		}
	}
	tables := capacity.Render(result, target)
	fmt.Fprint(command.OutOrStdout(), tables)
	if t.pageFile != "" {
		if err := replaceTables(t.pageFile, tables); err != nil {
			return cli.UsageError(err)
		}
	}
	if over := capacity.OverLimit(capacity.Costs(result.Slopes, target)); len(over) > 0 {
		err := fmt.Errorf("%d costs pass their limits", len(over))
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err, Silent: true}
	}
	return nil
}

// result returns what --from names, or what is measured, with --update merged into what was measured before.
func (t *capacityTool) result(command *cobra.Command) (*capacity.Result, error) {
	if t.fromFile != "" {
		result, err := capacity.ReadResult(t.fromFile)
		if err != nil {
			return nil, cli.UsageError(err)
		}
		return result, nil
	}
	if t.updateFile == "" {
		return t.measure(command)
	}
	earlier, err := capacity.ReadResult(t.updateFile) // before minutes of measuring
	if err != nil {
		return nil, cli.UsageError(err)
	}
	measured, err := t.measure(command)
	if err != nil {
		return nil, err
	}
	if err := earlier.Merge(measured); err != nil {
		return nil, cli.UsageError(err)
	}
	return earlier, nil
}

func (t *capacityTool) measure(command *cobra.Command) (*capacity.Result, error) {
	nodeCommand, cleanUp, err := t.nodeCommandLine(command.Context(), balancerPolicy)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	bench := &capacity.Bench{
		NodeCommand: nodeCommand,
		LabCommand:  []string{self},
		RunDuration: capacityRunDuration,
		Runs:        capacityRuns,
		Progress:    command.ErrOrStderr(),
	}
	if t.isQuick {
		bench.RunDuration, bench.Runs, bench.IsQuick = quickCapacityDuration, quickCapacityRuns, true
	}
	startedAt := time.Now()
	result, err := capacity.Measure(command.Context(), bench, t.rowPrefix)
	if errors.Is(err, capacity.ErrUnknownRow) {
		return nil, cli.UsageError(err)
	}
	own, child := capacity.PeakMemory()
	fmt.Fprintf(command.ErrOrStderr(), "%.0f s; peak memory: %.0f MB here, %.0f MB in a process of the program\n",
		time.Since(startedAt).Seconds(), own, child)
	return result, err
}

// replaceTables replaces the tables between the marks of a page.
func replaceTables(pageFile, tables string) error {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		return err
	}
	changed, _, err := capacity.ReplaceTables(string(page), tables)
	if err != nil {
		return fmt.Errorf("%s: %w", pageFile, err)
	}
	return os.WriteFile(pageFile, []byte(changed), 0o644)
}
