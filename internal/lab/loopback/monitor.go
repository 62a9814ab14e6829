package loopback

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"pearknot/internal/clock"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/workload"
)

// tryRetentionMs is the time after a try's deadline for which its attempts may still reach a backend.
const tryRetentionMs = 5e3

// monitor holds the state shared by the simulated clients, backends and discovery service: the experiment, the run's clock, and all
// observed events in a single order.
type monitor struct {
	experiment *experiment.Experiment
	ip         string // on which everything of the run listens
	clock      *clock.Clock
	startBits  atomic.Uint64 // clock reading at the run's start; updated once, when the load begins
	watch      func(invariants.Event)

	mu         sync.Mutex // guards the following fields and calls to watch
	auditor    *invariants.Auditor
	recorder   *metrics.Recorder
	faults     *faults.State
	tries      map[uint64]acceptedTry // by ID
	overloaded int                    // number of backends that crashed from overload
	progress   Progress
}

// acceptedTry holds the state of a client's try that a node has accepted.
type acceptedTry struct {
	node     int
	work     float64
	attempts int // number of attempts that have reached backends
	deadline float64
}

// startTime returns the clock's reading at the run's start.
func (m *monitor) startTime() float64 { return math.Float64frombits(m.startBits.Load()) }

func (m *monitor) setStartTime(reading float64) { m.startBits.Store(math.Float64bits(reading)) }

// now returns the time since the run's start, in ms. It is strongly negative until the load begins.
func (m *monitor) now() float64 { return m.clock.Now() - m.startTime() }

// clockTime converts a time of the run, in ms, to a clock reading.
func (m *monitor) clockTime(ms float64) float64 { return m.startTime() + ms }

// wallTime converts a time of the run, in ms, to wall time for timers.
func (m *monitor) wallTime(ms float64) time.Time { return m.clock.Time(m.clockTime(ms)) }

// sleepUntil waits until a time of the run, in ms, or until the context ends.
func (m *monitor) sleepUntil(ctx context.Context, ms float64) { sleep(ctx, time.Until(m.wallTime(ms))) }

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// milliseconds converts a time in ms to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// recordEvent sets an event's time to now and passes it to the watch callback and the auditor.
func (m *monitor) recordEvent(e invariants.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordEventLocked(e)
}

// recordEventLocked is recordEvent for callers that hold the lock.
func (m *monitor) recordEventLocked(e invariants.Event) {
	e.At = m.now()
	if m.watch != nil {
		m.watch(e)
	}
	m.auditor.Record(e)
}

// requestAccepted records that the last byte of a try was written to the node's connection.
func (m *monitor) requestAccepted(tryID uint64, node int, request *workload.Request, deadline float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.tries[tryID]; known { // net/http has resent it on a new connection
		return
	}
	m.tries[tryID] = acceptedTry{node: node, work: request.Work, deadline: deadline}
	m.recordEventLocked(invariants.Event{Kind: invariants.RequestAccepted, Node: node, Request: tryID, Class: request.Class, Deadline: deadline})
}

// attemptStarted records that an attempt has reached a backend, and returns its number and its work. It returns false if the attempt
// doesn't belong to a try of this run.
func (m *monitor) attemptStarted(tryID uint64, backend int, isCrossZone bool) (number int, work float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	try, ok := m.tries[tryID]
	if !ok {
		return 0, 0, false
	}
	number = try.attempts
	try.attempts++
	m.tries[tryID] = try
	m.progress.Attempts++
	m.recorder.AttemptStarted(m.now(), backend, isCrossZone)
	m.recordEventLocked(invariants.Event{
		Kind:    invariants.AttemptStarted,
		Node:    try.node,
		Request: tryID,
		Attempt: number,
		Backend: backend,
		Work:    try.work,
	})
	return number, try.work, true
}

// removeExpiredTries removes the tries whose retention time is over.
func (m *monitor) removeExpiredTries() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for id, try := range m.tries {
		if now > try.deadline+tryRetentionMs {
			delete(m.tries, id)
		}
	}
}
