package simcluster

import (
	"container/heap"
	"fmt"

	"pearknot/balancer"
	"pearknot/internal/requestlog"
)

// Start starts all processes, with nothing to do. Advance plays on.
func (s *Cluster) Start() {
	for k := range s.procs {
		s.after(float64(k)*3, func() { s.start(k) })
	}
}

// Advance plays for so many ms.
func (s *Cluster) Advance(ms float64) {
	until := s.now + ms
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// LogRequests has a process take so many requests over so many ms, each with its record at the start and one outcome of so many bytes
// that is kept. What no log would take is not tried again; LoggedAnswers counts the others.
func (s *Cluster) LogRequests(k, requests int, over float64, body int) {
	life := s.procs[k].life
	for range requests {
		s.kept++
		key := fmt.Sprintf("kept-%d", s.kept)
		s.after(s.rng.Float64()*over, func() {
			s.in(k, life, func() {
				until := s.now + 2000
				s.write(k, requestlog.Record{Kind: requestlog.AttemptStarted, Key: key, Request: requestlog.Request{Fingerprint: 1, Idempotency: balancer.AtMostOnce, Deadline: until,
					EncodedMessage: make([]byte, body)}, Attempt: requestlog.Attempt{Backend: "b0", StartedAt: s.now}}, until, func(r requestlog.Reply) {
					if r.Result != requestlog.Committed {
						return
					}
					s.write(k, requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: requestlog.FinalAnswer{Status: requestlog.Served, Body: make([]byte, body)}},
						s.now+1500, func(r requestlog.Reply) {
							if r.Result == requestlog.Committed {
								s.LoggedAnswers++
							}
						})
				})
			})
		})
	}
}
