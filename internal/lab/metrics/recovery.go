package metrics

import "math"

const (
	// recoveredShare is the share of the service before a fault at which service counts as recovered.
	recoveredShare = 0.95
	// baselineWindows is the length, in windows, of the time before a fault that recovery is measured against: 10 s.
	baselineWindows = 20
	// recoverySpanWindows is the length, in windows, of the spans that are compared with it: 1 s. A single window may have
	// few requests, and then its service varies too much.
	recoverySpanWindows = 2
)

// FaultSpan is one fault of a run, with the targets that were drawn for it.
type FaultSpan struct {
	Kind     string
	From, To float64 // ms
	Targets  []int   // numbers of backends or nodes, by the kind of fault
}

// newRecovery compares service before, during and after a fault.
func newRecovery(windows []Window, fault FaultSpan) Recovery {
	recovery := Recovery{
		Kind:            fault.Kind,
		From:            fault.From / 1e3,
		To:              fault.To / 1e3,
		WorstService:    1,
		RecoverySeconds: -1,
		Targets:         fault.Targets,
	}
	first := min(int(fault.From/windowMs), len(windows)) // window in which the fault begins
	baseline := max(0, min(int(fault.From/windowMs)-baselineWindows, first))
	recovery.ServiceBefore = serviceOver(windows[baseline:first])

	last := len(windows) // window from which on service is as before
	if recovered, ok := recoveredWindow(windows, fault, recovery.ServiceBefore); ok {
		last = recovered
		recovery.RecoverySeconds = math.Max(0, windows[recovered].At-recovery.To)
	}
	for i := first; i < last; i++ {
		window := windows[i]
		recovery.LostWeight += math.Max(0, recovery.ServiceBefore*window.Offered-window.Earned)
		if window.Offered > 0 {
			recovery.WorstService = math.Min(recovery.WorstService, window.Earned/window.Offered)
		}
	}
	return recovery
}

// recoveredWindow returns the first window after a fault at which two successive spans have service as before, so that a
// single good span doesn't count as recovery. At the end of the run a single span is enough.
func recoveredWindow(windows []Window, fault FaultSpan, serviceBefore float64) (index int, recovered bool) {
	isGood := func(i int) bool {
		span := windows[i:min(i+recoverySpanWindows, len(windows))]
		return serviceOver(span) >= recoveredShare*serviceBefore
	}
	for i := int(math.Ceil(fault.To / windowMs)); i < len(windows); i++ {
		if isGood(i) && (i+1 >= len(windows) || isGood(i+1)) {
			return i, true
		}
	}
	return 0, false
}
