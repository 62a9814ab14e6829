package virtual

import (
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
)

// scheduleFaults schedules the beginning and the end of each of the experiment's faults, and returns their spans for
// the result.
func (s *simulation) scheduleFaults() []metrics.FaultSpan {
	var spans []metrics.FaultSpan
	for _, transition := range s.transitions {
		s.schedule(transition.At, func() { s.applyTransition(transition) })
		if !transition.On {
			continue
		}
		fault := s.experiment.Faults[transition.Index]
		spans = append(spans, metrics.FaultSpan{Kind: fault.Kind, From: fault.StartSeconds * 1e3, To: fault.EndMs(), Targets: transition.Targets})
	}
	return spans
}

// applyTransition begins or ends a fault. Kinds that aren't named here act only through the state of faults, which the
// workload and the network ask.
func (s *simulation) applyTransition(transition faults.Transition) {
	s.faults.Apply(transition)
	switch kind := s.experiment.Faults[transition.Index].Kind; kind {
	case experiment.FaultSwallow, experiment.FaultErrors, experiment.FaultSlow, experiment.FaultPauses, experiment.FaultWrongReports, experiment.FaultStuckReports,
		experiment.FaultCrash, experiment.FaultMachineLoss, experiment.FaultScaleDown, experiment.FaultScaleUp:
		for _, number := range transition.Targets {
			s.applyBackendFault(s.backends[number], kind, transition.On)
		}
	case experiment.FaultNodeCrash:
		for _, number := range transition.Targets {
			if transition.On {
				s.killNode(s.nodes[number])
			} else {
				s.restartNode(s.nodes[number])
			}
		}
	case experiment.FaultListEmpty:
		s.emptyList(transition.On)
	case experiment.FaultConnectionLimit:
		s.closeIdleConnections(transition.Targets)
	case experiment.FaultListDown:
		if transition.On {
			for _, n := range s.nodes {
				s.breakWatch(n)
			}
		}
	}
}

// applyBackendFault begins or ends a fault at one backend.
func (s *simulation) applyBackendFault(b *backend, kind string, on bool) {
	switch kind {
	case experiment.FaultCrash, experiment.FaultMachineLoss:
		if on {
			s.crashBackend(b, kind == experiment.FaultMachineLoss)
		} else {
			s.restartBackend(b)
		}
	case experiment.FaultScaleDown:
		if on {
			s.drainBackend(b)
		} else {
			s.restartBackend(b)
		}
	case experiment.FaultScaleUp:
		if on {
			s.restartBackend(b)
		}
	default: // a fault in how its machine works
		b.SetFaults(s.now, s.faults.BackendFaults(b.number))
		s.advanceBackend(b)
	}
}

// closeIdleConnections closes all pooled connections to the given backends.
func (s *simulation) closeIdleConnections(backends []int) {
	for _, n := range s.nodes {
		for _, number := range backends {
			n.idle[number] = nil
		}
	}
}
