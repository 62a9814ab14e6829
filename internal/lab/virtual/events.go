package virtual

import "math"

// schedule has a function called at a time in ms. A time in the past means now, after what is due already.
func (s *simulation) schedule(at float64, handle func()) {
	s.events.Schedule(math.Max(at, s.now), handle)
}

// processEvents calls the handlers in order until the queue is empty, or the experiment is over and no request is
// open.
func (s *simulation) processEvents() {
	for s.events.Len() > 0 {
		next := s.events.Take()
		if next.At > s.experiment.LengthMs() && s.recorder.OpenRequests() == 0 {
			return
		}
		s.now = next.At
		s.eventsProcessed++
		next.Handle()
	}
}
