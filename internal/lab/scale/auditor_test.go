package scale

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	auditEnd  = 100e3 // ms
	auditNode = "n10" // in addition to n0 to n9, which apply changes in time
)

func digestOf(version uint64) string { return fmt.Sprint("digest ", version) }

func reachable(string) []Span { return nil }

// cutOffUntil20s returns a span that cuts off auditNode, and none for other nodes.
func cutOffUntil20s(node string) []Span {
	if node == auditNode {
		return []Span{{500, 20e3}}
	}
	return nil
}

// healthyAuditor returns an auditor with three versions, acknowledged at 1, 2 and 3 s and applied 0.1 s later by ten nodes.
func healthyAuditor() *Auditor {
	a := NewAuditor(2e3, 6e3)
	for version := uint64(1); version <= 3; version++ {
		at := float64(version) * 1e3
		a.VersionCommitted(version, digestOf(version))
		a.VersionAcknowledged(version, at)
		for node := range 10 {
			a.VersionReported(fmt.Sprint("n", node), version, digestOf(version), at+100)
		}
	}
	return a
}

func TestHealthyFleetHasNoViolations(t *testing.T) {
	findings := healthyAuditor().Finish(auditEnd, reachable)
	assert.Empty(t, findings.Violations)
	assert.Equal(t, Findings{Changes: 3, Reachable: Staleness{Pairs: 30, P50: 100, P99: 100, Max: 100}}, findings)
}

// Each case makes one kind of report, and expects the auditor's violation for it, or none.
func TestAuditorViolations(t *testing.T) {
	report := func(node string, version uint64, digest string, since float64) func(*Auditor) {
		return func(a *Auditor) { a.VersionReported(node, version, digest, since) }
	}
	for name, test := range map[string]struct {
		change      func(a *Auditor)
		unreachable func(string) []Span
		violation   string // "" for none
	}{
		"an older version": {
			report("n0", 2, "digest 2", 9e3), reachable, "n0 went back from version 3 to 2",
		},
		"the same version again": {
			report("n0", 3, "digest 3", 9e3), reachable, "",
		},
		"another digest of a version": {
			report("n0", 3, "other", 9e3), reachable, "n0 has another version 3 in force: other",
		},
		"a version that was never committed": {
			report("n0", 4, "digest 3", 9e3), reachable, "n0 has version 4 in force, which was never committed",
		},
		"a version claimed before it is applied": {
			report(auditNode, 3, "digest 2", 2e3), reachable, "n10 has another version 3",
		},
		"a version whose answer was lost": {
			func(a *Auditor) {
				a.VersionCommitted(4, "d4")
				a.VersionReported("n0", 4, "d4", 9e3)
			}, reachable, "",
		},
		"two changes committed as one version": {
			func(a *Auditor) { a.VersionCommitted(3, "other") }, reachable, "version 3 was committed as",
		},
		"applied before the answer": {
			report(auditNode, 3, "digest 3", 500), reachable, "",
		},
		"a version skipped": {
			report(auditNode, 3, "digest 3", 2900), reachable, "",
		},
		"over 6 s": {
			report(auditNode, 3, "digest 3", 7100), reachable, "n10 had version 1 in force 6.1 s after it could have",
		},
		"never": {
			func(a *Auditor) { a.NodeStarted(auditNode, 0) }, reachable, "n10 had version",
		},
		"started later": {
			func(a *Auditor) {
				a.NodeStarted(auditNode, 2e3)
				a.VersionReported(auditNode, 3, "digest 3", 12e3)
			}, reachable, "",
		},
		"started later, and late then": {
			func(a *Auditor) {
				a.NodeStarted(auditNode, 0)
				a.VersionReported(auditNode, 1, "digest 1", 2500)
				a.VersionReported(auditNode, 3, "digest 3", 12e3)
			}, reachable, "n10 had version 3 in force 9.0 s",
		},
		"over 2 s at too many": {
			report(auditNode, 3, "digest 3", 5500), reachable, "99 in 100 changes were in force after 4.50 s",
		},
		"cut off, and in time after": {
			report(auditNode, 3, "digest 3", 25.9e3), cutOffUntil20s, "",
		},
		"cut off, and late after": {
			report(auditNode, 3, "digest 3", 26.1e3), cutOffUntil20s, "n10 had version",
		},
		"cut off, and applied before": {
			report(auditNode, 3, "digest 3", 3e3), cutOffUntil20s, "",
		},
		"nothing acknowledged": {
			func(a *Auditor) { clear(a.acknowledgedAt) }, reachable, "no change was checked",
		},
	} {
		a := healthyAuditor()
		test.change(a)
		findings := a.Finish(auditEnd, test.unreachable)
		if test.violation == "" {
			assert.Empty(t, findings.Violations, name)
		} else {
			assert.Contains(t, strings.Join(findings.Violations, "\n"), test.violation, name)
		}
	}
}

// A change is not checked if its bound has not passed by the end of the run.
func TestChangeTooLateToBeChecked(t *testing.T) {
	a := healthyAuditor()
	a.VersionAcknowledged(4, auditEnd-5e3)
	findings := a.Finish(auditEnd, reachable)
	assert.Empty(t, findings.Violations)
	assert.Equal(t, 3, findings.Changes)
	assert.Equal(t, 10, findings.Behind)
}

// Bounds below the measured delays are violated once per node, and once for the 99th percentile.
func TestBoundsTooSmall(t *testing.T) {
	a := healthyAuditor()
	a.p99BoundMs, a.maxBoundMs = 50, 90
	assert.Len(t, a.Finish(auditEnd, reachable).Violations, 11)
}
