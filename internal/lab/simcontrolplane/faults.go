package simcontrolplane

import (
	"math/rand/v2"
	"slices"
)

const (
	startUp  = 3000.0 // ms before the first fault
	windDown = 12e3   // from the end of all faults to the end
	length   = 36e3   // of a schedule
)

// Schedule draws faults by a seed: one after the other, or, where harsh, several at once.
func Schedule(seed uint64, t Shape, harsh bool) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	members, procs := t.Voters+t.Relays, t.Voters+t.Relays+t.Nodes
	kinds := []string{"kill", "lost", "freeze", "cut", "oneway", "alone", "mute", "deaf", "region", "slow", "thin"}
	n := 1 + rng.IntN(3)
	if harsh {
		n = 4 + rng.IntN(8)
	}
	at := startUp + rng.Float64()*2000
	for range n {
		f := Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], A: rng.IntN(members)}
		if rng.IntN(4) == 0 {
			f.A = rng.IntN(procs)
		}
		if f.B = rng.IntN(members); f.B == f.A {
			f.B = (f.A + 1) % members
		}
		f.Until = min(f.At+200+rng.Float64()*rng.Float64()*9000, length-windDown)
		if harsh {
			at += rng.Float64() * 2500
		} else {
			at = f.Until + 2000 + rng.Float64()*4000
		}
		if f.At < length-windDown-500 {
			all = append(all, f)
		}
	}
	return all
}

// links are those that a fault touches, from and to.
func (s *Plane) links(f Fault) (all [][2]int) {
	both := func(a, b int) { all = append(all, [2]int{a, b}, [2]int{b, a}) }
	switch f.Kind {
	case "cut":
		both(f.A, f.B)
	case "oneway":
		all = append(all, [2]int{f.A, f.B})
	case "mute", "deaf":
		for k := range s.procs {
			if k != f.A && f.Kind == "mute" {
				all = append(all, [2]int{f.A, k})
			} else if k != f.A {
				all = append(all, [2]int{k, f.A})
			}
		}
	case "alone", "slow", "thin":
		for k := range s.procs {
			if k != f.A {
				both(f.A, k)
			}
		}
	case "region":
		for _, p := range s.procs {
			for _, q := range s.procs {
				if p.region == s.procs[f.A].region && q.region != p.region {
					both(p.id, q.id)
				}
			}
		}
	}
	return all
}

func (s *Plane) fault(f Fault) {
	if f.A < 0 {
		f.A = 0
		for k, p := range s.procs[:s.t.Voters] {
			if p.up && p.voter.IsLeader() {
				f.A = k
			}
		}
	}
	p := s.procs[f.A]
	end := func(do func()) { s.after(f.Until-f.At, do) }
	s.trace("%s %s %s until %.0f", f.Kind, p.name, s.procs[f.B].name, s.now+f.Until-f.At)
	switch f.Kind {
	case "kill", "lost":
		if !p.up {
			return
		}
		s.kill(p)
		if f.Kind == "lost" {
			p.copy.Version, p.copy.Document = 0, nil
		}
		s.judge.bad(p.id, p.id, f.Until-f.At)
		end(func() { s.start(p) })
	case "freeze":
		if !p.up || p.frozen {
			return
		}
		life := p.life
		p.frozen = true
		s.judge.bad(p.id, p.id, f.Until-f.At)
		end(func() {
			if p.up && p.life == life {
				p.frozen = false
				s.resume(p)
			}
		})
	default:
		all := s.links(f)
		change := func(sign int) {
			for _, l := range all {
				switch f.Kind {
				case "slow":
					s.slow[l[0]][l[1]] += float64(sign) * 800
				case "thin":
					s.thin[l[0]][l[1]] += float64(sign)
				default:
					if s.cut[l[0]][l[1]] += sign; s.cut[l[0]][l[1]] == 0 {
						s.release(l[0], l[1])
					}
				}
			}
		}
		change(1)
		for _, l := range all {
			s.judge.bad(l[0], l[1], f.Until-f.At)
		}
		end(func() { change(-1) })
	}
}

// Shrink leaves out faults while it still goes wrong.
func Shrink(faults []Fault, wrong func([]Fault) bool) []Fault {
	for k := 0; k < len(faults); {
		if less := slices.Delete(slices.Clone(faults), k, k+1); wrong(less) {
			faults = less
		} else {
			k++
		}
	}
	return faults
}
