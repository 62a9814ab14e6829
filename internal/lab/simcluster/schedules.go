package simcluster

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"pearknot/internal/invariants"
)

// Totals are the results of many schedules together.
type Totals struct {
	Schedules  int
	TakenOver  int // requests
	ServedLogs int // with a leader at the end
	Logs       int
	Violating  []ViolatingSchedule
}

// ViolatingSchedule is a schedule that led to violations, with as few faults as still do.
type ViolatingSchedule struct {
	Seed       uint64
	Harsh      bool
	Violations []invariants.Violation // of the whole schedule
	Faults     []Fault
}

// String returns the seed, the first violation and the faults.
func (v ViolatingSchedule) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, harsh %t: %s", v.Seed, v.Harsh, v.Violations[0])
	for _, fault := range v.Faults {
		fmt.Fprintf(&text, "\n    %+v", fault)
	}
	return text.String()
}

// RunSchedules runs a mild and a harsh schedule for each of some seeds, as many at a time as there are processors. The error is the
// context's.
func RunSchedules(ctx context.Context, firstSeed, seeds uint64, members, replicas int) (Totals, error) {
	var mu sync.Mutex
	var totals Totals
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		for _, harsh := range []bool{false, true} {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				cluster, violating := runSchedule(seed, harsh, members, replicas)
				mu.Lock()
				defer mu.Unlock()
				totals.Schedules++
				totals.TakenOver += cluster.TakenOver
				totals.ServedLogs += cluster.ServedLogs()
				totals.Logs += members
				if violating != nil {
					totals.Violating = append(totals.Violating, *violating)
				}
				return nil
			})
		}
	}
	err := group.Wait()
	return totals, err
}

// runSchedule runs one schedule. It returns the cluster at its end, and the shrunk schedule if there were violations.
func runSchedule(seed uint64, harsh bool, members, replicas int) (*Cluster, *ViolatingSchedule) {
	faults := Schedule(seed, members, harsh)
	cluster := New(seed, members, replicas)
	violations := cluster.Run(faults, scheduleMs)
	if len(violations) == 0 {
		return cluster, nil
	}
	shrunk := Shrink(faults, func(fewer []Fault) bool {
		return len(New(seed, members, replicas).Run(fewer, scheduleMs)) > 0
	})
	return cluster, &ViolatingSchedule{Seed: seed, Harsh: harsh, Violations: violations, Faults: shrunk}
}
