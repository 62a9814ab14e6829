package serve

import (
	"encoding/json"
	"fmt"
	"os"
)

// What an agent tells a node that it starts, in its environment: command lines can be read by everybody.
const (
	TokenVariable = "PEARKNOT_TOKEN" // what the control socket identifies the process with
	EpochVariable = "PEARKNOT_EPOCH" // the agent's count of restarts
	LockVariable  = "PEARKNOT_LOCK"  // the file whose lock the process has inherited
)

// LockHolder is the content of the lock's file.
type LockHolder struct {
	PID   int    `json:"pid"`
	Token string `json:"token"`
}

// WriteLockHolder writes this process into the file of the lock that it has inherited, if any. It is called before
// anything else, so that an agent that ended right after the start finds the process again.
func WriteLockHolder() error {
	name := os.Getenv(LockVariable)
	if name == "" {
		return nil
	}
	data, err := json.Marshal(LockHolder{os.Getpid(), os.Getenv(TokenVariable)})
	if err != nil {
		return fmt.Errorf("write lock holder: %w", err)
	}
	file, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("write lock holder: %w", err)
	}
	_, writeErr := file.WriteAt(data, 0)
	closeErr := file.Close()
	if writeErr != nil {
		return fmt.Errorf("write lock holder: %w", writeErr)
	}
	if closeErr != nil {
		return fmt.Errorf("write lock holder: %w", closeErr)
	}
	return nil
}
