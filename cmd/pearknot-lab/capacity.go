package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/capacity"
)

// capacityCommand measures slopes and tells what a fleet of a size would cost by them.
func capacityCommand() *cobra.Command {
	p, target, only, out, from, update, page, quick := &plan{}, "", "", "", "", "", "", false
	c := &cobra.Command{Use: "capacity", Args: cobra.NoArgs, Short: "Measure what things cost by their sizes, and what a fleet of a target's size would: 3 where a limit is passed",
		Long: `Measures slopes, each at four sizes or more and five runs, with the program's own code, fits each as what it is (constant,
linear, n log n, square), and puts a target's figures into them: each role's cost beside its limit. Processor time is that of the
process, since the machine may have other work. Takes minutes; --quick sees whether it runs, and its figures are no measurements.

Exit status: 3 where a limit is passed, 2 where the target can't be read, 1 where a row can't be measured.`,
		RunE: func(c *cobra.Command, _ []string) error {
			if update != "" && (quick || from != "" || out != "") {
				return cli.UsageError(errors.New("--update goes with neither --quick nor --from nor --out"))
			}
			t, err := capacity.ReadTarget(target)
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			var r, stood *capacity.Result
			if update != "" { // before minutes of measuring
				if stood, err = capacity.ReadResult(update); err != nil {
					return cli.UsageError(err)
				}
			}
			if from != "" {
				if r, err = capacity.ReadResult(from); err != nil {
					return cli.UsageError(err)
				}
			} else if r, err = p.capacity(c, only, quick); err != nil {
				return err
			}
			if stood != nil {
				if err := stood.Merge(r); err != nil {
					return cli.UsageError(err)
				}
				r, out = stood, update
			}
			if out != "" {
				if err := os.WriteFile(out, r.Encode(), 0o644); err != nil {
					return err
				}
			}
			text := capacity.Render(r, t)
			fmt.Fprint(c.OutOrStdout(), text)
			if page != "" {
				if err := rewrite(page, text); err != nil {
					return cli.UsageError(err)
				}
			}
			if over := capacity.OverLimit(capacity.Costs(r.Slopes, t)); len(over) > 0 {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d costs pass their limits", len(over)), Silent: true}
			}
			return nil
		}}
	c.Flags().StringVar(&target, "target", filepath.Join("experiments", "capacity", "target.toml"), "the size that is planned")
	c.Flags().StringVar(&only, "only", "", "measure only rows whose names begin so")
	c.Flags().BoolVar(&quick, "quick", false, "few runs at small sizes: does it run, no more")
	c.Flags().StringVar(&out, "out", "", "write what was measured to a file")
	c.Flags().StringVar(&from, "from", "", "measure nothing: tell what a file of --out means for the target")
	c.Flags().StringVar(&update, "update", "", "put what was measured in the place of what stood in a file of --out")
	c.Flags().StringVar(&page, "page", "", "put the tables between the marks of this page, too")
	c.Flags().StringVar(&p.pearknot, "pearknot", "", "the node's program; else the one beside this, else it is built")
	return c
}

func (p *plan) capacity(c *cobra.Command, only string, quick bool) (*capacity.Result, error) {
	start, clean, err := p.command(c.Context(), "cda")
	if err != nil {
		return nil, err
	}
	defer clean()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	b := &capacity.Bench{NodeCommand: start, LabCommand: []string{self}, RunDuration: 1500 * time.Millisecond, Runs: 5, Progress: c.ErrOrStderr()}
	if quick {
		b.RunDuration, b.Runs, b.IsQuick = 150*time.Millisecond, 1, true
	}
	begun := time.Now()
	r, err := capacity.Measure(c.Context(), b, only)
	if errors.Is(err, capacity.ErrUnknownRow) {
		return nil, cli.UsageError(err)
	}
	own, child := capacity.PeakMemory()
	fmt.Fprintf(c.ErrOrStderr(), "%.0f s; most memory held: %.0f MB here, %.0f MB in a process of the program\n", time.Since(begun).Seconds(), own, child)
	return r, err
}

func rewrite(page, text string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	changed, _, err := capacity.ReplaceTables(string(data), text)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(changed), 0o644)
}
