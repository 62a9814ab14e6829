// Package baselines has the baselines that the module is measured against, in the lab only. They choose a backend on
// arrival, push again after a failure where the category allows it, and know nothing of cold budgets, held ops or
// nacks in time.
package baselines

import (
	"fmt"
	"math"
	"math/rand/v2"

	"pearknot/balancer"
)

// Sight tells what only an all-seeing policy knows: in what time a backend would be done with an op of this work, +Inf
// where it never would.
type Sight func(now float64, b *balancer.Backend, op *balancer.Request) float64

// New makes a policy by its name; sight may be nil for all but all-seeing.
func New(name string, t *balancer.Config, now float64, sight Sight) (balancer.Decider, error) {
	if name == "cda" {
		return balancer.New(t, now), nil
	}
	p := &plain{t: t, rng: rand.New(rand.NewPCG(t.Seed, 9)), out: map[*balancer.Backend]int{}, ops: map[*balancer.Request]*state{},
		turn: int(t.Seed % 1009), askAt: math.Inf(1)}
	if t.PollEndpoints {
		p.askAt = now
	}
	switch name {
	case "random":
		p.pick = func(open []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
			return open[p.rng.IntN(len(open))]
		}
	case "rotation":
		p.pick = func(open []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
			p.turn++
			return open[p.turn%len(open)]
		}
	case "fewest":
		p.pick = func(open []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
			from := p.rng.IntN(len(open)) // equals by chance
			best := open[from]
			for k := range open {
				if b := open[(from+k)%len(open)]; p.out[b] < p.out[best] {
					best = b
				}
			}
			return best
		}
	case "two-choices":
		p.pick = func(open []*balancer.Backend, _ *balancer.Request) *balancer.Backend {
			a, b := open[p.rng.IntN(len(open))], open[p.rng.IntN(len(open))]
			if p.out[b] < p.out[a] {
				return b
			}
			return a
		}
	case "all-seeing":
		if sight == nil {
			return nil, fmt.Errorf("policy %s: only in virtual time", name)
		}
		p.pick = func(open []*balancer.Backend, op *balancer.Request) *balancer.Backend {
			from := p.rng.IntN(len(open))
			var best *balancer.Backend
			least := math.Inf(1)
			for k := range open {
				b := open[(from+k)%len(open)]
				if x := sight(p.now, b, op); x < least {
					best, least = b, x
				}
			}
			left := op.Deadline - p.now
			if c := &p.t.Classes[op.Class]; c.LateWeight == 0 {
				left = math.Min(left, op.ArrivedAt+c.LatencyObjective-p.now)
			}
			if least > left { // what would earn nothing is given up at once
				return nil
			}
			return best
		}
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
	return p, nil
}

type plain struct {
	t        *balancer.Config
	rng      *rand.Rand
	now      float64
	backends []*balancer.Backend
	out      map[*balancer.Backend]int // own pushes
	ops      map[*balancer.Request]*state
	turn     int
	pick     func(open []*balancer.Backend, op *balancer.Request) *balancer.Backend
	queue    []balancer.Decision
	tracked  bool
	askAt    float64
	armed    float64
	fails    int
}

// state is what a baseline keeps of an op.
type state struct {
	out   map[*balancer.Attempt]bool
	first *balancer.Attempt // the first that is not known never to have run
	ended map[*balancer.Attempt]balancer.Outcome
}

func (p *plain) EndpointsChanged(now float64, lines []balancer.Endpoint, full, cached bool) {
	p.now = now
	if !cached {
		p.tracked, p.fails = true, 0
	}
	if full {
		for _, b := range p.backends {
			b.State = balancer.BackendRemoved
		}
	}
	for _, l := range lines {
		b := l.Backend
		known := false
		for _, x := range p.backends {
			known = known || x == b
		}
		if !known {
			p.backends = append(p.backends, b)
		}
		b.State, b.Zone, b.Cell, b.Kind, b.Started, b.Weight = l.State, l.Zone, l.Cell, l.Kind, l.Started, l.Weight
		if l.Cordoned {
			b.State = min(b.State, balancer.BackendDraining)
		}
	}
}

func (p *plain) PollFailed(now float64) {
	p.now, p.tracked, p.armed = now, false, 0 // the timer that is out may come too late
	p.askAt = now + math.Min(500*math.Exp2(float64(p.fails)), 4e3)*(0.5+p.rng.Float64())
	p.fails++
}

// Retuned takes new terms, under which open ops go on too: a baseline keeps no more.
func (p *plain) ConfigChanged(now float64, t *balancer.Config, _ []int) { p.now, p.t = now, t }

// Sent says nothing to a baseline either.
func (p *plain) RequestBodySent(now float64, _ *balancer.Attempt) { p.now = now }

// Split says nothing to a baseline.
func (p *plain) ProcessesChanged(now float64, _ int) { p.now = now }

func (p *plain) RequestArrived(now float64, op *balancer.Request) {
	p.now = now
	op.ArrivedAt = now
	p.ops[op] = &state{out: map[*balancer.Attempt]bool{}, ended: map[*balancer.Attempt]balancer.Outcome{}}
	p.place(op)
}

func (p *plain) ClientGone(now float64, op *balancer.Request) {
	p.now = now
	p.close(op)
}

// Shortened says nothing to a baseline: the host ends what is late.
func (p *plain) DeadlineShortened(now float64, _ *balancer.Request) { p.now = now }

func (p *plain) ResponseStarted(now float64, _ *balancer.Attempt) { p.now = now }

func (p *plain) LoadReported(now float64, _ *balancer.Backend, _ balancer.LoadReport) { p.now = now }

func (p *plain) AttemptEnded(now float64, push *balancer.Attempt, how balancer.Outcome, _ float64, finished bool) {
	p.now = now
	p.out[push.Backend]--
	s := p.ops[push.Request]
	if s == nil {
		return
	}
	delete(s.out, push)
	s.ended[push] = how
	if how.NeverRan() && s.first == push {
		s.first = nil
		for _, q := range push.Request.Attempts {
			if e, over := s.ended[q]; !over || !e.NeverRan() {
				s.first = q
				break
			}
		}
	}
	if finished {
		p.close(push.Request)
	} else if len(s.out) == 0 {
		p.place(push.Request)
	}
}

func (p *plain) TimerFired(now float64) { p.now = now; p.armed = 0 }

func (p *plain) Next() (balancer.Decision, bool) {
	if len(p.queue) > 0 {
		d := p.queue[0]
		p.queue = p.queue[1:]
		return d, true
	}
	if !p.tracked && !math.IsInf(p.askAt, 1) {
		if p.now >= p.askAt {
			p.askAt = p.now + p.t.PollInterval/2
			return balancer.Decision{Kind: balancer.DoPoll}, true
		}
		if p.armed == 0 {
			p.armed = p.askAt
			return balancer.Decision{Kind: balancer.DoSetTimer, Wait: p.askAt - p.now}, true
		}
	}
	return balancer.Decision{}, false
}

// may keeps the rules of repeats and drains; what a cold backend stands is not among what a baseline knows.
func (p *plain) may(op *balancer.Request, s *state, b *balancer.Backend) bool {
	if b.State != balancer.BackendReady || op.Deadline <= p.now {
		return false
	}
	if s.first == nil {
		return true
	}
	c := &p.t.Classes[op.Class]
	switch c.Idempotency {
	case balancer.AtMostOnce:
		return false
	case balancer.IdempotentWithKey:
		return p.now-s.first.SentAt < c.DedupWindow && (c.DedupScope == balancer.DedupByAll ||
			c.DedupScope == balancer.DedupByZone && b.Zone == s.first.Backend.Zone || c.DedupScope == balancer.DedupByCell && b.Cell == s.first.Backend.Cell)
	}
	return true
}

func (p *plain) place(op *balancer.Request) {
	s := p.ops[op]
	var open, fresh []*balancer.Backend
	for _, b := range p.backends {
		if !p.may(op, s, b) {
			continue
		}
		open = append(open, b)
		tried := false
		for _, q := range op.Attempts {
			tried = tried || q.Backend == b
		}
		if !tried {
			fresh = append(fresh, b)
		}
	}
	if len(fresh) > 0 {
		open = fresh
	}
	var b *balancer.Backend
	if len(open) > 0 && len(op.Attempts) < p.t.MaxAttempts {
		b = p.pick(open, op)
	}
	if b == nil {
		p.giveUp(op, s)
		return
	}
	push := &balancer.Attempt{Request: op, Backend: b, Number: len(op.Attempts), SentAt: p.now}
	op.Attempts = append(op.Attempts, push)
	s.out[push] = true
	if s.first == nil {
		s.first = push
	}
	p.out[b]++
	p.queue = append(p.queue, balancer.Decision{Kind: balancer.DoAttempt, Request: op, Attempt: push})
}

func (p *plain) giveUp(op *balancer.Request, s *state) {
	c := &p.t.Classes[op.Class]
	kind := balancer.DoFail
	if s.first == nil || c.Idempotency == balancer.Idempotent || c.Idempotency == balancer.IdempotentWithKey && c.DedupScope == balancer.DedupByAll {
		kind = balancer.DoReject
	}
	d := balancer.Decision{Kind: kind, Request: op}
	if kind == balancer.DoReject && p.t.SendRetryAfter {
		d.Wait = math.Min(p.t.MaxRetryAfter, c.LatencyObjective) * (0.5 + 0.5*p.rng.Float64())
	}
	p.queue = append(p.queue, d)
	p.close(op)
}

// close ends an op and calls off what is out.
func (p *plain) close(op *balancer.Request) {
	s := p.ops[op]
	if s == nil {
		return
	}
	delete(p.ops, op)
	if p.t.CancelAttempts {
		for _, q := range op.Attempts {
			if s.out[q] {
				p.queue = append(p.queue, balancer.Decision{Kind: balancer.DoCancel, Request: op, Attempt: q})
			}
		}
	}
}
