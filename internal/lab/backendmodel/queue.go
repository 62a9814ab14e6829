package backendmodel

import "math"

// minWork is the least work of a request: without any it would be finished before it started.
const minWork = 1e-6

// Verdict is what becomes of a request that reaches the backend.
type Verdict uint8

// Verdicts on a request that reaches the backend.
const (
	VerdictAccepted   Verdict = iota // queued or running
	VerdictRejected                  // never ran: the queue is full, or the backend is draining
	VerdictNoResponse                // accepted, but no response will ever come
	VerdictFailed                    // a quick error
	VerdictDown                      // no process is there, or this request overloaded it
)

// task is a request's work in the queue or on a core.
type task struct {
	id        uint64
	remaining float64 // work
	total     float64 // work
	startedAt float64
	canceled  bool // and runs to its end all the same
}

// Accept takes a request whose last byte arrives now. A cold process that it overloads is reported as down; the caller
// then stops it.
func (m *Machine) Accept(now float64, id uint64, work float64, newConnection bool) Verdict {
	m.advanceTo(now)
	if newConnection {
		work += m.spec.ConnectionWork
	}
	switch {
	case !m.up || m.recordArrival(now, work): // what it then rejects or doesn't answer is a load on it, too
		return VerdictDown
	case m.faults.NoResponse:
		return VerdictNoResponse
	case m.faults.ErrorShare > 0 && m.rng.Float64() < m.faults.ErrorShare:
		return VerdictFailed
	case m.draining || len(m.waiting) >= m.spec.QueueLimit && len(m.running) >= m.spec.Cores:
		return VerdictRejected
	}
	m.waiting = append(m.waiting, &task{id: id, remaining: math.Max(work, minWork), total: work})
	m.startWaiting()
	return VerdictAccepted
}

// Cancel drops a request if it waits. One that runs is stopped or goes on unanswered, by the machine's spec.
func (m *Machine) Cancel(now float64, id uint64) {
	m.advanceTo(now)
	for i, t := range m.waiting {
		if t.id == id {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	for i, t := range m.running {
		if t.id != id {
			continue
		}
		t.canceled = true
		if m.spec.StopOnCancel {
			m.wastedWork += t.total - t.remaining
			m.running = append(m.running[:i], m.running[i+1:]...)
			m.startWaiting()
		}
		return
	}
}

// TakeStarted returns the requests whose work has started since it was last called.
func (m *Machine) TakeStarted() []uint64 {
	started := m.started
	m.started = nil
	return started
}

// InFlight returns the number of requests that run or wait.
func (m *Machine) InFlight() int { return len(m.running) + len(m.waiting) }

// Backlog returns the time in which the machine would finish all it has at its current rate, or +Inf if it serves
// nothing: down, draining, or with a fault that loses requests.
func (m *Machine) Backlog(now float64) float64 {
	// maxErrorShare is the share of failures above which the machine counts as serving nothing.
	const maxErrorShare = 0.3
	m.advanceTo(now)
	if !m.up || m.draining || m.faults.NoResponse || m.faults.ErrorShare > maxErrorShare {
		return math.Inf(1)
	}
	remaining := 0.0
	for _, t := range m.running {
		remaining += t.remaining
	}
	for _, t := range m.waiting {
		remaining += t.remaining
	}
	return remaining / (m.CoreRate() * float64(m.spec.Cores))
}

// startWaiting gives waiting requests to free cores, the oldest first.
func (m *Machine) startWaiting() {
	for len(m.running) < m.spec.Cores && len(m.waiting) > 0 {
		next := m.waiting[0]
		m.waiting = m.waiting[1:]
		next.startedAt = m.now
		m.running = append(m.running, next)
		m.started = append(m.started, next.id)
	}
	m.updateCongestion()
}
