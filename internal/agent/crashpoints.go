package agent

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// CrashPointVariable is the environment variable that makes the agent kill itself at one of CrashPoints, so that
// tests see how the next agent recovers. NAME:N selects the Nth time that the agent reaches that point.
const CrashPointVariable = "PEARKNOT_AGENT_KILL_AT"

// CrashPoints lists the names of the crash points, in the order in which a change reaches them.
var CrashPoints = []string{
	"proposed",  // the change is accepted, not stored
	"planned",   // the change is stored
	"begun",     // the due steps are stored as pending
	"locked",    // the agent has the lock of the instance that it starts
	"executed",  // the instance's process exists
	"noted",     // the process is named in its lock file
	"start",     // a StepStart was executed, or failed
	"terminate", // a StepTerminate was executed, or failed
	"admit",     // a StepAdmit was executed, or failed
	"ended",     // the steps' results are stored
	"snapshot",  // the state is in the snapshot file
}

// ParseCrashPoint returns the function for Options.OnCrashPoint that a value of CrashPointVariable selects, or nil
// for an empty value.
func ParseCrashPoint(text string) (func(string), error) {
	if text == "" {
		return nil, nil
	}
	name, count, _ := strings.Cut(text, ":")
	nth, err := strconv.ParseInt(count, 10, 64)
	if err != nil || nth < 1 {
		return nil, fmt.Errorf("%s=%s is not NAME:N", CrashPointVariable, text)
	}
	var passed atomic.Int64
	return func(point string) {
		if point == name && passed.Add(1) == nth {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {} // until the signal arrives
		}
	}, nil
}
