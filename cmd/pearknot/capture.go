package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/capture"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
)

// eachRecord hands on all records of a capture. A segment that was cut short is told of and is no error.
func eachRecord(c *cobra.Command, path string, f func(capture.Record) error) error {
	files, err := capture.Segments(path)
	if err != nil {
		return cli.UsageError(err)
	}
	for _, file := range files {
		err := capture.Read(file, f)
		var cut *capture.TruncatedError
		var damaged *capture.CorruptError
		switch {
		case errors.As(err, &cut):
			fmt.Fprintln(c.ErrOrStderr(), cut)
		case errors.As(err, &damaged):
			return cli.UsageError(damaged)
		case err != nil:
			return err
		}
	}
	return nil
}

// dumpWithin is how long a node may take to write its memory out.
const dumpWithin = 30 * time.Second

func replayCommand() *cobra.Command {
	times, against, from := 1, "", 0.0
	c := &cobra.Command{Use: "replay FILE|DIR", Short: "Play a capture to the module and hold each decision against it", Args: cobra.ExactArgs(1),
		Long: `replay tells the module what it was told then, and holds every decision against the captured one, bit for bit.

Exit status: 0 all match, 2 the capture can't be read, 3 the first difference is printed, with its batch.`,
		RunE: func(c *cobra.Command, args []string) error {
			if times < 1 {
				return cli.UsageError(fmt.Errorf("--times %d is below 1", times))
			}
			if against != "" {
				return replayAgainst(c, against, args[0])
			}
			skip, err := beginning(c, args[0], from)
			if err != nil {
				return err
			}
			for range times {
				p := &capture.Replayer{Skip: skip, Strict: true}
				begun := time.Now()
				if err := eachRecord(c, args[0], p.Feed); err != nil {
					var d *capture.MismatchError
					if errors.As(err, &d) {
						fmt.Fprintln(c.OutOrStdout(), d)
						return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("decisions differ"), Silent: true}
					}
					return err
				}
				x := p.Result
				fmt.Fprintf(c.OutOrStdout(), "%d decisions match in %d records, from %d starts and %d snapshots, %.1f s of time in %.2f s; %d records missing in %d gaps, of %d nothing is claimed\n",
					x.Decisions, x.Records, x.Epochs, x.Restored, (x.To-x.From)/1e3, time.Since(begun).Seconds(), x.MissingRecords, x.Gaps, x.Unverified)
				if x.Decisions == 0 {
					return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("nothing could be claimed: no start stands in the capture")}
				}
			}
			return nil
		}}
	c.Flags().IntVar(&times, "times", 1, "so many times")
	c.Flags().Float64Var(&from, "from", 0, "begin at the latest start or snapshot up to this time, in the capture's ms")
	c.Flags().StringVar(&against, "against", "", "another build's program, whose module is to decide")
	return c
}

// beginning is the number of records before the latest one up to a time from which a replay may begin.
func beginning(c *cobra.Command, path string, from float64) (skip int, err error) {
	if from <= 0 {
		return 0, nil
	}
	n, found, first := 0, false, 0.0
	err = eachRecord(c, path, func(r capture.Record) error {
		if r.Kind == capture.Begin || r.Kind == capture.Snapshot {
			if r.Now <= from {
				skip, found = n, true
			} else if first == 0 {
				first = r.Now
			}
		}
		n++
		return nil
	})
	if err == nil && !found {
		err = cli.UsageError(fmt.Errorf("--from %.3f: the first start or snapshot is at %.3f", from, first))
	}
	return skip, err
}

// explainCommand tells why one op went where it went.
func explainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain FILE|DIR OP", Short: "Tell why an op went where it went, by the module's own reasons", Args: cobra.ExactArgs(2),
		Long: `explain plays the capture to the module and listens when it looks for a backend for the op: each one that it looked at, what it
believed of it at that moment, and the reason why it was passed over. OP is the op's number in the capture, or its name with
an x before it, both as 'capture cat' has them: 12 or x9b1f03aa.`,
		RunE: func(c *cobra.Command, args []string) error {
			text, named := strings.CutPrefix(args[1], "x")
			number, err := strconv.ParseUint(text, map[bool]int{true: 16, false: 10}[named], 64)
			if err != nil {
				return cli.UsageError(fmt.Errorf("op %q is neither a number nor x and a name", args[1]))
			}
			if named {
				ref := number
				number = 0
				if err := eachRecord(c, args[0], func(r capture.Record) error {
					if r.Kind == capture.RequestArrived && r.ID == ref && number == 0 {
						number = r.Request
					}
					return nil
				}); err != nil {
					return err
				}
			}
			e := &capture.Explainer{RequestNumber: number, Out: c.OutOrStdout()}
			if err := eachRecord(c, args[0], e.Feed); err != nil {
				return err
			}
			if !e.Found() {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("op %s is not in what can be played", args[1])}
			}
			return nil
		}}
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
	case errors.As(err, &exit) && exit.ExitCode() == cli.StatusCheckFailed:
		return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("decisions differ"), Silent: true}
	}
	return fmt.Errorf("%s replay: %w", program, err)
}

func captureCommand() *cobra.Command {
	root := &cobra.Command{Use: "capture", Short: "Look into captures"}
	root.AddCommand(&cobra.Command{Use: "ls FILE|DIR", Short: "The segments: sizes, times, records", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := capture.Segments(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 2, 8, 2, ' ', 0)
			fmt.Fprintln(w, "segment\tbytes\trecords\tops\tstarts\tmissing\tfrom\tto\tends")
			for _, file := range files {
				var records, ops, starts, missing uint64
				from, to := 0.0, 0.0
				err := capture.Read(file, func(r capture.Record) error {
					records++
					switch r.Kind {
					case capture.RequestArrived:
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
	root.AddCommand(&cobra.Command{Use: "cat FILE|DIR", Short: "The records, a line each; what came late is marked", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var notes capture.LateNotes
			return eachRecord(c, args[0], func(r capture.Record) error {
				line := r.String()
				if note := notes.Note(r); note != "" {
					line += "   <- " + note
				}
				_, err := io.WriteString(c.OutOrStdout(), line+"\n")
				return err
			})
		}})
	from, to, out := 0.0, 0.0, ""
	cut := &cobra.Command{Use: "cut FILE|DIR --from T --to T --out FILE", Short: "A part of a capture that can be replayed for itself", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			skip, err := beginning(c, args[0], from)
			if err != nil {
				return err
			}
			var kept [][]byte
			n := 0
			if err := eachRecord(c, args[0], func(r capture.Record) error {
				if n++; n > skip && r.Now <= to {
					kept = append(kept, capture.Frame(r))
				}
				return nil
			}); err != nil {
				return err
			}
			if len(kept) == 0 {
				return cli.UsageError(fmt.Errorf("nothing from %.3f to %.3f", from, to))
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", len(kept))
			return capture.Write(out, kept)
		}}
	cut.Flags().Float64Var(&from, "from", 0, "from the latest start or snapshot up to this time, in the capture's ms")
	cut.Flags().Float64Var(&to, "to", math.Inf(1), "up to this time")
	cut.Flags().StringVar(&out, "out", "", "file to write")
	_ = cut.MarkFlagRequired("out")
	dump := &cobra.Command{Use: "dump SOCKET", Short: "Have a node write out the capture that it holds in memory, by its control socket", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var w controlsocket.CaptureFile
			if err := controlsocket.NewClient(args[0], dumpWithin).Call(c.Context(), http.MethodPost, controlsocket.CapturePath, nil, &w); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), w.Name)
			return nil
		}}
	root.AddCommand(cut, dump)
	root.AddCommand(&cobra.Command{Use: "verify FILE|DIR", Short: "Read all, check all checksums", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := capture.Segments(args[0])
			if err != nil {
				return cli.UsageError(err)
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
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("not whole"), Silent: true}
			}
			return nil
		}})
	return root
}
