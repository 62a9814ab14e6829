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
	callTimeout         = 5 * time.Second // a call of one member, a change's commit among them
	statusTimeout       = 2 * time.Second
	retryInterval       = 200 * time.Millisecond
	hedgeDelay          = 250 * time.Millisecond
	maxFreshStalenessMs = 2000.0 // ms; an answer that is older is compared with others'
	operatorName        = "operator"
)

// ConflictError is a change made from another version than the head.
type ConflictError struct{ Base, Head uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("made from version %d, and the head is %d: another change came first", e.Base, e.Head)
}

// InvalidError is a text that no node could put in force.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return e.Detail }

// ErrAbsent is a version that nobody who answered has.
var ErrVersionNotFound = errors.New("no such version is kept")

// ask makes one call of one member.
func (p *ControlPlane) callMember(ctx context.Context, m Member, within time.Duration, c *CallRequest, text []byte) (a *CallResponse, its []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	frames, err := EncodeMessage(c, text)
	if err != nil {
		return nil, nil, err
	}
	pipe, err := OpenLink(ctx, p.Fleet, p.Keys, operatorName, m, PurposeCall)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", m.Name, err)
	}
	stop := context.AfterFunc(ctx, pipe.Close)
	defer stop()
	for _, f := range frames {
		pipe.Send(f)
	}
	var g MessageAssembler
	err = pipe.Run(controlplane.MaxFrameBytes, 0, func(data []byte) {
		if whole, e := g.AddFrame(data); e != nil || whole {
			if e == nil {
				a = &CallResponse{}
				if its, e = g.Decode(a); e != nil {
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

func (p *ControlPlane) voters() (all []Member) {
	for _, m := range p.Members {
		if m.Voter {
			all = append(all, m)
		}
	}
	return all
}

// atLeader calls until the leader has answered, or ctx ends. A call whose answer was lost is made again: a change by its ID comes
// into force once.
func (p *ControlPlane) callLeader(ctx context.Context, c *CallRequest, text []byte) (*CallResponse, []byte, error) {
	voters := p.voters()
	next, failed := p.findLeader(ctx, voters), errors.New("no voter leads")
	unsure := false
	for {
		m := voters[next%len(voters)]
		next++
		a, its, err := p.callMember(ctx, m, callTimeout, c, text)
		wait := retryInterval
		switch {
		case err != nil:
			failed, unsure = err, unsure || c.Method == MethodApply
			wait = retryInterval / 4
		case a.Code == controlplane.CodeNotLeader:
			if k := slices.IndexFunc(voters, func(v Member) bool { return v.Name == a.Leader }); k >= 0 && a.Leader != m.Name {
				next, wait = k, retryInterval/20
			}
			failed = fmt.Errorf("%s does not lead, and knows of leader %q", m.Name, a.Leader)
		case a.Code == controlplane.CodeLeadershipLost:
			failed, unsure = fmt.Errorf("%s lost the lead", m.Name), true
		case a.Code == controlplane.CodeBusy:
			failed = fmt.Errorf("%s has too many changes in hand", m.Name)
		default:
			p.lastLeader.Store(&m.Name)
			return a, its, nil
		}
		p.lastLeader.Store(nil)
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
func (p *ControlPlane) findLeader(ctx context.Context, voters []Member) int {
	if last := p.lastLeader.Load(); last != nil {
		return max(slices.IndexFunc(voters, func(v Member) bool { return v.Name == *last }), 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan int, len(voters))
	for k, m := range voters {
		go func() {
			a, _, err := p.callMember(ctx, m, statusTimeout, &CallRequest{Method: MethodHead}, nil)
			if err != nil || a.Code != controlplane.CodeDone {
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
func (p *ControlPlane) HeadVersion(ctx context.Context) (uint64, error) {
	a, _, err := p.callLeader(ctx, &CallRequest{Method: MethodHead}, nil)
	if err != nil {
		return 0, err
	}
	return a.Version, nil
}

// Apply makes the next version, from base; it is on a majority's disks when this returns.
func (p *ControlPlane) Apply(ctx context.Context, base uint64, text []byte, by, reason string) (uint64, error) {
	c := &CallRequest{Method: MethodApply, Base: base, ID: max(rand.Uint64(), 1), By: by, Reason: reason}
	a, _, err := p.callLeader(ctx, c, text)
	if err != nil {
		return 0, err
	}
	switch a.Code {
	case controlplane.CodeDone:
		return a.Version, nil
	case controlplane.CodeConflict:
		return 0, &ConflictError{base, a.Version}
	}
	return 0, &InvalidError{a.Detail}
}

// freshest asks until it has what was there when it began: a version that was asked for by its number, or an answer that is as
// fresh. Where no majority confirms one it takes the freshest, after a while; members that are no voters are asked where none answers.
func (p *ControlPlane) callFreshest(ctx context.Context, c *CallRequest) (best *CallResponse, text []byte, err error) {
	begun := time.Now()
	enough := func(a *CallResponse) bool {
		return a.Code == controlplane.CodeDone && c.Version > 0 || stalenessMs(a) <= float64(time.Since(begun).Microseconds())/1e3
	}
	for {
		best, text, err = p.callUntilFresh(ctx, c, enough)
		if best != nil && (enough(best) || best.Code == controlplane.CodeDone && time.Since(begun) > statusTimeout) {
			break
		}
		select {
		case <-time.After(retryInterval / 4):
			continue
		case <-ctx.Done():
		}
		break
	}
	switch {
	case best == nil:
		return nil, nil, err
	case best.Code != controlplane.CodeDone:
		return nil, nil, ErrVersionNotFound
	}
	return best, text, nil
}

// once asks each once, until one is enough. Who takes long has the next one asked beside it.
func (p *ControlPlane) callUntilFresh(ctx context.Context, c *CallRequest, enough func(*CallResponse) bool) (best *CallResponse, text []byte, err error) {
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
		a    *CallResponse
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
				a, text, err := p.callMember(ctx, m, statusTimeout, c, nil)
				answers <- told{a, text, err}
			}()
		} else if open == 0 {
			return best, text, err
		}
		var x told
		select {
		case x = <-answers:
			open--
		case <-time.After(hedgeDelay):
			continue
		}
		switch {
		case x.err != nil:
			err = x.err
			continue
		case best == nil, best.Code != controlplane.CodeDone && x.a.Code == controlplane.CodeDone, stalenessMs(x.a) < stalenessMs(best) && x.a.Code == best.Code:
			best, text = x.a, x.text
		}
		if enough(best) {
			return best, text, nil
		}
	}
}

func stalenessMs(a *CallResponse) float64 {
	if a.StalenessMs == nil {
		return 1e18
	}
	return *a.StalenessMs
}

// Get gives a version's text, the head's where version is 0, and how old the answer may be (ms; nil is unknown).
func (p *ControlPlane) GetVersion(ctx context.Context, version uint64) (uint64, []byte, *float64, error) {
	a, text, err := p.callFreshest(ctx, &CallRequest{Method: MethodGet, Version: version})
	if err != nil {
		return 0, nil, nil, err
	}
	return a.Version, text, a.StalenessMs, nil
}

// Log gives the last changes, newest first.
func (p *ControlPlane) RecentChanges(ctx context.Context, most int) ([]LogEntry, *float64, error) {
	a, _, err := p.callFreshest(ctx, &CallRequest{Method: MethodLog, Limit: most})
	if err != nil {
		return nil, nil, err
	}
	return a.Log, a.StalenessMs, nil
}

// Rollback makes a next version with an earlier one's text.
func (p *ControlPlane) Rollback(ctx context.Context, to, base uint64, by, reason string) (uint64, error) {
	_, text, _, err := p.GetVersion(ctx, to)
	if err != nil {
		return 0, err
	}
	return p.Apply(ctx, base, text, by, reason)
}

// Asked is what a member answered, or why it did not.
type StatusResult struct {
	Member Member
	Status *MemberStatus
	Err    error
}

// Statuses asks all members at once.
func (p *ControlPlane) MemberStatuses(ctx context.Context) []StatusResult {
	all := make([]StatusResult, len(p.Members))
	var wg sync.WaitGroup
	for k, m := range p.Members {
		wg.Go(func() {
			a, _, err := p.callMember(ctx, m, statusTimeout, &CallRequest{Method: MethodStatus}, nil)
			if err == nil && a.Status == nil {
				err = fmt.Errorf("%s: no status: %s", m.Name, a.Detail)
			}
			all[k] = StatusResult{Member: m, Err: err}
			if err == nil {
				all[k].Status = a.Status
			}
		})
	}
	wg.Wait()
	return all
}
