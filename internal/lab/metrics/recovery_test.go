package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pearknot/internal/lab/experiment"
)

// A fault lasts from 10 s to 15 s. The time to recovery counts from its end; the lost weight counts from its start until
// recovery.
func TestRecoveryAfterFault(t *testing.T) {
	outage := func(from, to float64) latencyAt {
		return func(arrivesAt float64) float64 {
			if arrivesAt >= from && arrivesAt < to {
				return neverServed
			}
			return 10
		}
	}
	for name, c := range map[string]struct {
		latency         latencyAt
		recoverySeconds float64
		lostWeight      float64
	}{
		"recovers with the fault's end": {outage(10e3, 15e3), 0, 100},
		"recovers five seconds later":   {outage(10e3, 20e3), 5, 200},
		"never recovers":                {outage(10e3, 41e3), -1, 600},
		"the fault has no effect":       {outage(50e3, 60e3), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			run := record(decodeExperiment(t, ""), c.latency, FaultSpan{Kind: experiment.FaultSlow, From: 10e3, To: 15e3})
			recovery := run.Faults[0]
			assert.InDelta(t, c.recoverySeconds, recovery.RecoverySeconds, 1e-9)
			assert.InDelta(t, c.lostWeight, recovery.LostWeight, 1e-6)
			assert.InDelta(t, 1, recovery.ServiceBefore, 1e-9)
		})
	}
}
