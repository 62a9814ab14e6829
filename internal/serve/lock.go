package serve

import (
	"encoding/json"
	"os"
)

// What an agent tells a node that it starts, in its environment: a command line can be read by all.
const (
	TokenVariable = "PEARKNOT_TOKEN" // that the control socket answers with
	EpochVariable = "PEARKNOT_EPOCH" // counts its restarts
	LockVariable  = "PEARKNOT_LOCK"  // the file whose lock the process has inherited
)

// Holder is what stands in that file.
type Holder struct {
	PID   int    `json:"pid"`
	Token string `json:"token"`
}

// NoteLock writes who holds the lock into its file, first of all: an agent that ended right after the start knows then.
func NoteLock() error {
	name := os.Getenv(LockVariable)
	if name == "" {
		return nil
	}
	data, err := json.Marshal(Holder{os.Getpid(), os.Getenv(TokenVariable)})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteAt(data, 0)
	return err
}
