package agent

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// KillVariable has the agent killed at a named point, for trying how it comes back: NAME:N is the Nth time that it
// passes there.
const KillVariable = "PEARKNOT_AGENT_KILL_AT"

// Points are the named points of a change, in the order of one.
var Points = []string{"proposed", "planned", "begun", "locked", "executed", "noted", "start", "terminate", "admit", "ended", "snapshot"}

// KillAt makes the function to be called at the points; of an empty text, none.
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
