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

// eachRecord calls handle for each record of a capture. A truncated segment is reported on standard error and is not an
// error.
func eachRecord(command *cobra.Command, path string, handle func(capture.Record) error) error {
	files, err := capture.Segments(path)
	if err != nil {
		return cli.UsageError(err)
	}
	for _, file := range files {
		err := capture.Read(file, handle)
		var truncated *capture.TruncatedError
		var corrupt *capture.CorruptError
		switch {
		case errors.As(err, &truncated):
			fmt.Fprintln(command.ErrOrStderr(), truncated)
		case errors.As(err, &corrupt):
			return cli.UsageError(corrupt)
		case err != nil:
			return err
		}
	}
	return nil
}

// dumpTimeout limits how long a node may take to write its in-memory capture to a file.
const dumpTimeout = 30 * time.Second

// errDecisionsDiffer is returned by a replay that has printed the first difference.
var errDecisionsDiffer = &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("decisions differ"), Silent: true}

// replayOptions holds the flags of the replay command.
type replayOptions struct {
	times   int
	from    float64 // ms of the capture; 0 for its start
	against string  // program of another build
}

// replayCommand returns the command that replays a capture and compares the decisions.
func replayCommand() *cobra.Command {
	var options replayOptions
	command := &cobra.Command{
		Use:   "replay FILE|DIR",
		Short: "Replay a capture and compare each decision with it",
		Long: `replay passes the recorded inputs to the balancer and compares every decision with the recorded one, bit for bit.

Exit status: 0 all match, 2 the capture can't be read, 3 the first difference is printed, with the inputs of its batch.`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return replay(command, args[0], options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.times, "times", 1, "number of replays")
	flags.Float64Var(&options.from, "from", 0,
		"begin at the latest start or snapshot up to this time, in the capture's ms")
	flags.StringVar(&options.against, "against", "", "program of another build, whose balancer makes the decisions")
	return command
}

func replay(command *cobra.Command, path string, options replayOptions) error {
	if options.times < 1 {
		return cli.UsageError(fmt.Errorf("--times %d is below 1", options.times))
	}
	if options.against != "" {
		return replayAgainst(command, options.against, path)
	}
	skip, err := firstReplayable(command, path, options.from)
	if err != nil {
		return err
	}
	for range options.times {
		if err := replayOnce(command, path, skip); err != nil {
			return err
		}
	}
	return nil
}

// replayOnce replays a capture after its first skip records, and prints what was verified or the first difference.
func replayOnce(command *cobra.Command, path string, skip int) error {
	replayer := &capture.Replayer{Skip: skip, Strict: true}
	startedAt := time.Now()
	err := eachRecord(command, path, replayer.Feed)
	var mismatch *capture.MismatchError
	if errors.As(err, &mismatch) {
		fmt.Fprintln(command.OutOrStdout(), mismatch)
		return errDecisionsDiffer
	}
	if err != nil {
		return err
	}
	result := replayer.Result
	fmt.Fprintf(command.OutOrStdout(), "%d decisions match in %d records, from %d starts and %d snapshots, "+
		"%.1f s of time in %.2f s; %d records missing in %d gaps, %d records not verified\n",
		result.Decisions, result.Records, result.Epochs, result.Restored,
		(result.To-result.From)/1e3, time.Since(startedAt).Seconds(),
		result.MissingRecords, result.Gaps, result.Unverified)
	if result.Decisions == 0 {
		err := errors.New("nothing could be verified: the capture has no start")
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	}
	return nil
}

// firstReplayable returns the number of records before the latest start or snapshot up to a time, where a replay may
// begin.
func firstReplayable(command *cobra.Command, path string, from float64) (skip int, err error) {
	if from <= 0 {
		return 0, nil
	}
	count, isFound, earliest := 0, false, 0.0
	err = eachRecord(command, path, func(record capture.Record) error {
		if record.Kind == capture.Begin || record.Kind == capture.Snapshot {
			if record.Now <= from {
				skip, isFound = count, true
			} else if earliest == 0 {
				earliest = record.Now
			}
		}
		count++
		return nil
	})
	if err == nil && !isFound {
		err = cli.UsageError(fmt.Errorf("--from %.3f: the first start or snapshot is at %.3f", from, earliest))
	}
	return skip, err
}

// explainCommand returns the command that explains the balancer's decisions about one request.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain FILE|DIR REQUEST",
		Short: "Explain the balancer's decisions about a request, with its own reasons",
		Long: `explain replays the capture and prints, for each decision about the request, the backends that the balancer considered, what it
expected of each at that moment, and why it was passed over. REQUEST is the request's number in the capture, or x followed by its
ID, both as 'capture cat' prints them: 12 or x9b1f03aa.`,
		Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return explain(command, args[0], args[1])
		},
	}
}

func explain(command *cobra.Command, path, request string) error {
	number, err := requestNumber(command, path, request)
	if err != nil {
		return err
	}
	explainer := &capture.Explainer{RequestNumber: number, Out: command.OutOrStdout()}
	if err := eachRecord(command, path, explainer.Feed); err != nil {
		return err
	}
	if !explainer.Found() {
		err := fmt.Errorf("request %s is not in the part that can be replayed", request)
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	}
	return nil
}

// requestNumber returns the number of a request that is given by its number, or by x and its ID in hexadecimal. It
// is 0 if no request of the capture has the ID.
func requestNumber(command *cobra.Command, path, request string) (uint64, error) {
	text, isID := strings.CutPrefix(request, "x")
	base := 10
	if isID {
		base = 16
	}
	value, err := strconv.ParseUint(text, base, 64)
	if err != nil {
		return 0, cli.UsageError(fmt.Errorf("request %q is neither a number nor x and an ID", request))
	}
	if !isID {
		return value, nil
	}
	number := uint64(0)
	err = eachRecord(command, path, func(record capture.Record) error {
		if record.Kind == capture.RequestArrived && record.ID == value && number == 0 {
			number = record.Request
		}
		return nil
	})
	return number, err
}

// replayAgainst replays the capture with another build's program, which prints the first difference.
func replayAgainst(command *cobra.Command, program, path string) error {
	other := exec.CommandContext(command.Context(), program, "replay", path)
	other.Stdout, other.Stderr = command.OutOrStdout(), command.ErrOrStderr()
	err := other.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &exit) && exit.ExitCode() == cli.StatusCheckFailed:
		return errDecisionsDiffer
	}
	return fmt.Errorf("%s replay: %w", program, err)
}

// captureCommand returns the commands that list, print, copy, dump and verify captures.
func captureCommand() *cobra.Command {
	root := &cobra.Command{Use: "capture", Short: "List, print, copy, dump and verify captures"}
	root.AddCommand(
		captureListCommand(),
		captureCatCommand(),
		captureCutCommand(),
		captureDumpCommand(),
		captureVerifyCommand(),
	)
	return root
}

func captureListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ls FILE|DIR",
		Short: "List the segments with their sizes, times and record counts",
		Args:  cobra.ExactArgs(1),
		RunE:  listSegments,
	}
}

func listSegments(command *cobra.Command, args []string) error {
	files, err := capture.Segments(args[0])
	if err != nil {
		return cli.UsageError(err)
	}
	table := tabwriter.NewWriter(command.OutOrStdout(), 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "segment\tbytes\trecords\trequests\tstarts\tmissing\tfrom\tto\tends")
	for _, file := range files {
		var summary segmentSummary
		end := "complete"
		if err := capture.Read(file, summary.add); err != nil {
			end = err.Error()
		}
		info, err := os.Stat(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%s\n",
			file, info.Size(), summary.records, summary.requests, summary.starts, summary.missing,
			summary.from, summary.to, end)
	}
	return table.Flush()
}

// segmentSummary counts the records of a segment.
type segmentSummary struct {
	records, requests, starts, missing uint64
	from, to                           float64 // ms
}

func (s *segmentSummary) add(record capture.Record) error {
	s.records++
	switch record.Kind {
	case capture.RequestArrived:
		s.requests++
	case capture.Begin:
		s.starts++
	case capture.Gap:
		s.missing += record.Count
	}
	if s.from == 0 {
		s.from = record.Now
	}
	s.to = max(s.to, record.Now)
	return nil
}

func captureCatCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cat FILE|DIR",
		Short: "Print the records, one per line; late ones are marked",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var notes capture.LateArrivalDetector
			return eachRecord(command, args[0], func(record capture.Record) error {
				line := record.String()
				if note := notes.Check(record); note != "" {
					line += "   <- " + note
				}
				_, err := io.WriteString(command.OutOrStdout(), line+"\n")
				return err
			})
		},
	}
}

// cutOptions holds the flags of the capture cut command.
type cutOptions struct {
	from, to float64 // ms of the capture
	out      string
}

func captureCutCommand() *cobra.Command {
	var options cutOptions
	command := &cobra.Command{
		Use:   "cut FILE|DIR --from T --to T --out FILE",
		Short: "Copy a part of a capture that can be replayed by itself",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return cutCapture(command, args[0], options)
		},
	}
	flags := command.Flags()
	flags.Float64Var(&options.from, "from", 0,
		"from the latest start or snapshot up to this time, in the capture's ms")
	flags.Float64Var(&options.to, "to", math.Inf(1), "up to this time")
	flags.StringVar(&options.out, "out", "", "file to write")
	_ = command.MarkFlagRequired("out")
	return command
}

func cutCapture(command *cobra.Command, path string, options cutOptions) error {
	skip, err := firstReplayable(command, path, options.from)
	if err != nil {
		return err
	}
	var selected [][]byte
	count := 0
	err = eachRecord(command, path, func(record capture.Record) error {
		if count++; count > skip && record.Now <= options.to {
			selected = append(selected, capture.Frame(record))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(selected) == 0 {
		return cli.UsageError(fmt.Errorf("nothing from %.3f to %.3f", options.from, options.to))
	}
	fmt.Fprintf(command.OutOrStdout(), "%d records\n", len(selected))
	return capture.Write(options.out, selected)
}

func captureDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump SOCKET",
		Short: "Have a node write its in-memory capture to a file, through its control socket",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], dumpTimeout)
			var file controlsocket.CaptureFile
			err := client.Call(command.Context(), http.MethodPost, controlsocket.CapturePath, nil, &file)
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), file.Name)
			return nil
		},
	}
}

func captureVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE|DIR",
		Short: "Read all segments and check all checksums",
		Args:  cobra.ExactArgs(1),
		RunE:  verifySegments,
	}
}

func verifySegments(command *cobra.Command, args []string) error {
	files, err := capture.Segments(args[0])
	if err != nil {
		return cli.UsageError(err)
	}
	damaged, records := 0, 0
	countRecord := func(capture.Record) error {
		records++
		return nil
	}
	for _, file := range files {
		if err := capture.Read(file, countRecord); err != nil {
			damaged++
			fmt.Fprintln(command.OutOrStdout(), err)
		}
	}
	fmt.Fprintf(command.OutOrStdout(), "%d segments, %d complete records, %d damaged segments\n",
		len(files), records, damaged)
	if damaged > 0 {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New("damaged"), Silent: true}
	}
	return nil
}
