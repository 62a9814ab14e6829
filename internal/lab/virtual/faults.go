package virtual

import (
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/faults"
	"pearknot/internal/lab/metrics"
)

// scheduleFaults schedules the beginning and the end of each of the experiment's faults, and returns their spans for
// the result.
func (s *simulation) scheduleFaults() []metrics.Trouble {
	var spans []metrics.Trouble
	for _, change := range s.switches {
		s.schedule(change.At, func() { s.switchFault(change) })
		if !change.On {
			continue
		}
		fault := s.experiment.Trouble[change.Index]
		spans = append(spans, metrics.Trouble{Kind: fault.Kind, From: fault.At * 1e3, To: fault.Ends(), Targets: change.Targets})
	}
	return spans
}

// switchFault begins or ends a fault. Kinds that aren't named here act only through the state of faults, which the
// workload and the network ask.
func (s *simulation) switchFault(change faults.Transition) {
	s.faults.Apply(change)
	switch kind := s.experiment.Trouble[change.Index].Kind; kind {
	case experiment.Swallow, experiment.Errors, experiment.Slow, experiment.Pauses, experiment.Lies, experiment.Stuck,
		experiment.Crash, experiment.Vanish, experiment.Shrink, experiment.Join:
		for _, number := range change.Targets {
			s.switchBackendFault(s.backends[number], kind, change.On)
		}
	case experiment.Nodes:
		for _, number := range change.Targets {
			if change.On {
				s.killNode(s.nodes[number])
			} else {
				s.restartNode(s.nodes[number])
			}
		}
	case experiment.ListEmpty:
		s.emptyList(change.On)
	case experiment.Squeeze:
		s.closeIdleConnections(change.Targets)
	case experiment.ListDown:
		if change.On {
			for _, n := range s.nodes {
				s.breakWatch(n)
			}
		}
	}
}

// switchBackendFault begins or ends a fault at one backend.
func (s *simulation) switchBackendFault(b *backend, kind string, on bool) {
	switch kind {
	case experiment.Crash, experiment.Vanish:
		if on {
			s.crashBackend(b, kind == experiment.Vanish)
		} else {
			s.restartBackend(b)
		}
	case experiment.Shrink:
		if on {
			s.drainBackend(b)
		} else {
			s.restartBackend(b)
		}
	case experiment.Join:
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
