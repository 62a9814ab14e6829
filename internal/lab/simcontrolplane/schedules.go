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

// Summary adds up many schedules.
type Summary struct {
	Schedules, Acknowledged, Conflicts, Snapshots int

	// Acknowledged versions at nodes in mild schedules: how many, those applied later than 2 s, and the latest in ms.
	Pairs, LatePairs int
	MaxLatenessMs    float64

	Violations []Violation // in the order of their schedules
}

func (s Summary) String() string {
	return fmt.Sprintf("%d schedules, %d changes acknowledged, %d rejected as of an older version, %d snapshots sent, %d with violations; "+
		"one fault at a time: %d of %d versions at nodes later than 2 s, the latest %.1f s",
		s.Schedules, s.Acknowledged, s.Conflicts, s.Snapshots, len(s.Violations), s.LatePairs, s.Pairs, s.MaxLatenessMs/1e3)
}

// Violation is a schedule in which a promise was broken, with as few faults as still break one.
type Violation struct {
	Seed     uint64
	Severity Severity
	Details  []string // what the auditor found with all of the schedule's faults
	Faults   []Fault
}

func (v Violation) String() string {
	text := fmt.Sprintf("seed %d, %v: %s", v.Seed, v.Severity, v.Details[0])
	for _, fault := range v.Faults {
		text += fmt.Sprintf("\n    %+v", fault)
	}
	return text
}

// compareSchedules orders violations as their schedules are played.
func compareSchedules(a, b Violation) int {
	schedule := func(v Violation) int { return int(v.Seed)*len(severities) + int(v.Severity) }
	return schedule(a) - schedule(b)
}

// play plays one schedule in a new cluster, which configure may change before.
func play(seed uint64, config Config, severity Severity, faults []Fault, configure func(*Cluster)) (*Cluster, []string) {
	c := New(seed, config)
	c.MangleFrames = severity == SeverityMangled
	if configure != nil {
		configure(c)
	}
	return c, c.Run(faults, severity.freshnessCheck())
}

// PlayMany plays a schedule of each severity for each of some seeds, as many at once as there are processors.
func PlayMany(ctx context.Context, firstSeed, seeds uint64, config Config) (summary Summary, err error) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		for _, severity := range severities {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				c, violation := playDrawn(seed, config, severity)
				mu.Lock()
				defer mu.Unlock()
				summary.add(c, severity, violation)
				return nil
			})
		}
	}
	err = group.Wait()
	slices.SortFunc(summary.Violations, compareSchedules)
	return summary, err
}

// playDrawn plays the schedule of a seed. A violation, if not nil, has the faults shrunk.
func playDrawn(seed uint64, config Config, severity Severity) (*Cluster, *Violation) {
	faults := Schedule(seed, config, severity != SeverityMild)
	c, details := play(seed, config, severity, faults, nil)
	if len(details) == 0 {
		return c, nil
	}
	faults = Shrink(faults, func(fewer []Fault) bool {
		_, details := play(seed, config, severity, fewer, nil)
		return len(details) > 0
	})
	return c, &Violation{Seed: seed, Severity: severity, Details: details, Faults: faults}
}

func (s *Summary) add(c *Cluster, severity Severity, violation *Violation) {
	s.Schedules++
	s.Acknowledged += c.Acknowledged
	s.Conflicts += c.Conflicts
	s.Snapshots += c.Snapshots
	if severity == SeverityMild {
		s.Pairs += c.auditor.pairs
		s.LatePairs += c.auditor.latePairs
		s.MaxLatenessMs = max(s.MaxLatenessMs, c.auditor.maxLatenessMs)
	}
	if violation != nil {
		s.Violations = append(s.Violations, *violation)
	}
}
