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

	"github.com/pelletier/go-toml/v2"

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
	base.Trouble = nil
	f := Found{}
	score := func(troubles []experiment.Trouble) (float64, bool, error) {
		x := base
		x.Trouble = troubles
		f.Played++
		r, err := runner.Virtual(ctx, &x, virtual.Options{})
		if err != nil {
			return 0, false, err
		}
		if !runner.Kept(r) {
			return r.Service.Mean - 1, true, nil
		}
		return r.Service.Mean, false, nil
	}
	var err error
	if f.Calm, _, err = score(nil); err != nil {
		return f, err
	}
	worst, least := e.Trouble, math.Inf(1)
	if len(worst) > 0 {
		if least, f.Broken, err = score(worst); err != nil {
			return f, err
		}
	}
	for k := range o.Rounds {
		// Half of the draws change the worst so far, the others begin anew.
		var next []experiment.Trouble
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
	x.Trouble = worst
	f.Experiment = &x
	return f, err
}

// shrink takes troubles out one by one, then halves what is left of each, as long as most of the loss stays.
func shrink(t []experiment.Trouble, least, calm float64, broken bool, o Options,
	score func([]experiment.Trouble) (float64, bool, error)) ([]experiment.Trouble, float64, error) {
	bound := calm - o.Keep*(calm-least)
	now := least
	try := func(next []experiment.Trouble) (bool, error) {
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
		next[i].For = math.Ceil(next[i].For / 2)
		if _, err := try(next); err != nil {
			return t, now, err
		}
	}
	return t, now, nil
}

// draw makes one trouble somewhere in the middle of the experiment.
func draw(e *experiment.Experiment, rng *rand.Rand) experiment.Trouble {
	t := experiment.Trouble{Kind: experiment.Kinds[rng.IntN(len(experiment.Kinds))]}
	for t.Kind == experiment.Cut && len(e.Fleet.Zones) < 2 {
		t.Kind = experiment.Kinds[rng.IntN(len(experiment.Kinds))]
	}
	round := func(from, to float64) float64 { return math.Round((from+(to-from)*rng.Float64())*100) / 100 }
	t.At = round(0.1*e.Seconds, 0.6*e.Seconds)
	t.For = round(2, 0.35*e.Seconds)
	t.Share = round(0.1, 0.5)
	t.Factor = 1
	switch t.Kind {
	case experiment.Errors:
		t.Chance = round(0.3, 0.9)
	case experiment.Slow:
		t.Factor = round(2, 8)
	case experiment.Burst:
		t.Factor = round(1.2, 2.5)
	case experiment.Lies:
		t.Factor = round(0.1, 5)
	case experiment.ListLate:
		t.Factor = round(3, 12)
	case experiment.Pauses:
		t.EveryMs, t.PauseMs = round(1000, 4000), round(100, 500)
	case experiment.Costly:
		t.Category, t.Chance, t.Factor = e.Category[rng.IntN(len(e.Category))].Name, round(0.005, 0.03), round(5, 25)
	case experiment.Cut:
		t.Zone = e.Fleet.Zones[rng.IntN(len(e.Fleet.Zones))]
	}
	return t
}

// Text is the experiment as a file that can be read again.
func Text(e *experiment.Experiment) ([]byte, error) { return toml.Marshal(e) }
