// Command pearknot-lab tries pearknot: it plays a fleet with its troubles, in virtual time or with real processes on
// loopback, judges the rules, and measures how service comes back.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pearknot/internal/strict"
)

// Exit statuses.
const (
	done     = 0
	failed   = 1 // something of the lab's own, or the run was ended
	unread   = 2 // the command line or a file can't be read
	breached = 3 // a rule was broken, or compare found a difference
)

// statusError is an error with its exit status.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run gives the exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "pearknot-lab", Short: "Stand-in fleets, troubles on a schedule, and one judge of the rules",
		Long: `pearknot-lab plays experiments: a fleet, its load and a schedule of troubles, from a TOML file (see experiments/).
All backends, clients and lists are stand-ins; figures are no measurements of real machines.

Exit status: 0 done and all rules kept, 1 failed or interrupted, 2 the command line or a file can't be read,
3 a rule was broken.`,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &statusError{unread, err} })
	root.AddCommand(demoCommand(), runCommand(), sweepCommand(), compareCommand(), searchCommand(), reportCommand(), fleetCommand(), instancesCommand(), nodeCommand())
	err := root.ExecuteContext(ctx)
	var status *statusError
	var odd *strict.Error
	switch {
	case err == nil:
		return done
	case errors.As(err, &status):
		if status.err != errBroken {
			fmt.Fprintln(errs, "pearknot-lab:", err)
		}
		return status.status
	case errors.As(err, &odd):
		fmt.Fprintln(errs, err) // begins with its place
		return unread
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(errs, "pearknot-lab: interrupted")
		return failed
	}
	fmt.Fprintln(errs, "pearknot-lab:", err)
	if isUsage(err) {
		return unread
	}
	return failed
}

// errBroken says nothing more than the report before it.
var errBroken = errors.New("a rule was broken")

// isUsage tells cobra's own complaints of a command line.
func isUsage(err error) bool {
	for _, start := range []string{"unknown command", "accepts ", "requires ", "required flag"} {
		if len(err.Error()) >= len(start) && err.Error()[:len(start)] == start {
			return true
		}
	}
	return errors.Is(err, os.ErrNotExist)
}
