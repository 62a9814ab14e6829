package agent

import (
	"context"
	"fmt"
	"path/filepath"

	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
)

// rebuildState declares the instances that run, on top of the latest snapshot, after the state file was found corrupt: nothing
// is stopped because a file was damaged.
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
	for _, l := range locks {
		p := instanceFiles{a.options.Dir, filepath.Base(l[:len(l)-len(".lock")])}
		lock, err := p.tryLock()
		if err != nil {
			return err
		}
		if lock != nil {
			_ = lock.Close()
			continue
		}
		var s controlsocket.Status
		ctx, cancel := context.WithTimeout(context.Background(), a.options.CallTimeout)
		err = controlsocket.NewClient(p.socket(), a.options.CallTimeout).Call(ctx, "GET", controlsocket.StatusPath, nil, &s)
		cancel()
		h, noted := p.lockHolder()
		if err != nil || noted != nil || h.Token != s.Token || h.PID != s.PID {
			a.log.Error("running instance not adopted", "instance", p.name, "error", err)
			continue
		}
		a.fleet.Adopt(a.now(), p.name, s.Token, s.PID, s.Digest, s.Epoch)
		i := set[p.name]
		i.Name, i.Listen, i.Digest, i.Discovery, i.Desired, i.Epoch = p.name, s.Listen, s.Digest, s.ListAddress, fleet.Running, s.Epoch
		if was, had := set[p.name]; had { // as it was declared, not as the kernel worded it
			i.Listen = was.Listen
		}
		set[p.name] = i
		found++
	}
	a.fleet.DeclareRunning(a.now(), set, fmt.Sprintf("state rebuilt, %d running instances adopted", found))
	a.log.Warn("state rebuilt from snapshot and running instances", "declared", len(set), "adopted", found)
	return a.store.save(a.fleet.State)
}
