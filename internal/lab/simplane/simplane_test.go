package simplane

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/controlplane"
)

var small = Shape{Voters: 3, Relays: 4, Nodes: 20, Regions: 3, Tenants: 60, Kept: 10}

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
