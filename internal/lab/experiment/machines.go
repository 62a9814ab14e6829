package experiment

import "pearknot/internal/lab/backendmodel"

// shareTolerance keeps rounding from deciding between kinds of machine that are equally far behind their shares.
const shareTolerance = 1e-9

// MachineOf returns the kind of a backend's machine, by its place among Machines. Kinds are dealt out to the backends by
// their shares, the same for every seed: each backend gets the kind that is furthest behind its share so far.
func (e *Experiment) MachineOf(backend int) int {
	shares := 0.0
	for _, machine := range e.Machines {
		shares += machine.Share
	}
	dealt := make([]float64, len(e.Machines))
	kind := 0
	for number := 0; number <= backend; number++ {
		behind := func(kind int) float64 { return e.Machines[kind].Share/shares*float64(number+1) - dealt[kind] }
		kind = 0
		for candidate := range e.Machines {
			if behind(candidate) > behind(kind)+shareTolerance {
				kind = candidate
			}
		}
		dealt[kind]++
	}
	return kind
}

// Capacity returns the rate of work of all backends, warm, in standard cores.
func (e *Experiment) Capacity() float64 {
	capacity := 0.0
	for backend := range e.Fleet.Backends {
		machine := e.Machines[e.MachineOf(backend)]
		capacity += float64(machine.Cores) * machine.Speed
	}
	return capacity
}

// BackendSpec returns what a backend's machine is like.
func (e *Experiment) BackendSpec(backend int) backendmodel.Spec {
	machine := e.Machines[e.MachineOf(backend)]
	common := e.Backend
	return backendmodel.Spec{
		Cores:              machine.Cores,
		Speed:              machine.Speed,
		QueueLimit:         common.QueueLimit,
		ColdSpeedShare:     common.ColdSpeedShare,
		WarmupTime:         common.WarmupMs,
		OverloadMultiple:   common.OverloadMultiple,
		OverloadWindow:     common.OverloadWindowMs,
		MeanWork:           e.MeanWork(),
		CongestionQueue:    common.CongestionQueue,
		CongestionDelay:    common.CongestionDelayMs,
		CongestionSlowdown: common.CongestionSlowdown,
		CongestionRecovery: common.CongestionRecoveryMs,
		ReportInterval:     common.ReportIntervalMs,
		ReportNoise:        common.ReportNoise,
		StopOnCancel:       common.StopOnCancel,
		ConnectionWork:     common.ConnectionWorkMs,
	}
}
