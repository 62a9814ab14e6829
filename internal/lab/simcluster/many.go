package simcluster

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"pearknot/internal/invariants"
)

// Totals is what many schedules came to.
type Totals struct {
	Schedules  int
	TakenOver  int
	ServedLogs int // logs at the end, of Logs
	Logs       int
	Violating  []ViolatingSchedule
}

// ViolatingSchedule is a schedule in which a promise was broken, with as few faults as still break one.
type ViolatingSchedule struct {
	Seed       uint64
	Harsh      bool
	Violations []invariants.Violation
	Faults     []Fault
}

func (b ViolatingSchedule) String() string {
	text := fmt.Sprintf("seed %d, harsh %t: %s", b.Seed, b.Harsh, b.Violations[0])
	for _, f := range b.Faults {
		text += fmt.Sprintf("\n    %+v", f)
	}
	return text
}

// length is a schedule's, in ms; several faults and their ends lie within it.
const length = 24e3

// RunSchedules plays two schedules for each of some seeds, a mild one and a harsh one, so many at once as there are processors.
func RunSchedules(ctx context.Context, from, seeds uint64, members, copies int) (sum Totals, err error) {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := from; seed < from+seeds; seed++ {
		for _, harsh := range []bool{false, true} {
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				faults := Schedule(seed, members, harsh)
				f := New(seed, members, copies)
				wrong := f.Run(faults, length)
				if len(wrong) > 0 {
					faults = Shrink(faults, func(less []Fault) bool { return len(New(seed, members, copies).Run(less, length)) > 0 })
				}
				mu.Lock()
				defer mu.Unlock()
				sum.Schedules++
				sum.TakenOver += f.TakenOver
				sum.ServedLogs += f.ServedLogs()
				sum.Logs += members
				if len(wrong) > 0 {
					sum.Violating = append(sum.Violating, ViolatingSchedule{seed, harsh, wrong, faults})
				}
				return nil
			})
		}
	}
	return sum, g.Wait()
}
