package serve

import (
	"encoding/json"
	"fmt"
	"os"
)

// Environment variables that an agent sets for a node that it starts. Command-line arguments are not used because any user can
// read them.
const (
	TokenVariable = "PEARKNOT_TOKEN" // identifies the process in the control socket's status
	EpochVariable = "PEARKNOT_EPOCH" // number of restarts, counted by the agent
	LockVariable  = "PEARKNOT_LOCK"  // lock file whose lock the process has inherited
)

// LockHolder is the content of an instance's lock file. The agent reads it to find the process that holds the lock.
type LockHolder struct {
	PID   int    `json:"pid"`
	Token string `json:"token"`
}

// WriteLockHolder writes this process's ID and token into the lock file named by LockVariable, if there is one. It must be
// called before anything else: an agent that crashes right after it has started a process can find the process again only
// through this file.
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
