// Package backendmodel models one backend: cores that work off a queue, slow while warming up, slower still when
// congested, failing when a cold one is overloaded, with faults that can be set on it. It does no I/O and holds no
// clock, so that both the simulation in virtual time and the backends on sockets use the same model.
//
// Times are in ms. Work is in ms of a standard core; a rate of work is in standard cores.
package backendmodel

import (
	"math"
	"math/rand/v2"
)

// Spec is what a machine is like. It stays the same through all restarts.
type Spec struct {
	Cores      int
	Speed      float64 // of a core, in standard cores
	QueueLimit int     // requests that may wait; one more is rejected

	ColdSpeedShare   float64 // share of the speed that a process has at its start, rising to 1 over WarmupTime
	WarmupTime       float64
	OverloadMultiple float64 // multiple of its current capacity, over OverloadWindow, that a cold process survives
	OverloadWindow   float64
	MeanWork         float64 // of a request, from which the random excess over the overload threshold is reckoned

	CongestionQueue    float64 // requests waiting per core from which on it may become congested; 0 never
	CongestionDelay    float64 // how long the queue must be that long
	CongestionSlowdown float64 // factor by which a congested machine is slower
	CongestionRecovery float64 // how long it must be mostly idle to recover

	ReportInterval float64 // age at which a load report is made anew
	ReportNoise    float64 // standard deviation of the logarithm of the reported service time

	StopOnCancel   bool    // whether canceled work is stopped, or runs to its end all the same
	ConnectionWork float64 // work that a new connection costs
}

// Faults are the faults set on a machine. The zero value is none.
type Faults struct {
	NoResponse    bool    // requests are accepted and never answered
	ErrorShare    float64 // share of requests that fail quickly
	Slowdown      float64 // factor by which it is slower; 0 and 1 are none
	PauseInterval float64 // it stands still once in this time; 0 never
	PauseDuration float64 // for so long
	ReportFactor  float64 // factor on the service time that it reports; 0 is none
	ReportFrozen  bool    // it repeats its last load report
}

// Completion is a request whose work is finished.
type Completion struct {
	ID      uint64
	At      float64
	Service float64 // time in service, without waiting
}

// Machine is one backend. The times that a caller passes must never go back. It is not safe for concurrent use.
type Machine struct {
	spec Spec
	rng  *rand.Rand
	now  float64

	up        bool
	draining  bool
	startTime float64 // -Inf for a process that was warm from the start

	faults     Faults
	pauseStart float64 // of the first pause, from which the others are counted

	running   []*task
	waiting   []*task
	completed []Completion // since Advance was last called
	started   []uint64     // since TakeStarted was last called

	overload   overload
	congestion congestion
	reporting  reporting

	workDone   float64
	wastedWork float64 // the part of workDone that was for canceled requests
}

// New returns a machine that is down.
func New(spec Spec, rng *rand.Rand) *Machine {
	return &Machine{spec: spec, rng: rng, congestion: newCongestion()}
}

// Start starts the process. A warm one has no warmup.
func (m *Machine) Start(now float64, warm bool) {
	m.advanceTo(now)
	m.up, m.draining = true, false
	m.overload = overload{}
	m.congestion = newCongestion()
	m.reporting.reset()
	m.startTime = now
	if warm {
		m.startTime = math.Inf(-1)
	}
}

// StartTime returns when the process started, or 0 for one that was warm from the start.
func (m *Machine) StartTime() float64 {
	if math.IsInf(m.startTime, -1) {
		return 0
	}
	return m.startTime
}

// Stop ends the process and returns the requests in flight, whose connections break.
func (m *Machine) Stop(now float64) []uint64 {
	m.advanceTo(now)
	m.up = false
	lost := make([]uint64, 0, len(m.running)+len(m.waiting))
	for _, t := range append(m.running, m.waiting...) {
		if !t.canceled {
			lost = append(lost, t.id)
		}
	}
	m.running, m.waiting = nil, nil
	return lost
}

// Drain has the machine finish what it has and reject new requests.
func (m *Machine) Drain(now float64) {
	m.advanceTo(now)
	m.draining = true
}

// Up reports whether the process runs.
func (m *Machine) Up() bool { return m.up }

// Draining reports whether the machine was told to drain.
func (m *Machine) Draining() bool { return m.draining }

// SetFaults replaces the faults set on the machine.
func (m *Machine) SetFaults(now float64, faults Faults) {
	m.advanceTo(now)
	if faults.PauseInterval != m.faults.PauseInterval {
		m.pauseStart = now - m.rng.Float64()*faults.PauseInterval
	}
	m.faults = faults
}

// Capacity returns the rate of work of the whole machine when warm and without faults.
func (m *Machine) Capacity() float64 { return m.spec.Speed * float64(m.spec.Cores) }

// WorkDone returns the work done so far, and the part of it that was for canceled requests.
func (m *Machine) WorkDone() (all, wasted float64) { return m.workDone, m.wastedWork }
