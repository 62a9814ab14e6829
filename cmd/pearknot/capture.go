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

// eachRecord calls f with all records of a capture. A truncated segment is reported on standard error and is no error.
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

// dumpTimeout is how long a node may take to write its memory out.
const dumpTimeout = 30 * time.Second

func replayCommand() *cobra.Command {
	times, against, from := 1, "", 0.0
	c := &cobra.Command{Use: "replay FILE|DIR", Short: "Replay a capture and compare each decision with it", Args: cobra.ExactArgs(1),
		Long: `replay passes the recorded inputs to the balancer and compares every decision with the recorded one, bit for bit.

Exit status: 0 all match, 2 the capture can't be read, 3 the first difference is printed, with the inputs of its batch.`,
		RunE: func(c *cobra.Command, args []string) error {
			if times < 1 {
				return cli.UsageError(fmt.Errorf("--times %d is below 1", times))
			}
			if against != "" {
				return replayAgainst(c, against, args[0])
			}
			skip, err := firstReplayable(c, args[0], from)
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
				fmt.Fprintf(c.OutOrStdout(), "%d decisions match in %d records, from %d starts and %d snapshots, %.1f s of time in %.2f s; %d records missing in %d gaps, %d records not verified\n",
					x.Decisions, x.Records, x.Epochs, x.Restored, (x.To-x.From)/1e3, time.Since(begun).Seconds(), x.MissingRecords, x.Gaps, x.Unverified)
				if x.Decisions == 0 {
					return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("nothing could be verified: the capture has no start")}
				}
			}
			return nil
		}}
	c.Flags().IntVar(&times, "times", 1, "how often to replay")
	c.Flags().Float64Var(&from, "from", 0, "begin at the latest start or snapshot up to this time, in the capture's ms")
	c.Flags().StringVar(&against, "against", "", "another build's program, whose balancer is to decide")
	return c
}

// firstReplayable returns the number of records before the latest start or snapshot up to a time, where a replay may begin.
func firstReplayable(c *cobra.Command, path string, from float64) (skip int, err error) {
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

// explainCommand prints why one request went where it went.
func explainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain FILE|DIR REQUEST", Short: "Print why a request went where it went, by the balancer's own reasons", Args: cobra.ExactArgs(2),
		Long: `explain replays the capture and prints, for each decision about the request, the backends that the balancer considered, what it
expected of each at that moment, and why it was passed over. REQUEST is the request's number in the capture, or its ID with an x before
it, both as 'capture cat' prints them: 12 or x9b1f03aa.`,
		RunE: func(c *cobra.Command, args []string) error {
			text, named := strings.CutPrefix(args[1], "x")
			number, err := strconv.ParseUint(text, map[bool]int{true: 16, false: 10}[named], 64)
			if err != nil {
				return cli.UsageError(fmt.Errorf("request %q is neither a number nor x and an ID", args[1]))
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
				return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("request %s is not in the part that can be replayed", args[1])}
			}
			return nil
		}}
}

// replayAgainst replays the capture with another build's program, which prints the first difference.
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
			fmt.Fprintln(w, "segment\tbytes\trecords\trequests\tstarts\tmissing\tfrom\tto\tends")
			for _, file := range files {
				var records, requests, starts, missing uint64
				from, to := 0.0, 0.0
				err := capture.Read(file, func(r capture.Record) error {
					records++
					switch r.Kind {
					case capture.RequestArrived:
						requests++
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
				ends := "complete"
				if err != nil {
					ends = err.Error()
				}
				info, err := os.Stat(file)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%s\n", file, info.Size(), records, requests, starts, missing, from, to, ends)
			}
			return w.Flush()
		}})
	root.AddCommand(&cobra.Command{Use: "cat FILE|DIR", Short: "The records, a line each; late ones are marked", Args: cobra.ExactArgs(1),
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
	cut := &cobra.Command{Use: "cut FILE|DIR --from T --to T --out FILE", Short: "Copy a part of a capture that can be replayed by itself", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			skip, err := firstReplayable(c, args[0], from)
			if err != nil {
				return err
			}
			var selected [][]byte
			n := 0
			if err := eachRecord(c, args[0], func(r capture.Record) error {
				if n++; n > skip && r.Now <= to {
					selected = append(selected, capture.Frame(r))
				}
				return nil
			}); err != nil {
				return err
			}
			if len(selected) == 0 {
				return cli.UsageError(fmt.Errorf("nothing from %.3f to %.3f", from, to))
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", len(selected))
			return capture.Write(out, selected)
		}}
	cut.Flags().Float64Var(&from, "from", 0, "from the latest start or snapshot up to this time, in the capture's ms")
	cut.Flags().Float64Var(&to, "to", math.Inf(1), "up to this time")
	cut.Flags().StringVar(&out, "out", "", "file to write")
	_ = cut.MarkFlagRequired("out")
	dump := &cobra.Command{Use: "dump SOCKET", Short: "Have a node write its capture in memory to a file, by its control socket", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var w controlsocket.CaptureFile
			if err := controlsocket.NewClient(args[0], dumpTimeout).Call(c.Context(), http.MethodPost, controlsocket.CapturePath, nil, &w); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), w.Name)
			return nil
		}}
	root.AddCommand(cut, dump)
	root.AddCommand(&cobra.Command{Use: "verify FILE|DIR", Short: "Read all segments and check all checksums", Args: cobra.ExactArgs(1),
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
			fmt.Fprintf(c.OutOrStdout(), "%d segments, %d complete records, %d damaged segments\n", len(files), n, bad)
			if bad > 0 {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("damaged"), Silent: true}
			}
			return nil
		}})
	return root
}
