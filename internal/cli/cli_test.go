package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"pearknot/internal/tomlfile"
)

// Each kind of error yields its exit status, which scripts rely on, and a single line for operators.
func TestExit(t *testing.T) {
	fileError := &tomlfile.Error{File: "f.toml", Line: 2, Column: 3, Message: "unknown key x"}
	for _, c := range []struct {
		name   string
		err    error
		status int
		stderr string
	}{
		{"none", nil, StatusOK, ""},
		{"plain", errors.New("no route"), StatusFailed, "program: no route\n"},
		{"several lines", errors.New("no route\nto host"), StatusFailed, "program: no route\n"},
		{"usage", UsageError(errors.New("no such node")), StatusUsage, "program: no such node\n"},
		{"check failed", &Error{Status: StatusCheckFailed, Err: errors.New("differs")}, StatusCheckFailed, "program: differs\n"},
		{"printed before", &Error{Status: StatusCheckFailed, Err: errors.New("differs"), Silent: true}, StatusCheckFailed, ""},
		{"operator's file", fmt.Errorf("read: %w", fileError), StatusUsage, "read: f.toml:2:3: unknown key x\n"},
		{"interrupted", fmt.Errorf("wait: %w", context.Canceled), StatusFailed, "program: interrupted\n"},
		{"command line", errors.New("unknown command \"x\""), StatusUsage, "program: unknown command \"x\"\n"},
		{"missing file", UsageIfNotExist(&os.PathError{Op: "open", Path: "f", Err: os.ErrNotExist}), StatusUsage, "program: open f: file does not exist\n"},
		{"unreadable file", UsageIfNotExist(&os.PathError{Op: "open", Path: "f", Err: os.ErrPermission}), StatusFailed, "program: open f: permission denied\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stderr bytes.Buffer
			assert.Equal(t, c.status, Exit("program", c.err, &stderr))
			assert.Equal(t, c.stderr, stderr.String())
		})
	}
}
