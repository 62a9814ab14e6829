package backendmodel

import "math"

// reportedSamples is the number of service times that a load report's mean goes over.
const reportedSamples = 20.0

// Report is a load report.
type Report struct {
	Service  float64 // mean time in service, without waiting
	InFlight int
}

// reporting is what a process knows of its own load.
type reporting struct {
	meanService float64
	samples     float64 // in the mean, at most reportedSamples
	last        Report
	lastAt      float64
}

// reset forgets the samples, as a new process does. The last report stays until there is a sample.
func (r *reporting) reset() {
	r.meanService, r.samples, r.lastAt = 0, 0, math.Inf(-1)
}

// observe takes the service time of a finished request.
func (r *reporting) observe(service float64) {
	r.samples = math.Min(r.samples+1, reportedSamples)
	r.meanService += (service - r.meanService) / r.samples
}

// Report returns the load report that goes with a response now, as old, inexact and faulty as the machine makes it.
func (m *Machine) Report(now float64) Report {
	r := &m.reporting
	if now-r.lastAt >= m.spec.ReportInterval && r.samples > 0 && !m.faults.ReportFrozen {
		r.lastAt = now
		r.last = Report{r.meanService * math.Exp(m.spec.ReportNoise*m.rng.NormFloat64()), m.InFlight()}
		if m.faults.ReportFactor > 0 {
			r.last.Service *= m.faults.ReportFactor
		}
	}
	return r.last
}
