package among

import (
	"container/heap"
	"fmt"

	"pearknot/balance"
	"pearknot/internal/estate"
)

// Up starts all processes, with nothing to do. Pass plays on.
func (s *Fleet) Up() {
	for k := range s.procs {
		s.after(float64(k)*3, func() { s.start(k) })
	}
}

// Pass plays for so many ms.
func (s *Fleet) Pass(ms float64) {
	until := s.now + ms
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// Keep has a process take so many requests over so many ms, each with its record at the start and one outcome of so many bytes
// that is kept. What no log would take is not tried again; Finals counts the others.
func (s *Fleet) Keep(k, requests int, over float64, body int) {
	life := s.procs[k].life
	for range requests {
		s.kept++
		key := fmt.Sprintf("kept-%d", s.kept)
		s.after(s.rng.Float64()*over, func() {
			s.in(k, life, func() {
				until := s.now + 2000
				s.write(k, estate.Record{Kind: estate.Begin, Key: key, Op: estate.Op{Print: 1, Effect: balance.AtMostOnce, GiveUp: until,
					Message: make([]byte, body)}, Push: estate.Push{Backend: "b0", At: s.now}}, until, func(r estate.Reply) {
					if r.Code != estate.Done {
						return
					}
					s.write(k, estate.Record{Kind: estate.Finish, Key: key, Outcome: estate.Outcome{Final: estate.Acked, Body: make([]byte, body)}},
						s.now+1500, func(r estate.Reply) {
							if r.Code == estate.Done {
								s.Finals++
							}
						})
				})
			})
		})
	}
}
