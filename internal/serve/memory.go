package serve

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"pearknot/internal/hotrestart"
	"pearknot/internal/memory"
	"pearknot/internal/server"
)

// A node's memory limit holds for its two processes together while one replaces the other. A process that runs alone leaves free
// what a successor takes at its start. When the successor connects, each process gets half: the predecessor closes idle
// connections and returns what it has freed to the system, and the successor uses only what the predecessor does not have.

const (
	// planInterval is the time between two adjustments of the division of the memory.
	planInterval = 250 * time.Millisecond

	// programPagesShare is the share of the node's memory that the program's pages may take before they are released.
	programPagesShare = 0.2

	// exitTimeout bounds the time between the end of a predecessor's link and that of its process.
	exitTimeout       = 2 * time.Second
	exitCheckInterval = 5 * time.Millisecond
)

// The roles of a process in the node's memory.
const (
	aloneInMemory int32 = iota
	firstOfTwo          // it has a successor
	secondOfTwo         // it has a predecessor
)

// setMemoryLimit limits the memory of the Go runtime, and what clients can make it hold, to this process's share of the node's
// limit (limits.memory_mb of the configuration).
func (r *restartCoordinator) setMemoryLimit() {
	r.memoryMu.Lock()
	defer r.memoryMu.Unlock()
	limit, percent := r.memoryLimit()
	if percent != r.gcPercent {
		debug.SetGCPercent(percent)
		r.gcPercent = percent
	}
	if r.config.memoryBytes <= 0 {
		return
	}
	used, _ := r.memory.Usage()
	unreserved := memory.LiveBytes() - used.Connections - used.Buffers
	otherBytes := memory.OtherBytes(unreserved, r.memory.Backends(), r.budget.Backends())
	allConnections := int64(r.budget.MaxClients()) * server.ConnectionBytes(r.servesTLS)
	plan := memory.NewPlan(limit, r.programPages.ResidentBytes(), otherBytes, allConnections)
	if plan.IsNear(r.memoryPlan) {
		return
	}
	r.memoryPlan = plan
	debug.SetMemoryLimit(plan.RuntimeBytes)
	r.memory.SetLimits(plan.Clients)
	r.log.Debug("memory limits set", "limit_kb", limit>>10, "runtime_kb", plan.RuntimeBytes>>10,
		"connections_kb", plan.Clients.Connections>>10, "buffers_kb", plan.Clients.Buffers>>10)
}

// followMemory adjusts the division of the memory to what the process holds, until ctx is done.
func (r *restartCoordinator) followMemory(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.setMemoryLimit()
			r.releaseProgramPages()
		}
	}
}

// releaseProgramPages releases the program's pages where they take much of the node's memory. The next requests map those that they use
// again.
func (r *restartCoordinator) releaseProgramPages() {
	if float64(r.programPages.ResidentBytes()) > programPagesShare*float64(r.config.memoryBytes) {
		r.programPages.Release()
	}
}

// memoryLimit returns this process's share of the node's memory in bytes, and the garbage collector's percentage.
func (r *restartCoordinator) memoryLimit() (limit int64, percent int) {
	total := r.config.memoryBytes
	switch r.memoryShare.Load() {
	case firstOfTwo:
		return total / 2, gcPercent / 4
	case secondOfTwo:
		return min(total/2, total-r.predecessorBytes()), gcPercent / 4
	}
	if r.socketPath == "" {
		return total, gcPercent
	}
	return total - memory.SuccessorReserve(total, r.programPages.ResidentBytes()), gcPercent
}

// predecessorBytes returns the resident memory of the predecessor; 0 if it has ended or the system does not tell.
func (r *restartCoordinator) predecessorBytes() int64 {
	r.mu.Lock()
	predecessor := r.predecessor
	r.mu.Unlock()
	if predecessor == nil {
		return 0
	}
	pid, ok := predecessor.PeerPID()
	if !ok {
		return 0
	}
	bytes, _ := memory.ResidentBytes(pid)
	return bytes
}

// followPredecessorMemory adjusts this process's share to what the predecessor uses, until that has ended.
func (r *restartCoordinator) followPredecessorMemory(predecessor *hotrestart.Link) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-predecessor.Done():
			return
		case <-tick.C:
			r.setMemoryLimit()
		}
	}
}

// awaitExit waits until the memory and descriptors of a predecessor process are free: its link ends a little sooner than the process.
func awaitExit(pid int) {
	for waited := time.Duration(0); waited < exitTimeout; waited += exitCheckInterval {
		if bytes, exists := memory.ResidentBytes(pid); !exists || bytes == 0 {
			return
		}
		time.Sleep(exitCheckInterval)
	}
}

// returnFreedMemory returns the memory that this process frees to the system, while it has a successor.
func (r *restartCoordinator) returnFreedMemory() {
	for r.memoryShare.Load() == firstOfTwo {
		time.Sleep(memoryCheckInterval)
		if bytes, ok := memory.ResidentBytes(os.Getpid()); ok && bytes > r.config.memoryBytes/2 {
			debug.FreeOSMemory()
		}
	}
}
