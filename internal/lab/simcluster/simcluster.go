// Package simcluster plays processes that keep each other's ops in virtual time: the core of takeover, links that can be cut, delayed
// and slowed, processes that are killed and frozen, clients that come back with their keys or come to two nodes at once, and
// backends that count effects. One seed makes one history. What is judged is what clients and backends saw.
package simcluster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"pearknot/balancer"
	"pearknot/internal/invariants"
	"pearknot/internal/requestlog"
)

// Fault is one thing that goes wrong, in ms from the start. Kinds are kill, freeze, cut (a link, both ways), oneway, alone (all
// links of a process), slow and flap.
type Fault struct {
	Start, End    float64
	Kind          string
	Process, Peer int // processes
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
	house  *requestlog.Member
	life   uint64
	up     bool
	frozen bool
	queue  []func() // what comes while it is frozen
	waits  map[uint64]func(requestlog.Reply)
	ids    uint64
}

type client struct {
	key    string
	effect balancer.Idempotency
	giveUp float64
}

// Cluster is the processes, their links and their backends.
type Cluster struct {
	Trace func(format string, args ...any) // is told what happens; nil is nobody

	// Parts left out on purpose, by which tests show that what is judged notices.
	InjectedBug           requestlog.InjectedBug
	AttemptsBeforeRecords bool // pushes begin before their record is written
	KeepsIncarnation      bool // a process that is started again goes by its old life

	LoggedAnswers int // outcomes that were written
	TakenOver     int // ops
	FramesSent    int // that links have carried
	BytesSent     int // of these

	kept    int // requests that LogRequests has made
	now     float64
	seq     int
	events  events
	rng     *rand.Rand
	procs   []*proc
	down    [][]bool // links that carry nothing, from and to
	delay   [][]float64
	arrives [][]float64 // latest arrival, so that a link keeps its order
	linked  [][]bool
	copies  int
	keys    *invariants.KeyAuditor
	marks   map[string]float64
}

// New makes a fleet whose load, delays and backends follow from a seed.
func New(seed uint64, members, copies int) *Cluster {
	s := &Cluster{rng: rand.New(rand.NewPCG(seed, 17)), copies: copies, keys: invariants.NewKeyAuditor(), marks: map[string]float64{}, now: 1e6}
	for range members {
		s.procs = append(s.procs, &proc{})
		s.down = append(s.down, make([]bool, members))
		s.delay = append(s.delay, make([]float64, members))
		s.arrives = append(s.arrives, make([]float64, members))
		s.linked = append(s.linked, make([]bool, members))
	}
	return s
}

func (s *Cluster) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(format, args...)
	}
}

func (s *Cluster) after(ms float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + ms, s.seq, do})
}

// in runs something in a process, when it can run.
func (s *Cluster) in(k int, life uint64, do func()) {
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

func (s *Cluster) start(k int) {
	p := s.procs[k]
	life := uint64(s.now)
	if s.KeepsIncarnation && p.life != 0 {
		life = p.life
	}
	var names []string
	for m := range s.procs {
		names = append(names, fmt.Sprintf("n%d", m))
	}
	*p = proc{life: life, up: true, waits: map[uint64]func(requestlog.Reply){},
		house: requestlog.New(requestlog.Config{Members: names, Self: k, Incarnation: life, Replicas: s.copies, Seed: s.rng.Uint64(), MaxLogBytes: 1 << 20, AnswerTTL: 60e3, InjectedBug: s.InjectedBug}, s.now)}
	for m := range s.procs {
		if m != k {
			s.after(20+s.rng.Float64()*20, func() { s.relink(k, m) })
		}
	}
	s.tick(k, life)
}

func (s *Cluster) tick(k int, life uint64) {
	p := s.procs[k]
	if !p.up || p.life != life {
		return
	}
	s.in(k, life, func() { p.house.Tick(s.now) })
	s.after(requestlog.TickMs, func() { s.tick(k, life) })
}

// relink brings a link up both ways, if nothing is in its way.
func (s *Cluster) relink(a, b int) {
	pa, pb := s.procs[a], s.procs[b]
	if !pa.up || !pb.up || pa.frozen || pb.frozen || s.down[a][b] || s.down[b][a] {
		return
	}
	for _, x := range [2][2]int{{a, b}, {b, a}} {
		k, m := x[0], x[1]
		pid := s.procs[m].house.Self()
		s.linked[k][m] = true
		s.in(k, s.procs[k].life, func() { s.procs[k].house.PeerConnected(s.now, m, pid) })
	}
}

func (s *Cluster) unlink(a, b int) {
	for _, x := range [2][2]int{{a, b}, {b, a}} {
		k, m := x[0], x[1]
		if s.linked[k][m] {
			s.linked[k][m] = false
			s.in(k, s.procs[k].life, func() { s.procs[k].house.PeerDisconnected(s.now, m) })
		}
	}
}

func (s *Cluster) pull(k int) {
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
		case o.TakenOver != nil:
			s.TakenOver++
			s.inherit(k, o.TakenOver)
		case o.Event != nil:
			s.trace("%.0f n%d %s %v", s.now, k, o.Event.Message, o.Event.Attrs())
		}
	}
}

func (s *Cluster) carry(from, to int, frame []byte) {
	if s.down[from][to] || !s.linked[from][to] {
		return
	}
	s.FramesSent++
	s.BytesSent += len(frame)
	life, sender := s.procs[to].life, s.procs[from].life
	at := max(s.now+0.1+s.rng.Float64()*0.4+s.delay[from][to]*s.rng.Float64(), s.arrives[from][to])
	s.arrives[from][to] = at
	s.after(at-s.now, func() {
		if s.linked[to][from] && s.procs[from].life == sender {
			s.in(to, life, func() {
				if err := s.procs[to].house.Receive(s.now, from, frame); err != nil {
					panic(err)
				}
			})
		}
	})
}

func (s *Cluster) write(k int, r requestlog.Record, until float64, f func(requestlog.Reply)) {
	p := s.procs[k]
	p.ids++
	p.waits[p.ids] = f
	p.house.Append(s.now, p.ids, r, until)
}

// come is a client's try at a node.
func (s *Cluster) come(k int, c client) {
	p := s.procs[k]
	life := p.life
	s.in(k, life, func() {
		p.ids++
		p.waits[p.ids] = func(r requestlog.Reply) {
			switch r.Result {
			case requestlog.KeyUnused:
				s.take(k, c)
			case requestlog.KeyInFlight:
				if s.now+50 < c.giveUp {
					s.after(50, func() { s.come(k, c) })
				}
			case requestlog.KeyAnswered:
				s.given(c.key, r.Answer)
			}
		}
		p.house.Lookup(s.now, p.ids, c.key, 1, min(s.now+500, c.giveUp))
	})
}

func (s *Cluster) given(key string, o requestlog.FinalAnswer) {
	s.keys.OutcomeReported(s.now, key, fmt.Sprint(o.Status, string(o.Body)))
}

func (s *Cluster) take(k int, c client) {
	op := requestlog.Request{Fingerprint: 1, Idempotency: c.effect, DedupWindow: 800, Deadline: c.giveUp, EncodedMessage: []byte("op " + c.key)}
	s.push(k, c.key, op, nil, func(code requestlog.Result) {
		if code == requestlog.KeyInFlight {
			s.after(50, func() { s.come(k, c) })
		}
	})
}

// push begins one as a node does: its record first.
func (s *Cluster) push(k int, key string, op requestlog.Request, before []requestlog.Attempt, refused func(requestlog.Result)) {
	number := len(before)
	p := s.procs[k]
	life := p.life
	b := fmt.Sprintf("b%d", s.rng.IntN(5))
	is := requestlog.Attempt{Number: number, Backend: b, StartedAt: s.now}
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
					s.write(k, requestlog.Record{Kind: requestlog.AttemptEnded, Key: key, Attempt: requestlog.Attempt{Number: number, Outcome: balancer.OutcomeConnectFailed}}, op.Deadline+1000, func(requestlog.Reply) {})
					if number < 2 && s.now < op.Deadline {
						all[number].Ended, all[number].Outcome = true, balancer.OutcomeConnectFailed
						s.push(k, key, op, all, func(requestlog.Result) {})
					} else if all[number].Ended, all[number].Outcome = true, balancer.OutcomeConnectFailed; (&requestlog.Entry{Request: op, Attempts: all}).CanReject() {
						s.finish(k, key, requestlog.FinalAnswer{Status: requestlog.Rejected})
					} else {
						s.finish(k, key, requestlog.FinalAnswer{Status: requestlog.Failed})
					}
				case lost && op.Idempotency == balancer.Idempotent && number < 2:
					s.push(k, key, op, all, func(requestlog.Result) {})
				case lost:
					s.finish(k, key, requestlog.FinalAnswer{Status: requestlog.Failed})
				default:
					s.finish(k, key, requestlog.FinalAnswer{Status: requestlog.Served, Body: []byte(b)})
				}
			})
		})
	}
	if s.AttemptsBeforeRecords {
		run(b)
	}
	s.write(k, requestlog.Record{Kind: requestlog.AttemptStarted, Key: key, Request: op, Attempt: is}, min(op.Deadline, s.now+500), func(r requestlog.Reply) {
		s.trace("%.0f n%d begin %s %d: %v asked %.0f", s.now, k, key, number, r.Result, r.SentAt)
		switch {
		case r.Result != requestlog.Committed:
			refused(r.Result)
		case s.now-r.SentAt > requestlog.LeaseMs: // too old a word: asked again
			s.push(k, key, op, before, refused)
		case s.now >= until(op, before):
			refused(requestlog.NoQuorum)
		default:
			if number == 0 {
				s.keys.RequestStored(s.now, key, op.Idempotency, op.Deadline)
			}
			if !s.AttemptsBeforeRecords {
				// It may be frozen right between its look at the clock and the write; a mark that is forgotten meanwhile helps no more.
				if op.Idempotency != balancer.IdempotentWithKey && s.rng.Float64() < 0.05 {
					s.after(0.2, func() { s.in(k, life, func() { run(b) }) })
				} else {
					run(b)
				}
			}
		}
	})
}

// until is when a further push of an op must have begun at the latest, by what its effect allows.
func until(op requestlog.Request, pushes []requestlog.Attempt) float64 {
	first := (&requestlog.Entry{Attempts: pushes}).UncertainAttempt()
	if first != nil && op.Idempotency == balancer.IdempotentWithKey {
		return min(op.Deadline, first.StartedAt+op.DedupWindow)
	}
	return op.Deadline
}

// effect is what a push does at a backend; marks are shared by all and kept for a while.
func (s *Cluster) effect(key string, op requestlog.Request) {
	if op.Idempotency == balancer.IdempotentWithKey {
		if at, marked := s.marks[key]; marked && s.now-at < op.DedupWindow+requestlog.PeerTimeoutMs {
			return
		}
		s.marks[key] = s.now
	}
	s.keys.EffectRan(s.now, key, op.Idempotency)
	s.trace("%.0f effect of %s", s.now, key)
}

func (s *Cluster) finish(k int, key string, o requestlog.FinalAnswer) {
	s.write(k, requestlog.Record{Kind: requestlog.RequestAnswered, Key: key, Answer: o}, s.now+1500, func(r requestlog.Reply) {
		s.trace("%.0f n%d finish %s %v: %v", s.now, k, key, o.Status, r.Result)
		if r.Result == requestlog.Committed && o.Status != requestlog.Rejected {
			s.LoggedAnswers++
			s.given(key, o)
		}
		if r.Result == requestlog.KeyAnswered {
			s.given(key, r.Answer)
		}
	})
}

func (s *Cluster) inherit(k int, e *requestlog.Entry) {
	s.trace("%.0f n%d inherits %s", s.now, k, e.Key)
	switch duty, _ := e.TakeoverAction(s.now); duty {
	case requestlog.RejectRequest:
		s.finish(k, e.Key, requestlog.FinalAnswer{Status: requestlog.Rejected})
	case requestlog.FailRequest:
		s.finish(k, e.Key, requestlog.FinalAnswer{Status: requestlog.Failed})
	default:
		if len(e.Attempts) > 4 {
			s.finish(k, e.Key, requestlog.FinalAnswer{Status: requestlog.Failed})
			return
		}
		s.push(k, e.Key, e.Request, e.Attempts, func(requestlog.Result) { s.finish(k, e.Key, requestlog.FinalAnswer{Status: requestlog.Failed}) })
	}
}

// Schedule draws faults by a seed: kills and freezes one after the other, or, where harsh, all kinds and several at once.
func Schedule(seed uint64, members int, harsh bool) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	n := 1 + rng.IntN(3)
	if harsh {
		n = 3 + rng.IntN(6)
	}
	kinds := []string{"kill", "freeze", "cut", "oneway", "slow", "flap", "alone"}
	at := 3500.0
	for range n {
		f := Fault{Start: at, Kind: kinds[rng.IntN(len(kinds))], Process: rng.IntN(members)}
		f.Peer = (f.Process + 1 + rng.IntN(members-1)) % members
		f.End = f.Start + 100 + rng.Float64()*3000
		if harsh {
			at += rng.Float64() * 1500
		} else {
			f.Kind = kinds[rng.IntN(2)]
			at = f.End + 4000
		}
		all = append(all, f)
	}
	return all
}

func (s *Cluster) fault(f Fault) {
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
	end := func(do func()) { s.after(f.End-f.Start, do) }
	p := s.procs[f.Process]
	switch f.Kind {
	case "kill":
		if !p.up {
			return
		}
		p.up, p.frozen = false, false
		for m := range s.procs {
			if m != f.Process {
				s.unlink(f.Process, m)
			}
		}
		end(func() {
			if !p.up {
				s.start(f.Process)
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
				if m != f.Process && p.frozen && p.life == life {
					s.unlink(f.Process, m)
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
				s.pull(f.Process)
			}
			p.queue = nil
			for m := range s.procs {
				if m != f.Process && !s.linked[f.Process][m] {
					s.after(20, func() { s.relink(f.Process, m) })
				}
			}
		})
	case "cut":
		cut([][2]int{{f.Process, f.Peer}}, true, true)
		end(func() { cut([][2]int{{f.Process, f.Peer}}, true, false) })
	case "oneway":
		cut([][2]int{{f.Process, f.Peer}}, false, true)
		end(func() { cut([][2]int{{f.Process, f.Peer}}, false, false) })
	case "alone":
		cut(others(f.Process), true, true)
		end(func() { cut(others(f.Process), true, false) })
	case "slow":
		for m := range s.procs {
			s.delay[f.Process][m] = 800
		}
		end(func() {
			for m := range s.procs {
				s.delay[f.Process][m] = 0
			}
		})
	case "flap":
		for at := f.Start; at < f.End; at += 250 {
			s.after(at-f.Start, func() { s.unlink(f.Process, f.Peer); s.after(120, func() { s.relink(f.Process, f.Peer) }) })
		}
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

const (
	startUp  = 2500.0 // ms before the load begins
	windDown = 6000.0 // and from its end to the end of all
	lastLook = 1500.0 // before that each key is asked for once more
	grace    = 3000.0 // past its time, within which an op has its final state
)

// Run plays faults over a load for so many ms, and tells what was broken. Start the end each key is asked for at some process that
// can answer; a log that nobody leads by then tells nothing, and ServedLogs counts it.
func (s *Cluster) Run(faults []Fault, until float64) []invariants.Violation {
	base, keys := s.now, 0
	s.Start()
	for _, f := range faults {
		s.after(f.Start, func() { s.fault(f) })
	}
	var load func()
	load = func() {
		keys++
		c := client{key: fmt.Sprintf("k%d", keys), effect: balancer.Idempotency(keys % 3), giveUp: s.now + 1500 + s.rng.Float64()*1500}
		s.come(s.rng.IntN(len(s.procs)), c)
		if s.rng.Float64() < 0.4 { // comes back with its key, or comes to two nodes at once
			again := s.rng.IntN(len(s.procs))
			s.after(s.rng.Float64()*1200*float64(s.rng.IntN(2)), func() { s.come(again, c) })
		}
		if s.now-base < until-windDown {
			s.after(8+s.rng.Float64()*30, load)
		}
	}
	s.after(startUp, load)
	s.after(until-lastLook, func() {
		for n := range keys {
			s.ask(fmt.Sprintf("k%d", n+1))
		}
	})
	for len(s.events) > 0 && s.now-base < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.keys.Violations(s.now, grace)
}

// ask tells the judge whether a key's op is over.
func (s *Cluster) ask(key string) {
	for k, p := range s.procs {
		if !p.up || p.frozen {
			continue
		}
		s.in(k, p.life, func() {
			p.ids++
			p.waits[p.ids] = func(r requestlog.Reply) {
				if r.Result != requestlog.KeyInFlight {
					s.keys.RequestClosed(s.now, key)
				}
			}
			p.house.Lookup(s.now, p.ids, key, 1, s.now+lastLook*0.8)
		})
		return
	}
}

// ServedLogs tells how many logs have a leader that serves them, by its own word.
func (s *Cluster) ServedLogs() (n int) {
	for _, p := range s.procs {
		if p.up {
			x := p.house.Status()
			for _, l := range x.Logs {
				if l.Leader == x.Self {
					n++
				}
			}
		}
	}
	return n
}
