package metrics

import (
	"math"

	"pearknot/internal/invariants"
)

// maxEvidence is the number of violations that a result describes.
const maxEvidence = 10

// Finish returns the metrics of the run. It is called once, after the auditor's Finish. WorkDone is the work of all
// backends together, in ms of a standard core; crashes is how many of them crashed because they were overloaded.
func (r *Recorder) Finish(auditor *invariants.Auditor, workDone float64, crashes int, faults []FaultSpan) Run {
	run := r.run
	requests := float64(max(run.Requests, 1))
	run.AttemptsPerRequest = float64(r.attempts) / requests
	run.SendsPerRequest = float64(r.sends) / requests
	run.CrossZonePerRequest = float64(r.crossZone) / requests
	run.BackendCrashes = crashes
	if workDone > 0 {
		run.WastedWork = math.Max(0, 1-r.usefulWork/workDone)
	}
	run.Classes = r.classResults()
	run.Service = r.service()
	run.Herding, run.HerdingP99 = r.herding.finish()
	run.Windows = r.finishedWindows()
	run.WorstTenSeconds = worstService(run.Windows, worstSpanWindows)
	for _, fault := range faults {
		run.Faults = append(run.Faults, newRecovery(run.Windows, fault))
	}
	if len(r.experiment.Clients.Ramp) >= minRampPoints {
		run.Hysteresis = newHysteresis(r.experiment, run.Windows)
	}
	run.Verdict = newVerdict(auditor)
	return run
}

// service returns the service of all classes together.
func (r *Recorder) service() float64 {
	offered, earned := 0.0, 0.0
	for _, class := range r.byClass {
		offered += class.offered
		earned += class.earned
	}
	return ratio(earned, offered)
}

func (r *Recorder) classResults() []ClassResult {
	var results []ClassResult
	for i, class := range r.byClass {
		results = append(results, ClassResult{
			Name:     r.experiment.Classes[i].Name,
			Requests: class.requests,
			Service:  ratio(class.earned, class.offered),
			Latencies: [4]float64{
				quantileMs(class.latencies, 50),
				quantileMs(class.latencies, 90),
				quantileMs(class.latencies, 99),
				quantileMs(class.latencies, 99.9),
			},
		})
	}
	return results
}

// finishedWindows returns the windows of the run. What happens after the experiment's end, while the last requests are
// finished, belongs to none.
func (r *Recorder) finishedWindows() []Window {
	var windows []Window
	for _, totals := range r.windows {
		if totals.At*1e3 >= r.experiment.LengthMs() {
			break
		}
		windows = append(windows, totals.finish())
	}
	return windows
}

// finish returns the window's metrics.
func (t windowTotals) finish() Window {
	window := t.Window
	for class, offered := range t.offeredByClass {
		window.Offered += offered
		window.Earned += t.earnedByClass[class]
		service := -1.0
		if offered > 0 {
			service = t.earnedByClass[class] / offered
		}
		window.ServiceByClass = append(window.ServiceByClass, service)
	}
	window.Latencies = [3]float64{
		quantileMs(t.latencies, 50),
		quantileMs(t.latencies, 99),
		quantileMs(t.latencies, 100),
	}
	return window
}

func newVerdict(auditor *invariants.Auditor) Verdict {
	verdict := Verdict{Kept: auditor.AllKept(), Text: auditor.Verdict()}
	for i := range verdict.Violations {
		verdict.Violations[i] = auditor.Count(invariants.Rule(i + 1))
	}
	violations := auditor.Violations()
	for _, violation := range violations[:min(len(violations), maxEvidence)] {
		verdict.Evidence = append(verdict.Evidence, violation.String())
	}
	return verdict
}
