package backendmodel

import "math"

const (
	// warmupStep is the time for which a warming machine's speed counts as constant, in ms: short against any warmup.
	warmupStep = 100.0
	// negligibleWork is the remaining work that counts as none, so that rounding doesn't keep a request running.
	negligibleWork = 1e-9
)

// NextEvent returns when Advance is to be called next: always later than now, +Inf if nothing happens by itself.
func (m *Machine) NextEvent() float64 {
	if !m.up || len(m.running) == 0 {
		return math.Inf(1)
	}
	// A step too small for the clock's resolution must still move it, or the caller would loop for ever.
	return math.Max(m.nextChange(m.rate()), math.Nextafter(m.now, math.Inf(1)))
}

// Advance brings the machine to the present and returns the requests finished since it was last called, in the order
// of time.
func (m *Machine) Advance(now float64) []Completion {
	m.advanceTo(now)
	completed := m.completed
	m.completed = nil
	return completed
}

// advanceTo brings the machine to a time, in steps in which its rate is constant and no request finishes.
func (m *Machine) advanceTo(now float64) {
	for m.now < now {
		if !m.up || len(m.running) == 0 {
			m.now = now
			break
		}
		rate, until := m.rate()
		step := math.Min(now, m.nextChange(rate, until))
		if step <= m.now { // too small for the clock's resolution
			step = math.Nextafter(m.now, math.Inf(1))
		}
		work := (step - m.now) * rate
		m.now = step
		m.workOn(work)
	}
	m.updateCongestion()
}

// nextChange returns when a running request finishes at a rate that is valid until a time, or that time if it is
// earlier.
func (m *Machine) nextChange(rate, until float64) float64 {
	if rate <= 0 {
		return until
	}
	for _, t := range m.running {
		until = math.Min(until, m.now+t.remaining/rate)
	}
	return until
}

// workOn does work on each running request, and completes those that are finished.
func (m *Machine) workOn(work float64) {
	unfinished, anyFinished := m.running[:0], false
	for _, t := range m.running {
		t.remaining -= work
		m.workDone += work
		if t.remaining > negligibleWork {
			unfinished = append(unfinished, t)
			continue
		}
		anyFinished = true
		m.complete(t)
	}
	m.running = unfinished
	if anyFinished {
		m.startWaiting()
	} else {
		m.updateCongestion()
	}
}

// complete records a finished request. Nobody waits for a canceled one: its work was wasted.
func (m *Machine) complete(t *task) {
	if t.canceled {
		m.wastedWork += t.total
		return
	}
	service := m.now - t.startedAt
	m.reporting.observe(service)
	m.completed = append(m.completed, Completion{t.id, m.now, service})
}

// CoreRate returns the rate of work of a core at present, pauses aside.
func (m *Machine) CoreRate() float64 { return m.slowed(m.spec.Speed * m.speedShare(m.now)) }

// slowed returns a rate as reduced by a fault and by congestion.
func (m *Machine) slowed(rate float64) float64 {
	if m.faults.Slowdown > 1 {
		rate /= m.faults.Slowdown
	}
	if m.congestion.active {
		rate /= m.spec.CongestionSlowdown
	}
	return rate
}

// rate returns the rate of work of a core, and the time until which it stays so.
func (m *Machine) rate() (rate, until float64) {
	until = math.Inf(1)
	if age := m.now - m.startTime; age < m.spec.WarmupTime {
		until = m.now + math.Min(warmupStep, m.spec.WarmupTime-age)
	}
	c := m.congestion
	switch {
	case c.active && c.idleSince >= 0:
		until = math.Min(until, c.idleSince+m.spec.CongestionRecovery)
	case !c.active && c.longQueueSince >= 0:
		until = math.Min(until, c.longQueueSince+m.spec.CongestionDelay)
	}
	if m.faults.PauseInterval <= 0 {
		return m.CoreRate(), until
	}
	sincePause := math.Mod(m.now-m.pauseStart, m.faults.PauseInterval)
	if sincePause < m.faults.PauseDuration {
		return 0, math.Min(until, m.now+m.faults.PauseDuration-sincePause)
	}
	return m.CoreRate(), math.Min(until, m.now+m.faults.PauseInterval-sincePause)
}
