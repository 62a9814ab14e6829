package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pearknot/internal/lab/metrics"
)

const (
	hollowCostTolerance = 0.1 // fraction by which a hollow node's cost may differ from a real one's
	maxLoadViolations   = 3   // reported pieces of evidence of a broken load rule
)

// Cost holds the resources that one node or member of a kind has used, per second.
type Cost struct {
	Count       int     // number of nodes or members
	Bytes       float64 // sent and received
	WorstSecond float64 // bytes in the busiest second
	Messages    float64 // sent and received
	Core        float64 // fraction of one core
}

// Report is the result of a run.
type Report struct {
	Experiment     *Experiment
	MachineMB      float64
	ComparesHollow bool
	DocumentBytes  int

	Quiet    map[ProcessKind]Cost
	Changing map[ProcessKind]Cost
	// Medians is set with Options.CompareHollow: bytes and messages per second of the median node of each kind, as counted by the nodes.
	Medians   map[string]map[ProcessKind]float64
	MemoryMB  map[ProcessKind]float64 // the mean of hollow nodes, the largest of real nodes and members
	PeakMB    int64                   // peak of all processes together
	Processes int                     // peak number

	CommitMs   []float64 // commit time of each acknowledged change
	Unanswered int       // changes without an answer
	NotStarted int       // changes not made because earlier commits took too long
	Findings   Findings
	Load       metrics.Run

	// Load and delays of the machine itself, which may affect the figures above.
	LabLateness, HollowLateness      Lateness
	StolenShare                      float64 // fraction of processor time that the host gave to other machines
	LabCore                          float64 // fraction of a core that this process used
	LoadAverageStart, LoadAverageEnd string

	Violations []string

	head              uint64 // newest version known to the operator
	countsWorstSecond bool
	worstSecond       map[ProcessKind]float64 // bytes on all links of a kind in its busiest second
}

// recordSecond records the bytes that the links of a kind have carried in a second.
func (r *Report) recordSecond(kind ProcessKind, bytes int64) {
	if r.worstSecond == nil {
		r.worstSecond = map[ProcessKind]float64{}
	}
	r.worstSecond[kind] = max(r.worstSecond[kind], float64(bytes))
}

// addViolationIf records a violation if isBroken.
func (r *Report) addViolationIf(isBroken bool, format string, args ...any) {
	if isBroken {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkBounds collects the auditor's violations, and checks the costs against the bounds.
func (r *Report) checkBounds() {
	r.Violations = append(r.Violations, r.Findings.Violations...)
	r.checkCosts()
	if r.ComparesHollow {
		r.checkHollowCosts()
	}
	if r.Load.Requests > 0 {
		r.checkLoad()
	}
}

// checkCosts checks the costs of nodes against the bounds. The processor time of a real node includes its load, so it is not bounded.
func (r *Report) checkCosts() {
	bounds := r.Experiment.Bounds
	for _, costs := range []map[ProcessKind]Cost{r.Quiet, r.Changing} {
		for _, kind := range nodeKinds {
			cost := costs[kind]
			r.addViolationIf(cost.Bytes > bounds.BytesPerSecond,
				"a %s node took %.0f bytes a second, over %.0f", kind, cost.Bytes, bounds.BytesPerSecond)
			r.addViolationIf(kind == KindHollow && cost.Core > bounds.CoreShare,
				"a %s node took %.2f%% of a core, over %.1f%%", kind, 100*cost.Core, 100*bounds.CoreShare)
		}
	}
	for _, kind := range nodeKinds {
		r.addViolationIf(r.MemoryMB[kind] > bounds.MemoryMB, "a %s node took %.0f MB, over %.0f", kind, r.MemoryMB[kind], bounds.MemoryMB)
	}
}

// checkHollowCosts checks that a hollow node costs as much as a real one: otherwise the results of runs with hollow nodes are not valid.
func (r *Report) checkHollowCosts() {
	for _, what := range slices.Sorted(maps.Keys(r.Medians)) {
		hollow, real := r.Medians[what][KindHollow], r.Medians[what][KindReal]
		isWithin := real != 0 && hollow >= (1-hollowCostTolerance)*real && hollow <= (1+hollowCostTolerance)*real
		r.addViolationIf(!isWithin, "no fair copy: a hollow node takes %.2f %s a second, a real one %.2f", hollow, what, real)
	}
}

func (r *Report) checkLoad() {
	verdict := r.Load.Verdict
	r.addViolationIf(!verdict.Kept, "the real nodes broke a rule: %s", verdict.Text)
	for _, evidence := range verdict.Evidence[:min(len(verdict.Evidence), maxLoadViolations)] {
		r.addViolationIf(true, "  %s", strings.ReplaceAll(evidence, "\n", "; "))
	}
}
