package simcontrolplane

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/controlplane"
)

var small = Standard(3)

func TestCalm(t *testing.T) {
	s := New(1, small)
	require.Empty(t, s.Run(nil, Paths))
	require.Greater(t, s.Acknowledged, 30)
	require.Equal(t, s.Acknowledged*small.Nodes, s.judge.pairs, "each change is judged at each node")
	require.Zero(t, s.judge.late)
	require.Less(t, s.judge.worst, 300.0)
}

// Schedules drawn by seed: an acknowledged change is never lost, and is in force within 6 s wherever links allow, for 99 in 100 within
// 2 s; one that was not is in force everywhere or nowhere; a version is the same everywhere and made from the one before; none goes
// back; no claimed age is less than the truth. Thousands are played by pearknot-lab schedules --control-plane.
func TestSchedules(t *testing.T) {
	for voters, seeds := range map[int]uint64{3: 45, 5: 25} {
		sum, err := Many(t.Context(), 0, seeds, Standard(voters))
		require.NoError(t, err)
		t.Log(sum)
		require.Empty(t, sum.Broken)
		require.Greater(t, sum.Acknowledged, 20*sum.Schedules)
		require.Greater(t, sum.Conflicts, sum.Schedules)
		require.Greater(t, sum.Wholes, sum.Schedules)
		require.Less(t, sum.Late, sum.Pairs/100)
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	trace := func() (lines []string) {
		s := New(3, small)
		s.Mangle = true
		s.Trace = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
		s.Run(Schedule(3, small, true), Finally)
		return lines
	}
	require.Equal(t, trace(), trace())
}

// A build with a part left out must be caught by the same schedules: else the checks show nothing.
func TestFlawsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		flaw   controlplane.InjectedBug
		kind   Kind
		says   string
		faults []Fault // else those of the seed
	}{
		"a difference applied out of order":        {flaw: controlplane.BugOutOfOrderChange, kind: Mangled},
		"a digest not checked":                     {flaw: controlplane.BugDigestUnchecked, kind: Mangled},
		"an acknowledgement before the majority":   {flaw: controlplane.BugReplyBeforeCommit, kind: Harsh, says: "acknowledged"},
		"a leader fresh by its own word":           {flaw: controlplane.BugFreshWithoutQuorum, kind: Harsh, says: "claims an age"},
		"an age by receipt alone":                  {flaw: controlplane.BugStalenessFromReceipt, kind: Harsh, says: "claims an age"},
		"a change taken whatever it was made from": {flaw: controlplane.BugBaseUnchecked, kind: Mild},
		"a write told as done before it is":        {kind: Harsh},
		"a follower stays with a voter that is cut off": {flaw: controlplane.BugStayWithStaleServer, kind: Mild, says: "could be reached",
			faults: []Fault{{At: 6000, Until: 15e3, Kind: "deaf", A: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 100; seed++ {
				faults := c.faults
				if faults == nil {
					faults = Schedule(seed, small, c.kind != Mild)
				}
				if wrong := caught(seed, c.kind, faults, c.flaw); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					require.Contains(t, wrong, c.says)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}

// caught plays a schedule; a voter that finds itself broken counts as well.
func caught(seed uint64, kind Kind, faults []Fault, flaw controlplane.InjectedBug) (wrong string) {
	defer func() {
		if fault := recover(); fault != nil {
			wrong = fmt.Sprint(fault)
		}
	}()
	_, all := play(seed, small, kind, faults, func(s *Plane) { s.Flaw, s.Unsynced = flaw, flaw == controlplane.NoInjectedBug })
	return strings.Join(all, "; ")
}

// The hard cases, each right after a change was acknowledged by the leader that it befalls, while others come.
func TestRightAfterAnAcknowledgement(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"the leader is killed":                      {{Until: 4000, Kind: "kill", A: -1}},
		"it is killed for good":                     {{Until: 90e3, Kind: "kill", A: -1}},
		"it is frozen for 3 s":                      {{Until: 3000, Kind: "freeze", A: -1}},
		"it hears nothing":                          {{Until: 5000, Kind: "deaf", A: -1}},
		"it says nothing":                           {{Until: 5000, Kind: "mute", A: -1}},
		"it is alone":                               {{Until: 8000, Kind: "alone", A: -1}},
		"its region is alone":                       {{Until: 8000, Kind: "region", A: -1}},
		"it is killed, and so is a relay":           {{Until: 4000, Kind: "kill", A: -1}, {Until: 4000, Kind: "kill", A: 6}},
		"all voters are killed":                     {{Until: 1000, Kind: "kill", A: 0}, {Until: 1200, Kind: "kill", A: 1}, {Until: 1400, Kind: "kill", A: 2}},
		"all members are killed":                    {{Until: 1000, Kind: "kill", A: 0}, {Until: 1000, Kind: "kill", A: 1}, {Until: 1000, Kind: "kill", A: 2}, {Until: 1000, Kind: "kill", A: 3}, {Until: 1000, Kind: "lost", A: 4}, {Until: 1000, Kind: "lost", A: 5}, {Until: 1000, Kind: "lost", A: 6}},
		"all members are frozen":                    {{Until: 3000, Kind: "freeze", A: 0}, {Until: 3000, Kind: "freeze", A: 1}, {Until: 3000, Kind: "freeze", A: 2}, {Until: 3000, Kind: "freeze", A: 3}, {Until: 3000, Kind: "freeze", A: 4}, {Until: 3000, Kind: "freeze", A: 5}, {Until: 3000, Kind: "freeze", A: 6}},
		"its links carry 1 KB/s":                    {{Until: 8000, Kind: "thin", A: -1}},
		"it is far away, and a relay reads nothing": {{Until: 8000, Kind: "slow", A: -1}, {Until: 8000, Kind: "freeze", A: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s, acks := New(seed, small), 0
				strict := Paths
				if len(faults) > 2 {
					strict = Quiet // a majority has to come together again first
				}
				s.acked = func(int) {
					if acks++; acks != 10+int(seed) {
						return
					}
					for _, f := range faults {
						if f.At = s.now - s.judge.base; f.Until < 60e3 { // times are from the acknowledgement on
							f.Until += f.At
						}
						s.judge.faults = append(s.judge.faults, f)
						s.after(0, func() { s.fault(f) })
					}
				}
				wrong := s.Run(nil, strict)
				require.Empty(t, wrong, "seed %d", seed)
				require.Greater(t, acks, 15)
			}
		})
	}
}

// Found by schedules, each with its story.
func TestFoundSchedules(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		seed   uint64
		voters int
		kind   Kind
		story  string
	}{
		{8, 5, Harsh, "a node that was mute for longer than its lease, on a connection that lived, was known again without its region"},
	} {
		shape := Standard(c.voters)
		_, wrong := play(c.seed, shape, c.kind, Schedule(c.seed, shape, c.kind != Mild), nil)
		require.Empty(t, wrong, c.story)
	}
}

// A node whose links carry 1 KB/s gets the whole in its time, over one connection, and changes within 6 s from then on.
func TestThinLink(t *testing.T) {
	shape := Standard(3)
	shape.Tenants = 150 // about 7 KB packed
	const node = 10
	for seed := range uint64(4) {
		s := New(seed, shape)
		end := length - windDown + 4000 // it stays thin longer than operators work
		var dials int
		s.after(5000, func() { dials = s.procs[node].dial })
		wrong := s.Run([]Fault{{At: 4000, Until: end, Kind: "thin", A: node}, {At: 4500, Until: 4600, Kind: "lost", A: node}}, Quiet)
		require.Empty(t, wrong, "seed %d", seed)
		require.LessOrEqual(t, s.procs[node].dial-dials, 1, "seed %d: it keeps its connection", seed)
		j, judged := s.judge, 0
		for _, x := range j.acked {
			if from := x.acked - j.base; from > 18e3 {
				judged++
				require.GreaterOrEqual(t, j.at(node, x.acked+within), x.version, "seed %d", seed)
			}
		}
		require.Greater(t, judged, 5)
	}
}
