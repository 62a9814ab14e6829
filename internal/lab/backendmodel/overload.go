package backendmodel

import (
	"math"

	"pearknot/internal/invariants"
)

// coldUsableShare is the share of what a cold process survives that HasColdCapacity lets a caller use; the rest is a
// margin.
const coldUsableShare = 0.8

// overload tracks the work that arrives at a process while it warms up. A cold process, with empty caches, fails for
// good when it is sent more in a window than a multiple of what it can do.
type overload struct {
	arrivals []arrival // within the window
	sum      float64   // of their work
	failed   bool
}

// arrival is the work of a request that arrived.
type arrival struct{ at, work float64 }

// Overloaded reports whether the process failed under its load. It then stays down.
func (m *Machine) Overloaded() bool { return m.overload.failed }

// recordArrival counts work that arrives while the process warms up, and reports whether the process fails under it.
func (m *Machine) recordArrival(now, work float64) bool {
	o := &m.overload
	if now-m.startTime >= m.spec.WarmupTime {
		o.arrivals = nil
		return false
	}
	for len(o.arrivals) > 0 && o.arrivals[0].at <= now-m.spec.OverloadWindow {
		o.sum -= o.arrivals[0].work
		o.arrivals = o.arrivals[1:]
	}
	o.arrivals = append(o.arrivals, arrival{now, work})
	o.sum += work
	allowed := m.spec.OverloadMultiple * m.speedShare(now) * m.spec.Speed * float64(m.spec.Cores) * m.spec.OverloadWindow
	if o.sum > invariants.OverloadThreshold(allowed, m.spec.MeanWork) {
		o.failed = true
	}
	return o.failed
}

// speedShare returns the share of its full speed that a process has by its age.
func (m *Machine) speedShare(now float64) float64 {
	age := now - m.startTime
	if age >= m.spec.WarmupTime {
		return 1
	}
	return m.spec.ColdSpeedShare + (1-m.spec.ColdSpeedShare)*math.Max(age, 0)/m.spec.WarmupTime
}

// HasColdCapacity reports whether the process would survive more work now, with a margin. A warm one always does.
func (m *Machine) HasColdCapacity(now, work float64) bool {
	if now-m.startTime >= m.spec.WarmupTime {
		return true
	}
	sum := work
	for _, a := range m.overload.arrivals {
		if a.at > now-m.spec.OverloadWindow {
			sum += a.work
		}
	}
	return sum <= coldUsableShare*m.spec.OverloadMultiple*m.speedShare(now)*m.spec.Speed*float64(m.spec.Cores)*m.spec.OverloadWindow
}
