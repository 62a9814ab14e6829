// Package backendmodel is the model of one backend: cores that work off a queue, cold after its start, slower when
// crowded, over when pushed beyond what a cold one stands, with troubles that can be put on it. It does no I/O and
// holds no clock: both hosts of the lab, virtual time and sockets, drive the same code.
package backendmodel

import (
	"math"
	"math/rand/v2"

	"pearknot/internal/invariants"
)

// Kind is what a machine is like, the same through all its restarts.
type Kind struct {
	Cores         int
	Speed         float64 // of a core, in standard cores
	Queue         int     // ops that may wait; one more is rejected
	ColdFrom      float64
	WarmWithin    float64
	FallMultiple  float64
	OverloadFor   float64
	MeanWork      float64 // of an op: what chance may add to what it stands, cold, is reckoned in it
	CrowdQueue    float64 // ops waiting a core from which on it may turn slower; 0 never
	CrowdAfter    float64
	CrowdFactor   float64
	CrowdUntil    float64
	ReportAge     float64
	ReportNoise   float64
	StopOnRevoke  bool
	NewConnection float64 // work that a new connection costs
}

// Verdict is what becomes of a push that comes.
type Verdict uint8

// Verdicts on an attempt that reaches the backend.
const (
	Taken     Verdict = iota
	Rejected          // never ran: its queue is full, or it drains
	Swallowed         // taken, and nothing will come of it
	Failed            // an error, quickly
	Down              // nobody there
)

// Done is work that is finished, or was dropped by the machine's end.
type Done struct {
	ID      uint64
	At      float64
	Service float64 // without waiting
}

// Troubles are what is put on a machine from outside.
type Troubles struct {
	Swallow bool
	Errors  float64 // share of pushes that fail quickly
	Slow    float64 // factor; 0 and 1 are none
	Every   float64 // it stands still every so often ...
	Pause   float64 // ... for so long
	Lie     float64 // factor on what it reports; 0 is none
	Stuck   bool    // what it reports stays as it was
}

const (
	coldStep = 100.0 // ms in which a warming machine's speed counts as constant
	recentOf = 20.0  // service times that a load report's mean goes over
)

// Machine is one backend. Times are in ms; the caller's only advance.
type Machine struct {
	kind     Kind
	rng      *rand.Rand
	now      float64
	up       bool
	draining bool
	started  float64
	trouble  Troubles
	since    float64 // of its pauses
	running  []*job
	waiting  []*job
	done     []Done
	begun    []uint64 // work that has begun since last asked
	crowded  bool
	full     float64 // since when the queue is that long; -1 not
	calm     float64 // since when it is mostly idle; -1 not
	spent    []spent
	sum      float64
	fallen   bool
	load     float64 // work done in all
	wasted   float64 // of it for pushes that were revoked
	service  float64 // mean of recent service times
	seen     float64
	reported Report
	told     float64 // when the report was made
}

type job struct {
	id    uint64
	left  float64 // work
	whole float64
	from  float64 // when it began
	gone  bool    // revoked, and goes on all the same
}

type spent struct{ at, work float64 }

// Report is a load report.
type Report struct {
	Service float64 // ms, mean without waiting
	InHand  int
}

// New makes a machine that is down.
func New(kind Kind, rng *rand.Rand) *Machine {
	return &Machine{kind: kind, rng: rng, full: -1, calm: -1}
}

// Start starts its process; warm has it long past its warming.
func (m *Machine) Start(now float64, warm bool) {
	m.to(now)
	m.up, m.draining, m.fallen, m.crowded, m.full, m.calm = true, false, false, false, -1, -1
	m.spent, m.sum, m.service, m.seen, m.told = nil, 0, 0, 0, math.Inf(-1)
	m.started = now
	if warm {
		m.started = math.Inf(-1)
	}
}

// Started is when its process started; 0 is long ago.
func (m *Machine) Started() float64 {
	if math.IsInf(m.started, -1) {
		return 0
	}
	return m.started
}

// Stop ends the process and gives what was in hand: its connections break.
func (m *Machine) Stop(now float64) []uint64 {
	m.to(now)
	m.up = false
	lost := make([]uint64, 0, len(m.running)+len(m.waiting))
	for _, j := range append(m.running, m.waiting...) {
		if !j.gone {
			lost = append(lost, j.id)
		}
	}
	m.running, m.waiting = nil, nil
	return lost
}

// Drain lets it finish what it has.
func (m *Machine) Drain(now float64) { m.to(now); m.draining = true }

// Up tells whether its process runs.
func (m *Machine) Up() bool { return m.up }

// Fallen tells that it fell over, and stays down.
func (m *Machine) Fallen() bool { return m.fallen }

// Draining tells whether it takes nothing new.
func (m *Machine) Draining() bool { return m.draining }

// Put puts troubles on it, in place of those before.
func (m *Machine) Put(now float64, t Troubles) {
	m.to(now)
	if t.Every != m.trouble.Every {
		m.since = now - m.rng.Float64()*t.Every
	}
	m.trouble = t
}

// Arrive takes a push's last byte.
func (m *Machine) Arrive(now float64, id uint64, work float64, newConnection bool) Verdict {
	m.to(now)
	if newConnection {
		work += m.kind.NewConnection
	}
	switch {
	case !m.up || m.spend(now, work): // what it rejects or swallows has come all the same
		return Down
	case m.trouble.Swallow:
		return Swallowed
	case m.trouble.Errors > 0 && m.rng.Float64() < m.trouble.Errors:
		return Failed
	case m.draining || len(m.waiting) >= m.kind.Queue && len(m.running) >= m.kind.Cores:
		return Rejected
	}
	j := &job{id: id, left: math.Max(work, 1e-6), whole: work}
	m.waiting = append(m.waiting, j)
	m.fill()
	return Taken
}

// spend counts what a cold machine is sent, and tells whether that pushed it over.
func (m *Machine) spend(now, work float64) bool {
	age := now - m.started
	if age >= m.kind.WarmWithin {
		m.spent = nil
		return false
	}
	for len(m.spent) > 0 && m.spent[0].at <= now-m.kind.OverloadFor {
		m.sum -= m.spent[0].work
		m.spent = m.spent[1:]
	}
	m.spent = append(m.spent, spent{now, work})
	m.sum += work
	allowed := m.kind.FallMultiple * m.warmth(now) * m.kind.Speed * float64(m.kind.Cores) * m.kind.OverloadFor
	if m.sum > invariants.OverloadThreshold(allowed, m.kind.MeanWork) {
		m.fallen = true
	}
	return m.fallen
}

func (m *Machine) warmth(now float64) float64 {
	if age := now - m.started; age < m.kind.WarmWithin {
		return m.kind.ColdFrom + (1-m.kind.ColdFrom)*math.Max(age, 0)/m.kind.WarmWithin
	}
	return 1
}

// Revoke gives up a push: what waits is dropped, what runs may go on.
func (m *Machine) Revoke(now float64, id uint64) {
	m.to(now)
	for i, j := range m.waiting {
		if j.id == id {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	for i, j := range m.running {
		if j.id != id {
			continue
		}
		if j.gone = true; m.kind.StopOnRevoke {
			m.wasted += j.whole - j.left
			m.running = append(m.running[:i], m.running[i+1:]...)
			m.fill()
		}
		return
	}
}

// fill gives free cores what waits.
func (m *Machine) fill() {
	for len(m.running) < m.kind.Cores && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		j.from = m.now
		m.running = append(m.running, j)
		m.begun = append(m.begun, j.id)
	}
	m.look()
}

// look follows crowding: it begins after a long queue has lasted, and ends after a time of being mostly idle.
func (m *Machine) look() {
	if m.kind.CrowdQueue == 0 {
		return
	}
	if float64(len(m.waiting)) > m.kind.CrowdQueue*float64(m.kind.Cores) {
		if m.full < 0 {
			m.full = m.now
		}
	} else {
		m.full = -1
	}
	if m.full >= 0 && m.now >= m.full+m.kind.CrowdAfter {
		m.crowded = true
	}
	if len(m.waiting) == 0 && 2*len(m.running) <= m.kind.Cores {
		if m.calm < 0 {
			m.calm = m.now
		}
	} else {
		m.calm = -1
	}
	if m.crowded && m.calm >= 0 && m.now >= m.calm+m.kind.CrowdUntil {
		m.crowded = false
	}
}

// rate is the work a ms on one core, and until when it stays so.
func (m *Machine) rate() (rate, until float64) {
	until = math.Inf(1)
	rate = m.kind.Speed
	if age := m.now - m.started; age < m.kind.WarmWithin {
		rate *= m.warmth(m.now)
		until = m.now + math.Min(coldStep, m.kind.WarmWithin-age)
	}
	if m.trouble.Slow > 1 {
		rate /= m.trouble.Slow
	}
	if m.crowded {
		rate /= m.kind.CrowdFactor
		if m.calm >= 0 {
			until = math.Min(until, m.calm+m.kind.CrowdUntil)
		}
	} else if m.full >= 0 {
		until = math.Min(until, m.full+m.kind.CrowdAfter)
	}
	if m.trouble.Every > 0 {
		at := math.Mod(m.now-m.since, m.trouble.Every)
		if at < m.trouble.Pause {
			rate = 0
			until = math.Min(until, m.now+m.trouble.Pause-at)
		} else {
			until = math.Min(until, m.now+m.trouble.Every-at)
		}
	}
	return rate, until
}

// Next is when to look again: always later than now, +Inf when nothing will happen by itself.
func (m *Machine) Next() float64 {
	if !m.up || len(m.running) == 0 {
		return math.Inf(1)
	}
	rate, until := m.rate()
	if rate > 0 {
		for _, j := range m.running {
			until = math.Min(until, m.now+j.left/rate)
		}
	}
	return math.Max(until, math.Nextafter(m.now, math.Inf(1))) // a step too small for the clock is one all the same
}

// Advance brings it to the present and gives what was finished, in the order of time.
func (m *Machine) Advance(now float64) []Done {
	m.to(now)
	done := m.done
	m.done = nil
	return done
}

// Begun gives the ids whose work has begun since last asked.
func (m *Machine) Begun() []uint64 {
	b := m.begun
	m.begun = nil
	return b
}

func (m *Machine) to(now float64) {
	for m.now < now {
		if !m.up || len(m.running) == 0 {
			m.now = now
			break
		}
		rate, until := m.rate()
		step := math.Min(now, until)
		for _, j := range m.running {
			if rate > 0 {
				step = math.Min(step, m.now+j.left/rate)
			}
		}
		if step <= m.now { // a rest too small for the clock to show
			step = math.Nextafter(m.now, math.Inf(1))
		}
		work := (step - m.now) * rate
		m.now = step
		rest, finished := m.running[:0], false
		for _, j := range m.running {
			j.left -= work
			m.load += work
			if j.left > 1e-9 {
				rest = append(rest, j)
				continue
			}
			finished = true
			if j.gone {
				m.wasted += j.whole
				continue
			}
			service := m.now - j.from
			m.seen = math.Min(m.seen+1, recentOf)
			m.service += (service - m.service) / m.seen
			m.done = append(m.done, Done{j.id, m.now, service})
		}
		m.running = rest
		if finished {
			m.fill()
		} else {
			m.look()
		}
	}
	m.look()
}

// Report is what its answers tell of its load, as old and rough as its kind has it.
func (m *Machine) Report(now float64) Report {
	if now-m.told >= m.kind.ReportAge && m.seen > 0 && !m.trouble.Stuck {
		m.told = now
		m.reported = Report{m.service * math.Exp(m.kind.ReportNoise*m.rng.NormFloat64()), m.InHand()}
		if m.trouble.Lie > 0 {
			m.reported.Service *= m.trouble.Lie
		}
	}
	return m.reported
}

// InHand is the number of pushes it holds.
func (m *Machine) InHand() int { return len(m.running) + len(m.waiting) }

// Backlog is the time in which it would be done with what it holds, at its present speed: +Inf when it is of no use.
func (m *Machine) Backlog(now float64) float64 {
	m.to(now)
	if !m.up || m.draining || m.trouble.Swallow || m.trouble.Errors > 0.3 {
		return math.Inf(1)
	}
	left := 0.0
	for _, j := range m.running {
		left += j.left
	}
	for _, j := range m.waiting {
		left += j.left
	}
	return left / (m.Pace() * float64(m.kind.Cores))
}

// Pace is the work a ms that a core does now, pauses aside.
func (m *Machine) Pace() float64 {
	rate := m.kind.Speed * m.warmth(m.now)
	if m.trouble.Slow > 1 {
		rate /= m.trouble.Slow
	}
	if m.crowded {
		rate /= m.kind.CrowdFactor
	}
	return rate
}

// ColdRoom tells whether it would stand more work in this window, with a fifth to spare.
func (m *Machine) ColdRoom(now, work float64) bool {
	if now-m.started >= m.kind.WarmWithin {
		return true
	}
	sum := work
	for _, s := range m.spent {
		if s.at > now-m.kind.OverloadFor {
			sum += s.work
		}
	}
	return sum <= 0.8*m.kind.FallMultiple*m.warmth(now)*m.kind.Speed*float64(m.kind.Cores)*m.kind.OverloadFor
}

// Worked is the work done so far, and how much of it for pushes that had been revoked.
func (m *Machine) Worked() (all, wasted float64) { return m.load, m.wasted }

// Standing is its capacity, warm: work a ms.
func (m *Machine) Standing() float64 { return m.kind.Speed * float64(m.kind.Cores) }
