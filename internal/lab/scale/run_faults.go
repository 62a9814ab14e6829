package scale

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"pearknot/internal/clock"
)

const (
	leaderLookups = 10
	foreverMs     = 1e12 // the length of a cut whose end is not known yet
)

// faultSwitch is the begin or the end of a fault.
type faultSwitch struct {
	atSeconds float64
	fault     int // index in the experiment
	begins    bool
}

// faultSwitches are the begins and ends of an experiment's faults, in order.
func (e *Experiment) faultSwitches() (switches []faultSwitch) {
	for index, fault := range e.Faults {
		switches = append(switches,
			faultSwitch{fault.AtSeconds, index, true},
			faultSwitch{fault.AtSeconds + fault.ForSeconds, index, false})
	}
	slices.SortStableFunc(switches, func(a, b faultSwitch) int { return cmp.Compare(a.atSeconds, b.atSeconds) })
	return switches
}

// playFaults begins and ends the experiment's faults.
func (r *run) playFaults(ctx context.Context, begun time.Time) error {
	faults := slices.Clone(r.experiment.Faults) // in which the leader's name takes the place of leaderName
	for _, next := range r.experiment.faultSwitches() {
		if !wait(ctx, time.Until(begun.Add(clock.Duration(next.atSeconds*1e3)))) {
			return nil
		}
		fault := &faults[next.fault]
		if next.begins && fault.Member == leaderName {
			if fault.Member = r.findLeader(ctx); fault.Member == "" {
				return fmt.Errorf("fault %d: nobody leads", next.fault)
			}
		}
		if err := r.switchFault(ctx, *fault, next.begins); err != nil {
			return err
		}
	}
	return nil
}

// findLeader returns the name of the member that says that it leads, or "".
func (r *run) findLeader(ctx context.Context) string {
	for range leaderLookups {
		for _, result := range r.operator.MemberStatuses(ctx) {
			if result.Err == nil && result.Status.Leader == result.Member.Name {
				return result.Member.Name
			}
		}
	}
	return ""
}

// switchFault begins or ends a fault.
func (r *run) switchFault(ctx context.Context, fault Fault, begins bool) error {
	r.setLinkFaults(fault, begins)
	what := "begins"
	if !begins {
		what = "is over"
	}
	fmt.Fprintf(r.options.Out, "%s %s\n", fault, what)
	switch fault.Kind {
	case FaultLoseMembers:
		if begins {
			r.site.resetLinks(fault)
		}
	case FaultFreeze:
		signal := syscall.SIGCONT
		if begins {
			signal = syscall.SIGSTOP
		}
		r.member(fault.Member).signal(signal)
	case FaultKill:
		if !begins {
			return r.startMember(ctx, memberNumber(fault.Member))
		}
		r.killMember(fault.Member)
	}
	return nil
}

// setLinkFaults sets on all links what the faults that are now active do to them, and records when nodes are cut off.
func (r *run) setLinkFaults(fault Fault, begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if begins {
		r.activeFaults = append(r.activeFaults, fault)
		if fault.cutsOff() {
			r.cutOffs = append(r.cutOffs, cutOff{fault, Span{now, now + foreverMs}})
		}
	} else {
		r.activeFaults = slices.DeleteFunc(r.activeFaults, func(active Fault) bool { return active == fault })
	}
	r.site.setFaults(r.activeFaults)
	if begins {
		return
	}
	for index := range r.cutOffs {
		if cut := &r.cutOffs[index]; cut.Fault == fault {
			cut.To = r.clock.Now() // not before the links carry anything again
		}
	}
}

func (r *run) member(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[memberNumber(name)]
}

// killMember ends a member. It is no longer among the members before it ends, or its end would fail the run.
func (r *run) killMember(name string) {
	r.mu.Lock()
	p := r.members[memberNumber(name)]
	r.members[memberNumber(name)] = nil
	r.mu.Unlock()
	p.kill()
}
