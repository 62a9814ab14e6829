package simcontrolplane

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"

	"pearknot/internal/controlplane"
)

const (
	operators   = 3
	answerAfter = 4000.0 // ms that an operator waits for a word of a member
	mostTries   = 6
)

// edited is a document with one thing changed, that no other edit makes.
func (s *Plane) edited(doc *controlplane.Document, id uint64) *controlplane.Document {
	value := fmt.Sprintf("%016x%016x%016x", s.rng.Uint64(), id, s.rng.Uint64())
	tenant := func() string {
		return fmt.Sprintf(`{"name":"t%d","value":"%s"}`, s.rng.IntN(10*s.t.Tenants), value)
	}
	lines := strings.Split(strings.TrimSuffix(string(doc.Text()), "\n"), "\n")
	if len(lines) < 6 { // the first
		lines = []string{"{", `"edit":0,`, `"tenants":[`}
		for k := range s.t.Tenants {
			lines = append(lines, fmt.Sprintf(`{"name":"t%d","value":"%016x%016x"},`, k, s.rng.Uint64(), s.rng.Uint64()))
		}
		lines = append(lines, `{"name":"last"}`, "]", "}")
	}
	lines[1] = fmt.Sprintf(`"edit":"%x",`, id)
	first, last := 3, len(lines)-3 // of the tenants but for the last
	at := first + s.rng.IntN(max(last-first, 1))
	switch x := s.rng.IntN(4); {
	case x == 0 && last-first > 3:
		lines = slices.Delete(lines, at, at+1)
	case x == 1 || last <= first:
		lines = slices.Insert(lines, at, tenant()+",")
	default:
		lines[at] = tenant() + ","
	}
	d, err := controlplane.Parse([]byte(strings.Join(lines, "")))
	if err != nil {
		panic(err)
	}
	return d
}

// operate is an operator: it reads a version, from a member that may be late, edits it, and proposes that.
func (s *Plane) operate() {
	if s.now-s.judge.base > length-windDown+2000 {
		return
	}
	again := func() { s.after(50+s.rng.Float64()*1500, s.operate) }
	p := s.procs[s.rng.IntN(s.t.Voters)]
	if s.rng.IntN(5) == 0 {
		p = s.procs[s.rng.IntN(s.members())]
	}
	life := p.life
	if !p.up || p.frozen {
		again()
		return
	}
	s.after(1+s.rng.Float64()*20, func() {
		s.in(p.id, life, func() {
			version, doc := p.history().Head()
			s.after(5+s.rng.Float64()*100, func() {
				id := s.rng.Uint64() | 1
				to := s.edited(doc, id)
				x := &proposal{id: id, base: version, digest: to.Digest()}
				s.judge.propose(x)
				s.propose(x, to, s.rng.IntN(s.t.Voters), 0)
			})
		})
	})
	again()
}

func (s *Plane) propose(x *proposal, text *controlplane.Document, voter, try int) {
	if try == mostTries {
		return // what became of it is for the log to tell
	}
	p, over := s.procs[voter], false
	next := func(v int, wait float64) {
		if !over {
			over = true
			s.after(wait, func() { s.propose(x, text, v, try+1) })
		}
	}
	elsewhere := func() int { return (voter + 1 + s.rng.IntN(max(s.t.Voters-1, 1))) % s.t.Voters }
	s.after(answerAfter, func() { next(elsewhere(), 0) })
	s.after(1+s.rng.Float64()*20, func() {
		if !p.up {
			next(elsewhere(), 100)
			return
		}
		life := p.life
		s.in(p.id, life, func() {
			p.waits[x.id] = func(r controlplane.Result) {
				s.trace("%s answers %x from %d: %v %d", p.name, x.id, x.base, r.Code, r.Version)
				s.judge.answered(x, r)
				if r.Code == controlplane.CodeDone && s.acked != nil {
					s.acked(p.id)
				}
				switch r.Code {
				case controlplane.CodeNotLeader, controlplane.CodeLeadershipLost:
					to := elsewhere()
					if r.Leader > 0 {
						to = int(r.Leader - 1)
					}
					next(to, 100+s.rng.Float64()*200)
				case controlplane.CodeBusy:
					next(voter, 200)
				default:
					over = true
				}
			}
			p.voter.Propose(s.at(p), x.id, controlplane.Proposal{Base: x.base, Document: text, By: "operator", Reason: "trial"})
		})
	})
}

// Run plays faults over the load, and tells what was broken.
func (s *Plane) Run(faults []Fault, strict Strict) []string {
	s.judge.base, s.judge.strict, s.judge.faults = s.now, strict, faults
	for _, p := range s.procs {
		s.after(s.rng.Float64()*50, func() { s.start(p) })
	}
	for range operators {
		s.after(500+s.rng.Float64()*1500, s.operate)
	}
	for _, f := range faults {
		s.after(f.At, func() { s.fault(f) })
	}
	s.after(length-windDown, func() { s.calm = true })
	var look func()
	look = func() {
		s.judge.ages()
		s.after(200, look)
	}
	s.after(1000, look)
	for len(s.events) > 0 && s.now-s.judge.base < length && len(s.judge.wrong) == 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.judge.end()
}
