// Package cli holds what the project's commands share: exit statuses, errors that carry one, and the version.
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
	StatusCheckFailed = 3 // a check failed: a rule was broken, something differs, another change came first
)

// Error is an error with an exit status.
type Error struct {
	Status int
	Err    error
	Silent bool // the command has already printed the error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the error without its status.
func (e *Error) Unwrap() error { return e.Err }

// UsageError wraps err as an error in the command line or in a file that it names.
func UsageError(err error) error { return &Error{Status: StatusUsage, Err: err} }

// UsageIfNotExist returns a UsageError if err says that a file does not exist, and err itself otherwise.
func UsageIfNotExist(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return UsageError(err)
	}
	return err
}

// usagePrefixes are the prefixes of the errors that cobra returns for a wrong command line. It has no types for them.
var usagePrefixes = []string{"unknown command", "accepts ", "requires ", "required flag"}

// Exit prints an error in one line and returns its exit status. err may be nil.
func Exit(program string, err error, stderr io.Writer) int {
	if err == nil {
		return StatusOK
	}
	var withStatus *Error
	hasStatus := errors.As(err, &withStatus)
	if hasStatus && withStatus.Silent {
		return withStatus.Status
	}
	var fileError *tomlfile.Error
	if errors.As(err, &fileError) {
		fmt.Fprintln(stderr, err) // without the program's name: editors expect file:line:column first
		return StatusUsage
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("interrupted")
	}
	firstLine, _, _ := strings.Cut(err.Error(), "\n")
	fmt.Fprintf(stderr, "%s: %s\n", program, firstLine)
	switch {
	case hasStatus:
		return withStatus.Status
	case isCommandLineError(err):
		return StatusUsage
	}
	return StatusFailed
}

func isCommandLineError(err error) bool {
	for _, prefix := range usagePrefixes {
		if strings.HasPrefix(err.Error(), prefix) {
			return true
		}
	}
	return false
}

// Version returns the build's version.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
