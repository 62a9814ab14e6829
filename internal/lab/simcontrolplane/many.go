package simcontrolplane

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Kind is one way to play a seed: Mild has one fault at a time, Harsh several, Mangled several and frames that are lost, doubled,
// swapped and corrupted.
type Kind int

// Kinds of a schedule, by how hard its faults are.
const (
	Mild Kind = iota
	Harsh
	Mangled
)

func (k Kind) String() string { return [...]string{"mild", "harsh", "mangled"}[k] }

// Sum is what many schedules came to.
type Sum struct {
	Schedules, Acknowledged, Conflicts, Wholes int
	Pairs, Late                                int // acknowledged versions at nodes; of them in force later than 2 s, in mild schedules
	Worst                                      float64
	Broken                                     []Broken
}

// Standard is a plane at which schedules are played: its voters in as many regions, relays and thirty nodes spread over those. So
// few changes are kept that who was away for long is given the whole.
func Standard(voters int) Shape {
	return Shape{Voters: voters, Relays: voters + 1, Nodes: 30, Regions: voters, Tenants: 60, Kept: 10}
}

func (s Sum) String() string {
	return fmt.Sprintf("%d schedules, %d changes acknowledged, %d refused as of an older version, %d copies sent whole, %d broken; "+
		"one fault at a time: %d of %d versions at nodes later than 2 s, the latest %.1f s",
		s.Schedules, s.Acknowledged, s.Conflicts, s.Wholes, len(s.Broken), s.Late, s.Pairs, s.Worst/1e3)
}

// Broken is a schedule in which a promise was broken, with as few faults as still break one.
type Broken struct {
	Seed   uint64
	Kind   Kind
	Wrong  []string
	Faults []Fault
}

func (b Broken) String() string {
	text := fmt.Sprintf("seed %d, %v: %s", b.Seed, b.Kind, b.Wrong[0])
	for _, f := range b.Faults {
		text += fmt.Sprintf("\n    %+v", f)
	}
	return text
}

// play plays one schedule.
func play(seed uint64, t Shape, kind Kind, faults []Fault, spoil func(*Plane)) (*Plane, []string) {
	s := New(seed, t)
	s.Mangle = kind == Mangled
	if spoil != nil {
		spoil(s)
	}
	return s, s.Run(faults, [...]Strict{Paths, Quiet, Finally}[kind])
}

// Many plays three schedules for each of some seeds, a mild, a harsh and a mangled one, so many at once as there are processors.
func Many(ctx context.Context, from, seeds uint64, t Shape) (sum Sum, err error) {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := from; seed < from+seeds; seed++ {
		for _, kind := range []Kind{Mild, Harsh, Mangled} {
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				faults := Schedule(seed, t, kind != Mild)
				s, wrong := play(seed, t, kind, faults, nil)
				if len(wrong) > 0 {
					faults = Shrink(faults, func(less []Fault) bool { _, wrong := play(seed, t, kind, less, nil); return len(wrong) > 0 })
				}
				mu.Lock()
				defer mu.Unlock()
				sum.Schedules++
				sum.Acknowledged += s.Acknowledged
				sum.Conflicts += s.Conflicts
				sum.Wholes += s.Wholes
				if kind == Mild {
					sum.Pairs += s.judge.pairs
					sum.Late += s.judge.late
					sum.Worst = max(sum.Worst, s.judge.worst)
				}
				if len(wrong) > 0 {
					sum.Broken = append(sum.Broken, Broken{seed, kind, wrong, faults})
				}
				return nil
			})
		}
	}
	err = g.Wait()
	slices.SortFunc(sum.Broken, func(a, b Broken) int { return int(a.Seed)*3 + int(a.Kind) - int(b.Seed)*3 - int(b.Kind) })
	return sum, err
}
