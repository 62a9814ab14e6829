package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pearknot/internal/lab/metrics"
)

const (
	fairTolerance     = 0.1 // by which a hollow node may cost more or less than a real one
	maxLoadViolations = 3   // of the load's rules that are reported
)

// Cost is what one node or member has taken, a second.
type Cost struct {
	Count       int
	Bytes       float64 // both ways
	WorstSecond float64 // bytes in the worst second
	Messages    float64 // both ways
	Core        float64 // share of one
}

// Report is the result of a run.
type Report struct {
	Experiment    *Experiment
	MachineMB     float64
	Fair          bool
	DocumentBytes int

	Quiet    map[ProcessKind]Cost
	Changing map[ProcessKind]Cost
	// Medians are of Options.Fair: bytes and messages a second of the median node of each kind, by the nodes' own account.
	Medians   map[string]map[ProcessKind]float64
	MemoryMB  map[ProcessKind]float64 // the mean of hollow nodes, the largest of real nodes and members
	PeakMB    int64                   // of all processes together
	Processes int                     // at most

	CommitMs   []float64 // that each acknowledged change took
	Unanswered int       // changes
	NotBegun   int       // changes for which no time was left
	Findings   Findings
	Load       metrics.Run

	// What the machine itself may have done to the figures.
	LabLateness, HollowLateness      Lateness
	StolenShare                      float64 // of the processors' time that the machine's host gave to others
	LabCore                          float64 // share of a core that this process took
	LoadAverageBegin, LoadAverageEnd string

	Violations []string

	head              uint64 // the newest version of which an operator knows
	countsWorstSecond bool
	worstSecond       map[ProcessKind]float64 // bytes on all links of a kind
}

// addSecond records the bytes that the links of a kind have carried in a second.
func (r *Report) addSecond(kind ProcessKind, bytes int64) {
	if r.worstSecond == nil {
		r.worstSecond = map[ProcessKind]float64{}
	}
	r.worstSecond[kind] = max(r.worstSecond[kind], float64(bytes))
}

// violateIf records a violation if a bound is broken.
func (r *Report) violateIf(isBroken bool, format string, args ...any) {
	if isBroken {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkBounds collects the auditor's violations, and checks costs against what a node may take.
func (r *Report) checkBounds() {
	r.Violations = append(r.Violations, r.Findings.Violations...)
	r.checkCosts()
	if r.Fair {
		r.checkFairness()
	}
	if r.Load.Requests > 0 {
		r.checkLoad()
	}
}

// checkCosts checks what a node took. A real node's processor time has its load in it, so no bound is on it.
func (r *Report) checkCosts() {
	bounds := r.Experiment.Bounds
	for _, costs := range []map[ProcessKind]Cost{r.Quiet, r.Changing} {
		for _, kind := range nodeKinds {
			cost := costs[kind]
			r.violateIf(cost.Bytes > bounds.BytesPerSecond,
				"a %s node took %.0f bytes a second, over %.0f", kind, cost.Bytes, bounds.BytesPerSecond)
			r.violateIf(kind == KindHollow && cost.Core > bounds.CoreShare,
				"a %s node took %.2f%% of a core, over %.1f%%", kind, 100*cost.Core, 100*bounds.CoreShare)
		}
	}
	for _, kind := range nodeKinds {
		r.violateIf(r.MemoryMB[kind] > bounds.MemoryMB, "a %s node took %.0f MB, over %.0f", kind, r.MemoryMB[kind], bounds.MemoryMB)
	}
}

// checkFairness checks that a hollow node costs what a real one does: otherwise a run with hollow nodes shows nothing.
func (r *Report) checkFairness() {
	for _, what := range slices.Sorted(maps.Keys(r.Medians)) {
		hollow, real := r.Medians[what][KindHollow], r.Medians[what][KindReal]
		isFair := real != 0 && hollow >= (1-fairTolerance)*real && hollow <= (1+fairTolerance)*real
		r.violateIf(!isFair, "no fair copy: a hollow node takes %.2f %s a second, a real one %.2f", hollow, what, real)
	}
}

func (r *Report) checkLoad() {
	verdict := r.Load.Verdict
	r.violateIf(!verdict.Kept, "the real nodes broke a rule: %s", verdict.Text)
	for _, evidence := range verdict.Evidence[:min(len(verdict.Evidence), maxLoadViolations)] {
		r.violateIf(true, "  %s", strings.ReplaceAll(evidence, "\n", "; "))
	}
}
