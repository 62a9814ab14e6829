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
	foreverMs     = 1e12 // length of a cut-off whose end is not known yet
)

// faultTransition is the beginning or end of a fault.
type faultTransition struct {
	atSeconds float64
	fault     int // index in Experiment.Faults
	begins    bool
}

// faultTransitions returns the beginnings and ends of an experiment's faults, in order of time.
func (e *Experiment) faultTransitions() (transitions []faultTransition) {
	for index, fault := range e.Faults {
		transitions = append(transitions,
			faultTransition{fault.AtSeconds, index, true},
			faultTransition{fault.AtSeconds + fault.ForSeconds, index, false})
	}
	slices.SortStableFunc(transitions, func(a, b faultTransition) int { return cmp.Compare(a.atSeconds, b.atSeconds) })
	return transitions
}

// runFaults begins and ends the experiment's faults on schedule.
func (r *run) runFaults(ctx context.Context, start time.Time) error {
	faults := slices.Clone(r.experiment.Faults) // currentLeader is replaced by the leader's name
	for _, next := range r.experiment.faultTransitions() {
		if !wait(ctx, time.Until(start.Add(clock.Duration(next.atSeconds*1e3)))) {
			return nil
		}
		fault := &faults[next.fault]
		if next.begins && fault.Member == currentLeader {
			if fault.Member = r.findLeader(ctx); fault.Member == "" {
				return fmt.Errorf("fault %d: no member is the leader", next.fault)
			}
		}
		if err := r.setFaultActive(ctx, *fault, next.begins); err != nil {
			return err
		}
	}
	return nil
}

// findLeader returns the name of a member that reports itself as the leader, or "".
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

// setFaultActive begins or ends a fault.
func (r *run) setFaultActive(ctx context.Context, fault Fault, begins bool) error {
	r.setLinkFaults(fault, begins)
	state := "begins"
	if !begins {
		state = "is over"
	}
	fmt.Fprintf(r.options.Out, "%s %s\n", fault, state)
	switch fault.Kind {
	case FaultLoseMembers:
		if begins {
			r.testbed.resetLinks(fault)
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

// setLinkFaults updates the active faults, applies them to all links, and records when nodes are cut off.
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
	r.testbed.setFaults(r.activeFaults)
	if begins {
		return
	}
	for index := range r.cutOffs {
		if cut := &r.cutOffs[index]; cut.Fault == fault {
			cut.To = r.clock.Now() // read after the links carry traffic again
		}
	}
}

func (r *run) member(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[memberNumber(name)]
}

// killMember kills a member. It removes the member from r.members first, since the end of a listed member fails the run.
func (r *run) killMember(name string) {
	r.mu.Lock()
	p := r.members[memberNumber(name)]
	r.members[memberNumber(name)] = nil
	r.mu.Unlock()
	p.kill()
}
