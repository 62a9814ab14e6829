package backendmodel

// notSince marks a condition of congestion that doesn't hold.
const notSince = -1

// congestion tracks a metastable failure: a queue that stays long slows the machine down, which keeps the queue long
// even after the load falls. Only a time of being mostly idle ends it.
type congestion struct {
	active         bool
	longQueueSince float64 // notSince if the queue isn't long
	idleSince      float64 // notSince if the machine isn't mostly idle
}

func newCongestion() congestion { return congestion{longQueueSince: notSince, idleSince: notSince} }

// updateCongestion follows the length of the queue at the current time.
func (m *Machine) updateCongestion() {
	if m.spec.CongestionQueue == 0 {
		return
	}
	c := &m.congestion
	isLong := float64(len(m.waiting)) > m.spec.CongestionQueue*float64(m.spec.Cores)
	c.longQueueSince = updateSince(c.longQueueSince, isLong, m.now)
	if c.longQueueSince >= 0 && m.now >= c.longQueueSince+m.spec.CongestionDelay {
		c.active = true
	}
	isMostlyIdle := len(m.waiting) == 0 && 2*len(m.running) <= m.spec.Cores
	c.idleSince = updateSince(c.idleSince, isMostlyIdle, m.now)
	if c.active && c.idleSince >= 0 && m.now >= c.idleSince+m.spec.CongestionRecovery {
		c.active = false
	}
}

// updateSince returns since when a condition holds, given since when it did before.
func updateSince(since float64, holds bool, now float64) float64 {
	switch {
	case !holds:
		return notSince
	case since < 0:
		return now
	}
	return since
}
