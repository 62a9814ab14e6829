package simcontrolplane

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/controlplane"
)

var smallConfig = StandardConfig(3)

// Without a fault every acknowledged change reaches every node at once.
func TestNoFaults(t *testing.T) {
	c := New(1, smallConfig)
	require.Empty(t, c.Run(nil, FreshnessByPath))
	require.Greater(t, c.Acknowledged, 30)
	require.Equal(t, c.Acknowledged*smallConfig.Nodes, c.auditor.pairs, "each change is checked at each node")
	require.Zero(t, c.auditor.latePairs)
	require.Less(t, c.auditor.maxLatenessMs, 300.0)
}

// Schedules drawn by seed: an acknowledged change is never lost, and is applied within 6 s wherever links allow, for 99 in 100 within
// 2 s; one that was not acknowledged is applied everywhere or nowhere; a version is the same everywhere and made from the one before;
// no process goes back to an older version; no claimed age is less than the true one. Thousands of schedules are played by
// pearknot-lab schedules --control-plane.
func TestDrawnSchedulesKeepPromises(t *testing.T) {
	for voters, seeds := range map[int]uint64{3: 45, 5: 25} {
		totals, err := RunSchedules(t.Context(), 0, seeds, StandardConfig(voters))
		require.NoError(t, err)
		t.Log(totals)
		require.Empty(t, totals.Violating)
		require.Greater(t, totals.Acknowledged, 20*totals.Schedules)
		require.Greater(t, totals.Conflicts, totals.Schedules)
		require.Greater(t, totals.Snapshots, totals.Schedules)
		require.Less(t, totals.LatePairs, totals.Pairs/100)
	}
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	trace := func() (lines []string) {
		c := New(3, smallConfig)
		c.MangleFrames = true
		c.Trace = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
		c.Run(Schedule(3, smallConfig, true), FreshnessAtEnd)
		return lines
	}
	require.Equal(t, trace(), trace())
}

// A build with a part left out must be caught by the same schedules: otherwise a pass of the auditor's checks would show nothing.
func TestAuditorCatchesInjectedBugs(t *testing.T) {
	for name, test := range map[string]struct {
		bug      controlplane.InjectedBug // none: writes are reported as done before they are
		severity Severity
		finding  string
		faults   []Fault // else those of the seed
	}{
		"a change applied out of order":               {bug: controlplane.BugOutOfOrderChange, severity: SeverityMangled},
		"a digest not checked":                        {bug: controlplane.BugDigestUnchecked, severity: SeverityMangled},
		"an acknowledgement before the majority":      {bug: controlplane.BugReplyBeforeCommit, severity: SeverityHarsh, finding: "acknowledged"},
		"a leader fresh without a quorum":             {bug: controlplane.BugFreshWithoutQuorum, severity: SeverityHarsh, finding: "claims an age"},
		"an age counted from receipt alone":           {bug: controlplane.BugStalenessFromReceipt, severity: SeverityHarsh, finding: "claims an age"},
		"a change accepted whatever it was made from": {bug: controlplane.BugBaseUnchecked, severity: SeverityMild},
		"a write reported as done before it is":       {severity: SeverityHarsh},
		"a follower stays with a voter that is cut off": {
			bug:      controlplane.BugStayWithStaleServer,
			severity: SeverityMild,
			finding:  "could be reached",
			faults:   []Fault{{Start: 6000, End: 15e3, Kind: FaultDeaf, Process: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 100; seed++ {
				faults := test.faults
				if faults == nil {
					faults = Schedule(seed, smallConfig, test.severity != SeverityMild)
				}
				if found := playWithBug(seed, test.severity, faults, test.bug); found != "" {
					t.Logf("seed %d: %s", seed, found)
					require.Contains(t, found, test.finding)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}

// playWithBug plays a schedule and returns what was found. A voter that finds its own state inconsistent and panics counts as well.
func playWithBug(seed uint64, severity Severity, faults []Fault, bug controlplane.InjectedBug) (found string) {
	defer func() {
		if failure := recover(); failure != nil {
			found = fmt.Sprint(failure)
		}
	}()
	_, violations := runSchedule(seed, smallConfig, severity, faults, func(c *Cluster) {
		c.InjectedBug, c.UnsyncedWrites = bug, bug == controlplane.NoInjectedBug
	})
	return strings.Join(violations, "; ")
}

// faultsOn gives each of some processes the same fault.
func faultsOn(kind FaultKind, untilMs float64, processes ...int) (faults []Fault) {
	for _, process := range processes {
		faults = append(faults, Fault{End: untilMs, Kind: kind, Process: process})
	}
	return faults
}

// The hardest moment for a leader to fail is right after it has acknowledged a change, while others come in. In smallConfig processes
// 0 to 2 are voters, and 3 to 6 relays. Times are from the acknowledgement; from 60 s on they mean for good.
func TestFaultRightAfterAnAcknowledgement(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"the leader is killed":              faultsOn(FaultKill, 4000, Leader),
		"the leader is killed for good":     faultsOn(FaultKill, 90e3, Leader),
		"the leader is frozen for 3 s":      faultsOn(FaultFreeze, 3000, Leader),
		"the leader receives nothing":       faultsOn(FaultDeaf, 5000, Leader),
		"nothing the leader sends arrives":  faultsOn(FaultMute, 5000, Leader),
		"the leader is isolated":            faultsOn(FaultIsolate, 8000, Leader),
		"the leader's region is cut off":    faultsOn(FaultCutRegion, 8000, Leader),
		"the leader and a relay are killed": faultsOn(FaultKill, 4000, Leader, 6),
		"all voters are killed": {
			{End: 1000, Kind: FaultKill, Process: 0},
			{End: 1200, Kind: FaultKill, Process: 1},
			{End: 1400, Kind: FaultKill, Process: 2},
		},
		"all members are killed, and three relays' copies lost": append(faultsOn(FaultKill, 1000, 0, 1, 2, 3), faultsOn(FaultKillAndWipe, 1000, 4, 5, 6)...),
		"all members are frozen":                                faultsOn(FaultFreeze, 3000, 0, 1, 2, 3, 4, 5, 6),
		"the leader's links carry 1 KB/s":                       faultsOn(FaultThrottle, 8000, Leader),
		"the leader is far, a relay is frozen":                  append(faultsOn(FaultSlow, 8000, Leader), faultsOn(FaultFreeze, 8000, 6)...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				playAfterAcknowledgement(t, seed, faults)
			}
		})
	}
}

func playAfterAcknowledgement(t *testing.T, seed uint64, faults []Fault) {
	t.Helper()
	c, acknowledgements := New(seed, smallConfig), 0
	freshness := FreshnessByPath
	if len(faults) > 2 {
		freshness = FreshnessWhenQuiet // a majority has to come together again first
	}
	c.onAcknowledged = func() {
		if acknowledgements++; acknowledgements != 10+int(seed) {
			return
		}
		for _, fault := range faults {
			if fault.Start = c.elapsed(); fault.End < 60e3 {
				fault.End += fault.Start
			}
			c.auditor.faults = append(c.auditor.faults, fault)
			c.after(0, func() { c.inject(fault) })
		}
	}
	violations := c.Run(nil, freshness)
	require.Empty(t, violations, "seed %d", seed)
	require.Greater(t, acknowledgements, 15)
}

// Schedules in which a promise was once broken, each with its story.
func TestScheduleThatOnceFailed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		seed     uint64
		voters   int
		severity Severity
		story    string
	}{
		{8, 5, SeverityHarsh, "a node that was mute for longer than its lease, on a connection that stayed open, was known again without its region"},
	} {
		config := StandardConfig(test.voters)
		_, violations := runSchedule(test.seed, config, test.severity, Schedule(test.seed, config, test.severity != SeverityMild), nil)
		require.Empty(t, violations, test.story)
	}
}

// A node whose links carry 1 KB/s and whose copy is lost gets the snapshot over one connection however long that takes, and changes
// within 6 s from then on. A follower that took a slow snapshot for a dead member would dial again and again and never have it.
func TestThrottledNodeGetsSnapshot(t *testing.T) {
	config := StandardConfig(3)
	config.Tenants = 150 // about 7 KB packed
	const node = 10
	for seed := range uint64(4) {
		c := New(seed, config)
		untilMs := lengthMs - windDownMs + 4000 // it stays throttled for longer than operators work
		var dials int
		c.after(5000, func() { dials = c.processes[node].dials })
		violations := c.Run([]Fault{
			{Start: 4000, End: untilMs, Kind: FaultThrottle, Process: node},
			{Start: 4500, End: 4600, Kind: FaultKillAndWipe, Process: node},
		}, FreshnessWhenQuiet)
		require.Empty(t, violations, "seed %d", seed)
		require.LessOrEqual(t, c.processes[node].dials-dials, 1, "seed %d: it keeps its connection", seed)
		checked := 0
		for _, x := range c.auditor.acknowledged {
			if x.acknowledgedAt-c.auditor.startedAt > 18e3 {
				checked++
				require.GreaterOrEqual(t, c.auditor.appliedAt(node, x.acknowledgedAt+freshnessBoundMs), x.version, "seed %d", seed)
			}
		}
		require.Greater(t, checked, 5)
	}
}
