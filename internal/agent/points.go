package agent

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// KillVariable makes the agent kill itself at a named point, so that tests see how the next one recovers: NAME:N is
// the Nth time that it passes there.
const KillVariable = "PEARKNOT_AGENT_KILL_AT"

// Points are the names of the points, in the order of a change.
var Points = []string{
	"proposed",  // the change is accepted, not stored
	"planned",   // the change is stored
	"begun",     // the due steps are stored as pending
	"locked",    // the agent has the lock of the instance that it starts
	"executed",  // the instance's process exists
	"noted",     // the process is named in its lock file
	"start",     // a StepStart was taken, or failed
	"terminate", // a StepTerminate was taken, or failed
	"admit",     // a StepAdmit was taken, or failed
	"ended",     // the steps' results are stored
	"snapshot",  // the state is in the snapshot file
}

// KillAt returns the function that Options.OnPoint calls for a value of KillVariable, or nil for an empty one.
func KillAt(text string) (func(string), error) {
	if text == "" {
		return nil, nil
	}
	name, count, _ := strings.Cut(text, ":")
	nth, err := strconv.ParseInt(count, 10, 64)
	if err != nil || nth < 1 {
		return nil, fmt.Errorf("%s=%s is not NAME:N", KillVariable, text)
	}
	var passed atomic.Int64
	return func(point string) {
		if point == name && passed.Add(1) == nth {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {} // until it comes
		}
	}, nil
}
