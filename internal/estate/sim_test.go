package estate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"pearknot/balance"
	"pearknot/internal/rules"
)

// A fleet in virtual time: houses, links that can be cut, processes that can be killed and frozen, clients that come back
// with their keys, and backends that count effects. One seed makes one history.

type fault struct {
	at, until float64
	kind      string // kill, freeze, cut (both ways), oneway, slow, flap
	a, b      int
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type proc struct {
	house  *House
	life   uint64
	up     bool
	frozen bool
	queue  []func() // what comes while it is frozen
	waits  map[uint64]func(Reply)
	ids    uint64
}

type client struct {
	key     string
	effect  balance.Effect
	giveUp  float64
	outcome string
}

type sim struct {
	now      float64
	seq      int
	events   events
	rng      *rand.Rand
	procs    []*proc
	down     [][]bool // links that carry nothing, from and to
	delay    [][]float64
	arrives  [][]float64 // latest arrival, so that a link keeps its order
	linked   [][]bool
	early    bool // pushes begin before their record is written: an order swapped on purpose
	sameLife bool // a process that was started again goes by its old life
	flaw     Flaw
	copies   int

	keys   *rules.Keys
	marks  map[string]float64
	finals int
	took   int
	trace  func(string, ...any)
}

func newSim(seed uint64, members, copies int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 17)), copies: copies, keys: rules.NewKeys(), marks: map[string]float64{},
		trace: func(string, ...any) {}, now: 1e6}
	for range members {
		s.procs = append(s.procs, &proc{})
		s.down = append(s.down, make([]bool, members))
		s.delay = append(s.delay, make([]float64, members))
		s.arrives = append(s.arrives, make([]float64, members))
		s.linked = append(s.linked, make([]bool, members))
	}
	return s
}

func (s *sim) after(ms float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + ms, s.seq, do})
}

// in runs something in a process, when it can run.
func (s *sim) in(k int, life uint64, do func()) {
	p := s.procs[k]
	switch {
	case !p.up || p.life != life:
	case p.frozen:
		p.queue = append(p.queue, do)
	default:
		do()
		s.pull(k)
	}
}

func (s *sim) start(k int) {
	p := s.procs[k]
	life := uint64(s.now)
	if s.sameLife && p.life != 0 {
		life = p.life
	}
	var names []string
	for m := range s.procs {
		names = append(names, fmt.Sprintf("n%d", m))
	}
	*p = proc{life: life, up: true, waits: map[uint64]func(Reply){},
		house: New(Terms{Members: names, Self: k, Life: life, Copies: s.copies, Seed: s.rng.Uint64(), Most: 1 << 20, Keep: 60e3, Flaw: s.flaw}, s.now)}
	for m := range s.procs {
		if m != k {
			s.after(20+s.rng.Float64()*20, func() { s.relink(k, m) })
		}
	}
	s.tick(k, life)
}

func (s *sim) tick(k int, life uint64) {
	p := s.procs[k]
	if !p.up || p.life != life {
		return
	}
	s.in(k, life, func() { p.house.Tick(s.now) })
	s.after(TickMs, func() { s.tick(k, life) })
}

// relink brings a link up both ways, if nothing is in its way.
func (s *sim) relink(a, b int) {
	pa, pb := s.procs[a], s.procs[b]
	if !pa.up || !pb.up || pa.frozen || pb.frozen || s.down[a][b] || s.down[b][a] {
		return
	}
	for _, x := range [2][2]int{{a, b}, {b, a}} {
		k, m := x[0], x[1]
		pid := s.procs[m].house.Self()
		s.linked[k][m] = true
		s.in(k, s.procs[k].life, func() { s.procs[k].house.Linked(s.now, m, pid) })
	}
}

func (s *sim) unlink(a, b int) {
	for _, x := range [2][2]int{{a, b}, {b, a}} {
		k, m := x[0], x[1]
		if s.linked[k][m] {
			s.linked[k][m] = false
			s.in(k, s.procs[k].life, func() { s.procs[k].house.Broken(s.now, m) })
		}
	}
}

func (s *sim) pull(k int) {
	p := s.procs[k]
	for {
		o, more := p.house.Next()
		if !more {
			return
		}
		switch {
		case o.Frame != nil:
			s.carry(k, o.To, o.Frame)
		case o.Reply != nil:
			if f := p.waits[o.Reply.ID]; f != nil {
				delete(p.waits, o.Reply.ID)
				f(*o.Reply)
			}
		case o.Inherit != nil:
			s.took++
			s.inherit(k, o.Inherit)
		case o.Log != "":
			s.trace("%.0f n%d %s", s.now, k, o.Log)
		}
	}
}

func (s *sim) carry(from, to int, frame []byte) {
	if s.down[from][to] || !s.linked[from][to] {
		return
	}
	life, sender := s.procs[to].life, s.procs[from].life
	at := max(s.now+0.1+s.rng.Float64()*0.4+s.delay[from][to]*s.rng.Float64(), s.arrives[from][to])
	s.arrives[from][to] = at
	s.after(at-s.now, func() {
		if s.linked[to][from] && s.procs[from].life == sender {
			s.in(to, life, func() {
				if err := s.procs[to].house.Take(s.now, from, frame); err != nil {
					panic(err)
				}
			})
		}
	})
}

func (s *sim) write(k int, r Record, until float64, f func(Reply)) {
	p := s.procs[k]
	p.ids++
	p.waits[p.ids] = f
	p.house.Write(s.now, p.ids, r, until)
}

// come is a client's try at a node.
func (s *sim) come(k int, c client) {
	p := s.procs[k]
	life := p.life
	s.in(k, life, func() {
		p.ids++
		p.waits[p.ids] = func(r Reply) {
			switch r.Code {
			case Free:
				s.take(k, c)
			case InHand:
				if s.now+50 < c.giveUp {
					s.after(50, func() { s.come(k, c) })
				}
			case Over:
				s.given(c.key, r.Outcome)
			}
		}
		p.house.Look(s.now, p.ids, c.key, 1, min(s.now+500, c.giveUp))
	})
}

func (s *sim) given(key string, o Outcome) {
	s.keys.Outcome(s.now, key, fmt.Sprint(o.Final, string(o.Body)))
}

func (s *sim) take(k int, c client) {
	op := Op{Print: 1, Effect: c.effect, Remembered: 800, GiveUp: c.giveUp, Message: []byte("op " + c.key)}
	s.push(k, c.key, op, nil, func(code Code) {
		if code == InHand {
			s.after(50, func() { s.come(k, c) })
		}
	})
}

// push begins one as a node does: its record first.
func (s *sim) push(k int, key string, op Op, before []Push, refused func(Code)) {
	number := len(before)
	p := s.procs[k]
	life := p.life
	b := fmt.Sprintf("b%d", s.rng.IntN(5))
	is := Push{Number: number, Backend: b, At: s.now}
	all := append(slices.Clone(before), is)
	run := func(b string) {
		s.after(1+s.rng.Float64()*120, func() { // at the backend, whatever becomes of the process
			lost := s.rng.Float64() < 0.15
			ran := s.rng.Float64() > 0.1
			if ran {
				s.effect(key, op)
			}
			s.in(k, life, func() {
				switch {
				case !ran:
					s.write(k, Record{Kind: End, Key: key, Push: Push{Number: number, Ending: balance.NoConnection}}, op.GiveUp+1000, func(Reply) {})
					if number < 2 && s.now < op.GiveUp {
						all[number].Over, all[number].Ending = true, balance.NoConnection
						s.push(k, key, op, all, func(Code) {})
					} else if all[number].Over, all[number].Ending = true, balance.NoConnection; (&Entry{Op: op, Pushes: all}).Nackable() {
						s.finish(k, key, Outcome{Final: Nacked})
					} else {
						s.finish(k, key, Outcome{Final: DeadLettered})
					}
				case lost && op.Effect == balance.Redeliverable && number < 2:
					s.push(k, key, op, all, func(Code) {})
				case lost:
					s.finish(k, key, Outcome{Final: DeadLettered})
				default:
					s.finish(k, key, Outcome{Final: Acked, Body: []byte(b)})
				}
			})
		})
	}
	if s.early {
		run(b)
	}
	s.write(k, Record{Kind: Begin, Key: key, Op: op, Push: is}, min(op.GiveUp, s.now+500), func(r Reply) {
		s.trace("%.0f n%d begin %s %d: %v asked %.0f", s.now, k, key, number, r.Code, r.Asked)
		switch {
		case r.Code != Done:
			refused(r.Code)
		case s.now-r.Asked > FreshFor: // too old a word: asked again
			s.push(k, key, op, before, refused)
		case s.now >= until(op, before):
			refused(Alone)
		default:
			if number == 0 {
				s.keys.Taken(s.now, key, op.Effect, op.GiveUp)
			}
			if !s.early {
				// It may be frozen right between its look at the clock and the write; a mark that is forgotten meanwhile helps no more.
				if op.Effect != balance.Deduplicated && s.rng.Float64() < 0.05 {
					s.after(0.2, func() { s.in(k, life, func() { run(b) }) })
				} else {
					run(b)
				}
			}
		}
	})
}

// until is when a further push of an op must have begun at the latest, by what its effect allows.
func until(op Op, pushes []Push) float64 {
	first := (&Entry{Pushes: pushes}).MayHaveRun()
	if first != nil && op.Effect == balance.Deduplicated {
		return min(op.GiveUp, first.At+op.Remembered)
	}
	return op.GiveUp
}

// effect is what a push does at a backend; marks are shared by all and kept for a while.
func (s *sim) effect(key string, op Op) {
	if op.Effect == balance.Deduplicated {
		if at, marked := s.marks[key]; marked && s.now-at < op.Remembered+SilentFor {
			return
		}
		s.marks[key] = s.now
	}
	s.keys.Ran(s.now, key, op.Effect)
	s.trace("%.0f effect of %s", s.now, key)
}

func (s *sim) finish(k int, key string, o Outcome) {
	s.write(k, Record{Kind: Finish, Key: key, Outcome: o}, s.now+1500, func(r Reply) {
		s.trace("%.0f n%d finish %s %v: %v", s.now, k, key, o.Final, r.Code)
		if r.Code == Done && o.Final != Nacked {
			s.finals++
			s.given(key, o)
		}
		if r.Code == Over {
			s.given(key, r.Outcome)
		}
	})
}

func (s *sim) inherit(k int, e *Entry) {
	s.trace("%.0f n%d inherits %s", s.now, k, e.Key)
	switch duty, _ := e.Succeed(s.now); duty {
	case NackIt:
		s.finish(k, e.Key, Outcome{Final: Nacked})
	case DeadLetter:
		s.finish(k, e.Key, Outcome{Final: DeadLettered})
	default:
		if len(e.Pushes) > 4 {
			s.finish(k, e.Key, Outcome{Final: DeadLettered})
			return
		}
		s.push(k, e.Key, e.Op, e.Pushes, func(Code) { s.finish(k, e.Key, Outcome{Final: DeadLettered}) })
	}
}

// schedule draws faults, several at a time where harsh.
func schedule(seed uint64, members int, harsh bool) (all []fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	n := 1 + rng.IntN(3)
	if harsh {
		n = 3 + rng.IntN(6)
	}
	kinds := []string{"kill", "freeze", "cut", "oneway", "slow", "flap", "alone"}
	at := 3500.0
	for range n {
		f := fault{at: at, kind: kinds[rng.IntN(len(kinds))], a: rng.IntN(members)}
		f.b = (f.a + 1 + rng.IntN(members-1)) % members
		f.until = f.at + 100 + rng.Float64()*3000
		if harsh {
			at += rng.Float64() * 1500
		} else {
			f.kind = kinds[rng.IntN(2)]
			at = f.until + 4000
		}
		all = append(all, f)
	}
	return all
}

func (s *sim) fault(f fault) {
	cut := func(pairs [][2]int, both, on bool) {
		for _, x := range pairs {
			a, b := x[0], x[1]
			s.down[a][b] = on
			if both {
				s.down[b][a] = on
			}
			if on { // silence ends a link after a while
				s.after(400, func() {
					if s.down[a][b] {
						s.unlink(a, b)
					}
				})
			} else {
				s.unlink(a, b)
				s.after(30, func() { s.relink(a, b) })
			}
		}
	}
	others := func(a int) (all [][2]int) {
		for m := range s.procs {
			if m != a {
				all = append(all, [2]int{a, m})
			}
		}
		return all
	}
	end := func(do func()) { s.after(f.until-f.at, do) }
	p := s.procs[f.a]
	switch f.kind {
	case "kill":
		if !p.up {
			return
		}
		p.up, p.frozen = false, false
		for m := range s.procs {
			if m != f.a {
				s.unlink(f.a, m)
			}
		}
		end(func() {
			if !p.up {
				s.start(f.a)
			}
		})
	case "freeze":
		if !p.up || p.frozen {
			return
		}
		life := p.life
		p.frozen = true
		s.after(600, func() { // peers end a silent link
			for m := range s.procs {
				if m != f.a && p.frozen && p.life == life {
					s.unlink(f.a, m)
				}
			}
		})
		end(func() {
			if !p.up || p.life != life {
				return
			}
			p.frozen = false
			for _, do := range p.queue {
				do()
				s.pull(f.a)
			}
			p.queue = nil
			for m := range s.procs {
				if m != f.a && !s.linked[f.a][m] {
					s.after(20, func() { s.relink(f.a, m) })
				}
			}
		})
	case "cut":
		cut([][2]int{{f.a, f.b}}, true, true)
		end(func() { cut([][2]int{{f.a, f.b}}, true, false) })
	case "oneway":
		cut([][2]int{{f.a, f.b}}, false, true)
		end(func() { cut([][2]int{{f.a, f.b}}, false, false) })
	case "alone":
		cut(others(f.a), true, true)
		end(func() { cut(others(f.a), true, false) })
	case "slow":
		for m := range s.procs {
			s.delay[f.a][m] = 800
		}
		end(func() {
			for m := range s.procs {
				s.delay[f.a][m] = 0
			}
		})
	case "flap":
		for at := f.at; at < f.until; at += 250 {
			s.after(at-f.at, func() { s.unlink(f.a, f.b); s.after(120, func() { s.relink(f.a, f.b) }) })
		}
	}
}

// run plays faults over a load and tells what is wrong.
func (s *sim) run(faults []fault, until float64) (wrong []string) {
	base := s.now
	for k := range s.procs {
		s.after(float64(k)*3, func() { s.start(k) })
	}
	last := 0.0
	for _, f := range faults {
		s.after(f.at, func() { s.fault(f) })
		last = max(last, f.until)
	}
	n := 0
	var load func()
	load = func() {
		n++
		c := client{key: fmt.Sprintf("k%d", n), effect: balance.Effect(n % 3), giveUp: s.now + 1500 + s.rng.Float64()*1500}
		k := s.rng.IntN(len(s.procs))
		s.come(k, c)
		if s.rng.Float64() < 0.4 { // comes back with its key, or comes to two nodes at once
			again := s.rng.IntN(len(s.procs))
			d := s.rng.Float64() * 1200 * float64(s.rng.IntN(2))
			s.after(d, func() { s.come(again, c) })
		}
		if s.now-base < until-6000 {
			s.after(8+s.rng.Float64()*30, load)
		}
	}
	s.after(2500, load)
	for len(s.events) > 0 && s.now-base < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	for _, p := range s.procs {
		for _, l := range p.house.logs {
			if !p.up || p.frozen || l == nil || !l.serves(s.copies) {
				continue
			}
			open := l.ledger.open
			for n := range n {
				if key := fmt.Sprintf("k%d", n+1); open[key] == nil && p.house.LogOf(key) == l.slot {
					s.keys.Ended(s.now, key)
				}
			}
		}
	}
	for _, b := range s.keys.Judge(s.now, 3000) {
		wrong = append(wrong, b.String())
	}
	return wrong
}

// served tells how many logs are served at the end.
func (s *sim) served() (n int) {
	for _, p := range s.procs {
		if p.up {
			for _, l := range p.house.logs {
				if l != nil && l.serves(s.copies) {
					n++
				}
			}
		}
	}
	return n
}
