package simcontrolplane

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Severity is how hard a schedule's faults are.
type Severity int

const (
	// SeverityMild has one fault at a time.
	SeverityMild Severity = iota
	// SeverityHarsh has several faults at once.
	SeverityHarsh
	// SeverityMangled has several faults at once, and mangled frames.
	SeverityMangled
)

var severities = []Severity{SeverityMild, SeverityHarsh, SeverityMangled}

func (severity Severity) String() string { return [...]string{"mild", "harsh", "mangled"}[severity] }

// freshnessCheck is how strictly freshness can be checked.
func (severity Severity) freshnessCheck() FreshnessCheck {
	return [...]FreshnessCheck{FreshnessByPath, FreshnessWhenQuiet, FreshnessAtEnd}[severity]
}

// Totals adds up many schedules.
type Totals struct {
	Schedules, Acknowledged, Conflicts, Snapshots int

	// Acknowledged versions at nodes in mild schedules: how many, those applied later than 2 s, and the latest in ms.
	Pairs, LatePairs int
	MaxLatenessMs    float64

	Violating []ViolatingSchedule // in the order of their schedules
}

func (t Totals) String() string {
	return fmt.Sprintf("%d schedules, %d changes acknowledged, %d rejected as of an older version, %d snapshots sent, %d with violations; "+
		"one fault at a time: %d of %d versions at nodes later than 2 s, the latest %.1f s",
		t.Schedules, t.Acknowledged, t.Conflicts, t.Snapshots, len(t.Violating), t.LatePairs, t.Pairs, t.MaxLatenessMs/1e3)
}

// ViolatingSchedule is a schedule in which a promise was broken, with as few faults as still break one.
type ViolatingSchedule struct {
	Seed       uint64
	Severity   Severity
	Violations []string // what the auditor found with all of the schedule's faults
	Faults     []Fault
}

func (v ViolatingSchedule) String() string {
	text := fmt.Sprintf("seed %d, %v: %s", v.Seed, v.Severity, v.Violations[0])
	for _, fault := range v.Faults {
		text += fmt.Sprintf("\n    %+v", fault)
	}
	return text
}

// compareSchedules orders schedules as they are run.
func compareSchedules(a, b ViolatingSchedule) int {
	schedule := func(v ViolatingSchedule) int { return int(v.Seed)*len(severities) + int(v.Severity) }
	return schedule(a) - schedule(b)
}

// runSchedule runs one schedule in a new cluster, which configure may change before.
func runSchedule(seed uint64, config Config, severity Severity, faults []Fault, configure func(*Cluster)) (*Cluster, []string) {
	c := New(seed, config)
	c.MangleFrames = severity == SeverityMangled
	if configure != nil {
		configure(c)
	}
	return c, c.Run(faults, severity.freshnessCheck())
}

// RunSchedules runs a schedule of each severity for each of some seeds, as many at once as there are processors.
func RunSchedules(ctx context.Context, firstSeed, seeds uint64, config Config) (totals Totals, err error) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		for _, severity := range severities {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				c, violating := runDrawnSchedule(seed, config, severity)
				mu.Lock()
				defer mu.Unlock()
				totals.add(c, severity, violating)
				return nil
			})
		}
	}
	err = group.Wait()
	slices.SortFunc(totals.Violating, compareSchedules)
	return totals, err
}

// runDrawnSchedule runs the schedule of a seed. It returns the cluster at its end, and the shrunk schedule if there were violations.
func runDrawnSchedule(seed uint64, config Config, severity Severity) (*Cluster, *ViolatingSchedule) {
	faults := Schedule(seed, config, severity != SeverityMild)
	c, violations := runSchedule(seed, config, severity, faults, nil)
	if len(violations) == 0 {
		return c, nil
	}
	faults = Shrink(faults, func(fewer []Fault) bool {
		_, violations := runSchedule(seed, config, severity, fewer, nil)
		return len(violations) > 0
	})
	return c, &ViolatingSchedule{Seed: seed, Severity: severity, Violations: violations, Faults: faults}
}

func (t *Totals) add(c *Cluster, severity Severity, violating *ViolatingSchedule) {
	t.Schedules++
	t.Acknowledged += c.Acknowledged
	t.Conflicts += c.Conflicts
	t.Snapshots += c.Snapshots
	if severity == SeverityMild {
		t.Pairs += c.auditor.pairs
		t.LatePairs += c.auditor.latePairs
		t.MaxLatenessMs = max(t.MaxLatenessMs, c.auditor.maxLatenessMs)
	}
	if violating != nil {
		t.Violating = append(t.Violating, *violating)
	}
}
