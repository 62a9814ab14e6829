package search

import (
	"math"

	"pearknot/internal/lab/experiment"
)

// drawFault draws a fault in the middle of the experiment. It is rounded to two digits, so that the schedule is the same
// when it is written to a file and read again.
func (s *searcher) drawFault() experiment.Fault {
	length := s.experiment.Seconds
	fault := experiment.Fault{Kind: s.drawKind()}
	fault.StartSeconds = s.drawBetween(0.1*length, 0.6*length)
	fault.DurationSeconds = s.drawBetween(2, 0.35*length)
	fault.Share = s.drawBetween(0.1, 0.5)
	fault.Factor = 1
	switch fault.Kind {
	case experiment.FaultErrors:
		fault.Chance = s.drawBetween(0.3, 0.9)
	case experiment.FaultSlow:
		fault.Factor = s.drawBetween(2, 8)
	case experiment.FaultBurst:
		fault.Factor = s.drawBetween(1.2, 2.5)
	case experiment.FaultWrongReports:
		fault.Factor = s.drawBetween(0.1, 5)
	case experiment.FaultListDelay:
		fault.Factor = s.drawBetween(3, 12)
	case experiment.FaultPauses:
		fault.EveryMs = s.drawBetween(1000, 4000)
		fault.PauseMs = s.drawBetween(100, 500)
	case experiment.FaultCostly:
		fault.Class = s.experiment.Classes[s.rng.IntN(len(s.experiment.Classes))].Name
		fault.Chance = s.drawBetween(0.005, 0.03)
		fault.Factor = s.drawBetween(5, 25)
	case experiment.FaultZonePartition:
		fault.Zone = s.experiment.Fleet.Zones[s.rng.IntN(len(s.experiment.Fleet.Zones))]
	}
	return fault
}

// drawKind draws one of the kinds that the experiment can have: a partition needs two zones.
func (s *searcher) drawKind() string {
	for {
		kind := experiment.FaultKinds[s.rng.IntN(len(experiment.FaultKinds))]
		if kind != experiment.FaultZonePartition || len(s.experiment.Fleet.Zones) >= 2 {
			return kind
		}
	}
}

// drawBetween draws a number in a range, rounded to two digits.
func (s *searcher) drawBetween(from, to float64) float64 {
	return math.Round((from+(to-from)*s.rng.Float64())*100) / 100
}
