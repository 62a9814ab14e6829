package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pearknot/internal/controlplane"
)

const (
	answerWithin = 5 * time.Second // a call of one member, a change's commit among them
	statusWithin = 2 * time.Second
	retryEvery   = 200 * time.Millisecond
	askBeside    = 250 * time.Millisecond
	freshWithin  = 2000.0 // ms; an answer that is older is compared with others'
	operator     = "operator"
)

// ConflictError is a change made from another version than the head.
type ConflictError struct{ Base, Head uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("made from version %d, and the head is %d: another change came first", e.Base, e.Head)
}

// InvalidError is a text that no node could put in force.
type InvalidError struct{ Why string }

func (e *InvalidError) Error() string { return e.Why }

// ErrAbsent is a version that nobody who answered has.
var ErrAbsent = errors.New("no such version is kept")

// ask makes one call of one member.
func (p *Plane) ask(ctx context.Context, m Member, within time.Duration, c *Call, text []byte) (a *Answer, its []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	frames, err := Pieces(c, text)
	if err != nil {
		return nil, nil, err
	}
	pipe, err := Open(ctx, p.Fleet, p.Keys, operator, m, ForCall)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", m.Name, err)
	}
	stop := context.AfterFunc(ctx, pipe.Close)
	defer stop()
	for _, f := range frames {
		pipe.Send(f)
	}
	var g Gathered
	err = pipe.Run(controlplane.MostFrame, 0, func(data []byte) {
		if whole, e := g.Add(data); e != nil || whole {
			if e == nil {
				a = &Answer{}
				if its, e = g.Read(a); e != nil {
					a = nil
				}
			}
			pipe.Close()
		}
	}, nil)
	if a == nil {
		return nil, nil, fmt.Errorf("%s: no answer: %w", m.Name, cmp.Or(ctx.Err(), err))
	}
	return a, its, nil
}

func (p *Plane) voters() (all []Member) {
	for _, m := range p.Members {
		if m.Voter {
			all = append(all, m)
		}
	}
	return all
}

// atLeader calls until the leader has answered, or ctx ends. A call whose answer was lost is made again: a change by its ID comes
// into force once.
func (p *Plane) atLeader(ctx context.Context, c *Call, text []byte) (*Answer, []byte, error) {
	voters := p.voters()
	next, failed := p.likely(ctx, voters), errors.New("no voter leads")
	unsure := false
	for {
		m := voters[next%len(voters)]
		next++
		a, its, err := p.ask(ctx, m, answerWithin, c, text)
		wait := retryEvery
		switch {
		case err != nil:
			failed, unsure = err, unsure || c.Op == OpApply
			wait = retryEvery / 4
		case a.Code == controlplane.NotLeader:
			if k := slices.IndexFunc(voters, func(v Member) bool { return v.Name == a.Leader }); k >= 0 && a.Leader != m.Name {
				next, wait = k, retryEvery/20
			}
			failed = fmt.Errorf("%s does not lead, and knows of leader %q", m.Name, a.Leader)
		case a.Code == controlplane.Lost:
			failed, unsure = fmt.Errorf("%s lost the lead", m.Name), true
		case a.Code == controlplane.Busy:
			failed = fmt.Errorf("%s has too many changes in hand", m.Name)
		default:
			p.led.Store(&m.Name)
			return a, its, nil
		}
		p.led.Store(nil)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			if unsure {
				return nil, nil, fmt.Errorf("change %016x may have come into force or may still: see the log: %w", c.ID, failed)
			}
			return nil, nil, failed
		}
	}
}

// likely is the place of the voter that leads: the one that did, or the first of all that says so. One that is frozen keeps nobody
// waiting who can ask another.
func (p *Plane) likely(ctx context.Context, voters []Member) int {
	if last := p.led.Load(); last != nil {
		return max(slices.IndexFunc(voters, func(v Member) bool { return v.Name == *last }), 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan int, len(voters))
	for k, m := range voters {
		go func() {
			a, _, err := p.ask(ctx, m, statusWithin, &Call{Op: OpHead}, nil)
			if err != nil || a.Code != controlplane.Done {
				k = -1
			}
			answers <- k
		}()
	}
	for range voters {
		if k := <-answers; k >= 0 {
			return k
		}
	}
	return rand.IntN(len(voters))
}

// Head asks the leader for the head's version.
func (p *Plane) Head(ctx context.Context) (uint64, error) {
	a, _, err := p.atLeader(ctx, &Call{Op: OpHead}, nil)
	if err != nil {
		return 0, err
	}
	return a.Version, nil
}

// Apply makes the next version, from base; it is on a majority's disks when this returns.
func (p *Plane) Apply(ctx context.Context, base uint64, text []byte, by, reason string) (uint64, error) {
	c := &Call{Op: OpApply, Base: base, ID: max(rand.Uint64(), 1), By: by, Reason: reason}
	a, _, err := p.atLeader(ctx, c, text)
	if err != nil {
		return 0, err
	}
	switch a.Code {
	case controlplane.Done:
		return a.Version, nil
	case controlplane.Conflict:
		return 0, &ConflictError{base, a.Version}
	}
	return 0, &InvalidError{a.Why}
}

// freshest asks until it has what was there when it began: a version that was asked for by its number, or an answer that is as
// fresh. Where no majority confirms one it takes the freshest, after a while; members that are no voters are asked where none answers.
func (p *Plane) freshest(ctx context.Context, c *Call) (best *Answer, text []byte, err error) {
	begun := time.Now()
	enough := func(a *Answer) bool {
		return a.Code == controlplane.Done && c.Version > 0 || age(a) <= float64(time.Since(begun).Microseconds())/1e3
	}
	for {
		best, text, err = p.once(ctx, c, enough)
		if best != nil && (enough(best) || best.Code == controlplane.Done && time.Since(begun) > statusWithin) {
			break
		}
		select {
		case <-time.After(retryEvery / 4):
			continue
		case <-ctx.Done():
		}
		break
	}
	switch {
	case best == nil:
		return nil, nil, err
	case best.Code != controlplane.Done:
		return nil, nil, ErrAbsent
	}
	return best, text, nil
}

// once asks each once, until one is enough. Who takes long has the next one asked beside it.
func (p *Plane) once(ctx context.Context, c *Call, enough func(*Answer) bool) (best *Answer, text []byte, err error) {
	order := p.voters()
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	voters := len(order)
	for _, m := range p.Members {
		if !m.Voter {
			order = append(order, m)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type told struct {
		a    *Answer
		text []byte
		err  error
	}
	answers := make(chan told, len(order))
	asked, open := 0, 0
	for {
		if asked < voters || asked < len(order) && best == nil {
			m := order[asked]
			asked, open = asked+1, open+1
			go func() {
				a, text, err := p.ask(ctx, m, statusWithin, c, nil)
				answers <- told{a, text, err}
			}()
		} else if open == 0 {
			return best, text, err
		}
		var x told
		select {
		case x = <-answers:
			open--
		case <-time.After(askBeside):
			continue
		}
		switch {
		case x.err != nil:
			err = x.err
			continue
		case best == nil, best.Code != controlplane.Done && x.a.Code == controlplane.Done, age(x.a) < age(best) && x.a.Code == best.Code:
			best, text = x.a, x.text
		}
		if enough(best) {
			return best, text, nil
		}
	}
}

func age(a *Answer) float64 {
	if a.AgeMs == nil {
		return 1e18
	}
	return *a.AgeMs
}

// Get gives a version's text, the head's where version is 0, and how old the answer may be (ms; nil is unknown).
func (p *Plane) Get(ctx context.Context, version uint64) (uint64, []byte, *float64, error) {
	a, text, err := p.freshest(ctx, &Call{Op: OpGet, Version: version})
	if err != nil {
		return 0, nil, nil, err
	}
	return a.Version, text, a.AgeMs, nil
}

// Log gives the last changes, newest first.
func (p *Plane) Log(ctx context.Context, most int) ([]Entry, *float64, error) {
	a, _, err := p.freshest(ctx, &Call{Op: OpLog, Most: most})
	if err != nil {
		return nil, nil, err
	}
	return a.Log, a.AgeMs, nil
}

// Rollback makes a next version with an earlier one's text.
func (p *Plane) Rollback(ctx context.Context, to, base uint64, by, reason string) (uint64, error) {
	_, text, _, err := p.Get(ctx, to)
	if err != nil {
		return 0, err
	}
	return p.Apply(ctx, base, text, by, reason)
}

// Asked is what a member answered, or why it did not.
type Asked struct {
	Member Member
	Status *MemberStatus
	Err    error
}

// Statuses asks all members at once.
func (p *Plane) Statuses(ctx context.Context) []Asked {
	all := make([]Asked, len(p.Members))
	var wg sync.WaitGroup
	for k, m := range p.Members {
		wg.Go(func() {
			a, _, err := p.ask(ctx, m, statusWithin, &Call{Op: OpStatus}, nil)
			if err == nil && a.Status == nil {
				err = fmt.Errorf("%s: no status: %s", m.Name, a.Why)
			}
			all[k] = Asked{Member: m, Err: err}
			if err == nil {
				all[k].Status = a.Status
			}
		})
	}
	wg.Wait()
	return all
}
