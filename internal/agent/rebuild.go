package agent

import (
	"context"
	"fmt"
	"path/filepath"

	"pearknot/internal/controlsocket"
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
	found := 0
	for _, lockPath := range locks {
		files := instanceFiles{a.options.Dir, filepath.Base(lockPath[:len(lockPath)-len(".lock")])}
		lock, err := files.tryLock()
		if err != nil {
			return err
		}
		if lock != nil {
			_ = lock.Close()
			continue
		}
		var status controlsocket.Status
		ctx, cancel := context.WithTimeout(context.Background(), a.options.CallTimeout)
		err = controlsocket.NewClient(files.socket(), a.options.CallTimeout).Call(ctx, "GET", controlsocket.StatusPath, nil, &status)
		cancel()
		holder, holderErr := files.lockHolder()
		if err != nil || holderErr != nil || holder.Token != status.Token || holder.PID != status.PID {
			a.log.Error("running instance not adopted", "instance", files.name, "error", err)
			continue
		}
		a.fleet.Adopt(a.now(), files.name, status.Token, status.PID, status.Digest, status.Epoch)
		instance := set[files.name]
		instance.Name, instance.Listen, instance.Digest, instance.Discovery, instance.Desired, instance.Epoch = files.name, status.Listen, status.Digest, status.ListAddress, fleet.Running, status.Epoch
		if declared, isDeclared := set[files.name]; isDeclared { // as it was declared, not as the kernel worded it
			instance.Listen = declared.Listen
		}
		set[files.name] = instance
		found++
	}
	a.fleet.DeclareRunning(a.now(), set, fmt.Sprintf("state rebuilt, %d running instances adopted", found))
	a.log.Warn("state rebuilt from snapshot and running instances", "declared", len(set), "adopted", found)
	return a.store.save(a.fleet.State)
}
