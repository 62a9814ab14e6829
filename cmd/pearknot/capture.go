package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/capture"
	"pearknot/internal/command"
)

// eachRecord hands on all records of a capture. A segment that was cut short is told of and is no error.
func eachRecord(c *cobra.Command, path string, f func(capture.Record) error) error {
	files, err := capture.Segments(path)
	if err != nil {
		return command.Usage(err)
	}
	for _, file := range files {
		err := capture.Read(file, f)
		var cut *capture.Cut
		var damaged *capture.Damaged
		switch {
		case errors.As(err, &cut):
			fmt.Fprintln(c.ErrOrStderr(), cut)
		case errors.As(err, &damaged):
			return command.Usage(damaged)
		case err != nil:
			return err
		}
	}
	return nil
}

func replayCommand() *cobra.Command {
	times, against := 1, ""
	c := &cobra.Command{Use: "replay FILE|DIR", Short: "Play a capture to the module and hold each decision against it", Args: cobra.ExactArgs(1),
		Long: `replay tells the module what it was told then, and holds every decision against the captured one, bit for bit.

Exit status: 0 all match, 2 the capture can't be read, 3 the first difference is printed, with its batch.`,
		RunE: func(c *cobra.Command, args []string) error {
			if times < 1 {
				return command.Usage(fmt.Errorf("--times %d is below 1", times))
			}
			if against != "" {
				return replayAgainst(c, against, args[0])
			}
			for range times {
				p := &capture.Replayer{}
				begun := time.Now()
				if err := eachRecord(c, args[0], p.Feed); err != nil {
					var d *capture.Difference
					if errors.As(err, &d) {
						fmt.Fprintln(c.OutOrStdout(), d)
						return &command.Error{Status: command.No, Err: errors.New("decisions differ"), Silent: true}
					}
					return err
				}
				x := p.Claim
				fmt.Fprintf(c.OutOrStdout(), "%d decisions match in %d records of %d starts, %.1f s of time in %.2f s; %d records missing in %d gaps, of %d nothing is claimed\n",
					x.Decisions, x.Records, x.Epochs, (x.To-x.From)/1e3, time.Since(begun).Seconds(), x.Missing, x.Gaps, x.Unclaimed)
				if x.Decisions == 0 {
					return &command.Error{Status: command.No, Err: errors.New("nothing could be claimed: no start stands in the capture")}
				}
			}
			return nil
		}}
	c.Flags().IntVar(&times, "times", 1, "so many times")
	c.Flags().StringVar(&against, "against", "", "another build's program, whose module is to decide")
	return c
}

// replayAgainst has another build's module decide on the same capture: it says where it first does otherwise.
func replayAgainst(c *cobra.Command, program, path string) error {
	other := exec.CommandContext(c.Context(), program, "replay", path)
	other.Stdout, other.Stderr = c.OutOrStdout(), c.ErrOrStderr()
	err := other.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &exit) && exit.ExitCode() == command.No:
		return &command.Error{Status: command.No, Err: errors.New("decisions differ"), Silent: true}
	}
	return fmt.Errorf("%s replay: %w", program, err)
}

func captureCommand() *cobra.Command {
	root := &cobra.Command{Use: "capture", Short: "Look into captures"}
	root.AddCommand(&cobra.Command{Use: "ls FILE|DIR", Short: "The segments: sizes, times, records", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := capture.Segments(args[0])
			if err != nil {
				return command.Usage(err)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 2, 8, 2, ' ', 0)
			fmt.Fprintln(w, "segment\tbytes\trecords\tops\tstarts\tmissing\tfrom\tto\tends")
			for _, file := range files {
				var records, ops, starts, missing uint64
				from, to := 0.0, 0.0
				err := capture.Read(file, func(r capture.Record) error {
					records++
					switch r.Kind {
					case capture.Arrived:
						ops++
					case capture.Begin:
						starts++
					case capture.Gap:
						missing += r.Count
					}
					if from == 0 {
						from = r.Now
					}
					to = max(to, r.Now)
					return nil
				})
				ends := "whole"
				if err != nil {
					ends = err.Error()
				}
				info, err := os.Stat(file)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%s\n", file, info.Size(), records, ops, starts, missing, from, to, ends)
			}
			return w.Flush()
		}})
	root.AddCommand(&cobra.Command{Use: "cat FILE|DIR", Short: "The records, a line each", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return eachRecord(c, args[0], func(r capture.Record) error {
				_, err := io.WriteString(c.OutOrStdout(), r.String()+"\n")
				return err
			})
		}})
	root.AddCommand(&cobra.Command{Use: "verify FILE|DIR", Short: "Read all, check all checksums", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := capture.Segments(args[0])
			if err != nil {
				return command.Usage(err)
			}
			bad, n := 0, 0
			for _, file := range files {
				if err := capture.Read(file, func(capture.Record) error { n++; return nil }); err != nil {
					bad++
					fmt.Fprintln(c.OutOrStdout(), err)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d segments, %d records whole, %d segments that are not\n", len(files), n, bad)
			if bad > 0 {
				return &command.Error{Status: command.No, Err: errors.New("not whole"), Silent: true}
			}
			return nil
		}})
	return root
}
