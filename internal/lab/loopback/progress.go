package loopback

import (
	"context"
	"slices"

	"pearknot/internal/lab/metrics"
)

// Progress holds the totals of a run so far, for a table that is refreshed.
type Progress struct {
	Second     int // since the load began
	Requests   int // requests of clients
	Served     int
	Rejected   int // answers; a request may get several
	Failed     int // answers; a request may get several
	Lost       int // requests that were not served and are not retried
	Attempts   int
	InTime     int // served within the latency objective
	Violations int

	// Nodes and Backends have a character for each node or backend. A node has U if it is ready. A backend has its load in tenths of its
	// capacity (0 to 9), d if it is draining, or ? if its machine is off the network. Both have - if they are down.
	Nodes, Backends string

	Faults []string // kinds of the active faults
}

// Characters in Progress.Nodes and Progress.Backends.
const (
	letterReady    = 'U'
	letterDown     = '-'
	letterDraining = 'd'
	letterSilent   = '?'
)

// samplesPerReport is the number of load samples per call of Options.OnProgress.
const samplesPerReport = 2

// sampleLoad records the backends' load at regular intervals, and reports the progress.
func (t *testbed) sampleLoad(ctx context.Context) {
	sampledWork := make([]float64, len(t.backends))
	for sample := 1; ; sample++ {
		t.sleepUntil(ctx, float64(sample)*metrics.LoadInterval)
		if ctx.Err() != nil {
			return
		}
		busy := make([]float64, len(t.backends))
		letters := make([]byte, len(t.backends))
		for i, b := range t.backends {
			busy[i], letters[i] = b.sample(&sampledWork[i])
		}
		t.removeExpiredTries()
		progress := t.updateProgress(busy, string(letters))
		if t.options.OnProgress != nil && sample%samplesPerReport == 0 {
			t.options.OnProgress(progress)
		}
	}
}

// sample returns the share of its capacity that a backend used in the last interval, and its letter. It updates sampledWork, the work
// that the backend had done at the previous sample, to the current value.
func (b *backend) sample(sampledWork *float64) (busy float64, letter byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceLocked()
	all, _ := b.machine.WorkDone()
	busy = (all - *sampledWork) / (b.machine.Capacity() * metrics.LoadInterval)
	*sampledWork = all
	switch {
	case b.silent:
		return busy, letterSilent
	case !b.machine.Up():
		return busy, letterDown
	case b.machine.Draining():
		return busy, letterDraining
	}
	return busy, '0' + byte(min(max(int(busy*10), 0), 9))
}

// updateProgress records a load sample, and returns a copy of the updated progress.
func (t *testbed) updateProgress(busy []float64, backendLetters string) Progress {
	nodeLetters := make([]byte, len(t.nodes))
	for i, n := range t.nodes {
		nodeLetters[i] = letterDown
		if n.isReady() {
			nodeLetters[i] = letterReady
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorder.RecordLoad(t.now(), busy)
	seconds := t.now() / 1e3
	p := &t.progress
	p.Second = int(seconds)
	p.Nodes, p.Backends = string(nodeLetters), backendLetters
	p.Violations = len(t.auditor.Violations())
	p.Faults = p.Faults[:0]
	for _, fault := range t.experiment.Faults {
		if seconds >= fault.StartSeconds && seconds < fault.StartSeconds+fault.DurationSeconds {
			p.Faults = append(p.Faults, fault.Kind)
		}
	}
	reported := *p
	reported.Faults = slices.Clone(p.Faults)
	return reported
}
