package search

import (
	"context"
	"fmt"
	"math"
	"slices"

	"pearknot/internal/lab/experiment"
)

// shrink removes the faults of the worst schedule one by one, and then halves the duration of each that is left, as long
// as the schedule stays nearly as bad.
func (s *searcher) shrink(ctx context.Context, worst, calm schedule) (schedule, error) {
	shrunk := worst
	// try replaces shrunk by a schedule with other faults if that is bad enough.
	try := func(faults []experiment.Fault) (replaced bool, err error) {
		candidate, err := s.play(ctx, faults)
		if err != nil || !s.isNearlyAsBad(candidate, worst, calm) {
			return false, err
		}
		shrunk = candidate
		return true, nil
	}
	for i := 0; i < len(shrunk.faults) && len(shrunk.faults) > 1; {
		removed, err := try(slices.Delete(slices.Clone(shrunk.faults), i, i+1))
		if err != nil {
			return schedule{}, err
		}
		if !removed {
			i++
			continue
		}
		fmt.Fprintf(s.options.Log, "shrunk to %d faults: %.3f\n", len(shrunk.faults), shrunk.service)
	}
	for i := range shrunk.faults {
		shorter := slices.Clone(shrunk.faults)
		shorter[i].DurationSeconds = math.Ceil(shorter[i].DurationSeconds / 2)
		if _, err := try(shorter); err != nil {
			return schedule{}, err
		}
	}
	return shrunk, nil
}

// isNearlyAsBad reports whether a schedule may take the place of the worst: it breaks a rule too, or it loses at least
// MinLossShare of the service that the worst loses.
func (s *searcher) isNearlyAsBad(candidate, worst, calm schedule) bool {
	if worst.ruleBroken {
		return candidate.ruleBroken
	}
	return candidate.service <= calm.service-s.options.MinLossShare*(calm.service-worst.service)
}
