package agent

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"pearknot/internal/fleet"
)

// rebuildState declares the instances that run, on top of the latest snapshot, after the state file was found
// corrupt: nothing is stopped because a file was damaged.
func (a *Agent) rebuildState() error {
	locks, err := filepath.Glob(filepath.Join(a.options.Dir, "run", "*.lock"))
	if err != nil {
		return err
	}
	set := a.fleet.Current().Set.Clone()
	if set == nil {
		set = fleet.Set{}
	}
	adopted := 0
	for _, lockPath := range locks {
		name := strings.TrimSuffix(filepath.Base(lockPath), ".lock")
		isAdopted, err := a.adoptIfRunning(set, instanceFiles{a.options.Dir, name})
		if err != nil {
			return err
		}
		if isAdopted {
			adopted++
		}
	}
	a.fleet.DeclareRunning(a.now(), set, fmt.Sprintf("state rebuilt, %d running instances adopted", adopted))
	a.log.Warn("state rebuilt from snapshot and running instances", "declared", len(set), "adopted", adopted)
	return a.store.save(a.fleet.State)
}

// adoptIfRunning declares an instance in a set as it was found running, and reports whether it did. A process is
// adopted only if its answer and the holder of its lock agree on token and process id.
func (a *Agent) adoptIfRunning(set fleet.Set, files instanceFiles) (bool, error) {
	lock, err := files.tryLock()
	if err != nil {
		return false, err
	}
	if lock != nil { // nobody holds it
		_ = lock.Close()
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.options.CallTimeout)
	defer cancel()
	status, err := files.status(ctx, a.options.CallTimeout)
	holder, holderErr := files.lockHolder()
	if err != nil || holderErr != nil || holder.Token != status.Token || holder.PID != status.PID {
		a.log.Error("running instance not adopted", "instance", files.name, "error", err)
		return false, nil
	}
	a.fleet.Adopt(a.now(), files.name, status.Token, status.PID, status.Digest, status.Epoch)
	instance, isDeclared := set[files.name]
	if !isDeclared { // else as the operator wrote it, which may differ from the kernel's form of the address
		instance.Listen = status.Listen
	}
	instance.Name, instance.Digest, instance.Discovery = files.name, status.Digest, status.ListAddress
	instance.Desired, instance.Epoch = fleet.Running, status.Epoch
	set[files.name] = instance
	return true, nil
}
