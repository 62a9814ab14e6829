// Package search looks for the schedule of troubles on which a policy does worst, and shrinks it to the fewest troubles
// that still show it. It draws by seed, so that a search can be had again.
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

// Options bound a search.
type Options struct {
	Rounds int // schedules drawn
	Most   int // troubles in one
	Seed   uint64
	Keep   float64 // share of the loss that a shrunk schedule must still show
	Log    io.Writer
}

// Found is the worst schedule.
type Found struct {
	Experiment *experiment.Experiment
	Calm       float64 // service without troubles
	Service    float64 // with the worst schedule, before it was shrunk
	Shrunk     float64 // and after
	Broken     bool    // a rule broke: that outweighs any service
	Played     int
}

// Worst draws schedules, keeps the worst and shrinks it. A broken rule counts as worse than any service.
func Worst(ctx context.Context, e *experiment.Experiment, o Options) (Found, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 21))
	base := *e
	base.Faults = nil
	f := Found{}
	score := func(troubles []experiment.Fault) (float64, bool, error) {
		x := base
		x.Faults = troubles
		f.Played++
		r, err := runner.RunVirtual(ctx, &x, virtual.Options{})
		if err != nil {
			return 0, false, err
		}
		if !r.AllRulesKept() {
			return r.Service.Mean - 1, true, nil
		}
		return r.Service.Mean, false, nil
	}
	var err error
	if f.Calm, _, err = score(nil); err != nil {
		return f, err
	}
	worst, least := e.Faults, math.Inf(1)
	if len(worst) > 0 {
		if least, f.Broken, err = score(worst); err != nil {
			return f, err
		}
	}
	for k := range o.Rounds {
		// Half of the draws change the worst so far, the others begin anew.
		var next []experiment.Fault
		if len(worst) > 0 && rng.IntN(2) == 0 {
			next = slices.Clone(worst)
			next[rng.IntN(len(next))] = draw(e, rng)
		} else {
			for range 1 + rng.IntN(max(o.Most, 1)) {
				next = append(next, draw(e, rng))
			}
		}
		s, broken, err := score(next)
		if err != nil {
			return f, err
		}
		if s < least {
			worst, least, f.Broken = next, s, broken
			fmt.Fprintf(o.Log, "round %d: %.3f with %d troubles\n", k+1, s, len(next))
		}
	}
	f.Service = least
	worst, f.Shrunk, err = shrink(worst, least, f.Calm, f.Broken, o, score)
	x := base
	x.Faults = worst
	f.Experiment = &x
	return f, err
}

// shrink takes troubles out one by one, then halves what is left of each, as long as most of the loss stays.
func shrink(t []experiment.Fault, least, calm float64, broken bool, o Options,
	score func([]experiment.Fault) (float64, bool, error)) ([]experiment.Fault, float64, error) {
	bound := calm - o.Keep*(calm-least)
	now := least
	try := func(next []experiment.Fault) (bool, error) {
		s, b, err := score(next)
		if err != nil || (broken && !b) || (!broken && s > bound) {
			return false, err
		}
		t, now = next, s
		return true, nil
	}
	for i := 0; i < len(t) && len(t) > 1; {
		gone, err := try(slices.Delete(slices.Clone(t), i, i+1))
		if err != nil {
			return t, now, err
		}
		if !gone {
			i++
		} else {
			fmt.Fprintf(o.Log, "shrunk to %d troubles: %.3f\n", len(t), now)
		}
	}
	for i := range t {
		next := slices.Clone(t)
		next[i].DurationSeconds = math.Ceil(next[i].DurationSeconds / 2)
		if _, err := try(next); err != nil {
			return t, now, err
		}
	}
	return t, now, nil
}

// draw makes one trouble somewhere in the middle of the experiment.
func draw(e *experiment.Experiment, rng *rand.Rand) experiment.Fault {
	t := experiment.Fault{Kind: experiment.FaultKinds[rng.IntN(len(experiment.FaultKinds))]}
	for t.Kind == experiment.FaultZonePartition && len(e.Fleet.Zones) < 2 {
		t.Kind = experiment.FaultKinds[rng.IntN(len(experiment.FaultKinds))]
	}
	round := func(from, to float64) float64 { return math.Round((from+(to-from)*rng.Float64())*100) / 100 }
	t.StartSeconds = round(0.1*e.Seconds, 0.6*e.Seconds)
	t.DurationSeconds = round(2, 0.35*e.Seconds)
	t.Share = round(0.1, 0.5)
	t.Factor = 1
	switch t.Kind {
	case experiment.FaultErrors:
		t.Chance = round(0.3, 0.9)
	case experiment.FaultSlow:
		t.Factor = round(2, 8)
	case experiment.FaultBurst:
		t.Factor = round(1.2, 2.5)
	case experiment.FaultWrongReports:
		t.Factor = round(0.1, 5)
	case experiment.FaultListDelay:
		t.Factor = round(3, 12)
	case experiment.FaultPauses:
		t.EveryMs, t.PauseMs = round(1000, 4000), round(100, 500)
	case experiment.FaultCostly:
		t.Class, t.Chance, t.Factor = e.Classes[rng.IntN(len(e.Classes))].Name, round(0.005, 0.03), round(5, 25)
	case experiment.FaultZonePartition:
		t.Zone = e.Fleet.Zones[rng.IntN(len(e.Fleet.Zones))]
	}
	return t
}
