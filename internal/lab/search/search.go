// Package search looks for the schedule of faults on which a policy does worst, and shrinks it to the few faults that
// matter. Everything it draws comes from a seed, so that a search can be repeated.
package search

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/runner"
	"pearknot/internal/lab/virtual"
)

const (
	// randomStream distinguishes the search's random numbers from those that a run draws from the same seed.
	randomStream = 21
	// brokenRulePenalty is subtracted from the service of a schedule that breaks a rule, so that it is worse than any
	// schedule that breaks none.
	brokenRulePenalty = 1
)

// Options bound a search.
type Options struct {
	Rounds       int       // schedules drawn
	MaxFaults    int       // in one schedule
	Seed         uint64    // of what is drawn; the runs have the seeds of the experiment
	MinLossShare float64   // share of the loss of service, 0 to 1, that a shrunk schedule must still show
	Log          io.Writer // receives a line for each step that finds something
}

// Result is the worst schedule that a search found. Service is a mean over the experiment's seeds; where a rule was
// broken it is lowered by 1, also below 0.
type Result struct {
	Experiment    *experiment.Experiment // with the schedule, shrunk
	CalmService   float64                // without faults
	WorstService  float64                // with the worst schedule, before it was shrunk
	ShrunkService float64                // with the shrunk schedule
	RuleBroken    bool                   // the worst schedule, before it was shrunk, broke a rule
	Played        int                    // schedules played
}

// FindWorst draws schedules of faults for an experiment and returns the worst, shrunk. The search begins with the
// experiment's own faults, if it has any.
func FindWorst(ctx context.Context, e *experiment.Experiment, options Options) (Result, error) {
	s := &searcher{experiment: e, options: options, rng: rand.New(rand.NewPCG(options.Seed, randomStream))}
	calm, err := s.play(ctx, nil)
	if err != nil {
		return Result{}, err
	}
	worst, err := s.findWorst(ctx)
	if err != nil {
		return Result{}, err
	}
	shrunk, err := s.shrink(ctx, worst, calm)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Experiment:    s.withFaults(shrunk.faults),
		CalmService:   calm.service,
		WorstService:  worst.service,
		ShrunkService: shrunk.service,
		RuleBroken:    worst.ruleBroken,
		Played:        s.played,
	}, nil
}

// searcher is one search.
type searcher struct {
	experiment *experiment.Experiment
	options    Options
	rng        *rand.Rand
	played     int // schedules
}

// schedule is a schedule of faults that was played.
type schedule struct {
	faults     []experiment.Fault
	service    float64 // lowered by brokenRulePenalty if a rule was broken
	ruleBroken bool
}

// withFaults returns the experiment with other faults.
func (s *searcher) withFaults(faults []experiment.Fault) *experiment.Experiment {
	e := *s.experiment
	e.Faults = faults
	return &e
}

// play runs the experiment with some faults on all its seeds.
func (s *searcher) play(ctx context.Context, faults []experiment.Fault) (schedule, error) {
	s.played++
	result, err := runner.RunVirtual(ctx, s.withFaults(faults), virtual.Options{})
	if err != nil {
		return schedule{}, err
	}
	played := schedule{faults: faults, service: result.Service.Mean, ruleBroken: !result.AllRulesKept()}
	if played.ruleBroken {
		played.service -= brokenRulePenalty
	}
	return played, nil
}

// findWorst draws and plays schedules, and returns the worst.
func (s *searcher) findWorst(ctx context.Context) (schedule, error) {
	worst := schedule{service: math.Inf(1)}
	if len(s.experiment.Faults) > 0 {
		own, err := s.play(ctx, s.experiment.Faults)
		if err != nil {
			return schedule{}, err
		}
		worst = own
	}
	for round := range s.options.Rounds {
		next, err := s.play(ctx, s.drawSchedule(worst.faults))
		if err != nil {
			return schedule{}, err
		}
		if next.service < worst.service {
			worst = next
			fmt.Fprintf(s.options.Log, "round %d: %.3f with %d faults\n", round+1, next.service, len(next.faults))
		}
	}
	return worst, nil
}

// drawSchedule changes one fault of the worst schedule so far in half of the draws, and draws all faults anew in the
// others.
func (s *searcher) drawSchedule(worst []experiment.Fault) []experiment.Fault {
	if len(worst) > 0 && s.rng.IntN(2) == 0 {
		changed := slices.Clone(worst)
		changed[s.rng.IntN(len(changed))] = s.drawFault()
		return changed
	}
	var faults []experiment.Fault
	for range 1 + s.rng.IntN(max(s.options.MaxFaults, 1)) {
		faults = append(faults, s.drawFault())
	}
	return faults
}
