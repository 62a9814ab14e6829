package simplane

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
	s.Trace = t.Logf
	require.Empty(t, s.Run(nil, Paths))
	t.Log(s.judge.pairs, s.judge.late, s.judge.worst, s.Acknowledged, s.Conflicts, s.Wholes)
	require.Greater(t, s.Acknowledged, 10)
}

func TestSchedules(t *testing.T) {
	sum, err := Many(t.Context(), 0, 20, small)
	require.NoError(t, err)
	for _, b := range sum.Broken {
		t.Log(b)
	}
	t.Logf("%+v", sum)
	require.Empty(t, sum.Broken)
}

// A build with a part left out must be caught by the same schedules: else the checks show nothing.
func TestFlawsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		flaw controlplane.Flaw
		kind Kind
		says string
	}{
		"a difference applied out of order":        {controlplane.OutOfOrder, Mangled, ""},
		"a digest not checked":                     {controlplane.DigestUnchecked, Mangled, ""},
		"an acknowledgement before the majority":   {controlplane.AckEarly, Harsh, ""},
		"a leader fresh by its own word":           {controlplane.StaleServe, Harsh, "claims an age"},
		"an age by receipt alone":                  {controlplane.ReceiptAge, Harsh, "claims an age"},
		"sent before it is written":                {controlplane.NoFlaw, Harsh, ""},
		"a change taken whatever it was made from": {controlplane.BaseUnchecked, Mild, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 100; seed++ {
				wrong := caught(seed, c.kind, c.flaw)
				if wrong != "" {
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
func caught(seed uint64, kind Kind, flaw controlplane.Flaw) (wrong string) {
	defer func() {
		if fault := recover(); fault != nil {
			wrong = fmt.Sprint(fault)
		}
	}()
	_, all := play(seed, small, kind, Schedule(seed, small, kind != Mild), func(s *Plane) { s.Flaw, s.Unsynced = flaw, flaw == controlplane.NoFlaw })
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
			for seed := range uint64(6) {
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
