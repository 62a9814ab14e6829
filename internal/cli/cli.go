// Package cli is what the project's command lines have in common: exit statuses, errors that mean one, the version.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"pearknot/internal/tomlfile"
)

// Exit statuses.
const (
	StatusOK          = 0
	StatusFailed      = 1
	StatusUsage       = 2 // the command line or an operator's file can't be read
	StatusCheckFailed = 3 // a check says no: a rule was broken, something differs, another's change came first
)

// Error is an error with the exit status that it means; a silent one has been told already.
type Error struct {
	Status int
	Err    error
	Silent bool
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Exit tells an error in one line and gives its exit status.
func Exit(program string, err error, errs io.Writer) int {
	var status *Error
	var odd *tomlfile.Error
	switch {
	case err == nil:
		return StatusOK
	case errors.As(err, &status) && status.Silent:
		return status.Status
	case errors.As(err, &odd):
		fmt.Fprintln(errs, err) // begins with its place
		return StatusUsage
	case errors.Is(err, context.Canceled):
		err = errors.New("interrupted")
	}
	fmt.Fprintf(errs, "%s: %s\n", program, strings.SplitN(err.Error(), "\n", 2)[0])
	if status != nil {
		return status.Status
	}
	for _, start := range []string{"unknown command", "accepts ", "requires ", "required flag"} { // the library's own
		if strings.HasPrefix(err.Error(), start) {
			return StatusUsage
		}
	}
	return StatusFailed
}

// Version is the build's.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// Usage is an error of the command line, or of a file that it names.
func UsageError(err error) error { return &Error{Status: StatusUsage, Err: err} }

// Missing is Usage for a file that isn't there, and any other error itself.
func UsageIfNotExist(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return UsageError(err)
	}
	return err
}
