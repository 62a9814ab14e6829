package scale

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	sampleInterval   = time.Second
	progressInterval = 5 * time.Second
)

// sample is how the run stands at a moment.
type sample struct {
	processes    int // that are alive, this one included
	rssBytes     int64
	membersUp    int
	newest       uint64 // version acknowledged
	activeFaults []string
}

// sampleRegularly looks at all processes every second, fails the run if they take more than they may or one has ended, and prints
// progress.
func (r *run) sampleRegularly(ctx context.Context) {
	limits := r.experiment.Limits
	maxBytes := int64(r.experiment.memoryLimitMB(r.report.MachineMB) * mebibyte)
	begun := time.Now()
	lastProgress := begun
	linkBytes := map[ProcessKind]int64{} // at the last sample
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s := r.sample(linkBytes)
		if s.rssBytes > maxBytes || s.processes > limits.Processes {
			r.fail(fmt.Errorf("%d processes with %d MB: over what the run may take", s.processes, s.rssBytes/mebibyte))
			return
		}
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			r.printProgress(time.Since(begun), s)
		}
	}
}

func (r *run) printProgress(elapsed time.Duration, s sample) {
	fmt.Fprintf(r.options.Out, "%4.0f s: version %d at %d of %d nodes, %d members up, %d processes, %d MB %s\n",
		elapsed.Seconds(), s.newest, r.nodesAt(s.newest), r.experiment.Nodes, s.membersUp, s.processes, s.rssBytes/mebibyte,
		strings.Join(s.activeFaults, ", "))
}

// sample looks at all processes and links. linkBytes is what the links had carried by the last sample, and is updated.
func (r *run) sample(linkBytes map[ProcessKind]int64) sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := sample{processes: 1, rssBytes: readUsage(os.Getpid()).rssBytes, newest: r.newestVersion}
	for _, p := range r.processes {
		if used := p.usage(); p.isAlive() {
			s.processes++
			s.rssBytes += used.rssBytes
		}
	}
	r.maxRSSBytes, r.maxProcesses = max(r.maxRSSBytes, s.rssBytes), max(r.maxProcesses, s.processes)
	r.failIfAnyEnded()
	for _, kind := range nodeKinds {
		bytes := r.site.bytesOf(kind)
		if r.report.countsWorstSecond {
			r.report.addSecond(kind, bytes-linkBytes[kind])
		}
		linkBytes[kind] = bytes
	}
	for _, fault := range r.activeFaults {
		s.activeFaults = append(s.activeFaults, fault.String())
	}
	for _, p := range r.members {
		if p != nil {
			s.membersUp++
		}
	}
	return s
}

// failIfAnyEnded fails the run if a process has ended that was not killed by a fault.
func (r *run) failIfAnyEnded() {
	for _, p := range r.processes {
		if p.kind != KindMember && !p.isAlive() {
			r.fail(p.endError())
		}
	}
	for _, p := range r.members {
		if p != nil && !p.isAlive() {
			r.fail(p.endError())
		}
	}
}

// countWorstSecond switches whether samples count towards the worst second.
func (r *run) countWorstSecond(counts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.countsWorstSecond = counts
}
