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

// sample holds the state of the run at a point in time.
type sample struct {
	processes    int // running processes, this one included
	rssBytes     int64
	membersUp    int
	newest       uint64 // newest acknowledged version
	activeFaults []string
}

// sampleRegularly samples all processes every sampleInterval, fails the run if they exceed its limits or one has ended unexpectedly, and
// prints progress.
func (r *run) sampleRegularly(ctx context.Context) {
	limits := r.experiment.Limits
	maxBytes := int64(r.experiment.memoryLimitMB(r.report.MachineMB) * mebibyte)
	start := time.Now()
	lastProgress := start
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
			r.fail(fmt.Errorf("%d processes with %d MB exceed the limits of the run", s.processes, s.rssBytes/mebibyte))
			return
		}
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			r.printProgress(time.Since(start), s)
		}
	}
}

func (r *run) printProgress(elapsed time.Duration, s sample) {
	fmt.Fprintf(r.options.Out, "%4.0f s: version %d at %d of %d nodes, %d members up, %d processes, %d MB %s\n",
		elapsed.Seconds(), s.newest, r.countNodesAt(s.newest), r.experiment.Nodes, s.membersUp, s.processes, s.rssBytes/mebibyte,
		strings.Join(s.activeFaults, ", "))
}

// sample measures all processes and links. linkBytes holds the bytes that the links had carried at the last sample, and is updated.
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
		bytes := r.testbed.callerBytes(kind)
		if r.report.countsWorstSecond {
			r.report.recordSecond(kind, bytes-linkBytes[kind])
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

// failIfAnyEnded fails the run if a process has ended other than by a fault.
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

// countWorstSecond sets whether samples count towards the busiest second.
func (r *run) countWorstSecond(counts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.countsWorstSecond = counts
}
